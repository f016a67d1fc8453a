"""Most machines are lost for good while the store comes back from a copy."""

import asyncio
import os
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True
import stage3  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PART = os.environ.get("PART", "both")
"""The disruptions beside the final fault: "both", only the "store" or "machines".

With "power", the workers lose power too, and most machines are lost, without a drill; with
"workers", only the workers lose power too.
"""
COPY = TROUBLE and PART in ("both", "store")
LOSS = TROUBLE and PART in ("both", "machines", "power")
CRASH = TROUBLE and PART in ("power", "workers")
WORKERS_DOWN_S = 3.0
SERVICE = "history"
WORKERS = 6
INSTANCES = 5
BACK = 2
"""Machines that come back; the others are removed for good."""
COPY_AGE_S = 3.0
"""Age of the copy from which the store comes back."""
AWAY_S = 1.0
"""Time for which the store is away."""
DOWN_S = 1.0
"""Time until the machines come back."""
RECOVER_S = 15.0
JUDGED_S = 40.0
"""Time for which requests are judged, from `RECOVER_S` after the machines are back."""


async def script(stage: stage3.Stage) -> int:
    """Play the case; return 1 if the rule was broken."""
    for number in range(WORKERS):
        zone = list(stage3.ZONES)[number % 3]
        stage.workers.append(stage3.Worker(stage, SERVICE, zone, True))
    rules = [stage3.build_rule("r1", "/read/", SERVICE, "idempotent")]
    clusters = [stage3.build_cluster(SERVICE, sharded=True)]
    await stage.start(stage3.build_manifest(1, rules, clusters))
    await asyncio.sleep(4)
    running = list(stage.instances)

    async def send_requests() -> None:
        while True:
            if running:
                path = f"/read/{random.randrange(10**6)}"
                key = random.randrange(65_536)
                instance = random.choice(running)
                stage.spawn(stage.request(instance, path, key=key, deadline_ms=2500))
            await asyncio.sleep(0.05)

    stage.spawn(send_requests())
    await asyncio.sleep(3)
    stage.store.take_copy()
    await asyncio.sleep(COPY_AGE_S)
    before = [item for item in stage.answers if item.at]
    # The final fault, right after a manifest is acknowledged.
    manifest = stage3.build_manifest(2, rules, clusters)
    await stage.configure(manifest)
    running.clear()
    for instance in stage.instances:
        instance.signal(signal.SIGKILL)
    nodes = [instance.node for instance in stage.instances]
    if COPY:
        stage.store.set_way(nodes, "reset")
        await asyncio.sleep(AWAY_S)
        await stage.store.restore()
        stage.store.set_way(nodes, "")
        stage.record.add(f"store back from a copy, {COPY_AGE_S} s old", True)
        # The operator and the workers write what they had written.
        await stage.configure(manifest)
        for worker in stage.workers:
            await stage.store.put("servers", worker.id, worker.build_entry())
    if CRASH:
        for worker in stage.workers:
            stage.record.add(f"{worker.id} loses power")
            worker.crash()
    await asyncio.sleep(DOWN_S)
    back = stage.instances[-BACK:] if LOSS else stage.instances
    for instance in back:
        await instance.process.wait()
        await instance.start()
    running.extend(back)
    began = stage3.now()
    stage.record.add(f"{len(back)} of {INSTANCES} machines are back", True)
    if CRASH:
        await asyncio.sleep(WORKERS_DOWN_S - DOWN_S)
        for worker in stage.workers:
            # At another address, as a machine that comes back may get one.
            worker.port = 0
            await worker.start()
        began = stage3.now()
        stage.record.add("the workers are back under new ids", True)
    await asyncio.sleep(RECOVER_S + JUDGED_S + 3)
    since, until = began + RECOVER_S, began + RECOVER_S + JUDGED_S
    judged = [item for item in stage.answers if since <= item.sent_at < until]
    served = sum(item.status == 200 for item in judged)
    served_before = sum(item.status == 200 for item in before)
    stage.record.add(f"before: {served_before} of {len(before)} served", True)
    stage.record.add(
        f"sent {RECOVER_S} to {RECOVER_S + JUDGED_S} s after the machines were back: "
        f"{served} of {len(judged)} served",
        True,
    )
    broken = served * 4 < len(judged) and served_before * 4 >= len(before)
    if broken:
        stage.record.add("RECOVER: less than a quarter is served", True)
    return 1 if broken else 0


stage3.play(stage3.Stage(str(FOLDER), INSTANCES), script)
