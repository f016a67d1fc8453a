"""Durations for which targets have been without a gate."""

import datetime

from dewstep_entry.gate import succession


class VacancyTimers:
    """Start times of vacancies, by target; a new reason starts a new vacancy."""

    def __init__(self):
        self.since: dict[str, tuple[str, datetime.timedelta]] = {}

    def is_due(
        self, target: str, vacancy: succession.Vacancy | None, now: datetime.timedelta
    ) -> bool:
        """Return whether this process should act on a vacancy now.

        Parameters
        ----------
        target : str
        vacancy : succession.Vacancy or None
            Vacancy found now; None ends an earlier one.
        now : datetime.timedelta
            Monotonic time.
        """
        if vacancy is None:
            self.since.pop(target, None)
            return False
        reason, since = self.since.get(target, (vacancy.reason, now))
        if reason != vacancy.reason:
            since = now
        self.since[target] = (vacancy.reason, since)
        return now - since >= vacancy.delay
