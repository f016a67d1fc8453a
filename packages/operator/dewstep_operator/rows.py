"""The rows of the table service that operators' commands read.

The forms are those of section 4.1 of the design page. An entry process is the only
writer of assignments and gate rows; a row of another form is reported, never guessed.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from returns import result

from dewstep_core import data, errors, fields, settings

GATE_PREFIX = "gate/"
ASSIGNMENT_PREFIX = "assignment/"
QUARANTINE_PREFIX = "quarantine/"
DECLARED_DEAD_PREFIX = "declared-dead/"


class GateEntry(NamedTuple):
    """A row `gate/<target>`, with the operators' address where the row names it."""

    row: data.GateRow
    operator_address: settings.Address | None


class Quarantine(NamedTuple):
    """A row `quarantine/<service>/<fingerprint>`."""

    service: str
    fingerprint: str
    crashes: int
    state: str
    version: int


def decode(
    row: data.Row, build: Callable[[data.Row], Any]
) -> result.Result[Any, errors.RowInvalid]:
    """Return what `build` makes of `row`, or that the row has another form."""
    try:
        return result.Success(build(row))
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
        return result.Failure(errors.RowInvalid(row.key, repr(error)))


def build_gate(row: data.Row) -> GateEntry:
    """Return the gate that `row` names."""
    value = row.value
    gate = data.GateRow(
        row.key.removeprefix(GATE_PREFIX),
        str(value["entry"]),
        str(value["incarnation"]),
        str(value["host"]),
        int(value["port"]),
        int(value["term"]),
        row.version,
    )
    return GateEntry(gate, fields.read_address(value.get("operator_address")))


def build_assignment(row: data.Row) -> data.Assignment:
    """Return the assignment in `row`; its version is the row's."""
    owners = tuple(str(owner) for owner in row.value["owners"])
    if not owners:
        raise ValueError("an assignment without shards")
    return data.Assignment(
        row.key.removeprefix(ASSIGNMENT_PREFIX),
        row.version,
        owners,
        {str(key): str(owner) for key, owner in row.value["overrides"].items()},
        tuple(str(item) for item in row.value.get("operations", ())),
    )


def build_quarantine(row: data.Row) -> Quarantine:
    """Return the quarantined request in `row`."""
    _, service, fingerprint = row.key.split("/", 2)
    return Quarantine(
        service,
        fingerprint,
        int(row.value["crashes"]),
        str(row.value["state"]),
        row.version,
    )


def settle_read(outcome: result.Result) -> result.Result:
    """Return `outcome` of a read; a lost answer of a read changed nothing."""
    if isinstance(outcome, result.Failure):
        failure = outcome.failure()
        if isinstance(failure, errors.AnswerLost):
            return result.Failure(errors.PlatformUnavailable(failure.detail))
    return outcome


async def read_row(
    table: Any, key: str, build: Callable[[data.Row], Any]
) -> result.Result[Any, Any]:
    """Return the decoded row under `key`, or None in a success if it is absent."""
    outcome = settle_read(await table.read(key))
    return outcome.bind(
        lambda row: result.Success(None) if row.value is None else decode(row, build)
    )


async def read_rows(
    table: Any, prefix: str, build: Callable[[data.Row], Any]
) -> result.Result[tuple, Any]:
    """Return all decoded rows whose keys start with `prefix`."""
    outcome = settle_read(await table.read_prefix(prefix))
    if isinstance(outcome, result.Failure):
        return outcome
    decoded = [decode(row, build) for row in outcome.unwrap()]
    for item in decoded:
        if isinstance(item, result.Failure):
            return item
    return result.Success(tuple(item.unwrap() for item in decoded))


async def read_gates(table: Any) -> result.Result[dict[str, GateEntry], Any]:
    """Return the gates by target."""
    outcome = await read_rows(table, GATE_PREFIX, build_gate)
    return outcome.map(lambda gates: {gate.row.target: gate for gate in gates})


async def read_assignments(
    table: Any,
) -> result.Result[dict[str, data.Assignment], Any]:
    """Return the assignments by service."""
    outcome = await read_rows(table, ASSIGNMENT_PREFIX, build_assignment)
    return outcome.map(lambda items: {item.service: item for item in items})


class Owned(NamedTuple):
    """What one target owns."""

    shards: int
    keys: int
    """Single keys that were lifted out of their shards."""


def count_owned(assignment: data.Assignment | None, target: str) -> Owned:
    """Return how much `target` owns of the service that `assignment` is for."""
    if assignment is None:
        return Owned(0, 0)
    keys = sum(owner == target for owner in assignment.overrides.values())
    return Owned(assignment.owners.count(target), keys)
