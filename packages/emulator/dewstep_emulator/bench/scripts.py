"""Scripts of the benchmark's scenarios."""

import asyncio

from dewstep_emulator import fleet as fleets
from dewstep_emulator.bench import plans, stage as stages

STEADY_SECONDS = 10.0
BEFORE_SECONDS = 3.0
AFTER_SECONDS = 6.0


@plans.scenario("steady")
async def hold_steady(stage: stages.Stage) -> None:
    """Load half of the targets' capacity, without faults."""
    await asyncio.sleep(STEADY_SECONDS)


@plans.scenario("rush", hot_share=0.5)
async def change_hot_keys(stage: stages.Stage) -> None:
    """Let 34 hot keys of each service take half of the load and change once."""
    await asyncio.sleep(STEADY_SECONDS)
    stage.load.change(rotation=1)
    stage.mark("hot keys changed")
    await asyncio.sleep(2 * STEADY_SECONDS)
    stage.mark("balanced")
    await asyncio.sleep(STEADY_SECONDS)


@plans.scenario("overload", factor=1.0, peak=2.0, resend=False)
async def overload(stage: stages.Stage) -> None:
    """Load full capacity, then twice as much; callers do not come back."""
    await asyncio.sleep(STEADY_SECONDS)
    stage.load.change(factor=2.0)
    stage.mark("load doubled")
    await asyncio.sleep(STEADY_SECONDS)
    stage.mark("load ended")


@plans.scenario("target-lost")
async def lose_target(stage: stages.Stage) -> None:
    """Kill a target, which does not return."""
    await asyncio.sleep(BEFORE_SECONDS)
    target = stage.choose_target(stage.main_service)
    stage.expect_moves(target)
    await stage.fleet.targets[target].kill()
    stage.mark("fault")
    await asyncio.sleep(AFTER_SECONDS)


@plans.scenario("target-slow")
async def slow_target(stage: stages.Stage) -> None:
    """Let a target take ten times as long while it reports that it is idle."""
    await asyncio.sleep(BEFORE_SECONDS)
    target = stage.choose_target(stage.main_service)
    faults = {"slow_factor": 10.0, "load": {"state": "live", "load": 0.0}}
    await stage.fleet.set_faults(stage.fleet.targets[target], faults)
    stage.notes["slow_target"] = target
    stage.mark("fault")
    await asyncio.sleep(2 * AFTER_SECONDS)


@plans.scenario("entry-lost")
async def lose_entry(stage: stages.Stage) -> None:
    """Kill the entry process that is the gate of a target."""
    await asyncio.sleep(BEFORE_SECONDS)
    gates = await stage.fleet.read_gates()
    name = gates[stage.choose_target(stage.main_service)]
    await stage.fleet.entries[name].process.kill()
    stage.mark("fault")
    await asyncio.sleep(AFTER_SECONDS)


@plans.scenario("rolling")
async def replace_entries(stage: stages.Stage) -> None:
    """Stop all entry processes as planned and replace them, one by one."""
    codes = []
    for number in range(stage.deployment.entries):
        handle = stage.fleet.entries[f"entry-{number}"]
        stage.fleet.remove_from_balancer(handle.name)
        codes.append(await handle.process.terminate(fleets.STOP_SECONDS))
        await stage.fleet.start_entry(number)
        stage.mark(f"{handle.name} replaced")
    stage.notes["exit_codes"] = codes
    await asyncio.sleep(BEFORE_SECONDS)


@plans.scenario("table-outage")
async def take_table_down(stage: stages.Stage) -> None:
    """Let the table service refuse all calls for some seconds."""
    await asyncio.sleep(BEFORE_SECONDS)
    fleet = stage.fleet
    await fleet.set_faults(fleet.table_process, {"down": "refuse"})
    stage.mark("fault")
    await asyncio.sleep(AFTER_SECONDS)
    await fleet.set_faults(fleet.table_process, {"down": ""})
    stage.mark("healed")
    await asyncio.sleep(BEFORE_SECONDS)


@plans.scenario("centre-cut-off")
async def cut_data_centre(stage: stages.Stage) -> None:
    """Cut a data centre off from the others and from the platform."""
    await asyncio.sleep(BEFORE_SECONDS)
    await stage.fleet.cut_data_centre(stage.deployment.data_centres[0])
    stage.mark("fault")
    await asyncio.sleep(AFTER_SECONDS)
    await stage.fleet.heal()
    stage.mark("healed")
    await asyncio.sleep(BEFORE_SECONDS)
