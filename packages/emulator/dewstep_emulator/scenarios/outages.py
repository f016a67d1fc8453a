"""Unreachable or slow table service, lost answers, and separated data centres."""

import asyncio
import datetime

from dewstep_emulator import history, promises
from dewstep_emulator.scenarios import (
    deployment_changes,
    measures,
    requests,
    scenario_runs,
)


@scenario_runs.scenario("table-down")
async def take_table_down(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Refuse all calls to the table; meanwhile kill one target and restart another."""
    fleet = scenario_run.fleet
    await fleet.set_faults(fleet.table_process, {"down": "refuse"})
    await asyncio.sleep(2.0)
    await fleet.targets[measures.choose_target(scenario_run, "history")].kill()
    await fleet.restart_target(measures.choose_target(scenario_run, "history"))
    await asyncio.sleep(3.0)
    await fleet.set_faults(fleet.table_process, {"down": ""})
    await asyncio.sleep(3.0)


@scenario_runs.scenario("table-slow")
async def delay_table_calls(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Delay each call to the table by most of its client's timeout."""
    fleet = scenario_run.fleet
    await fleet.set_faults(fleet.table_process, {"delay": 0.3})
    await fleet.targets[measures.choose_target(scenario_run, "booker")].kill()
    await asyncio.sleep(4.0)
    await fleet.set_faults(fleet.table_process, {"delay": None})
    await asyncio.sleep(1.0)


@scenario_runs.scenario("answers-lost")
async def lose_answers(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Lose the answers to a third of the table writes while owners change."""
    fleet = scenario_run.fleet
    faults = {
        "lose_answers": {"ratio": 0.33, "seed": scenario_run.random.randrange(1000)}
    }
    await fleet.set_faults(fleet.table_process, faults)
    await asyncio.sleep(1.0)
    await fleet.targets[measures.choose_target(scenario_run, "booker")].kill()
    await asyncio.sleep(2.0)
    entry = await measures.find_gate(
        scenario_run, measures.choose_target(scenario_run, "booker")
    )
    await entry.process.kill()
    await asyncio.sleep(3.0)
    await fleet.set_faults(fleet.table_process, {"lose_answers": None})


@scenario_runs.scenario("data-centre-cut-off")
async def cut_data_centre(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Cut a data centre off from the others and from the platform."""
    fleet = scenario_run.fleet
    await fleet.cut_data_centre(fleet.deployment.data_centres[0])
    await asyncio.sleep(5.0)
    await fleet.end_cuts()
    await asyncio.sleep(2.0)


@scenario_runs.scenario("table-down-new-entry")
async def start_in_outage(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Start an entry process in a table outage; it forwards with data from peers."""
    fleet = scenario_run.fleet
    await fleet.set_faults(fleet.table_process, {"down": "refuse"})
    await asyncio.sleep(1.0)
    number = len(fleet.entries)
    entry = await fleet.start_entry(number)
    target = measures.choose_target(scenario_run, "history")
    key = f"outage-{number}"
    began = asyncio.get_running_loop().time()
    plan = requests.find_call_plan(scenario_run, "due")
    while True:
        call, _ = await scenario_run.caller.send_attempt(
            plan,
            key,
            scenario_run.caller.make_request_id(plan.kind),
            address=entry.callers,
        )
        elapsed = asyncio.get_running_loop().time() - began
        if call.outcome == history.ANSWERED or elapsed > measures.PROBE_TIMEOUT_SECONDS:
            break
        await asyncio.sleep(measures.POLL_INTERVAL_SECONDS)
    scenario_run.measures["forwards after the start"] = elapsed
    if elapsed > measures.RESTORED_LIMIT_SECONDS:
        late = promises.ServedLate(
            "new process", elapsed, measures.RESTORED_LIMIT_SECONDS
        )
        scenario_run.violations.append(late)
    await fleet.targets[target].kill()
    await asyncio.sleep(2.0)
    await fleet.set_faults(fleet.table_process, {"down": ""})
    await asyncio.sleep(3.0)


@scenario_runs.scenario(
    "short-horizon",
    forbid_unknown_outcomes=True,
    rate=60,
    change_deployment=deployment_changes.set_outage_horizon(
        datetime.timedelta(seconds=5)
    ),
)
async def serve_with_short_horizon(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Serve for longer than a short outage horizon while the table is available.

    Gates must read their rows often enough that the horizon never expires.
    """
    scenario_run.checks.append(
        lambda calls, runs: promises.find_unserved(calls, lambda call: True)
    )
    await asyncio.sleep(12.0)
