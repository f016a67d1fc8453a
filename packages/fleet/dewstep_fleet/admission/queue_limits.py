"""How long a queue may be, and which part of the requests is sent to it.

While demand exceeds capacity, all slots stay busy whatever the length of the queue, so
a short queue serves as many requests as a long one, but in time. A request is sent only
if the queue leaves it time for its latency objective. Requests of less urgent routes
are sent to shorter queues only, which leaves the rest to the more urgent ones.

The requests at a target are known from totals of some age. An instance therefore sends
the fraction of its requests with which all instances together fill the queue up to the
limit until the next totals, instead of all below the limit and none above.
"""

from collections.abc import Iterable

from dewstep_fleet import load_counts, model, planning
from dewstep_fleet.load import spreading

MAX_REQUESTS_PER_SLOT = 4
"""Requests per slot from which on a target counts as full; targets queue three or four
for each slot."""
QUEUE_SHARE = 0.5
"""Part of the time between service time and latency objective that is spent in the
queue. Between two totals, the queue may become twice as long as it was."""
LESS_URGENT_SHARE = 0.5
"""Part of the longest wait of a route that the next less urgent one may use. The rest
takes the more urgent requests that arrive until the next totals."""


def compute_longest_wait(
    route: model.Route,
    routes: Iterable[model.Route],
    loads: load_counts.Loads,
    estimate: load_counts.Estimate,
    service: str,
    time_left: float,
    elapsed: float = 0.0,
) -> float | None:
    """Return the longest wait in seconds for which a request is sent.

    It is None for a request that can no longer meet its objective, as it was first sent
    too long ago. Only a free slot is left to such a request.

    Parameters
    ----------
    route : model.Route
        Route of the request.
    routes : iterable of model.Route
        All routes to the service.
    loads : load_counts.Loads
    estimate : load_counts.Estimate
        Estimate of the target for the request.
    service : str
    time_left : float
        Seconds until the answer is due, which bounds the wait without an objective.
    elapsed : float, optional
        Seconds since the caller first sent the request.
    """
    objective = time_left
    if route.latency_objective is not None:
        objective = route.latency_objective.total_seconds() - elapsed
        if objective < estimate.service <= objective + elapsed:
            return None
    longest = min(objective, time_left) - estimate.service
    typical = loads.get_typical_seconds(service, route.name)
    slowness = estimate.service / typical if typical > 0 else 1.0
    more_urgent = [
        other
        for other in routes
        if other.priority < route.priority and other.latency_objective is not None
    ]
    priorities = {other.priority for other in more_urgent}
    for other in more_urgent:
        seconds = loads.get_typical_seconds(service, other.name) * slowness
        spare = other.latency_objective.total_seconds() - seconds
        levels = sum(priority >= other.priority for priority in priorities)
        longest = min(longest, spare * LESS_URGENT_SHARE**levels)
    return max(0.0, longest) * QUEUE_SHARE


def is_exceeded(estimate: load_counts.Estimate, slots: int) -> bool:
    """Whether the demand for a target exceeds its capacity."""
    return estimate.running >= slots and (estimate.overloaded or estimate.admitted < 1)


def estimate_demand(estimate: load_counts.Estimate, own_ratio: float = 1.0) -> float:
    """Return the demand for a target relative to what it can serve, at least 1.

    Parameters
    ----------
    estimate : load_counts.Estimate
        Contains what the coordinator knows of the demand for an owner's keys.
    own_ratio : float, optional
        Ratio of the own requests for the service to those that were sent.
    """
    if estimate.admitted >= 1:
        return max(1.0, own_ratio)
    return max(1.0, planning.ADMISSION_FACTOR / max(estimate.admitted, 0.01))


def count_places(
    estimate: load_counts.Estimate, slots: int, longest_wait: float
) -> float:
    """Return at how many requests a further one waits for `longest_wait` seconds."""
    places = slots - 1 + longest_wait * slots / max(estimate.turn, 1e-6)
    return min(places, slots * MAX_REQUESTS_PER_SLOT - 1)


def compute_sent_fraction(
    estimate: load_counts.Estimate,
    slots: int,
    longest_wait: float | None,
    demand: float = 1.0,
) -> float:
    """Return the fraction of requests to send to a target in excessive demand.

    Parameters
    ----------
    estimate : load_counts.Estimate
    slots : int
    longest_wait : float
        Longest wait in seconds for which requests are sent, or None.
    demand : float, optional
        Demand relative to what is served, at least 1.
    """
    if longest_wait is None:
        return 0.0
    room = count_places(estimate, slots, longest_wait) - estimate.running
    ended = spreading.count_ended(estimate, slots)
    if not ended:
        return float(room >= 0)
    return min(1.0, max(0.0, (room + ended) / (ended * demand)))


def estimate_excess_seconds(
    estimate: load_counts.Estimate, slots: int, longest_wait: float | None
) -> float:
    """Return the seconds until a queue is short enough if nothing is added to it."""
    excess = estimate.running + 1 - count_places(estimate, slots, longest_wait or 0.0)
    return max(0.0, excess) * estimate.turn / slots
