"""Reading of the state of the deployment from the table and from entry processes.

Of a state dump, the commands use only the members `revision` (or
`configuration.revision`) and `gates`, an object by target with the members `term` and
`running` (number of requests running on the target). The command `dump` shows the dump
as received.
"""

import asyncio
from collections.abc import Mapping
from typing import Any, NamedTuple

from returns import result

from dewstep_core import data
from dewstep_operator import (
    configuration as configurations,
    entries,
    failures,
    rows,
    sessions,
)


class Fleet(NamedTuple):
    """The configuration, the assignments and the gate rows in the table."""

    configuration: data.Configuration
    assignments: Mapping[str, data.Assignment]
    """By service."""
    gates: Mapping[str, rows.GateEntry]
    """By target."""


async def read_fleet(
    session: sessions.Session,
) -> result.Result[Fleet, failures.Failure]:
    """Return the configuration, the assignments and the gate rows."""
    outcomes = await asyncio.gather(
        configurations.read_current(session),
        rows.read_assignments(session.table),
        rows.read_gates(session.table),
    )
    for outcome in outcomes:
        if isinstance(outcome, result.Failure):
            return outcome
    current, assignments, gates = (outcome.unwrap() for outcome in outcomes)
    return result.Success(Fleet(current.configuration, assignments, gates))


async def find_entries(
    session: sessions.Session,
) -> result.Result[dict[str, entries.Entry], failures.Failure]:
    """Return all known entry processes, by name."""
    gates = await rows.read_gates(session.table)
    if isinstance(gates, result.Failure):
        return gates
    return result.Success(await find_known_entries(session, gates.unwrap()))


async def find_known_entries(
    session: sessions.Session, gates: Mapping[str, rows.GateEntry]
) -> dict[str, entries.Entry]:
    """Return the entry processes that `gates` name or the seeds list, by name."""
    gate_entries = {gate.row.entry: gate.operator_address for gate in gates.values()}
    return await entries.find_entries(session.entry_client, session.seeds, gate_entries)


async def find_gate_entry(
    session: sessions.Session, gates: Mapping[str, rows.GateEntry], target: str
) -> result.Result[entries.Entry, failures.Failure]:
    """Return the entry process that is the gate of `target`."""
    gate = gates.get(target)
    if gate is None:
        return result.Failure(failures.NoGate(target))
    found = await find_known_entries(session, gates)
    return result.Success(found[gate.row.entry])


async def read_gate_state(
    session: sessions.Session, gates: Mapping[str, rows.GateEntry], target: str
) -> result.Result[Mapping, failures.Failure]:
    """Return the state of `target` in the dump of its gate's process."""
    found = await find_gate_entry(session, gates, target)
    if isinstance(found, result.Failure):
        return found
    dump = await entries.read_dump(session.entry_client, found.unwrap())
    return dump.bind(
        lambda document: (
            result.Success(state)
            if (state := get_gate_state(document, target)) is not None
            else result.Failure(failures.NoGate(target))
        )
    )


def get_revision(dump: Mapping) -> int | None:
    """Return the revision in force according to a dump, or None if it states none."""
    revision = dump.get("revision")
    if revision is None and isinstance(dump.get("configuration"), Mapping):
        revision = dump["configuration"].get("revision")
    return revision if isinstance(revision, int) else None


def get_gate_state(dump: Mapping, target: str) -> Mapping | None:
    """Return the state of the gate of `target` in a dump, or None."""
    gates = dump.get("gates")
    state = gates.get(target) if isinstance(gates, Mapping) else None
    return state if isinstance(state, Mapping) else None


def get_running_count(state: Mapping) -> int | None:
    """Return how many requests run on the target of a gate, or None if not stated."""
    running: Any = state.get("running")
    return running if isinstance(running, int) else None
