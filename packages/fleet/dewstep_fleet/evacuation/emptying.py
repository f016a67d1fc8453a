"""Chooses which ranges leave an evacuated data centre next.

A range has no owner while it is moved, and a data centre may hold a third of all
ranges. They are moved a few at a time, those in demand first. The other ones stay with
their owners, which are renewed until it is their turn.
"""

from collections.abc import Mapping

from dewstep_fleet import model, planning


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
        Targets that can own keys.
    totals : mapping of str to float
        Requests/s for the keys of each target, including those on the way to it.
    max_moves : int
        Maximum number of moves.
    """
    if max_moves <= 0:
        return []
    ordered = sorted(rates.items())

    def get_rate(holding: model.Holding) -> float:
        keys = planning.slice_rates(ordered, holding.first, holding.last)
        return sum(rate for _, rate in keys)

    # Each range takes at least one move.
    next_holdings = sorted(holdings, key=get_rate, reverse=True)[:max_moves]
    moves = planning.distribute_ranges(next_holdings, rates, capacities, totals)
    chosen: list[planning.Move] = []
    for holding in next_holdings:
        pieces = [move for move in moves if holding.first <= move.first <= holding.last]
        if len(chosen) + len(pieces) > max_moves:
            break
        chosen += pieces
    return chosen
