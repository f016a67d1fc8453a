"""Answers that come late, twice, in part, or longer than announced."""

import asyncio

from dewstep_emulator.scenarios import staging


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
