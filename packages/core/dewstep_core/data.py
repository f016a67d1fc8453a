"""Immutable data types shared by all packages.

Durations are `datetime.timedelta`. A time without a time zone is a reading of
`Clock.monotonic`; it is valid only within the process that read the clock.
"""

import datetime
from collections.abc import AsyncIterator, Mapping
from types import MappingProxyType
from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]


# Configuration.


class KeyPart(NamedTuple):
    """The part of a request that contains the key."""

    source: str
    """"path", "header" or "query"."""
    name: str
    """Name of the header or query parameter; for a path, "key"."""


class RequestKind(NamedTuple):
    """One kind of request of a service, recognized by its method and path."""

    name: str
    method: str
    path: str
    """Template such as "/history/{key}/due"; `{key}` matches one segment."""
    idempotent: bool
    weight: float
    """Cost of not serving a request of this kind, relative to other kinds."""
    deadline: datetime.timedelta
    maximum_body_bytes: int
    deduplication: str
    """Name of a registered deduplication method: "none", "table" or "memory"."""


class Service(NamedTuple):
    """A service whose requests dewstep routes to targets."""

    name: str
    schema: int
    """Schema version of the configuration record."""
    key_part: KeyPart
    maximum_key_bytes: int
    shard_count: int
    outage_horizon: datetime.timedelta
    """Time for which a gate continues without contact with the table service."""
    kinds: tuple[RequestKind, ...]


class Target(NamedTuple):
    """A server that processes the requests for the keys it owns of one service."""

    name: str
    service: str
    data_centre: str
    host: str
    port: int
    slots: int
    """Number of requests that it processes concurrently."""
    connections: int
    """Maximum number of connections that it accepts."""
    fenced: bool
    """Whether it rejects requests without a valid grant."""
    draining: bool
    """Whether its keys are to be moved to other targets."""


class Configuration(NamedTuple):
    """All configuration records at one revision."""

    revision: int
    services: Mapping[str, Service]
    targets: Mapping[str, Target]
    records: Mapping[str, tuple[Mapping, ...]] = MappingProxyType({})
    """Unparsed records by type ("service", "target"), if they are known."""


# Ownership.


class Order(NamedTuple):
    """The record of a move that an operator requested."""

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
    """Owners of keys that are not owned by the owner of their shard, by key."""
    operations: tuple[str, ...]
    """Ids of the most recent transactions, the newest last."""
    orders: tuple[Order, ...] = ()
    """Latest moves by operators, whose shards and keys the balancer does not move."""


class GateRow(NamedTuple):
    """The table row that names the entry process that is the gate of a target."""

    target: str
    entry: str
    incarnation: str
    """Id of one run of the entry process."""
    host: str
    port: int
    term: int
    """Number that is higher for each later gate of the target."""
    version: int
    """Version of the row in the table service."""


class Member(NamedTuple):
    """Identity and addresses of an entry process, as exchanged between peers."""

    entry: str
    incarnation: str
    data_centre: str
    host: str
    port: int
    operator_port: int = 0
    """Port for operators on the same host, 0 if unknown."""


class Suspicion(NamedTuple):
    """An incarnation of an entry process whose heartbeats a monitor is missing."""

    entry: str
    incarnation: str


# Requests.


class Body(NamedTuple):
    """A message body that may have been read only in part."""

    start: bytes
    """The part that has been read."""
    rest: AsyncIterator[bytes] | None
    """The part still to be read, or None if `start` is the whole body."""


class Request(NamedTuple):
    """A caller's request whose service, kind and key have been determined."""

    service: str
    kind: str
    key: str
    request_id: str
    generated_id: bool
    """Whether dewstep generated the id because the caller sent none."""
    method: str
    path: str
    headers: Headers
    body_length: int | None
    """Content length in bytes, or None for a chunked body."""
    body: Body
    deadline: datetime.timedelta
    """Monotonic time of this process after which the caller no longer waits."""


class Answer(NamedTuple):
    """An answer to a caller's request."""

    status: int
    headers: Headers
    body_length: int | None
    body: Body
    failure: str
    """Name of the failure type if dewstep generated the answer, "" if a target did."""


# Targets.


class ClockReading(NamedTuple):
    """The clock, boot id and highest term that a target reported in an answer."""

    boot: str
    """Id of one run of the target."""
    clock: datetime.timedelta
    """Reading of the target's monotonic clock."""
    term: int
    sent: datetime.timedelta
    """Local monotonic time at which the request for the reading was sent."""
    received: datetime.timedelta
    """Local monotonic time at which the answer was received."""


class Grant(NamedTuple):
    """Permission for a fenced target to run requests of one term until it expires."""

    boot: str
    term: int
    expires: datetime.timedelta
    """Reading of the target's monotonic clock."""


class GrantStamp(NamedTuple):
    """Values that a gate adds to a request for a fenced target to check."""

    term: int
    epoch: int
    """Version of the assignment."""
    boot: str
    deadline: datetime.timedelta
    """Reading of the target's monotonic clock."""


# Table service.


class Row(NamedTuple):
    """A row of the table service; an absent row has version 0 and value None."""

    key: str
    version: int
    value: Mapping | None


class Check(NamedTuple):
    """Condition of a transaction: `key` has `version`, which is 0 if it is absent."""

    key: str
    version: int


class Write(NamedTuple):
    """Effect of a transaction: `key` is set to `value`, or deleted if that is None."""

    key: str
    value: Mapping | None


class Transaction(NamedTuple):
    """Writes that are applied atomically if all checks hold."""

    operation_id: str
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Commit(NamedTuple):
    """Versions that a committed transaction gave to the rows it wrote, by key."""

    versions: Mapping[str, int]


class Instance(NamedTuple):
    """An element of the platform's instance list."""

    instance: str
    """Name of the instance."""
    data_centre: str
    host: str
    port: int
    role: str
    """"entry" or "target"."""
    state: str
    """"live" or "leaving"."""
