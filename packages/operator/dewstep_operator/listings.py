"""The commands `services`, `owners`, `targets`, `entries` and `dump`."""

import asyncio
import json

from returns import result

from dewstep_core import data, settings
from dewstep_operator import (
    entries,
    failures,
    fleet,
    output,
    rows,
    sessions,
)

ReportResult = result.Result[output.Report, failures.Failure]


def build_report(
    title: str, columns: tuple[str, ...], items: list[tuple]
) -> output.Report:
    """Return a report with one table, whose JSON document is a list of objects."""
    document = [dict(zip(columns, item, strict=True)) for item in items]
    return output.Report(document, (), (output.Table(title, columns, tuple(items)),))


async def list_services(session: sessions.Session) -> ReportResult:
    """List the services with numbers of targets, slots and shards."""
    read = await fleet.read_fleet(session)
    return read.map(
        lambda fleet_state: build_report(
            f"Services at revision {fleet_state.configuration.revision}",
            ("service", "schema", "key", "kinds", "targets", "slots", "shard_count",
             "overrides", "assignment_version", "outage_horizon"),
            [describe_service(fleet_state, service)
             for service in fleet_state.configuration.services.values()],
        )
    )  # fmt: skip


def describe_service(fleet_state: fleet.Fleet, service: data.Service) -> tuple:
    """Return the table row of a service."""
    targets = [
        target
        for target in fleet_state.configuration.targets.values()
        if target.service == service.name
    ]
    assignment = fleet_state.assignments.get(service.name)
    return (
        service.name,
        service.schema,
        f"{service.key_part.source} {service.key_part.name}",
        len(service.kinds),
        len(targets),
        sum(target.slots for target in targets),
        service.shard_count,
        len(assignment.overrides) if assignment else None,
        assignment.version if assignment else None,
        service.outage_horizon,
    )


async def list_targets(session: sessions.Session) -> ReportResult:
    """List the targets with the numbers of shards and keys they own and their gates."""
    read = await fleet.read_fleet(session)
    return read.map(
        lambda fleet_state: build_report(
            f"Targets at revision {fleet_state.configuration.revision}",
            ("target", "service", "data_centre", "address", "slots", "connections",
             "fenced", "draining", "shards", "keys", "gate", "term"),
            [describe_target(fleet_state, target)
             for target in fleet_state.configuration.targets.values()],
        )
    )  # fmt: skip


def describe_target(fleet_state: fleet.Fleet, target: data.Target) -> tuple:
    """Return the table row of a target."""
    owned = rows.count_owned(fleet_state.assignments.get(target.service), target.name)
    gate = fleet_state.gates.get(target.name)
    return (
        target.name,
        target.service,
        target.data_centre,
        f"{target.host}:{target.port}",
        target.slots,
        target.connections,
        target.fenced,
        target.draining,
        owned.shards,
        owned.keys,
        gate.row.entry if gate else None,
        gate.row.term if gate else None,
    )


async def list_owners(session: sessions.Session, service: str | None) -> ReportResult:
    """List the owners of shards and lifted keys, of one service or of all."""
    read = await fleet.read_fleet(session)
    if isinstance(read, result.Failure):
        return read
    fleet_state = read.unwrap()
    if service is not None and service not in fleet_state.configuration.services:
        return result.Failure(failures.NameUnknown("service", service))
    assignments = [
        assignment
        for name, assignment in sorted(fleet_state.assignments.items())
        if service in (None, name)
    ]
    columns = ("service", "assignment_version", "target", "shard_count", "shards",
               "keys")  # fmt: skip
    items = [row for assignment in assignments for row in describe_owners(assignment)]
    return result.Success(build_report("Owners", columns, items))


def describe_owners(assignment: data.Assignment) -> list[tuple]:
    """Return a table row for each target that owns shards or lifted keys."""
    shards: dict[str, list[int]] = {}
    for shard, owner in enumerate(assignment.owners):
        shards.setdefault(owner, []).append(shard)
    keys: dict[str, list[str]] = {}
    for key, owner in sorted(assignment.overrides.items()):
        keys.setdefault(owner, []).append(key)
    return [
        (
            assignment.service,
            assignment.version,
            target,
            len(shards.get(target, ())),
            format_shards(shards.get(target, [])),
            keys.get(target, []),
        )
        for target in sorted(shards.keys() | keys.keys())
    ]


def format_shards(shards: list[int]) -> str:
    """Return ascending shard numbers as text, with ranges such as "3-7"."""
    ranges: list[list[int]] = []
    for shard in shards:
        if ranges and ranges[-1][1] == shard - 1:
            ranges[-1][1] = shard
        else:
            ranges.append([shard, shard])
    return ", ".join(
        str(first) if first == last else f"{first}-{last}" for first, last in ranges
    )


async def list_entries(session: sessions.Session) -> ReportResult:
    """List the entry processes with the revision that each has in force."""
    read = await rows.read_gates(session.table)
    if isinstance(read, result.Failure):
        return read
    gates = read.unwrap()
    found = dict(sorted((await fleet.find_known_entries(session, gates)).items()))
    dumps = await asyncio.gather(
        *(entries.read_dump(session.entry_client, entry) for entry in found.values())
    )
    items = []
    for entry, dump in zip(found.values(), dumps, strict=True):
        address = entry.operator_address
        items.append(
            (
                entry.name,
                entry.data_centre,
                entry.incarnation,
                settings.format_address(address) if address else None,
                entry.alive,
                isinstance(dump, result.Success),
                fleet.get_revision(dump.value_or({})),
                sum(gate.row.entry == entry.name for gate in gates.values()),
            )
        )
    columns = ("entry", "data_centre", "incarnation", "operator_address", "alive",
               "reachable", "revision", "gates")  # fmt: skip
    return result.Success(build_report("Entry processes", columns, items))


async def show_dump(session: sessions.Session, name: str) -> ReportResult:
    """Show the state dump of an entry process."""
    found = await fleet.find_entries(session)
    if isinstance(found, result.Failure):
        return found
    entry = found.unwrap().get(name)
    if entry is None:
        return result.Failure(failures.NameUnknown("entry process", name))
    dump = await entries.read_dump(session.entry_client, entry)
    return dump.map(
        lambda document: output.Report(
            document, tuple(json.dumps(document, indent=2).splitlines())
        )
    )
