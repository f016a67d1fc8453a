"""Processes that are paused while requests wait in their sockets."""

import asyncio
import datetime

from dewstep_core import settings
from dewstep_emulator import deployments, history, promises
from dewstep_emulator.scenarios import measures, requests, staging

GATE_PAUSES = (0.3, 0.7, 1.6, 2.6)
"""Seconds; below, around and beyond the lifetime of a grant (0.6 s)."""
OUTLASTING_PAUSE = 2.6
"""Seconds; from here on, the runs of `LONG_BOOKINGS` end within the pause."""
SLOW_BOOKINGS = 60.0
"""Factor of service times; a run takes half a second."""
LONG_BOOKINGS = 275.0
"""Factor of service times; a run takes 2.2 s. The next gate begins 0.5 to 0.7 s after
the pause, and the paused one cancels its runs when it goes on."""
LONG_RUNS = 1
"""The next gate needs a free slot, also if bookings of the load become long as well."""
DRAIN_SECONDS = 1.0
"""Longer than a slow run. What still waits would become long in the next round and take
the slots that the next gate needs."""
BEGIN_SECONDS = 1.0
"""Longest wait until the long runs have begun."""
BEGIN_POLL = 0.01
"""Seconds; a short one, so that few bookings of the load become long as well."""
TABLE_DELAY = 0.25
SLOW_TABLE_PAUSES = (1.0, 1.05, 1.1)
"""Seconds; the shards move after about 0.9 s, and the next term follows 0.5 s later."""
LONG_LOOK_UPS = 340.0
"""Factor of service times; a run takes 1.36 s."""
CUTS = 4
CUT_LOOK_UPS = 75.0
"""Factor of service times; a run takes 0.3 s, and a grant lasts that long at least."""
LOSS_SEEN = 0.16
"""Seconds; the interval of renewals, which meet the refused connection."""
SLOW_LOOK_UPS = 20.0
TARGET_PAUSES = (0.9, 1.1, 1.3, 1.5)
"""Seconds; beyond the move of the target's shards, within the requests' deadlines."""
HOT_KEYS = 12
SEND_INTERVAL = 0.02
TAIL_SECONDS = 0.8


@staging.scenario("gate-paused-with-requests", rate=60, distribution="constant")
async def pause_gate(stage: staging.Stage) -> None:
    """Pause a gate while requests wait in its sockets that others get, too.

    Some of its runs are long, so that they end after the runs of the next gate have
    begun and before the paused one can cancel them: only the term keeps them from
    taking effect.
    """
    for number, pause in enumerate(GATE_PAUSES):
        target = await measures.choose_owner(stage, "booker")
        gate = await measures.find_gate(stage, target)
        plan = requests.find_plan(stage, "booking")
        keys = await requests.find_keys(stage, "booker", target, 20, f"pause-{number}")
        ids = [stage.caller.make_id(plan.kind) for _ in keys]
        process = stage.fleet.targets[target]
        await stage.fleet.set_faults(process, {"slow_factor": LONG_BOOKINGS})
        long_ids = [stage.caller.make_id(plan.kind) for _ in range(LONG_RUNS)]
        long = asyncio.ensure_future(
            requests.send_all(stage, plan, keys[:LONG_RUNS], long_ids, gate.callers)
        )
        await wait_begun(stage, long_ids)
        # Slow runs of the paused gate are still in progress when the next one begins.
        await stage.fleet.set_faults(process, {"slow_factor": SLOW_BOOKINGS})
        early = asyncio.ensure_future(send_new(stage, plan, keys, gate.callers))
        await asyncio.sleep(0.1)
        gate.process.freeze()
        if pause >= OUTLASTING_PAUSE:
            check_overlap(stage, target, asyncio.get_running_loop().time(), pause)
        waiting = asyncio.ensure_future(
            requests.send_all(stage, plan, keys, ids, gate.callers)
        )
        others = asyncio.ensure_future(
            requests.send_over_and_over(stage, plan, keys, ids, pause + TAIL_SECONDS)
        )
        await asyncio.sleep(pause)
        gate.process.resume()
        await asyncio.gather(long, early, waiting, others)
        await stage.fleet.set_faults(process, {"slow_factor": 1.0})
        await asyncio.sleep(DRAIN_SECONDS)


async def wait_begun(stage: staging.Stage, ids: list[str]) -> None:
    """Wait until requests run at their targets, for at most `BEGIN_SECONDS`."""
    end = asyncio.get_running_loop().time() + BEGIN_SECONDS
    while asyncio.get_running_loop().time() < end:
        if set(ids) <= {run.request_id for run in stage.fleet.read_runs()}:
            return
        await asyncio.sleep(BEGIN_POLL)


def check_overlap(
    stage: staging.Stage, target: str, since: float, pause: float
) -> None:
    """Require that runs of a paused gate ended beside those of the next one."""
    begin = history.parse_time(since)
    end = begin + datetime.timedelta(seconds=pause)

    def check(calls, runs):
        at_target = [run for run in runs if run.target == target]
        newer = [run for run in at_target if begin < run.start < end]
        older = [
            run
            for run in at_target
            if run.start <= begin
            and run.finish is not None
            and begin < run.finish < end
        ]
        if not any(
            other.term > run.term and other.start < run.finish
            for run in older
            for other in newer
        ):
            ends = [round((run.finish - begin).total_seconds(), 2) for run in older]
            starts = [round((run.start - begin).total_seconds(), 2) for run in newer]
            yield promises.NotPressed(
                f"{target}: runs ended after {ends} s, others began after {starts} s"
            )

    stage.checks.append(check)


async def send_new(
    stage: staging.Stage,
    plan: deployments.CallPlan,
    keys: list[str],
    address: settings.Address,
) -> None:
    """Send new requests to one entry process."""
    ids = [stage.caller.make_id(plan.kind) for _ in keys]
    await requests.send_all(stage, plan, keys, ids, address)


async def send_steadily(
    stage: staging.Stage, kind: str, keys: list[str], interval: float = SEND_INTERVAL
) -> None:
    """Send requests for hot keys until cancelled."""
    plan = requests.find_plan(stage, kind)
    tasks: set[asyncio.Task] = set()
    try:
        while True:
            key = stage.random.choice(keys)
            task = asyncio.ensure_future(stage.caller.call(plan, key))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(interval)
    finally:
        await asyncio.gather(*tasks)


@staging.scenario("target-paused-with-requests", rate=60)
async def pause_target(stage: staging.Stage) -> None:
    """Pause a target while requests for hot keys wait in its sockets.

    It goes on after its shards have moved, but before the deadlines of the requests,
    so that nothing but the end of its grant keeps it from running them.
    """
    for number, pause in enumerate(TARGET_PAUSES):
        factor = SLOW_LOOK_UPS if number % 2 else 1.0
        target, owners = await pause_with_hot_keys(stage, number, pause, factor)
        if target in owners:
            stage.violations.append(promises.NotPressed(f"{target} kept its shards"))


@staging.scenario("target-paused-table-slow", rate=60, distribution="constant")
async def pause_target_with_slow_table(stage: staging.Stage) -> None:
    """Pause a target with long runs while the term of its next gate is on its way.

    Between the move of the shards and the next term only the expiry of the grant, in
    the target's clock, keeps runs that began before the pause from taking effect.
    """
    fleet = stage.fleet
    for number, pause in enumerate(SLOW_TABLE_PAUSES):
        owners = await fleet.read_owners("history")
        target = stage.random.choice(sorted(set(owners)))
        keys = await requests.find_keys(
            stage, "history", target, fleet.deployment.slots, f"long-{number}"
        )
        process = fleet.targets[target]
        await fleet.set_faults(process, {"slow_factor": LONG_LOOK_UPS})
        plan = requests.find_plan(stage, "due")
        sending = asyncio.ensure_future(send_steadily(stage, "due", keys))
        await fleet.set_faults(fleet.table_process, {"delay": TABLE_DELAY})
        await asyncio.sleep(0.1)
        process.freeze()
        await asyncio.sleep(pause)
        process.resume()
        await asyncio.sleep(TAIL_SECONDS)
        await fleet.set_faults(fleet.table_process, {"delay": None})
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        await fleet.set_faults(process, {"slow_factor": 1.0})
        await stage.caller.call(plan, keys[0])
        await asyncio.sleep(1.0)


@staging.scenario("target-out-of-reach", rate=60, distribution="constant")
async def lose_connections(stage: staging.Stage) -> None:
    """Cut a target that goes on running from all gates.

    It counts as lost as soon as a connection is refused, while its grant still lasts
    and permits the runs in progress. Its shards must not move before.
    """
    fleet = stage.fleet
    plan = requests.find_plan(stage, "due")
    for number in range(CUTS):
        owners = await fleet.read_owners("history")
        target = stage.random.choice(sorted(set(owners)))
        keys = await requests.find_keys(
            stage, "history", target, fleet.deployment.slots, f"cut-{number}"
        )
        process = fleet.targets[target]
        await fleet.set_faults(process, {"slow_factor": CUT_LOOK_UPS})
        ids = [stage.caller.make_id(plan.kind) for _ in keys]
        running = asyncio.ensure_future(requests.send_all(stage, plan, keys, ids))
        await asyncio.sleep(0.03)
        cut = {"entries": sorted(fleet.entries), "mode": "close"}
        await fleet.set_faults(process, {"refuse": True, "cut": cut})
        await asyncio.sleep(LOSS_SEEN)
        sending = asyncio.ensure_future(send_steadily(stage, "vehicle", keys, 0.005))
        await asyncio.sleep(1.0)
        await fleet.set_faults(process, {"refuse": False, "cut": None})
        sending.cancel()
        await asyncio.gather(sending, running, return_exceptions=True)
        await fleet.set_faults(process, {"slow_factor": 1.0})
        await asyncio.sleep(0.5)


async def pause_with_hot_keys(
    stage: staging.Stage, number: int, pause: float, factor: float
) -> tuple[str, list[str]]:
    """Pause a target under requests for its hot keys.

    Returns the target, and the owners of all shards at the end of the pause.
    """
    owners = await stage.fleet.read_owners("history")
    target = stage.random.choice(sorted(set(owners)))
    keys = await requests.find_keys(stage, "history", target, HOT_KEYS, f"hot-{number}")
    process = stage.fleet.targets[target]
    await stage.fleet.set_faults(process, {"slow_factor": factor})
    sending = asyncio.ensure_future(send_steadily(stage, "due", keys))
    await asyncio.sleep(0.4)
    process.freeze()
    await asyncio.sleep(pause)
    owners = await stage.fleet.read_owners("history")
    process.resume()
    await asyncio.sleep(TAIL_SECONDS)
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)
    await stage.fleet.set_faults(process, {"slow_factor": 1.0})
    return target, owners


@staging.scenario("target-restarted-old-gate-cut-off", rate=60)
async def restart_beside_old_gate(stage: staging.Stage) -> None:
    """Let a target that forgot its terms meet a gate that does not know of its loss.

    The gate was paused and replaced, and the next one has moved the shards away. When
    the old gate goes on it reaches the restarted target only, and so must not grant
    (rule G7).
    """
    fleet = stage.fleet
    target = measures.choose_target(stage, "history")
    gate = await measures.find_gate(stage, target)
    term = await measures.read_term(stage, target)
    keys = await requests.find_keys(stage, "history", target, HOT_KEYS, "forgotten")
    plan = requests.find_plan(stage, "due")
    await fleet.set_cut(gate.name, set(fleet.entries) - {gate.name})
    gate.process.freeze()
    table_cut = {"cut": {"entries": [gate.name], "mode": "close"}}
    await fleet.set_faults(fleet.table_process, table_cut)
    # A target that ends before its next gate has fenced the old one is not served
    # before the horizon (rule G5), and the calls below would never be answered.
    await measures.wait_replaced(stage, target, term)
    await fleet.targets[target].kill()
    await asyncio.sleep(1.5)
    if target in await fleet.read_owners("history"):
        stage.violations.append(promises.NotPressed(f"{target} kept its shards"))
    others = [name for name in fleet.entries if name != gate.name]
    # Together, since a call that meets the paused gate waits until its caller gives up.
    await asyncio.gather(*(stage.caller.call(plan, key) for key in keys))
    await fleet.restart_target(target)
    cut = {"cut": {"entries": others}}
    await fleet.set_faults(fleet.targets[target], cut)
    gate.process.resume()
    for _ in range(10):
        await send_new(stage, plan, keys, gate.callers)
        await asyncio.sleep(0.1)
    await fleet.heal()
    await asyncio.sleep(1.0)


@staging.scenario("connections-reset", rate=100, tries=12)
async def reset_connections(stage: staging.Stage) -> None:
    """Reset all connections to a target for a moment, which goes on running.

    No target crashes, so no request may be quarantined (section 4.4).
    """

    def check(calls, runs):
        yield from promises.find_refused(calls, "Quarantined")

    stage.checks.append(check)
    fleet = stage.fleet
    for _ in range(2):
        process = fleet.targets[measures.choose_target(stage, "history")]
        await fleet.set_faults(process, {"slow_factor": 10.0})
        cut = {"entries": sorted(fleet.entries), "mode": "close"}
        await fleet.set_faults(process, {"cut": cut})
        await asyncio.sleep(0.3)
        await fleet.set_faults(process, {"cut": None, "slow_factor": 1.0})
        await asyncio.sleep(1.5)
