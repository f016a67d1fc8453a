"""Frames with a compact block before them.

Such a frame begins with a byte that no frame of the earlier form begins with: it would
announce a message of more than 16 million segments.
"""

import struct

from dewstep_fleet import frames
from dewstep_fleet.totals import blocks, link_states, report_blocks, report_targets

HEAD = struct.Struct(">BI")
MARK = 0xFF


def encode(frame: frames.Frame, block: bytes) -> bytes:
    """Encode a frame whose totals, or whose loads and keys, are in a block."""
    rest = frames.encode(frame._replace(totals=(), loads=(), keys=()))
    return HEAD.pack(MARK, len(block)) + block + rest


def decode(content: bytes, state: link_states.LinkState) -> frames.Frame:
    """Decode a frame of either form that a link has carried.

    The totals of a heartbeat remain a block, since its receiver may have to refuse them
    (`columns.read`).

    Raises
    ------
    capnp.KjException, ValueError
        If `content` is not a valid frame, or does not continue those of the link.
    """
    if content[:1] != bytes([MARK]):
        return frames.decode(content)
    if len(content) < HEAD.size:
        raise ValueError("message ends too early")
    _, size = HEAD.unpack_from(content)
    end = HEAD.size + size
    if len(content) <= end:
        raise ValueError("message ends too early")
    frame = frames.decode(content[end:])
    block = content[HEAD.size : end]
    if frame.kind == "beat":
        return frame._replace(compact=blocks.decode_totals(block))
    if frame.kind == "report":
        return report_targets.read(state, frame, report_blocks.decode_report(block))
    raise ValueError("message has no compact form")
