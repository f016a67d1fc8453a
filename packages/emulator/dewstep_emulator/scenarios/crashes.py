"""Requests that crash each target that runs them (section 4.4 of the design page)."""

import asyncio

from dewstep_core import hashing
from dewstep_emulator import history, promises
from dewstep_emulator.scenarios import measures, requests, staging

MARKER = "poison"
CRASH_LIMIT = 2
"""Crashes after which a request is refused in the whole fleet."""
SLOW = 10.0
"""Factor of service times; several innocent requests are in progress at a crash."""
ROUNDS = 8
INNOCENT_TRIES = 20
"""A key may be unserved for a second after each of the crashes."""


async def slow_down(stage: staging.Stage, service: str) -> None:
    """Make all targets of a service slow."""
    for name, process in stage.fleet.targets.items():
        if name.startswith(service):
            await stage.fleet.set_faults(process, {"slow_factor": SLOW})


async def send_again(stage: staging.Stage, kind: str, key: str) -> None:
    """Send one request as often as an impatient caller does.

    At-most-once requests get a new id each time: with the same one, deduplication
    alone would keep them from running again.
    """
    plan = requests.find_plan(stage, kind)
    request_id = ""
    for _ in range(ROUNDS):
        if not request_id or not plan.kind.idempotent:
            request_id = stage.caller.make_id(plan.kind)
        await stage.caller.send(plan, key, request_id)
        await asyncio.sleep(0.3)


def check_crashes(stage: staging.Stage, pressed: int) -> None:
    """Require that crashing requests are refused and all others served."""

    def check(calls, runs):
        guilty = [call for call in calls if MARKER in call.key]
        innocent = [call for call in calls if MARKER not in call.key]
        counts = promises.count_crashes(runs, MARKER)
        stage.measures["crashes"] = sum(counts.values())
        yield from promises.find_exceeded_crashes(runs, MARKER, CRASH_LIMIT)
        yield from promises.find_wrong_refusals(guilty, "Quarantined", history.UNKNOWN)
        yield from promises.find_unserved(innocent)
        yield from promises.find_refused(innocent, "Quarantined")
        if len(counts) < pressed:
            yield promises.NotPressed(f"{len(counts)} of {pressed} requests crashed")
        if not any(call.failure == "Quarantined" for call in guilty):
            yield promises.NotPressed("no request was refused as quarantined")

    stage.checks.append(check)


@staging.scenario(
    "crashing-request", tries=INNOCENT_TRIES, entries=9, crash_marker=MARKER
)
async def crash_targets(stage: staging.Stage) -> None:
    """Send requests that crash their targets, also after their gate was killed."""
    check_crashes(stage, 2)
    await slow_down(stage, "history")
    async with measures.restarting(stage):
        target = measures.choose_target(stage, "history")
        look_up = await measures.find_key(stage, "history", target, MARKER)
        booker = measures.choose_target(stage, "booker")
        booking = await measures.find_key(stage, "booker", booker, MARKER)
        await asyncio.gather(
            send_again(stage, "due", look_up), send_again(stage, "booking", booking)
        )
        guilty = (("due", "history", look_up), ("booking", "booker", booking))
        for kind, service, key in guilty:
            owners = await stage.fleet.read_owners(service)
            owner = owners[hashing.compute_shard(key, len(owners))]
            gate = await measures.find_gate(stage, owner)
            await gate.process.kill()
            await asyncio.sleep(1.0)
            await send_again(stage, kind, key)
