"""The owners of a service's keys as one versioned value.

The ranges of a service are contiguous from key 0 to the last key. Pure functions
compute changes of owners; a transaction of the store records the result.
"""

import bisect
import json
import zlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from returns import result

from dewstep_core import errors, fields, value_checks
from dewstep_fleet import model, numbering

SCHEMA_VERSION = 1
"""Version of the row encoding."""
MAX_ROW_BYTES = 1024 * 1024
"""Maximum size of a decompressed row. A range for each of 1,600 targets is 0.1 MB."""


class Ownership(NamedTuple):
    """Owners of all keys of one service."""

    service: str
    version: int
    """Version of the row in the store, or 0 if it has not been written."""
    generation: int
    """Highest number assigned so far, including the reserved ones."""
    holdings: tuple[model.Holding, ...]

    def find(self, key: int) -> model.Holding | None:
        """Return the range that contains `key`, or None if there are no ranges."""
        position = bisect.bisect_right(self.holdings, key, key=get_first_key) - 1
        if position < 0 or self.holdings[position].last < key:
            return None
        return self.holdings[position]


class Transfer(NamedTuple):
    """A change of a range's owner."""

    first: int
    last: int
    target: str
    incarnation: int


def build_same_owner_transfer(holding: model.Holding) -> Transfer:
    """Return a transfer that keeps the owner but assigns a new generation number."""
    return Transfer(holding.first, holding.last, holding.target, holding.life)


def build_unwritten(service: str) -> Ownership:
    """Return the ownership of a service whose keys have never been divided."""
    return Ownership(service, 0, 0, ())


def exclude_earlier_numbers(ownership: Ownership, era_floor: int) -> Ownership:
    """Return the same ownership, whose next numbers are of the store's present era.

    Numbers that were assigned in an earlier era may be missing in the restored copy,
    and targets may have received them.
    """
    return ownership._replace(generation=max(ownership.generation, era_floor))


def get_first_key(holding: model.Holding) -> int:
    """Return the first key of a range, the sort key of ranges."""
    return holding.first


def divide_keys(
    service: str, version: int, generation: int, targets: Iterable[model.Target]
) -> Ownership:
    """Divide all keys into one range per target, in proportion to its slots.

    A target whose part of all slots is less than a key gets no range.
    """
    chosen = sorted(targets, key=lambda target: (target.data_centre, target.name))
    slots = sum(target.slots for target in chosen)
    holdings = []
    assigned_slots = 0
    first = 0
    for target in chosen:
        assigned_slots += target.slots
        last = model.KEY_SPACE_SIZE * assigned_slots // slots - 1
        if last < first:
            continue
        holdings.append(
            model.Holding(first, last, target.name, target.life, generation + 1)
        )
        generation += 1 + numbering.RESERVED_NUMBERS
        first = last + 1
    return Ownership(service, version, generation, tuple(holdings))


def apply_transfers(ownership: Ownership, changes: Iterable[Transfer]) -> Ownership:
    """Apply transfers, each with a new generation number."""
    generation = ownership.generation
    holdings = list(ownership.holdings)
    for change in changes:
        kept = []
        for item in holdings:
            if item.last < change.first or item.first > change.last:
                kept.append(item)
                continue
            if item.first < change.first:
                kept.append(item._replace(last=change.first - 1))
            if item.last > change.last:
                kept.append(item._replace(first=change.last + 1))
        kept.append(
            model.Holding(
                change.first,
                change.last,
                change.target,
                change.incarnation,
                generation + 1,
            )
        )
        generation += 1 + numbering.RESERVED_NUMBERS
        holdings = sorted(kept, key=get_first_key)
    return ownership._replace(generation=generation, holdings=tuple(holdings))


def renumber(ownership: Ownership) -> Ownership:
    """Assign new generation numbers and merge adjacent ranges of one incarnation.

    A new coordinator does this first. Targets that have received the new numbers then
    reject renewals that the previous coordinator may still send.
    """
    merged: list[model.Holding] = []
    for item in ownership.holdings:
        previous = merged[-1] if merged else None
        same = previous is not None and (previous.target, previous.life) == (
            item.target,
            item.life,
        )
        if same and previous.last + 1 == item.first:
            merged[-1] = previous._replace(last=item.last)
        else:
            merged.append(item)
    generation = ownership.generation
    holdings = []
    for item in merged:
        holdings.append(item._replace(generation=generation + 1))
        generation += 1 + numbering.RESERVED_NUMBERS
    return ownership._replace(generation=generation, holdings=tuple(holdings))


def exclude_range(
    holdings: Iterable[model.Holding], first: int, last: int
) -> tuple[model.Holding, ...]:
    """Return the parts of `holdings` outside `first` to `last`."""
    parts = []
    for item in holdings:
        if item.last < first or item.first > last:
            parts.append(item)
            continue
        if item.first < first:
            parts.append(item._replace(last=first - 1))
        if item.last > last:
            parts.append(item._replace(first=last + 1))
    return tuple(parts)


def encode(ownership: Ownership) -> bytes:
    """Return the row value that encodes `ownership`.

    It is compressed to about a quarter, because all instances read each change.
    """
    value = {
        "schema": SCHEMA_VERSION,
        "generation": ownership.generation,
        "holdings": [list(item) for item in ownership.holdings],
    }
    return zlib.compress(json.dumps(value, separators=(",", ":")).encode())


def decompress(value: bytes) -> bytes:
    """Return the decompressed content of a row value.

    Raises
    ------
    zlib.error, ValueError
        If the value is invalid or truncated, or its content exceeds `MAX_ROW_BYTES`.
    """
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(value, MAX_ROW_BYTES + 1)
    if len(content) > MAX_ROW_BYTES:
        raise ValueError(f"row exceeds {MAX_ROW_BYTES} bytes")
    if not decompressor.eof:
        raise ValueError("row is truncated")
    return content


def unpack(value: bytes) -> bytes:
    """Return the content of a value that may be compressed."""
    try:
        return decompress(value)
    except (zlib.error, ValueError):
        return value


def pack(value: bytes) -> bytes:
    """Return a value in the compressed form that the store contains."""
    return zlib.compress(unpack(value))


def decode(
    service: str, version: int, value: bytes
) -> result.Result[Ownership, errors.RowInvalid]:
    """Decode a row value, which may have been decompressed.

    `owner_rows.OwnerRow` decodes the later versions of a row in less time.
    """
    key = f"ranges/{service}"
    try:
        content = json.loads(unpack(value))
        if content["schema"] != SCHEMA_VERSION:
            detail = f"unknown schema {fields.quote(content['schema'])}"
            return result.Failure(errors.RowInvalid(key, detail))
        holdings = tuple(decode_holding(row) for row in content["holdings"])
        generation = int(content["generation"])
    except (
        zlib.error,
        ValueError,
        TypeError,
        KeyError,
        IndexError,
        OverflowError,
        RecursionError,
    ) as error:
        return result.Failure(errors.RowInvalid(key, type(error).__name__))
    if not all(map(is_valid_holding, holdings)):
        return result.Failure(errors.RowInvalid(key, "a value is out of range"))
    return check(Ownership(service, version, generation, holdings))


def check(ownership: Ownership) -> result.Result[Ownership, errors.RowInvalid]:
    """Return an ownership whose holdings are valid, or why it must not be applied.

    One that assigns a key to no range or to two is rejected, because otherwise it would
    be applied as a change of owners.
    """
    key = f"ranges/{ownership.service}"
    if not is_number(ownership.generation):
        return result.Failure(errors.RowInvalid(key, "a value is out of range"))
    next_key = 0
    for item in ownership.holdings:
        if item.first != next_key or item.last < item.first:
            return result.Failure(
                errors.RowInvalid(key, f"no range starts at key {next_key}")
            )
        next_key = item.last + 1
    if ownership.holdings and next_key != model.KEY_SPACE_SIZE:
        return result.Failure(
            errors.RowInvalid(key, f"no range contains key {next_key}")
        )
    return result.Success(ownership)


def decode_holding(row: list) -> model.Holding:
    """Return the range that a row describes."""
    first, last, target, life, number = row
    return model.Holding(int(first), int(last), str(target), int(life), int(number))


def is_number(number: int) -> bool:
    """Whether a generation number can be assigned in any era of the store."""
    return value_checks.is_integer(number, 0, value_checks.MAX_UINT64)


def is_valid_holding(holding: model.Holding) -> bool:
    """Whether the number and the owner of a range can be used.

    The incarnation is compared only. An earlier version of this package may have
    granted a range to a target that had registered with one out of range.
    """
    return is_number(holding.generation) and value_checks.is_text(holding.target)


def group_by_target(ownership: Ownership) -> Mapping[str, tuple[model.Holding, ...]]:
    """Return the ranges of each target."""
    owners: dict[str, list[model.Holding]] = {}
    for item in ownership.holdings:
        owners.setdefault(item.target, []).append(item)
    return {target: tuple(items) for target, items in owners.items()}
