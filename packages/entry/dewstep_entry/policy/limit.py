"""Concurrency limit of one target, adapted to its answers.

The limit is multiplied by a factor below 1 on sheds and errors, and raised by one after
a number of answers, up to the target's slots (additive increase, multiplicative
decrease: D.-M. Chiu and R. Jain, "Analysis of the increase and decrease algorithms",
1989). The target's load endpoint is not used, because its value lags and may be wrong.
"""

import datetime

ANSWERED = "answered"
SHED = "shed"
"""The target refused the request because of its load."""
FAILED = "failed"
"""The target answered with a server error, or its answer was invalid or lost."""
LATE = "late"
"""The request was sent shortly before its deadline and not answered by then. The target
has not necessarily failed; the service may only take longer than the time left."""

SHED_FACTOR = 0.7
"""Factor by which a shed or failure lowers the limit."""
ANSWERS_PER_INCREASE = 32.0
"""Answers after which the limit rises by one. Each increase beyond the target's
capacity costs a shed, so increases must be rare."""
SLOW_FACTOR = 0.9
"""Factor by which an answer of a slow target lowers the limit."""
SLOW_MIN_SHARE = 0.75
"""Share of the slots below which slowness does not lower the limit. A gate cannot
distinguish a target that is slow because of its concurrency from one that is slow at
any concurrency, where a lower limit only costs throughput."""

# Failures in the same burst have one cause, so the limit falls once per interval.
MIN_DECREASE_INTERVAL = datetime.timedelta(milliseconds=50)
LATE_RUN_SHED_WINDOW = datetime.timedelta(milliseconds=20)
"""Time after a late run in which a shed does not lower the limit. A run that is ended
at its deadline frees its slot here before the target has noticed the closed connection;
the target may then shed the next request, within 2 to 9 ms."""
# A target that sheds even a single request would empty the whole queue within
# milliseconds. It is sent nothing for a time that doubles with each consecutive shed.
INITIAL_HOLD = datetime.timedelta(milliseconds=20)
MAX_HOLD = datetime.timedelta(seconds=1)


class Limit:
    """Concurrency limit between 1 and the target's slots.

    Parameters
    ----------
    slots : int
        Upper bound of the limit; the limit starts there.
    """

    def __init__(self, slots: int):
        self.slots = slots
        self.value = float(slots)
        self.last_decrease_at: datetime.timedelta | None = None
        self.held_until: datetime.timedelta | None = None
        """Time before which no request may start, or None."""
        self.next_hold = INITIAL_HOLD
        self.last_late_run_at: datetime.timedelta | None = None

    def set_slots(self, slots: int) -> None:
        """Change the upper bound; a limit at the old bound moves to the new one."""
        at_bound = self.value >= self.slots
        self.slots = slots
        self.value = float(slots) if at_bound else min(self.value, float(slots))

    def compute_usable_slots(self) -> int:
        """Return how many requests may run concurrently."""
        return min(self.slots, max(1, int(self.value)))

    def is_full(self, running: int) -> bool:
        """Return whether `running` requests take up the limit."""
        return running >= self.compute_usable_slots()

    def allows(self, running: int, now: datetime.timedelta) -> bool:
        """Return whether one more request may start besides `running` others."""
        is_held = self.held_until is not None and now < self.held_until
        return not is_held and not self.is_full(running)

    def record_outcome(
        self,
        outcome: str,
        slow: bool,
        mean_service_time: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Adapt the limit to the outcome of one request.

        Parameters
        ----------
        outcome : str
            `ANSWERED`, `SHED`, `FAILED` or `LATE`.
        slow : bool
            Whether the target is slow compared with its own baseline.
        mean_service_time : datetime.timedelta
            Mean service time of the target.
        now : datetime.timedelta
            Current time.
        """
        if outcome == LATE:
            self.last_late_run_at = now
            if slow:
                self.decrease_for_slowness(mean_service_time, now)
            return
        if outcome == SHED and self.follows_late_run(now):
            return
        if outcome != ANSWERED:
            self.decrease_limit(SHED_FACTOR, 1.0, mean_service_time, now)
            if outcome == SHED and self.value <= 1.0:
                self.hold_requests(now)
            return
        self.held_until = None
        self.next_hold = INITIAL_HOLD
        if slow:
            self.decrease_for_slowness(mean_service_time, now)
        else:
            self.value = min(float(self.slots), self.value + 1 / ANSWERS_PER_INCREASE)

    def follows_late_run(self, now: datetime.timedelta) -> bool:
        """Return whether the target may not yet have noticed the end of a late run."""
        return (
            self.last_late_run_at is not None
            and now - self.last_late_run_at <= LATE_RUN_SHED_WINDOW
        )

    def decrease_for_slowness(
        self, mean_service_time: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Lower the limit of a slow target by `SLOW_FACTOR`."""
        self.decrease_limit(
            SLOW_FACTOR, SLOW_MIN_SHARE * self.slots, mean_service_time, now
        )

    def decrease_limit(
        self,
        factor: float,
        floor: float,
        mean_service_time: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Lower the limit to no less than `floor`, at most once per interval."""
        interval = max(MIN_DECREASE_INTERVAL, mean_service_time)
        if self.last_decrease_at is not None and now - self.last_decrease_at < interval:
            return
        self.last_decrease_at = now
        lowered = max(floor, self.value * factor, 1.0)
        self.value = min(self.value, lowered, float(self.slots))

    def hold_requests(self, now: datetime.timedelta) -> None:
        """Allow no request to start until the hold time has passed."""
        if self.held_until is not None and now < self.held_until:
            return
        self.held_until = now + self.next_hold
        self.next_hold = min(MAX_HOLD, self.next_hold * 2)
