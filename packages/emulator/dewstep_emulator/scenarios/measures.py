"""What scripts need again and again: choices, probes and measured times."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable

from returns import result

from dewstep_core import hashing
from dewstep_core.http import client
from dewstep_emulator import addresses, fleet as fleets, promises
from dewstep_emulator.scenarios import staging

RESTORED_LIMIT = 1.0
"""Seconds within which a key is served again after a loss (design page, 1.6)."""
TERM_SECONDS = 1.0
REPLACED_LIMIT = 10.0
"""Seconds; far above the bound of 1 s, which other scenarios check."""
IN_FORCE_LIMIT = 3.0
"""Seconds within which a revision is in force everywhere (design page, 1.6)."""
PROBE_INTERVAL = 0.02
PROBE_SECONDS = 8.0
POLL = 0.02


async def find_key(
    stage: staging.Stage, service: str, target: str, prefix: str = "probe"
) -> str:
    """Return a key of `service` that `target` owns."""
    owners = await stage.fleet.read_owners(service)
    for number in range(10_000):
        key = f"{prefix}-{service}-{number}"
        if owners[hashing.compute_shard(key, len(owners))] == target:
            return key
    raise LookupError(f"{target} owns no shard of {service}")


def list_serving(stage: staging.Stage) -> list[fleets.EntryHandle]:
    """Return the entry processes that run."""
    return [
        entry
        for name, entry in stage.fleet.entries.items()
        if entry.process.is_running()
        and not entry.process.frozen
        and name not in stage.fleet.withdrawn
    ]


async def probe(
    stage: staging.Stage, key: str, since: float, limit: float = PROBE_SECONDS
) -> float:
    """Return the seconds from `since` until a look-up of `key` is answered.

    A look-up is sent every `PROBE_INTERVAL` to a random live entry process, without
    waiting for the earlier ones.
    """
    loop = asyncio.get_running_loop()
    restored: asyncio.Future[float] = loop.create_future()

    async def send() -> None:
        chosen = stage.random.choice(list_serving(stage))
        caller = client.Client(chosen.callers, 5.0)
        answer = await caller.call("GET", f"/history/{key}/due")
        await caller.close()
        good = isinstance(answer, result.Success) and answer.unwrap().status == 200
        if good and not restored.done():
            restored.set_result(loop.time() - since)

    tasks = set()
    while not restored.done() and loop.time() - since < limit:
        task = asyncio.ensure_future(send())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(PROBE_INTERVAL)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return restored.result() if restored.done() else limit


async def measure_restoration(
    stage: staging.Stage,
    name: str,
    target: str,
    break_it: Callable[[], Awaitable[None]],
) -> None:
    """Break something and note how long a key of `target` stays unserved."""
    key = await find_key(stage, "history", target)
    since = asyncio.get_running_loop().time()
    await break_it()
    took = await probe(stage, key, since)
    stage.measures[name] = took
    stage.say(f"{name}: a key of {target} was served again after {took:.3f} s")
    if took > RESTORED_LIMIT:
        stage.violations.append(promises.ServedLate(name, took, RESTORED_LIMIT))


def choose_target(stage: staging.Stage, service: str) -> str:
    """Return a target of `service` that runs."""
    names = [
        name
        for name, process in stage.fleet.targets.items()
        if name.startswith(f"{service}-") and process.is_running()
    ]
    return stage.random.choice(sorted(names))


async def choose_owner(stage: staging.Stage, service: str) -> str:
    """Return a target of `service` that runs and owns shards now.

    A target that a fault made look lost owns nothing for a while after its return.
    """
    owners = set(await stage.fleet.read_owners(service))
    names = [name for name in owners if stage.fleet.targets[name].is_running()]
    return stage.random.choice(sorted(names))


async def find_gate(stage: staging.Stage, target: str) -> fleets.EntryHandle:
    """Return the entry process that is the gate of `target`."""
    gates = await stage.fleet.read_gates()
    return stage.fleet.entries[gates[target]]


async def read_term(stage: staging.Stage, target: str) -> int:
    """Return the highest term that a target has accepted, 0 if it does not answer."""
    address = addresses.get_address(stage.fleet.targets[target].addresses)
    caller = client.Client(address, TERM_SECONDS)
    answer = await caller.call("GET", "/control/clock")
    await caller.close()
    if isinstance(answer, result.Failure):
        return 0
    return json.loads(answer.unwrap().body)["term"]


async def wait_replaced(stage: staging.Stage, target: str, term: int) -> None:
    """Wait until a target has accepted a grant of a later term than `term`."""
    loop = asyncio.get_running_loop()
    end = loop.time() + REPLACED_LIMIT
    while await read_term(stage, target) <= term:
        if loop.time() > end:
            detail = f"{target} was granted nothing after term {term}"
            stage.violations.append(promises.NotPressed(detail))
            return
        await asyncio.sleep(0.05)


async def wait_in_force(
    stage: staging.Stage, revision: int, since: float, limit: float = IN_FORCE_LIMIT
) -> float:
    """Wait until all entry processes show a revision; note it if they take too long.

    Returns the seconds from `since` (event loop's time) until then.
    """
    loop = asyncio.get_running_loop()
    while True:
        took = loop.time() - since
        behind = [
            entry.name
            for entry in list_serving(stage)
            if stage.watcher.revisions.get(entry.name, 0) < revision
        ]
        if took > limit:
            late = promises.InForceLate(revision, took, tuple(behind))
            stage.violations.append(late)
        if not behind or took > limit:
            return took
        await asyncio.sleep(POLL)


@contextlib.asynccontextmanager
async def restarting(stage: staging.Stage, pause: float = 0.3) -> AsyncIterator[None]:
    """Start targets that ended again, as their platform does, until the block ends."""
    task = asyncio.ensure_future(restart_lost(stage, pause))
    try:
        yield
    finally:
        task.cancel()
        await asyncio.wait({task})
    if not task.cancelled():
        task.result()


async def restart_lost(stage: staging.Stage, pause: float) -> None:
    """Start targets that ended again until cancelled."""
    while True:
        for name, process in list(stage.fleet.targets.items()):
            if not process.is_running():
                await asyncio.sleep(pause)
                await stage.fleet.restart_target(name)
        await asyncio.sleep(POLL)
