"""Whether the event loop of this process runs late.

A process that gets too little processor time counts requests late and reports loads
late, which looks like uneven load. It must not move shards because of that. It sets
itself a wake-up at short intervals and compares the planned time with the actual one.
"""

import datetime

from dewstep_core import clock as clocks, events

INTERVAL = datetime.timedelta(milliseconds=50)
"""Time between two planned wake-ups."""
TOLERANCE = datetime.timedelta(milliseconds=100)
"""Delay of a wake-up from which the loop counts as late. Grants are renewed every
150 ms, so that a longer delay also disturbs the serving of requests."""
MEMORY = datetime.timedelta(seconds=5)
"""Time for which the loop counts as late after a late wake-up."""


class LoopWatch:
    """Compares planned wake-ups with actual ones; takes the time as an argument.

    Parameters
    ----------
    now : datetime.timedelta
        Current time.
    """

    def __init__(self, now: datetime.timedelta):
        self.due = now + INTERVAL
        self.late_until = now

    def wake(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Note a wake-up and plan the next; return its delay if a spell begins."""
        delay = now - self.due
        begins = delay > TOLERANCE and now >= self.late_until
        if delay > TOLERANCE:
            self.late_until = now + MEMORY
        self.due = now + INTERVAL
        return delay if begins else None

    def is_late(self, now: datetime.timedelta) -> bool:
        """Return whether the loop is late or has been late within `MEMORY`.

        After a pause other tasks may run before the planned wake-up, so a wake-up
        that is overdue counts as well.
        """
        return now < self.late_until or now - self.due > TOLERANCE

    async def run(self, clock: clocks.Clock) -> None:
        """Wake up at intervals until cancelled."""
        self.due = clock.monotonic() + INTERVAL
        while True:
            await clock.sleep(INTERVAL)
            delay = self.wake(clock.monotonic())
            if delay is not None:
                events.warning("event_loop_late", delay=delay)
