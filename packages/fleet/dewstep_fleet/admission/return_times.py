"""When callers whose requests are refused for want of room should come back.

A refused caller comes back at the earliest when the queue is short enough again. All
who are refused at that time would otherwise come back together, so they are spread over
a time that is longer the more of them there are.
"""

import datetime

SPREAD = datetime.timedelta(milliseconds=300)
"""Time over which callers are spread at a demand of the capacity: about one service
time, in which each slot becomes free once."""

MIN_RETURN_TIME = datetime.timedelta(milliseconds=50)
"""Callers who come back sooner meet the same totals, in fleets of any size."""

SOON_SPREAD = datetime.timedelta(milliseconds=50)
"""Time over which callers are spread whom no full queue has kept out. Two such returns
end before a third of the usual objective of half a second has passed."""


def choose_soon_time(jitter: float) -> datetime.timedelta:
    """Return the time after which a caller should come back whom a free target awaits.

    Parameters
    ----------
    jitter : float
        Random number from 0 to 1, which spreads the callers.
    """
    return MIN_RETURN_TIME + SOON_SPREAD * jitter


def choose_return_time(
    excess_s: float, demand: float, jitter: float
) -> datetime.timedelta:
    """Return the time after which a refused caller should come back.

    Parameters
    ----------
    excess_s : float
        Seconds until the queue is short enough if nothing is added to it.
    demand : float
        Demand relative to what is served, at least 1.
    jitter : float
        Random number from 0 to 1, which spreads the callers.
    """
    earliest = max(datetime.timedelta(seconds=excess_s), MIN_RETURN_TIME)
    return earliest + SPREAD * max(1.0, demand) * jitter
