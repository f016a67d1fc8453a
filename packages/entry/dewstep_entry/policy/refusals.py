"""Retry-After of refusals, spread so that the refused callers don't return at once.

The window over which callers are spread grows with the number of callers refused
lately: together they return no faster than the target serves.
"""

import datetime
import random

LEAST_DELAY = datetime.timedelta(seconds=1)
"""Retry-After is given in whole seconds, so less than this can't be said."""
LEAST_WINDOW = datetime.timedelta(seconds=1)
LONGEST_WINDOW = datetime.timedelta(seconds=30)
MEMORY = datetime.timedelta(seconds=5)
"""Time in which the count of recent refusals falls by half, stepwise."""


class Spread:
    """Chooses the Retry-After of each refusal.

    Parameters
    ----------
    generator : random.Random
        Source of the jitter.
    """

    def __init__(self, generator: random.Random):
        self.generator = generator
        self.recent = 0.0
        self.halved = datetime.timedelta()

    def choose(
        self,
        service_share: datetime.timedelta,
        waiting: int,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return after what time a caller that is refused now should come again.

        Parameters
        ----------
        service_share : datetime.timedelta
            Service time divided by the target's concurrency.
        waiting : int
            Requests that wait now.
        now : datetime.timedelta
            Current time.
        """
        periods = (now - self.halved) // MEMORY
        if periods > 0:
            self.recent /= 2.0 ** min(periods, 64)
            self.halved = now
        self.recent += 1
        window = service_share * (self.recent + waiting)
        window = min(LONGEST_WINDOW, max(LEAST_WINDOW, window))
        return LEAST_DELAY + window * self.generator.random()
