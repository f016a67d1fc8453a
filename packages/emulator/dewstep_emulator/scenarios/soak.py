"""Soak test: random faults from one seed, in sequence and overlapping."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from returns.primitives import exceptions

from dewstep_core import registry
from dewstep_emulator import fleet as fleets, processes, promises
from dewstep_emulator.scenarios import (
    caller_faults,
    configurations,
    crashing_requests,
    deployment_changes,
    measures,
    requests,
    staging,
)

Fault = Callable[[staging.Stage], Awaitable[Callable[[], Awaitable[None]]]]
"""Causes a fault and returns the function that repairs it."""

faults: registry.Registry[Fault] = registry.Registry("soak fault")
MAX_FAULT_SECONDS = 2.5
MAX_PAUSE_SECONDS = 1.0
OVERLAP_PROBABILITY = 0.4
"""Probability that the next fault does not wait for the end of this one."""
REPAIR_TIMEOUT_SECONDS = 30.0
MAX_CHANGE_ATTEMPTS = 20
RESTART_PAUSE_SECONDS = 1.5
UNFENCED_TARGETS = frozenset({"booker-1"})
OPERATOR_COUNT = 3
MARKER_WEIGHT_STEP = 0.001
"""Difference of the weights that identify configurations; small, so that the weights
have no effect on scheduling."""
ORDERED_MEASURE = "orders of operators"
ACKNOWLEDGED_MEASURE = "acknowledged orders"
RACES_LOST_MEASURE = "races lost"


def choose_replaceable_entry(stage: staging.Stage) -> str:
    """Return a serving entry process that is not the last of its data centre.

    Returns an empty string if there is none.
    """
    serving = measures.list_serving_entries(stage)
    counts: dict[str, int] = {}
    for entry in serving:
        counts[entry.data_centre] = counts.get(entry.data_centre, 0) + 1
    usable = [entry.name for entry in serving if counts[entry.data_centre] > 1]
    return stage.random.choice(sorted(usable)) if usable else ""


def choose_any_target(stage: staging.Stage) -> str:
    """Return the name of a random running target of any service."""
    names = [
        name
        for name, process in stage.fleet.targets.items()
        if process.is_running() and not process.frozen
    ]
    return stage.random.choice(sorted(names))


async def repair_nothing() -> None:
    """Do nothing, for faults that need no repair."""


async def retry_change(change: Callable[[], Awaitable[None]]) -> None:
    """Retry a change until all affected processes have accepted it.

    Another fault may have paused or ended one of them.
    """
    for _ in range(MAX_CHANGE_ATTEMPTS):
        with contextlib.suppress(exceptions.UnwrapFailedError):
            await change()
            return
        await asyncio.sleep(MAX_FAULT_SECONDS / MAX_CHANGE_ATTEMPTS)


def register_switch_fault(
    name: str, switches: dict, choose: Callable[[staging.Stage], processes.Process]
) -> None:
    """Register the fault that sets fault switches of an emulated process for a time."""

    @faults.register(name)
    async def cause(stage: staging.Stage):
        process = choose(stage)

        async def change(switches: dict) -> None:
            if process.is_running():
                await stage.fleet.set_faults(process, switches)

        await retry_change(lambda: change(switches))
        ended = dict.fromkeys(switches)
        return lambda: retry_change(lambda: change(ended))


def get_table_process(stage: staging.Stage) -> processes.Process:
    """Return the process of the table service."""
    return stage.fleet.table_process


def choose_target_process(stage: staging.Stage) -> processes.Process:
    """Return the process of a random running target."""
    return stage.fleet.targets[choose_any_target(stage)]


TARGET_SWITCHES = {
    "answers late": {"answer_delay": {"seconds": 3.0, "ratio": 0.1}},
    "answers twice": {"answer_twice": {"ratio": 0.2}},
    "answers cut": {"answer_cut": {"ratio": 0.1}},
    "answers long": {"answer_long": {"ratio": 0.1}},
    "target sheds": {"shed": {"ratio": 0.3}},
    "target slow": {"slow_factor": 8.0},
    "load endpoint wrong": {"load": {"state": "draining", "load": 9.0}},
}
TABLE_SWITCHES = {
    "table down": {"down": "refuse"},
    "table in error": {"down": "error"},
    "table slow": {"delay": 0.3},
    "answers of the table lost": {"lose_answers": {"ratio": 0.4}},
}
for switch, switches_of_fault in TARGET_SWITCHES.items():
    register_switch_fault(switch, switches_of_fault, choose_target_process)
for switch, switches_of_fault in TABLE_SWITCHES.items():
    register_switch_fault(switch, switches_of_fault, get_table_process)


@faults.register("target killed")
async def kill_target(stage: staging.Stage):
    """Kill a target; `measures.restart_ended_targets` restarts it."""
    await choose_target_process(stage).kill()
    return repair_nothing


@faults.register("crashing request")
async def send_crashing(stage: staging.Stage):
    """Send a request that crashes its target three times."""
    plan = requests.find_call_plan(stage, stage.random.choice(("due", "booking")))
    key = f"{crashing_requests.CRASH_MARKER}-{stage.random.getrandbits(32)}"
    for _ in range(3):
        await stage.caller.send_attempt(plan, key, stage.caller.make_id(plan.kind))
    return repair_nothing


@faults.register("target paused")
async def pause_target(stage: staging.Stage):
    """Pause a target."""
    process = stage.fleet.targets[choose_any_target(stage)]
    process.freeze()

    async def repair():
        process.resume()

    return repair


@faults.register("entry process killed")
async def kill_entry(stage: staging.Stage):
    """Kill an entry process; its repair starts another one with the same name."""
    name = choose_replaceable_entry(stage)
    if not name:
        return repair_nothing
    await stage.fleet.entries[name].process.kill()

    async def repair():
        await stage.fleet.start_entry(int(name.removeprefix("entry-")))

    return repair


@faults.register("entry process paused")
async def pause_entry(stage: staging.Stage):
    """Pause an entry process."""
    name = choose_replaceable_entry(stage)
    if not name:
        return repair_nothing
    process = stage.fleet.entries[name].process
    process.freeze()

    async def repair():
        process.resume()

    return repair


@faults.register("entry process replaced")
async def replace_entry(stage: staging.Stage):
    """Stop an entry process as planned; repair starts another with its name."""
    name = choose_replaceable_entry(stage)
    if not name:
        return repair_nothing
    stage.fleet.remove_from_balancer(name)
    stopping = asyncio.ensure_future(
        stage.fleet.entries[name].process.terminate(REPAIR_TIMEOUT_SECONDS)
    )

    async def repair():
        code = await stopping
        if code is None:
            stage.problems.append(
                f"{name} did not stop within {REPAIR_TIMEOUT_SECONDS:.0f} s"
            )
        await stage.fleet.start_entry(int(name.removeprefix("entry-")))

    return repair


@faults.register("data centre cut off")
async def cut_data_centre(stage: staging.Stage):
    """Cut a data centre off from the others and from the platform."""
    fleet = stage.fleet
    data_centre_to_cut = stage.random.choice(fleet.deployment.data_centres)
    with contextlib.suppress(exceptions.UnwrapFailedError):
        await fleet.cut_data_centre(data_centre_to_cut)
    return lambda: retry_change(fleet.heal)


async def apply_change(stage: staging.Stage) -> configurations.Order:
    """Apply a configuration in which one random target is draining."""
    number = stage.measures.get(ORDERED_MEASURE, 0) + 1
    stage.measures[ORDERED_MEASURE] = number
    draining = stage.random.sample(sorted(stage.fleet.targets), 1)
    marker_weight = 1.0 + MARKER_WEIGHT_STEP * number
    order = await configurations.apply_with_marker(
        stage, marker_weight, draining=draining
    )
    names = {
        configurations.APPLIED_EXIT_CODE: ACKNOWLEDGED_MEASURE,
        configurations.LOST_RACE_EXIT_CODE: RACES_LOST_MEASURE,
    }
    if name := names.get(order.code):
        stage.measures[name] = stage.measures.get(name, 0) + 1
    return order


async def apply_changes(stage: staging.Stage, operators: int) -> None:
    """Let operators race; a later check compares their results with the table."""
    orders = await asyncio.gather(*(apply_change(stage) for _ in range(operators)))
    stage.checks.append(
        lambda calls, runs: configurations.find_broken_orders(stage, orders)
    )


@faults.register("configuration changed")
async def change_configuration(stage: staging.Stage):
    """Apply the next revision."""
    await apply_changes(stage, 1)
    return repair_nothing


@faults.register("operators race")
async def race_operators(stage: staging.Stage):
    """Let operators apply different configurations concurrently.

    The table is slow meanwhile, so that the commands overlap.
    """
    table = stage.fleet.table_process
    slow = {"delay": configurations.RACE_TABLE_DELAY_SECONDS}
    await stage.fleet.set_faults(table, slow)
    await apply_changes(stage, OPERATOR_COUNT)

    async def repair():
        await stage.fleet.set_faults(table, {"delay": None})

    return repair


async def run_fault(stage: staging.Stage, name: str, seconds: float) -> None:
    """Cause a fault, wait and repair it."""
    count = stage.measures.get(f"fault: {name}", 0)
    stage.measures[f"fault: {name}"] = count + 1
    repair = await faults.get(name)(stage)
    await asyncio.sleep(seconds)
    await repair()


@staging.scenario(
    "soak",
    rate=120,
    entries=9,
    crash_marker=crashing_requests.CRASH_MARKER,
    unfenced=UNFENCED_TARGETS,
    change_deployment=deployment_changes.mix_deduplication,
)
async def run_all_faults(stage: staging.Stage) -> None:
    """Cause random, partly overlapping faults while all bad callers are active."""
    bad_requests = [
        asyncio.ensure_future(
            caller_faults.send_bad_requests_until_cancelled(stage, name)
        )
        for name in caller_faults.bad_callers
    ]
    await cause_faults(stage)
    for task in bad_requests:
        task.cancel()
    for ended in await asyncio.gather(*bad_requests, return_exceptions=True):
        if not isinstance(ended, asyncio.CancelledError):
            stage.problems.append(f"a bad caller failed: {ended!r}")
    if not stage.measures.get(ACKNOWLEDGED_MEASURE):
        stage.violations.append(promises.NotPressed("no order was acknowledged"))
    await check_repaired(stage)


async def cause_faults(stage: staging.Stage) -> None:
    """Cause and repair random faults for `stage.seconds`."""
    loop = asyncio.get_running_loop()
    end = loop.time() + stage.seconds
    running_faults: set[asyncio.Task] = set()
    async with measures.restart_ended_targets(stage, RESTART_PAUSE_SECONDS):
        while loop.time() < end:
            name = stage.random.choice(list(faults))
            seconds = stage.random.uniform(0.2, MAX_FAULT_SECONDS)
            stage.print_line(f"{name} for {seconds:.1f} s")
            task = asyncio.ensure_future(run_fault(stage, name, seconds))
            running_faults.add(task)
            if stage.random.random() < OVERLAP_PROBABILITY:
                await asyncio.sleep(stage.random.uniform(0.0, MAX_PAUSE_SECONDS))
                running_faults = {task for task in running_faults if not task.done()}
                continue
            await asyncio.gather(*running_faults)
            running_faults = set()
            await asyncio.sleep(stage.random.uniform(0.0, MAX_PAUSE_SECONDS))
        await asyncio.gather(*running_faults)
        await asyncio.sleep(5.0)


async def check_repaired(stage: staging.Stage) -> None:
    """Require that all keys are served after all faults were repaired."""
    try:
        await stage.fleet.wait_ready(REPAIR_TIMEOUT_SECONDS)
    except fleets.NotReadyError as error:
        detail = f"keys remain unserved after repair: {error}"
        stage.violations.append(promises.NotPressed(detail))
