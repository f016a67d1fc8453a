"""Detects that the event loop of this process runs late.

A process with too little processor time counts requests and reports loads late, which
looks like uneven load and must not cause moves of shards. A pause also looks like a
slow service of each request that was in progress. The monitor sleeps for short
intervals and compares the planned times of its wake-ups with the actual ones.
"""

import datetime

from dewstep_core import clocks, events

WAKEUP_INTERVAL = datetime.timedelta(milliseconds=50)
"""Time between two planned wake-ups."""
MAX_WAKEUP_DELAY = datetime.timedelta(milliseconds=100)
"""Delay of a wake-up above which the loop counts as late. Grants are renewed every
150 ms, so a longer delay also affects the handling of requests."""
LATE_PERIOD = datetime.timedelta(seconds=5)
"""Time for which the loop counts as late after a late wake-up."""


class LoopMonitor:
    """Compares planned wake-ups with actual ones; takes the time as an argument.

    Parameters
    ----------
    now : datetime.timedelta
        Current time.
    """

    def __init__(self, now: datetime.timedelta):
        self.next_wakeup = now + WAKEUP_INTERVAL
        self.late_until = now
        self.last_pause_end = now
        """Time of the last wake-up that started a late period."""

    def record_wakeup(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Record a wake-up; return its delay if a late period starts, else None."""
        delay = now - self.next_wakeup
        starts_late_period = delay > MAX_WAKEUP_DELAY and now >= self.late_until
        if starts_late_period:
            self.last_pause_end = now
        if delay > MAX_WAKEUP_DELAY:
            self.late_until = now + LATE_PERIOD
        self.next_wakeup = now + WAKEUP_INTERVAL
        return delay if starts_late_period else None

    def is_late(self, now: datetime.timedelta) -> bool:
        """Return whether the loop is late or has been late within `LATE_PERIOD`.

        After a pause, other tasks may run before the planned wake-up, so an overdue
        wake-up counts as well.
        """
        return now < self.late_until or now - self.next_wakeup > MAX_WAKEUP_DELAY

    def was_paused_since(
        self, started: datetime.timedelta, now: datetime.timedelta
    ) -> bool:
        """Return whether a late period started between `started` and `now`.

        Further late wake-ups within the period do not count: they show a process that
        is short of processor time, not one that was paused once.
        """
        if started < self.last_pause_end:
            return True
        is_overdue = now - self.next_wakeup > MAX_WAKEUP_DELAY
        return is_overdue and now >= self.late_until and started < self.next_wakeup

    async def run(self, clock: clocks.Clock) -> None:
        """Wake up at intervals until cancelled."""
        self.next_wakeup = clock.monotonic() + WAKEUP_INTERVAL
        while True:
            await clock.sleep(WAKEUP_INTERVAL)
            delay = self.record_wakeup(clock.monotonic())
            if delay is not None:
                events.warning("event_loop_late", delay=delay)
