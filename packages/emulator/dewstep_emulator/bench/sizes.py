"""Cost of idle entry processes at several sizes, and its slopes.

Two series: more targets at the same number of entry processes, and more entry
processes at the same number of targets. What a process costs without requests is the
control overhead of the design page: heartbeats, grants and reads of the table.
"""

import asyncio
import pathlib
import statistics
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from dewstep_emulator import deployments, fleet as fleets
from dewstep_emulator.bench import accounting

NAME = "sizes"
TARGET_SERIES = ((4, 8), (4, 16), (4, 32))
"""Entry processes and targets."""
ENTRY_SERIES = ((2, 12), (6, 12), (12, 12))
SETTLE_SECONDS = 3.0
MEASURE_SECONDS = 6.0
SERVICE_MILLISECONDS = 4.0


class Sample(NamedTuple):
    """Means over the entry processes of one size."""

    entries: int
    targets: int
    gates_per_entry: float
    processor_percent: float
    """Of a core."""
    memory_mb: float
    moved_bytes_per_s: float
    """Bytes in and out of one entry process."""
    table_percent: float
    """Of a core, in the table service."""
    table_bytes_per_s: float
    gate_rows_bytes: int
    """Size of one read of all gate rows."""


def plan_deployment(entries: int, targets: int) -> deployments.Deployment:
    """Return one service in one data centre."""
    service = deployments.plan_service(
        targets,
        SERVICE_MILLISECONDS,
        "history",
        deployments.build_kind("due", "GET", "/history/{key}", True),
    )
    return deployments.Deployment(NAME, ("centre",), (service,), 4, 110, entries)


async def measure_size(
    entries: int, targets: int, seed: int, folder: pathlib.Path
) -> Sample:
    """Start a fleet without load and return what it costs."""
    options = fleets.FleetOptions(entries, seed)
    fleet = fleets.Fleet(plan_deployment(entries, targets), options, folder)
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_SECONDS)
        pids = [entry.process.child.pid for entry in fleet.entries.values()]
        pids.append(fleet.table_process.child.pid)
        before = [accounting.read_usage(pid) for pid in pids]
        await asyncio.sleep(MEASURE_SECONDS)
        after = [accounting.read_usage(pid) for pid in pids]
        *costs, table = map(accounting.subtract, before, after)
        rows = (await fleet.table.read_prefix("gate/")).unwrap()
        await fleet.stop()
    finally:
        await fleet.kill_all()
    return Sample(
        entries,
        targets,
        targets / entries,
        100 * statistics.mean(cost.share for cost in costs),
        statistics.mean(cost.memory for cost in costs) / accounting.MEBIBYTE,
        statistics.mean(cost.moved / cost.seconds for cost in costs),
        100 * table.share,
        table.moved / table.seconds,
        sum(len(str(row.value)) + len(row.key) for row in rows),
    )


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and value at zero of the line of least squares."""
    slope, intercept = statistics.linear_regression(*zip(*points, strict=True))
    return slope, intercept


def fit_series(samples: Sequence[Sample], variable: str) -> dict[str, Any]:
    """Return slope and value at zero of each cost over a size."""
    found = {}
    for name in (
        "processor_percent",
        "memory_mb",
        "moved_bytes_per_s",
        "table_percent",
        "table_bytes_per_s",
        "gate_rows_bytes",
    ):
        points = [
            (float(getattr(item, variable)), float(getattr(item, name)))
            for item in samples
        ]
        slope, intercept = fit_line(points)
        found[name] = {"slope": slope, "at_zero": intercept}
    return found


async def run(
    seed: int, folder: pathlib.Path, say: Callable[[str], None] = lambda text: None
) -> dict[str, Any]:
    """Measure all sizes and fit the slopes."""
    samples: dict[tuple[int, int], Sample] = {}
    machine_load = []
    for size in dict.fromkeys((*TARGET_SERIES, *ENTRY_SERIES)):
        place = folder / f"{size[0]}-{size[1]}"
        samples[size] = await measure_size(*size, seed, place)
        machine_load.append(accounting.read_machine_load())
        say(
            " ".join(
                f"{key}={value:g}" for key, value in samples[size]._asdict().items()
            )
        )
    return {
        "name": NAME,
        "seed": seed,
        "machine_load": max(machine_load),
        "samples": [sample._asdict() for sample in samples.values()],
        "by_targets": fit_series([samples[size] for size in TARGET_SERIES], "targets"),
        "by_entries": fit_series([samples[size] for size in ENTRY_SERIES], "entries"),
    }
