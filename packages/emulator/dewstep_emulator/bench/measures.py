"""Benchmark measures: latency, imbalance, churn, unavailability and retries.

Pure functions of request records, the runs of targets and the owners of shards.
"""

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from hdrh import histogram

from dewstep_core import hashing
from dewstep_emulator.bench import generator, load_client

MAX_LATENCY_US = 60_000_000
"""Largest latency that a histogram can represent."""
MIN_REQUESTS = 20
"""Minimum number of requests to a target's keys for measuring its restoration."""
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Imbalance(NamedTuple):
    """Load of the busiest target of a service."""

    over_mean: float
    over_bound: float
    """Over max(mean, load of the hottest key), the optimum of any placement."""


class Churn(NamedTuple):
    """Change of owners between two assignments."""

    shards: float
    """Fraction of the shards that changed owner."""
    keys: float
    """Fraction of the requested keys that changed owner."""
    over_least: float | None
    """Moved shards over the required moves; None if no move was required."""


def build_histogram(seconds: Iterable[float]) -> histogram.HdrHistogram:
    """Return a histogram of times in microseconds."""
    counts = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    for value in seconds:
        counts.record_value(min(max(int(value * 1e6), 1), MAX_LATENCY_US))
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
    min_moves: int,
) -> Churn:
    """Return how much changed between two lists of owners.

    Parameters
    ----------
    before, after : sequence of str
        Owner of each shard.
    keys : iterable of str
        Keys that were requested.
    min_moves : int
        Number of shards that had to move.
    """
    moved = {
        shard
        for shard, (old, new) in enumerate(zip(before, after, strict=True))
        if old != new
    }
    requested_keys = set(keys)
    changed = sum(
        hashing.compute_shard(key, len(before)) in moved for key in requested_keys
    )
    return Churn(
        len(moved) / len(before),
        changed / len(requested_keys) if requested_keys else 0.0,
        len(moved) / min_moves if min_moves else None,
    )


def group_by_owner(
    records: Iterable[generator.Record],
    owners: Mapping[str, Sequence[str]],
    services: Sequence[str],
) -> dict[str, list[generator.Record]]:
    """Return the records grouped by the target that owned their keys initially.

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
        service_owners = owners[services[record.kind]]
        groups[
            service_owners[hashing.compute_shard(record.key, len(service_owners))]
        ].append(record)
    return groups


def compute_unavailability(
    groups: Mapping[str, Sequence[generator.Record]], since: float
) -> dict[str, Any]:
    """Return the unavailable time of the keys of each target, in seconds.

    The keys of a target are unavailable from the scheduled time of an unanswered
    request until the scheduled time of the next answered one.

    Parameters
    ----------
    groups : mapping
        Result of `group_by_owner`.
    since : float
        Time of the fault. `restored_s` is the time from then to the first answer to a
        request scheduled later, for the target with the longest such time. Targets with
        few requests are excluded, since the wait for the next request would count.
    """
    unavailable_spans = []
    restored = {}
    for name, target_records in groups.items():
        begin = None
        for record in sorted(target_records):
            if record.outcome not in (load_client.ANSWERED, "bad-request"):
                begin = record.scheduled if begin is None else begin
            elif begin is not None:
                unavailable_spans.append(record.scheduled - begin)
                begin = None
        if begin is not None:
            unavailable_spans.append(
                max(record.scheduled for record in target_records) - begin
            )
        if sum(record.scheduled >= since for record in target_records) < MIN_REQUESTS:
            continue
        answers = [record.finished for record in select_answered(target_records, since)]
        restored[name] = min(answers) - since if answers else None
    last_restored = max(
        restored, key=lambda name: restored[name] or MAX_LATENCY_US, default=""
    )
    return {
        "spells": len(unavailable_spans),
        "longest_s": max(unavailable_spans, default=0.0),
        "mean_per_target_s": sum(unavailable_spans) / len(groups) if groups else 0.0,
        "restored_s": restored.get(last_restored),
        "restored_last": last_restored,
    }


def compute_answered(
    records: Iterable[generator.Record], weights: Sequence[float]
) -> dict[str, float]:
    """Return the fraction of answered requests, unweighted and weighted by kind."""
    total = answered = weighted_total = weighted = 0.0
    for record in records:
        weight = weights[record.kind]
        total += 1
        weighted_total += weight
        if record.outcome in (load_client.ANSWERED, "bad-request"):
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
    """Return the answered requests scheduled within a time span."""
    return [
        record
        for record in records
        if record.outcome == load_client.ANSWERED and begin <= record.scheduled < end
    ]


def get_latencies(records: Iterable[generator.Record]) -> list[float]:
    """Return the times from scheduled arrival to the last answer, in seconds."""
    return [record.finished - record.scheduled for record in records]


def compute_retries(records: Sequence[generator.Record], runs: int) -> dict[str, float]:
    """Return the load added by retries of callers and of dewstep.

    Parameters
    ----------
    records : sequence of generator.Record
    runs : int
        Number of runs started by targets.
    """
    if not records:
        return {}
    return {
        "callers": sum(record.tries - 1 for record in records) / len(records),
        "runs_per_request": runs / len(records),
    }
