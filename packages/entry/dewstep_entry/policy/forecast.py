"""Forecast of the times at which a target's waiting requests are answered."""

import datetime
from collections.abc import Collection

EXACT_SLOT_LIMIT = 8
"""Slots up to which the end of each running request is estimated separately. With more
slots the ends are spread evenly enough, and estimating each would take longer than the
rest of a decision."""


class Forecast:
    """Expected finish time for each position in the queue.

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
        Start times of the running requests.
    held_until : datetime.timedelta or None
        Time before which no request may start.
    """

    def __init__(
        self,
        now: datetime.timedelta,
        mean: datetime.timedelta,
        planned_time: datetime.timedelta,
        usable_slots: int,
        started_at: Collection[datetime.timedelta],
        held_until: datetime.timedelta | None,
    ):
        self.mean = mean
        self.planned_time = planned_time
        self.usable_slots = usable_slots
        self.start = max(now, held_until or now)
        self.idle_slots = max(0, usable_slots - len(started_at))
        self.time_per_start = mean / usable_slots
        self.slot_free_times: list[datetime.timedelta] | None = None
        if usable_slots <= EXACT_SLOT_LIMIT:
            self.slot_free_times = self.list_slot_free_times(now, started_at)

    def list_slot_free_times(
        self, now: datetime.timedelta, started_at: Collection[datetime.timedelta]
    ) -> list[datetime.timedelta]:
        """Return when each usable slot is expected to be free, in ascending order."""
        mean = self.mean
        # Service times have a long tail, so a request that has run for longer than the
        # mean is expected to need another half of the mean.
        free = [
            start + mean if start + mean > now else now + mean / 2
            for start in started_at
        ]
        free.extend([self.start] * self.idle_slots)
        free.sort()
        # If the limit has fallen, the slots that become free first are not reused.
        return free[len(free) - self.usable_slots :]

    def compute_finish(self, position: int) -> datetime.timedelta:
        """Return the expected finish time of the request at `position` in the queue."""
        if self.slot_free_times is not None:
            rounds, slot = divmod(position, self.usable_slots)
            return self.slot_free_times[slot] + rounds * self.mean + self.planned_time
        starts_before = max(0, position + 1 - self.idle_slots)
        return self.start + starts_before * self.time_per_start + self.planned_time
