"""Receives request bodies of an emulated target with bounded memory."""

import hashlib
import tempfile
from collections.abc import Iterator
from typing import BinaryIO, NamedTuple

from dewstep_core.http import exchanges

SPOOL_BYTES = 256 * 1024
"""Body bytes kept in memory for an echo; longer bodies are kept in a temporary file."""
CHUNK_BYTES = 64 * 1024


class Upload(NamedTuple):
    """A completely received request body."""

    size: int
    digest: str
    has_marker: bool
    """Whether the body contains the crash marker."""
    content: BinaryIO | None
    """The body, if it is kept for an echo."""


async def receive_upload(
    exchange: exchanges.Exchange, marker: bytes, keep: bool
) -> Upload:
    """Read a request body; keep it only for an echo.

    Parameters
    ----------
    exchange : exchanges.Exchange
        Exchange whose body is read.
    marker : bytes
        Crash marker to search for; empty if there is none.
    keep : bool
        Whether to keep the content for an echo.
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
            # The marker may span two chunks.
            has_marker = has_marker or marker in tail + chunk
            tail = (tail + chunk)[1 - len(marker) :] if len(marker) > 1 else b""
    return Upload(size, digest.hexdigest(), has_marker, content)


def read_chunks(content: BinaryIO, size: int) -> Iterator[bytes]:
    """Yield the first `size` bytes of a file in parts."""
    while size > 0 and (chunk := content.read(min(size, CHUNK_BYTES))):
        size -= len(chunk)
        yield chunk
