"""Targets that are lost or leaving, and the tasks that move their shards away."""

import asyncio
from typing import Any

from dewstep_entry.gate import gate as gates, moves


class EmptyingTasks:
    """Empties targets whose gates a `GateManager` owns.

    Parameters
    ----------
    manager : dewstep_entry.gate.manager.GateManager
        Owner of the gates.
    """

    def __init__(self, manager: Any):
        self.manager = manager
        self.leaving_targets: frozenset[str] = frozenset()
        """What the instance list shows as leaving."""
        self.tasks: dict[str, asyncio.Task] = {}
        """By target."""

    def list_usable(self, service: str, without: str) -> tuple[str, ...]:
        """Return the targets of a service that may get shards."""
        configuration = self.manager.holder.current.configuration
        lost = {name for name, gate in self.manager.gates.items() if gate.lost}
        return tuple(
            sorted(
                target.name
                for target in configuration.targets.values()
                if target.service == service
                and target.name != without
                and not target.draining
                and target.name not in self.leaving_targets
                and target.name not in lost
            )
        )

    def is_leaving(self, gate: gates.Gate) -> bool:
        """Return whether the target of a gate should get no new work."""
        return gate.target.draining or gate.target.name in self.leaving_targets

    def start(self, gate: gates.Gate) -> None:
        """Start to move shards away from a lost or leaving target."""
        name = gate.target.name
        leaving = self.is_leaving(gate)
        waiting = not gate.fenced and gate.is_waiting()
        if name in self.tasks or not (gate.lost or leaving or waiting):
            return
        # This looks at all shards of the service, so it is not done at every step.
        if not moves.owns_anything(gate):
            return
        if gate.lost:
            work = self.manager.mover.evacuate(gate)
        elif leaving:
            work = self.manager.mover.vacate(gate, lambda: self.is_leaving(gate))
        else:
            work = self.manager.mover.wait_declaration(gate)
        task = asyncio.ensure_future(work)
        self.tasks[name] = task
        task.add_done_callback(lambda done: self.tasks.pop(name, None))
