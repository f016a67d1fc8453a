"""Processes that are paused or cut off while requests wait in their sockets."""

import asyncio
import datetime

from dewstep_core import settings
from dewstep_emulator import deployments, history, promises
from dewstep_emulator.scenarios import measures, requests, scenario_runs

GATE_PAUSES_SECONDS = (0.3, 0.7, 1.6, 2.6)
"""Below, around and beyond the lifetime of a grant (0.6 s)."""
OVERLAP_PAUSE_SECONDS = 2.6
"""From this pause on, runs with `LONG_BOOKING_FACTOR` end within the pause."""
SLOW_BOOKING_FACTOR = 60.0
"""A run takes 0.5 s."""
LONG_BOOKING_FACTOR = 275.0
"""A run takes 2.2 s. The next gate starts 0.5 to 0.7 s into the pause, and the paused
gate cancels its runs when it resumes."""
LONG_RUN_COUNT = 1
"""Leaves a free slot for the next gate even if bookings of the load are long too."""
DRAIN_SECONDS = 1.0
"""Longer than a slow run. Requests still queued would be long in the next round and
occupy the slots that the next gate needs."""
BEGIN_TIMEOUT_SECONDS = 1.0
"""Maximum wait for the start of the long runs."""
BEGIN_POLL_SECONDS = 0.01
"""Short, so that few bookings of the load become long too."""
TABLE_DELAY_SECONDS = 0.25
SLOW_TABLE_PAUSES_SECONDS = (1.0, 1.05, 1.1)
"""The shards move after about 0.9 s, and the next term follows 0.5 s later."""
LONG_LOOK_UP_FACTOR = 340.0
"""A run takes 1.36 s."""
CUT_COUNT = 4
CUT_LOOK_UP_FACTOR = 75.0
"""A run takes 0.3 s; a grant remains valid for at least that long."""
LOSS_DETECTION_SECONDS = 0.16
"""The renewal interval: the next renewal finds that the connection is refused."""
SLOW_LOOK_UP_FACTOR = 20.0
TARGET_PAUSES_SECONDS = (0.9, 1.1, 1.3, 1.5)
"""Longer than the move of the target's shards, shorter than the request deadlines."""
HOT_KEYS = 12
SEND_INTERVAL_SECONDS = 0.02
AFTER_PAUSE_SECONDS = 0.8
"""Time after a pause during which requests are still sent."""


@scenario_runs.scenario("gate-paused-with-requests", rate=60, distribution="constant")
async def pause_gate(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Pause a gate with requests in its sockets that other gates receive as well.

    Some of its runs are long: they end after the runs of the next gate have started and
    before the paused gate can cancel them. Only the check of the term prevents their
    effect.
    """
    for number, pause in enumerate(GATE_PAUSES_SECONDS):
        target = await measures.choose_owner(scenario_run, "booker")
        gate = await measures.find_gate(scenario_run, target)
        plan = requests.find_call_plan(scenario_run, "booking")
        keys = await requests.find_keys(
            scenario_run, "booker", target, 20, f"pause-{number}"
        )
        ids = [scenario_run.caller.make_request_id(plan.kind) for _ in keys]
        process = scenario_run.fleet.targets[target]
        await scenario_run.fleet.set_faults(
            process, {"slow_factor": LONG_BOOKING_FACTOR}
        )
        long_ids = [
            scenario_run.caller.make_request_id(plan.kind)
            for _ in range(LONG_RUN_COUNT)
        ]
        long_calls = asyncio.ensure_future(
            requests.send_all(
                scenario_run, plan, keys[:LONG_RUN_COUNT], long_ids, gate.callers
            )
        )
        await wait_until_running(scenario_run, long_ids)
        # Slow runs of the paused gate are still in progress when the next gate starts.
        await scenario_run.fleet.set_faults(
            process, {"slow_factor": SLOW_BOOKING_FACTOR}
        )
        calls_before_pause = asyncio.ensure_future(
            send_new_requests(scenario_run, plan, keys, gate.callers)
        )
        await asyncio.sleep(0.1)
        gate.process.freeze()
        if pause >= OVERLAP_PAUSE_SECONDS:
            check_overlap(
                scenario_run, target, asyncio.get_running_loop().time(), pause
            )
        calls_during_pause = asyncio.ensure_future(
            requests.send_all(scenario_run, plan, keys, ids, gate.callers)
        )
        repeated_calls = asyncio.ensure_future(
            requests.send_repeatedly(
                scenario_run, plan, keys, ids, pause + AFTER_PAUSE_SECONDS
            )
        )
        await asyncio.sleep(pause)
        gate.process.resume()
        await asyncio.gather(
            long_calls, calls_before_pause, calls_during_pause, repeated_calls
        )
        await scenario_run.fleet.set_faults(process, {"slow_factor": 1.0})
        await asyncio.sleep(DRAIN_SECONDS)


async def wait_until_running(
    scenario_run: scenario_runs.ScenarioRun, ids: list[str]
) -> None:
    """Wait until requests run at targets, for at most `BEGIN_TIMEOUT_SECONDS`."""
    deadline = asyncio.get_running_loop().time() + BEGIN_TIMEOUT_SECONDS
    while asyncio.get_running_loop().time() < deadline:
        if set(ids) <= {run.request_id for run in scenario_run.fleet.read_runs()}:
            return
        await asyncio.sleep(BEGIN_POLL_SECONDS)


def check_overlap(
    scenario_run: scenario_runs.ScenarioRun, target: str, since: float, pause: float
) -> None:
    """Require that runs of the paused gate overlapped with runs of the next gate."""
    pause_begin = history.parse_time(since)
    pause_end = pause_begin + datetime.timedelta(seconds=pause)

    def check(calls, runs):
        at_target = [run for run in runs if run.target == target]
        newer = [run for run in at_target if pause_begin < run.start < pause_end]
        older = [
            run
            for run in at_target
            if run.start <= pause_begin
            and run.finish is not None
            and pause_begin < run.finish < pause_end
        ]
        if not any(
            other.term > run.term and other.start < run.finish
            for run in older
            for other in newer
        ):
            ends = [
                round((run.finish - pause_begin).total_seconds(), 2) for run in older
            ]
            starts = [
                round((run.start - pause_begin).total_seconds(), 2) for run in newer
            ]
            yield promises.ConditionNotReached(
                f"{target}: no overlap; runs of the old gate ended after {ends} s, "
                f"runs of the new gate started after {starts} s"
            )

    scenario_run.checks.append(check)


async def send_new_requests(
    scenario_run: scenario_runs.ScenarioRun,
    plan: deployments.CallPlan,
    keys: list[str],
    address: settings.Address,
) -> None:
    """Send one new request per key to one entry process."""
    ids = [scenario_run.caller.make_request_id(plan.kind) for _ in keys]
    await requests.send_all(scenario_run, plan, keys, ids, address)


async def send_steadily(
    scenario_run: scenario_runs.ScenarioRun,
    kind: str,
    keys: list[str],
    interval: float = SEND_INTERVAL_SECONDS,
) -> None:
    """Send a request for a random key every `interval` seconds until cancelled."""
    plan = requests.find_call_plan(scenario_run, kind)
    tasks: set[asyncio.Task] = set()
    try:
        while True:
            key = scenario_run.random.choice(keys)
            task = asyncio.ensure_future(
                scenario_run.caller.send_until_final(plan, key)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(interval)
    finally:
        await asyncio.gather(*tasks)


@scenario_runs.scenario("target-paused-with-requests", rate=60)
async def pause_target(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Pause a target while requests for hot keys wait in its sockets.

    It resumes after its shards have moved but before the deadlines of the requests, so
    that only the expiry of its grant prevents it from running them.
    """
    for number, pause in enumerate(TARGET_PAUSES_SECONDS):
        factor = SLOW_LOOK_UP_FACTOR if number % 2 else 1.0
        target, owners = await pause_target_with_hot_keys(
            scenario_run, number, pause, factor
        )
        if target in owners:
            scenario_run.violations.append(
                promises.ConditionNotReached(f"{target} kept its shards")
            )


@scenario_runs.scenario("target-paused-table-slow", rate=60, distribution="constant")
async def pause_target_with_slow_table(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Pause a target with long runs before it receives the term of its next gate.

    Between the move of the shards and the next term, only the expiry of the grant by
    the target's clock prevents effects of runs that started before the pause.
    """
    fleet = scenario_run.fleet
    for number, pause in enumerate(SLOW_TABLE_PAUSES_SECONDS):
        owners = await fleet.read_owners("history")
        target = scenario_run.random.choice(sorted(set(owners)))
        keys = await requests.find_keys(
            scenario_run, "history", target, fleet.deployment.slots, f"long-{number}"
        )
        process = fleet.targets[target]
        await fleet.set_faults(process, {"slow_factor": LONG_LOOK_UP_FACTOR})
        plan = requests.find_call_plan(scenario_run, "due")
        sending = asyncio.ensure_future(send_steadily(scenario_run, "due", keys))
        await fleet.set_faults(fleet.table_process, {"delay": TABLE_DELAY_SECONDS})
        await asyncio.sleep(0.1)
        process.freeze()
        await asyncio.sleep(pause)
        process.resume()
        await asyncio.sleep(AFTER_PAUSE_SECONDS)
        await fleet.set_faults(fleet.table_process, {"delay": None})
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        await fleet.set_faults(process, {"slow_factor": 1.0})
        await scenario_run.caller.send_until_final(plan, keys[0])
        await asyncio.sleep(1.0)


@scenario_runs.scenario("target-out-of-reach", rate=60, distribution="constant")
async def isolate_target(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Cut a running target off from all gates.

    The target counts as lost as soon as a connection is refused, while its grant still
    permits the runs in progress. Its shards must not move before the grant expires.
    """
    fleet = scenario_run.fleet
    plan = requests.find_call_plan(scenario_run, "due")
    for number in range(CUT_COUNT):
        owners = await fleet.read_owners("history")
        target = scenario_run.random.choice(sorted(set(owners)))
        keys = await requests.find_keys(
            scenario_run, "history", target, fleet.deployment.slots, f"cut-{number}"
        )
        process = fleet.targets[target]
        await fleet.set_faults(process, {"slow_factor": CUT_LOOK_UP_FACTOR})
        ids = [scenario_run.caller.make_request_id(plan.kind) for _ in keys]
        running = asyncio.ensure_future(
            requests.send_all(scenario_run, plan, keys, ids)
        )
        await asyncio.sleep(0.03)
        cut = {"entries": sorted(fleet.entries), "mode": "close"}
        await fleet.set_faults(process, {"refuse": True, "cut": cut})
        await asyncio.sleep(LOSS_DETECTION_SECONDS)
        sending = asyncio.ensure_future(
            send_steadily(scenario_run, "vehicle", keys, 0.005)
        )
        await asyncio.sleep(1.0)
        await fleet.set_faults(process, {"refuse": False, "cut": None})
        sending.cancel()
        await asyncio.gather(sending, running, return_exceptions=True)
        await fleet.set_faults(process, {"slow_factor": 1.0})
        await asyncio.sleep(0.5)


async def pause_target_with_hot_keys(
    scenario_run: scenario_runs.ScenarioRun, number: int, pause: float, factor: float
) -> tuple[str, list[str]]:
    """Pause a target while requests for its hot keys are sent.

    Returns the target and the owners of all shards at the end of the pause.
    """
    owners = await scenario_run.fleet.read_owners("history")
    target = scenario_run.random.choice(sorted(set(owners)))
    keys = await requests.find_keys(
        scenario_run, "history", target, HOT_KEYS, f"hot-{number}"
    )
    process = scenario_run.fleet.targets[target]
    await scenario_run.fleet.set_faults(process, {"slow_factor": factor})
    sending = asyncio.ensure_future(send_steadily(scenario_run, "due", keys))
    await asyncio.sleep(0.4)
    process.freeze()
    await asyncio.sleep(pause)
    owners = await scenario_run.fleet.read_owners("history")
    process.resume()
    await asyncio.sleep(AFTER_PAUSE_SECONDS)
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)
    await scenario_run.fleet.set_faults(process, {"slow_factor": 1.0})
    return target, owners


@scenario_runs.scenario("target-restarted-old-gate-cut-off", rate=60)
async def restart_beside_old_gate(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Resume a replaced gate that reaches only its restarted target.

    The gate was paused and replaced, and the next gate has moved the shards away. The
    restarted target no longer knows the later term. Before a gate sends a grant to a
    restarted target it must read its row; the old gate cannot reach the table and so
    must not send one.
    """
    fleet = scenario_run.fleet
    target = measures.choose_target(scenario_run, "history")
    gate = await measures.find_gate(scenario_run, target)
    term = await measures.read_term(scenario_run, target)
    keys = await requests.find_keys(
        scenario_run, "history", target, HOT_KEYS, "forgotten"
    )
    plan = requests.find_call_plan(scenario_run, "due")
    await fleet.set_cut(gate.name, set(fleet.entries) - {gate.name})
    gate.process.freeze()
    table_cut = {"cut": {"entries": [gate.name], "mode": "close"}}
    await fleet.set_faults(fleet.table_process, table_cut)
    # If the target ended before it accepted a grant of the next gate, its keys would
    # stay unserved until the horizon, and the calls below would not be answered.
    await measures.wait_for_next_term(scenario_run, target, term)
    await fleet.targets[target].kill()
    await asyncio.sleep(1.5)
    if target in await fleet.read_owners("history"):
        scenario_run.violations.append(
            promises.ConditionNotReached(f"{target} kept its shards")
        )
    other_entries = [name for name in fleet.entries if name != gate.name]
    # Concurrently, since a call to the paused gate lasts until its caller times out.
    await asyncio.gather(
        *(scenario_run.caller.send_until_final(plan, key) for key in keys)
    )
    await fleet.restart_target(target)
    cut = {"cut": {"entries": other_entries}}
    await fleet.set_faults(fleet.targets[target], cut)
    gate.process.resume()
    for _ in range(10):
        await send_new_requests(scenario_run, plan, keys, gate.callers)
        await asyncio.sleep(0.1)
    await fleet.end_cuts()
    await asyncio.sleep(1.0)


@scenario_runs.scenario("connections-reset", rate=100, tries=12)
async def reset_connections(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Reset all connections to a running target for a short time.

    No target crashes, so no request may be quarantined.
    """

    def check(calls, runs):
        yield from promises.find_refused(calls, "Quarantined")

    scenario_run.checks.append(check)
    fleet = scenario_run.fleet
    for _ in range(2):
        process = fleet.targets[measures.choose_target(scenario_run, "history")]
        await fleet.set_faults(process, {"slow_factor": 10.0})
        cut = {"entries": sorted(fleet.entries), "mode": "close"}
        await fleet.set_faults(process, {"cut": cut})
        await asyncio.sleep(0.3)
        await fleet.set_faults(process, {"cut": None, "slow_factor": 1.0})
        await asyncio.sleep(1.5)
