"""Request bodies that the stand-in of a target has read, with bounded memory."""

import hashlib
import tempfile
from collections.abc import Iterator
from typing import BinaryIO, NamedTuple

from dewstep_core.http import exchanges

SPOOL_BYTES = 256 * 1024
"""Body bytes kept in memory for an echo; longer bodies go to a temporary file."""
CHUNK_BYTES = 64 * 1024


class Upload(NamedTuple):
    """A request body that was read to its end."""

    size: int
    digest: str
    has_marker: bool
    """Whether the body contains the crash marker."""
    content: BinaryIO | None
    """For an echo."""


async def receive_upload(
    exchange: exchanges.Exchange, marker: bytes, keep: bool
) -> Upload:
    """Read a request body; keep it only for an echo.

    Parameters
    ----------
    exchange : exchanges.Exchange
        Whose body is read.
    marker : bytes
        The crash marker; empty if there is none.
    keep : bool
        Whether the content is kept.
    """
    content = tempfile.SpooledTemporaryFile(SPOOL_BYTES) if keep else None
    digest = hashlib.sha256()
    size = 0
    tail = b""
    has_marker = False
    while chunk := await exchange.read_chunk():
        size += len(chunk)
        digest.update(chunk)
        if content is not None:
            content.write(chunk)
        if marker:
            # The marker may lie across the border of two chunks.
            has_marker = has_marker or marker in tail + chunk
            tail = (tail + chunk)[1 - len(marker) :] if len(marker) > 1 else b""
    return Upload(size, digest.hexdigest(), has_marker, content)


def read_chunks(content: BinaryIO, size: int) -> Iterator[bytes]:
    """Yield the first `size` bytes of a file in parts."""
    while size > 0 and (chunk := content.read(min(size, CHUNK_BYTES))):
        size -= len(chunk)
        yield chunk
