"""Limits how many connections of a pool are opened at the same time.

After a failure connections are opened one at a time, and the number doubles with each
success, so that a recovering target does not receive all connections at once.
"""

from typing import NamedTuple

MAXIMUM_PARALLEL_OPENINGS = 16


class OpeningState(NamedTuple):
    """Connection counts and limits of one pool."""

    limit: int
    """Maximum number of connections."""
    total: int = 0
    """Connections open or being opened."""
    opening: int = 0
    """Connections being opened."""
    parallel_limit: int = MAXIMUM_PARALLEL_OPENINGS
    """Connections that may be opened at the same time."""


def count_new_connections(state: OpeningState, waiting: int) -> int:
    """Return how many connections to start opening for `waiting` requests."""
    return max(
        0,
        min(
            waiting - state.opening,
            state.parallel_limit - state.opening,
            state.limit - state.total,
        ),
    )


def record_attempt_start(state: OpeningState, count: int) -> OpeningState:
    """Return the state after `count` connection attempts were started."""
    return state._replace(total=state.total + count, opening=state.opening + count)


def record_attempt_end(state: OpeningState, success: bool) -> OpeningState:
    """Return the state after a connection attempt ended."""
    if success:
        parallel_limit = min(MAXIMUM_PARALLEL_OPENINGS, state.parallel_limit * 2)
        return state._replace(opening=state.opening - 1, parallel_limit=parallel_limit)
    return state._replace(
        total=state.total - 1, opening=state.opening - 1, parallel_limit=1
    )


def record_connection_loss(state: OpeningState, failed: bool) -> OpeningState:
    """Return the state after an open connection was closed."""
    state = state._replace(total=state.total - 1)
    return state._replace(parallel_limit=1) if failed else state
