"""Answers that come late, twice, in part, or longer than announced."""

import asyncio

from dewstep_emulator import promises
from dewstep_emulator.scenarios import pauses, requests, staging

OVERDUE_SECONDS = 2.3
"""Just above the deadline of look-ups (2 s)."""
DEADLINE = 2.0
"""Of look-ups, in seconds."""
OVERDUE = "DeadlineExceeded"
LATE_ROUNDS = 3
LEAST_OVERDUE = 6
"""Of the nine requests of each round; a gate holds some back after late answers."""
SENT_AFTER = 0.1
"""Seconds until the late requests have reached their targets."""
REUSE_INTERVAL = 0.004
"""Seconds between the look-ups that follow; a target gets one in about 10 ms, so that
they use each of its few connections while the late answers are on their way."""


@staging.scenario("late-and-wrong-answers")
async def spoil_answers(stage: staging.Stage) -> None:
    """Let targets answer late, twice, in part, or more than they announced."""
    fleet = stage.fleet
    faults = (
        {"answer_delay": {"seconds": 5.0, "ratio": 0.05}},
        {"answer_twice": {"ratio": 0.1}},
        {"answer_cut": {"ratio": 0.1}},
        {"answer_long": {"ratio": 0.1}},
    )
    for name, process in fleet.targets.items():
        await fleet.set_faults(process, stage.random.choice(faults))
        stage.say(f"{name} spoils answers")
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


@staging.scenario("answers-overdue")
async def answer_too_late(stage: staging.Stage) -> None:
    """Let many answers come just after the deadlines of their requests.

    First all at one moment, when other look-ups follow at once: a connection that was
    used again would carry the late answer to one of those. Then at random, which also
    makes gates send fewer requests at a time.
    """
    overdue = 0
    for number in range(LATE_ROUNDS):
        overdue += await follow_late_answers(stage, number)
    stage.measures["requests overdue in rounds"] = overdue
    if overdue < LEAST_OVERDUE:
        stage.violations.append(promises.NotPressed(f"{overdue} requests overdue"))
    for process in stage.fleet.targets.values():
        late = {"answer_delay": {"seconds": OVERDUE_SECONDS, "ratio": 0.2}}
        await stage.fleet.set_faults(process, late)
    await asyncio.sleep(6.0)
    for process in stage.fleet.targets.values():
        await stage.fleet.set_faults(process, {"answer_delay": None})
    await asyncio.sleep(1.0)


async def follow_late_answers(stage: staging.Stage, number: int) -> int:
    """Send look-ups to all targets of a service between deadlines and late answers.

    Returns how many requests were overdue.
    """
    fleet = stage.fleet
    names = sorted(set(await fleet.read_owners("history")))
    keys = []
    for name in names:
        # One slot is left for the load, so that no late request has to wait.
        count = fleet.deployment.slots - 1
        prefix = f"late-{number}"
        keys += await requests.find_keys(stage, "history", name, count, prefix)
        late = {"answer_delay": {"seconds": OVERDUE_SECONDS}}
        await fleet.set_faults(fleet.targets[name], late)
    plan = requests.find_plan(stage, "due")
    ids = [stage.caller.make_id(plan.kind) for _ in keys]
    began = asyncio.get_running_loop().time()
    waiting = asyncio.ensure_future(requests.send_all(stage, plan, keys, ids))
    await asyncio.sleep(SENT_AFTER)
    for name in names:
        await fleet.set_faults(fleet.targets[name], {"answer_delay": None})
    await asyncio.sleep(began + DEADLINE - asyncio.get_running_loop().time())
    following = asyncio.ensure_future(
        pauses.send_steadily(stage, "vehicle", keys, REUSE_INTERVAL)
    )
    await asyncio.sleep(2 * (OVERDUE_SECONDS - DEADLINE))
    following.cancel()
    await asyncio.gather(following, return_exceptions=True)
    return sum(call.failure == OVERDUE for call in await waiting)
