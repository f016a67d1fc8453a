"""Requests that scenario scripts send in addition to the load."""

import asyncio
from collections.abc import Sequence

from dewstep_core import settings
from dewstep_emulator import deployments, history
from dewstep_emulator.scenarios import measures, staging


def find_call_plan(stage: staging.Stage, kind: str) -> deployments.CallPlan:
    """Return the call plan of a request kind."""
    call_plans = deployments.plan_calls(stage.fleet.deployment)
    return next(plan for plan in call_plans if plan.kind.name == kind)


async def find_keys(
    stage: staging.Stage, service: str, target: str, count: int, prefix: str
) -> list[str]:
    """Return keys owned by `target`; `prefix` keeps them distinct between rounds."""
    found = [
        await measures.find_key(stage, service, target, f"{prefix}-{number}")
        for number in range(count)
    ]
    return found


async def send_all(
    stage: staging.Stage,
    plan: deployments.CallPlan,
    keys: Sequence[str],
    ids: Sequence[str],
    address: settings.Address | None = None,
) -> list[history.Call]:
    """Send one request per key concurrently and return the recorded calls."""
    sent = await asyncio.gather(
        *(
            stage.caller.send_attempt(plan, key, request_id, address=address)
            for key, request_id in zip(keys, ids, strict=True)
        )
    )
    return [call for call, _ in sent]


async def send_repeatedly(
    stage: staging.Stage,
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
            entry = stage.random.choice(measures.list_serving_entries(stage))
            call = stage.caller.send_attempt(
                plan, key, request_id, address=entry.callers
            )
            tasks.append(asyncio.ensure_future(call))
        await asyncio.sleep(pause)
    await asyncio.gather(*tasks)
