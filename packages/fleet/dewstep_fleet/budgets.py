"""Retry budgets, which limit the resends to each service.

The fleet shares one budget for each service: in any time window, a fraction of the
requests plus a fixed number. Each instance uses the fraction of its own requests and an
equal share of the fixed number, so no coordination is needed. A restarted instance does
not know what its previous incarnation used. In its first window, it therefore uses
nothing of the fixed number.
"""

import collections
import datetime

from dewstep_core import clocks
from dewstep_fleet import model

SAFETY_FACTOR = 0.7
"""Fraction of the budget that is used, because the number of instances changes and
their windows are not aligned."""


class Budget:
    """The retry budget of this instance for one service.

    Parameters
    ----------
    clock : clocks.Clock
    timing : model.Timing
        Contains the retry limits of the fleet.
    slack_from : datetime.timedelta, optional
        Time from which the share of the fixed number is used.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        timing: model.Timing,
        slack_from: datetime.timedelta = datetime.timedelta(),
    ):
        self.clock = clock
        self.timing = timing
        self.slack_from = slack_from
        self.requests: collections.deque[datetime.timedelta] = collections.deque()
        self.resends: collections.deque[datetime.timedelta] = collections.deque()
        self.refused_resends = 0

    def add_request(self) -> None:
        """Count a request, once for all its sends."""
        self.requests.append(self.clock.monotonic())

    def reserve_resend(self, instances: int) -> bool:
        """Return whether a resend is allowed, and count it.

        Parameters
        ----------
        instances : int
            Number of live instances, including this one.
        """
        now = self.clock.monotonic()
        window = self.timing.retry_window
        for times in (self.requests, self.resends):
            while times and now - times[0] > window:
                times.popleft()
        allowed = self.timing.retry_ratio * len(self.requests)
        if now >= self.slack_from:
            allowed += self.timing.retry_slack / max(1, instances)
        if len(self.resends) + 1 > allowed * SAFETY_FACTOR:
            self.refused_resends += 1
            return False
        self.resends.append(now)
        return True


class Budgets:
    """The retry budgets of all services, created when the process starts."""

    def __init__(self, clock: clocks.Clock, timing: model.Timing):
        self.clock = clock
        self.timing = timing
        self.slack_from = clock.monotonic() + timing.retry_window
        self.budgets: dict[str, Budget] = {}

    def get(self, service: str) -> Budget:
        """Return the budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = Budget(
                self.clock, self.timing, self.slack_from
            )
        return budget

    def set_timing(self, timing: model.Timing) -> None:
        """Apply new retry limits, keeping the counts."""
        self.timing = timing
        for budget in self.budgets.values():
            budget.timing = timing
