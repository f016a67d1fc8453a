"""How many connections may be opened at the same time.

After a failure a target gets one attempt at a time, and twice as many after each
success, so that a target that comes back is not met by all connections at once.
"""

from typing import NamedTuple

MOST_PARALLEL = 16


class Openings(NamedTuple):
    """Connections of one pool, as far as opening new ones is concerned."""

    limit: int
    """Most connections of the pool."""
    total: int = 0
    """Connections open or being opened."""
    opening: int = 0
    """Connections being opened."""
    parallel: int = MOST_PARALLEL
    """Connections that may be opened at the same time."""


def count_new(state: Openings, waiting: int) -> int:
    """Return how many connections to start opening for `waiting` requests."""
    return max(
        0,
        min(
            waiting - state.opening,
            state.parallel - state.opening,
            state.limit - state.total,
        ),
    )


def start(state: Openings, count: int) -> Openings:
    """Return the state after `count` attempts began."""
    return state._replace(total=state.total + count, opening=state.opening + count)


def finish(state: Openings, success: bool) -> Openings:
    """Return the state after an attempt ended."""
    if success:
        parallel = min(MOST_PARALLEL, state.parallel * 2)
        return state._replace(opening=state.opening - 1, parallel=parallel)
    return state._replace(total=state.total - 1, opening=state.opening - 1, parallel=1)


def lose(state: Openings, failed: bool) -> Openings:
    """Return the state after an open connection ended, by a failure or not."""
    state = state._replace(total=state.total - 1)
    return state._replace(parallel=1) if failed else state
