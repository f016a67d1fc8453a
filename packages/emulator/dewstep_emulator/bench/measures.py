"""Measures of the design page (section 1.6), computed from records and rows.

Pure functions: they take what callers saw, what targets ran and who owned what.
"""

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from hdrh import histogram

from dewstep_core import hashing
from dewstep_emulator.bench import generator, wires

LARGEST = 60_000_000
"""Microseconds; the largest latency that a histogram holds."""
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Imbalance(NamedTuple):
    """Load of the busiest target of a service."""

    over_mean: float
    over_bound: float
    """Over max(mean, rate of the hottest key): no placement can do better."""


class Churn(NamedTuple):
    """Change of owners between two assignments."""

    shards: float
    """Part of the shards that changed owner."""
    keys: float
    """Part of the requested keys that changed owner."""
    over_least: float | None
    """Moved shards over the least that the event needs; None if it needs none."""


def build_histogram(seconds: Iterable[float]) -> histogram.HdrHistogram:
    """Return a histogram of times in microseconds."""
    counts = histogram.HdrHistogram(1, LARGEST, 3)
    for value in seconds:
        counts.record_value(min(max(int(value * 1e6), 1), LARGEST))
    return counts


def compute_percentiles(seconds: Iterable[float]) -> dict[str, float]:
    """Return percentiles in milliseconds, by name."""
    counts = build_histogram(seconds)
    if not counts.total_count:
        return {}
    return {
        f"p{percentile:g}": counts.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }


def compute_imbalance(
    loads: Mapping[str, float], keys: Mapping[str, float], targets: int
) -> Imbalance:
    """Return the imbalance from requests by target and by key of one service."""
    total = sum(loads.values())
    if not total or not targets:
        return Imbalance(0.0, 0.0)
    mean = total / targets
    busiest = max(loads.values())
    return Imbalance(busiest / mean, busiest / max(mean, max(keys.values())))


def compute_loads(
    keys: Mapping[str, float], owners: Sequence[str], overrides: Mapping[str, str]
) -> collections.Counter:
    """Return the load of each target from the loads of keys and an assignment."""
    loads: collections.Counter = collections.Counter()
    for key, load in keys.items():
        shard = hashing.compute_shard(key, len(owners))
        loads[overrides.get(key, owners[shard])] += load
    return loads


def compute_churn(
    before: Sequence[str],
    after: Sequence[str],
    keys: Iterable[str],
    least: int,
) -> Churn:
    """Return how much changed between two lists of owners.

    Parameters
    ----------
    before, after : sequence of str
        Owner of each shard.
    keys : iterable of str
        Keys that were requested.
    least : int
        Shards that the event makes move at least.
    """
    moved = {
        shard
        for shard, (old, new) in enumerate(zip(before, after, strict=True))
        if old != new
    }
    asked = set(keys)
    changed = sum(hashing.compute_shard(key, len(before)) in moved for key in asked)
    return Churn(
        len(moved) / len(before),
        changed / len(asked) if asked else 0.0,
        len(moved) / least if least else None,
    )


def find_groups(
    records: Iterable[generator.Record],
    owners: Mapping[str, Sequence[str]],
    services: Sequence[str],
) -> dict[str, list[generator.Record]]:
    """Return the records by the target that owned their keys at the beginning.

    Parameters
    ----------
    records : iterable of generator.Record
    owners : mapping
        Owner of each shard, by service.
    services : sequence of str
        Service of each kind of request.
    """
    groups: dict[str, list] = collections.defaultdict(list)
    for record in records:
        listed = owners[services[record.kind]]
        groups[listed[hashing.compute_shard(record.key, len(listed))]].append(record)
    return groups


def compute_unavailable(
    groups: Mapping[str, Sequence[generator.Record]], since: float
) -> dict[str, Any]:
    """Return the unavailable time of the keys of each target, in seconds.

    The keys of a target are unavailable from the schedule of the first request in a
    row that was never answered until the schedule of the next one that was.

    Parameters
    ----------
    groups : mapping
        Result of `find_groups`.
    since : float
        Time of the fault, from which `restored_s` counts: until the first answer to a
        request that was scheduled later, for the target where that took longest.
    """
    spells = []
    restored = {}
    for name, line in groups.items():
        begin = None
        for record in sorted(line):
            if record.outcome not in (wires.ANSWERED, "bad-request"):
                begin = record.scheduled if begin is None else begin
            elif begin is not None:
                spells.append(record.scheduled - begin)
                begin = None
        if begin is not None:
            spells.append(max(record.scheduled for record in line) - begin)
        answers = [record.finished for record in select_answered(line, since)]
        restored[name] = min(answers) - since if answers else None
    last = max(restored, key=lambda name: restored[name] or LARGEST, default="")
    return {
        "spells": len(spells),
        "longest_s": max(spells, default=0.0),
        "mean_per_target_s": sum(spells) / len(groups) if groups else 0.0,
        "restored_s": restored.get(last),
        "restored_last": last,
    }


def compute_answered(
    records: Iterable[generator.Record], weights: Sequence[float]
) -> dict[str, float]:
    """Return the answered part of the requests, plain and weighted by kind."""
    total = answered = weighted_total = weighted = 0.0
    for record in records:
        weight = weights[record.kind]
        total += 1
        weighted_total += weight
        if record.outcome in (wires.ANSWERED, "bad-request"):
            answered += 1
            weighted += weight
    return {
        "requests": total,
        "answered": answered / total if total else 0.0,
        "answered_weighted": weighted / weighted_total if weighted_total else 0.0,
    }


def select_answered(
    records: Iterable[generator.Record], begin: float = 0.0, end: float = float("inf")
) -> list[generator.Record]:
    """Return the answered requests that were scheduled in a time span."""
    return [
        record
        for record in records
        if record.outcome == wires.ANSWERED and begin <= record.scheduled < end
    ]


def get_latencies(records: Iterable[generator.Record]) -> list[float]:
    """Return the times from the scheduled arrival to the last answer in seconds."""
    return [record.finished - record.scheduled for record in records]


def compute_retries(records: Sequence[generator.Record], runs: int) -> dict[str, float]:
    """Return the load that is added by callers' and dewstep's repeated tries.

    Parameters
    ----------
    records : sequence of generator.Record
    runs : int
        Runs that the targets started.
    """
    if not records:
        return {}
    return {
        "callers": sum(record.tries - 1 for record in records) / len(records),
        "runs_per_request": runs / len(records),
    }
