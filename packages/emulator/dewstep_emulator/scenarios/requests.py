"""Requests that scripts send beside the load."""

import asyncio
from collections.abc import Sequence

from dewstep_core import settings
from dewstep_emulator import deployments, history
from dewstep_emulator.scenarios import measures, staging


def find_plan(stage: staging.Stage, kind: str) -> deployments.CallPlan:
    """Return the plan of the requests of one kind."""
    plans = deployments.plan_calls(stage.fleet.deployment)
    return next(plan for plan in plans if plan.kind.name == kind)


async def find_keys(
    stage: staging.Stage, service: str, target: str, count: int, prefix: str
) -> list[str]:
    """Return keys of one target that no other round uses."""
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
    """Send one request for each key at one time; return what the callers saw."""
    sent = await asyncio.gather(
        *(
            stage.caller.send(plan, key, request_id, address=address)
            for key, request_id in zip(keys, ids, strict=True)
        )
    )
    return [call for call, _ in sent]


async def send_over_and_over(
    stage: staging.Stage,
    plan: deployments.CallPlan,
    keys: Sequence[str],
    ids: Sequence[str],
    seconds: float,
    pause: float = 0.1,
) -> None:
    """Send the same requests again and again, each time to other entry processes."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks = []
    while loop.time() < end:
        for key, request_id in zip(keys, ids, strict=True):
            entry = stage.random.choice(measures.list_serving(stage))
            work = stage.caller.send(plan, key, request_id, address=entry.callers)
            tasks.append(asyncio.ensure_future(work))
        await asyncio.sleep(pause)
    await asyncio.gather(*tasks)
