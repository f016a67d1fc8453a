"""Answers that come late, twice, in part, or longer than announced."""

import asyncio

from dewstep_emulator.scenarios import staging

OVERDUE_SECONDS = 2.3
"""Just above the deadline of look-ups (2 s)."""


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
    """Let many answers come just after the deadlines of their requests."""
    for process in stage.fleet.targets.values():
        late = {"answer_delay": {"seconds": OVERDUE_SECONDS, "ratio": 0.2}}
        await stage.fleet.set_faults(process, late)
    await asyncio.sleep(6.0)
    for process in stage.fleet.targets.values():
        await stage.fleet.set_faults(process, {"answer_delay": None})
    await asyncio.sleep(1.0)
