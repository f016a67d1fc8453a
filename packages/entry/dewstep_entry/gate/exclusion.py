"""Running one request alone at a target: a fair lock with shared and sole holders.

Holders are served in the order of their arrival. A suspect (sole) therefore waits
for the running requests, and holds back those that come after it.
"""

import asyncio
import collections
import datetime

from dewstep_core import clock as clocks
from dewstep_entry.gate import timing


class Exclusion:
    """Lock with any number of shared holders or one sole holder."""

    def __init__(self, clock: clocks.Clock):
        self.clock = clock
        self.shared = 0
        self.sole = False
        self.waiting: collections.deque[tuple[asyncio.Future, bool]] = (
            collections.deque()
        )

    async def acquire(self, sole: bool, deadline: datetime.timedelta) -> bool:
        """Wait for the lock until `deadline`; return whether it was obtained."""
        if not self.waiting and self.is_free(sole):
            self.take(sole)
            return True
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append((turn, sole))
        try:
            left = deadline - self.clock.monotonic()
            done, _ = await timing.wait_at_most(self.clock, asyncio.shield(turn), left)
        except BaseException:
            self.leave(turn, sole)
            raise
        if not done and not turn.done():
            self.leave(turn, sole)
            return False
        return True

    def leave(self, turn: asyncio.Future, sole: bool) -> None:
        """Stop waiting; give the lock back if it had just been handed over."""
        if turn.done():
            self.release(sole)
            return
        self.waiting.remove((turn, sole))
        turn.cancel()
        self.advance()

    def release(self, sole: bool) -> None:
        """Give the lock back and hand it to those whose turn it is."""
        if sole:
            self.sole = False
        else:
            self.shared -= 1
        self.advance()

    def is_free(self, sole: bool) -> bool:
        """Return whether a holder of this sort could be let in now."""
        return not self.sole and not (sole and self.shared)

    def take(self, sole: bool) -> None:
        """Count a new holder."""
        if sole:
            self.sole = True
        else:
            self.shared += 1

    def advance(self) -> None:
        """Let in those at the head of the line."""
        while self.waiting and self.is_free(self.waiting[0][1]):
            turn, sole = self.waiting.popleft()
            self.take(sole)
            turn.set_result(None)
