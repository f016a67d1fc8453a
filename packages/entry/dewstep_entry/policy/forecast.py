"""When the waiting requests of a target are expected to be answered."""

import datetime
from collections.abc import Collection

MANY_SLOTS = 8
"""Slots from which the ends of the running requests are not looked at one by one.
Their ends are then spread evenly enough, and a look at each would cost more than the
rest of a decision."""


class Forecast:
    """Expected finish of each place in the queue.

    Parameters
    ----------
    now : datetime.timedelta
        Current time.
    mean : datetime.timedelta
        Mean service time: the time between two starts in one slot.
    likely : datetime.timedelta
        Service time to plan with for a request once it has started.
    usable : int
        Requests that may run at the same time; at least 1.
    begun : collection of datetime.timedelta
        Starts of the requests that run.
    held_until : datetime.timedelta or None
        Time before which nothing starts.
    """

    def __init__(
        self,
        now: datetime.timedelta,
        mean: datetime.timedelta,
        likely: datetime.timedelta,
        usable: int,
        begun: Collection[datetime.timedelta],
        held_until: datetime.timedelta | None,
    ):
        self.mean = mean
        self.likely = likely
        self.usable = usable
        self.start = max(now, held_until or now)
        self.idle = max(0, usable - len(begun))
        self.share = mean / usable
        self.free: list[datetime.timedelta] | None = None
        if usable <= MANY_SLOTS:
            self.free = self.list_free(now, begun)

    def list_free(
        self, now: datetime.timedelta, begun: Collection[datetime.timedelta]
    ) -> list[datetime.timedelta]:
        """Return when each usable slot is expected to be free, the earliest first."""
        mean = self.mean
        # A request that has run for longer than the mean is expected to need half of
        # the mean more; service times have a tail.
        free = [
            start + mean if start + mean > now else now + mean / 2 for start in begun
        ]
        free.extend([self.start] * self.idle)
        free.sort()
        # After a fall of the limit, the first slots that end are not filled again.
        return free[len(free) - self.usable :]

    def finish(self, place: int) -> datetime.timedelta:
        """Return when the request at `place` in the queue is expected to be done."""
        if self.free is not None:
            rounds, slot = divmod(place, self.usable)
            return self.free[slot] + rounds * self.mean + self.likely
        waits = max(0, place + 1 - self.idle)
        return self.start + waits * self.share + self.likely
