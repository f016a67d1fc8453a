"""Tests of differences between versions of a row."""

import random

import pytest
from hypothesis import given, strategies

from dewstep_fleet import builders, model, owner_rows, ranges, row_changes


def build_row(version, value):
    return model.StoredRow(model.TABLES.fleet, "ranges/history", version, value)


def build_ownership(targets):
    return ranges.divide_keys(
        "history", 1, 0, [builders.build_target(f"i-{n:08x}") for n in range(targets)]
    )


# Guards against rows of large fleets that are sent whole for each move.
@pytest.mark.parametrize(("targets", "limit"), [(400, 1_000), (1_600, 3_000)])
def test_change_of_one_owner_is_small_and_restores_the_row(targets, limit):
    generator = random.Random(1)
    ownership = build_ownership(targets)
    row = build_row(1, ranges.encode(ownership))
    owner_row = owner_rows.OwnerRow("history")
    for version in range(2, 12):
        first = generator.randrange(model.KEY_SPACE_SIZE - 200)
        transfer = ranges.Transfer(first, first + 100, f"i-{version:08x}", 1)
        ownership = ranges.apply_transfers(ownership, [transfer])
        changed = build_row(version, ranges.encode(ownership))
        change = row_changes.build_change(row, changed)
        assert sum(map(len, change.pieces)) < limit
        applied = row_changes.apply_change(row, change)
        assert applied.version == version
        assert ranges.pack(applied.value) == changed.value
        owner_row.decode(version - 1, row.value)
        decoded = owner_row.decode(version, applied.value).unwrap()
        assert decoded == ownership._replace(version=version)
        row = applied


# Guards against owners that differ from the stored ones after a lost or reordered
# change.
def test_change_applies_to_its_base_only():
    values = [ranges.encode(build_ownership(count)) for count in (90, 91, 92)]
    rows = [build_row(version, value) for version, value in enumerate(values)]
    change = row_changes.build_change(rows[1], rows[2])
    assert row_changes.apply_change(None, change) is None
    assert row_changes.apply_change(rows[0], change) is None
    assert row_changes.apply_change(rows[0]._replace(version=1), change) is None
    assert row_changes.apply_change(rows[1]._replace(value=None), change) is None
    applied = row_changes.apply_change(rows[1], change)
    assert applied == rows[2]._replace(value=ranges.unpack(values[2]))


def test_removed_and_small_rows_have_no_change():
    row = build_row(1, b"x" * 1_000)
    assert row_changes.build_change(row, build_row(2, None)) is None
    assert row_changes.build_change(row._replace(value=None), row) is None
    assert row_changes.build_change(row, build_row(2, b"x" * 100)) is None


@given(strategies.binary(max_size=60_000), strategies.binary(max_size=2_000))
def test_any_values_are_restored_or_sent_whole(start, end):
    base = build_row(1, start + b"y" * 600)
    row = build_row(2, start[: len(start) // 2] + end + base.value)
    change = row_changes.build_change(base, row)
    restored = row._replace(value=ranges.unpack(row.value))
    assert change is None or row_changes.apply_change(base, change) == restored
