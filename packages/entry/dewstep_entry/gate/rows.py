"""Encodes and decodes the gate, assignment, claim and quarantine rows of the table.

A gate row holds two fields for successors: `horizon_ms`, the time for which the gate
acts without the table service (the configuration may get a shorter one while the gate
is cut off), and `released`, whether the previous gate had stopped sending before it
handed over. `operator_address` is the address to which operators' commands connect.
"""

import datetime
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from returns import result

from dewstep_core import data, errors, value_checks

MILLISECOND = datetime.timedelta(milliseconds=1)

# Maximum number of operation ids kept in an assignment row. They show a writer that got
# no answer whether its transaction took effect.
MAXIMUM_OPERATION_IDS = 16

DECODING_ERRORS = (
    AttributeError,
    LookupError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Exceptions that reading values of any type and size from a row can raise."""
MAXIMUM_DETAIL_LENGTH = 200
OUT_OF_RANGE = "a value is out of range or no valid text"


class GateRecord(NamedTuple):
    """A gate row with the fields that only gates use."""

    row: data.GateRow
    horizon: datetime.timedelta
    released: bool
    operation_id: str
    operator_address: str = ""
    """Empty if the process that wrote the row had no such address."""


class QuarantineRecord(NamedTuple):
    """Quarantine row of a request that was in progress at a crash."""

    fingerprint: str
    crashes: int
    state: str
    version: int


def make_gate_key(target: str) -> str:
    """Return the key of the gate row of `target`."""
    return f"gate/{target}"


def make_assignment_key(service: str) -> str:
    """Return the key of the assignment of `service`."""
    return f"assignment/{service}"


def make_claim_key(service: str, request_id: str) -> str:
    """Return the key of the claim of one request id."""
    return f"claim/{service}/{request_id}"


def make_quarantine_key(service: str, fingerprint: str = "") -> str:
    """Return the key of a quarantine row, or the prefix of those of `service`."""
    return f"quarantine/{service}/{fingerprint}"


def make_declaration_key(target: str) -> str:
    """Return the key of the declaration that `target` and its gate are dead."""
    return f"declared-dead/{target}"


def build_failure(row: data.Row, error: Exception) -> result.Result:
    """Return the failure for a row whose decoding raised an exception."""
    detail = f"{type(error).__name__}: {error}"[:MAXIMUM_DETAIL_LENGTH]
    return result.Failure(errors.RowInvalid(row.key, detail))


def decode_declarations(found: Iterable[data.Row]) -> dict[str, int]:
    """Return the terms of gates declared dead, by target.

    A declaration without a term applies to no gate and is ignored.
    """
    terms = {}
    for row in found:
        term = (row.value or {}).get("term")
        if isinstance(term, int):
            terms[row.key.removeprefix(make_declaration_key(""))] = term
    return terms


def encode_gate(record: GateRecord) -> Mapping:
    """Return the value of a gate row."""
    row = record.row
    value = {
        "entry": row.entry,
        "incarnation": row.incarnation,
        "host": row.host,
        "port": row.port,
        "term": row.term,
        "horizon_ms": record.horizon // MILLISECOND,
        "released": record.released,
        "operation_id": record.operation_id,
    }
    if record.operator_address:
        value["operator_address"] = record.operator_address
    return value


def decode_gate(
    row: data.Row, default_horizon: datetime.timedelta
) -> result.Result[GateRecord, errors.RowInvalid]:
    """Return the record in an existing gate row."""
    value = row.value
    try:
        gate = data.GateRow(
            row.key.removeprefix("gate/"),
            str(value["entry"]),
            str(value["incarnation"]),
            str(value["host"]),
            int(value["port"]),
            int(value["term"]),
            row.version,
        )
        milliseconds = value.get("horizon_ms", default_horizon // MILLISECOND)
        record = GateRecord(
            gate,
            datetime.timedelta(milliseconds=int(milliseconds)),
            value.get("released") is True,
            str(value.get("operation_id", "")),
            str(value.get("operator_address", "")),
        )
    except DECODING_ERRORS as error:
        return build_failure(row, error)
    in_range = (
        value_checks.is_host(gate.host)
        and value_checks.is_port(gate.port)
        and value_checks.is_integer(gate.term, 0, value_checks.MAX_INT64)
        and datetime.timedelta() <= record.horizon <= value_checks.MAX_DURATION
    )
    texts = (
        gate.target,
        gate.entry,
        gate.incarnation,
        record.operation_id,
        record.operator_address,
    )
    if not in_range or not all(map(value_checks.is_text, texts)):
        return result.Failure(errors.RowInvalid(row.key, OUT_OF_RANGE))
    return result.Success(record)


def encode_assignment(assignment: data.Assignment, operation_id: str) -> Mapping:
    """Return the value of the next version of an assignment row."""
    operations = (*assignment.operations, operation_id)[-MAXIMUM_OPERATION_IDS:]
    return {
        "version": assignment.version + 1,
        **encode_content(assignment._replace(operations=operations)),
    }


def encode_content(assignment: data.Assignment) -> dict[str, Any]:
    """Return the JSON value that `decode_assignment` reads, without the version."""
    return {
        "owners": list(assignment.owners),
        "overrides": dict(assignment.overrides),
        "operations": list(assignment.operations),
        "orders": encode_orders(assignment.orders),
    }


def encode_orders(orders: Iterable[data.Order]) -> list[list]:
    """Return the value of the orders in an assignment row."""
    return [[order.subject, order.time.isoformat()] for order in orders]


def decode_orders(value: Iterable) -> tuple[data.Order, ...]:
    """Return the orders in an assignment row.

    Raises
    ------
    TypeError, ValueError
        If the value does not hold orders.
    """
    return tuple(
        data.Order(subject, datetime.datetime.fromisoformat(time))
        for subject, time in value
    )


def decode_assignment(
    row: data.Row,
) -> result.Result[data.Assignment, errors.RowInvalid]:
    """Return the assignment in a row; its version is the row's."""
    value = row.value
    try:
        assignment = data.Assignment(
            row.key.removeprefix("assignment/"),
            row.version,
            tuple(str(owner) for owner in value["owners"]),
            {str(key): str(owner) for key, owner in value["overrides"].items()},
            tuple(str(operation) for operation in value.get("operations", ())),
            decode_orders(value.get("orders", ())),
        )
    except DECODING_ERRORS as error:
        return build_failure(row, error)
    texts = (
        *assignment.owners,
        *assignment.overrides,
        *assignment.overrides.values(),
        *assignment.operations,
    )
    if not all(map(value_checks.is_text, texts)):
        return result.Failure(errors.RowInvalid(row.key, OUT_OF_RANGE))
    return result.Success(assignment)


def encode_quarantine(record: QuarantineRecord, operation_id: str) -> Mapping:
    """Return the value of a quarantine row."""
    return {
        "crashes": record.crashes,
        "state": record.state,
        "operation_id": operation_id,
    }


def decode_quarantine(
    row: data.Row,
) -> result.Result[QuarantineRecord, errors.RowInvalid]:
    """Return the record in a quarantine row."""
    try:
        record = QuarantineRecord(
            row.key.rsplit("/", 1)[1],
            int(row.value["crashes"]),
            str(row.value["state"]),
            row.version,
        )
    except DECODING_ERRORS as error:
        return build_failure(row, error)
    in_range = value_checks.is_integer(record.crashes, 0, value_checks.MAX_INT64)
    if not in_range or not value_checks.is_text(record.state):
        return result.Failure(errors.RowInvalid(row.key, OUT_OF_RANGE))
    return result.Success(record)
