"""Targets and entry processes that leave as planned."""

import asyncio
import datetime
import signal

from dewstep_core import settings
from dewstep_emulator import addresses, fleet as fleets, history, promises
from dewstep_emulator.scenarios import measures, staging

EXIT_CUT = 3
"""Exit code of an entry process that had to cut work in progress."""
SECOND_SIGNAL_LIMIT = 1.0
SETTLED_SECONDS = 10.0
SLOW_BOOKINGS = 25.0
"""Factor of service times; a run takes 0.2 s."""
LIST_LAG = datetime.timedelta(seconds=3)
"""Seconds that the stand-in of the instance list is late (docs/platform.md)."""


@staging.scenario("target-drained", planned=True)
async def drain_target(stage: staging.Stage) -> None:
    """Drain targets, which then get no new work and finish what runs."""
    for service in ("history", "booker"):
        await stage.fleet.drain(measures.choose_target(stage, service))
        await asyncio.sleep(3.0)


@staging.scenario("entries-replaced", planned=True, entries=6)
async def replace_entries(stage: staging.Stage) -> None:
    """Stop entry processes as planned and replace them one after the other."""
    fleet = stage.fleet
    for name, process in fleet.targets.items():
        if name.startswith("booker"):
            # At-most-once requests are in progress at every moment of the stops.
            await fleet.set_faults(process, {"slow_factor": SLOW_BOOKINGS})
    # Gates go back only to processes that have lived this long. A gate that returns to
    # a process which is stopping would be missed without the wait.
    await asyncio.sleep(SETTLED_SECONDS)
    for target in ("booker-0", "booker-1", "history-0"):
        handle = await measures.find_gate(stage, target)
        stage.fleet.remove_from_balancer(handle.name)
        began = asyncio.get_running_loop().time()
        code = await handle.process.terminate(fleets.STOP_SECONDS)
        if code != 0:
            took = asyncio.get_running_loop().time() - began
            stage.violations.append(promises.WrongExit(handle.name, code, took))
        await fleet.start_entry(int(handle.name.removeprefix("entry-")))
        await asyncio.sleep(1.0)


async def list_leaving(fleet: fleets.Fleet, target: str) -> None:
    """Show a target as leaving in the instance list."""
    instance = {
        "instance": target,
        "data_centre": fleet.list_targets()[target][1],
        "address": addresses.format_address(fleet.targets[target].addresses),
        "role": "target",
        "state": "leaving",
    }
    control = fleet.list_process.addresses["control_port"]
    address = settings.Address(addresses.HOST, control)
    await addresses.post(address, "/instances", {"update": [instance]})


@staging.scenario("target-leaving-by-list", planned=True)
async def leave_by_list(stage: staging.Stage) -> None:
    """Show a target as leaving in the lagging list only, which its health denies."""
    for service in ("history", "booker"):
        name = measures.choose_target(stage, service)
        process = stage.fleet.targets[name]
        await stage.fleet.set_faults(process, {"load": {"state": "live", "load": 0.0}})
        await list_leaving(stage.fleet, name)
        shown = history.parse_time(asyncio.get_running_loop().time()) + LIST_LAG
        stage.fleet.departures.append(history.Departure(name, shown))
    await asyncio.sleep(LIST_LAG.total_seconds() + 4.0)


@staging.scenario("second-signal")
async def signal_twice(stage: staging.Stage) -> None:
    """Send SIGTERM twice while slow requests are in progress."""
    fleet = stage.fleet
    for name, process in fleet.targets.items():
        if name.startswith("booker"):
            await fleet.set_faults(process, {"slow_factor": 100.0})
    await asyncio.sleep(0.5)
    entry = await measures.find_gate(stage, "booker-0")
    fleet.remove_from_balancer(entry.name)
    entry.process.send(signal.SIGTERM)
    await asyncio.sleep(0.2)
    if not entry.process.is_running():
        stage.violations.append(promises.NotPressed("nothing was in progress"))
    began = asyncio.get_running_loop().time()
    code = await entry.process.terminate(fleets.STOP_SECONDS)
    took = asyncio.get_running_loop().time() - began
    stage.measures["end after second signal"] = took
    if code != EXIT_CUT or took > SECOND_SIGNAL_LIMIT:
        stage.violations.append(promises.WrongExit(entry.name, code, took))
    for name, process in fleet.targets.items():
        if name.startswith("booker"):
            await fleet.set_faults(process, {"slow_factor": 1.0})
    await fleet.start_entry(int(entry.name.removeprefix("entry-")))
    await asyncio.sleep(2.0)
