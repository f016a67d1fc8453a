"""Requests that crash every target that runs them and must be quarantined."""

import asyncio

from dewstep_core import hashing
from dewstep_emulator import history, promises
from dewstep_emulator.scenarios import measures, requests, scenario_runs

CRASH_MARKER = "poison"
MAX_CRASHES = 2
"""Crashes after which all entry processes refuse a request."""
SLOW_FACTOR = 10.0
"""Keeps several other requests in progress when a target crashes."""
ATTEMPTS_PER_REQUEST = 8
MAX_ATTEMPTS = 20
"""A key may be unserved for a second after each crash."""


async def slow_down(scenario_run: scenario_runs.ScenarioRun, service: str) -> None:
    """Make all targets of a service slow."""
    for name, process in scenario_run.fleet.targets.items():
        if name.startswith(service):
            await scenario_run.fleet.set_faults(process, {"slow_factor": SLOW_FACTOR})


async def send_crashing_request(
    scenario_run: scenario_runs.ScenarioRun, kind: str, key: str
) -> None:
    """Send one crashing request repeatedly.

    At-most-once requests get a new id each time; with the same id, deduplication alone
    would prevent further runs.
    """
    plan = requests.find_call_plan(scenario_run, kind)
    request_id = ""
    for _ in range(ATTEMPTS_PER_REQUEST):
        if not request_id or not plan.kind.idempotent:
            request_id = scenario_run.caller.make_request_id(plan.kind)
        await scenario_run.caller.send_attempt(plan, key, request_id)
        await asyncio.sleep(0.3)


def check_crashes(scenario_run: scenario_runs.ScenarioRun, min_crashing: int) -> None:
    """Require that crashing requests are quarantined and all others are served."""

    def check(calls, runs):
        crashing = [call for call in calls if CRASH_MARKER in call.key]
        other = [call for call in calls if CRASH_MARKER not in call.key]
        counts = promises.count_crashes(runs, CRASH_MARKER)
        scenario_run.measures["crashes"] = sum(counts.values())
        yield from promises.find_exceeded_crashes(runs, CRASH_MARKER, MAX_CRASHES)
        yield from promises.find_wrong_refusals(
            crashing, "Quarantined", history.UNKNOWN
        )
        yield from promises.find_unserved(other)
        yield from promises.find_refused(other, "Quarantined")
        if len(counts) < min_crashing:
            yield promises.ConditionNotReached(
                f"{len(counts)} of {min_crashing} requests crashed"
            )
        if not any(call.failure == "Quarantined" for call in crashing):
            yield promises.ConditionNotReached("no request was refused as quarantined")

    scenario_run.checks.append(check)


@scenario_runs.scenario(
    "crashing-request", tries=MAX_ATTEMPTS, entries=9, crash_marker=CRASH_MARKER
)
async def crash_targets(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Send requests that crash their targets, before and after their gate is killed."""
    check_crashes(scenario_run, 2)
    await slow_down(scenario_run, "history")
    async with measures.restart_ended_targets(scenario_run):
        target = measures.choose_target(scenario_run, "history")
        look_up = await measures.find_key(scenario_run, "history", target, CRASH_MARKER)
        booker = measures.choose_target(scenario_run, "booker")
        booking = await measures.find_key(scenario_run, "booker", booker, CRASH_MARKER)
        await asyncio.gather(
            send_crashing_request(scenario_run, "due", look_up),
            send_crashing_request(scenario_run, "booking", booking),
        )
        crashing = (("due", "history", look_up), ("booking", "booker", booking))
        for kind, service, key in crashing:
            owners = await scenario_run.fleet.read_owners(service)
            owner = owners[hashing.compute_shard(key, len(owners))]
            gate = await measures.find_gate(scenario_run, owner)
            await gate.process.kill()
            await asyncio.sleep(1.0)
            await send_crashing_request(scenario_run, kind, key)
