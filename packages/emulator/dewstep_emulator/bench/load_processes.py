"""Runs the processes of the load tool and collects their records."""

import asyncio
import json
import pathlib
from collections.abc import Callable, Sequence
from typing import NamedTuple

from dewstep_core import settings
from dewstep_emulator import processes
from dewstep_emulator.bench import accounting, generator

RATE_PER_PROCESS = 600
"""Requests/s assigned to one process; uses less than one core."""
MAX_PROCESSES = 4
MAX_LAG_SECONDS = 0.010
"""Limit of the 99th percentile of the delay between schedule and sending."""
MAX_CORE_SHARE = 0.8
"""Limit of the core share of one load process; above it, it may delay requests."""
REFRESH_INTERVAL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 40.0


class LoadResult(NamedTuple):
    """Records of the load tool, and its own load."""

    records: tuple[generator.Record, ...]
    processes: int
    busiest: float
    """Largest core share of a load process."""
    lag: float
    """99th percentile of the delay from schedule to sending, in seconds."""

    @property
    def kept_up(self) -> bool:
        """Return whether the load tool kept to its schedule."""
        return self.lag <= MAX_LAG_SECONDS and self.busiest <= MAX_CORE_SHARE


class LoadTool:
    """Several load processes that share one control file.

    Parameters
    ----------
    plan : generator.Plan
        Total load of all processes.
    folder : pathlib.Path
        Folder for plans, control file and results.
    list_addresses : callable
        Returns the addresses to send to.
    name : str
        Prefix of file names.
    """

    def __init__(
        self,
        plan: generator.Plan,
        folder: pathlib.Path,
        list_addresses: Callable[[], Sequence[settings.Address]],
        name: str = "load",
    ):
        self.plan = plan
        self.folder = folder
        self.list_addresses = list_addresses
        self.name = name
        self.control = generator.Control()
        self.control_path = folder / f"{name}.control"
        self.meter = accounting.Meter()
        self.processes: list[processes.Process] = []
        self.refresh_task: asyncio.Task | None = None

    async def start(self, peak_factor: float = 1.0) -> None:
        """Start enough processes for `peak_factor` times the planned rate."""
        self.folder.mkdir(parents=True, exist_ok=True)
        needed_processes = int(self.plan.rate * peak_factor / RATE_PER_PROCESS) + 1
        count = min(MAX_PROCESSES, needed_processes)
        self.write_control_file()
        for number in range(count):
            process_plan = self.plan._replace(
                seed=self.plan.seed * 100 + number, rate=self.plan.rate / count
            )
            plan_file = self.folder / f"{self.name}-{number}.plan"
            plan_file.write_text(json.dumps(process_plan._asdict()))
            self.processes.append(
                processes.Process(
                    f"{self.name}-{number}",
                    (
                        "dewstep_emulator.bench.generator",
                        f"--plan={plan_file}",
                        f"--control={self.control_path}",
                        f"--output={self.get_records_file(number)}",
                    ),
                    self.folder,
                )
            )
        await asyncio.gather(*(process.start() for process in self.processes))
        self.refresh_task = asyncio.ensure_future(self.refresh_until_cancelled())

    def get_records_file(self, number: int) -> pathlib.Path:
        """Return the path of the records file of a process."""
        return self.folder / f"{self.name}-{number}.records"

    def change_control(self, **changes) -> None:
        """Change fields of the control file, such as `factor`."""
        self.control = self.control._replace(**changes)
        self.write_control_file()

    def write_control_file(self) -> None:
        """Replace the control file atomically, so that readers never get half of it."""
        addresses = tuple(self.list_addresses())
        self.control = self.control._replace(addresses=addresses)
        temporary_file = self.control_path.with_suffix(".draft")
        temporary_file.write_text(json.dumps(self.control._asdict()))
        temporary_file.replace(self.control_path)

    async def refresh_until_cancelled(self) -> None:
        """Update addresses in the control file and meter the load processes."""
        while True:
            if tuple(self.list_addresses()) != self.control.addresses:
                self.write_control_file()
            if self.control.factor:
                self.meter.read(process.child.pid for process in self.processes)
            else:
                self.meter.pause()
            await asyncio.sleep(REFRESH_INTERVAL_SECONDS)

    async def stop(self) -> LoadResult:
        """Stop the load processes and return their records in scheduled order."""
        self.change_control(stop=True)
        self.refresh_task.cancel()
        async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
            for process in self.processes:
                await process.child.wait()
        records = []
        for number in range(len(self.processes)):
            result = json.loads(self.get_records_file(number).read_text())
            records += (generator.Record(*item) for item in result["records"])
        records.sort()
        lags = sorted(record.sent - record.scheduled for record in records)
        costs = self.meter.costs.values()
        return LoadResult(
            tuple(records),
            len(self.processes),
            max((cost.core_share for cost in costs), default=0.0),
            lags[int(len(lags) * 0.99)] if lags else 0.0,
        )

    async def kill(self) -> None:
        """Kill the load processes after a failure."""
        if self.refresh_task is not None:
            self.refresh_task.cancel()
        for process in self.processes:
            await process.kill()
