"""Runs a small fleet with faults and prints a summary.

The fleet has three data centres, nine entry processes and the services of both
deployments. While callers send requests of each kind, one target is killed and one is
drained. The summary is computed from the callers' records and the targets' run logs.
"""

import asyncio
import datetime
import pathlib
import tempfile
import time
from typing import Annotated, NamedTuple

import rich.console
import rich.table
import typer

from dewstep_core import clocks
from dewstep_emulator import (
    deployments,
    fleets,
    history,
    launching,
    load,
    processes,
)

ENTRY_COUNT = 9
SCALE = 0.15
"""Numbers of targets relative to the deployments in docs/design.md."""
REQUESTS_PER_SECOND = 120.0
"""Total rate of the requests of all callers."""
LOAD_SECONDS = 10.0
KILL_AFTER_SECONDS = 3.0
DRAIN_AFTER_SECONDS = 5.0
KILLED_TARGET = "history-0"
DRAINED_TARGET = "booker-0"
FAILURE_EXIT_STATUS = 1


class Outcome(NamedTuple):
    """Results of a run."""

    name: str
    summary: history.Summary
    violations: tuple
    exit_codes: dict[str, int | None]
    latencies: tuple[float, float]
    """Median and 99th percentile in milliseconds."""


def combine_deployments(scale: float) -> deployments.Deployment:
    """Return a deployment in three data centres with all services of both."""
    tsagaan = deployments.plan_tsagaan(scale)
    division = deployments.plan_division(scale)
    return tsagaan._replace(
        name="both", services=(*tsagaan.services, *division.services)
    )


async def inject_faults(local_fleet: fleets.Fleet, print_line) -> None:
    """Kill one target and drain another while requests are in progress."""
    await asyncio.sleep(KILL_AFTER_SECONDS)
    print_line(f"target {KILLED_TARGET} is killed")
    await local_fleet.targets[KILLED_TARGET].kill()
    await asyncio.sleep(DRAIN_AFTER_SECONDS - KILL_AFTER_SECONDS)
    print_line(f"target {DRAINED_TARGET} is drained")
    await local_fleet.drain_target(DRAINED_TARGET)


async def run_load(
    local_fleet: fleets.Fleet, seed: int, rate: float, seconds: float
) -> load.LoadGenerator:
    """Send requests of all kinds to all entry processes for some seconds."""
    caller = load.LoadGenerator(
        local_fleet.list_balanced_addresses, clocks.SystemClock(), seed
    )
    load_plan = load.LoadPlan(
        deployments.plan_calls(local_fleet.deployment),
        rate,
        datetime.timedelta(seconds=seconds),
        keys=200,
        skew=0.8,
        resend=True,
    )
    await caller.run(load_plan)
    await caller.close()
    return caller


async def run_fleet(folder: pathlib.Path, seed: int, print_line) -> Outcome:
    """Run a fleet under load and faults and check the history."""
    options = launching.FleetOptions(entries=ENTRY_COUNT, seed=seed)
    local_fleet = fleets.Fleet(combine_deployments(SCALE), options, folder)
    try:
        started = time.monotonic()
        await local_fleet.start()
        print_line(
            f"{len(local_fleet.entries)} entry processes and "
            f"{len(local_fleet.targets)} targets "
            f"ready after {time.monotonic() - started:.1f} s"
        )
        caller, _ = await asyncio.gather(
            run_load(local_fleet, seed, REQUESTS_PER_SECOND, LOAD_SECONDS),
            inject_faults(local_fleet, print_line),
        )
        codes = await local_fleet.stop()
    finally:
        await local_fleet.kill_all()
    runs = local_fleet.read_runs()
    violations = history.check_history(
        caller.calls, runs, local_fleet.list_slots(), local_fleet.departures
    )
    latencies = tuple(
        caller.latencies.get_value_at_percentile(percentile) / 1000
        for percentile in (50, 99)
    )
    summary = history.summarize(caller.calls, runs)
    return Outcome("both", summary, violations, codes, latencies)


def print_outcome(console: rich.console.Console, outcome: Outcome) -> None:
    """Print the summary as a table, and violations and exit codes on a line each."""
    table = rich.table.Table(title="Calls and violations")
    table.add_column("count")
    table.add_column("requests", justify="right")
    for name, value in outcome.summary._asdict().items():
        table.add_row(name.replace("_", " "), str(value))
    console.print(table)
    median, percentile_99 = outcome.latencies
    console.print(
        f"answered within {median:.1f} ms (median), {percentile_99:.1f} ms (99%)"
    )
    for violation in outcome.violations:
        console.print(f"violation: {violation}")
    for name, code in outcome.exit_codes.items():
        if code != 0:
            console.print(f"{name} ended with exit code {code}")


def main(
    seed: Annotated[int, typer.Option(help="Decides keys, kinds and times.")] = 1,
    folder: Annotated[
        pathlib.Path | None,
        typer.Option(help="Keeps logs and settings there."),
    ] = None,
) -> None:
    """Run the whole path and exit 0 if no promise was broken."""
    console = rich.console.Console()
    console.print(f"seed {seed}")
    with tempfile.TemporaryDirectory(prefix="dewstep-demo-") as temporary:
        run_folder = folder or pathlib.Path(temporary)
        outcome = processes.run(run_fleet(run_folder, seed, console.print))
    print_outcome(console, outcome)
    failed = outcome.violations or any(outcome.exit_codes.values())
    if failed or not outcome.summary.answered:
        raise typer.Exit(FAILURE_EXIT_STATUS)


if __name__ == "__main__":
    typer.run(main)
