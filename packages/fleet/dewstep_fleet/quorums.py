"""The members of a fleet that count in majorities.

A coordinator that does not reach the store leads while most members follow it. Its
successor may take its ranges over once half of them have adopted the new term. This
rules out both at a time only if both count the same members. Therefore a row of the
store names them. A coordinator changes it in a transaction of its own term after half
of the members have adopted this term, or after all owners reject orders of earlier
terms, and an election expects its version.
"""

import json
from collections.abc import Iterable, Set
from typing import Any, NamedTuple

from returns import result

from dewstep_core import errors, fields, value_checks
from dewstep_fleet import model, ranges


class Quorum(NamedTuple):
    """Members that count in majorities."""

    nodes: frozenset[str]
    number: int
    """Number of the changes so far, which a restored store may have lost."""
    version: int
    """Version of the row in the store, or 0 if there is none."""
    stored: bool
    """Whether the row names these members."""


NO_QUORUM = Quorum(frozenset(), 0, 0, False)


def encode(nodes: Iterable[str], number: int) -> bytes:
    """Return the row value that names these members."""
    content = {
        "schema": ranges.SCHEMA_VERSION,
        "number": number,
        "nodes": sorted(nodes),
    }
    return json.dumps(content, separators=(",", ":")).encode()


def decode(row: model.StoredRow) -> result.Result[Quorum, Any]:
    """Return the members that a row names, or `RowInvalid`."""
    try:
        content = json.loads(row.value)
        schema, number, nodes = (
            content[name] for name in ("schema", "number", "nodes")
        )
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        return result.Failure(errors.RowInvalid(row.key, type(error).__name__))
    if schema != ranges.SCHEMA_VERSION:
        detail = f"unknown schema {fields.quote(schema)}"
        return result.Failure(errors.RowInvalid(row.key, detail))
    if not value_checks.is_integer(number, 0, value_checks.MAX_INT64):
        detail = "field 'number' has the wrong type or is out of range"
        return result.Failure(errors.RowInvalid(row.key, detail))
    if not isinstance(nodes, list) or not all(map(value_checks.is_text, nodes)):
        detail = "field 'nodes' has the wrong type or is no valid text"
        return result.Failure(errors.RowInvalid(row.key, detail))
    return result.Success(Quorum(frozenset(nodes), number, row.version, stored=True))


def merge(known: Quorum, row: Quorum) -> Quorum:
    """Return the quorum after a newer version of its row was read.

    The row of a restored store may be older than the quorum that is known, by which an
    earlier coordinator may lead.
    """
    if row.number >= known.number:
        return row
    return known._replace(version=row.version, stored=False)


def is_majority(nodes: Set[str], members: Set[str]) -> bool:
    """Whether nodes include more than half of the members."""
    return 2 * len(nodes & members) > len(members)


def is_half(nodes: Set[str], members: Set[str]) -> bool:
    """Whether nodes include at least half of the members."""
    return 2 * len(nodes & members) >= len(members)
