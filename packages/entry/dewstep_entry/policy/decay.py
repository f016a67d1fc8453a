"""Forward decay of counts, used by all load counters.

An event at time t has the weight 2 ** ((t - start) / half-life), and a count is divided
by the weight of the current time when it is read (G. Cormode et al., "Forward decay: a
practical time decay model for streaming systems", ICDE 2009). Counts of different times
remain comparable without being updated as time passes, except for a rescaling when the
numbers become large.
"""

import datetime
import math

MAX_EXPONENT = 1000.0
"""Just below 1,024, the exponent at which a float overflows."""
RESCALE_EXPONENT = 256.0
"""Half-lives after which counts are rescaled, far below the range of a float."""


class Scale:
    """Computes the weight of an event from its time.

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
        # Without the bound, the power overflows on a machine that has been up for 1,024
        # half-lives. Counts from that long ago are zero after the division anyway.
        return 2.0 ** min((now - self.start) / self.half_life, MAX_EXPONENT)

    def needs_rescale(self, now: datetime.timedelta) -> bool:
        """Return whether `rescale` must be called before more events are counted."""
        return (now - self.start) / self.half_life > RESCALE_EXPONENT

    def rescale(self, now: datetime.timedelta) -> float:
        """Move the start to `now` and return the factor to multiply all counts by."""
        elapsed = (now - self.start) / self.half_life
        self.start = now
        # An underflow to zero is correct, since a count that old has decayed to zero.
        return 2.0 ** -min(elapsed, 1000.0)

    def compute_rate(self, count: float, now: datetime.timedelta) -> float:
        """Return the constant rate in events/s that results in `count` at `now`."""
        return count / self.weigh(now) * math.log(2) / self.half_life.total_seconds()
