"""A request that crashes workers goes on doing so after the coordinator is killed."""

import asyncio
import collections
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
SERVICE = "reader"
WORKERS = 14
CRASHING_PATH = "/read/crashing"
INTERVAL_S = 0.5
"""Time between two attempts of the crashing request."""
BACK_S = 3.0
"""Time until a crashed worker is back."""
RESTART_S = 0.3
"""Time until a killed process is started again."""
STABLE_S = 3.0
MAX_RETRIES = 3
KILLS_AT = (12.0, 26.0, 40.0)
"""Times of the kills after the first attempt of the crashing request."""
LENGTH_S = 54.0


async def crash_worker(worker, run, writer) -> bool:
    """Crash the worker if it begins to run the crashing request."""
    if run.path != CRASHING_PATH:
        return False
    worker.stage.record.add(f"crash of {worker.id} by {run.request_id}", True)
    worker.crash()

    async def come_back() -> None:
        await asyncio.sleep(BACK_S)
        await worker.start()

    worker.stage.spawn(come_back())
    return True


def find_late_runs(stage: stage3.Stage, sent_to: dict) -> list:
    """Return the runs of the crashing request that the rule counts.

    They were sent by machines in touch, later than `stable_window` after the third
    crash. The margin of 0.2 s is on the side of the rule's excuses.
    """
    runs = [run for run in stage.runs if run.path == CRASHING_PATH]
    if len(runs) < 3:
        return []
    since = runs[2].at + STABLE_S + 0.2
    return [
        run
        for run in runs
        if run.at > since and run.at > find_start(sent_to[run.request_id], run.at)
    ]


def find_start(instance, at: float) -> float:
    """Return since when an instance has been in touch, as of a time."""
    starts = [start for start in instance.starts if start <= at]
    kills = [kill for kill in instance.kills if kill <= at]
    return max([*starts, *kills]) + STABLE_S + 0.2


async def script(stage: stage3.Stage) -> int:
    """Play the case; return 1 if the rule was broken."""
    for number in range(WORKERS):
        zone = list(stage3.ZONES)[number % 3]
        worker = stage3.Worker(stage, SERVICE, zone, False)
        worker.work = 0.1
        worker.on_request = crash_worker
        stage.workers.append(worker)
    for instance in stage.instances:
        instance.starts, instance.kills = [0.0], []
    rules = [stage3.build_rule("r1", "/read/", SERVICE, "idempotent")]
    clusters = [stage3.build_cluster(SERVICE)]
    await stage.start(stage3.build_manifest(1, rules, clusters))
    await asyncio.sleep(4)
    sent_to: dict = {}

    async def send_ordinary() -> None:
        while True:
            instance = random.choice(stage.instances)
            path = f"/read/{random.randrange(10**6)}"
            stage.spawn(stage.request(instance, path, deadline_ms=2500))
            await asyncio.sleep(0.05)

    async def send_crashing() -> None:
        while True:
            instance = random.choice(stage.instances)

            async def attempt(to=instance) -> None:
                answer = await stage.request(to, CRASHING_PATH, deadline_ms=2500)
                sent_to[answer.request_id] = to

            stage.spawn(attempt())
            await asyncio.sleep(INTERVAL_S)

    stage.spawn(send_ordinary())
    began = stage3.now()
    stage.spawn(send_crashing())
    for at in KILLS_AT if TROUBLE else ():
        await asyncio.sleep(began + at - stage3.now())
        killed = stage.find_coordinator()
        killed.signal(signal.SIGKILL)
        killed.kills.append(stage3.now())
        await killed.process.wait()
        await asyncio.sleep(RESTART_S)
        await killed.start()
        killed.starts.append(stage3.now())
    await asyncio.sleep(began + LENGTH_S - stage3.now())
    await asyncio.sleep(0)
    late = find_late_runs(stage, sent_to)
    crashes = [run for run in stage.runs if run.path == CRASHING_PATH]
    by_node = collections.Counter(sent_to[run.request_id].node for run in late)
    attempts = len({run.request_id for run in late})
    stage.record.add(
        f"{len(crashes)} crashes; {len(late)} runs of {attempts} attempts count, "
        f"by instance: {dict(by_node)}",
        True,
    )
    broken = attempts > MAX_RETRIES
    if broken:
        stage.record.add(f"BUDGET: {attempts} retries reached workers", True)
    return 1 if broken else 0


stage3.play(stage3.Stage(str(FOLDER), 5), script)
