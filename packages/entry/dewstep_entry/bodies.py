"""Helpers for message bodies that are read piece by piece.

The iterator of a `data.Body` raises `BodyFailure` when the body cannot be completed.
Whoever passes a body on must then leave its own output visibly incomplete.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from dewstep_core import data

SMALL_BODY_BYTES = 65_536
"""Bodies up to this size are read whole; it is also the size of a frame's chunk."""


class BodyFailure(Exception):
    """A body ended before its announced end.

    Parameters
    ----------
    failure : tuple
        One of the tuples in `dewstep_core.errors`.
    """

    def __init__(self, failure: Any):
        super().__init__(repr(failure))
        self.failure = failure


async def close_body(body: data.Body) -> None:
    """Free what stands behind a body that will not be read to its end."""
    close = getattr(body.rest, "aclose", None)
    if close is not None:
        await close()


async def split_chunks(
    rest: AsyncIterator[bytes], size: int = SMALL_BODY_BYTES
) -> AsyncIterator[bytes]:
    """Yield the pieces of `rest`, none of them empty or longer than `size` bytes."""
    async for piece in rest:
        if len(piece) <= size:
            if piece:
                yield piece
            continue
        for start in range(0, len(piece), size):
            yield piece[start : start + size]


class ChunkQueue:
    """A body's received chunks, between the socket that fills and the task that reads.

    The writer stops its source once `full` is true; `drained` is called with the
    number of bytes that the reader took, so that the writer can continue.

    Parameters
    ----------
    limit : int
        Bytes above which `full` is true.
    drained : callable
        Called with the size of each chunk that was taken.
    closed : callable
        Called without arguments when the reader gives up before the end.
    """

    __slots__ = (
        "chunks",
        "closed",
        "drained",
        "ended",
        "failure",
        "limit",
        "size",
        "waiter",
    )

    def __init__(self, limit: int, drained, closed):
        self.chunks: list[bytes] = []
        self.size = 0
        self.limit = limit
        self.ended = False
        self.failure = None
        self.drained = drained
        self.closed = closed
        self.waiter: asyncio.Future | None = None

    @property
    def full(self) -> bool:
        """Whether the source should pause."""
        return self.size > self.limit

    def put(self, chunk: bytes) -> None:
        """Add a chunk and wake the reader."""
        self.chunks.append(chunk)
        self.size += len(chunk)
        self.wake()

    def end(self, failure: Any = None) -> None:
        """Mark the end, or the failure that took its place; the first call counts."""
        if not self.ended:
            self.ended = True
            self.failure = failure
            self.wake()

    def wake(self) -> None:
        """Wake the task that waits in `wait`."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def wait(self) -> None:
        """Return after the next `put`, `end` or `wake`."""
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def take(self) -> bytes:
        """Return everything received so far as one piece."""
        chunks, self.chunks = self.chunks, []
        taken, self.size = self.size, 0
        if taken:
            self.drained(taken)
        return bytes(chunks[0]) if len(chunks) == 1 else b"".join(chunks)

    def __aiter__(self):
        return self

    async def __anext__(self) -> bytes:
        while not self.chunks and not self.ended:
            await self.wait()
        if self.chunks:
            return self.take()
        if self.failure is not None:
            raise BodyFailure(self.failure)
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Drop what is left and tell the source that nobody reads any more."""
        self.chunks.clear()
        self.size = 0
        if not self.ended:
            self.ended = True
            self.closed()
