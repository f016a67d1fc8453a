"""How long targets have been without a gate; takes the time as an argument."""

import datetime

from dewstep_entry.gate import succession


class Vacancies:
    """Notes since when each target has been vacant for the same reason."""

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
            What was seen now; None ends a vacancy.
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
