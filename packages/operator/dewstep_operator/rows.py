"""Decoding of the table rows that the commands read.

Only entry processes write assignments and gate rows. A row of unexpected format is
reported as a failure; no values are assumed for it.
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
    """A row `gate/<target>`, with the operator address if the row contains one."""

    row: data.GateRow
    operator_address: settings.Address | None


class Quarantine(NamedTuple):
    """A row `quarantine/<service>/<fingerprint>`."""

    service: str
    fingerprint: str
    crashes: int
    state: str
    version: int


def decode_row(
    row: data.Row, build: Callable[[data.Row], Any]
) -> result.Result[Any, errors.RowInvalid]:
    """Decode `row` with `build`; return `RowInvalid` if its format is unexpected."""
    try:
        return result.Success(build(row))
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
        return result.Failure(errors.RowInvalid(row.key, repr(error)))


def decode_gate(row: data.Row) -> GateEntry:
    """Decode the gate in `row`."""
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


def decode_assignment(row: data.Row) -> data.Assignment:
    """Decode the assignment in `row`; its version is that of the row."""
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


def decode_quarantine(row: data.Row) -> Quarantine:
    """Decode the quarantined request in `row`."""
    _, service, fingerprint = row.key.split("/", 2)
    return Quarantine(
        service,
        fingerprint,
        int(row.value["crashes"]),
        str(row.value["state"]),
        row.version,
    )


def convert_lost_read(outcome: result.Result) -> result.Result:
    """Return the outcome of a read, with `AnswerLost` as `PlatformUnavailable`.

    A read has no effect, even if its answer is lost.
    """
    if isinstance(outcome, result.Failure):
        failure = outcome.failure()
        if isinstance(failure, errors.AnswerLost):
            return result.Failure(errors.PlatformUnavailable(failure.detail))
    return outcome


async def read_row(
    table: Any, key: str, build: Callable[[data.Row], Any]
) -> result.Result[Any, Any]:
    """Return the decoded row with `key`, or a success with None if it is absent."""
    outcome = convert_lost_read(await table.read(key))
    return outcome.bind(
        lambda row: (
            result.Success(None) if row.value is None else decode_row(row, build)
        )
    )


async def read_rows(
    table: Any, prefix: str, build: Callable[[data.Row], Any]
) -> result.Result[tuple, Any]:
    """Return all decoded rows whose keys start with `prefix`."""
    outcome = convert_lost_read(await table.read_prefix(prefix))
    if isinstance(outcome, result.Failure):
        return outcome
    decoded = [decode_row(row, build) for row in outcome.unwrap()]
    for item in decoded:
        if isinstance(item, result.Failure):
            return item
    return result.Success(tuple(item.unwrap() for item in decoded))


async def read_gates(table: Any) -> result.Result[dict[str, GateEntry], Any]:
    """Return the gates by target."""
    outcome = await read_rows(table, GATE_PREFIX, decode_gate)
    return outcome.map(lambda gates: {gate.row.target: gate for gate in gates})


async def read_assignments(
    table: Any,
) -> result.Result[dict[str, data.Assignment], Any]:
    """Return the assignments by service."""
    outcome = await read_rows(table, ASSIGNMENT_PREFIX, decode_assignment)
    return outcome.map(lambda items: {item.service: item for item in items})


class Owned(NamedTuple):
    """Numbers of shards and keys that a target owns."""

    shards: int
    keys: int
    """Keys that were lifted out of their shards."""


def count_owned(assignment: data.Assignment | None, target: str) -> Owned:
    """Return how many shards and lifted keys `target` owns in `assignment`."""
    if assignment is None:
        return Owned(0, 0)
    keys = sum(owner == target for owner in assignment.overrides.values())
    return Owned(assignment.owners.count(target), keys)
