"""Requests that scenario scripts send in addition to the load."""

import asyncio
from collections.abc import Sequence

from dewstep_core import settings
from dewstep_emulator import deployments, history
from dewstep_emulator.scenarios import measures, scenario_runs


def find_call_plan(
    scenario_run: scenario_runs.ScenarioRun, kind: str
) -> deployments.CallPlan:
    """Return the call plan of a request kind."""
    call_plans = deployments.plan_calls(scenario_run.fleet.deployment)
    return next(plan for plan in call_plans if plan.kind.name == kind)


async def find_keys(
    scenario_run: scenario_runs.ScenarioRun,
    service: str,
    target: str,
    count: int,
    prefix: str,
) -> list[str]:
    """Return keys owned by `target`; `prefix` keeps them distinct between rounds."""
    found = [
        await measures.find_key(scenario_run, service, target, f"{prefix}-{number}")
        for number in range(count)
    ]
    return found


async def send_all(
    scenario_run: scenario_runs.ScenarioRun,
    plan: deployments.CallPlan,
    keys: Sequence[str],
    ids: Sequence[str],
    address: settings.Address | None = None,
) -> list[history.Call]:
    """Send one request per key concurrently and return the recorded calls."""
    sent = await asyncio.gather(
        *(
            scenario_run.caller.send_attempt(plan, key, request_id, address=address)
            for key, request_id in zip(keys, ids, strict=True)
        )
    )
    return [call for call, _ in sent]


async def send_repeatedly(
    scenario_run: scenario_runs.ScenarioRun,
    plan: deployments.CallPlan,
    keys: Sequence[str],
    ids: Sequence[str],
    seconds: float,
    pause: float = 0.1,
) -> None:
    """Resend the same requests every `pause` s, each to a random entry process."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks = []
    while loop.time() < end:
        for key, request_id in zip(keys, ids, strict=True):
            entry = scenario_run.random.choice(
                measures.list_serving_entries(scenario_run)
            )
            call = scenario_run.caller.send_attempt(
                plan, key, request_id, address=entry.callers
            )
            tasks.append(asyncio.ensure_future(call))
        await asyncio.sleep(pause)
    await asyncio.gather(*tasks)
