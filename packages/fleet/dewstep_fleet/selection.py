"""Chooses a target for a request that any target of a service can run.

The cost of a target is the expected completion time divided by the success rate, since
a failure costs the time of another try, plus a penalty for traffic to another data
centre. `spreading` chooses among the targets with low costs.
"""

import datetime
import random
from collections.abc import Iterable
from typing import NamedTuple

from dewstep_fleet import load_counts, model
from dewstep_fleet.load import spreading

REMOTE_PENALTY_S = 0.015
"""Penalty for a target in another data centre: several times the round trip of 2 ms,
since the known state of such a target is older."""
REMOTE_PENALTY_S_PER_BYTE = 6e-6
"""Penalty for each byte sent to another data centre: an upload of 60 kB stays in its
data centre unless that would take 360 ms longer, nearly half of the target latency of
uploads."""
MIN_SUCCESS = 0.05
"""Lower bound of the success rate, which limits the cost of a failing target."""
UNREACHABLE_PENALTY_S = 10.0
"""Penalty for an unreachable target, so that it is only used if all are unreachable."""


class Choice(NamedTuple):
    """A chosen target and its estimate."""

    target: model.Target
    estimate: load_counts.Estimate
    wait: float
    """Expected queueing time in seconds."""


def estimate_wait(estimate: load_counts.Estimate, slots: int) -> float:
    """Return the expected queueing time of a request in seconds.

    While all slots are busy, one becomes free every service time divided by the slots.
    """
    ahead = estimate.running - slots + 1
    return max(0, ahead) * estimate.turn / max(1, slots)


def estimate_queue_wait(
    loads: load_counts.Loads, target: model.Target, now: datetime.timedelta
) -> datetime.timedelta:
    """Return the expected queueing time at a target."""
    estimate = loads.estimate(
        target.service, target.name, now.total_seconds(), target.slots
    )
    return datetime.timedelta(seconds=estimate_wait(estimate, target.slots))


def choose_target(
    targets: Iterable[model.Target],
    loads: load_counts.Loads,
    now: float,
    data_centre: str,
    exchange_bytes: int,
    generator: random.Random,
    excluded: frozenset[str] = frozenset(),
    route: str = "",
) -> Choice | None:
    """Return a target with a low cost, or None if there is none.

    Parameters
    ----------
    targets : iterable of model.Target
        Targets that are leaving or have asked for a pause are skipped.
    loads : load_counts.Loads
    now : float
        Monotonic seconds.
    data_centre : str
        Data centre of this instance.
    exchange_bytes : int
        Size of the request and its answer in bytes.
    generator : random.Random
        Chooses among the targets at which other instances are expected to fill the
        places, too.
    excluded : frozenset of str
        Targets that have already received the request.
    route : str, optional
        Name of the request's route.
    """
    offers = []
    for target in targets:
        if target.leaving or target.name in excluded:
            continue
        estimate = loads.estimate(target.service, target.name, now, target.slots, route)
        if estimate.pause_left:
            continue
        remote = target.data_centre != data_centre
        penalty = 0.0
        if remote:
            penalty = REMOTE_PENALTY_S + exchange_bytes * REMOTE_PENALTY_S_PER_BYTE
        if estimate.blocked:
            penalty += UNREACHABLE_PENALTY_S
        success = max(estimate.success, MIN_SUCCESS)
        offers.append(spreading.Offer(target, estimate, success, penalty, remote))
    chosen = spreading.choose_offer(offers, generator)
    if chosen is None:
        return None
    target, estimate = chosen.target, chosen.estimate
    return Choice(target, estimate, estimate_wait(estimate, target.slots))


def find_shortest_pause(
    targets: Iterable[model.Target],
    loads: load_counts.Loads,
    now: float,
    excluded: frozenset[str] = frozenset(),
) -> tuple[str, float] | None:
    """Return the target whose pause ends first, and the seconds until then, or None.

    Parameters
    ----------
    targets : iterable of model.Target
    loads : load_counts.Loads
    now : float
        Monotonic seconds.
    excluded : frozenset of str
        Targets that have already received the request.
    """
    pauses = [
        (loads.get_pause_left(target.name, now), target.name)
        for target in targets
        if not target.leaving and target.name not in excluded
    ]
    paused = [item for item in pauses if item[0] > 0]
    if not paused:
        return None
    time_left, name = min(paused)
    return name, time_left
