"""Targets that check no grants (rule G8): what is promised without a fence.

Promised: a successor sends nothing before the horizon of the lost gate has passed,
unless that gate released the target or an operator declared it dead. Not promised: a
request that a paused gate had passed to the kernel may run later.
"""

import asyncio
from typing import NamedTuple

from dewstep_emulator import history
from dewstep_emulator.scenarios import measures, plans, requests, staging

HORIZON = plans.UNFENCED_HORIZON
TARGETS = frozenset({"booker-0", "booker-1"})
TARGET = "booker-0"
AFTER_HORIZON = 4.0
"""Seconds after the horizon in which the target must be served again."""
RELEASED_LIMIT = 2.0
DECLARED_LIMIT = 4.0
"""An operator's declaration is looked for every 2 s."""


class EarlySuccessor(NamedTuple):
    """A successor sent to an unfenced target within its predecessor's horizon."""

    target: str
    term: int
    seconds: float


class LateSuccessor(NamedTuple):
    """An unfenced target was not served again in time."""

    target: str
    limit: float


def compute_gap(
    runs: tuple[history.Run, ...], since: float
) -> tuple[history.Run | None, float]:
    """Return the first run under a newer term after `since`, and its delay."""
    moment = history.parse_time(since)
    at_target = [run for run in runs if run.target == TARGET]
    before = max((run.term for run in at_target if run.start <= moment), default=0)
    for run in sorted(at_target, key=lambda run: run.start):
        if run.start > moment and run.term > before:
            return run, (run.start - moment).total_seconds()
    return None, 0.0


def check_gap(
    stage: staging.Stage, name: str, since: float, least: float, most: float
) -> None:
    """Require that the successor's first run lies between two delays."""

    def check(calls, runs):
        run, gap = compute_gap(runs, since)
        stage.measures[name] = gap
        if run is None or gap > most:
            yield LateSuccessor(TARGET, most)
        elif gap < least:
            yield EarlySuccessor(TARGET, run.term, gap)

    stage.checks.append(check)


async def keep_asking(stage: staging.Stage, seconds: float) -> None:
    """Send bookings for keys of the target, so that its gate shows in its log."""
    plan = requests.find_plan(stage, "booking")
    keys = await requests.find_keys(stage, "booker", TARGET, 4, "asked")
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        ids = [stage.caller.make_id(plan.kind) for _ in keys]
        asyncio.ensure_future(requests.send_all(stage, plan, keys, ids))
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)


def plan_unfenced(name: str, **options):
    """Register a scenario whose bookers take no grants."""
    return staging.scenario(
        name,
        rate=60,
        unfenced=TARGETS,
        plan=plans.shorten_horizon(HORIZON),
        **options,
    )


@plan_unfenced("unfenced-gate-killed")
async def kill_gate(stage: staging.Stage) -> None:
    """Kill the gate of an unfenced target; its successor waits for the horizon."""
    gate = await measures.find_gate(stage, TARGET)
    await gate.process.kill()
    since = asyncio.get_running_loop().time()
    horizon = HORIZON.total_seconds()
    check_gap(stage, "successor's first run", since, horizon, horizon + AFTER_HORIZON)
    await keep_asking(stage, horizon + AFTER_HORIZON)


@plan_unfenced("unfenced-gate-paused")
async def pause_gate(stage: staging.Stage) -> None:
    """Pause the gate beyond its horizon, with requests in its sockets."""
    gate = await measures.find_gate(stage, TARGET)
    plan = requests.find_plan(stage, "booking")
    gate.process.freeze()
    since = asyncio.get_running_loop().time()
    horizon = HORIZON.total_seconds()
    check_gap(stage, "successor's first run", since, horizon, horizon + AFTER_HORIZON)
    asking = asyncio.ensure_future(keep_asking(stage, horizon + AFTER_HORIZON + 1.0))
    await asyncio.sleep(horizon + 2.5)
    keys = await requests.find_keys(stage, "booker", TARGET, 20, "late")
    ids = [stage.caller.make_id(plan.kind) for _ in keys]
    late = asyncio.ensure_future(
        requests.send_all(stage, plan, keys, ids, gate.callers)
    )
    await asyncio.sleep(0.5)
    gate.process.resume()
    await asyncio.gather(late, asking)


@plan_unfenced("unfenced-gate-released", planned=True)
async def release_gate(stage: staging.Stage) -> None:
    """Stop the gate as planned; its successor starts without the horizon."""
    gate = await measures.find_gate(stage, TARGET)
    stage.fleet.remove_from_balancer(gate.name)
    asking = asyncio.ensure_future(keep_asking(stage, 3.0))
    since = asyncio.get_running_loop().time()
    code = await gate.process.terminate(20.0)
    if code != 0:
        stage.problems.append(f"{gate.name} stopped with exit code {code}")
    check_gap(stage, "successor's first run", since, 0.0, RELEASED_LIMIT)
    await asking


@plan_unfenced("unfenced-gate-declared-dead")
async def declare_gate(stage: staging.Stage) -> None:
    """Kill the gate and declare it dead; its successor then starts at once."""
    gate = await measures.find_gate(stage, TARGET)
    await gate.process.kill()
    asking = asyncio.ensure_future(keep_asking(stage, 7.0))
    await asyncio.sleep(2.0)
    since = asyncio.get_running_loop().time()
    await stage.fleet.declare_dead(TARGET)
    check_gap(stage, "first run after the declaration", since, 0.0, DECLARED_LIMIT)
    await asking
