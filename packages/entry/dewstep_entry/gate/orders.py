"""Moves that operators ordered, as the assignment row remembers them.

Without this the balancer moved a shard again a few seconds after an operator had put it
somewhere, since it knows only loads. The note is committed in the transaction of the
move, so that whoever plans next knows of it. Times are wall-clock readings of different
machines; an error of a second does not matter in a rest of minutes.
"""

import datetime
from collections.abc import Iterable

from dewstep_core import data
from dewstep_entry.gate import assignments

ORDER_PROTECTION = datetime.timedelta(minutes=10)
"""Time in which only a loss or a drain moves a shard or key that an operator moved."""
ORDERS_KEPT = 64
"""Orders in one row, which every process reads."""


def list_resting(
    assignment: data.Assignment, now: datetime.datetime
) -> frozenset[int | str]:
    """Return the shards and keys that operators moved lately."""
    return frozenset(
        order.subject
        for order in assignment.orders
        if now - order.time < ORDER_PROTECTION
    )


def note_orders(
    change: assignments.Change,
    subjects: Iterable[int | str],
    now: datetime.datetime,
) -> assignments.Change:
    """Return `change` with a note that an operator ordered it at `now`."""
    new = tuple(data.Order(subject, now) for subject in subjects)
    named = {order.subject for order in new}

    def change_with_note(assignment: data.Assignment) -> data.Assignment | None:
        changed = change(assignment)
        if changed is None:
            return None
        kept = tuple(
            order
            for order in changed.orders
            if order.subject not in named and now - order.time < ORDER_PROTECTION
        )
        return changed._replace(orders=(*kept, *new)[-ORDERS_KEPT:])

    return change_with_note
