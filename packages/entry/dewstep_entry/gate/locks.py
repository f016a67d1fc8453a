"""Fair lock with shared and exclusive holders, for running one request alone.

Waiters get the lock in the order of their arrival. A crash suspect, which needs it
exclusively, therefore waits for the running requests and delays those after it.
"""

import asyncio
import collections
import datetime

from dewstep_core import clocks
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
        granted = asyncio.get_running_loop().create_future()
        self.waiting.append((granted, exclusive))
        try:
            time_left = deadline - self.clock.monotonic()
            done, _ = await timing.wait_at_most(
                self.clock, asyncio.shield(granted), time_left
            )
        except BaseException:
            self.cancel_wait(granted, exclusive)
            raise
        if not done and not granted.done():
            self.cancel_wait(granted, exclusive)
            return False
        return True

    def cancel_wait(self, granted: asyncio.Future, exclusive: bool) -> None:
        """Stop waiting; release the lock if it was granted in the meantime."""
        if granted.done():
            self.release(exclusive)
            return
        self.waiting.remove((granted, exclusive))
        granted.cancel()
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
            granted, exclusive = self.waiting.popleft()
            self.add_holder(exclusive)
            granted.set_result(None)
