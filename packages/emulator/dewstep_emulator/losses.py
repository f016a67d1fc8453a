"""Measures how long a key stays unserved after a loss, over many trials.

One fleet serves all trials. Each breaks something, waits until a key of the broken
target is served again, repairs the damage, and waits until the fleet is ready.
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
from dewstep_emulator import deployments, fleet as fleets, launching, processes
from dewstep_emulator.scenarios import measures, staging

QUANTILE = 0.99
SETTLE = 1.5
"""Seconds between the repair and the next trial."""

losses: registry.Registry = registry.Registry("loss")


@losses.register("target-killed")
async def kill_target(stage: staging.Stage, name: str) -> None:
    """Kill a target, measure, and start it again."""
    target = await measures.choose_owner(stage, "history")
    process = stage.fleet.targets[target]
    await measures.measure_restoration(stage, name, target, process.kill)
    await stage.fleet.restart_target(target)


@losses.register("target-frozen")
async def freeze_target(stage: staging.Stage, name: str) -> None:
    """Freeze a target, measure, and let it go on."""
    target = await measures.choose_owner(stage, "history")
    process = stage.fleet.targets[target]

    async def freeze() -> None:
        process.freeze()

    await measures.measure_restoration(stage, name, target, freeze)
    process.resume()


@losses.register("gate-killed")
async def kill_gate(stage: staging.Stage, name: str) -> None:
    """Kill the gate of a target, measure, and start another entry process."""
    target = await measures.choose_owner(stage, "history")
    entry = await measures.find_gate(stage, target)
    await measures.measure_restoration(stage, name, target, entry.process.kill)
    await stage.fleet.start_entry(int(entry.name.removeprefix("entry-")))


@losses.register("gate-frozen")
async def freeze_gate(stage: staging.Stage, name: str) -> None:
    """Freeze the gate of a target, measure, and let it go on."""
    target = await measures.choose_owner(stage, "history")
    entry = await measures.find_gate(stage, target)

    async def freeze() -> None:
        entry.process.freeze()

    await measures.measure_restoration(stage, name, target, freeze)
    entry.process.resume()


def build_stage(fleet: fleets.Fleet, seed: int) -> staging.Stage:
    """Return a stage without callers, whose load would only blur the times."""
    generator = random.Random(seed)
    return staging.Stage(
        fleet, generator, lambda text: None, None, None, 0.0, {}, [], [], [], {}
    )


async def run_trials(
    kind: str, trials: int, seed: int, folder: pathlib.Path
) -> list[float]:
    """Return the unserved times in seconds."""
    options = launching.FleetOptions(entries=9, seed=seed)
    fleet = fleets.Fleet(deployments.plan_tsagaan(0.2), options, folder)
    stage = build_stage(fleet, seed)
    try:
        await fleet.start()
        for number in range(trials):
            await losses.get(kind)(stage, f"{kind}-{number}")
            await fleet.wait_ready()
            await asyncio.sleep(SETTLE)
        await fleet.stop()
    finally:
        await fleet.kill_all()
    return list(stage.measures.values())


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
        raise typer.BadParameter(f"one of: {', '.join(losses)}")
    with tempfile.TemporaryDirectory(prefix="dewstep-") as temporary:
        place = folder or pathlib.Path(temporary)
        took = processes.run(run_trials(kind, trials, seed, place))
    took.sort()
    within = sum(value <= measures.RESTORED_LIMIT for value in took) / len(took)
    typer.echo(
        f"{kind} seed={seed} trials={len(took)} median={statistics.median(took):.3f} s "
        f"longest={took[-1]:.3f} s within_1s={within:.1%}"
    )
    if file is not None:
        file.write_text(json.dumps({"kind": kind, "seed": seed, "seconds": took}))
    raise typer.Exit(0 if within >= QUANTILE else 1)


if __name__ == "__main__":
    typer.run(main)
