"""Placement of shards on targets: initial, and when targets are lost, join or leave.

The assignment is stored as a whole. A plan is therefore not a function of the set of
targets, as with consistent hashing: it starts from the present owners and changes as
little as possible. Equal inputs give equal plans in every process, so that processes
that plan concurrently arrive at the same result.

Loads may have any unit, such as requests/s. Targets are filled in proportion to their
slots. `rebalancing.py` plans moves between running targets by load.
"""

import bisect
import collections
import heapq
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from dewstep_core import data, hashing, ledger, rebalancing

Move = ledger.Move
plan_moves = rebalancing.plan_moves


class Ownership(NamedTuple):
    """Owners of all shards, and overrides for keys lifted out of them."""

    owners: tuple[str, ...]
    overrides: Mapping[str, str]


def plan_initial(
    service: data.Service, targets: Iterable[data.Target]
) -> tuple[str, ...]:
    """Return the owner of each shard of a service that has no assignment yet.

    Each shard goes to the target with the fewest shards per slot. The result is empty
    if no target can own shards.
    """
    capacities = ledger.compute_capacities(targets, service.name, {})
    if not capacities:
        return ()
    heap = [(1 / slots, name) for name, slots in capacities.items()]
    heapq.heapify(heap)
    owners = []
    for _ in range(service.shard_count):
        shards_per_slot, name = heap[0]
        owners.append(name)
        heapq.heapreplace(heap, (shards_per_slot + 1 / capacities[name], name))
    return tuple(owners)


def plan_evacuation(
    assignment: data.Assignment,
    lost: Collection[str],
    candidates: Iterable[data.Target],
    shard_loads: Sequence[float] | None = None,
    key_loads: Mapping[str, float] | None = None,
    capacity_factors: Mapping[str, float] | None = None,
) -> Ownership:
    """Return the ownership after the loss of targets; only their units are moved.

    Parameters
    ----------
    assignment : data.Assignment
        Present owners.
    lost : collection of str
        Names of the lost targets.
    candidates : iterable of data.Target
        Targets that may receive units; lost ones among them are ignored.
    shard_loads : sequence of float, optional
        Load of each shard; by default all shards have the same load.
    key_loads : mapping of str to float, optional
        Load of each hot key. A key that is lifted to a lost target and has no entry
        is returned to its shard.
    capacity_factors : mapping of str to float, optional
        Fraction of its slots that a target may use, 1 if absent.

    Returns
    -------
    Ownership
        The present one if there is no candidate.
    """
    remaining = [target for target in candidates if target.name not in lost]
    capacities = ledger.compute_capacities(
        remaining, assignment.service, capacity_factors or {}
    )
    if not capacities:
        return Ownership(assignment.owners, assignment.overrides)
    loads = fill_in_default_loads(assignment, shard_loads)
    hot_key_loads = key_loads or {}
    load_ledger = ledger.Ledger(assignment, loads, hot_key_loads, capacities)
    units = [
        ledger.Unit(loads[shard], shard)
        for shard, owner in enumerate(assignment.owners)
        if owner in lost
    ]
    lost_keys = sorted(
        key for key, name in assignment.overrides.items() if name in lost
    )
    units.extend(
        ledger.Unit(hot_key_loads[key], key)
        for key in lost_keys
        if key in hot_key_loads
    )
    # The heaviest units come first, so that the lighter ones balance the rest.
    units.sort(key=lambda unit: (-unit.load, str(unit.subject)))
    heap = [(load_ledger.compute_load_per_slot(name), name) for name in capacities]
    heapq.heapify(heap)
    owners, overrides = list(assignment.owners), dict(assignment.overrides)
    for key in lost_keys:
        del overrides[key]
    for load, subject in units:
        load_per_slot, name = heap[0]
        if isinstance(subject, int):
            owners[subject] = name
        else:
            overrides[subject] = name
        heapq.heapreplace(heap, (load_per_slot + load / capacities[name], name))
    return Ownership(tuple(owners), overrides)


def plan_leave(
    assignment: data.Assignment,
    leaving: str,
    targets: Iterable[data.Target],
    shard_loads: Sequence[float] | None = None,
    key_loads: Mapping[str, float] | None = None,
    capacity_factors: Mapping[str, float] | None = None,
) -> tuple[Move, ...]:
    """Return the moves after which a leaving target owns nothing."""
    after = plan_evacuation(
        assignment, {leaving}, targets, shard_loads, key_loads, capacity_factors
    )
    return list_moves(assignment, after)


def plan_join(
    assignment: data.Assignment,
    joining: str,
    targets: Iterable[data.Target],
    shard_loads: Sequence[float] | None = None,
    capacity_factors: Mapping[str, float] | None = None,
) -> tuple[Move, ...]:
    """Return the moves that give a joining target its share.

    The target gets at most its share of the load and of the number of shards, so that
    no more shards move than are needed to balance the number of shards. While a target
    warms up, the function is called again with larger factors and returns only the
    additional moves.
    """
    capacities = ledger.compute_capacities(
        targets, assignment.service, capacity_factors or {}
    )
    if joining not in capacities:
        return ()
    load_ledger = ledger.Ledger(
        assignment, fill_in_default_loads(assignment, shard_loads), {}, capacities
    )
    share = capacities[joining] / sum(capacities.values())
    fair_load = sum(load_ledger.loads.values()) * share
    quota = int(len(assignment.owners) * share) - len(load_ledger.shard_units[joining])
    sources = [
        (-load_ledger.compute_load_per_slot(name), name)
        for name in capacities
        if name != joining
    ]
    heapq.heapify(sources)
    moves: list[Move] = []
    while sources and len(moves) < quota:
        _, source = heapq.heappop(sources)
        maximum_load = fair_load - load_ledger.loads[joining]
        wanted_load = maximum_load / (quota - len(moves))
        unit = find_nearest_unit(
            load_ledger.shard_units[source], wanted_load, maximum_load
        )
        if unit is None:
            continue
        moves.append(load_ledger.move_shard(unit.subject, joining))
        heapq.heappush(sources, (-load_ledger.compute_load_per_slot(source), source))
    return tuple(moves)


def apply_moves(assignment: data.Assignment, moves: Iterable[Move]) -> Ownership:
    """Return the ownership after `moves`."""
    owners, overrides = list(assignment.owners), dict(assignment.overrides)
    for move in moves:
        if move.action == ledger.SHARD:
            owners[move.subject] = move.destination
        elif move.action == ledger.LIFT:
            overrides[move.subject] = move.destination
        else:
            overrides.pop(move.subject, None)
    return Ownership(tuple(owners), overrides)


def list_moves(assignment: data.Assignment, after: Ownership) -> tuple[Move, ...]:
    """Return the moves that change the owners in `assignment` to those in `after`."""
    pairs = zip(assignment.owners, after.owners, strict=True)
    moves = [
        Move(ledger.SHARD, shard, old, new)
        for shard, (old, new) in enumerate(pairs)
        if old != new
    ]
    for key, old in sorted(assignment.overrides.items()):
        new = after.overrides.get(key)
        if new is None:
            moves.append(Move(ledger.RETURN, key, old, ""))
        elif new != old:
            moves.append(Move(ledger.LIFT, key, old, new))
    return tuple(moves)


def fill_in_default_loads(
    assignment: data.Assignment, shard_loads: Sequence[float] | None
) -> Sequence[float]:
    """Return the loads, or 1 for each shard if all loads are unknown or 0."""
    if shard_loads is None or not any(shard_loads):
        return [1.0] * len(assignment.owners)
    return shard_loads


def estimate_shard_loads(
    assignment: data.Assignment,
    known_loads: Mapping[int, float],
    target_totals: Mapping[str, float],
    key_loads: Mapping[str, float],
) -> list[float]:
    """Return the loads of all shards, estimated where only the target's total is known.

    A process counts the requests of each shard of its own targets, and receives only
    the total load of each other target: the loads of all shards would take 0.5 MB at
    65,536 shards. A total, less the hot keys, is distributed evenly over the target's
    shards. The estimates affect only the choice of receivers, because a process carries
    out only moves from its own targets, whose shard loads are exact.

    Parameters
    ----------
    assignment : data.Assignment
        Present owners.
    known_loads : mapping of int to float
        Loads of the shards of the process's own targets.
    target_totals : mapping of str to float
        Total load of each other target, including the keys lifted to it.
    key_loads : mapping of str to float
        Load of each hot key, lifted or not.
    """
    key_shards = {
        key: hashing.compute_shard(key, len(assignment.owners)) for key in key_loads
    }
    cold_totals, shard_counts = (
        dict(target_totals),
        collections.Counter(assignment.owners),
    )
    for key in sorted(key_shards):
        owner = assignment.overrides.get(key, assignment.owners[key_shards[key]])
        if owner in cold_totals:
            cold_totals[owner] = max(0.0, cold_totals[owner] - key_loads[key])
    loads = [
        cold_totals.get(owner, 0.0) / shard_counts[owner]
        if shard not in known_loads
        else known_loads[shard]
        for shard, owner in enumerate(assignment.owners)
    ]
    for key in sorted(key_shards):
        if key not in assignment.overrides and key_shards[key] not in known_loads:
            loads[key_shards[key]] += key_loads[key]
    return loads


def find_nearest_unit(
    units: list[ledger.Unit], wanted_load: float, maximum_load: float
) -> ledger.Unit | None:
    """Return the unit with the load nearest to `wanted_load`, at most `maximum_load`.

    `units` is ordered by load. The result is None if both neighbours of `wanted_load`
    are too heavy.
    """
    index = bisect.bisect_left(units, (wanted_load,))
    neighbours = [
        unit
        for unit in units[max(0, index - 1) : index + 1]
        # Tolerates rounding errors in sums of equal shares.
        if unit.load <= maximum_load * (1 + 1e-9)
    ]
    return min(
        neighbours, key=lambda unit: (abs(unit.load - wanted_load), unit), default=None
    )
