"""Forward decay of counts, shared by the counters of load.

An event of time t counts 2 ** ((t - start) / half-life), and a count is divided by the
same expression of the present time when it is read (G. Cormode et al., "Forward decay:
a practical time decay model for streaming systems", ICDE 2009). Counts of different
times thus stay comparable and need no pass over all of them as time goes on, except
for a rescaling when the numbers become large.
"""

import datetime
import math

LARGEST_EXPONENT = 1000.0
"""Just below the exponent at which a float overflows."""
RESCALE_EXPONENT = 256.0
"""Doublings after which counts are rescaled, far below the range of a float."""


class Scale:
    """The weight of an event by its time.

    Parameters
    ----------
    half_life : datetime.timedelta
        Time in which a count loses half of its value.
    start : datetime.timedelta
        Time at which an event weighs 1.
    """

    def __init__(self, half_life: datetime.timedelta, start: datetime.timedelta):
        self.half_life = half_life
        self.start = start

    def weigh(self, now: datetime.timedelta) -> float:
        """Return the weight of an event at `now`."""
        # A count from so long ago is zero after the division; without the bound, the
        # power overflows on a machine that has been up for 1,024 half-lives.
        return 2.0 ** min((now - self.start) / self.half_life, LARGEST_EXPONENT)

    def is_spent(self, now: datetime.timedelta) -> bool:
        """Return whether `rescale` is due."""
        return (now - self.start) / self.half_life > RESCALE_EXPONENT

    def rescale(self, now: datetime.timedelta) -> float:
        """Start again at `now`; return the factor for all counts."""
        elapsed = (now - self.start) / self.half_life
        self.start = now
        # An underflow to zero is right: such a count is long forgotten.
        return 2.0 ** -min(elapsed, 1000.0)

    def compute_rate(self, count: float, now: datetime.timedelta) -> float:
        """Return the events/s of which a steady flow gives `count` at `now`."""
        return count / self.weigh(now) * math.log(2) / self.half_life.total_seconds()
