"""Hands gates over to other processes, at a planned stop or to preferred processes.

A replaced process gets its gates again, and a gate returns to the data centre of its
target, one gate at a time.
"""

import asyncio
import datetime
from typing import Any

from dewstep_core import data, events
from dewstep_entry.gate import gates, handover, succession

# Gates are returned only within this time after a contact with the table service.
MAXIMUM_CONTACT_AGE = datetime.timedelta(seconds=10)


class GateReleaser:
    """Hands over the gates of a `GateManager`.

    Parameters
    ----------
    manager : dewstep_entry.gate.manager.GateManager
        Manager of the gates.
    """

    def __init__(self, manager: Any):
        self.manager = manager
        self.return_tasks: set[asyncio.Task] = set()

    def return_gate_to_preferred(self) -> None:
        """Hand one gate over to its preferred process, if there is such a gate.

        Only after a recent contact with the table service, since the target of a
        released gate cannot be served before the row names the successor.
        """
        now = self.manager.clock.monotonic()
        contact = self.manager.view_holder.current.table_contact
        if self.return_tasks or contact is None or now - contact > MAXIMUM_CONTACT_AGE:
            return
        for gate in self.manager.gates.values():
            preferred = self.find_preferred_process(gate, now)
            if preferred is not None:
                events.info(
                    "gate_returned", target=gate.target.name, heir=preferred.entry
                )
                task = asyncio.ensure_future(self.hand_over(gate))
                self.return_tasks.add(task)
                task.add_done_callback(self.return_tasks.discard)
                return

    def find_preferred_process(
        self, gate: gates.Gate, now: datetime.timedelta
    ) -> data.Member | None:
        """Return the process to which a working gate should return, or None."""
        manager = self.manager
        busy = gate.target.name in manager.evacuation.tasks or gate.is_waiting()
        if busy or gate.releasing or gate.lost:
            return None
        members = manager.view_holder.current.members
        return succession.choose_preferred_process(
            gate.target, members, manager.own_member, manager.leaving_entries, now
        )

    def find_successor(self, target: data.Target) -> data.Member | None:
        """Return the process that gets a gate of this process, or None."""
        excluded = self.manager.leaving_entries | {self.manager.own_member.entry}
        members = self.manager.view_holder.current.members
        return succession.choose_successor(target, members, excluded)

    async def hand_over_all(self) -> None:
        """Hand over all gates, including those whose takeover is in progress."""
        work = [
            self.hand_over(gate)
            for gate in self.manager.gates.values()
            if not gate.releasing
        ]
        work += self.return_tasks
        work += [
            self.hand_over_after_takeover(name, takeover)
            for name, takeover in self.manager.takeovers.items()
        ]
        await asyncio.gather(*work)

    async def hand_over_after_takeover(
        self, target: str, takeover: asyncio.Task
    ) -> None:
        """Wait for a takeover and hand over the resulting gate."""
        # The manager may have removed the takeover before this coroutine starts.
        await asyncio.wait({takeover})
        gate = self.manager.gates.get(target)
        if gate is not None and not gate.releasing:
            await self.hand_over(gate)

    async def hand_over(self, gate: gates.Gate) -> None:
        """Hand one gate over."""
        manager = self.manager
        find, send = self.find_successor, manager.gate_dependencies.send_handover
        await handover.hand_over(
            gate, manager.gate_row_writer, find, send, manager.clock
        )
        # The row now names the successor or another process that took over.
        if manager.gates.get(gate.target.name) is gate:
            del manager.gates[gate.target.name]
            manager.gate_dependencies.observer.end(gate.target)
