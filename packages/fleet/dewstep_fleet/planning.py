"""Plans moves of key ranges that balance the load of targets.

A target's load is the fraction of its slots that the requests for its keys keep busy.
The planner moves from the most loaded target the narrowest key range that equalises its
load with that of the least loaded one, so that few keys are moved.
"""

import bisect
import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from dewstep_fleet import model, ranges

MIN_SOURCE_LOAD = 0.5
"""Minimum load of a target from which keys are moved. Below it there is hardly a queue:
in M/M/4, the wait at a load of 0.5 is 9% of the service time."""
MIN_LOAD_DIFFERENCE = 0.2
"""Minimum difference of load that justifies a move."""
NOISE_DEVIATIONS = 2.5
"""Standard deviations of the request count that a difference must exceed; random
variation does so in one of 160 plans."""
MIN_SPEEDUP = 1.25
"""Minimum capacity ratio for moving a key that alone saturates its owner."""
ADMISSION_FACTOR = 1.25
"""Ratio of admitted requests to a target's capacity. A capacity is known to about a
quarter only; the excess keeps a queue at the target, so that no slot is idle."""
MAX_RANGE_RATIO = 1.1
"""Maximum rate of a chosen range relative to the wanted rate."""
MAX_FILL_LOAD = 0.7
"""Load up to which one move fills a target; in M/M/4 the wait is then a third of the
service time. It lets one plan spread a run of hot keys over several targets. Halving
the run repeatedly would take one round of releases for each step."""
MIN_RANGE_RATIO = 0.35
"""Minimum rate of a chosen range relative to the wanted rate."""


class Move(NamedTuple):
    """A key range to move from one target to another."""

    first: int
    last: int
    source: str
    target: str


class Capacity(NamedTuple):
    """The request rate that a target can serve."""

    target: str
    rate: float
    """Requests/s at which all its slots are busy."""


def sum_rates(
    holdings: Iterable[model.Holding], rates: Mapping[int, float]
) -> dict[str, float]:
    """Return the total request rate of each target's keys."""
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


def plan_moves(
    holdings: tuple[model.Holding, ...],
    rates: Mapping[int, float],
    capacities: Mapping[str, Capacity],
    max_moves: int,
    window_s: float,
    recently_moved_keys: frozenset[int] = frozenset(),
) -> list[Move]:
    """Return up to `max_moves` moves, each of which reduces a high load.

    Parameters
    ----------
    holdings : tuple of model.Holding
        Ranges that may be moved.
    rates : mapping of int to float
        Requests/s by key.
    capacities : mapping of str to Capacity
        Targets that can own keys.
    max_moves : int
        Maximum number of moves.
    window_s : float
        Seconds over which the rates were counted.
    recently_moved_keys : frozenset of int, optional
        Keys that saturate their owner and were moved a short time ago.
    """
    totals = sum_rates(holdings, rates)
    ordered = sorted(rates.items())
    for target in capacities:
        totals.setdefault(target, 0.0)
    capacity_sum = sum(capacity.rate for capacity in capacities.values())
    mean = sum(totals[target] for target in capacities) / max(capacity_sum, 1e-9)
    max_load = max(MAX_FILL_LOAD, mean)
    moves: list[Move] = []
    excluded: set[str] = set()
    while len(moves) < max_moves:
        loads = {
            target: totals[target] / capacity.rate
            for target, capacity in capacities.items()
        }
        sources = [target for target in loads if target not in excluded]
        if len(loads) < 2 or not sources:
            break
        most_loaded = max(sources, key=loads.__getitem__)
        least_loaded = min(loads, key=loads.__getitem__)
        unused = not any(holding.target == least_loaded for holding in holdings)
        difference = loads[most_loaded] - loads[least_loaded]
        noise = math.sqrt(totals[most_loaded] / window_s) / capacities[most_loaded].rate
        uneven = loads[most_loaded] >= MIN_SOURCE_LOAD and difference >= max(
            MIN_LOAD_DIFFERENCE, NOISE_DEVIATIONS * noise
        )
        if most_loaded == least_loaded or not (uneven or unused):
            break
        source_rate, target_rate = (
            capacities[most_loaded].rate,
            capacities[least_loaded].rate,
        )
        wanted_rate = (
            difference * source_rate * target_rate / (source_rate + target_rate)
        )
        wanted_rate = min(wanted_rate, (max_load - loads[least_loaded]) * target_rate)
        move = choose_range(holdings, ordered, most_loaded, least_loaded, wanted_rate)
        if move is None:
            move = find_hot_key_move(
                holdings, rates, capacities, most_loaded, recently_moved_keys
            )
        if move is None:
            excluded.add(most_loaded)
            continue
        moves.append(move)
        moved_rate = sum(
            rate for _, rate in slice_rates(ordered, move.first, move.last)
        )
        totals[most_loaded] -= moved_rate
        totals[move.target] += moved_rate
        excluded.add(move.target)
        holdings = ranges.exclude_range(holdings, move.first, move.last) + (
            model.Holding(move.first, move.last, move.target, 0, 0),
        )
        holdings = tuple(sorted(holdings, key=ranges.get_first_key))
    return moves


def compute_admitted(
    totals: Mapping[str, float], capacities: Mapping[str, Capacity]
) -> dict[str, float]:
    """Return the fraction of its requests that each overloaded target can serve.

    Instances know a target's queue only as of the last heartbeat. If a key's rate is a
    multiple of its owner's capacity, all instances would otherwise send requests for
    the same free slot.

    Parameters
    ----------
    totals : mapping of str to float
        Requests/s for the keys of each target.
    capacities : mapping of str to Capacity
    """
    return {
        target: capacity.rate * ADMISSION_FACTOR / totals[target]
        for target, capacity in capacities.items()
        if totals.get(target, 0.0) > capacity.rate * ADMISSION_FACTOR
    }


def slice_rates(
    ordered: list[tuple[int, float]], first: int, last: int
) -> list[tuple[int, float]]:
    """Return the part of the sorted (key, rate) pairs that lies in a range."""
    start = bisect.bisect_left(ordered, (first,))
    return ordered[start : bisect.bisect_left(ordered, (last + 1,))]


def choose_range(
    holdings: Iterable[model.Holding],
    ordered: list[tuple[int, float]],
    source: str,
    target: str,
    wanted_rate: float,
) -> Move | None:
    """Return the move of the narrowest range with about `wanted_rate` requests/s."""
    best = None
    for holding in holdings:
        if holding.target != source:
            continue
        keys = slice_rates(ordered, holding.first, holding.last)
        found = find_key_range(keys, wanted_rate)
        if found is None:
            continue
        first, last = found
        width = last - first
        if best is None or width < best[0]:
            best = width, Move(first, last, source, target)
    if best is not None:
        return best[1]
    return None


def find_hot_key_move(
    holdings: Iterable[model.Holding],
    rates: Mapping[int, float],
    capacities: Mapping[str, Capacity],
    source: str,
    recently_moved_keys: frozenset[int],
) -> Move | None:
    """Return the move of a key that alone saturates its owner to the fastest target."""
    held = [item for item in holdings if item.target == source]
    keys = [
        key
        for key in rates
        if rates[key] >= capacities[source].rate
        and key not in recently_moved_keys
        and any(item.first <= key <= item.last for item in held)
    ]
    if not keys:
        return None
    hottest = max(keys, key=rates.__getitem__)
    saturated = {
        item.target
        for item in holdings
        for key, rate in rates.items()
        if item.first <= key <= item.last
        and item.target in capacities
        and rate >= capacities[item.target].rate
    }
    available = [capacities[name] for name in capacities if name not in saturated]
    if not available:
        return None
    fastest = max(available, key=lambda capacity: capacity.rate)
    if fastest.rate < capacities[source].rate * MIN_SPEEDUP:
        return None
    return Move(hottest, hottest, source, fastest.target)


def find_key_range(
    keys: list[tuple[int, float]], wanted_rate: float
) -> tuple[int, int] | None:
    """Return the bounds of the narrowest range with about `wanted_rate` requests/s."""
    best = None
    total = 0.0
    start = 0
    for end, (key, rate) in enumerate(keys):
        total += rate
        while total > wanted_rate * MAX_RANGE_RATIO and start <= end:
            total -= keys[start][1]
            start += 1
        if start > end or total < wanted_rate * MIN_RANGE_RATIO:
            continue
        # A range with about the wanted rate is better than a narrower one without.
        shortfall = max(0.0, wanted_rate - total) / wanted_rate
        cost = shortfall * model.KEY_SPACE_SIZE / 16 + (key - keys[start][0])
        if best is None or cost < best[0]:
            best = cost, keys[start][0], key
    return None if best is None else best[1:]


def distribute_ranges(
    holdings: Iterable[model.Holding],
    rates: Mapping[int, float],
    capacities: Mapping[str, Capacity],
    totals: Mapping[str, float],
) -> list[Move]:
    """Return the moves that distribute the ranges of a lost target to others.

    Each range is split by load into up to `MAX_PIECES` pieces, and each piece is moved
    to the target whose load is then lowest.
    """
    loads = {target: totals.get(target, 0.0) for target in capacities}
    moves: list[Move] = []
    if not capacities:
        return moves
    ordered = sorted(rates.items())
    for holding in holdings:
        keys = slice_rates(ordered, holding.first, holding.last)
        for first, last in split_by_load(holding, keys, len(capacities)):
            moved_rate = sum(rate for _, rate in slice_rates(ordered, first, last))
            target = min(
                loads,
                key=lambda name: (loads[name] + moved_rate) / capacities[name].rate,
            )
            # The addend spreads ranges without any load over different targets.
            loads[target] += moved_rate + capacities[target].rate * 0.01
            moves.append(Move(first, last, holding.target, target))
    return moves


MAX_PIECES = 4
"""Maximum number of pieces into which a range of a lost target is split."""


def split_by_load(
    holding: model.Holding, keys: list[tuple[int, float]], targets: int
) -> list[tuple[int, int]]:
    """Split a range into pieces of about equal load."""
    pieces = min(MAX_PIECES, targets)
    total = sum(rate for _, rate in keys)
    if total <= 0 or len(keys) < pieces:
        return [(holding.first, holding.last)]
    spans = []
    first = holding.first
    running_total = 0.0
    for key, rate in keys:
        running_total += rate
        if running_total >= total * (len(spans) + 1) / pieces and key < holding.last:
            spans.append((first, key))
            first = key + 1
            if len(spans) == pieces - 1:
                break
    spans.append((first, holding.last))
    return spans
