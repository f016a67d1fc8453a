"""Forecast of the times at which a target's waiting requests are answered."""

import datetime
from collections.abc import Collection

MAX_SEPARATE_SLOTS = 8
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
    planned_time : datetime.timedelta
        Service time to plan with for a request once it has started.
    usable_slots : int
        Requests that may run at the same time; at least 1.
    started_at : collection of datetime.timedelta
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
        self.start_interval = mean / usable_slots
        self.slot_free_times: list[datetime.timedelta] | None = None
        if usable_slots <= MAX_SEPARATE_SLOTS:
            self.slot_free_times = self.list_slot_free_times(now, started_at)

    def list_slot_free_times(
        self, now: datetime.timedelta, started_at: Collection[datetime.timedelta]
    ) -> list[datetime.timedelta]:
        """Return when each usable slot is expected to be free, in ascending order."""
        mean = self.mean
        # Service times have a long tail, so a request that has run for longer than the
        # mean is expected to need another half of the mean.
        free_times = [
            start + mean if start + mean > now else now + mean / 2
            for start in started_at
        ]
        free_times.extend([self.start] * self.idle_slots)
        free_times.sort()
        # If the limit has fallen, the slots that become free first are not reused.
        return free_times[len(free_times) - self.usable_slots :]

    def compute_finish(self, position: int) -> datetime.timedelta:
        """Return the expected finish time of the request at `position` in the queue."""
        if self.slot_free_times is not None:
            rounds, slot = divmod(position, self.usable_slots)
            return self.slot_free_times[slot] + rounds * self.mean + self.planned_time
        # Requests beyond the idle slots start at equal intervals.
        starts_needed = max(0, position + 1 - self.idle_slots)
        return self.start + starts_needed * self.start_interval + self.planned_time
