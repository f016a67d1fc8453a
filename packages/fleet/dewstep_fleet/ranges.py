"""Which target owns which keys of a service, as one versioned value.

The ranges of a service lie side by side from key 0 to the last key. Changes of hands
come out of pure functions; a transaction of the store puts the result in force.
"""

import bisect
import json
import zlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from returns import result

from dewstep_core import errors
from dewstep_fleet import model

SCHEMA = 1
"""Version of the encoding of rows."""


class Ownership(NamedTuple):
    """Owners of all keys of one service."""

    service: str
    version: int
    """Version of the row in the store, 0 if it has not been written."""
    generation: int
    """Highest generation number that was ever given out."""
    holdings: tuple[model.Holding, ...]

    def find(self, key: int) -> model.Holding | None:
        """Return the holding with `key`, or None if the service has none."""
        position = bisect.bisect_right(self.holdings, key, key=get_first) - 1
        if position < 0 or self.holdings[position].last < key:
            return None
        return self.holdings[position]


class Transfer(NamedTuple):
    """A range that gets an owner."""

    first: int
    last: int
    target: str
    life: int


def keep(holding: model.Holding) -> Transfer:
    """Return the change that gives a range a new number at the owner that it has."""
    return Transfer(holding.first, holding.last, holding.target, holding.life)


def get_first(holding: model.Holding) -> int:
    """Return the first key, by which holdings are ordered."""
    return holding.first


def divide(
    service: str, version: int, generation: int, targets: Iterable[model.Target]
) -> Ownership:
    """Return the first owners: adjoining ranges in proportion to the slots."""
    chosen = sorted(targets, key=lambda target: (target.data_centre, target.name))
    slots = sum(target.slots for target in chosen)
    holdings = []
    taken = 0
    first = 0
    for target in chosen:
        taken += target.slots
        last = model.KEYS * taken // slots - 1
        generation += 1
        holdings.append(
            model.Holding(first, last, target.name, target.life, generation)
        )
        first = last + 1
    return Ownership(service, version, generation, tuple(holdings))


def transfer(ownership: Ownership, changes: Iterable[Transfer]) -> Ownership:
    """Return the owners after `changes`, each with a generation number of its own."""
    generation = ownership.generation
    holdings = list(ownership.holdings)
    for change in changes:
        generation += 1
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
                change.first, change.last, change.target, change.life, generation
            )
        )
        holdings = sorted(kept, key=get_first)
    return ownership._replace(generation=generation, holdings=tuple(holdings))


def renumber(ownership: Ownership) -> Ownership:
    """Return the same owners under new generation numbers, adjoining ranges merged.

    A coordinator that takes over does this first: renewals that its predecessor may
    still send are then refused by every target that has heard of the new numbers.
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
        generation += 1
        holdings.append(item._replace(generation=generation))
    return ownership._replace(generation=generation, holdings=tuple(holdings))


def cut(
    holdings: Iterable[model.Holding], first: int, last: int
) -> tuple[model.Holding, ...]:
    """Return the parts of `holdings` that lie outside `first` to `last`."""
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
    """Return the value of the row that holds `ownership`.

    It is compressed, to a fourth: each change is read by all instances.
    """
    value = {
        "schema": SCHEMA,
        "generation": ownership.generation,
        "holdings": [list(item) for item in ownership.holdings],
    }
    return zlib.compress(json.dumps(value, separators=(",", ":")).encode())


def decode(
    service: str, version: int, value: bytes
) -> result.Result[Ownership, errors.RowInvalid]:
    """Return the owners that a row holds.

    A row that leaves out a key, or gives one to two targets, is refused: it would
    otherwise be taken for a decision.
    """
    key = f"ranges/{service}"
    try:
        content = json.loads(zlib.decompress(value))
        if content["schema"] != SCHEMA:
            detail = f"schema {content['schema']}"
            return result.Failure(errors.RowInvalid(key, detail))
        holdings = tuple(
            model.Holding(int(first), int(last), str(target), int(life), int(number))
            for first, last, target, life, number in content["holdings"]
        )
        generation = int(content["generation"])
    except (zlib.error, ValueError, TypeError, KeyError, RecursionError) as error:
        return result.Failure(errors.RowInvalid(key, type(error).__name__))
    following = 0
    for item in holdings:
        if item.first != following or item.last < item.first:
            return result.Failure(errors.RowInvalid(key, f"key {following}"))
        following = item.last + 1
    if holdings and following != model.KEYS:
        return result.Failure(errors.RowInvalid(key, f"key {following}"))
    return result.Success(Ownership(service, version, generation, holdings))


def list_targets(ownership: Ownership) -> Mapping[str, tuple[model.Holding, ...]]:
    """Return the holdings of each target."""
    owners: dict[str, list[model.Holding]] = {}
    for item in ownership.holdings:
        owners.setdefault(item.target, []).append(item)
    return {target: tuple(items) for target, items in owners.items()}
