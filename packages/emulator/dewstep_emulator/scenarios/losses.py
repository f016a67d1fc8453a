"""Targets, gates and data centres that are killed or paused."""

import asyncio

from dewstep_emulator import promises
from dewstep_emulator.scenarios import measures, scenario_runs


@scenario_runs.scenario("no-fault", forbid_unknown_outcomes=True)
async def run_without_faults(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Run the load without faults."""
    await asyncio.sleep(3.0)


@scenario_runs.scenario("target-killed")
async def kill_target(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Kill a target and restart it later."""
    target = measures.choose_target(scenario_run, "history")
    process = scenario_run.fleet.targets[target]
    await measures.measure_restoration(
        scenario_run, "target killed", target, process.kill
    )
    await asyncio.sleep(1.0)
    await scenario_run.fleet.restart_target(target)


@scenario_runs.scenario("target-frozen")
async def freeze_target(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Pause targets and resume them after their shards have moved."""
    for service in ("history", "booker"):
        target = measures.choose_target(scenario_run, service)
        process = scenario_run.fleet.targets[target]

        async def freeze(process=process) -> None:
            process.freeze()

        if service == "history":
            await measures.measure_restoration(
                scenario_run, "target frozen", target, freeze
            )
        else:
            await freeze()
        await asyncio.sleep(2.0)
        process.resume()
        await asyncio.sleep(1.0)


@scenario_runs.scenario("gate-killed")
async def kill_gate(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Kill the entry process that is the gate of a target."""
    for service in ("history", "booker"):
        target = measures.choose_target(scenario_run, service)
        entry = await measures.find_gate(scenario_run, target)
        if service == "history":
            await measures.measure_restoration(
                scenario_run, "gate killed", target, entry.process.kill
            )
        else:
            await entry.process.kill()
        await asyncio.sleep(1.5)


@scenario_runs.scenario("gate-frozen")
async def freeze_gate(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Pause a gate for longer than a grant lasts, then resume it."""
    target = measures.choose_target(scenario_run, "history")
    entry = await measures.find_gate(scenario_run, target)

    async def freeze() -> None:
        entry.process.freeze()

    await measures.measure_restoration(scenario_run, "gate frozen", target, freeze)
    await asyncio.sleep(2.0)
    entry.process.resume()
    await asyncio.sleep(1.0)


@scenario_runs.scenario("gate-and-target-killed")
async def kill_gate_and_target(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Kill a target and its gate together, then declare the target dead."""
    target = measures.choose_target(scenario_run, "history")
    entry = await measures.find_gate(scenario_run, target)
    await entry.process.kill()
    await scenario_run.fleet.targets[target].kill()
    await asyncio.sleep(2.0)
    key = await measures.find_key(scenario_run, "history", target)
    await scenario_run.fleet.declare_dead(target)
    elapsed = await measures.measure_until_served(
        scenario_run, key, asyncio.get_running_loop().time()
    )
    scenario_run.measures["served after declaration"] = elapsed
    if elapsed >= measures.PROBE_TIMEOUT_SECONDS:
        late = promises.ServedLate(
            "declared dead", elapsed, measures.PROBE_TIMEOUT_SECONDS
        )
        scenario_run.violations.append(late)


@scenario_runs.scenario("two-gates-killed", entries=9)
async def kill_gates_twice(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Kill a gate and then the next one; a third process of the data centre remains."""
    target = measures.choose_target(scenario_run, "history")
    for _ in range(2):
        entry = await measures.find_gate(scenario_run, target)
        await measures.measure_restoration(
            scenario_run, f"{entry.name} killed", target, entry.process.kill
        )


@scenario_runs.scenario("data-centre-lost", rate=60)
async def lose_data_centre(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Kill all instances of a data centre, then declare its targets dead."""
    fleet = scenario_run.fleet
    lost_data_centre = fleet.deployment.data_centres[1]
    lost = [
        name
        for name, place in fleet.list_targets().items()
        if place[1] == lost_data_centre
    ]
    key = await measures.find_key(
        scenario_run,
        "history",
        next(name for name in lost if name.startswith("history")),
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
        scenario_run, key, asyncio.get_running_loop().time()
    )
    scenario_run.measures["served after declaration"] = elapsed
    scenario_run.print_line(
        f"a key was served again {elapsed:.3f} s after the declaration"
    )
    if elapsed >= measures.PROBE_TIMEOUT_SECONDS:
        late = promises.ServedLate(
            "data centre lost", elapsed, measures.PROBE_TIMEOUT_SECONDS
        )
        scenario_run.violations.append(late)
