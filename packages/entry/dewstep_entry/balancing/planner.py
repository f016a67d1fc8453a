"""Plans the moves of one service from the reports of its gates.

The plan is deterministic: with the same reports, two processes that plan concurrently
propose the same moves.
"""

import datetime
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from dewstep_core import data, ledger, placement, rebalancing
from dewstep_entry.balancing import workload
from dewstep_entry.policy import outliers

MAX_JOIN_MOVES = 32
"""Maximum number of shards moved in one plan to a target that owns none. Requests for a
shard are refused for a short time while it is moved."""


class Report(NamedTuple):
    """Load and outlier state of a target, reported by its gate."""

    target: str
    load: workload.TargetLoad
    factor: float
    """Share of its slots that the target may use."""
    summary: outliers.Summary | None


def collect_shard_loads(
    assignment: data.Assignment, reports: Iterable[Report]
) -> list[float]:
    """Return the load of each shard, summed over all targets.

    After a move, the count at the former owner decays while that at the new one grows.
    Their sum is the load of the shard; each alone is too low for about a minute.
    """
    loads = [0.0] * len(assignment.owners)
    for report in reports:
        for shard, load in report.load.shards.items():
            if shard < len(loads):
                loads[shard] += load
    return loads


def collect_key_loads(reports: Iterable[Report]) -> dict[str, float]:
    """Return the load of each hot key, summed over all targets like that of shards."""
    loads: dict[str, float] = {}
    for report in reports:
        for key, load in report.load.keys.items():
            loads[key] = loads.get(key, 0.0) + load
    return loads


def build_plan(
    assignment: data.Assignment,
    targets: Mapping[str, data.Target],
    reports: Iterable[Report],
    now: datetime.timedelta,
    move_times: Mapping[int | str, datetime.timedelta],
) -> tuple[ledger.Move, ...]:
    """Return the moves that balance the load of a service.

    Nothing is moved to a target without a report, since it may be lost. If there is a
    target that owns no shards, the plan only moves its share of the shards to it.
    """
    reports = tuple(sorted(reports, key=lambda report: report.target))
    available = [
        targets[report.target] for report in reports if report.target in targets
    ]
    factors = {report.target: report.factor for report in reports}
    shard_loads = collect_shard_loads(assignment, reports)
    current_owners = set(assignment.owners)
    for target in available:
        if target.name not in current_owners and not target.draining:
            moves = placement.plan_join(
                assignment, target.name, available, shard_loads, factors
            )
            return moves[:MAX_JOIN_MOVES]
    key_loads = collect_key_loads(reports)
    return rebalancing.plan_moves(
        assignment, shard_loads, key_loads, available, now, move_times, factors
    )
