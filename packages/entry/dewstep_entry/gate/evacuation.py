"""Tasks that move shards away from lost and leaving targets."""

import asyncio
from typing import Any

from dewstep_entry.gate import gates, moves


class EvacuationTasks:
    """Starts the tasks that move shards away, one per target of a `GateManager`.

    Parameters
    ----------
    manager : dewstep_entry.gate.manager.GateManager
        Manager of the gates.
    """

    def __init__(self, manager: Any):
        self.manager = manager
        self.leaving_targets: frozenset[str] = frozenset()
        """Targets that the instance list marks as leaving."""
        self.tasks: dict[str, asyncio.Task] = {}
        """Running tasks by target name."""

    def list_usable(self, service: str, excluded: str) -> tuple[str, ...]:
        """Return the targets of a service that may get shards, except `excluded`."""
        configuration = self.manager.view_holder.current.configuration
        lost = {name for name, gate in self.manager.gates.items() if gate.lost}
        return tuple(
            sorted(
                target.name
                for target in configuration.targets.values()
                if target.service == service
                and target.name != excluded
                and not target.draining
                and target.name not in self.leaving_targets
                and target.name not in lost
            )
        )

    def is_leaving(self, name: str) -> bool:
        """Return whether a target should get no new requests, shards or keys."""
        configuration = self.manager.view_holder.current.configuration
        target = configuration and configuration.targets.get(name)
        return name in self.leaving_targets or bool(target and target.draining)

    def update_leaving(self, gate: gates.Gate) -> bool:
        """Tell a gate whether its target is leaving; return that."""
        leaving = self.is_leaving(gate.target.name)
        gate.ownership.set_leaving(leaving, self.manager.clock.monotonic())
        return leaving

    def start(self, gate: gates.Gate) -> None:
        """Start the task for a lost, leaving or waiting target, unless one runs."""
        name = gate.target.name
        leaving = self.update_leaving(gate)
        waiting = not gate.fenced and gate.is_waiting()
        if name in self.tasks or not (gate.lost or leaving or waiting):
            return
        # This iterates over all shards of the service, so it is the last check.
        if not moves.owns_shards_or_keys(gate):
            return
        if gate.lost:
            work = self.manager.mover.evacuate(gate)
        elif leaving:
            work = self.manager.mover.drain_target(gate)
        else:
            work = self.manager.mover.wait_declaration(gate)
        task = asyncio.ensure_future(work)
        self.tasks[name] = task
        task.add_done_callback(lambda done: self.tasks.pop(name, None))
