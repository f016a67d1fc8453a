"""Running one request alone at a target: a fair lock with shared and sole holders.

Holders are served in the order of their arrival. A suspect (sole) therefore waits
for the running requests, and holds back those that come after it.
"""

import asyncio
import collections
import datetime

from dewstep_core import clock as clocks
from dewstep_entry.gate import timing


class SharedExclusiveLock:
    """Lock with any number of shared holders or one sole holder."""

    def __init__(self, clock: clocks.Clock):
        self.clock = clock
        self.shared = 0
        self.exclusive = False
        self.waiting: collections.deque[tuple[asyncio.Future, bool]] = (
            collections.deque()
        )

    async def acquire(self, exclusive: bool, deadline: datetime.timedelta) -> bool:
        """Wait for the lock until `deadline`; return whether it was obtained."""
        if not self.waiting and self.is_free(exclusive):
            self.add_holder(exclusive)
            return True
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append((turn, exclusive))
        try:
            left = deadline - self.clock.monotonic()
            done, _ = await timing.wait_at_most(self.clock, asyncio.shield(turn), left)
        except BaseException:
            self.cancel_wait(turn, exclusive)
            raise
        if not done and not turn.done():
            self.cancel_wait(turn, exclusive)
            return False
        return True

    def cancel_wait(self, turn: asyncio.Future, exclusive: bool) -> None:
        """Stop waiting; give the lock back if it had just been handed over."""
        if turn.done():
            self.release(exclusive)
            return
        self.waiting.remove((turn, exclusive))
        turn.cancel()
        self.admit_waiting()

    def release(self, exclusive: bool) -> None:
        """Give the lock back and hand it to those whose turn it is."""
        if exclusive:
            self.exclusive = False
        else:
            self.shared -= 1
        self.admit_waiting()

    def is_free(self, exclusive: bool) -> bool:
        """Return whether a holder of this sort could be let in now."""
        return not self.exclusive and not (exclusive and self.shared)

    def add_holder(self, exclusive: bool) -> None:
        """Count a new holder."""
        if exclusive:
            self.exclusive = True
        else:
            self.shared += 1

    def admit_waiting(self) -> None:
        """Let in those at the head of the line."""
        while self.waiting and self.is_free(self.waiting[0][1]):
            turn, exclusive = self.waiting.popleft()
            self.add_holder(exclusive)
            turn.set_result(None)
