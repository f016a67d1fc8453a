"""Which ranges of keys change hands to even out the load of the targets.

A target's load is the part of its slots that the requests for its keys keep busy. The
planner takes from the most loaded target the narrowest range of keys that would bring
it level with the least loaded one, so that few keys change hands.
"""

import bisect
import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from dewstep_fleet import model, ranges

LEAST_LOAD = 0.5
"""Below this part of its slots a target queues next to nothing: M/M/4 waits for 9% of
the service time at one half."""
LEAST_GAP = 0.2
"""Difference of load that is worth a change of hands."""
NOISE = 2.5
"""A difference counts from this many standard deviations of the counts on: chance alone
exceeds it once in 160 looks."""
FASTER = 1.25
"""A target must be faster by this to get a key that alone fills its owner."""
ADMITTED = 1.25
"""Requests that are admitted for each that a target can serve: a queue goes on standing
there although a speed is known to about a quarter only, so that no slot is free."""
OVERSHOOT = 1.1
"""Most load of a chosen range, in parts of what was wanted."""
FILL = 0.7
"""Load up to which one move fills a target: M/M/4 then waits for a third of the service
time. A run of hot keys goes to all its new owners in one plan that way. Halving
it with one target at a time takes a round of releases for each halving."""
UNDERSHOOT = 0.35
"""Least load of a chosen range, in parts of what was wanted."""


class Move(NamedTuple):
    """A range that should change hands."""

    first: int
    last: int
    source: str
    target: str


class Capacity(NamedTuple):
    """What a target can serve."""

    target: str
    rate: float
    """Requests/s that keep all its slots busy."""


def measure(
    holdings: Iterable[model.Holding], rates: Mapping[int, float]
) -> dict[str, float]:
    """Return the requests/s for the keys of each target."""
    totals: dict[str, float] = {}
    ordered = sorted(rates.items())
    position = 0
    for holding in holdings:
        total = 0.0
        while position < len(ordered) and ordered[position][0] <= holding.last:
            total += ordered[position][1]
            position += 1
        totals[holding.target] = totals.get(holding.target, 0.0) + total
    return totals


def plan(
    holdings: tuple[model.Holding, ...],
    rates: Mapping[int, float],
    capacities: Mapping[str, Capacity],
    most: int,
    window: float,
    resting: frozenset[int] = frozenset(),
) -> list[Move]:
    """Return at most `most` moves, each of which lowers the highest load.

    Parameters
    ----------
    holdings : tuple of model.Holding
        Ranges that may be moved; others are left out.
    rates : mapping of int to float
        Requests/s by key.
    capacities : mapping of str to Capacity
        Targets that can own keys.
    most : int
        Limit of the moves of one plan.
    window : float
        Seconds over which the rates were counted.
    resting : frozenset of int, optional
        Keys that fill their owner and changed hands for that a short time ago.
    """
    totals = measure(holdings, rates)
    ordered = sorted(rates.items())
    for target in capacities:
        totals.setdefault(target, 0.0)
    capacity_sum = sum(capacity.rate for capacity in capacities.values())
    mean = sum(totals[target] for target in capacities) / max(capacity_sum, 1e-9)
    fill = max(FILL, mean)
    moves: list[Move] = []
    tried: set[str] = set()
    while len(moves) < most:
        loads = {
            target: totals[target] / capacity.rate
            for target, capacity in capacities.items()
        }
        sources = [target for target in loads if target not in tried]
        if len(loads) < 2 or not sources:
            break
        hottest = max(sources, key=loads.__getitem__)
        coldest = min(loads, key=loads.__getitem__)
        idle = not any(holding.target == coldest for holding in holdings)
        gap = loads[hottest] - loads[coldest]
        noise = math.sqrt(totals[hottest] / window) / capacities[hottest].rate
        uneven = loads[hottest] >= LEAST_LOAD and gap >= max(LEAST_GAP, NOISE * noise)
        if hottest == coldest or not (uneven or idle):
            break
        here, there = capacities[hottest].rate, capacities[coldest].rate
        wanted = gap * here * there / (here + there)
        wanted = min(wanted, (fill - loads[coldest]) * there)
        move = choose_range(holdings, ordered, hottest, coldest, wanted)
        if move is None:
            move = promote(holdings, rates, capacities, hottest, resting)
        if move is None:
            tried.add(hottest)
            continue
        moves.append(move)
        share = sum(rate for _, rate in select(ordered, move.first, move.last))
        totals[hottest] -= share
        totals[move.target] += share
        tried.add(move.target)
        holdings = ranges.cut(holdings, move.first, move.last) + (
            model.Holding(move.first, move.last, move.target, 0, 0),
        )
        holdings = tuple(sorted(holdings, key=ranges.get_first))
    return moves


def admit(
    totals: Mapping[str, float], capacities: Mapping[str, Capacity]
) -> dict[str, float]:
    """Return the part of the requests for its keys that each target can serve.

    Targets that can serve all of them are left out. Instances know a target's queue
    only as it was a beat ago. Where a key draws many times of what its owner can serve,
    all of them together would fill each gap with many requests for one free slot.

    Parameters
    ----------
    totals : mapping of str to float
        Requests/s for the keys of each target.
    capacities : mapping of str to Capacity
    """
    return {
        target: capacity.rate * ADMITTED / totals[target]
        for target, capacity in capacities.items()
        if totals.get(target, 0.0) > capacity.rate * ADMITTED
    }


def select(
    ordered: list[tuple[int, float]], first: int, last: int
) -> list[tuple[int, float]]:
    """Return the keys of a range and their rates, from those of all keys in order."""
    start = bisect.bisect_left(ordered, (first,))
    return ordered[start : bisect.bisect_left(ordered, (last + 1,))]


def choose_range(
    holdings: Iterable[model.Holding],
    ordered: list[tuple[int, float]],
    source: str,
    target: str,
    wanted: float,
) -> Move | None:
    """Return the narrowest range of `source` with about `wanted` requests/s."""
    best = None
    for holding in holdings:
        if holding.target != source:
            continue
        keys = select(ordered, holding.first, holding.last)
        found = find_window(keys, wanted)
        if found is None:
            continue
        first, last = found
        width = last - first
        if best is None or width < best[0]:
            best = width, Move(first, last, source, target)
    if best is not None:
        return best[1]
    return None


def promote(
    holdings: Iterable[model.Holding],
    rates: Mapping[int, float],
    capacities: Mapping[str, Capacity],
    source: str,
    resting: frozenset[int],
) -> Move | None:
    """Return the move of a key that alone fills its owner to the fastest target."""
    held = [item for item in holdings if item.target == source]
    keys = [
        key
        for key in rates
        if rates[key] >= capacities[source].rate
        and key not in resting
        and any(item.first <= key <= item.last for item in held)
    ]
    if not keys:
        return None
    hottest = max(keys, key=rates.__getitem__)
    filled = {
        item.target
        for item in holdings
        for key, rate in rates.items()
        if item.first <= key <= item.last
        and item.target in capacities
        and rate >= capacities[item.target].rate
    }
    free = [capacities[name] for name in capacities if name not in filled]
    if not free:
        return None
    fastest = max(free, key=lambda capacity: capacity.rate)
    if fastest.rate < capacities[source].rate * FASTER:
        return None
    return Move(hottest, hottest, source, fastest.target)


def find_window(keys: list[tuple[int, float]], wanted: float) -> tuple[int, int] | None:
    """Return first and last key of the narrowest run with about `wanted` requests/s."""
    best = None
    total = 0.0
    start = 0
    for end, (key, rate) in enumerate(keys):
        total += rate
        while total > wanted * OVERSHOOT and start <= end:
            total -= keys[start][1]
            start += 1
        if start > end or total < wanted * UNDERSHOOT:
            continue
        # A run that comes close to what is wanted beats a narrower one that does not.
        shortfall = max(0.0, wanted - total) / wanted
        quality = shortfall * model.KEYS / 16 + (key - keys[start][0])
        if best is None or quality < best[0]:
            best = quality, keys[start][0], key
    return None if best is None else best[1:]


def spread(
    holdings: Iterable[model.Holding],
    rates: Mapping[int, float],
    capacities: Mapping[str, Capacity],
    totals: Mapping[str, float],
) -> list[Move]:
    """Return the moves that give the ranges of lost targets to the others.

    Each range goes to the target that is then least loaded; a busy one is cut in two
    first, as long as a half is worth it.
    """
    loads = {target: totals.get(target, 0.0) for target in capacities}
    moves: list[Move] = []
    if not capacities:
        return moves
    ordered = sorted(rates.items())
    for holding in holdings:
        keys = select(ordered, holding.first, holding.last)
        for first, last in divide(holding, keys, len(capacities)):
            share = sum(rate for _, rate in select(ordered, first, last))
            target = min(
                loads, key=lambda name: (loads[name] + share) / capacities[name].rate
            )
            # Without any load the ranges still go to different targets.
            loads[target] += share + capacities[target].rate * 0.01
            moves.append(Move(first, last, holding.target, target))
    return moves


PIECES = 4
"""Most pieces into which the range of a lost target is cut."""


def divide(
    holding: model.Holding, keys: list[tuple[int, float]], targets: int
) -> list[tuple[int, int]]:
    """Return a range in pieces of about equal load, from the rates of its keys."""
    pieces = min(PIECES, targets)
    total = sum(rate for _, rate in keys)
    if total <= 0 or len(keys) < pieces:
        return [(holding.first, holding.last)]
    spans = []
    first = holding.first
    taken = 0.0
    for key, rate in keys:
        taken += rate
        if taken >= total * (len(spans) + 1) / pieces and key < holding.last:
            spans.append((first, key))
            first = key + 1
            if len(spans) == pieces - 1:
                break
    spans.append((first, holding.last))
    return spans
