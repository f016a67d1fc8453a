"""Encoding of the messages between instances (`fleet.capnp`)."""

import datetime
import functools
import hashlib
import pathlib
import zlib
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

import capnp

from dewstep_fleet import model, row_changes

MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_UINT16 = 2**16 - 1
MAX_UINT32 = 2**32 - 1

Item = TypeVar("Item")

schema = capnp.load(str(pathlib.Path(__file__).with_name("fleet.capnp")))


class Load(NamedTuple):
    """Requests of one instance at one target."""

    target: str
    running: int
    ended: int
    """Requests ended since the last report."""
    busy_microseconds: int
    """Time of the ended requests at the target."""
    expected_microseconds: int = 0
    """Typical time of these requests."""


class Total(NamedTuple):
    """Requests of all instances at one target, and its slowness."""

    target: int
    """Hash of its name (`hash_target_name`)."""
    running: int
    slowness: float
    """Response time relative to the typical one."""
    admitted: float = 1.0
    """Fraction of the requests for its keys that it can serve."""


class Span(NamedTuple):
    """A key range that is being moved."""

    service: str
    first: int
    last: int


class KeyCount(NamedTuple):
    """Requests for one key since the last report."""

    service: str
    key: int
    count: int


class Crash(NamedTuple):
    """How many targets were lost while a request was in progress there."""

    fingerprint: bytes
    count: int
    """In a "beat": number of separate losses. In a "report": 1 for the loss of
    `target`. 0 in both if a target has completed the request since."""
    target: str = ""
    """The lost target; "" in reports of earlier versions of this package."""
    life: int = 0
    """Incarnation of the target."""
    sent_age_ms: int = 0
    """Time in ms since the request was sent to the target."""
    lost_age_ms: int = 0
    """Time in ms since the target was lost."""


class Departure(NamedTuple):
    """A target that has announced in an answer that it is leaving."""

    target: str
    life: int


class Limit(NamedTuple):
    """What a target has said about the requests per second that it accepts."""

    target: str
    life: int
    rate: float
    """Requests/s from all instances together; infinite if it names no limit."""
    age_ms: int
    """Time in ms since the answer that said so."""


class Cold(NamedTuple):
    """A target that is cold or may be so."""

    target: str
    life: int
    """Incarnation that was known when it was observed."""
    age_ms: int
    """Time in ms since the observation."""
    left_ms: int
    """Time in ms until it becomes warm."""
    unanswered: bool = False
    """Whether it has not answered since the observation, so that nothing is known of
    the time left."""
    failed: bool = False
    """Whether it has refused or reset connections."""


class PermitRequest(NamedTuple):
    """Number of requests to a target with a limit that need a permit."""

    target: str
    life: int
    count: int
    cold_rate: float = 0.0
    """Requests/s that it may get as a cold target; 0 if it is warm for the sender."""


class Permits(NamedTuple):
    """Permits for a target that the coordinator issues to one instance."""

    target: str
    count: int
    wait_ms: int
    """Time in ms until the next permit; 0 if all were issued."""
    cold: bool = False
    """Whether they were issued for a cold target. Earlier versions of this package
    issue any number instead, without this mark."""


class Frame(NamedTuple):
    """One message; fields that its kind does not use are empty."""

    kind: str
    """Type of the message. On a new link, a coordinator sends "greeting", the member
    answers with the "versions" of its rows, and the coordinator sends the "rows" that
    it lacks. After that, further "rows" are news of changes, and each heartbeat
    ("beat") of the coordinator is answered by a "report". "ask" requests a vote in an
    election, "tell" answers it. "need" asks the coordinator for permits of requests to
    targets with a limit, "permits" answers it. "confirm" asks the coordinator whether
    the "versions" of the configuration are the newest, "confirmed" answers it, with the
    newer "rows"."""
    term: int
    node: str
    incarnation: str
    heard: bool = False
    """In a "tell": whether the sender receives healthy heartbeats or is a healthy
    coordinator. In a "report": whether the store answered the sender's last call."""
    contact: bool = False
    """Whether the sender reaches the store."""
    members: int = 0
    """In a "beat": number of live instances."""
    rows: tuple[model.StoredRow, ...] = ()
    loads: tuple[Load, ...] = ()
    """In a "report": the loads that changed at the sender."""
    totals: tuple[Total, ...] = ()
    """In a "beat": the targets that have requests."""
    moving: tuple[Span, ...] = ()
    """In a "beat" and in "rows": all ranges that are being moved."""
    keys: tuple[KeyCount, ...] = ()
    crashes: tuple[Crash, ...] = ()
    stopping: bool = False
    """Whether the sender is shutting down."""
    deputy: bool = False
    """In a "beat": whether the receiver must follow the store as a deputy."""
    versions: tuple[tuple[int, int], ...] = ()
    """Hashes of row keys (`hash_row_key`) and the versions of the rows."""
    holds_ms: int = 0
    """Remaining time in ms of grants that are longer than usual."""
    holds_known: bool = False
    """Whether the sender has run for longer than any grant that was sent before its
    start, so that `holds_ms` is all that it could know."""
    heartbeat_ms: int = 0
    """In a "beat" and in "rows": when it was sent, in ms of the coordinator's monotonic
    clock; earlier versions send none in "rows". In a
    "report": that of the last heartbeat received, or 0 if its `holds_ms` is not
    acknowledged because of a recent vote."""
    departures: tuple[Departure, ...] = ()
    """Targets whose announcement was first seen since the last message. In "rows" that
    answer "versions": all registered targets that an answer has said to be leaving."""
    limits: tuple[Limit, ...] = ()
    """In a "beat" and a "need": the limits that the sender knows. In a "report": those
    that it has observed itself."""
    wanted: tuple[PermitRequest, ...] = ()
    permits: tuple[Permits, ...] = ()
    reaches_targets: bool = False
    """In a "report": whether a target has answered the sender a short time ago."""
    asked_ms: int = 0
    """In a "need" or a "confirm" and its answer: when it was sent, in ms of the asking
    instance's monotonic clock."""
    changes: tuple[row_changes.RowChange, ...] = ()
    """In "rows": the rows that are sent as differences."""
    accepts_changes: bool = False
    """In "versions": whether the sender can apply differences, which earlier versions
    of this package cannot."""
    age_ms: int = 0
    """In a "confirmed": time in ms since the sender's configuration was the newest."""
    moves_kept: bool = False
    """In a "beat" and in "rows": whether the moves of earlier messages go on, but for
    the changes in `begun` and `ended`, so that `moving` is empty. Hundreds of moves in
    each message would fill the coordinator's link."""
    begun: tuple[Span, ...] = ()
    ended: tuple[Span, ...] = ()
    accepts_moves: bool = False
    """In "versions": whether the sender can apply changes of the moves, which earlier
    versions of this package cannot."""
    reads_evacuations: bool = False
    """Whether the sender reads the rows that ask for an evacuation. To earlier versions
    of this package, a complete table seems to lack such a row."""
    cold: tuple[Cold, ...] = ()
    """In a "beat": the targets that may be cold although their rows do not say so. In a
    "report": those that the sender has observed itself."""
    accepts_compact: bool = False
    """In a "report": whether the sender reads compact heartbeats (`totals`), which
    earlier versions of this package cannot."""
    wants_totals: bool = False
    """In a "report": whether the last totals did not fit the targets that the sender
    has, so that it needs all of them again."""
    compact: Any = None
    """In a "beat" or "report": its compact block, see `totals.blocks`."""


def hash_target_name(target: str) -> int:
    """Return a 32-bit hash of a target's name, which keeps heartbeats small.

    A collision occurs in one of 150,000 fleets of 240 targets. Such targets are
    assigned the same load.
    """
    return zlib.crc32(target.encode())


def hash_row_key(row: model.StoredRow) -> int:
    """Return a 64-bit hash of a row's table and key.

    It must be free of collisions within a fleet, since a row that is mistaken for
    another would never be sent to a member.
    """
    digest = hashlib.blake2b(f"{row.table}/{row.key}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def encode(frame: Frame) -> bytes:
    """Encode a frame."""
    message = schema.Frame.new_message(
        kind=frame.kind,
        term=frame.term,
        node=frame.node,
        incarnation=frame.incarnation,
        heard=frame.heard,
        contact=frame.contact,
        members=frame.members,
        stopping=frame.stopping,
        deputy=frame.deputy,
        holdsMs=frame.holds_ms,
        holdsKnown=frame.holds_known,
        heartbeatMs=frame.heartbeat_ms,
        askedMs=frame.asked_ms,
        reachesTargets=frame.reaches_targets,
        acceptsChanges=frame.accepts_changes,
        ageMs=min(frame.age_ms, MAX_UINT32),
        movesKept=frame.moves_kept,
        acceptsMoves=frame.accepts_moves,
        readsEvacuations=frame.reads_evacuations,
        acceptsCompact=frame.accepts_compact,
        wantsTotals=frame.wants_totals,
    )
    if frame.rows:
        message.rows = [
            {
                "table": row.table,
                "key": row.key,
                "version": row.version,
                "value": row.value or b"",
                "removed": row.value is None,
            }
            for row in frame.rows
        ]
    if frame.changes:
        message.changes = [item._asdict() for item in frame.changes]
    if frame.loads:
        message.loads = [
            {
                "target": load.target,
                "running": load.running,
                "ended": load.ended,
                "busyMicroseconds": load.busy_microseconds,
                "expectedMicroseconds": load.expected_microseconds,
            }
            for load in frame.loads
        ]
    if frame.totals:
        totals = message.init("totals")
        totals.targets = [total.target for total in frame.totals]
        totals.running = [min(total.running, MAX_UINT16) for total in frame.totals]
        totals.slowness = [
            min(round(total.slowness * 100), MAX_UINT16) for total in frame.totals
        ]
        totals.admitted = [round(total.admitted * 100) for total in frame.totals]
    if frame.versions:
        versions = message.init("versions")
        versions.rows = [row for row, _ in frame.versions]
        versions.versions = [version for _, version in frame.versions]
    if frame.moving:
        message.moving = [span._asdict() for span in frame.moving]
    if frame.begun:
        message.begun = [span._asdict() for span in frame.begun]
    if frame.ended:
        message.ended = [span._asdict() for span in frame.ended]
    if frame.keys:
        message.keys = [item._asdict() for item in frame.keys]
    if frame.crashes:
        message.crashes = [encode_item(item) for item in frame.crashes]
    if frame.departures:
        message.departures = [item._asdict() for item in frame.departures]
    if frame.limits:
        message.limits = [encode_item(item) for item in frame.limits]
    if frame.wanted:
        message.wanted = [encode_item(item) for item in frame.wanted]
    if frame.permits:
        message.permits = [encode_item(item) for item in frame.permits]
    if frame.cold:
        message.cold = [encode_item(item) for item in frame.cold]
    return message.to_bytes_packed()


@functools.cache
def name_fields(record_type: type) -> tuple[str, ...]:
    """Return the names of a record's fields in a message."""
    words = [name.split("_") for name in record_type._fields]
    return tuple(first + "".join(map(str.title, rest)) for first, *rest in words)


def encode_item(item: Any) -> dict[str, Any]:
    """Return the fields of a record, with ages and times that fit."""
    return {
        name: min(value, MAX_UINT32) if name.endswith("Ms") else value
        for name, value in zip(name_fields(type(item)), item, strict=True)
    }


def decode_item(record_type: Callable[..., Item], item: Any) -> Item:
    """Return the record that a part of a message describes."""
    return record_type(*(getattr(item, name) for name in name_fields(record_type)))


def decode(content: bytes) -> Frame:
    """Decode a frame.

    Raises
    ------
    capnp.KjException, ValueError
        If `content` is not a valid frame.
    """
    message: Any = schema.Frame.from_bytes_packed(content)
    return Frame(
        message.kind,
        message.term,
        message.node,
        message.incarnation,
        message.heard,
        message.contact,
        message.members,
        decode_list(message, "rows", decode_row),
        decode_list(message, "loads", decode_load),
        decode_totals(message),
        decode_records(message, "moving", Span),
        decode_records(message, "keys", KeyCount),
        decode_list(message, "crashes", decode_crash),
        message.stopping,
        message.deputy,
        decode_versions(message),
        message.holdsMs,
        message.holdsKnown,
        message.heartbeatMs,
        decode_records(message, "departures", Departure),
        decode_records(message, "limits", Limit),
        decode_records(message, "wanted", PermitRequest),
        decode_records(message, "permits", Permits),
        message.reachesTargets,
        message.askedMs,
        decode_list(message, "changes", decode_row_change),
        message.acceptsChanges,
        message.ageMs,
        message.movesKept,
        decode_records(message, "begun", Span),
        decode_records(message, "ended", Span),
        message.acceptsMoves,
        message.readsEvacuations,
        decode_records(message, "cold", Cold),
        message.acceptsCompact,
        message.wantsTotals,
    )


def decode_list(
    message: Any, name: str, decode_item: Callable[[Any], Item]
) -> tuple[Item, ...]:
    """Return the decoded items of a list; most lists of a message are absent."""
    if not message._has(name):
        return ()
    return tuple(map(decode_item, getattr(message, name)))


def decode_records(
    message: Any, name: str, record_type: Callable[..., Item]
) -> tuple[Item, ...]:
    """Return the records of a list."""
    return decode_list(message, name, functools.partial(decode_item, record_type))


def decode_row(item: Any) -> model.StoredRow:
    """Return a row of the store."""
    value = None if item.removed else bytes(item.value)
    return model.StoredRow(item.table, item.key, item.version, value)


def decode_load(item: Any) -> Load:
    """Return the requests of an instance at a target."""
    return Load(
        item.target,
        item.running,
        item.ended,
        item.busyMicroseconds,
        item.expectedMicroseconds,
    )


def decode_totals(message: Any) -> tuple[Total, ...]:
    """Return the requests of all instances at each target."""
    if not message._has("totals"):
        return ()
    totals = message.totals
    return tuple(
        Total(target, running, slowness / 100, admitted / 100)
        for target, running, slowness, admitted in zip(
            totals.targets,
            totals.running,
            totals.slowness,
            totals.admitted,
            strict=True,
        )
    )


def decode_versions(message: Any) -> tuple[tuple[int, int], ...]:
    """Return the hash and the version of each row that the sender has."""
    if not message._has("versions"):
        return ()
    versions = message.versions
    return tuple(zip(versions.rows, versions.versions, strict=True))


def decode_crash(item: Any) -> Crash:
    """Return a suspected crash, or a count of crashes."""
    return Crash(
        bytes(item.fingerprint),
        item.count,
        item.target,
        item.life,
        item.sentAgeMs,
        item.lostAgeMs,
    )


def decode_row_change(item: Any) -> row_changes.RowChange:
    """Return the difference between two versions of a row."""
    return row_changes.RowChange(
        item.table,
        item.key,
        item.base,
        item.version,
        tuple(map(bytes, item.pieces)),
        item.checksum,
    )


def to_milliseconds(duration: datetime.timedelta) -> int:
    """Return a duration in whole milliseconds, at least 0."""
    return max(0, duration // datetime.timedelta(milliseconds=1))


def round_up(duration: datetime.timedelta) -> int:
    """Return a duration in whole milliseconds, rounded up."""
    return -(-duration // datetime.timedelta(milliseconds=1))
