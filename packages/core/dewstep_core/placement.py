"""Which target owns which shard: first plan, and plans for lost, new and leaving ones.

The assignment is stored as a whole, so a plan need not be a function of the set of
targets as with consistent hashing: it starts from the present owners and changes as
little as possible. Equal inputs give equal plans in every process, so that two
processes that plan at once propose the same.

Loads are in any unit, such as requests/s; targets are filled in proportion to their
slots. Planning by load of running targets is in `rebalancing.py`.
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
    """Owners of all shards and of the single keys lifted out of them."""

    owners: tuple[str, ...]
    overrides: Mapping[str, str]


def plan_first(
    service: data.Service, targets: Iterable[data.Target]
) -> tuple[str, ...]:
    """Return the owner of each shard of a service that has no assignment yet.

    Each shard goes to the target with the fewest shards for each slot. The result is
    empty if no target can own shards.
    """
    capacities = ledger.compute_capacities(targets, service.name, {})
    if not capacities:
        return ()
    heap = [(1 / slots, name) for name, slots in capacities.items()]
    heapq.heapify(heap)
    owners = []
    for _ in range(service.shard_count):
        filled, name = heap[0]
        owners.append(name)
        heapq.heapreplace(heap, (filled + 1 / capacities[name], name))
    return tuple(owners)


def plan_evacuation(
    assignment: data.Assignment,
    lost: Collection[str],
    candidates: Iterable[data.Target],
    shard_loads: Sequence[float] | None = None,
    key_loads: Mapping[str, float] | None = None,
    factors: Mapping[str, float] | None = None,
) -> Ownership:
    """Return the ownership after the loss of targets; only their units move.

    Parameters
    ----------
    assignment : data.Assignment
        Present owners.
    lost : collection of str
        Names of the targets that are gone.
    candidates : iterable of data.Target
        Targets that may take over; lost ones among them are ignored.
    shard_loads : sequence of float, optional
        Load of each shard; by default all count alike.
    key_loads : mapping of str to float, optional
        Loads of hot keys. A lifted key of a lost target that is not among them goes
        back to its shard.
    factors : mapping of str to float, optional
        Part of its slots that a target may use.

    Returns
    -------
    Ownership
        Unchanged if there is no candidate.
    """
    remaining = [target for target in candidates if target.name not in lost]
    capacities = ledger.compute_capacities(remaining, assignment.service, factors or {})
    if not capacities:
        return Ownership(assignment.owners, assignment.overrides)
    loads = fill_loads(assignment, shard_loads)
    heat = key_loads or {}
    book = ledger.Ledger(assignment, loads, heat, capacities)
    units = [
        ledger.Unit(loads[shard], shard)
        for shard, owner in enumerate(assignment.owners)
        if owner in lost
    ]
    orphans = sorted(key for key, name in assignment.overrides.items() if name in lost)
    units.extend(ledger.Unit(heat[key], key) for key in orphans if key in heat)
    # The heaviest first: small units then even out what the large ones left.
    units.sort(key=lambda unit: (-unit.load, str(unit.subject)))
    heap = [(book.measure(name), name) for name in capacities]
    heapq.heapify(heap)
    owners, overrides = list(assignment.owners), dict(assignment.overrides)
    for key in orphans:
        del overrides[key]
    for load, subject in units:
        measure, name = heap[0]
        if isinstance(subject, int):
            owners[subject] = name
        else:
            overrides[subject] = name
        heapq.heapreplace(heap, (measure + load / capacities[name], name))
    return Ownership(tuple(owners), overrides)


def plan_leave(
    assignment: data.Assignment,
    leaving: str,
    targets: Iterable[data.Target],
    shard_loads: Sequence[float] | None = None,
    key_loads: Mapping[str, float] | None = None,
    factors: Mapping[str, float] | None = None,
) -> tuple[Move, ...]:
    """Return the moves that empty a target which is about to leave."""
    after = plan_evacuation(
        assignment, {leaving}, targets, shard_loads, key_loads, factors
    )
    return compare(assignment, after)


def plan_join(
    assignment: data.Assignment,
    newcomer: str,
    targets: Iterable[data.Target],
    shard_loads: Sequence[float] | None = None,
    factors: Mapping[str, float] | None = None,
) -> tuple[Move, ...]:
    """Return the moves that give a new target its share.

    The newcomer gets at most its share of the shards, which is the least number that
    a balance by count needs, and of the load. Called again with a greater factor, as
    a cold target warms up, it only adds what is missing.
    """
    capacities = ledger.compute_capacities(targets, assignment.service, factors or {})
    if newcomer not in capacities:
        return ()
    book = ledger.Ledger(
        assignment, fill_loads(assignment, shard_loads), {}, capacities
    )
    share = capacities[newcomer] / sum(capacities.values())
    fair_load = sum(book.loads.values()) * share
    quota = int(len(assignment.owners) * share) - len(book.shards[newcomer])
    donors = [(-book.measure(name), name) for name in capacities if name != newcomer]
    heapq.heapify(donors)
    moves: list[Move] = []
    while donors and len(moves) < quota:
        _, donor = heapq.heappop(donors)
        room = fair_load - book.loads[newcomer]
        wanted = room / (quota - len(moves))
        unit = find_nearest(book.shards[donor], wanted, room)
        if unit is None:
            continue
        moves.append(book.move_shard(unit.subject, newcomer))
        heapq.heappush(donors, (-book.measure(donor), donor))
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


def compare(assignment: data.Assignment, after: Ownership) -> tuple[Move, ...]:
    """Return the moves that lead from `assignment` to `after`."""
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


def fill_loads(
    assignment: data.Assignment, shard_loads: Sequence[float] | None
) -> Sequence[float]:
    """Return the loads, or one for each shard where none are known."""
    if shard_loads is None or not any(shard_loads):
        return [1.0] * len(assignment.owners)
    return shard_loads


def estimate_shard_loads(
    assignment: data.Assignment,
    known: Mapping[int, float],
    totals: Mapping[str, float],
    key_loads: Mapping[str, float],
) -> list[float]:
    """Return loads of all shards where only some targets' shards are known one by one.

    A gate counts the shards of its own targets and hears one total of each other
    target; to share all shards' loads would take half a megabyte at 65,536 shards. The
    total without the hot keys is spread evenly over the shards. A gate carries out
    only the moves from its own targets, whose shards are exact.

    Parameters
    ----------
    assignment : data.Assignment
        Present owners.
    known : mapping of int to float
        Loads of the shards of own targets.
    totals : mapping of str to float
        Load of each other target, with the keys lifted to it.
    key_loads : mapping of str to float
        Loads of hot keys, lifted or not.
    """
    places = {
        key: hashing.compute_shard(key, len(assignment.owners)) for key in key_loads
    }
    cold, counts = dict(totals), collections.Counter(assignment.owners)
    for key in sorted(places):
        owner = assignment.overrides.get(key, assignment.owners[places[key]])
        if owner in cold:
            cold[owner] = max(0.0, cold[owner] - key_loads[key])
    loads = [
        cold.get(owner, 0.0) / counts[owner] if shard not in known else known[shard]
        for shard, owner in enumerate(assignment.owners)
    ]
    for key in sorted(places):
        if key not in assignment.overrides and places[key] not in known:
            loads[places[key]] += key_loads[key]
    return loads


def find_nearest(
    units: list[ledger.Unit], wanted: float, room: float
) -> ledger.Unit | None:
    """Return the unit of a load nearest to `wanted` that is no more than `room`."""
    place = bisect.bisect_left(units, (wanted,))
    near = [
        unit
        for unit in units[max(0, place - 1) : place + 1]
        # Sums of equal shares miss the fair load by rounding.
        if unit.load <= room * (1 + 1e-9)
    ]
    return min(near, key=lambda unit: (abs(unit.load - wanted), unit), default=None)
