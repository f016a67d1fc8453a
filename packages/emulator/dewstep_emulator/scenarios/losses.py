"""Targets, gates and data centres that are killed or paused."""

import asyncio

from dewstep_emulator import promises
from dewstep_emulator.scenarios import measures, staging


@staging.scenario("no-fault", forbid_unknown_outcomes=True)
async def run_without_faults(stage: staging.Stage) -> None:
    """Run the load without faults."""
    await asyncio.sleep(3.0)


@staging.scenario("target-killed")
async def kill_target(stage: staging.Stage) -> None:
    """Kill a target and restart it later."""
    target = measures.choose_target(stage, "history")
    process = stage.fleet.targets[target]
    await measures.measure_restoration(stage, "target killed", target, process.kill)
    await asyncio.sleep(1.0)
    await stage.fleet.restart_target(target)


@staging.scenario("target-frozen")
async def freeze_target(stage: staging.Stage) -> None:
    """Pause targets and resume them after their shards have moved."""
    for service in ("history", "booker"):
        target = measures.choose_target(stage, service)
        process = stage.fleet.targets[target]

        async def freeze(process=process) -> None:
            process.freeze()

        if service == "history":
            await measures.measure_restoration(stage, "target frozen", target, freeze)
        else:
            await freeze()
        await asyncio.sleep(2.0)
        process.resume()
        await asyncio.sleep(1.0)


@staging.scenario("gate-killed")
async def kill_gate(stage: staging.Stage) -> None:
    """Kill the entry process that is the gate of a target."""
    for service in ("history", "booker"):
        target = measures.choose_target(stage, service)
        entry = await measures.find_gate(stage, target)
        if service == "history":
            await measures.measure_restoration(
                stage, "gate killed", target, entry.process.kill
            )
        else:
            await entry.process.kill()
        await asyncio.sleep(1.5)


@staging.scenario("gate-frozen")
async def freeze_gate(stage: staging.Stage) -> None:
    """Pause a gate for longer than a grant lasts, then resume it."""
    target = measures.choose_target(stage, "history")
    entry = await measures.find_gate(stage, target)

    async def freeze() -> None:
        entry.process.freeze()

    await measures.measure_restoration(stage, "gate frozen", target, freeze)
    await asyncio.sleep(2.0)
    entry.process.resume()
    await asyncio.sleep(1.0)


@staging.scenario("gate-and-target-killed")
async def kill_gate_and_target(stage: staging.Stage) -> None:
    """Kill a target and its gate together, then declare the target dead."""
    target = measures.choose_target(stage, "history")
    entry = await measures.find_gate(stage, target)
    await entry.process.kill()
    await stage.fleet.targets[target].kill()
    await asyncio.sleep(2.0)
    key = await measures.find_key(stage, "history", target)
    await stage.fleet.declare_dead(target)
    elapsed = await measures.measure_until_served(
        stage, key, asyncio.get_running_loop().time()
    )
    stage.measures["served after declaration"] = elapsed
    if elapsed >= measures.PROBE_TIMEOUT_SECONDS:
        late = promises.ServedLate(
            "declared dead", elapsed, measures.PROBE_TIMEOUT_SECONDS
        )
        stage.violations.append(late)


@staging.scenario("two-gates-killed", entries=9)
async def kill_gates_twice(stage: staging.Stage) -> None:
    """Kill a gate and then the next one; a third process of the data centre remains."""
    target = measures.choose_target(stage, "history")
    for _ in range(2):
        entry = await measures.find_gate(stage, target)
        await measures.measure_restoration(
            stage, f"{entry.name} killed", target, entry.process.kill
        )


@staging.scenario("data-centre-lost", rate=60)
async def lose_data_centre(stage: staging.Stage) -> None:
    """Kill all instances of a data centre, then declare its targets dead."""
    fleet = stage.fleet
    lost_data_centre = fleet.deployment.data_centres[1]
    lost = [
        name
        for name, place in fleet.list_targets().items()
        if place[1] == lost_data_centre
    ]
    key = await measures.find_key(
        stage, "history", next(name for name in lost if name.startswith("history"))
    )
    for entry in fleet.entries.values():
        if entry.data_centre == lost_data_centre:
            await entry.process.kill()
    for name in lost:
        await fleet.targets[name].kill()
    await asyncio.sleep(3.0)
    for name in lost:
        await fleet.declare_dead(name)
    elapsed = await measures.measure_until_served(
        stage, key, asyncio.get_running_loop().time()
    )
    stage.measures["served after declaration"] = elapsed
    stage.print_line(f"a key was served again {elapsed:.3f} s after the declaration")
    if elapsed >= measures.PROBE_TIMEOUT_SECONDS:
        late = promises.ServedLate(
            "data centre lost", elapsed, measures.PROBE_TIMEOUT_SECONDS
        )
        stage.violations.append(late)
