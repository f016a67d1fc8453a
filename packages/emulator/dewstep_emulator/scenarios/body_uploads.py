"""Large request bodies while targets fail."""

import asyncio
import random

from dewstep_core import settings
from dewstep_emulator import promises
from dewstep_emulator.scenarios import measures, raw_http, requests, scenario_runs

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


async def upload_body(
    scenario_run: scenario_runs.ScenarioRun, key: str, seed: int
) -> None:
    """Send a large body generated from `seed`, so that all bodies differ."""
    body = random.Random(seed).randbytes(BODY_BYTES)
    plan = requests.find_call_plan(scenario_run, KIND)
    await scenario_run.caller.send_until_final(plan, key, MAX_ATTEMPTS, body=body)


@scenario_runs.scenario("large-bodies-target-killed", rate=60)
async def kill_target_during_uploads(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Kill a target while it receives large bodies."""

    def check(calls, runs):
        uploads = [call for call in calls if call.key.startswith("large")]
        for call in uploads:
            name = f"uploads: {call.failure or call.outcome}"
            scenario_run.measures[name] = scenario_run.measures.get(name, 0) + 1
        yield from promises.find_unserved(uploads, lambda call: True)

    scenario_run.checks.append(check)
    target = measures.choose_target(scenario_run, SERVICE)
    keys = await requests.find_keys(
        scenario_run, SERVICE, target, UPLOAD_COUNT, "large"
    )
    sending = [
        asyncio.ensure_future(upload_body(scenario_run, key, number))
        for number, key in enumerate(keys)
    ]
    await asyncio.sleep(0.15)
    await scenario_run.fleet.targets[target].kill()
    await asyncio.sleep(1.5)
    await scenario_run.fleet.restart_target(target)
    await asyncio.gather(*sending)


async def upload_slowly(
    scenario_run: scenario_runs.ScenarioRun, address: settings.Address, key: str
) -> None:
    """Send a body in small chunks, as over a slow mobile connection."""
    request_id = scenario_run.caller.make_request_id(
        requests.find_call_plan(scenario_run, KIND).kind
    )
    head = raw_http.build_head(
        "PUT", f"/intake/{key}/bundle", request_id, CHUNK_BYTES * CHUNKS_PER_UPLOAD
    )
    pieces = [head] + [bytes(CHUNK_BYTES)] * CHUNKS_PER_UPLOAD
    status = await raw_http.exchange_bytes(address, pieces, CHUNK_INTERVAL_SECONDS)
    name = f"uploads with status {status}"
    scenario_run.measures[name] = scenario_run.measures.get(name, 0) + 1


@scenario_runs.scenario("upload-across-pause", rate=60)
async def pause_during_uploads(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Pause a target during uploads that complete after it resumes.

    By then its shards have moved, and other requests for the keys have run at the new
    owners. The uploads must not run at the old owner under a grant that the target
    receives after it resumes.
    """
    target = measures.choose_target(scenario_run, SERVICE)
    keys = await requests.find_keys(scenario_run, SERVICE, target, 4, "upload")
    plan = requests.find_call_plan(scenario_run, KIND)
    process = scenario_run.fleet.targets[target]
    uploads = []
    for key in keys:
        entry = scenario_run.random.choice(measures.list_serving_entries(scenario_run))
        sending_slowly = upload_slowly(scenario_run, entry.callers, key)
        uploads.append(asyncio.ensure_future(sending_slowly))
    await asyncio.sleep(0.5)
    process.freeze()
    await asyncio.sleep(TARGET_PAUSE_SECONDS)
    owners = await scenario_run.fleet.read_owners(SERVICE)
    if target in owners:
        scenario_run.violations.append(
            promises.ConditionNotReached(f"{target} kept its shards")
        )
    for key in keys:
        await scenario_run.caller.send_until_final(
            plan, key, MAX_ATTEMPTS, body=b"other"
        )
    process.resume()
    await asyncio.gather(*uploads)
    await asyncio.sleep(1.0)
