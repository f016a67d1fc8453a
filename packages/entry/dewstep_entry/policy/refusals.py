"""Computes the Retry-After of refusals so that callers do not return simultaneously.

The return times are spread over a window that grows with the number of recent refusals,
so that callers return no faster than the target can serve them.
"""

import datetime
import random

MIN_RETRY_AFTER = datetime.timedelta(seconds=1)
"""Retry-After is given in whole seconds, so no shorter delay can be expressed."""
MIN_WINDOW = datetime.timedelta(seconds=1)
MAX_WINDOW = datetime.timedelta(seconds=30)
"""Bounds of the window over which the return times are spread."""
HALVING_INTERVAL = datetime.timedelta(seconds=5)
"""Interval at which the count of recent refusals is halved."""


class RetryAfterChooser:
    """Chooses the Retry-After of each refusal.

    Parameters
    ----------
    generator : random.Random
        Source of the jitter.
    """

    def __init__(self, generator: random.Random):
        self.generator = generator
        self.recent_refusals = 0.0
        self.halved_at = datetime.timedelta()

    def choose_retry_after(
        self,
        time_per_request: datetime.timedelta,
        waiting: int,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return the delay after which a caller that is refused now should retry.

        Parameters
        ----------
        time_per_request : datetime.timedelta
            Service time divided by the target's concurrency.
        waiting : int
            Number of waiting requests.
        now : datetime.timedelta
            Current time.
        """
        periods = (now - self.halved_at) // HALVING_INTERVAL
        if periods > 0:
            # Without the bound, the power overflows after a long time without refusals.
            self.recent_refusals /= 2.0 ** min(periods, 64)
            self.halved_at = now
        self.recent_refusals += 1
        window = time_per_request * (self.recent_refusals + waiting)
        window = min(MAX_WINDOW, max(MIN_WINDOW, window))
        return MIN_RETRY_AFTER + window * self.generator.random()
