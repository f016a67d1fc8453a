"""Planned stops of targets and entry processes."""

import asyncio
import datetime
import signal

from dewstep_core import settings
from dewstep_emulator import addresses, fleets, history, promises
from dewstep_emulator.scenarios import measures, scenario_runs

ABORTED_WORK_EXIT_CODE = 3
"""Exit code of an entry process that aborted requests in progress."""
SECOND_SIGNAL_LIMIT_SECONDS = 1.0
MIN_GATE_AGE_SECONDS = 10.0
"""Time after its start from which an entry process can take over gates again."""
BOOKING_SLOW_FACTOR = 25.0
"""A booking then takes 0.2 s."""
INSTANCE_LIST_LAG = datetime.timedelta(seconds=3)
"""Delay with which the emulated instance list shows changes (docs/platform.md)."""


@scenario_runs.scenario("target-drained", forbid_unknown_outcomes=True)
async def drain_targets(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Drain targets, which finish running requests and get no new ones."""
    for service in ("history", "booker"):
        await scenario_run.fleet.drain_target(
            measures.choose_target(scenario_run, service)
        )
        await asyncio.sleep(3.0)


@scenario_runs.scenario("entries-replaced", forbid_unknown_outcomes=True, entries=6)
async def replace_entries(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Stop and replace entry processes one after another."""
    fleet = scenario_run.fleet
    for name, process in fleet.targets.items():
        if name.startswith("booker"):
            # Keeps at-most-once requests in progress throughout the stops.
            await fleet.set_faults(process, {"slow_factor": BOOKING_SLOW_FACTOR})
    # Gates return only to processes of this age. Without the wait, the scenario would
    # not cover a gate that returns to a stopping process.
    await asyncio.sleep(MIN_GATE_AGE_SECONDS)
    for target in ("booker-0", "booker-1", "history-0"):
        handle = await measures.find_gate(scenario_run, target)
        scenario_run.fleet.remove_from_balancer(handle.name)
        began = asyncio.get_running_loop().time()
        code = await handle.process.terminate(fleets.STOP_SECONDS)
        if code != 0:
            elapsed = asyncio.get_running_loop().time() - began
            scenario_run.violations.append(
                promises.WrongExit(handle.name, code, elapsed)
            )
        await fleet.start_entry(int(handle.name.removeprefix("entry-")))
        await asyncio.sleep(1.0)


async def report_target_leaving(fleet: fleets.Fleet, target: str) -> None:
    """Mark a target as leaving in the instance list."""
    instance = {
        "instance": target,
        "data_centre": fleet.list_targets()[target][1],
        "address": addresses.format_address(fleet.targets[target].addresses),
        "role": "target",
        "state": "leaving",
    }
    control = fleet.list_process.addresses["control_port"]
    address = settings.Address(addresses.HOST, control)
    await addresses.post_json(address, "/instances", {"update": [instance]})


@scenario_runs.scenario("target-leaving-by-list", forbid_unknown_outcomes=True)
async def leave_by_instance_list(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Mark targets as leaving in the delayed instance list while they report live."""
    for service in ("history", "booker"):
        name = measures.choose_target(scenario_run, service)
        process = scenario_run.fleet.targets[name]
        await scenario_run.fleet.set_faults(
            process, {"load": {"state": "live", "load": 0.0}}
        )
        await report_target_leaving(scenario_run.fleet, name)
        shown = (
            history.parse_time(asyncio.get_running_loop().time()) + INSTANCE_LIST_LAG
        )
        scenario_run.fleet.departures.append(history.Departure(name, shown))
    await asyncio.sleep(INSTANCE_LIST_LAG.total_seconds() + 4.0)


@scenario_runs.scenario("second-signal")
async def signal_twice(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Send SIGTERM twice while slow requests are in progress."""
    fleet = scenario_run.fleet
    for name, process in fleet.targets.items():
        if name.startswith("booker"):
            await fleet.set_faults(process, {"slow_factor": 100.0})
    await asyncio.sleep(0.5)
    entry = await measures.find_gate(scenario_run, "booker-0")
    fleet.remove_from_balancer(entry.name)
    entry.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    if not entry.process.is_running():
        scenario_run.violations.append(
            promises.ConditionNotReached("nothing was in progress")
        )
    began = asyncio.get_running_loop().time()
    code = await entry.process.terminate(fleets.STOP_SECONDS)
    elapsed = asyncio.get_running_loop().time() - began
    scenario_run.measures["end after second signal"] = elapsed
    if code != ABORTED_WORK_EXIT_CODE or elapsed > SECOND_SIGNAL_LIMIT_SECONDS:
        scenario_run.violations.append(promises.WrongExit(entry.name, code, elapsed))
    for name, process in fleet.targets.items():
        if name.startswith("booker"):
            await fleet.set_faults(process, {"slow_factor": 1.0})
    await fleet.start_entry(int(entry.name.removeprefix("entry-")))
    await asyncio.sleep(2.0)
