"""All faults at random from one seed, one after another and together."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from returns.primitives import exceptions

from dewstep_core import registry
from dewstep_emulator import fleet as fleets, processes, promises
from dewstep_emulator.scenarios import (
    callers,
    configurations,
    crashes,
    measures,
    plans,
    requests,
    staging,
)

Fault = Callable[[staging.Stage], Awaitable[Callable[[], Awaitable[None]]]]
"""Causes a fault and returns what repairs it."""

faults: registry.Registry[Fault] = registry.Registry("soak fault")
LONGEST_FAULT = 2.5
LONGEST_PAUSE = 1.0
TOGETHER = 0.4
"""Probability that a fault begins while the one before it still lasts."""
REPAIR_SECONDS = 30.0
PATIENT_TRIES = 20
RESTART_PAUSE = 1.5
UNFENCED = frozenset({"booker-1"})
OPERATORS = 3
MARK_STEP = 0.001
"""Difference of the weights that tell configurations from each other; it is small, so
that they all serve alike."""
ORDERED = "orders of operators"
ACKNOWLEDGED = "acknowledged orders"
RACES_LOST = "races lost"


def choose_process(stage: staging.Stage) -> str:
    """Return an entry process that runs, never the last of a data centre."""
    serving = measures.list_serving(stage)
    counts: dict[str, int] = {}
    for entry in serving:
        counts[entry.data_centre] = counts.get(entry.data_centre, 0) + 1
    usable = [entry.name for entry in serving if counts[entry.data_centre] > 1]
    return stage.random.choice(sorted(usable)) if usable else ""


def choose_any_target(stage: staging.Stage) -> str:
    """Return a target that runs, of any service."""
    names = [
        name
        for name, process in stage.fleet.targets.items()
        if process.is_running() and not process.frozen
    ]
    return stage.random.choice(sorted(names))


async def repair_nothing() -> None:
    """Do nothing: the fault leaves nothing to repair."""


async def try_patiently(change: Callable[[], Awaitable[None]]) -> None:
    """Make a change again until all processes that it concerns have taken it.

    Another fault may have paused or ended one of them for the moment.
    """
    for _ in range(PATIENT_TRIES):
        with contextlib.suppress(exceptions.UnwrapFailedError):
            await change()
            return
        await asyncio.sleep(LONGEST_FAULT / PATIENT_TRIES)


def add_switch(
    name: str, values: dict, choose: Callable[[staging.Stage], processes.Process]
) -> None:
    """Register the fault that sets a switch of a stand-in for a time."""

    @faults.register(name)
    async def cause(stage: staging.Stage):
        process = choose(stage)

        async def change(values: dict) -> None:
            if process.is_running():
                await stage.fleet.set_faults(process, values)

        await try_patiently(lambda: change(values))
        ended = dict.fromkeys(values)
        return lambda: try_patiently(lambda: change(ended))


def get_table(stage: staging.Stage) -> processes.Process:
    """Return the process of the table service."""
    return stage.fleet.table_process


def get_any_target(stage: staging.Stage) -> processes.Process:
    """Return the process of a target that runs."""
    return stage.fleet.targets[choose_any_target(stage)]


TARGET_SWITCHES = {
    "answers late": {"answer_delay": {"seconds": 3.0, "ratio": 0.1}},
    "answers twice": {"answer_twice": {"ratio": 0.2}},
    "answers cut": {"answer_cut": {"ratio": 0.1}},
    "answers long": {"answer_long": {"ratio": 0.1}},
    "target sheds": {"shed": {"ratio": 0.3}},
    "target slow": {"slow_factor": 8.0},
    "load endpoint lies": {"load": {"state": "draining", "load": 9.0}},
}
TABLE_SWITCHES = {
    "table down": {"down": "refuse"},
    "table in error": {"down": "error"},
    "table slow": {"delay": 0.3},
    "answers of the table lost": {"lose_answers": {"ratio": 0.4}},
}
for switch, switch_values in TARGET_SWITCHES.items():
    add_switch(switch, switch_values, get_any_target)
for switch, switch_values in TABLE_SWITCHES.items():
    add_switch(switch, switch_values, get_table)


@faults.register("target killed")
async def kill_target(stage: staging.Stage):
    """Kill a target; `measures.restarting` starts it again."""
    await get_any_target(stage).kill()
    return repair_nothing


@faults.register("crashing request")
async def send_crashing(stage: staging.Stage):
    """Send a request that crashes its target several times."""
    plan = requests.find_plan(stage, stage.random.choice(("due", "booking")))
    key = f"{crashes.MARKER}-{stage.random.getrandbits(32)}"
    for _ in range(3):
        await stage.caller.send(plan, key, stage.caller.make_id(plan.kind))
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
    """Kill an entry process; another one of its name starts."""
    name = choose_process(stage)
    if not name:
        return repair_nothing
    await stage.fleet.entries[name].process.kill()

    async def repair():
        await stage.fleet.start_entry(int(name.removeprefix("entry-")))

    return repair


@faults.register("entry process paused")
async def pause_entry(stage: staging.Stage):
    """Pause an entry process."""
    name = choose_process(stage)
    if not name:
        return repair_nothing
    process = stage.fleet.entries[name].process
    process.freeze()

    async def repair():
        process.resume()

    return repair


@faults.register("entry process replaced")
async def replace_entry(stage: staging.Stage):
    """Stop an entry process as planned; another one of its name starts."""
    name = choose_process(stage)
    if not name:
        return repair_nothing
    stage.fleet.remove_from_balancer(name)
    stopping = asyncio.ensure_future(
        stage.fleet.entries[name].process.terminate(REPAIR_SECONDS)
    )

    async def repair():
        code = await stopping
        if code is None:
            stage.problems.append(f"{name} did not stop")
        await stage.fleet.start_entry(int(name.removeprefix("entry-")))

    return repair


@faults.register("data centre cut off")
async def cut_data_centre(stage: staging.Stage):
    """Separate a data centre from the others and from the platform."""
    fleet = stage.fleet
    centre = stage.random.choice(fleet.deployment.data_centres)
    with contextlib.suppress(exceptions.UnwrapFailedError):
        await fleet.cut_data_centre(centre)
    return lambda: try_patiently(fleet.heal)


async def order_change(stage: staging.Stage) -> configurations.Order:
    """Drain one target and end the draining of all others, as an operator."""
    number = stage.measures.get(ORDERED, 0) + 1
    stage.measures[ORDERED] = number
    draining = stage.random.sample(sorted(stage.fleet.targets), 1)
    value = 1.0 + MARK_STEP * number
    order = await configurations.apply_marked(stage, value, draining=draining)
    names = {configurations.APPLIED: ACKNOWLEDGED, configurations.LOST_RACE: RACES_LOST}
    if name := names.get(order.code):
        stage.measures[name] = stage.measures.get(name, 0) + 1
    return order


async def order_changes(stage: staging.Stage, operators: int) -> None:
    """Let operators race, and compare later what they were told with the table."""
    orders = await asyncio.gather(*(order_change(stage) for _ in range(operators)))
    stage.checks.append(
        lambda calls, runs: configurations.find_broken_orders(stage, orders)
    )


@faults.register("configuration changed")
async def change_configuration(stage: staging.Stage):
    """Put the next revision in force."""
    await order_changes(stage, 1)
    return repair_nothing


@faults.register("operators race")
async def race_operators(stage: staging.Stage):
    """Let operators put different configurations in force at one time.

    The table is slow meanwhile, so that their work overlaps.
    """
    table = stage.fleet.table_process
    slow = {"delay": configurations.RACE_DELAY}
    await stage.fleet.set_faults(table, slow)
    await order_changes(stage, OPERATORS)

    async def repair():
        await stage.fleet.set_faults(table, {"delay": None})

    return repair


async def run_fault(stage: staging.Stage, name: str, seconds: float) -> None:
    """Cause a fault, wait, and repair it."""
    count = stage.measures.get(f"fault: {name}", 0)
    stage.measures[f"fault: {name}"] = count + 1
    repair = await faults.get(name)(stage)
    await asyncio.sleep(seconds)
    await repair()


@staging.scenario(
    "soak",
    rate=120,
    entries=9,
    crash_marker=crashes.MARKER,
    unfenced=UNFENCED,
    plan=plans.use_all_sorts,
)
async def run_all_faults(stage: staging.Stage) -> None:
    """Cause faults at random, also together, beside bad callers of all sorts."""
    abusing = [
        asyncio.ensure_future(callers.abuse_beside_faults(stage, name))
        for name in callers.bad_callers
    ]
    await cause_faults(stage)
    for task in abusing:
        task.cancel()
    for ended in await asyncio.gather(*abusing, return_exceptions=True):
        if not isinstance(ended, asyncio.CancelledError):
            stage.problems.append(f"a bad caller failed: {ended!r}")
    if not stage.measures.get(ACKNOWLEDGED):
        stage.violations.append(promises.NotPressed("no order was acknowledged"))
    await check_repaired(stage)


async def cause_faults(stage: staging.Stage) -> None:
    """Cause and repair faults until the time is over."""
    loop = asyncio.get_running_loop()
    end = loop.time() + stage.seconds
    lasting: set[asyncio.Task] = set()
    async with measures.restarting(stage, RESTART_PAUSE):
        while loop.time() < end:
            name = stage.random.choice(list(faults))
            seconds = stage.random.uniform(0.2, LONGEST_FAULT)
            stage.say(f"{name} for {seconds:.1f} s")
            task = asyncio.ensure_future(run_fault(stage, name, seconds))
            lasting.add(task)
            if stage.random.random() < TOGETHER:
                await asyncio.sleep(stage.random.uniform(0.0, LONGEST_PAUSE))
                lasting = {task for task in lasting if not task.done()}
                continue
            await asyncio.gather(*lasting)
            lasting = set()
            await asyncio.sleep(stage.random.uniform(0.0, LONGEST_PAUSE))
        await asyncio.gather(*lasting)
        await asyncio.sleep(5.0)


async def check_repaired(stage: staging.Stage) -> None:
    """Require that all keys are served once everything has been repaired."""
    try:
        await stage.fleet.wait_ready(REPAIR_SECONDS)
    except fleets.NotReadyError as error:
        detail = f"keys stay unserved after repair: {error}"
        stage.violations.append(promises.NotPressed(detail))
