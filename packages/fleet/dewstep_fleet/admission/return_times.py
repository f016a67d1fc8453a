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

WAY_S = 0.02
"""Time for the way of an answer and of the next request, of up to 8 ms each."""
RETURN_ROOM = 0.2
"""Part of the capacity into which the callers fit who are told to come back within
their objective. New callers keep the rest. With more of them, the queue varies more, so
that fewer callers in all are served within their objective."""
LASTING_DEMAND = 1.25
"""Demand from which on an overload counts as lasting, as for the keys of an owner."""
LONG_SPREAD = 0.2
"""Part of the longest time over which the callers are spread who are told it."""
MAX_RETURN_TIME_S = 2.0
"""Longest time told in excessive demand: bursts last for 3 to 7 s, while a caller
without a deadline would be told 10 s."""
HONOURED_SHARE = 1 / 3
"""Part of the time left to its deadline that a caller waits at most."""


def choose_soon_time(jitter: float) -> datetime.timedelta:
    """Return the time after which a caller should come back whom a free target awaits.

    Parameters
    ----------
    jitter : float
        Random number from 0 to 1, which spreads the callers.
    """
    return MIN_RETURN_TIME + SOON_SPREAD * jitter


def choose_ordered_time(
    excess_s: float,
    demand: float,
    jitter: float,
    time_left_s: float,
    spare_s: float,
) -> datetime.timedelta:
    """Return the time after which a caller refused in excessive demand comes back.

    As many as there is room for come back within their objective, evenly spread. The
    others could be served late only, in room that a lasting overload does not leave,
    so the longest time that they honour spares them a second refusal.

    Parameters
    ----------
    excess_s, demand, jitter : float
        As for `choose_return_time`.
    time_left_s : float
        Seconds until the caller's deadline.
    spare_s : float
        Seconds for which the caller can wait and still be served within its objective.
    """
    earliest = max(excess_s, MIN_RETURN_TIME.total_seconds())
    latest = min(time_left_s * HONOURED_SHARE, MAX_RETURN_TIME_S)
    width = min(spare_s - WAY_S, latest) - earliest
    share = min(1.0, RETURN_ROOM / max(demand - 1, 1e-6)) if width > 0 else 0.0
    if jitter < share:
        return datetime.timedelta(seconds=earliest + width * jitter / share)
    if demand < LASTING_DEMAND:
        return choose_return_time(excess_s, demand, jitter)
    seconds = latest * (1 - LONG_SPREAD * (1 - jitter))
    return datetime.timedelta(seconds=max(earliest, seconds))


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
