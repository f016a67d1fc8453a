"""Concurrency limit of one target, learned from its answers.

The limit falls by a factor on sheds and errors and rises by one for some answers
(additive increase, multiplicative decrease: D.-M. Chiu and R. Jain, "Analysis
of the increase and decrease algorithms", 1989), up to the target's slots. What the
target's load endpoint claims plays no part; it lags and may be wrong.
"""

import datetime

ANSWERED = "answered"
SHED = "shed"
FAILED = "failed"
LATE = "late"
"""No answer by the deadline of a run that was begun shortly before it. It says that
the service takes longer than the run had, not that the target has failed."""

SHED_FACTOR = 0.7
# Each step beyond what the target can do costs a shed: a target that runs two of its
# four slots shed 713 requests in 6 s with a step after each answer, 26 with this.
RAISE_ANSWERS = 32.0
"""Answers for each step up."""
SLOW_FACTOR = 0.9
# A gate can't tell a target that is slow at any concurrency, which loses throughput
# with each slot taken from it, from one that is slow by too much concurrency. A floor
# of 0.75 costs 3% of the goodput of the first and gains 1% for the second against no
# reaction; 0.5 costs 6% and gains 3% (trial, five seeds of a 20 s spell).
SLOW_FLOOR = 0.75

# Answers of the same burst tell of one event; the limit falls once for each pause.
DECREASE_PAUSE = datetime.timedelta(milliseconds=50)
# A run that is ended at its deadline frees its slot here before the target has seen the
# connection close. In a run at twice the load, all 13 sheds came 2 to 9 ms after a
# late run of the same target, and each took a slot away for a second.
LATE_SHED = datetime.timedelta(milliseconds=20)
"""Time after a late run in which a shed says nothing of the limit."""
# A target that sheds even a single request would empty the whole queue in
# milliseconds; it is left alone for a time that doubles with each shed in a row.
FIRST_HOLD = datetime.timedelta(milliseconds=20)
LONGEST_HOLD = datetime.timedelta(seconds=1)


class Limit:
    """Concurrency limit between one and the target's slots.

    Parameters
    ----------
    slots : int
        Upper bound of the limit; the limit starts there.
    """

    def __init__(self, slots: int):
        self.slots = slots
        self.value = float(slots)
        self.decreased: datetime.timedelta | None = None
        self.held_until: datetime.timedelta | None = None
        self.next_hold = FIRST_HOLD
        self.late_at: datetime.timedelta | None = None

    def set_slots(self, slots: int) -> None:
        """Change the upper bound; a limit that stood at the old bound follows."""
        at_bound = self.value >= self.slots
        self.slots = slots
        self.value = float(slots) if at_bound else min(self.value, float(slots))

    def usable(self) -> int:
        """Return how many requests may run at the same time."""
        return min(self.slots, max(1, int(self.value)))

    def is_full(self, running: int) -> bool:
        """Return whether `running` requests take up the limit."""
        return running >= self.usable()

    def allows(self, running: int, now: datetime.timedelta) -> bool:
        """Return whether one more request may start besides `running` others."""
        held = self.held_until is not None and now < self.held_until
        return not held and not self.is_full(running)

    def record(
        self,
        outcome: str,
        slow: bool,
        service_time: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Learn from one answer; `slow` compares with the target's own past."""
        if outcome == LATE:
            self.late_at = now
            if slow:
                self.slow_down(service_time, now)
            return
        if outcome == SHED and self.is_after_late(now):
            return
        if outcome != ANSWERED:
            self.decrease(SHED_FACTOR, 1.0, service_time, now)
            if outcome == SHED and self.value <= 1.0:
                self.hold(now)
            return
        self.held_until = None
        self.next_hold = FIRST_HOLD
        if slow:
            self.slow_down(service_time, now)
        else:
            self.value = min(float(self.slots), self.value + 1 / RAISE_ANSWERS)

    def is_after_late(self, now: datetime.timedelta) -> bool:
        """Return whether the target may not have noticed the end of a late run."""
        return self.late_at is not None and now - self.late_at <= LATE_SHED

    def slow_down(
        self, service_time: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Lower the limit of a slow target by a little."""
        self.decrease(SLOW_FACTOR, SLOW_FLOOR * self.slots, service_time, now)

    def decrease(
        self,
        factor: float,
        floor: float,
        service_time: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Lower the limit to no less than `floor`, once for each burst."""
        pause = max(DECREASE_PAUSE, service_time)
        if self.decreased is not None and now - self.decreased < pause:
            return
        self.decreased = now
        lowered = max(floor, self.value * factor, 1.0)
        self.value = min(self.value, lowered, float(self.slots))

    def hold(self, now: datetime.timedelta) -> None:
        """Start nothing for a while."""
        if self.held_until is not None and now < self.held_until:
            return
        self.held_until = now + self.next_hold
        self.next_hold = min(LONGEST_HOLD, self.next_hold * 2)
