"""How many sends beyond the first of each request a service may get.

The whole fleet shares one allowance for each service: a part of the requests, and a
fixed number besides, in any window of time. Each instance uses its own requests' part
and an equal share of the fixed number, so that nothing has to be agreed on. What an
instance that died had used is not known to its next run, which therefore begins with
less than its share.
"""

import collections
import datetime

from dewstep_core import clock as clocks
from dewstep_fleet import model

CAUTION = 0.7
"""Part of the allowance that is used: the number of instances changes, and windows of
different instances do not end together."""


class Budget:
    """Repeated sends of this instance to one service.

    Parameters
    ----------
    clock : clocks.Clock
    timing : model.Timing
        Holds the allowance of the fleet.
    """

    def __init__(self, clock: clocks.Clock, timing: model.Timing):
        self.clock = clock
        self.timing = timing
        self.requests: collections.deque[datetime.timedelta] = collections.deque()
        self.repeats: collections.deque[datetime.timedelta] = collections.deque()
        self.refused = 0

    def add_request(self) -> None:
        """Count a request on its first send."""
        self.requests.append(self.clock.monotonic())

    def take(self, instances: int) -> bool:
        """Return whether one more repeated send is allowed, and count it.

        Parameters
        ----------
        instances : int
            Live instances, this one included.
        """
        now = self.clock.monotonic()
        window = self.timing.retry_window
        for times in (self.requests, self.repeats):
            while times and now - times[0] > window:
                times.popleft()
        allowed = self.timing.retry_ratio * len(self.requests)
        allowed += self.timing.retry_slack / max(1, instances)
        if len(self.repeats) + 1 > allowed * CAUTION:
            self.refused += 1
            return False
        self.repeats.append(now)
        return True


class Budgets:
    """The budgets of all services."""

    def __init__(self, clock: clocks.Clock, timing: model.Timing):
        self.clock = clock
        self.timing = timing
        self.budgets: dict[str, Budget] = {}

    def get(self, service: str) -> Budget:
        """Return the budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = Budget(self.clock, self.timing)
        return budget

    def set_timing(self, timing: model.Timing) -> None:
        """Apply a new allowance, to what was counted as well."""
        self.timing = timing
        for budget in self.budgets.values():
            budget.timing = timing
