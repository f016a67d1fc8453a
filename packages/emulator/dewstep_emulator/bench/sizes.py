"""Cost of idle entry processes at several deployment sizes, with linear fits.

Three series: more targets with the same number of entry processes, more entry processes
with the same number of targets in three data centres, and the same in one data centre.
The cost without requests is the control overhead: heartbeats, grants and table reads.
"""

import asyncio
import json
import pathlib
import statistics
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from dewstep_emulator import deployments, fleets, launching
from dewstep_emulator.bench import accounting

NAME = "sizes"
TARGET_SERIES = ((3, 9, 3), (3, 18, 3), (3, 36, 3))
"""Entry processes, targets and data centres."""
ENTRY_SERIES = ((3, 12, 3), (6, 12, 3), (12, 12, 3))
CENTRE_SERIES = ((3, 12, 1), (6, 12, 1), (9, 12, 1))
SETTLE_SECONDS = 3.0
MEASURE_SECONDS = 6.0
SERVICE_MILLISECONDS = 4.0


class Sample(NamedTuple):
    """Measures of one size; costs are means over the entry processes."""

    entries: int
    targets: int
    centres: int
    gates_per_entry: float
    processor_percent: float
    """Percent of one core."""
    memory_mb: float
    moved_bytes_per_s: float
    """Bytes read and written by one entry process."""
    table_percent: float
    """Percent of one core used by the table service."""
    table_bytes_per_s: float
    gate_rows_bytes: int
    """Size of all gate rows."""
    terms_per_s: float
    """Gate changes; none are expected while no process ends."""


def plan_deployment(entries: int, targets: int, centres: int) -> deployments.Deployment:
    """Return a deployment with one service."""
    service = deployments.plan_service(
        targets,
        SERVICE_MILLISECONDS,
        "history",
        deployments.build_kind("due", "GET", "/history/{key}", True),
    )
    names = tuple(f"centre-{number}" for number in range(centres))
    return deployments.Deployment(NAME, names, (service,), 4, 110, entries)


async def measure_size(
    entries: int, targets: int, centres: int, seed: int, folder: pathlib.Path
) -> Sample:
    """Start the processes of one size without load and return their costs."""
    options = launching.FleetOptions(entries, seed)
    deployment = plan_deployment(entries, targets, centres)
    fleet = fleets.Fleet(deployment, options, folder)
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_SECONDS)
        pids = [entry.process.child.pid for entry in fleet.entries.values()]
        pids.append(fleet.table_process.child.pid)
        first_terms = await sum_terms(fleet)
        before = accounting.read_usages(pids)
        await asyncio.sleep(MEASURE_SECONDS)
        after = accounting.read_usages(pids)
        *costs, table = map(accounting.compute_cost, before, after)
        rows = (await fleet.table.read_prefix("gate/")).unwrap()
        last_terms = await sum_terms(fleet)
        await fleet.stop()
    finally:
        await fleet.kill_all()
    return Sample(
        entries,
        targets,
        centres,
        targets / entries,
        100 * statistics.mean(cost.core_share for cost in costs),
        statistics.mean(cost.memory for cost in costs) / accounting.BYTES_PER_MEBIBYTE,
        statistics.mean(cost.moved / cost.seconds for cost in costs),
        100 * table.core_share,
        table.moved / table.seconds,
        sum(len(json.dumps(row.value)) + len(row.key) for row in rows),
        (last_terms - first_terms) / table.seconds,
    )


async def sum_terms(fleet: fleets.Fleet) -> int:
    """Return the sum of the terms of all gates."""
    rows = (await fleet.table.read_prefix("gate/")).unwrap()
    return sum(row.value["term"] for row in rows)


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    slope, intercept = statistics.linear_regression(*zip(*points, strict=True))
    return slope, intercept


def fit_series(samples: Sequence[Sample], variable: str) -> dict[str, Any]:
    """Return slope and intercept of each cost as a function of `variable`."""
    fits = {}
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
        fits[name] = {"slope": slope, "at_zero": intercept}
    return fits


async def run(
    seed: int,
    folder: pathlib.Path,
    print_line: Callable[[str], None] = lambda text: None,
) -> dict[str, Any]:
    """Measure all sizes and fit the costs of each series."""
    samples: dict[tuple[int, int, int], Sample] = {}
    machine_load = []
    for size in dict.fromkeys((*TARGET_SERIES, *ENTRY_SERIES, *CENTRE_SERIES)):
        fleet_folder = folder / "-".join(map(str, size))
        samples[size] = await measure_size(*size, seed, fleet_folder)
        machine_load.append(accounting.read_machine_load())
        print_line(
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
        "in_one_centre": fit_series(
            [samples[size] for size in CENTRE_SERIES], "entries"
        ),
    }
