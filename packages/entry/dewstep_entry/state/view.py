"""Immutable view of the fleet in one process.

All other modules base their decisions on a `View`. The holder accepts only newer
versions, so that a lagging peer or a delayed read cannot restore an old state.
"""

import asyncio
import datetime
from collections.abc import Mapping
from typing import NamedTuple

from dewstep_core import data


class MemberState(NamedTuple):
    """State of an entry process."""

    member: data.Member
    last_heard: datetime.timedelta
    """Monotonic time, in this process, of its last message."""
    alive: bool
    stopping: bool = False
    """Whether it has announced its planned stop; it then gets no more gates."""


class View(NamedTuple):
    """Configuration, ownership and membership at one point in time."""

    configuration: data.Configuration | None
    assignments: Mapping[str, data.Assignment]
    """By service."""
    gates: Mapping[str, data.GateRow]
    """By target."""
    members: Mapping[str, MemberState]
    """By entry process, including this one."""
    table_contact: datetime.timedelta | None
    """Time at which the last successful read of the table was started."""
    declared_dead: Mapping[str, int] = {}
    """Terms of the gates that operators have declared dead, by target."""


DEFAULT_HORIZON = datetime.timedelta(hours=4)
"""Time for which a gate is assumed to act without the table service if its row does not
state a horizon."""

EMPTY = View(None, {}, {}, {}, None)


class ViewHolder:
    """Holds the current view and notifies waiting tasks of changes."""

    def __init__(self, view: View = EMPTY):
        self.current = view
        self.sequence = 0
        """Number of changes so far, for `wait_change`."""
        self.waiters: list[asyncio.Future] = []

    def offer_configuration(self, configuration: data.Configuration) -> bool:
        """Accept a configuration if its revision is newer; return whether it is."""
        held = self.current.configuration
        if held is not None and configuration.revision <= held.revision:
            return False
        return self.update_fields(configuration=configuration)

    def offer_assignment(self, assignment: data.Assignment) -> bool:
        """Accept an assignment if its version is newer; return whether it is."""
        held = self.current.assignments.get(assignment.service)
        if held is not None and assignment.version <= held.version:
            return False
        assignments = {**self.current.assignments, assignment.service: assignment}
        return self.update_fields(assignments=assignments)

    def offer_gate(self, row: data.GateRow) -> bool:
        """Accept a gate row if its term is higher; return whether it is."""
        held = self.current.gates.get(row.target)
        if held is not None and row.term <= held.term:
            return False
        return self.update_fields(gates={**self.current.gates, row.target: row})

    def set_member(self, state: MemberState) -> bool:
        """Set the state of an entry process."""
        members = {**self.current.members, state.member.entry: state}
        return self.update_fields(members=members)

    def remove_member(self, entry: str) -> bool:
        """Remove an entry process."""
        members = {
            name: state for name, state in self.current.members.items() if name != entry
        }
        return self.update_fields(members=members)

    def set_declared(self, declared: Mapping[str, int]) -> bool:
        """Replace the operators' declarations; return whether they changed."""
        if declared == self.current.declared_dead:
            return False
        return self.update_fields(declared_dead=declared)

    def set_table_contact(self, contact: datetime.timedelta) -> bool:
        """Set the start time of a successful read unless a later one is set."""
        held = self.current.table_contact
        if held is not None and contact <= held:
            return False
        return self.update_fields(table_contact=contact)

    def update_fields(self, **fields) -> bool:
        """Set fields of the view and wake the tasks in `wait_change`."""
        self.current = self.current._replace(**fields)
        self.sequence += 1
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)
        return True

    async def wait_change(self, sequence: int) -> int:
        """Return the current sequence number as soon as it differs from `sequence`."""
        while self.sequence == sequence:
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.append(waiter)
            await waiter
        return self.sequence
