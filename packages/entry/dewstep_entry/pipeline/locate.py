"""Looks up the target that owns a key and the gate of that target."""

from typing import NamedTuple

from returns import result

from dewstep_core import data, errors, owners
from dewstep_entry import interfaces
from dewstep_entry.state import view


class Location(NamedTuple):
    """The destination of a request according to the view of this process."""

    shard: int
    owner: str
    """Target that owns the key."""
    epoch: int
    """Version of the assignment that names the owner."""
    gate: data.GateRow


def locate(
    current: view.View, service: str, key: str
) -> result.Result[Location, interfaces.Failure]:
    """Return the owner of `key` and its gate, or a failure naming what is missing."""
    assignment = current.assignments.get(service)
    if assignment is None:
        return result.Failure(errors.NotReady(f"assignment/{service}"))
    owner, shard = owners.find_owner(assignment, key)
    gate = current.gates.get(owner)
    if gate is None:
        return result.Failure(errors.GateUnknown(owner))
    return result.Success(Location(shard, owner, assignment.version, gate))
