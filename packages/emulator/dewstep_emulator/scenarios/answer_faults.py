"""Answers that are late, duplicated, truncated or longer than their length header."""

import asyncio

from dewstep_emulator import promises
from dewstep_emulator.scenarios import pauses, requests, scenario_runs

LATE_ANSWER_SECONDS = 2.3
"""Just above the deadline of look-ups."""
LOOK_UP_DEADLINE_SECONDS = 2.0
DEADLINE_FAILURE = "DeadlineExceeded"
LATE_ROUNDS = 3
MIN_OVERDUE_REQUESTS = 6
"""Over all rounds of nine requests. After late answers the concurrency limits of gates
are lower, so that some requests stay queued."""
FOLLOW_UP_INTERVAL_SECONDS = 0.004
"""Each target then gets a look-up about every 10 ms, so that all of its few connections
are used while the late answers arrive."""


@scenario_runs.scenario("late-and-wrong-answers")
async def send_faulty_answers(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Let targets send late, duplicate, truncated or overlong answers."""
    fleet = scenario_run.fleet
    faults = (
        {"answer_delay": {"seconds": 5.0, "ratio": 0.05}},
        {"answer_twice": {"ratio": 0.1}},
        {"answer_cut": {"ratio": 0.1}},
        {"answer_long": {"ratio": 0.1}},
    )
    for name, process in fleet.targets.items():
        await fleet.set_faults(process, scenario_run.random.choice(faults))
        scenario_run.print_line(f"{name} sends faulty answers")
    await asyncio.sleep(5.0)
    for process in fleet.targets.values():
        await fleet.set_faults(
            process,
            {
                "answer_delay": None,
                "answer_twice": None,
                "answer_cut": None,
                "answer_long": None,
            },
        )
    await asyncio.sleep(1.0)


@scenario_runs.scenario("answers-overdue")
async def answer_after_deadline(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Let many answers arrive just after the deadlines of their requests.

    First all at once and followed by other look-ups: if a connection were reused after
    an expired deadline, the late answer would be delivered to one of those. Then at
    random, which also lowers the concurrency limits of the gates.
    """
    overdue = 0
    for round_number in range(LATE_ROUNDS):
        overdue += await send_look_ups_after_deadline(scenario_run, round_number)
    scenario_run.measures["requests overdue in rounds"] = overdue
    if overdue < MIN_OVERDUE_REQUESTS:
        scenario_run.violations.append(
            promises.ConditionNotReached(f"{overdue} requests overdue")
        )
    for process in scenario_run.fleet.targets.values():
        late = {"answer_delay": {"seconds": LATE_ANSWER_SECONDS, "ratio": 0.2}}
        await scenario_run.fleet.set_faults(process, late)
    await asyncio.sleep(6.0)
    for process in scenario_run.fleet.targets.values():
        await scenario_run.fleet.set_faults(process, {"answer_delay": None})
    await asyncio.sleep(1.0)


async def send_look_ups_after_deadline(
    scenario_run: scenario_runs.ScenarioRun, round_number: int
) -> int:
    """Send look-ups to all targets between the deadlines and the late answers.

    Returns how many requests exceeded their deadline.
    """
    fleet = scenario_run.fleet
    names = sorted(set(await fleet.read_owners("history")))
    prefix = f"late-{round_number}"
    # Answers to the load are not delayed: they would occupy the slots that these
    # requests need, and lower the concurrency limits of the gates.
    late = {"answer_delay": {"seconds": LATE_ANSWER_SECONDS, "key_prefix": prefix}}
    keys = []
    for name in names:
        # Leaves one slot for the load, so that no late request is queued.
        count = fleet.deployment.slots - 1
        keys += await requests.find_keys(scenario_run, "history", name, count, prefix)
        await fleet.set_faults(fleet.targets[name], late)
    plan = requests.find_call_plan(scenario_run, "due")
    ids = [scenario_run.caller.make_request_id(plan.kind) for _ in keys]
    began = asyncio.get_running_loop().time()
    waiting = asyncio.ensure_future(requests.send_all(scenario_run, plan, keys, ids))
    await asyncio.sleep(
        began + LOOK_UP_DEADLINE_SECONDS - asyncio.get_running_loop().time()
    )
    # The look-ups that follow have the same keys.
    for name in names:
        await fleet.set_faults(fleet.targets[name], {"answer_delay": None})
    following = asyncio.ensure_future(
        pauses.send_steadily(scenario_run, "vehicle", keys, FOLLOW_UP_INTERVAL_SECONDS)
    )
    await asyncio.sleep(2 * (LATE_ANSWER_SECONDS - LOOK_UP_DEADLINE_SECONDS))
    following.cancel()
    await asyncio.gather(following, return_exceptions=True)
    return sum(call.failure == DEADLINE_FAILURE for call in await waiting)
