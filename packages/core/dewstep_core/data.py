"""The immutable records that all modules pass around, defined once.

Durations are `datetime.timedelta`. A time without a time zone is a reading of
`Clock.monotonic` in the process that took it and means nothing elsewhere.
"""

import datetime
from collections.abc import AsyncIterator, Mapping
from types import MappingProxyType
from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]


# Configuration.


class KeyPart(NamedTuple):
    """Where a request holds its key."""

    source: str
    """"path", "header" or "query"."""
    name: str
    """Name of the header or query parameter; for a path, "key"."""


class RequestKind(NamedTuple):
    """One kind of request of a service, recognized by its method and path."""

    name: str
    method: str
    path: str
    """Template such as "/history/{key}/due"; `{key}` stands for one segment."""
    idempotent: bool
    weight: float
    """Cost of a missed request of this kind relative to the others."""
    deadline: datetime.timedelta
    maximum_body_bytes: int
    deduplication: str
    """Name in the registry of deduplication methods: "none", "table", "memory"."""


class Service(NamedTuple):
    """A service that callers reach through dewstep."""

    name: str
    schema: int
    key_part: KeyPart
    maximum_key_bytes: int
    shard_count: int
    outage_horizon: datetime.timedelta
    kinds: tuple[RequestKind, ...]


class Target(NamedTuple):
    """A server that owns keys of one service."""

    name: str
    service: str
    data_centre: str
    host: str
    port: int
    slots: int
    """Requests that it runs at the same time."""
    connections: int
    """Connections that it accepts in all."""
    fenced: bool
    """Whether it checks grants."""
    draining: bool


class Configuration(NamedTuple):
    """All records in force, at one revision."""

    revision: int
    services: Mapping[str, Service]
    targets: Mapping[str, Target]
    records: Mapping[str, tuple[Mapping, ...]] = MappingProxyType({})
    """The "service" and "target" records as operators wrote them, if known."""


# Ownership.


class Order(NamedTuple):
    """A move that an operator ordered."""

    subject: int | str
    """Shard number or key."""
    time: datetime.datetime


class Assignment(NamedTuple):
    """Owners of all shards of one service at one version."""

    service: str
    version: int
    owners: tuple[str, ...]
    """Target of each shard, by shard number."""
    overrides: Mapping[str, str]
    """Targets of single keys that were lifted out of their shards."""
    operations: tuple[str, ...]
    """Ids of the most recent transactions, the newest last."""
    orders: tuple[Order, ...] = ()
    """The latest moves that operators ordered, which the balancer leaves alone."""


class GateRow(NamedTuple):
    """The table's row that names the gate of a target."""

    target: str
    entry: str
    incarnation: str
    host: str
    port: int
    term: int
    version: int
    """Version of the row in the table service."""


class Member(NamedTuple):
    """An entry process as its peers know it."""

    entry: str
    incarnation: str
    data_centre: str
    host: str
    port: int
    operator_port: int = 0
    """Port for operators on the same host, 0 if it is not known."""


class Suspicion(NamedTuple):
    """A run of an entry process that a monitor no longer hears."""

    entry: str
    incarnation: str


# Requests.


class Body(NamedTuple):
    """A message body: what has been read, and the rest if there is more."""

    start: bytes
    rest: AsyncIterator[bytes] | None


class Request(NamedTuple):
    """A caller's request after identification."""

    service: str
    kind: str
    key: str
    request_id: str
    generated_id: bool
    """Whether the caller sent no id of its own."""
    method: str
    path: str
    headers: Headers
    body_length: int | None
    """Bytes announced, or None for a chunked body."""
    body: Body
    deadline: datetime.timedelta
    """Monotonic time in this process at which the answer is of no more use."""


class Answer(NamedTuple):
    """An answer on its way to a caller."""

    status: int
    headers: Headers
    body_length: int | None
    body: Body
    failure: str
    """Name of dewstep's own failure type, or "" for a target's answer."""


# Targets.


class ClockReading(NamedTuple):
    """A target's clock, boot id and highest term, as an answer reported them."""

    boot: str
    clock: datetime.timedelta
    """Reading of the target's monotonic clock."""
    term: int
    sent: datetime.timedelta
    """Local monotonic time at which the question was sent."""
    received: datetime.timedelta
    """Local monotonic time at which the answer had arrived."""


class Grant(NamedTuple):
    """Permission for a fenced target to run requests of one term."""

    boot: str
    term: int
    expires: datetime.timedelta
    """In the target's clock."""


class Stamp(NamedTuple):
    """What a gate adds to a request so that a fenced target can check it."""

    term: int
    epoch: int
    """Version of the assignment."""
    boot: str
    deadline: datetime.timedelta
    """In the target's clock."""


# Table service.


class Row(NamedTuple):
    """A row of the table service; version 0 and no value mean that it is absent."""

    key: str
    version: int
    value: Mapping | None


class Check(NamedTuple):
    """Condition of a transaction: `key` is at `version` (0: absent)."""

    key: str
    version: int


class Write(NamedTuple):
    """Effect of a transaction: `key` gets `value`, or is deleted for None."""

    key: str
    value: Mapping | None


class Transaction(NamedTuple):
    """Checks and writes that take effect together or not at all."""

    operation_id: str
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Commit(NamedTuple):
    """Versions of the rows that a committed transaction wrote."""

    versions: Mapping[str, int]


class Instance(NamedTuple):
    """An entry of the platform's instance list."""

    instance: str
    data_centre: str
    host: str
    port: int
    role: str
    """"entry" or "target"."""
    state: str
    """"live" or "leaving"."""
