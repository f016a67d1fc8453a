"""Builders of test data: the records of `dewstep_core.data` with typical contents.

The defaults describe the first deployment in docs/design.md, with the services
`history`, `booker` and `intake` in three data centres. Each builder accepts keyword
arguments that replace fields.
"""

import datetime
from typing import Any

from dewstep_core import data
from dewstep_emulator import deployments

DATA_CENTRES = ("ub1", "ub2", "ub3")
TARGET_COUNTS = {"history": 20, "booker": 6, "intake": 6}
SLOTS = 4
CONNECTIONS = 110
FIRST_PORTS = {"history": 20_000, "booker": 20_100, "intake": 20_200}
OTHER_PORT = 21_000
"""First port of the targets of all other services."""
ENTRY_PORT = 22_000
OUTAGE_HORIZON = datetime.timedelta(hours=4)
SHARD_COUNT = 1024
SCHEMA = 2
REQUEST_ID = "01890a5d-ac96-774b-bcce-b302099a8057"
"""A UUID of version 7 (RFC 9562)."""
MEBIBYTE = 1024 * 1024

KINDS = {
    "history": (
        deployments.build_kind("history", "GET", "/history/{key}", True, body=0),
        deployments.build_kind("due", "GET", "/history/{key}/due", True, body=0),
    ),
    "booker": (
        deployments.build_kind(
            "booking", "POST", "/bookings", False, weight=10.0, seconds=5.0
        ),
        deployments.build_kind(
            "reminder",
            "POST",
            "/reminders",
            False,
            weight=5.0,
            seconds=5.0,
            body=4_096,
            deduplication="memory",
        ),
    ),
    "intake": (
        deployments.build_kind(
            "photos",
            "PUT",
            "/intake/{key}/photos",
            True,
            weight=5.0,
            seconds=30.0,
            body=64 * MEBIBYTE,
        ),
    ),
}
KEY_PARTS = {
    "history": data.KeyPart("path", "key"),
    "booker": data.KeyPart("header", "Dealer"),
    "intake": data.KeyPart("path", "key"),
}


# Configuration.


def build_kind(
    service: str = "history", number: int = 0, **changes: Any
) -> data.RequestKind:
    """Return a `RequestKind` of one of the three services."""
    return KINDS[service][number]._replace(**changes)


def build_service(name: str = "history", **changes: Any) -> data.Service:
    """Return one of the three services, or one with the contents of `history`."""
    pattern = name if name in KINDS else "history"
    service = data.Service(
        name=name,
        schema=SCHEMA,
        key_part=KEY_PARTS[pattern],
        maximum_key_bytes=128,
        shard_count=SHARD_COUNT,
        outage_horizon=OUTAGE_HORIZON,
        kinds=KINDS[pattern],
    )
    return service._replace(**changes)


def build_target(
    number: int = 0, service: str = "history", **changes: Any
) -> data.Target:
    """Return a target whose name, data centre and port depend on its number."""
    target = data.Target(
        name=f"{service}-{number}",
        service=service,
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        host="127.0.0.1",
        port=FIRST_PORTS.get(service, OTHER_PORT) + number,
        slots=SLOTS,
        connections=CONNECTIONS,
        fenced=True,
        draining=False,
    )
    return target._replace(**changes)


def build_targets(
    service: str = "history", count: int | None = None, **changes: Any
) -> tuple[data.Target, ...]:
    """Return the targets of a service, by default as many as in `TARGET_COUNTS`."""
    total = TARGET_COUNTS.get(service, 1) if count is None else count
    return tuple(build_target(number, service, **changes) for number in range(total))


def build_configuration(
    services: tuple[data.Service, ...] | None = None,
    targets: tuple[data.Target, ...] | None = None,
    revision: int = 1,
) -> data.Configuration:
    """Return a configuration, by default with the three services and all targets."""
    if services is None:
        services = tuple(build_service(name) for name in KINDS)
    if targets is None:
        targets = tuple(
            target for service in services for target in build_targets(service.name)
        )
    return data.Configuration(
        revision,
        {service.name: service for service in services},
        {target.name: target for target in targets},
    )


# Ownership.


def build_assignment(
    targets: tuple[data.Target, ...] | None = None,
    shard_count: int = SHARD_COUNT,
    **changes: Any,
) -> data.Assignment:
    """Return an assignment that distributes the shards round-robin."""
    chosen = build_targets() if targets is None else targets
    names = [target.name for target in chosen]
    assignment = data.Assignment(
        service=chosen[0].service,
        version=1,
        owners=tuple(names[shard % len(names)] for shard in range(shard_count)),
        overrides={},
        operations=("operation-1",),
    )
    return assignment._replace(**changes)


def build_member(number: int = 0, **changes: Any) -> data.Member:
    """Return an entry process whose name and data centre depend on its number."""
    member = data.Member(
        entry=f"entry-{number}",
        incarnation=f"incarnation-{number}",
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        host="127.0.0.1",
        port=ENTRY_PORT + number,
    )
    return member._replace(**changes)


def build_gate_row(
    target: data.Target | None = None,
    member: data.Member | None = None,
    **changes: Any,
) -> data.GateRow:
    """Return the row that names `member` as the gate of `target`."""
    gate = member or build_member()
    row = data.GateRow(
        target=(target or build_target()).name,
        entry=gate.entry,
        incarnation=gate.incarnation,
        host=gate.host,
        port=gate.port,
        term=1,
        version=1,
    )
    return row._replace(**changes)


# Requests.


def build_request(
    service: str = "history",
    key: str = "dealer-1",
    number: int = 0,
    now: datetime.timedelta = datetime.timedelta(),
    body: bytes = b"",
    **changes: Any,
) -> data.Request:
    """Return a request of one of the three services.

    Parameters
    ----------
    service, key : str
    number : int, optional
        Position of the request kind in the service's kinds.
    now : datetime.timedelta, optional
        Monotonic time at which the kind's deadline starts.
    body : bytes, optional
        Complete body.
    **changes
        Other fields of `data.Request`.
    """
    kind = build_kind(service, number)
    part = KEY_PARTS[service]
    headers = ((b"host", b"dewstep"), (b"idempotency-key", REQUEST_ID.encode()))
    if part.source == "header":
        headers += ((part.name.lower().encode(), key.encode()),)
    request = data.Request(
        service=service,
        kind=kind.name,
        key=key,
        request_id=REQUEST_ID,
        generated_id=False,
        method=kind.method,
        path=kind.path.replace("{key}", key),
        headers=headers,
        body_length=len(body),
        body=data.Body(body, None),
        deadline=now + kind.deadline,
    )
    return request._replace(**changes)


def build_answer(body: bytes = b"{}", **changes: Any) -> data.Answer:
    """Return a target's answer with its body in memory."""
    answer = data.Answer(
        status=200,
        headers=((b"content-type", b"application/json"),),
        body_length=len(body),
        body=data.Body(body, None),
        failure="",
    )
    return answer._replace(**changes)


# Targets and table.


def build_clock_reading(**changes: Any) -> data.ClockReading:
    """Return a target's clock reading that took 2 ms."""
    reading = data.ClockReading(
        boot="boot-1",
        clock=datetime.timedelta(seconds=1000),
        term=0,
        sent=datetime.timedelta(seconds=10),
        received=datetime.timedelta(seconds=10, milliseconds=2),
    )
    return reading._replace(**changes)


def build_grant(**changes: Any) -> data.Grant:
    """Return a grant that is valid at the time of `build_clock_reading`."""
    grant = data.Grant(
        boot="boot-1", term=1, expires=datetime.timedelta(seconds=1000.6)
    )
    return grant._replace(**changes)


def build_stamp(**changes: Any) -> data.GrantStamp:
    """Return a stamp that `build_grant` permits."""
    stamp = data.GrantStamp(
        term=1, epoch=1, boot="boot-1", deadline=datetime.timedelta(seconds=1002)
    )
    return stamp._replace(**changes)


def build_transaction(
    key: str = "gate/history-0", version: int = 0, value: Any = None, **changes: Any
) -> data.Transaction:
    """Return a transaction that writes one row if its version is `version`."""
    transaction = data.Transaction(
        operation_id="operation-1",
        checks=(data.Check(key, version),),
        writes=(data.Write(key, {} if value is None else value),),
    )
    return transaction._replace(**changes)


def build_instance(target: data.Target | None = None, **changes: Any) -> data.Instance:
    """Return the entry of a live target in the instance list."""
    listed = target or build_target()
    instance = data.Instance(
        instance=listed.name,
        data_centre=listed.data_centre,
        host=listed.host,
        port=listed.port,
        role="target",
        state="live",
    )
    return instance._replace(**changes)
