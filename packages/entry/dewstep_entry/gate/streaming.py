"""Answer bodies that report their end, so that slots are freed then."""

from collections.abc import AsyncIterator, Callable

COMPLETE = "complete"
CLOSED = "closed"
BROKEN = "broken"


class GuardedBody:
    """An answer's remaining body that calls `on_end` exactly once.

    This is a class because an async generator that was never started does not run its
    `finally` block when it is closed, so the slot would not be freed.

    Parameters
    ----------
    rest : AsyncIterator[bytes]
        Remaining chunks from the connection to the target.
    on_end : Callable[[str], None]
        Receives COMPLETE, CLOSED or BROKEN.
    """

    def __init__(self, rest: AsyncIterator[bytes], on_end: Callable[[str], None]):
        self.rest = rest
        self.on_end = on_end
        self.ended = False

    def __aiter__(self) -> "GuardedBody":
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk."""
        try:
            return await anext(self.rest)
        except StopAsyncIteration:
            self.end(COMPLETE)
            raise
        except Exception:
            self.end(BROKEN)
            raise
        except BaseException:
            self.end(CLOSED)
            raise

    async def aclose(self) -> None:
        """Close the body; report CLOSED unless its end was reported before."""
        try:
            close = getattr(self.rest, "aclose", None)
            if close is not None:
                await close()
        finally:
            self.end(CLOSED)

    def end(self, end_kind: str) -> None:
        """Report the end once."""
        if not self.ended:
            self.ended = True
            self.on_end(end_kind)
