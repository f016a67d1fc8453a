"""How many requests a cold target may get, so that all instances keep its bound.

In any second, a cold target may get `warm_up_rate` x `overage` + `slack` requests from
all instances together. At most these parts come together:

- a coordinator that most instances follow: what its bucket holds, and the permits that
  it issues in the second and in the time before for which permits are valid
- other coordinators, which use the part of their followers, or a new one next to one
  that does not know of its end yet: half of that, and one more bucket
- instances that no coordinator answers: their shares, at random times

The first two sums are exact. The shares are scattered, so their mean leaves a margin of
four standard deviations to what the first sum leaves for half of the instances.
"""

import datetime
import functools
import math
from typing import NamedTuple

from dewstep_fleet import model

PERMIT_VALIDITY = datetime.timedelta(milliseconds=150)
"""Validity of permits for cold targets, from the question on. An answer takes a few ms.
1 s, as for other targets, would add a second of permits to the sum."""
SHARE_VALIDITY = datetime.timedelta(milliseconds=300)
"""Time within which an isolated instance has to use its next share."""
BURST = 2.0
"""Permits that the coordinator accumulates for a cold target. With one, permits would
be lost whenever instances ask at longer intervals than the limit allows."""
OTHER_PART = 0.5
"""Part of the limit that other coordinators may use beside the one that most instances
follow, all together."""
MIN_RATE = 0.1
"""Permits/s if the bound leaves less. Without any request, nothing would show that the
target has become warm."""
MARGIN_DEVIATIONS = 4.0
"""Standard deviations between the mean of the shares and the bound."""


class Allowance(NamedTuple):
    """Requests that a cold target may get."""

    rate: float
    """Permits/s that the coordinator issues."""
    share_rate: float
    """Requests/s of all isolated instances together."""


@functools.lru_cache(maxsize=64)
def compute_allowance(warm_up_rate: float, bounds: model.WarmUpBounds) -> Allowance:
    """Return what the cold targets of a service may get.

    Parameters
    ----------
    warm_up_rate : float
        The service's limit in requests/s; above 0.
    bounds : model.WarmUpBounds
    """
    bound = warm_up_rate * bounds.overage + bounds.slack
    permit_seconds = 1 + PERMIT_VALIDITY.total_seconds()
    highest = (bound - 2 * BURST) / ((1 + OTHER_PART) * permit_seconds)
    rate = max(MIN_RATE, min(warm_up_rate, highest))
    left = bound - BURST - rate * permit_seconds - 1
    # The mean `m` of half of the instances fulfils m + 4 sqrt(m) = left.
    half = MARGIN_DEVIATIONS / 2
    mean = max(0.0, math.sqrt(max(0.0, left) + half**2) - half) ** 2
    share_rate = 2 * mean / (1 + SHARE_VALIDITY.total_seconds())
    return Allowance(rate, max(MIN_RATE, min(share_rate, rate)))
