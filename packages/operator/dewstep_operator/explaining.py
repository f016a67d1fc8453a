"""The command `explain`, which shows how the requests for a key are routed."""

from typing import NamedTuple

from returns import result

from dewstep_core import data, hashing
from dewstep_operator import (
    entries,
    failures,
    fleet,
    output,
    rows,
    sessions,
)


class Route(NamedTuple):
    """The routing from a key to the entry process that may send its requests."""

    service: str
    key: str
    shard: int
    shard_owner: str
    override: str | None
    """Target to which the key was lifted out of its shard."""
    owner: str
    assignment_version: int
    data_centre: str | None
    """Data centre of the owner, or None if the owner has no record."""
    draining: bool | None
    """Whether the owner is draining, or None if it has no record."""
    gate: str | None
    incarnation: str | None
    term: int | None
    gate_alive: bool | None
    """Whether peers receive the heartbeats of the gate's process, None if unknown."""


def find_route(
    fleet_state: fleet.Fleet, service: str, key: str
) -> result.Result[Route, failures.Failure]:
    """Return the route of `key`, without the liveness of the gate."""
    record = fleet_state.configuration.services.get(service)
    if record is None:
        return result.Failure(failures.NameUnknown("service", service))
    assignment = fleet_state.assignments.get(service)
    if assignment is None:
        return result.Failure(failures.NoAssignment(service))
    # As in routing, the number of shards is that of the assignment.
    shard = hashing.compute_shard(key, len(assignment.owners))
    override = assignment.overrides.get(key)
    owner = override or assignment.owners[shard]
    target: data.Target | None = fleet_state.configuration.targets.get(owner)
    gate: rows.GateEntry | None = fleet_state.gates.get(owner)
    return result.Success(
        Route(
            service,
            key,
            shard,
            assignment.owners[shard],
            override,
            owner,
            assignment.version,
            target.data_centre if target else None,
            target.draining if target else None,
            gate.row.entry if gate else None,
            gate.row.incarnation if gate else None,
            gate.row.term if gate else None,
            None,
        )
    )


def describe_route(route: Route, entry: entries.Entry | None) -> tuple[str, ...]:
    """Return a description of `route`, one sentence for each step."""
    lines = [
        f"key {route.key!r} of service {route.service} is in shard {route.shard}",
        f"assignment version {route.assignment_version} gives the shard to "
        f"{route.shard_owner}",
    ]
    if route.override is not None:
        lines.append(f"an override gives this key alone to {route.override}")
    if route.data_centre is None:
        lines.append(f"target {route.owner} has no record in the configuration")
    else:
        state = "is draining" if route.draining else "takes new work"
        lines.append(f"target {route.owner} in {route.data_centre} {state}")
    if route.gate is None:
        lines.append(f"target {route.owner} has no gate: requests are refused")
        return tuple(lines)
    lines.append(
        f"its gate is {route.gate}, incarnation {route.incarnation}, term {route.term}"
    )
    lines.append(describe_liveness(route, entry))
    return tuple(lines)


def describe_liveness(route: Route, entry: entries.Entry | None) -> str:
    """Return a sentence on whether the gate of `route` is alive."""
    if route.gate_alive is None:
        return "liveness of the gate is not known: no entry process answered"
    if entry and entry.incarnation and entry.incarnation != route.incarnation:
        return (
            f"{route.gate} now runs as incarnation {entry.incarnation}: "
            "the gate in the row has ended and will be replaced"
        )
    if route.gate_alive:
        return f"its peers hear {route.gate}"
    return f"its peers do not hear {route.gate}: the gate will be replaced"


async def explain_key(
    session: sessions.Session, service: str, key: str
) -> result.Result[output.Report, failures.Failure]:
    """Report the route of one key."""
    read = await fleet.read_fleet(session)
    if isinstance(read, result.Failure):
        return read
    fleet_state = read.unwrap()
    located = find_route(fleet_state, service, key)
    if isinstance(located, result.Failure):
        return located
    route = located.unwrap()
    found = await fleet.find_known_entries(session, fleet_state.gates)
    entry = found.get(route.gate) if route.gate else None
    if entry is not None:
        route = route._replace(gate_alive=entry.alive)
    return result.Success(output.Report(route, describe_route(route, entry)))
