"""Helpers for streamed message bodies.

The iterator of a `data.Body` raises `BodyFailure` if the body cannot be completed. Code
that forwards the body must then leave its own output recognizably incomplete.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

from dewstep_core import data

SMALL_BODY_BYTES = 65_536
"""Size up to which a body is read completely; also the maximum size of a chunk."""


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
    """Free the resources of a body that is not read to its end."""
    close = getattr(body.rest, "aclose", None)
    if close is not None:
        await close()


async def observe_end(
    rest: AsyncIterator[bytes], on_end: Callable[[], None]
) -> AsyncIterator[bytes]:
    """Yield the pieces of `rest`; call `on_end` after the last one."""
    try:
        async for piece in rest:
            yield piece
    finally:
        close = getattr(rest, "aclose", None)
        if close is not None:
            await close()
    on_end()


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
    """The received chunks of a body, written by a protocol and read by a task.

    The writer pauses its source while `full` is true. `on_read` is called with the
    number of bytes that were read, so that the writer can continue.

    Parameters
    ----------
    limit : int
        Bytes above which `full` is true.
    on_read : callable
        Called with the size of each chunk that was read.
    on_close : callable
        Called without arguments when the reader closes the body before its end.
    """

    __slots__ = (
        "chunks",
        "ended",
        "failure",
        "limit",
        "on_close",
        "on_read",
        "size",
        "waiter",
    )

    def __init__(self, limit: int, on_read, on_close):
        self.chunks: list[bytes] = []
        self.size = 0
        self.limit = limit
        self.ended = False
        self.failure = None
        self.on_read = on_read
        self.on_close = on_close
        self.waiter: asyncio.Future | None = None

    @property
    def full(self) -> bool:
        """Whether the source should pause."""
        return self.size > self.limit

    def add_chunk(self, chunk: bytes) -> None:
        """Add a chunk and wake the reader."""
        self.chunks.append(chunk)
        self.size += len(chunk)
        self.wake_reader()

    def end(self, failure: Any = None) -> None:
        """End the body, with a failure if it is incomplete; later calls do nothing."""
        if not self.ended:
            self.ended = True
            self.failure = failure
            self.wake_reader()

    def wake_reader(self) -> None:
        """Wake the task that waits in `wait`."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def wait(self) -> None:
        """Wait for the next `add_chunk`, `end` or `wake_reader`."""
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def read_available(self) -> bytes:
        """Return all buffered bytes as one chunk."""
        chunks, self.chunks = self.chunks, []
        read_bytes, self.size = self.size, 0
        if read_bytes:
            self.on_read(read_bytes)
        return bytes(chunks[0]) if len(chunks) == 1 else b"".join(chunks)

    def __aiter__(self):
        return self

    async def __anext__(self) -> bytes:
        while not self.chunks and not self.ended:
            await self.wait()
        if self.chunks:
            return self.read_available()
        if self.failure is not None:
            raise BodyFailure(self.failure)
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Discard the buffered bytes and notify the source that the body is closed."""
        self.chunks.clear()
        self.size = 0
        if not self.ended:
            self.ended = True
            self.on_close()
