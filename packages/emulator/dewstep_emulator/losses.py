"""Measures how long a key is unserved after the loss of a process, over many trials.

All trials use the same fleet. Each trial kills or freezes a target or a gate, waits
until a key of the affected target is served again, restores the process, and waits
until the fleet is ready.
"""

import asyncio
import json
import pathlib
import random
import statistics
import tempfile
from typing import Annotated

import typer

from dewstep_core import registry
from dewstep_emulator import deployments, fleets, launching, processes
from dewstep_emulator.scenarios import measures, scenario_runs

REQUIRED_SHARE = 0.99
"""Share of the trials that must be within `measures.RESTORED_LIMIT_SECONDS`."""
SETTLE_SECONDS = 1.5
"""Pause between the end of a trial and the next one."""

losses: registry.Registry = registry.Registry("loss")


@losses.register("target-killed")
async def kill_target(scenario_run: scenario_runs.ScenarioRun, name: str) -> None:
    """Kill a target, measure, and start it again."""
    target = await measures.choose_owner(scenario_run, "history")
    process = scenario_run.fleet.targets[target]
    await measures.measure_restoration(scenario_run, name, target, process.kill)
    await scenario_run.fleet.restart_target(target)


@losses.register("target-frozen")
async def freeze_target(scenario_run: scenario_runs.ScenarioRun, name: str) -> None:
    """Freeze a target, measure, and resume it."""
    target = await measures.choose_owner(scenario_run, "history")
    process = scenario_run.fleet.targets[target]

    async def freeze() -> None:
        process.freeze()

    await measures.measure_restoration(scenario_run, name, target, freeze)
    process.resume()


@losses.register("gate-killed")
async def kill_gate(scenario_run: scenario_runs.ScenarioRun, name: str) -> None:
    """Kill the gate of a target, measure, and start another entry process."""
    target = await measures.choose_owner(scenario_run, "history")
    entry = await measures.find_gate(scenario_run, target)
    await measures.measure_restoration(scenario_run, name, target, entry.process.kill)
    await scenario_run.fleet.start_entry(int(entry.name.removeprefix("entry-")))


@losses.register("gate-frozen")
async def freeze_gate(scenario_run: scenario_runs.ScenarioRun, name: str) -> None:
    """Freeze the gate of a target, measure, and resume it."""
    target = await measures.choose_owner(scenario_run, "history")
    entry = await measures.find_gate(scenario_run, target)

    async def freeze() -> None:
        entry.process.freeze()

    await measures.measure_restoration(scenario_run, name, target, freeze)
    entry.process.resume()


def build_scenario_run(
    local_fleet: fleets.Fleet, seed: int
) -> scenario_runs.ScenarioRun:
    """Return a run without callers, whose load would distort the measured times."""
    generator = random.Random(seed)
    return scenario_runs.ScenarioRun(
        local_fleet, generator, lambda text: None, None, None, 0.0, {}, [], [], [], {}
    )


async def run_trials(
    kind: str, trials: int, seed: int, folder: pathlib.Path
) -> list[float]:
    """Return the unserved times in seconds."""
    options = launching.FleetOptions(entries=9, seed=seed)
    local_fleet = fleets.Fleet(deployments.plan_tsagaan(0.2), options, folder)
    scenario_run = build_scenario_run(local_fleet, seed)
    try:
        await local_fleet.start()
        for number in range(trials):
            await losses.get(kind)(scenario_run, f"{kind}-{number}")
            await local_fleet.wait_ready()
            await asyncio.sleep(SETTLE_SECONDS)
        await local_fleet.stop()
    finally:
        await local_fleet.kill_all()
    return list(scenario_run.measures.values())


def main(
    kind: Annotated[str, typer.Argument(help="Kind of loss.")],
    trials: int = 100,
    seed: int = 1,
    file: Annotated[pathlib.Path | None, typer.Option("--json")] = None,
    folder: Annotated[
        pathlib.Path | None, typer.Option(help="Keeps logs and settings there.")
    ] = None,
) -> None:
    """Run trials and exit 0 if 99 in 100 are within one second."""
    if losses.get(kind) is None:
        raise typer.BadParameter(f"unknown kind {kind!r}; one of: {', '.join(losses)}")
    with tempfile.TemporaryDirectory(prefix="dewstep-") as temporary:
        run_folder = folder or pathlib.Path(temporary)
        durations = processes.run(run_trials(kind, trials, seed, run_folder))
    durations.sort()
    within = sum(value <= measures.RESTORED_LIMIT_SECONDS for value in durations) / len(
        durations
    )
    typer.echo(
        f"{kind} seed={seed} trials={len(durations)} "
        f"median={statistics.median(durations):.3f} s "
        f"longest={durations[-1]:.3f} s within_1s={within:.1%}"
    )
    if file is not None:
        file.write_text(json.dumps({"kind": kind, "seed": seed, "seconds": durations}))
    raise typer.Exit(0 if within >= REQUIRED_SHARE else 1)


if __name__ == "__main__":
    typer.run(main)
