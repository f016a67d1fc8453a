"""Fair lock with shared and exclusive holders, for running one request alone.

Waiters get the lock in the order of their arrival. A crash suspect, which needs it
exclusively, therefore waits for the running requests and delays those after it.
"""

import asyncio
import collections
import datetime

from dewstep_core import clock as clocks
from dewstep_entry.gate import timing


class SharedExclusiveLock:
    """Lock with any number of shared holders or one exclusive holder."""

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
        """Stop waiting; release the lock if it was granted in the meantime."""
        if turn.done():
            self.release(exclusive)
            return
        self.waiting.remove((turn, exclusive))
        turn.cancel()
        self.admit_waiting()

    def release(self, exclusive: bool) -> None:
        """Release the lock and grant it to the next waiters."""
        if exclusive:
            self.exclusive = False
        else:
            self.shared -= 1
        self.admit_waiting()

    def is_free(self, exclusive: bool) -> bool:
        """Return whether the lock could be granted in this mode now."""
        return not self.exclusive and not (exclusive and self.shared)

    def add_holder(self, exclusive: bool) -> None:
        """Record a new holder."""
        if exclusive:
            self.exclusive = True
        else:
            self.shared += 1

    def admit_waiting(self) -> None:
        """Grant the lock to waiters at the head of the queue."""
        while self.waiting and self.is_free(self.waiting[0][1]):
            turn, exclusive = self.waiting.popleft()
            self.add_holder(exclusive)
            turn.set_result(None)
