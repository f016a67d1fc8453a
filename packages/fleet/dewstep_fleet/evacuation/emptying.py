"""Chooses which ranges leave an evacuated data centre next.

A range has no owner while it is moved, and a data centre may hold a third of all
ranges. They are moved a few at a time, those in demand first. The other ones stay with
their owners, which are renewed until it is their turn.
"""

import math
from collections.abc import Mapping

from dewstep_fleet import model, planning

MAX_PIECE_LOAD = 0.25
"""Load above which a range is split, as a part of what a target can serve. If a quarter
of the targets leaves, each of the others takes over about as much. Splitting further
would take more moves than the allowed time has room for."""


def choose_moves(
    holdings: tuple[model.Holding, ...],
    rates: Mapping[int, float],
    capacities: Mapping[str, planning.Capacity],
    totals: Mapping[str, float],
    max_moves: int,
) -> list[planning.Move]:
    """Return the next moves out of evacuated data centres.

    A range is moved as a whole, in one or several pieces. Otherwise, its remainder
    would be split into ever smaller pieces.

    Parameters
    ----------
    holdings : tuple of model.Holding
        Ranges of targets there that are not being moved.
    rates : mapping of int to float
        Requests/s by key.
    capacities : mapping of str to planning.Capacity
        Targets that can own keys, at least one.
    totals : mapping of str to float
        Requests/s for the keys of each target, including those on the way to it.
    max_moves : int
        Maximum number of moves.
    """
    ordered = sorted(rates.items())
    loads = {target: totals.get(target, 0.0) for target in capacities}
    mean_rate = sum(item.rate for item in capacities.values()) / len(capacities)

    def get_rate(first: int, last: int) -> float:
        return sum(rate for _, rate in planning.slice_rates(ordered, first, last))

    moves: list[planning.Move] = []
    for holding in sorted(
        holdings, key=lambda item: get_rate(item.first, item.last), reverse=True
    ):
        keys = planning.slice_rates(ordered, holding.first, holding.last)
        load = get_rate(holding.first, holding.last) / mean_rate
        pieces = min(len(loads), math.ceil(load / MAX_PIECE_LOAD) or 1)
        spans = planning.split_by_load(holding, keys, pieces)
        if len(moves) + len(spans) > max_moves:
            break
        for first, last in spans:
            rate = get_rate(first, last)
            target = min(
                loads, key=lambda name: (loads[name] + rate) / capacities[name].rate
            )
            # The addend spreads ranges without any load over different targets.
            loads[target] += rate + capacities[target].rate * 0.01
            moves.append(planning.Move(first, last, holding.target, target))
    return moves
