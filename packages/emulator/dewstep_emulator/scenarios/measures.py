"""Helpers for scenario scripts: choices of processes, probes and measured times."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable

from returns import result

from dewstep_core import hashing
from dewstep_core.http import client
from dewstep_emulator import addresses, fleets, promises
from dewstep_emulator.scenarios import scenario_runs

RESTORED_LIMIT_SECONDS = 1.0
"""Seconds within which a key must be served again after a process is lost."""
TERM_READ_TIMEOUT_SECONDS = 1.0
NEXT_TERM_TIMEOUT_SECONDS = 10.0
"""Far above the guaranteed 1 s, which other scenarios check."""
IN_FORCE_LIMIT_SECONDS = 3.0
"""Seconds within which all entry processes must apply a new revision."""
PROBE_INTERVAL_SECONDS = 0.02
PROBE_TIMEOUT_SECONDS = 8.0
POLL_INTERVAL_SECONDS = 0.02


async def find_key(
    scenario_run: scenario_runs.ScenarioRun,
    service: str,
    target: str,
    prefix: str = "probe",
) -> str:
    """Return a key of `service` that `target` owns."""
    owners = await scenario_run.fleet.read_owners(service)
    for number in range(10_000):
        key = f"{prefix}-{service}-{number}"
        if owners[hashing.compute_shard(key, len(owners))] == target:
            return key
    raise LookupError(f"{target} owns no shard of {service}")


def list_serving_entries(
    scenario_run: scenario_runs.ScenarioRun,
) -> list[fleets.EntryHandle]:
    """Return the entry processes that are running, not paused and in the balancer."""
    return [
        entry
        for name, entry in scenario_run.fleet.entries.items()
        if entry.process.is_running()
        and not entry.process.frozen
        and name not in scenario_run.fleet.removed_from_balancer
    ]


async def measure_until_served(
    scenario_run: scenario_runs.ScenarioRun,
    key: str,
    since: float,
    limit: float = PROBE_TIMEOUT_SECONDS,
) -> float:
    """Return the seconds from `since` until a look-up of `key` is answered.

    A look-up is sent every `PROBE_INTERVAL_SECONDS` to a random serving entry process
    without waiting for the earlier ones. Returns `limit` if none is answered by then.
    """
    loop = asyncio.get_running_loop()
    restored: asyncio.Future[float] = loop.create_future()

    async def send() -> None:
        chosen = scenario_run.random.choice(list_serving_entries(scenario_run))
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
        await asyncio.sleep(PROBE_INTERVAL_SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return restored.result() if restored.done() else limit


async def measure_restoration(
    scenario_run: scenario_runs.ScenarioRun,
    name: str,
    target: str,
    cause_fault: Callable[[], Awaitable[None]],
) -> None:
    """Cause a fault and record how long a key of `target` stays unserved."""
    key = await find_key(scenario_run, "history", target)
    since = asyncio.get_running_loop().time()
    await cause_fault()
    elapsed = await measure_until_served(scenario_run, key, since)
    scenario_run.measures[name] = elapsed
    scenario_run.print_line(
        f"{name}: a key of {target} was served again after {elapsed:.3f} s"
    )
    if elapsed > RESTORED_LIMIT_SECONDS:
        scenario_run.violations.append(
            promises.ServedLate(name, elapsed, RESTORED_LIMIT_SECONDS)
        )


def choose_target(scenario_run: scenario_runs.ScenarioRun, service: str) -> str:
    """Return a random running target of `service`."""
    names = [
        name
        for name, process in scenario_run.fleet.targets.items()
        if name.startswith(f"{service}-") and process.is_running()
    ]
    return scenario_run.random.choice(sorted(names))


async def choose_owner(scenario_run: scenario_runs.ScenarioRun, service: str) -> str:
    """Return a random running target of `service` that currently owns shards.

    A target that was considered lost owns no shards for a while after its return.
    """
    owners = set(await scenario_run.fleet.read_owners(service))
    names = [name for name in owners if scenario_run.fleet.targets[name].is_running()]
    return scenario_run.random.choice(sorted(names))


async def find_gate(
    scenario_run: scenario_runs.ScenarioRun, target: str
) -> fleets.EntryHandle:
    """Return the entry process that holds the gate of `target`."""
    gates = await scenario_run.fleet.read_gates()
    return scenario_run.fleet.entries[gates[target]]


async def read_term(scenario_run: scenario_runs.ScenarioRun, target: str) -> int:
    """Return the highest term a target has accepted, or 0 if it does not answer."""
    address = addresses.get_address(scenario_run.fleet.targets[target].addresses)
    caller = client.Client(address, TERM_READ_TIMEOUT_SECONDS)
    answer = await caller.call("GET", "/control/clock")
    await caller.close()
    if isinstance(answer, result.Failure):
        return 0
    return json.loads(answer.unwrap().body)["term"]


async def wait_for_next_term(
    scenario_run: scenario_runs.ScenarioRun, target: str, term: int
) -> None:
    """Wait until a target has accepted a grant with a term later than `term`."""
    loop = asyncio.get_running_loop()
    end = loop.time() + NEXT_TERM_TIMEOUT_SECONDS
    while await read_term(scenario_run, target) <= term:
        if loop.time() > end:
            detail = f"{target} received no grant with a term later than {term}"
            scenario_run.violations.append(promises.ConditionNotReached(detail))
            return
        await asyncio.sleep(0.05)


async def wait_until_in_force(
    scenario_run: scenario_runs.ScenarioRun,
    revision: int,
    since: float,
    limit: float = IN_FORCE_LIMIT_SECONDS,
) -> float:
    """Wait until all serving entry processes report a revision.

    Records a violation after `limit` seconds. Returns the seconds elapsed from `since`
    (event loop time).
    """
    loop = asyncio.get_running_loop()
    while True:
        elapsed = loop.time() - since
        behind = [
            entry.name
            for entry in list_serving_entries(scenario_run)
            if scenario_run.monitor.revisions.get(entry.name, 0) < revision
        ]
        if elapsed > limit:
            late = promises.InForceLate(revision, elapsed, tuple(behind))
            scenario_run.violations.append(late)
        if not behind or elapsed > limit:
            return elapsed
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


@contextlib.asynccontextmanager
async def restart_ended_targets(
    scenario_run: scenario_runs.ScenarioRun, pause: float = 0.3
) -> AsyncIterator[None]:
    """Restart ended targets within the block, as a supervisor would."""
    task = asyncio.ensure_future(restart_until_cancelled(scenario_run, pause))
    try:
        yield
    finally:
        task.cancel()
        await asyncio.wait({task})
    if not task.cancelled():
        task.result()


async def restart_until_cancelled(
    scenario_run: scenario_runs.ScenarioRun, pause: float
) -> None:
    """Restart ended targets until cancelled."""
    while True:
        for name, process in list(scenario_run.fleet.targets.items()):
            if not process.is_running():
                await asyncio.sleep(pause)
                await scenario_run.fleet.restart_target(name)
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
