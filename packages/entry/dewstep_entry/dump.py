"""The versioned state dump of an entry process, with its types."""

import datetime
from collections.abc import Mapping
from typing import TypedDict

from dewstep_core import data
from dewstep_entry.state import view

DUMP_VERSION = 2


class MemberDump(TypedDict):
    """A member in the view of this process."""

    entry: str
    incarnation: str
    data_centre: str
    alive: bool


class AdmissionDump(TypedDict):
    """Queue, slots and concurrency limit of one target."""

    slots: int
    limit: float
    """Current limit of concurrent requests, at most `slots`."""
    in_progress: int
    waiting: int
    service_time_s: float
    service_deviation_s: float
    held_for_s: float | None
    """Remaining time without new requests after the target shed load or failed."""
    admitted: int
    refused: int
    evicted: int
    expired: int


class GateDump(TypedDict):
    """A gate of this process and the state of its target; times in seconds."""

    target: str
    term: int
    fenced: bool
    lost: bool
    evacuating: bool
    releasing: bool
    waiting_for_earlier_gates: bool
    may_send: bool
    horizon_left_s: float
    expired_in_s: float
    higher_term: int | None
    running: int
    waiting: int
    ids_in_progress: int
    ids_remembered: int
    bytes_remembered: int
    suspects: int
    blocked_shards: list[int]
    blocked_keys: list[str]
    owned_shards: list[int]
    owned_keys: list[str]
    put_aside_steps: int
    admission: AdmissionDump | None


class PeerDump(TypedDict):
    """State of a peer according to the messages received from it."""

    entry: str
    last_heard_s: float
    suspected_for_s: float | None
    monitored: bool
    """Whether the peer sends heartbeats to this process at every interval."""
    linked: bool


class ErrorDump(TypedDict):
    """A warning or error that was logged."""

    age_s: float
    line: str


class Dump(TypedDict):
    """The state of one entry process, for operators."""

    version: int
    entry: str
    incarnation: str
    data_centre: str
    ready: bool
    unserved: list[str]
    """Missing rows, and targets that own keys but have no live gate."""
    stopping: bool
    uptime_s: float
    revision: int
    assignments: dict[str, int]
    """Versions by service."""
    table_contact_age_s: float | None
    table_failure: str
    callers: int
    """Open connections of callers."""
    in_progress: int
    waiting: int
    tries_again: int
    gates: dict[str, GateDump]
    """By target."""
    takeovers: list[str]
    """Targets whose gate this process is becoming."""
    emptying: list[str]
    """Targets whose shards this process is moving to other targets."""
    members: list[MemberDump]
    peers: list[PeerDump]
    counts: dict[str, float]
    broken_invariants: dict[str, int]
    last_errors: list[ErrorDump]
    """Newest first, with at most four lines per event."""


def list_unserved(
    current: view.View, own_entry: str, may_send: Mapping[str, bool]
) -> list[str]:
    """Return what is missing in the view of this process to serve every key.

    Parameters
    ----------
    current : view.View
    own_entry : str
        Name of this process.
    may_send : Mapping
        For each gate of this process, whether it may send requests.

    Returns
    -------
    list of str
        Names of missing rows, and of targets that own keys but have no live gate.
    """
    configuration = current.configuration
    if configuration is None:
        return ["configuration"]
    served = {target.service for target in configuration.targets.values()}
    missing = [f"assignment/{name}" for name in served - current.assignments.keys()]
    owners: set[str] = set()
    for service in served & current.assignments.keys():
        assignment = current.assignments[service]
        owners.update(assignment.owners, assignment.overrides.values())
    without_gate = [
        owner for owner in owners if not has_gate(current, own_entry, may_send, owner)
    ]
    return sorted(missing) + sorted(without_gate)


def has_gate(
    current: view.View, own_entry: str, may_send: Mapping[str, bool], target: str
) -> bool:
    """Return whether the gate of `target` is known and its process alive."""
    row = current.gates.get(target)
    if row is None:
        return False
    if row.entry == own_entry:
        return may_send.get(target, False)
    state = current.members.get(row.entry)
    return (
        state is not None
        and state.alive
        and state.member.incarnation == row.incarnation
    )


def list_members(current: view.View) -> list[MemberDump]:
    """Return the members, sorted by name."""
    return [
        MemberDump(
            entry=state.member.entry,
            incarnation=state.member.incarnation,
            data_centre=state.member.data_centre,
            alive=state.alive,
        )
        for _, state in sorted(current.members.items())
    ]


def get_age_seconds(
    moment: datetime.timedelta | None, now: datetime.timedelta
) -> float | None:
    """Return the seconds since `moment`, or None without a moment."""
    return None if moment is None else (now - moment).total_seconds()


def describe_view(current: view.View, own_member: data.Member, now: datetime.timedelta):
    """Return the fields of the dump that are read from the view."""
    configuration = current.configuration
    return {
        "entry": own_member.entry,
        "incarnation": own_member.incarnation,
        "data_centre": own_member.data_centre,
        "revision": configuration.revision if configuration else 0,
        "assignments": {
            name: item.version for name, item in current.assignments.items()
        },
        "table_contact_age_s": get_age_seconds(current.table_contact, now),
        "members": list_members(current),
    }
