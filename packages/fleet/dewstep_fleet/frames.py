"""Encoding of the messages between instances (`fleet.capnp`)."""

import hashlib
import pathlib
import zlib
from typing import Any, NamedTuple

import capnp

from dewstep_fleet import model

MAXIMUM_BYTES = 8 * 1024 * 1024
MOST_UINT16 = 2**16 - 1

schema = capnp.load(str(pathlib.Path(__file__).with_name("fleet.capnp")))


class Load(NamedTuple):
    """Requests of one instance, or of all, at one target."""

    target: str
    running: int
    ended: int
    """Requests that ended since the last report."""
    busy_microseconds: int
    """Time that those spent at the target."""
    expected_microseconds: int = 0
    """Time that they typically take."""


class Total(NamedTuple):
    """Requests of all instances at one target, and its speed."""

    target: int
    """Short identifier of its name."""
    running: int
    slowness: float
    """Time of its answers in parts of what is typical."""
    admitted: float = 1.0
    """Part of the requests for its keys that it can serve."""


class Span(NamedTuple):
    """A range of keys that is changing hands."""

    service: str
    first: int
    last: int


class KeyCount(NamedTuple):
    """Requests for one key since the last report."""

    service: str
    key: int
    count: int


class Crash(NamedTuple):
    """How often a request was at a target when the target ended."""

    fingerprint: bytes
    count: int


class Frame(NamedTuple):
    """One message; the fields that its kind does not use are empty."""

    kind: str
    """"greeting" of a coordinator on a new link, answered by the "versions" of the rows
    that the member has, and these by the "rows" that it lacks; then "beat" of the
    coordinator and "report" of the member; "ask" and "tell" whether a coordinator is
    heard."""
    term: int
    node: str
    incarnation: str
    heard: bool = False
    """A "tell": whether a coordinator is heard; a "report": whether the store answered
    the sender's last call."""
    contact: bool = False
    members: int = 0
    rows: tuple[model.StoredRow, ...] = ()
    loads: tuple[Load, ...] = ()
    """A "report": what changed at this instance."""
    totals: tuple[Total, ...] = ()
    """A "beat": the busy targets."""
    moving: tuple[Span, ...] = ()
    keys: tuple[KeyCount, ...] = ()
    crashes: tuple[Crash, ...] = ()
    stopping: bool = False
    deputy: bool = False
    versions: tuple[tuple[int, int], ...] = ()
    """Identifiers of rows (`identify_row`) and the rows' versions."""
    holds_ms: int = 0
    """Milliseconds for which grants of more than the usual length may go on."""


def shorten(target: str) -> int:
    """Return the short identifier of a target.

    Two of the same one occur once in 150,000 fleets of 240 targets. Such targets are
    taken to be as busy as each other.
    """
    return zlib.crc32(target.encode())


def identify_row(row: model.StoredRow) -> int:
    """Return the identifier of a row's place.

    With 64 bits no two of a fleet's rows share one: a row that is taken for another
    would never reach a member.
    """
    digest = hashlib.blake2b(f"{row.table}/{row.key}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def encode(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
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
        totals.running = [min(total.running, MOST_UINT16) for total in frame.totals]
        totals.slowness = [
            min(round(total.slowness * 100), MOST_UINT16) for total in frame.totals
        ]
        totals.admitted = [round(total.admitted * 100) for total in frame.totals]
    if frame.versions:
        versions = message.init("versions")
        versions.rows = [row for row, _ in frame.versions]
        versions.versions = [version for _, version in frame.versions]
    if frame.moving:
        message.moving = [span._asdict() for span in frame.moving]
    if frame.keys:
        message.keys = [item._asdict() for item in frame.keys]
    if frame.crashes:
        message.crashes = [item._asdict() for item in frame.crashes]
    return message.to_bytes_packed()


def decode(content: bytes) -> Frame:
    """Return the frame that `content` holds.

    Raises
    ------
    capnp.KjException, ValueError
        If it holds none.
    """
    message: Any = schema.Frame.from_bytes_packed(content)
    rows = tuple(
        model.StoredRow(
            row.table, row.key, row.version, None if row.removed else bytes(row.value)
        )
        for row in message.rows
    )
    loads = tuple(
        Load(
            load.target,
            load.running,
            load.ended,
            load.busyMicroseconds,
            load.expectedMicroseconds,
        )
        for load in message.loads
    )
    return Frame(
        message.kind,
        message.term,
        message.node,
        message.incarnation,
        message.heard,
        message.contact,
        message.members,
        rows,
        loads,
        tuple(
            Total(target, running, slowness / 100, admitted / 100)
            for target, running, slowness, admitted in zip(
                message.totals.targets,
                message.totals.running,
                message.totals.slowness,
                message.totals.admitted,
                strict=True,
            )
        ),
        tuple(Span(item.service, item.first, item.last) for item in message.moving),
        tuple(KeyCount(item.service, item.key, item.count) for item in message.keys),
        tuple(Crash(bytes(item.fingerprint), item.count) for item in message.crashes),
        message.stopping,
        message.deputy,
        tuple(zip(message.versions.rows, message.versions.versions, strict=True)),
        message.holdsMs,
    )
