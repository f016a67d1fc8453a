"""Targets that do not check grants and therefore cannot reject an old gate.

Guaranteed: the next gate sends nothing before the outage horizon of the lost gate has
passed, unless that gate released the target or an operator declared the target dead.
Not guaranteed: a request that a paused gate had already passed to the kernel may run
later.
"""

import asyncio
from typing import NamedTuple

from dewstep_emulator import history
from dewstep_emulator.scenarios import (
    deployment_changes,
    measures,
    requests,
    scenario_runs,
)

OUTAGE_HORIZON = deployment_changes.UNFENCED_HORIZON
TARGETS = frozenset({"booker-0", "booker-1"})
TARGET = "booker-0"
AFTER_HORIZON_LIMIT_SECONDS = 4.0
"""Time after the horizon within which the target must be served again."""
AFTER_RELEASE_LIMIT_SECONDS = 2.0
AFTER_DECLARATION_LIMIT_SECONDS = 4.0
"""Gates check for an operator's declaration every 2 s."""


class EarlySuccessor(NamedTuple):
    """The next gate sent to an unfenced target within the previous gate's horizon."""

    target: str
    term: int
    seconds: float


class LateSuccessor(NamedTuple):
    """An unfenced target was not served again in time."""

    target: str
    limit: float


def find_successor_run(
    runs: tuple[history.Run, ...], since: float
) -> tuple[history.Run | None, float]:
    """Return the first run with a later term after `since`, and its delay."""
    since_time = history.parse_time(since)
    at_target = [run for run in runs if run.target == TARGET]
    latest_term = max(
        (run.term for run in at_target if run.start <= since_time), default=0
    )
    for run in sorted(at_target, key=lambda run: run.start):
        if run.start > since_time and run.term > latest_term:
            return run, (run.start - since_time).total_seconds()
    return None, 0.0


def check_successor_delay(
    scenario_run: scenario_runs.ScenarioRun,
    name: str,
    since: float,
    min_delay: float,
    max_delay: float,
) -> None:
    """Require that the delay of the next gate's first run is within bounds."""

    def check(calls, runs):
        run, delay = find_successor_run(runs, since)
        scenario_run.measures[name] = delay
        if run is None or delay > max_delay:
            yield LateSuccessor(TARGET, max_delay)
        elif delay < min_delay:
            yield EarlySuccessor(TARGET, run.term, delay)

    scenario_run.checks.append(check)


async def send_bookings(
    scenario_run: scenario_runs.ScenarioRun, seconds: float
) -> None:
    """Send bookings for keys of the target, so that its log records the gate's term."""
    plan = requests.find_call_plan(scenario_run, "booking")
    keys = await requests.find_keys(scenario_run, "booker", TARGET, 4, "asked")
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        ids = [scenario_run.caller.make_request_id(plan.kind) for _ in keys]
        asyncio.ensure_future(requests.send_all(scenario_run, plan, keys, ids))
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)


def unfenced_scenario(name: str, **options):
    """Register a scenario in which the targets of `booker` do not check grants."""
    return scenario_runs.scenario(
        name,
        rate=60,
        unfenced=TARGETS,
        change_deployment=deployment_changes.set_outage_horizon(OUTAGE_HORIZON),
        **options,
    )


@unfenced_scenario("unfenced-gate-killed")
async def kill_gate(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Kill the gate of an unfenced target; the next gate waits for the horizon."""
    gate = await measures.find_gate(scenario_run, TARGET)
    await gate.process.kill()
    since = asyncio.get_running_loop().time()
    horizon = OUTAGE_HORIZON.total_seconds()
    check_successor_delay(
        scenario_run,
        "successor's first run",
        since,
        horizon,
        horizon + AFTER_HORIZON_LIMIT_SECONDS,
    )
    await send_bookings(scenario_run, horizon + AFTER_HORIZON_LIMIT_SECONDS)


@unfenced_scenario("unfenced-gate-paused")
async def pause_gate(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Pause the gate beyond its horizon with requests in its sockets."""
    gate = await measures.find_gate(scenario_run, TARGET)
    plan = requests.find_call_plan(scenario_run, "booking")
    gate.process.freeze()
    since = asyncio.get_running_loop().time()
    horizon = OUTAGE_HORIZON.total_seconds()
    check_successor_delay(
        scenario_run,
        "successor's first run",
        since,
        horizon,
        horizon + AFTER_HORIZON_LIMIT_SECONDS,
    )
    sending = asyncio.ensure_future(
        send_bookings(scenario_run, horizon + AFTER_HORIZON_LIMIT_SECONDS + 1.0)
    )
    await asyncio.sleep(horizon + 2.5)
    keys = await requests.find_keys(scenario_run, "booker", TARGET, 20, "late")
    ids = [scenario_run.caller.make_request_id(plan.kind) for _ in keys]
    late = asyncio.ensure_future(
        requests.send_all(scenario_run, plan, keys, ids, gate.callers)
    )
    await asyncio.sleep(0.5)
    gate.process.resume()
    await asyncio.gather(late, sending)


@unfenced_scenario("unfenced-gate-released", forbid_unknown_outcomes=True)
async def release_gate(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Stop the gate as planned; the next gate does not wait for the horizon."""
    gate = await measures.find_gate(scenario_run, TARGET)
    scenario_run.fleet.remove_from_balancer(gate.name)
    sending = asyncio.ensure_future(send_bookings(scenario_run, 3.0))
    since = asyncio.get_running_loop().time()
    code = await gate.process.terminate(20.0)
    if code != 0:
        scenario_run.problems.append(f"{gate.name} stopped with exit code {code}")
    check_successor_delay(
        scenario_run, "successor's first run", since, 0.0, AFTER_RELEASE_LIMIT_SECONDS
    )
    await sending


@unfenced_scenario("unfenced-gate-declared-dead")
async def declare_gate(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Kill the gate and declare the target dead; the next gate then starts at once."""
    gate = await measures.find_gate(scenario_run, TARGET)
    await gate.process.kill()
    sending = asyncio.ensure_future(send_bookings(scenario_run, 7.0))
    await asyncio.sleep(2.0)
    since = asyncio.get_running_loop().time()
    await scenario_run.fleet.declare_dead(TARGET)
    check_successor_delay(
        scenario_run,
        "first run after the declaration",
        since,
        0.0,
        AFTER_DECLARATION_LIMIT_SECONDS,
    )
    await sending
