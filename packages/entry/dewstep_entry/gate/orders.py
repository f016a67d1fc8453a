"""Records of moves ordered by operators, stored in the assignment row.

Without them the balancer, which considers only load, would move a shard again a few
seconds after an operator's move. A record is committed in the transaction of the move,
so that the balancer's next plan respects it. Times are wall-clock readings of different
machines; an error of a second does not matter for a protection of minutes.
"""

import datetime
from collections.abc import Iterable

from dewstep_core import data
from dewstep_entry.gate import assignments

ORDER_PROTECTION = datetime.timedelta(minutes=10)
"""Time in which only a loss or a drain moves a shard or key that an operator moved."""
MAXIMUM_ORDERS = 64
"""Maximum number of orders in one row; bounds the row, which every process reads."""


def list_recently_ordered(
    assignment: data.Assignment, now: datetime.datetime
) -> frozenset[int | str]:
    """Return the shards and keys that are protected after an operator's move."""
    return frozenset(
        order.subject
        for order in assignment.orders
        if now - order.time < ORDER_PROTECTION
    )


def record_orders(
    change: assignments.Change,
    subjects: Iterable[int | str],
    now: datetime.datetime,
) -> assignments.Change:
    """Return `change` extended by a record that an operator ordered it at `now`."""
    new = tuple(data.Order(subject, now) for subject in subjects)
    named = {order.subject for order in new}

    def change_and_record(assignment: data.Assignment) -> data.Assignment | None:
        changed = change(assignment)
        if changed is None:
            return None
        kept = tuple(
            order
            for order in changed.orders
            if order.subject not in named and now - order.time < ORDER_PROTECTION
        )
        return changed._replace(orders=(*kept, *new)[-MAXIMUM_ORDERS:])

    return change_and_record
