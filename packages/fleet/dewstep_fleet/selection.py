"""Which target of a service gets a request for which any of them will do.

The target is chosen that is expected to finish first. A target in another data centre
has to be faster by the time that its bytes are worth. An expected failure counts as the
time that another try would take.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from dewstep_fleet import loads, model

DISTANCE = 0.015
"""Seconds by which a target of another data centre must be better: a few times the
2 ms that the way there and back takes, since the state known of it is older."""
DISTANCE_PER_BYTE = 6e-6
"""Seconds by which it must be better for each byte that crosses: an upload of 60 kB
stays unless that saves 360 ms, nearly half of the aim of uploads."""
LEAST_SUCCESS = 0.05
"""Bounds the cost of a target that answered nothing well of late."""
BLOCKED = 10.0
"""Seconds added for a target that could not be reached: only when all are like that."""


class Choice(NamedTuple):
    """A target and what to expect of it."""

    target: model.Target
    estimate: loads.Estimate
    wait: float
    """Seconds in the target's queue."""


def expect_wait(estimate: loads.Estimate, slots: int) -> float:
    """Return the seconds that a request would queue at a target.

    With all slots busy, one is freed each service time divided by the slots.
    """
    ahead = estimate.running - slots + 1
    return max(0, ahead) * estimate.turn / max(1, slots)


def choose(
    targets: Iterable[model.Target],
    counts: loads.Loads,
    now: float,
    data_centre: str,
    size: int,
    generator: random.Random,
    excluded: frozenset[str] = frozenset(),
    route: str = "",
) -> Choice | None:
    """Return the target that is expected to finish first.

    Parameters
    ----------
    targets : iterable of model.Target
        Those that are not leaving.
    counts : loads.Loads
    now : float
        Monotonic seconds.
    data_centre : str
        Of this instance.
    size : int
        Bytes of the request and its answer.
    generator : random.Random
        Decides between equal ones.
    excluded : frozenset of str
        Targets that already had the request.
    route : str, optional
        Name of the request's route.
    """
    best = None
    for target in targets:
        if target.leaving or target.name in excluded:
            continue
        estimate = counts.estimate(
            target.service, target.name, now, target.slots, route
        )
        wait = expect_wait(estimate, target.slots)
        cost = (wait + estimate.service) / max(estimate.success, LEAST_SUCCESS)
        if target.data_centre != data_centre:
            cost += DISTANCE + size * DISTANCE_PER_BYTE
        if estimate.blocked:
            cost += BLOCKED
        # Instances that know the same must not all choose the same target.
        cost *= 1 + 0.1 * generator.random()
        if best is None or cost < best[0]:
            best = cost, Choice(target, estimate, wait)
    return None if best is None else best[1]
