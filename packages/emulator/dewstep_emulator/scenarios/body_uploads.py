"""Large request bodies while targets fail."""

import asyncio
import random

from dewstep_core import settings
from dewstep_emulator import promises
from dewstep_emulator.scenarios import measures, raw_http, requests, staging

KIND = "bundle"
SERVICE = "intake"
BODY_BYTES = 6_000_000
UPLOAD_COUNT = 12
MAX_ATTEMPTS = 12
CHUNK_BYTES = 20_000
CHUNK_INTERVAL_SECONDS = 0.1
CHUNKS_PER_UPLOAD = 25
"""A slow upload takes 2.5 s, longer than `TARGET_PAUSE_SECONDS`."""
TARGET_PAUSE_SECONDS = 1.3


async def upload_body(stage: staging.Stage, key: str, seed: int) -> None:
    """Send a large body generated from `seed`, so that all bodies differ."""
    body = random.Random(seed).randbytes(BODY_BYTES)
    plan = requests.find_call_plan(stage, KIND)
    await stage.caller.send_until_final(plan, key, MAX_ATTEMPTS, body=body)


@staging.scenario("large-bodies-target-killed", rate=60)
async def kill_target_during_uploads(stage: staging.Stage) -> None:
    """Kill a target while it receives large bodies."""

    def check(calls, runs):
        uploads = [call for call in calls if call.key.startswith("large")]
        for call in uploads:
            name = f"uploads: {call.failure or call.outcome}"
            stage.measures[name] = stage.measures.get(name, 0) + 1
        yield from promises.find_unserved(uploads, lambda call: True)

    stage.checks.append(check)
    target = measures.choose_target(stage, SERVICE)
    keys = await requests.find_keys(stage, SERVICE, target, UPLOAD_COUNT, "large")
    sending = [
        asyncio.ensure_future(upload_body(stage, key, number))
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
    """Send a body in small chunks, as over a slow mobile connection."""
    request_id = stage.caller.make_id(requests.find_call_plan(stage, KIND).kind)
    head = raw_http.build_head(
        "PUT", f"/intake/{key}/bundle", request_id, CHUNK_BYTES * CHUNKS_PER_UPLOAD
    )
    pieces = [head] + [bytes(CHUNK_BYTES)] * CHUNKS_PER_UPLOAD
    status = await raw_http.exchange_bytes(address, pieces, CHUNK_INTERVAL_SECONDS)
    name = f"uploads with status {status}"
    stage.measures[name] = stage.measures.get(name, 0) + 1


@staging.scenario("upload-across-pause", rate=60)
async def pause_during_uploads(stage: staging.Stage) -> None:
    """Pause a target during uploads that complete after it resumes.

    By then its shards have moved, and other requests for the keys have run at the new
    owners. The uploads must not run at the old owner under a grant that the target
    receives after it resumes.
    """
    target = measures.choose_target(stage, SERVICE)
    keys = await requests.find_keys(stage, SERVICE, target, 4, "upload")
    plan = requests.find_call_plan(stage, KIND)
    process = stage.fleet.targets[target]
    uploads = []
    for key in keys:
        entry = stage.random.choice(measures.list_serving_entries(stage))
        sending_slowly = upload_slowly(stage, entry.callers, key)
        uploads.append(asyncio.ensure_future(sending_slowly))
    await asyncio.sleep(0.5)
    process.freeze()
    await asyncio.sleep(TARGET_PAUSE_SECONDS)
    owners = await stage.fleet.read_owners(SERVICE)
    if target in owners:
        stage.violations.append(promises.NotPressed(f"{target} kept its shards"))
    for key in keys:
        await stage.caller.send_until_final(plan, key, MAX_ATTEMPTS, body=b"other")
    process.resume()
    await asyncio.gather(*uploads)
    await asyncio.sleep(1.0)
