"""Finds out whether the known configuration is the newest one.

A refusal that callers do not repeat, such as 404, must not rest on a configuration that
has been replaced. An instance that has not followed the store itself a short time ago
asks the coordinator, at most once in `QUESTION_INTERVAL` and only if it needs to know.
The answer says how long ago the coordinator's knowledge was up to date, and contains
the rows that the asking instance lacks.
"""

import datetime
from collections.abc import Callable

from dewstep_core import clocks
from dewstep_fleet import directories

QUESTION_INTERVAL = datetime.timedelta(milliseconds=100)
"""Interval at which an unanswered question is repeated."""


class ConfigurationChecks:
    """What one instance knows of the age of its configuration.

    Parameters
    ----------
    clock : clocks.Clock
    directory : directories.Directory
        Notified of answers.
    get_read_time : callable
        Returns when the store last answered this instance with the newest
        configuration, or None.
    ask : callable
        Sends a question to the coordinator.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        directory: directories.Directory,
        get_read_time: Callable[[], datetime.timedelta | None],
        ask: Callable[[], None],
    ):
        self.clock = clock
        self.directory = directory
        self.get_read_time = get_read_time
        self.ask = ask
        self.answered_for: datetime.timedelta | None = None
        """Time up to which the coordinator's answers cover all changes."""
        self.next_question_at = clock.monotonic()

    def get_confirmed_time(self) -> datetime.timedelta | None:
        """Return the last time at which the known configuration was the newest."""
        times = [self.get_read_time(), self.answered_for]
        return max((time for time in times if time is not None), default=None)

    def get_age(self) -> datetime.timedelta | None:
        """Return the time since the known configuration was the newest."""
        confirmed = self.get_confirmed_time()
        return None if confirmed is None else self.clock.monotonic() - confirmed

    def is_confirmed(self, not_before: datetime.timedelta) -> bool:
        """Whether the configuration was the newest one at a time or later."""
        confirmed = self.get_confirmed_time()
        return confirmed is not None and confirmed >= not_before

    def apply_answer(
        self, asked_at: datetime.timedelta, age: datetime.timedelta
    ) -> None:
        """Record an answer; the rows that it contains have been applied.

        Parameters
        ----------
        asked_at : datetime.timedelta
            When the question was sent.
        age : datetime.timedelta
            Time since the answering instance's configuration was the newest.
        """
        covered = asked_at - age
        if self.answered_for is None or covered > self.answered_for:
            self.answered_for = covered
            self.directory.notify_waiters()

    async def wait(self, time_left: datetime.timedelta) -> None:
        """Ask if a question is due, and wait for an answer or a change of rows."""
        change_count = self.directory.change_count
        now = self.clock.monotonic()
        if now >= self.next_question_at:
            self.next_question_at = now + QUESTION_INTERVAL
            self.ask()
        limit = min(time_left, QUESTION_INTERVAL)
        await self.directory.wait_change(change_count, limit.total_seconds())
