import datetime

from dewstep_core import data
from dewstep_entry.gate import assignments, orders, rows

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
ASSIGNMENT = data.Assignment("s", 3, ("t1", "t1"), {}, ())


def test_an_order_is_recorded_with_its_move_and_protects_it():
    # Guards against a balancer that reverts an operator's move after some seconds.
    move = assignments.move_shards({1: "t2"}, "t1")
    changed = orders.record_orders(move, [1], NOW)(ASSIGNMENT)
    assert changed.owners == ("t1", "t2")
    row = data.Row("assignment/s", 4, rows.encode_assignment(changed, "op"))
    read = rows.decode_assignment(row).unwrap()
    assert orders.list_recently_ordered(read, NOW) == {1}
    assert (
        orders.list_recently_ordered(read, NOW + orders.ORDER_PROTECTION) == frozenset()
    )
    key_move = assignments.move_key("k", 0, "t2", "t1")
    later = NOW + orders.ORDER_PROTECTION
    again = orders.record_orders(key_move, ["k"], later)(read)
    assert [order.subject for order in again.orders] == ["k"]


def test_an_order_that_changes_nothing_is_not_recorded():
    unrelated_move = assignments.move_shards({1: "t2"}, "t3")
    assert orders.record_orders(unrelated_move, [1], NOW)(ASSIGNMENT) is None


def test_the_number_of_orders_in_a_row_is_bounded():
    # Guards against an assignment row that grows with each order.
    assignment = ASSIGNMENT
    for number in range(2 * orders.MAXIMUM_ORDERS):
        key_move = assignments.move_key(f"k{number}", 0, "t2", "t1")
        assignment = orders.record_orders(key_move, [f"k{number}"], NOW)(assignment)
    assert len(assignment.orders) == orders.MAXIMUM_ORDERS
