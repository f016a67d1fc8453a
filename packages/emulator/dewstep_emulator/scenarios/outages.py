"""Unreachable or slow table service, lost answers, and separated data centres."""

import asyncio
import datetime

from dewstep_emulator import history, promises
from dewstep_emulator.scenarios import deployment_changes, measures, requests, staging


@staging.scenario("table-down")
async def take_table_down(stage: staging.Stage) -> None:
    """Refuse all calls to the table; meanwhile kill one target and restart another."""
    fleet = stage.fleet
    await fleet.set_faults(fleet.table_process, {"down": "refuse"})
    await asyncio.sleep(2.0)
    await fleet.targets[measures.choose_target(stage, "history")].kill()
    await fleet.restart_target(measures.choose_target(stage, "history"))
    await asyncio.sleep(3.0)
    await fleet.set_faults(fleet.table_process, {"down": ""})
    await asyncio.sleep(3.0)


@staging.scenario("table-slow")
async def delay_table_calls(stage: staging.Stage) -> None:
    """Delay each call to the table by most of its client's timeout."""
    fleet = stage.fleet
    await fleet.set_faults(fleet.table_process, {"delay": 0.3})
    await fleet.targets[measures.choose_target(stage, "booker")].kill()
    await asyncio.sleep(4.0)
    await fleet.set_faults(fleet.table_process, {"delay": None})
    await asyncio.sleep(1.0)


@staging.scenario("answers-lost")
async def lose_answers(stage: staging.Stage) -> None:
    """Lose the answers to a third of the table writes while owners change."""
    fleet = stage.fleet
    faults = {"lose_answers": {"ratio": 0.33, "seed": stage.random.randrange(1000)}}
    await fleet.set_faults(fleet.table_process, faults)
    await asyncio.sleep(1.0)
    await fleet.targets[measures.choose_target(stage, "booker")].kill()
    await asyncio.sleep(2.0)
    entry = await measures.find_gate(stage, measures.choose_target(stage, "booker"))
    await entry.process.kill()
    await asyncio.sleep(3.0)
    await fleet.set_faults(fleet.table_process, {"lose_answers": None})


@staging.scenario("data-centre-cut-off")
async def cut_data_centre(stage: staging.Stage) -> None:
    """Cut a data centre off from the others and from the platform."""
    fleet = stage.fleet
    await fleet.cut_data_centre(fleet.deployment.data_centres[0])
    await asyncio.sleep(5.0)
    await fleet.heal()
    await asyncio.sleep(2.0)


@staging.scenario("table-down-new-entry")
async def start_in_outage(stage: staging.Stage) -> None:
    """Start an entry process in a table outage; it forwards with data from peers."""
    fleet = stage.fleet
    await fleet.set_faults(fleet.table_process, {"down": "refuse"})
    await asyncio.sleep(1.0)
    number = len(fleet.entries)
    entry = await fleet.start_entry(number)
    target = measures.choose_target(stage, "history")
    key = f"outage-{number}"
    began = asyncio.get_running_loop().time()
    plan = requests.find_call_plan(stage, "due")
    while True:
        call, _ = await stage.caller.send_attempt(
            plan, key, stage.caller.make_id(plan.kind), address=entry.callers
        )
        elapsed = asyncio.get_running_loop().time() - began
        if call.outcome == history.ANSWERED or elapsed > measures.PROBE_TIMEOUT_SECONDS:
            break
        await asyncio.sleep(measures.POLL_INTERVAL_SECONDS)
    stage.measures["forwards after the start"] = elapsed
    if elapsed > measures.RESTORED_LIMIT_SECONDS:
        late = promises.ServedLate(
            "new process", elapsed, measures.RESTORED_LIMIT_SECONDS
        )
        stage.violations.append(late)
    await fleet.targets[target].kill()
    await asyncio.sleep(2.0)
    await fleet.set_faults(fleet.table_process, {"down": ""})
    await asyncio.sleep(3.0)


@staging.scenario(
    "short-horizon",
    forbid_unknown_outcomes=True,
    rate=60,
    change_deployment=deployment_changes.set_outage_horizon(
        datetime.timedelta(seconds=5)
    ),
)
async def serve_with_short_horizon(stage: staging.Stage) -> None:
    """Serve for longer than a short outage horizon while the table is available.

    Gates must read their rows often enough that the horizon never expires.
    """
    stage.checks.append(
        lambda calls, runs: promises.find_unserved(calls, lambda call: True)
    )
    await asyncio.sleep(12.0)
