"""The loads that targets report of themselves in their answers.

Such a report is exact when it arrives. It counts for as long as it is newer than what
the totals say, and for at most as long as totals do.
"""

from typing import NamedTuple

MAX_AGE_S = 0.5
"""Age up to which a report counts where there are no totals. A queue changes by as many
requests as there are slots within a service time."""


class Observation(NamedTuple):
    """What a target has reported, and the own requests begun since then."""

    observed_at: float
    """Monotonic seconds."""
    requests: int
    """Requests at the target, with the own ones begun since then."""
    pace: float
    """How long work takes there at that moment, relative to what is usual."""


def add_request(observation: Observation) -> Observation:
    """Return an observation after an own request has begun."""
    return observation._replace(requests=observation.requests + 1)


def is_newer(observation: Observation, now: float, totals_age: float | None) -> bool:
    """Whether an observation says more than the totals.

    Parameters
    ----------
    observation : Observation
    now : float
        Monotonic seconds.
    totals_age : float or None
        Seconds since the totals were counted, or None without totals.
    """
    age = now - observation.observed_at
    return age < (MAX_AGE_S if totals_age is None else min(MAX_AGE_S, totals_age))
