"""State of one benchmark run: processes, load, metering and marks."""

import asyncio
import pathlib
import random
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from dewstep_emulator import deployments, fleets, launching
from dewstep_emulator.bench import accounting, baseline, load_processes, plans

METER_INTERVAL_SECONDS = 0.25
CONTROL_ROW_PREFIXES = ("assignment/", "gate/")
WARM_UP_SECONDS = 2.0
"""Load before the measurement, to open connections and fill slots."""


class Mark(NamedTuple):
    """A named event during a run."""

    time: float
    """Monotonic seconds."""
    name: str


class Snapshot(NamedTuple):
    """Owners of all shards of all services according to the table."""

    owners: dict[str, list[str]]
    overrides: dict[str, dict[str, str]]
    versions: dict[str, int]
    """Sum of the row versions by key prefix; each write adds one."""


class BenchmarkRun:
    """The processes, load and results that a benchmark script works on.

    Parameters
    ----------
    deployment : deployments.Deployment
    scenario : plans.Scenario
    seed : int
    folder : pathlib.Path
    capacity : float
        Requests/s.
    print_line : callable
        Called with each line of progress output.
    relays : bool
        Whether plain relays replace the entry processes.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        scenario: plans.Scenario,
        seed: int,
        folder: pathlib.Path,
        capacity: float,
        print_line: Callable[[str], None],
        relays: bool = False,
    ):
        self.deployment = deployment
        self.scenario = scenario
        self.random = random.Random(seed)
        self.print_line = print_line
        options = launching.FleetOptions(deployment.entries, seed, **scenario.options)
        fleet_type = baseline.RelayFleet if relays else fleets.Fleet
        self.fleet = fleet_type(deployment, options, folder)
        plan = plans.build_load_plan(deployment, scenario, seed, capacity)
        self.load_tool = load_processes.LoadTool(
            plan, folder, self.fleet.list_balanced_addresses
        )
        self.meter = accounting.Meter()
        self.marks: list[Mark] = []
        self.before: Snapshot | None = None
        self.after: Snapshot | None = None
        self.min_moves: dict[str, int] = {}
        """Minimum number of shards that the fault forces to move, by service."""
        self.notes: dict[str, Any] = {}
        self.machine_load: list[float] = []

    async def start(self) -> None:
        """Start all processes and the load, and return after the warm-up."""
        await self.fleet.start()
        await self.load_tool.start(self.scenario.peak_factor)
        self.load_tool.change_control(factor=self.scenario.factor)
        await asyncio.sleep(WARM_UP_SECONDS)
        self.before = await self.read_snapshot()
        self.add_mark("begin")

    def add_mark(self, name: str) -> None:
        """Record an event with the current time."""
        self.marks.append(Mark(time.monotonic(), name))
        self.print_line(name)

    def get_mark_time(self, name: str) -> float:
        """Return the time of an event."""
        return next(mark.time for mark in self.marks if mark.name == name)

    def list_entry_pids(self) -> list[int]:
        """Return the process ids of running entry processes."""
        return [
            entry.process.child.pid
            for entry in self.fleet.entries.values()
            if entry.process.is_running()
        ]

    async def meter_costs_until_cancelled(self) -> None:
        """Meter the entry processes and the machine load until cancelled."""
        while True:
            self.meter.read(self.list_entry_pids())
            self.machine_load.append(accounting.read_machine_load())
            await asyncio.sleep(METER_INTERVAL_SECONDS)

    async def read_snapshot(self) -> Snapshot:
        """Return owners, overrides and versions from the table."""
        owners, overrides = {}, {}
        for plan in self.deployment.services:
            name = plan.service.name
            owners[name] = await self.fleet.read_owners(name)
            overrides[name] = await self.read_overrides(name)
        return Snapshot(owners, overrides, await self.read_versions())

    async def read_overrides(self, service: str) -> dict[str, str]:
        """Return the keys with an owner other than their shard's, with that owner."""
        if self.fleet.table is None:
            return {}
        row = (await self.fleet.table.read(f"assignment/{service}")).unwrap()
        return dict(row.value.get("overrides") or {})

    async def read_versions(self) -> dict[str, int]:
        """Return the sums of row versions by prefix; see `Snapshot.versions`."""
        if self.fleet.table is None:
            return {}
        versions = {}
        for prefix in CONTROL_ROW_PREFIXES:
            rows = (await self.fleet.table.read_prefix(prefix)).unwrap()
            versions[prefix] = sum(row.version for row in rows)
        return versions

    def add_required_moves(self, target: str) -> None:
        """Count all shards of a target as required moves."""
        service = target.rpartition("-")[0]
        count = self.before.owners[service].count(target)
        self.min_moves[service] = self.min_moves.get(service, 0) + count

    def choose_target(self, service: str) -> str:
        """Return a random running target of a service."""
        names = sorted(
            name
            for name, process in self.fleet.targets.items()
            if name.startswith(f"{service}-") and process.is_running()
        )
        return self.random.choice(names)

    @property
    def busiest_service(self) -> str:
        """Return the service with the most requests."""
        return self.deployment.services[0].service.name
