"""Which of the callers of a route go first while demand exceeds capacity.

A caller who comes back as told has waited and has less time left to its objective than
a new one, so it is sent first. New callers get the room that remains. A caller who
repeats sooner than any refusal tells it to is refused, so that it gains nothing.

A caller is known by the time since its first send, see `first_sends`. No identity is
kept. Memory is three numbers for each route.
"""

import enum
import math

from dewstep_fleet.admission import return_times

NOISE_S = 0.004
"""Longest time since a first send that may be an error of measurement: callers round
their deadlines to ms, and their ways to the instances differ by a few ms."""
TIME_CONSTANT_S = 1.0
"""Time constant of the counts: a burst lasts for 3 to 7 s."""
PRIOR = 4.0
"""Number of new callers assumed in addition, so that few requests prove no share."""


class Kind(enum.Enum):
    """What is known of a caller by the time since its first send."""

    NEW = "new"
    EARLY = "early"
    """Came back sooner than any refusal tells it to."""
    RETURNED = "returned"
    """Can still be served within its objective."""
    LATE = "late"
    """Came back too late for its objective."""


def classify(elapsed_s: float, is_relayed: bool, is_in_time: bool) -> Kind:
    """Return the kind of a caller.

    Parameters
    ----------
    elapsed_s : float
        Seconds from the first send to the arrival of this one, 0 if not known.
    is_relayed : bool
        Whether another instance passed the request on, which takes a few ms, too.
    is_in_time : bool
        Whether it can be expected to be served within its objective.
    """
    if elapsed_s >= return_times.MIN_RETURN_TIME.total_seconds():
        return Kind.RETURNED if is_in_time else Kind.LATE
    if elapsed_s <= NOISE_S or is_relayed:
        return Kind.NEW
    return Kind.EARLY


class ReturnShares:
    """Share of the callers of each route who come back in time for the objective."""

    def __init__(self):
        self.counts: dict[str, tuple[float, float, float]] = {}
        """Time of the last caller, and decayed numbers of all and of returned ones."""

    def count(self, route: str, now: float, kind: Kind) -> None:
        """Count a caller who is new, or has come back as told and in time.

        The others are not sent by the fraction that the share divides.
        """
        if kind not in (Kind.NEW, Kind.RETURNED):
            return
        callers, returned = self._decay(route, now)
        is_returned = kind is Kind.RETURNED
        self.counts[route] = now, callers + 1, returned + is_returned

    def get(self, route: str, now: float) -> float:
        """Return the share of returned callers, from 0 to below 1."""
        callers, returned = self._decay(route, now)
        return returned / (callers + PRIOR)

    def keep_routes(self, names: set[str]) -> None:
        """Discard the counts of routes that no longer exist."""
        for name in [item for item in self.counts if item not in names]:
            del self.counts[name]

    def _decay(self, route: str, now: float) -> tuple[float, float]:
        """Return the numbers of all and of returned callers, decayed to the present."""
        counted_at, callers, returned = self.counts.get(route, (now, 0.0, 0.0))
        kept = math.exp(-max(0.0, now - counted_at) / TIME_CONSTANT_S)
        return callers * kept, returned * kept


def compute_spare(
    objective_s: float | None, elapsed_s: float, time_left_s: float, service_s: float
) -> float:
    """Return how many seconds a caller can wait and be served within its objective.

    It is negative if that is too late. Without an objective, the deadline counts.
    """
    limit = time_left_s
    if objective_s is not None:
        limit = min(limit, objective_s - elapsed_s)
    return limit - service_s


def adjust_fraction(fraction: float, kind: Kind, returned_share: float) -> float:
    """Return the fraction of the callers of a kind that is sent.

    Parameters
    ----------
    fraction : float
        Fraction that would be sent without an order of callers.
    kind : Kind
    returned_share : float
        Share of returned callers in those who are new or have returned.
    """
    if kind is Kind.EARLY:
        return 0.0
    if kind is Kind.LATE:
        return fraction
    if kind is Kind.RETURNED:
        return min(1.0, fraction / max(returned_share, 1e-6))
    return max(0.0, fraction - returned_share) / (1 - returned_share)
