import json
import random
import tracemalloc
import zlib

import pytest
from hypothesis import given, strategies
from returns import result

from dewstep_core import errors
from dewstep_fleet import builders, model, ranges

SPANS = strategies.tuples(
    strategies.integers(0, model.KEY_SPACE_SIZE - 1),
    strategies.integers(0, model.KEY_SPACE_SIZE - 1),
    strategies.sampled_from("abcde"),
)


def build_ownership(*owners):
    holdings = builders.build_holdings(*owners)
    return ranges.Ownership("history", 5, len(owners), holdings)


def check_no_gaps(ownership):
    """Check that each key is in exactly one range."""
    next_key = 0
    for holding in ownership.holdings:
        assert holding.first == next_key
        assert holding.last >= holding.first
        next_key = holding.last + 1
    assert next_key == model.KEY_SPACE_SIZE


@given(strategies.lists(SPANS, max_size=12))
def test_every_key_has_one_owner_after_any_changes(spans):
    # Guards against gaps, which have no owner, and overlaps, which have two.
    ownership = build_ownership("a", "b", "c")
    for first, last, target in spans:
        first, last = min(first, last), max(first, last)
        before = ownership.generation
        change = ranges.Transfer(first, last, target, 1)
        ownership = ranges.apply_transfers(ownership, [change])
        check_no_gaps(ownership)
        found = ownership.find(first)
        assert found.target == target and found.generation == before + 1


@given(strategies.lists(SPANS, max_size=12))
def test_generation_numbers_only_increase(spans):
    # Guards against targets that reject valid grants or accept outdated ones.
    ownership = build_ownership("a", "b")
    for first, last, target in spans:
        first, last = min(first, last), max(first, last)
        highest = max(item.generation for item in ownership.holdings)
        change = ranges.Transfer(first, last, target, 1)
        ownership = ranges.apply_transfers(ownership, [change])
        assert ownership.find(first).generation > highest
    renumbered = ranges.renumber(ownership)
    check_no_gaps(renumbered)
    for holding in renumbered.holdings:
        assert holding.generation > ownership.generation


def test_renumbering_merges_adjacent_ranges_of_one_owner():
    # Guards against an increasing number of ranges, each of which needs renewals.
    ownership = build_ownership("a", "a", "b", "a")
    owners = [item.target for item in ranges.renumber(ownership).holdings]
    assert owners == ["a", "b", "a"]


def test_ranges_from_before_and_after_a_restart_are_not_merged():
    # Guards against merging ranges of a target from before and after its restart.
    first, second = builders.build_holdings("a", "a")
    ownership = ranges.Ownership("s", 1, 2, (first, second._replace(life=2)))
    assert len(ranges.renumber(ownership).holdings) == 2


def test_keys_are_divided_by_slots():
    targets = [builders.build_target("a"), builders.build_target("b", slots=12)]
    ownership = ranges.divide_keys("history", 0, 0, targets)
    check_no_gaps(ownership)
    assert ownership.holdings[0].last == model.KEY_SPACE_SIZE // 4 - 1


@given(strategies.lists(SPANS, max_size=6))
def test_row_round_trip(spans):
    ownership = build_ownership("a", "b")
    for first, last, target in spans:
        change = ranges.Transfer(min(first, last), max(first, last), target, 1)
        ownership = ranges.apply_transfers(ownership, [change])
    read = ranges.decode("history", 5, ranges.encode(ownership))
    assert read.unwrap() == ownership


def test_invalid_rows_are_rejected():
    # Guards against applying an invalid row as a change of owners.
    valid = json.loads(zlib.decompress(ranges.encode(build_ownership("a", "b"))))
    for change in (
        {"schema": 2},
        {"holdings": valid["holdings"][1:]},
        {"holdings": valid["holdings"][:1]},
        {"holdings": [*valid["holdings"], valid["holdings"][0]]},
        {"holdings": [[1, 2]]},
        {"generation": "x"},
    ):
        value = zlib.compress(json.dumps({**valid, **change}).encode())
        assert isinstance(ranges.decode("history", 1, value), result.Failure)
    assert isinstance(ranges.decode("history", 1, b"\xff"), result.Failure)


def test_excluding_a_range_keeps_the_rest():
    holdings = builders.build_holdings("a", "b")
    left = ranges.exclude_range(holdings, 100, 200)
    assert [(item.first, item.last) for item in left[:2]] == [(0, 99), (201, 32767)]
    assert left[2] == holdings[1]


def test_largest_ownership_round_trip():
    # Guards against a limit that refuses a row of the store's maximum size.
    step = model.KEY_SPACE_SIZE / 1600
    generator = random.Random(1)
    holdings = tuple(
        model.Holding(
            int(number * step),
            int((number + 1) * step) - 1,
            f"data-centre-13-instance-{number}",
            generator.randrange(10**18),
            2**52 + generator.randrange(2**52),
        )
        for number in range(1600)
    )
    ownership = ranges.Ownership("history", 5, 2**53, holdings)
    value = ranges.encode(ownership)
    assert ranges.decode("history", 5, value).unwrap() == ownership
    assert len(zlib.decompress(value)) * 4 < ranges.MAX_ROW_BYTES


def test_row_that_expands_without_end_is_rejected():
    # Guards against a row that holds up the event loop and exhausts the memory.
    compressor = zlib.compressobj()
    block = b" " * 1_000_000
    value = b"".join(compressor.compress(block) for _ in range(200))
    value += compressor.flush()
    tracemalloc.start()
    try:
        outcome = ranges.decode("history", 1, value)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert isinstance(outcome.failure(), errors.RowInvalid)
    assert peak_bytes < 4 * ranges.MAX_ROW_BYTES


def test_truncated_row_is_rejected():
    value = ranges.encode(build_ownership("a", "b"))
    for end in range(len(value)):
        assert isinstance(ranges.decode("history", 1, value[:end]), result.Failure)


@pytest.mark.parametrize("number", ["Infinity", "1e999"])
def test_row_with_an_infinite_number_is_rejected(number):
    # Guards against an exception that ends the follower of the fleet's table.
    content = zlib.decompress(ranges.encode(build_ownership("a", "b"))).decode()
    value = zlib.compress(content.replace("32767", number).encode())
    assert isinstance(ranges.decode("history", 1, value).failure(), errors.RowInvalid)


def test_target_with_less_than_a_key_gets_no_range():
    # Guards against a row that every instance refuses, so that no key has an owner.
    targets = (
        builders.build_target("large", slots=2**32 - 1),
        builders.build_target("a", slots=1),
    )
    owners = ranges.divide_keys("history", 1, 0, targets)
    assert [item.target for item in owners.holdings] == ["large"]
    assert ranges.decode("history", 1, ranges.encode(owners)).unwrap() == owners


@pytest.mark.parametrize(
    ("change", "owner", "number"),
    [
        ({"generation": 10**4200}, "a", 1),
        ({"generation": -1}, "a", 1),
        ({}, "\ud800", 1),
        ({}, "a", 2**64),
        ({"schema": ["x" * 5_000]}, "a", 1),
    ],
)
def test_row_with_a_value_out_of_range_is_refused(change, owner, number):
    # Guards against a value that raises an exception when it is used or logged.
    holdings = [[0, model.KEY_SPACE_SIZE - 1, owner, 1, number]]
    content = {"schema": 1, "generation": 1, "holdings": holdings, **change}
    outcome = ranges.decode("s", 1, json.dumps(content).encode())
    assert len(str(outcome.failure())) < 300


def test_incarnation_that_an_earlier_version_has_granted_to_is_read():
    # Guards against an upgrade in which the owners of no key are known.
    holdings = [[0, model.KEY_SPACE_SIZE - 1, "a", -(2**64), 1]]
    content = {"schema": 1, "generation": 1, "holdings": holdings}
    decoded = ranges.decode("s", 1, json.dumps(content).encode()).unwrap()
    assert decoded.holdings[0].life == -(2**64)
