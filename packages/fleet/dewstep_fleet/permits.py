"""Issues the permits of requests to targets that have named a limit.

The coordinator keeps one token bucket for each such target, so that the permits of all
instances together keep the limit, however the requests are spread over them. A bucket
starts empty: whatever was allowed before, by this or by another coordinator, still
counts against the limit.
"""

import datetime
import math
from typing import NamedTuple

BURST_PERIOD = datetime.timedelta(seconds=1)
"""Time for which an idle target accumulates permits."""
MIN_RATE = 0.1
"""Permits/s at a lower limit, zero included. Without any request, nothing would show
that the limit has ended."""
ROUNDING_ERROR = 1e-5
"""Part of a permit that may be missing after a wait, which has whole microseconds."""
MAX_WAIT = datetime.timedelta(seconds=1)
"""Maximum wait after which an instance asks again, since the limit may have changed."""


class Bucket(NamedTuple):
    """Permits that may be issued for one target."""

    life: int
    """Incarnation of the target."""
    level: float
    """Number of permits at `filled_at`."""
    filled_at: datetime.timedelta


class Issue(NamedTuple):
    """Answer to an instance that needs permits for one target."""

    count: int
    """Number of permits issued."""
    wait: datetime.timedelta
    """Time until the next permit; zero if all were issued."""


class PermitIssuer:
    """The token buckets of all targets that have named a limit."""

    def __init__(self):
        self.buckets: dict[str, Bucket] = {}

    def issue(
        self,
        target: str,
        life: int,
        rate: float,
        count: int,
        now: datetime.timedelta,
        burst: float | None = None,
    ) -> Issue:
        """Issue up to `count` permits for a target.

        Parameters
        ----------
        target : str
        life : int
            Incarnation of the target.
        rate : float
            Requests/s that may be sent to it; infinite without a limit.
        count : int
            Number of requests that need a permit.
        now : datetime.timedelta
        burst : float, optional
            Permits that an idle target accumulates; `BURST_PERIOD` of them and one more
            if absent.
        """
        if math.isinf(rate):
            self.buckets.pop(target, None)
            return Issue(count, datetime.timedelta())
        rate = max(rate, MIN_RATE)
        bucket = self.buckets.get(target)
        if bucket is None or bucket.life != life:
            bucket = Bucket(life, 0.0, now)
        elapsed = (now - bucket.filled_at).total_seconds()
        capacity = burst
        if capacity is None:
            capacity = 1.0 + rate * BURST_PERIOD.total_seconds()
        level = min(bucket.level + elapsed * rate, capacity)
        issued = min(count, int(level + ROUNDING_ERROR))
        level -= issued
        self.buckets[target] = Bucket(life, level, now)
        if issued == count:
            return Issue(issued, datetime.timedelta())
        wait = datetime.timedelta(seconds=max(0.0, 1 - level) / rate)
        wait = max(wait, datetime.timedelta(milliseconds=1))
        return Issue(issued, min(wait, MAX_WAIT))
