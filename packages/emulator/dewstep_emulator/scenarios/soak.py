"""Soak test: random faults from one seed, in sequence and overlapping."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from returns.primitives import exceptions

from dewstep_core import registry
from dewstep_emulator import fleets, processes, promises
from dewstep_emulator.scenarios import (
    caller_faults,
    configurations,
    crashing_requests,
    deployment_changes,
    measures,
    requests,
    scenario_runs,
)

Fault = Callable[[scenario_runs.ScenarioRun], Awaitable[Callable[[], Awaitable[None]]]]
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


def choose_replaceable_entry(scenario_run: scenario_runs.ScenarioRun) -> str:
    """Return a serving entry process that is not the last of its data centre.

    Returns an empty string if there is none.
    """
    serving = measures.list_serving_entries(scenario_run)
    counts: dict[str, int] = {}
    for entry in serving:
        counts[entry.data_centre] = counts.get(entry.data_centre, 0) + 1
    usable = [entry.name for entry in serving if counts[entry.data_centre] > 1]
    return scenario_run.random.choice(sorted(usable)) if usable else ""


def choose_any_target(scenario_run: scenario_runs.ScenarioRun) -> str:
    """Return the name of a random running target of any service."""
    names = [
        name
        for name, process in scenario_run.fleet.targets.items()
        if process.is_running() and not process.frozen
    ]
    return scenario_run.random.choice(sorted(names))


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
    name: str,
    switches: dict,
    choose: Callable[[scenario_runs.ScenarioRun], processes.Process],
) -> None:
    """Register the fault that sets fault switches of an emulated process for a time."""

    @faults.register(name)
    async def cause(scenario_run: scenario_runs.ScenarioRun):
        process = choose(scenario_run)

        async def change(switches: dict) -> None:
            if process.is_running():
                await scenario_run.fleet.set_faults(process, switches)

        await retry_change(lambda: change(switches))
        ended = dict.fromkeys(switches)
        return lambda: retry_change(lambda: change(ended))


def get_table_process(scenario_run: scenario_runs.ScenarioRun) -> processes.Process:
    """Return the process of the table service."""
    return scenario_run.fleet.table_process


def choose_target_process(scenario_run: scenario_runs.ScenarioRun) -> processes.Process:
    """Return the process of a random running target."""
    return scenario_run.fleet.targets[choose_any_target(scenario_run)]


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
async def kill_target(scenario_run: scenario_runs.ScenarioRun):
    """Kill a target; `measures.restart_ended_targets` restarts it."""
    await choose_target_process(scenario_run).kill()
    return repair_nothing


@faults.register("crashing request")
async def send_crashing(scenario_run: scenario_runs.ScenarioRun):
    """Send a request that crashes its target three times."""
    plan = requests.find_call_plan(
        scenario_run, scenario_run.random.choice(("due", "booking"))
    )
    key = f"{crashing_requests.CRASH_MARKER}-{scenario_run.random.getrandbits(32)}"
    for _ in range(3):
        await scenario_run.caller.send_attempt(
            plan, key, scenario_run.caller.make_request_id(plan.kind)
        )
    return repair_nothing


@faults.register("target paused")
async def pause_target(scenario_run: scenario_runs.ScenarioRun):
    """Pause a target."""
    process = scenario_run.fleet.targets[choose_any_target(scenario_run)]
    process.freeze()

    async def repair():
        process.resume()

    return repair


@faults.register("entry process killed")
async def kill_entry(scenario_run: scenario_runs.ScenarioRun):
    """Kill an entry process; its repair starts another one with the same name."""
    name = choose_replaceable_entry(scenario_run)
    if not name:
        return repair_nothing
    await scenario_run.fleet.entries[name].process.kill()

    async def repair():
        await scenario_run.fleet.start_entry(int(name.removeprefix("entry-")))

    return repair


@faults.register("entry process paused")
async def pause_entry(scenario_run: scenario_runs.ScenarioRun):
    """Pause an entry process."""
    name = choose_replaceable_entry(scenario_run)
    if not name:
        return repair_nothing
    process = scenario_run.fleet.entries[name].process
    process.freeze()

    async def repair():
        process.resume()

    return repair


@faults.register("entry process replaced")
async def replace_entry(scenario_run: scenario_runs.ScenarioRun):
    """Stop an entry process as planned; repair starts another with its name."""
    name = choose_replaceable_entry(scenario_run)
    if not name:
        return repair_nothing
    scenario_run.fleet.remove_from_balancer(name)
    stopping = asyncio.ensure_future(
        scenario_run.fleet.entries[name].process.terminate(REPAIR_TIMEOUT_SECONDS)
    )

    async def repair():
        code = await stopping
        if code is None:
            scenario_run.problems.append(
                f"{name} did not stop within {REPAIR_TIMEOUT_SECONDS:.0f} s"
            )
        await scenario_run.fleet.start_entry(int(name.removeprefix("entry-")))

    return repair


@faults.register("data centre cut off")
async def cut_data_centre(scenario_run: scenario_runs.ScenarioRun):
    """Cut a data centre off from the others and from the platform."""
    fleet = scenario_run.fleet
    data_centre_to_cut = scenario_run.random.choice(fleet.deployment.data_centres)
    with contextlib.suppress(exceptions.UnwrapFailedError):
        await fleet.cut_data_centre(data_centre_to_cut)
    return lambda: retry_change(fleet.end_cuts)


async def apply_change(scenario_run: scenario_runs.ScenarioRun) -> configurations.Order:
    """Apply a configuration in which one random target is draining."""
    number = scenario_run.measures.get(ORDERED_MEASURE, 0) + 1
    scenario_run.measures[ORDERED_MEASURE] = number
    draining = scenario_run.random.sample(sorted(scenario_run.fleet.targets), 1)
    marker_weight = 1.0 + MARKER_WEIGHT_STEP * number
    order = await configurations.apply_with_marker(
        scenario_run, marker_weight, draining=draining
    )
    names = {
        configurations.APPLIED_EXIT_CODE: ACKNOWLEDGED_MEASURE,
        configurations.LOST_RACE_EXIT_CODE: RACES_LOST_MEASURE,
    }
    if name := names.get(order.code):
        scenario_run.measures[name] = scenario_run.measures.get(name, 0) + 1
    return order


async def apply_changes(
    scenario_run: scenario_runs.ScenarioRun, operators: int
) -> None:
    """Let operators race; a later check compares their results with the table."""
    orders = await asyncio.gather(
        *(apply_change(scenario_run) for _ in range(operators))
    )
    scenario_run.checks.append(
        lambda calls, runs: configurations.find_broken_orders(scenario_run, orders)
    )


@faults.register("configuration changed")
async def change_configuration(scenario_run: scenario_runs.ScenarioRun):
    """Apply the next revision."""
    await apply_changes(scenario_run, 1)
    return repair_nothing


@faults.register("operators race")
async def race_operators(scenario_run: scenario_runs.ScenarioRun):
    """Let operators apply different configurations concurrently.

    The table is slow meanwhile, so that the commands overlap.
    """
    table = scenario_run.fleet.table_process
    slow = {"delay": configurations.RACE_TABLE_DELAY_SECONDS}
    await scenario_run.fleet.set_faults(table, slow)
    await apply_changes(scenario_run, OPERATOR_COUNT)

    async def repair():
        await scenario_run.fleet.set_faults(table, {"delay": None})

    return repair


async def run_fault(
    scenario_run: scenario_runs.ScenarioRun, name: str, seconds: float
) -> None:
    """Cause a fault, wait and repair it."""
    count = scenario_run.measures.get(f"fault: {name}", 0)
    scenario_run.measures[f"fault: {name}"] = count + 1
    repair = await faults.get(name)(scenario_run)
    await asyncio.sleep(seconds)
    await repair()


@scenario_runs.scenario(
    "soak",
    rate=120,
    entries=9,
    crash_marker=crashing_requests.CRASH_MARKER,
    unfenced=UNFENCED_TARGETS,
    change_deployment=deployment_changes.mix_deduplication,
)
async def run_all_faults(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Cause random, partly overlapping faults while all bad callers are active."""
    bad_requests = [
        asyncio.ensure_future(
            caller_faults.send_bad_requests_until_cancelled(scenario_run, name)
        )
        for name in caller_faults.bad_callers
    ]
    await cause_faults(scenario_run)
    for task in bad_requests:
        task.cancel()
    for ended in await asyncio.gather(*bad_requests, return_exceptions=True):
        if not isinstance(ended, asyncio.CancelledError):
            scenario_run.problems.append(f"a bad caller failed: {ended!r}")
    if not scenario_run.measures.get(ACKNOWLEDGED_MEASURE):
        scenario_run.violations.append(
            promises.ConditionNotReached("no order was acknowledged")
        )
    await check_repaired(scenario_run)


async def cause_faults(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Cause and repair random faults for `scenario_run.seconds`."""
    loop = asyncio.get_running_loop()
    end = loop.time() + scenario_run.seconds
    running_faults: set[asyncio.Task] = set()
    async with measures.restart_ended_targets(scenario_run, RESTART_PAUSE_SECONDS):
        while loop.time() < end:
            name = scenario_run.random.choice(list(faults))
            seconds = scenario_run.random.uniform(0.2, MAX_FAULT_SECONDS)
            scenario_run.print_line(f"{name} for {seconds:.1f} s")
            task = asyncio.ensure_future(run_fault(scenario_run, name, seconds))
            running_faults.add(task)
            if scenario_run.random.random() < OVERLAP_PROBABILITY:
                await asyncio.sleep(scenario_run.random.uniform(0.0, MAX_PAUSE_SECONDS))
                running_faults = {task for task in running_faults if not task.done()}
                continue
            await asyncio.gather(*running_faults)
            running_faults = set()
            await asyncio.sleep(scenario_run.random.uniform(0.0, MAX_PAUSE_SECONDS))
        await asyncio.gather(*running_faults)
        await asyncio.sleep(5.0)


async def check_repaired(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Require that all keys are served after all faults were repaired."""
    try:
        await scenario_run.fleet.wait_ready(REPAIR_TIMEOUT_SECONDS)
    except fleets.NotReadyError as error:
        detail = f"keys remain unserved after repair: {error}"
        scenario_run.violations.append(promises.ConditionNotReached(detail))
