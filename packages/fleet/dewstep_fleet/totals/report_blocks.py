"""Encoding of the loads and keys in compact reports.

Integers have variable length, with seven bits in each byte.
"""

from typing import NamedTuple

from dewstep_fleet import frames
from dewstep_fleet.totals import blocks

MAX_NAME_BYTES = 1024
MAX_INTEGER_BITS = 63
"""Bits of an integer of variable length; a multiple of seven."""


class ReportBlock(NamedTuple):
    """The loads and keys of a report, without the names that the receiver has."""

    checksum: int
    """CRC-32 of the names of all targets, with the new ones."""
    known: int
    """Number of targets that the receiver must have; 0 replaces all."""
    added: tuple[str, ...]
    """Names of further targets."""
    loads: tuple[tuple[int, int, int, int, int], ...]
    """Number of the target, running and ended requests, and their times in ms."""
    keys: tuple[frames.KeyCount, ...]


class Reader(blocks.Reader):
    """Reads integers and texts of variable length."""

    def take_varint(self) -> int:
        """Return the next integer of variable length."""
        content, at = self.content, self.at
        value = shift = 0
        while at < len(content) and shift < MAX_INTEGER_BITS:
            byte = content[at]
            at += 1
            value |= (byte & 127) << shift
            if byte < 128:
                self.at = at
                return value
            shift += 7
        raise ValueError("integer is too long or not complete")

    def take_count(self, maximum: int) -> int:
        """Return the next integer, a number of items."""
        count = self.take_varint()
        if count > maximum:
            raise ValueError("too many items")
        return count

    def take_text(self) -> str:
        """Return the next text."""
        return self.take(self.take_count(MAX_NAME_BYTES)).decode()


def encode_varint(value: int) -> bytes:
    """Return an integer with seven bits in each byte."""
    if value < 128:
        return value.to_bytes()
    return bytes((value & 127 | 128,)) + encode_varint(value >> 7)


def encode_text(text: str) -> bytes:
    """Return a text after its length."""
    content = text.encode()
    return encode_varint(len(content)) + content


def encode_report(block: ReportBlock) -> bytes:
    """Return the loads and keys of a report."""
    by_service: dict[str, list[frames.KeyCount]] = {}
    for item in block.keys:
        by_service.setdefault(item.service, []).append(item)
    parts = [block.checksum.to_bytes(4, "little"), encode_varint(block.known)]
    parts.append(encode_varint(len(block.added)))
    parts += map(encode_text, block.added)
    parts.append(encode_varint(len(block.loads)))
    parts += (encode_varint(value) for load in block.loads for value in load)
    for service, items in by_service.items():
        parts += encode_text(service), encode_varint(len(items))
        parts += (
            encode_varint(value) for item in items for value in (item.key, item.count)
        )
    return b"".join(parts)


def decode_report(content: bytes) -> ReportBlock:
    """Return the loads and keys that a block contains.

    Raises
    ------
    ValueError
        If `content` is not a valid block.
    """
    reader = Reader(content)
    checksum = int.from_bytes(reader.take(4), "little")
    known = reader.take_count(blocks.MAX_TARGETS)
    added_count = reader.take_count(blocks.MAX_TARGETS - known)
    added = tuple(reader.take_text() for _ in range(added_count))
    take = reader.take_varint
    loads = []
    for _ in range(reader.take_count(blocks.MAX_TARGETS)):
        load = take(), take(), take(), take(), take()
        if load[0] >= known + added_count:
            raise ValueError("number of a target is out of range")
        loads.append(load)
    keys = []
    while reader.at < len(content):
        service = reader.take_text()
        for _ in range(reader.take_count(len(content))):
            keys.append(frames.KeyCount(service, take(), take()))
    return ReportBlock(checksum, known, added, tuple(loads), tuple(keys))
