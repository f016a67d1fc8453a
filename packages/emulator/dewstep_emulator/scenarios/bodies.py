"""Large request bodies while targets fail."""

import asyncio
import random

from dewstep_core import settings
from dewstep_emulator import promises
from dewstep_emulator.scenarios import measures, raw, requests, staging

KIND = "bundle"
SERVICE = "intake"
BODY_BYTES = 6_000_000
UPLOADS = 12
TRIES = 12
UPLOAD_CHUNK = 20_000
UPLOAD_PAUSE = 0.1
UPLOAD_CHUNKS = 25
"""An upload takes 2.5 s, longer than the target's pause."""
PAUSE = 1.3


async def upload(stage: staging.Stage, key: str, seed: int) -> None:
    """Send one large body that differs from all others."""
    body = random.Random(seed).randbytes(BODY_BYTES)
    plan = requests.find_plan(stage, KIND)
    await stage.caller.call(plan, key, TRIES, body=body)


@staging.scenario("large-bodies-target-killed", rate=60)
async def kill_target(stage: staging.Stage) -> None:
    """Kill a target while it receives large bodies."""

    def check(calls, runs):
        uploads = [call for call in calls if call.key.startswith("large")]
        for call in uploads:
            name = f"uploads: {call.failure or call.outcome}"
            stage.measures[name] = stage.measures.get(name, 0) + 1
        yield from promises.find_unserved(uploads, lambda call: True)

    stage.checks.append(check)
    target = measures.choose_target(stage, SERVICE)
    keys = await requests.find_keys(stage, SERVICE, target, UPLOADS, "large")
    sending = [
        asyncio.ensure_future(upload(stage, key, number))
        for number, key in enumerate(keys)
    ]
    await asyncio.sleep(0.15)
    await stage.fleet.targets[target].kill()
    await asyncio.sleep(1.5)
    await stage.fleet.restart_target(target)
    await asyncio.gather(*sending)


async def upload_slowly(
    stage: staging.Stage, address: settings.Address, key: str
) -> None:
    """Send a body in small parts, as a phone on a bad line does."""
    request_id = stage.caller.make_id(requests.find_plan(stage, KIND).kind)
    head = raw.build_head(
        "PUT", f"/intake/{key}/bundle", request_id, UPLOAD_CHUNK * UPLOAD_CHUNKS
    )
    pieces = [head] + [bytes(UPLOAD_CHUNK)] * UPLOAD_CHUNKS
    status = await raw.converse(address, pieces, UPLOAD_PAUSE)
    name = f"uploads with status {status}"
    stage.measures[name] = stage.measures.get(name, 0) + 1


@staging.scenario("upload-across-pause", rate=60)
async def pause_during_uploads(stage: staging.Stage) -> None:
    """Pause a target in the middle of uploads that end after it has returned.

    Its shards have moved by then, and other requests for the keys have run at their
    new owners. The uploads must not run at the old one under a grant that the target
    gets after its return.
    """
    target = measures.choose_target(stage, SERVICE)
    keys = await requests.find_keys(stage, SERVICE, target, 4, "upload")
    plan = requests.find_plan(stage, KIND)
    process = stage.fleet.targets[target]
    uploads = []
    for key in keys:
        entry = stage.random.choice(measures.list_serving(stage))
        work = upload_slowly(stage, entry.callers, key)
        uploads.append(asyncio.ensure_future(work))
    await asyncio.sleep(0.5)
    process.freeze()
    await asyncio.sleep(PAUSE)
    owners = await stage.fleet.read_owners(SERVICE)
    if target in owners:
        stage.violations.append(promises.NotPressed(f"{target} kept its shards"))
    for key in keys:
        await stage.caller.call(plan, key, TRIES, body=b"other")
    process.resume()
    await asyncio.gather(*uploads)
    await asyncio.sleep(1.0)
