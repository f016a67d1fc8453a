"""One run of a scenario: fleet, load, readings of costs and notes of its script."""

import asyncio
import pathlib
import random
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from dewstep_emulator import deployments, fleet as fleets, launching
from dewstep_emulator.bench import accounting, baseline, loads, plans

METER_SECONDS = 0.25
CONTROL_ROWS = ("assignment/", "gate/")
WARM_SECONDS = 2.0
"""Load before the measured time: connections open and slots fill."""


class Mark(NamedTuple):
    """Something that happened during a run."""

    time: float
    """Monotonic seconds."""
    name: str


class Snapshot(NamedTuple):
    """Owners of all shards of all services, by the table."""

    owners: dict[str, list[str]]
    overrides: dict[str, dict[str, str]]
    versions: dict[str, int]
    """Sum of the versions of all rows with a prefix: each write adds one."""


class Stage:
    """What a script works on.

    Parameters
    ----------
    deployment : deployments.Deployment
    scenario : plans.Scenario
    seed : int
    folder : pathlib.Path
    capacity : float
        Requests/s.
    say : callable
        Called with a line of text for whoever watches.
    relays : bool
        Whether bare relays take the place of the entry processes.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        scenario: plans.Scenario,
        seed: int,
        folder: pathlib.Path,
        capacity: float,
        say: Callable[[str], None],
        relays: bool = False,
    ):
        self.deployment = deployment
        self.scenario = scenario
        self.random = random.Random(seed)
        self.say = say
        options = launching.FleetOptions(deployment.entries, seed, **scenario.options)
        fleet_type = baseline.RelayFleet if relays else fleets.Fleet
        self.fleet = fleet_type(deployment, options, folder)
        plan = plans.build_plan(deployment, scenario, seed, capacity)
        self.load = loads.LoadTool(plan, folder, self.fleet.list_callers)
        self.meter = accounting.Meter()
        self.marks: list[Mark] = []
        self.before: Snapshot | None = None
        self.after: Snapshot | None = None
        self.least_moves: dict[str, int] = {}
        """Shards that the event makes move at least, by service."""
        self.notes: dict[str, Any] = {}
        self.machine_load: list[float] = []

    async def start(self) -> None:
        """Start the fleet and the load; return when it is warm."""
        await self.fleet.start()
        await self.load.start(self.scenario.peak)
        self.load.change(factor=self.scenario.factor)
        await asyncio.sleep(WARM_SECONDS)
        self.before = await self.take_snapshot()
        self.mark("begin")

    def mark(self, name: str) -> None:
        """Note an event with its time."""
        self.marks.append(Mark(time.monotonic(), name))
        self.say(name)

    def get_time(self, name: str) -> float:
        """Return the time of an event."""
        return next(mark.time for mark in self.marks if mark.name == name)

    def list_entry_pids(self) -> list[int]:
        """Return the entry processes that run."""
        return [
            entry.process.child.pid
            for entry in self.fleet.entries.values()
            if entry.process.is_running()
        ]

    async def watch_costs(self) -> None:
        """Read the costs of the entry tier until cancelled."""
        while True:
            self.meter.read(self.list_entry_pids())
            self.machine_load.append(accounting.read_machine_load())
            await asyncio.sleep(METER_SECONDS)

    async def take_snapshot(self) -> Snapshot:
        """Return the owners that the table names."""
        owners, overrides = {}, {}
        for plan in self.deployment.services:
            name = plan.service.name
            owners[name] = await self.fleet.read_owners(name)
            overrides[name] = await self.read_overrides(name)
        return Snapshot(owners, overrides, await self.read_versions())

    async def read_overrides(self, service: str) -> dict[str, str]:
        """Return the keys that were lifted out of their shards, with their owners."""
        if self.fleet.table is None:
            return {}
        row = (await self.fleet.table.read(f"assignment/{service}")).unwrap()
        return dict(row.value.get("overrides") or {})

    async def read_versions(self) -> dict[str, int]:
        """Return the sums of the versions of the rows of control."""
        if self.fleet.table is None:
            return {}
        versions = {}
        for prefix in CONTROL_ROWS:
            rows = (await self.fleet.table.read_prefix(prefix)).unwrap()
            versions[prefix] = sum(row.version for row in rows)
        return versions

    def expect_moves(self, target: str) -> None:
        """Note that all shards of a target must move."""
        service = target.rpartition("-")[0]
        count = self.before.owners[service].count(target)
        self.least_moves[service] = self.least_moves.get(service, 0) + count

    def choose_target(self, service: str) -> str:
        """Return a target of a service that runs."""
        names = sorted(
            name
            for name, process in self.fleet.targets.items()
            if name.startswith(f"{service}-") and process.is_running()
        )
        return self.random.choice(names)

    @property
    def main_service(self) -> str:
        """Return the service with the most requests."""
        return self.deployment.services[0].service.name
