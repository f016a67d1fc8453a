"""Runs the processes of the load tool and collects what they recorded."""

import asyncio
import json
import pathlib
from collections.abc import Callable, Sequence
from typing import NamedTuple

from dewstep_core import settings
from dewstep_emulator import processes
from dewstep_emulator.bench import accounting, generator

RATE_OF_PROCESS = 600
"""Requests/s that one process is given, which takes it a part of a core."""
MOST_PROCESSES = 4
LAG_LIMIT = 0.010
"""Seconds by which 99% of the requests must leave after their scheduled time."""
SHARE_LIMIT = 0.8
"""Largest part of a core that a process of the load tool may use."""
REFRESH_SECONDS = 0.05
STOP_SECONDS = 40.0


class Load(NamedTuple):
    """What the load tool saw, and whether it kept up."""

    records: tuple[generator.Record, ...]
    processes: int
    busiest: float
    """Largest part of a core that one of its processes used."""
    lag: float
    """99th percentile of the delay from the scheduled time to the sending, in s."""

    @property
    def kept_up(self) -> bool:
        """Return whether the requests left on schedule."""
        return self.lag <= LAG_LIMIT and self.busiest <= SHARE_LIMIT


class LoadTool:
    """Several load processes that follow one control file.

    Parameters
    ----------
    plan : generator.Plan
        For all processes together.
    folder : pathlib.Path
        Gets plans, control file and results.
    list_addresses : callable
        Returns the addresses that the balancer uses now.
    name : str
        Prefix of the files.
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
        self.path = folder / f"{name}.control"
        self.meter = accounting.Meter()
        self.processes: list[processes.Process] = []
        self.refresher: asyncio.Task | None = None

    async def start(self, peak: float = 1.0) -> None:
        """Start as many processes as a load of `peak` times the rate needs."""
        self.folder.mkdir(parents=True, exist_ok=True)
        needed = int(self.plan.rate * peak / RATE_OF_PROCESS) + 1
        count = min(MOST_PROCESSES, needed)
        self.write()
        for number in range(count):
            part = self.plan._replace(
                seed=self.plan.seed * 100 + number, rate=self.plan.rate / count
            )
            file = self.folder / f"{self.name}-{number}.plan"
            file.write_text(json.dumps(part._asdict()))
            self.processes.append(
                processes.Process(
                    f"{self.name}-{number}",
                    (
                        "dewstep_emulator.bench.generator",
                        f"--plan={file}",
                        f"--control={self.path}",
                        f"--output={self.get_output(number)}",
                    ),
                    self.folder,
                )
            )
        await asyncio.gather(*(process.start() for process in self.processes))
        self.refresher = asyncio.ensure_future(self.refresh())

    def get_output(self, number: int) -> pathlib.Path:
        """Return the file with the result of a process."""
        return self.folder / f"{self.name}-{number}.records"

    def change(self, **changes) -> None:
        """Change members of the control, such as the factor of the rate."""
        self.control = self.control._replace(**changes)
        self.write()

    def write(self) -> None:
        """Write the control file in one step, so that nobody reads half of it."""
        addresses = tuple(self.list_addresses())
        self.control = self.control._replace(addresses=addresses)
        draft = self.path.with_suffix(".draft")
        draft.write_text(json.dumps(self.control._asdict()))
        draft.replace(self.path)

    async def refresh(self) -> None:
        """Keep the addresses and the readings of the own cost up to date."""
        while True:
            if tuple(self.list_addresses()) != self.control.addresses:
                self.write()
            if self.control.factor:
                self.meter.read(process.child.pid for process in self.processes)
            else:
                self.meter.pause()
            await asyncio.sleep(REFRESH_SECONDS)

    async def stop(self) -> Load:
        """End the load and return its records in the order of their schedule."""
        self.change(stop=True)
        self.refresher.cancel()
        async with asyncio.timeout(STOP_SECONDS):
            for process in self.processes:
                await process.child.wait()
        records = []
        for number in range(len(self.processes)):
            result = json.loads(self.get_output(number).read_text())
            records += (generator.Record(*item) for item in result["records"])
        records.sort()
        lags = sorted(record.sent - record.scheduled for record in records)
        costs = self.meter.costs.values()
        return Load(
            tuple(records),
            len(self.processes),
            max((cost.share for cost in costs), default=0.0),
            lags[int(len(lags) * 0.99)] if lags else 0.0,
        )

    async def kill(self) -> None:
        """End the processes after a failure."""
        if self.refresher is not None:
            self.refresher.cancel()
        for process in self.processes:
            await process.kill()
