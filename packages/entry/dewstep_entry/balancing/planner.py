"""Plans the moves of one service from the reports of its gates.

Pure: the same reports give the same plan in every process, so that two processes
that plan at once propose the same moves.
"""

import datetime
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from dewstep_core import data, ledger, placement, rebalancing
from dewstep_entry.balancing import workload
from dewstep_entry.policy import outliers

JOIN_LIMIT = 32
"""Shards that a new target gets in one plan; each move refuses requests shortly."""


class Report(NamedTuple):
    """What the gate of a target knows of its load."""

    target: str
    load: workload.TargetLoad
    factor: float
    """Part of its slots that the target may use."""
    summary: outliers.Summary | None


def collect_shard_loads(
    assignment: data.Assignment, reports: Iterable[Report]
) -> list[float]:
    """Return the load of each shard.

    After a move the count of the former owner decays as that of the new one grows;
    their sum is the load of the shard, and either alone is too low for a minute.
    """
    loads = [0.0] * len(assignment.owners)
    for report in reports:
        for shard, load in report.load.shards.items():
            if shard < len(loads):
                loads[shard] += load
    return loads


def collect_key_loads(reports: Iterable[Report]) -> dict[str, float]:
    """Return the load of each hot key, added up as that of the shards."""
    loads: dict[str, float] = {}
    for report in reports:
        for key, load in report.load.keys.items():
            loads[key] = loads.get(key, 0.0) + load
    return loads


def plan(
    assignment: data.Assignment,
    targets: Mapping[str, data.Target],
    reports: Iterable[Report],
    now: datetime.timedelta,
    history: Mapping[int | str, datetime.timedelta],
) -> tuple[ledger.Move, ...]:
    """Return the moves that even out the load of a service.

    Only targets with a report may get anything: a target whose gate does not answer
    may be lost. A target that owns nothing gets its share first.
    """
    reports = tuple(sorted(reports, key=lambda report: report.target))
    usable = [targets[report.target] for report in reports if report.target in targets]
    factors = {report.target: report.factor for report in reports}
    shard_loads = collect_shard_loads(assignment, reports)
    owning = set(assignment.owners)
    for target in usable:
        if target.name not in owning and not target.draining:
            moves = placement.plan_join(
                assignment, target.name, usable, shard_loads, factors
            )
            return moves[:JOIN_LIMIT]
    key_loads = collect_key_loads(reports)
    return rebalancing.plan_moves(
        assignment, shard_loads, key_loads, usable, now, history, factors
    )
