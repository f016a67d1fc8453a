"""Tests of the ranges that targets may hold while others are being moved."""

import pytest

from dewstep_core import clocks
from dewstep_fleet import builders, directories, held_ranges, ranges

HOLDINGS = builders.build_holdings("a", "b")


def build_held(changes=None):
    """Return the held ranges of two targets; `changes` counts the notices of moves."""
    directory = builders.build_directory(clocks.ManualClock())
    ownership = ranges.build_unwritten("history")._replace(holdings=HOLDINGS)
    key = directories.RANGES_PREFIX + "history"
    directory.apply_written_row(key, 1, ranges.encode(ownership))
    notices = changes if changes is not None else []
    return held_ranges.HeldRanges(directory, lambda: notices.append(1))


# Guards against a second move of keys that are being moved.
@pytest.mark.parametrize(
    ("span", "expected"),
    [((0, 9), False), ((0, 10), True), ((12, 13), True), ((20, 30), True)],
)
def test_ranges_with_a_common_key_are_found(span, expected):
    assert held_ranges.have_common_keys([span], [(10, 20)]) == expected
    assert not held_ranges.have_common_keys([(21, 30)], [(10, 20)])


# Guards against renewing keys whose ownership is to end.
def test_range_that_is_being_moved_is_not_held():
    held = build_held()
    (owned,) = held.list_owned("history", "a")
    assert held.is_held("history", owned)
    spans = [(owned.first, owned.last)]
    held.mark_moving("history", spans)
    assert not held.is_held("history", owned)
    assert held.has_moving("history", spans)
    assert held.exclude_moving("history", (owned,)) == ()
    held.unmark_moving("history", spans)
    assert held.is_held("history", owned)


# Guards against renewing a whole range while a part of it is being moved.
def test_rest_of_a_range_is_no_longer_the_held_range():
    held = build_held()
    (owned,) = held.list_owned("history", "a")
    held.mark_moving("history", [(0, 9)])
    (rest,) = held.exclude_moving("history", (owned,))
    assert (rest.first, rest.last) == (10, owned.last)
    assert not held.is_held("history", owned)


# Guards against instances that do not queue the requests of a moved range, or queue
# them after the move.
def test_moves_are_announced():
    changes = []
    held = build_held(changes)
    held.mark_moving("history", [(0, 9)])
    assert held.directory.is_moving("history", 9)
    held.unmark_moving("history", [(0, 9)])
    assert not held.directory.is_moving("history", 9)
    assert len(changes) == 2


# Guards against renewing a range that another target owns now.
def test_range_of_another_owner_is_not_held():
    held = build_held()
    (owned,) = held.list_owned("history", "a")
    assert not held.is_held("history", owned._replace(target="b"))
    assert {item.target for item in held.list_owned("history", "b")} == {"b"}
