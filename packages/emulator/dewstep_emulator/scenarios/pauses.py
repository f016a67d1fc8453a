"""Processes that are paused while requests wait in their sockets."""

import asyncio

from dewstep_emulator import promises
from dewstep_emulator.scenarios import measures, requests, staging

GATE_PAUSES = (0.3, 0.7, 1.6)
"""Seconds; below, around and beyond the lifetime of a grant (0.6 s)."""
TARGET_PAUSES = (0.9, 1.1, 1.3, 1.5)
"""Seconds; beyond the move of the target's shards, within the requests' deadlines."""
HOT_KEYS = 12
SEND_INTERVAL = 0.02
TAIL_SECONDS = 0.8


@staging.scenario("gate-paused-with-requests")
async def pause_gate(stage: staging.Stage) -> None:
    """Pause a gate while requests wait in its sockets that others get, too."""
    for number, pause in enumerate(GATE_PAUSES):
        target = measures.choose_target(stage, "booker")
        gate = await measures.find_gate(stage, target)
        plan = requests.find_plan(stage, "booking")
        keys = await requests.find_keys(stage, "booker", target, 20, f"pause-{number}")
        ids = [stage.caller.make_id(plan.kind) for _ in keys]
        gate.process.freeze()
        waiting = asyncio.ensure_future(
            requests.send_all(stage, plan, keys, ids, gate.callers)
        )
        others = asyncio.ensure_future(
            requests.send_over_and_over(stage, plan, keys, ids, pause + TAIL_SECONDS)
        )
        await asyncio.sleep(pause)
        gate.process.resume()
        await asyncio.gather(waiting, others)


async def send_steadily(stage: staging.Stage, kind: str, keys: list[str]) -> None:
    """Send requests for hot keys until cancelled."""
    plan = requests.find_plan(stage, kind)
    tasks: set[asyncio.Task] = set()
    try:
        while True:
            key = stage.random.choice(keys)
            task = asyncio.ensure_future(stage.caller.call(plan, key))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(SEND_INTERVAL)
    finally:
        await asyncio.gather(*tasks)


@staging.scenario("target-paused-with-requests", rate=60)
async def pause_target(stage: staging.Stage) -> None:
    """Pause a target while requests for hot keys wait in its sockets.

    It goes on after its shards have moved, but before the deadlines of the requests,
    so that nothing but the end of its grant keeps it from running them.
    """
    for number, pause in enumerate(TARGET_PAUSES):
        owners = await stage.fleet.read_owners("history")
        target = stage.random.choice(sorted(set(owners)))
        keys = await requests.find_keys(
            stage, "history", target, HOT_KEYS, f"hot-{number}"
        )
        process = stage.fleet.targets[target]
        # Slow runs are still in progress when the target is paused.
        await stage.fleet.set_faults(process, {"slow_factor": 20.0})
        sending = asyncio.ensure_future(send_steadily(stage, "due", keys))
        await asyncio.sleep(0.4)
        process.freeze()
        await asyncio.sleep(pause)
        owners = await stage.fleet.read_owners("history")
        process.resume()
        if target in owners:
            stage.violations.append(promises.NotPressed(f"{target} kept its shards"))
        await asyncio.sleep(TAIL_SECONDS)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        await stage.fleet.set_faults(process, {"slow_factor": 1.0})
