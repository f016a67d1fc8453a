"""Tests of decoding the versions of a row with owners."""

import json
import random
import time

import hypothesis
import pytest
from hypothesis import strategies
from returns import result

from dewstep_fleet import builders, model, owner_rows, ranges

NAMES = strategies.text(max_size=8) | strategies.sampled_from(
    ["i-1", 'a"b', "a],[b", "\\", "é", "a\tb"]
)
TRANSFERS = strategies.lists(
    strategies.builds(
        lambda first, length, name, life: ranges.Transfer(
            first, min(first + length, model.KEY_SPACE_SIZE - 1), name, life
        ),
        strategies.integers(0, model.KEY_SPACE_SIZE - 1),
        strategies.integers(0, 20_000),
        NAMES,
        strategies.integers(-(2**64), 2**64),
    ),
    max_size=4,
)


# Guards against owners that differ from those in the store, which would send requests
# to other targets than the coordinator has granted the keys to.
@hypothesis.given(strategies.lists(TRANSFERS, max_size=6), strategies.booleans())
def test_versions_are_decoded_as_whole_rows_are(versions, compressed):
    row = owner_rows.OwnerRow("history")
    ownership = ranges.Ownership("history", 0, 9, builders.build_holdings("a", "b"))
    for version, transfers in enumerate(versions):
        ownership = ranges.apply_transfers(ownership, transfers)
        value = ranges.encode(ownership)
        value = value if compressed else ranges.unpack(value)
        outcome = row.decode(version, value)
        whole = ranges.decode("history", version, value)
        assert type(outcome) is type(whole)
        if isinstance(whole, result.Success):
            assert outcome.unwrap() == whole.unwrap()


# Guards against a wrong row that is accepted because most of it is known.
@pytest.mark.parametrize(
    ("text", "replacement"),
    [
        (b'"schema":1', b'"schema":2'),
        (b"[0,", b"[1,"),
        (b"[0,", b"[00,"),
        (b"32767", b"32766"),
        (b'[32768,65535,"b",1,2]', b'[0,32767,"a",1,1]'),
        (b',[32768,65535,"b",1,2]', b""),
        (b'"b"', b'"\\ud800"'),
        (b'"b"', b'"b'),
        (b'"b",1,2', b'"b",1,18446744073709551616'),
        (b'"b",1,2', b'"b",1'),
        (b'"generation":9', b'"generation":99999999999999999999'),
        (b"]]}", b"]]"),
    ],
)
def test_wrong_version_is_refused_and_changes_nothing(text, replacement):
    ownership = ranges.Ownership("history", 1, 9, builders.build_holdings("a", "b"))
    valid = ranges.unpack(ranges.encode(ownership))
    row = owner_rows.OwnerRow("history")
    assert row.decode(1, valid).unwrap() == ownership
    wrong = valid.replace(text, replacement)
    assert wrong != valid
    assert isinstance(row.decode(2, wrong), result.Failure)
    assert isinstance(ranges.decode("history", 2, wrong), result.Failure)
    assert row.decode(1, valid).unwrap() == ownership


# Guards against refusing a row that another build writes with other separators.
def test_row_in_another_form_is_decoded_as_a_whole():
    ownership = ranges.Ownership("history", 1, 9, builders.build_holdings("a", "b"))
    content = json.loads(ranges.unpack(ranges.encode(ownership)))
    row = owner_rows.OwnerRow("history")
    for value in (json.dumps(content), json.dumps({**content, "extra": 1})):
        assert row.decode(1, value.encode()).unwrap() == ownership


# Guards against memory that grows with each move.
def test_few_earlier_ranges_are_kept():
    row = owner_rows.OwnerRow("history")
    ownership = ranges.Ownership("history", 1, 9, builders.build_holdings(*"abcdefgh"))
    for number in range(200):
        transfer = ranges.Transfer(0, 8191, f"t-{number}", 1)
        ownership = ranges.apply_transfers(ownership, [transfer])
        row.decode(number, ranges.encode(ownership)).unwrap()
    assert len(row.known) <= owner_rows.MAX_KNOWN_RATIO * 8


# Guards against instances that spend most of their processor time on decoding all
# owners for each move: pattern of a large fleet in trouble, a move each few ms.
def test_version_with_one_move_is_decoded_much_faster_than_a_whole_row():
    generator = random.Random(1)
    targets = [builders.build_target(f"i-{number:010x}") for number in range(400)]
    ownership = ranges.divide_keys("history", 1, 0, targets)
    values = []
    for _ in range(20):
        first = generator.randrange(model.KEY_SPACE_SIZE - 20)
        transfer = ranges.Transfer(first, first + 9, targets[0].name, 1)
        ownership = ranges.apply_transfers(ownership, [transfer])
        values.append(ranges.unpack(ranges.encode(ownership)))
    row = owner_rows.OwnerRow("history")
    row.decode(1, values[0])
    assert measure(lambda value: row.decode(1, value), values) < (
        measure(lambda value: ranges.decode("history", 1, value), values) / 2
    )


def measure(decode, values):
    """Return the shortest processor time that all values have taken."""
    times = []
    for _ in range(5):
        began = time.process_time()
        for value in values:
            decode(value).unwrap()
        times.append(time.process_time() - began)
    return min(times)
