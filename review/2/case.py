"""The store comes back from a copy of before the first election; all processes are new.

Exits with 1 if OWNER is broken, 0 if it holds, 2 if the case cannot run.
"""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRILL = TROUBLE and os.environ.get("DRILL", "1") != "0"
KILL = TROUBLE and os.environ.get("KILL", "1") != "0"
MACHINES, WORKERS = 3, 4
RATE = 60
HOT_KEYS = range(3000, 3008)
AWAY_S = 4.5
"""How long the store is away."""
KILLED_BEFORE_S = 0.5
"""Time before its return at which the processes are killed."""
DOWN_S = 0.6
WATCHED_S = 15.0
MAX_SHARED_S = 0.5
SAMPLE_S = 0.05
KEYS = [*range(0, 65536, 64), *HOT_KEYS]


class Watcher:
    """Finds keys that two workers hold at the same time."""

    def __init__(self, workers, record):
        self.workers, self.record = workers, record
        self.since = {}
        self.longest = {}
        """Longest time for which two workers held a key, and which."""

    async def run(self):
        while True:
            at = time.monotonic()
            for key in KEYS:
                holders = tuple(
                    worker.id
                    for worker in self.workers
                    if not worker.crashed and worker.holds_key(key)
                )
                if len(holders) < 2:
                    self.since.pop(key, None)
                    continue
                if self.since.get(key, (None,))[0] != holders:
                    self.since[key] = holders, at
                    self.record.write(f"key {key} is held by {' and '.join(holders)}")
                lasted = at - self.since[key][1]
                if lasted > self.longest.get(key, (0.0,))[0]:
                    self.longest[key] = lasted, holders
            await asyncio.sleep(SAMPLE_S)


async def main():
    record = standins.Record(FOLDER)
    async with standins.running(record) as (folder, machines):
        store = standins.Store("127.0.0.1", record)
        await store.start()
        rules = [standins.build_rule("r-1", "idempotent", "/cars/", "history")]
        manifest = standins.build_manifest(3, [("history", True)], rules)
        store.put("op", "config", manifest)
        workers = []
        for number in range(WORKERS):
            worker = standins.Worker(
                f"127.0.2.{number + 1}", "history", store, record, work_s=0.15
            )
            await worker.begin()
            workers.append(worker)
        copy = store.take_copy()
        copied_at = time.monotonic()
        record.say("a copy of the store is taken; the machines start")
        balancer = standins.Balancer()
        for number in range(MACHINES):
            machine = standins.Machine(
                f"edge-{number + 1}", f"127.0.1.{number + 1}", store, record, folder
            )
            machines.append(machine)
            balancer.machines.append(machine)
        await asyncio.gather(*(machine.start() for machine in machines))
        balancer.start()
        watcher = Watcher(workers, record)
        watching = asyncio.create_task(watcher.run())
        statuses = []
        sent = set()

        async def send():
            machine = balancer.choose()
            key = random.choice(HOT_KEYS) if random.random() < 0.44 else random.randrange(65536)
            request_id, status, _, _ = await standins.send_request(
                machine, "GET", "/cars/7", "dealer.example", [("X-Shard-Key", str(key))]
            )
            statuses.append(status)
            record.write(f"request {request_id} key {key} at {machine.node}: {status}")

        async def traffic():
            while True:
                task = asyncio.create_task(send())
                sent.add(task)
                task.add_done_callback(sent.discard)
                await asyncio.sleep(1 / RATE)

        sending = asyncio.create_task(traffic())
        await standins.wait_until(
            lambda: statuses[-20:].count(200) >= 15, 15, "served requests"
        )
        await asyncio.sleep(2.0)
        if DRILL:
            record.say("the store is away")
            store.go_away()
        await asyncio.sleep(AWAY_S - KILLED_BEFORE_S)
        if KILL:
            record.say("all processes are killed")
            for machine in machines:
                machine.signal(signal.SIGKILL)
        await asyncio.sleep(KILLED_BEFORE_S)
        if DRILL:
            age = time.monotonic() - copied_at
            store.come_back(copy)
            record.say(f"the store is back from a copy {age:.1f} s old, era {store.era}")
            store.put("op", "config", manifest)
        if KILL:
            await asyncio.sleep(DOWN_S)
            for machine in machines:
                await machine.start()
        await asyncio.sleep(WATCHED_S)
        watching.cancel()
        sending.cancel()
        record.say(f"{statuses.count(200)} of {len(statuses)} requests served")
        broken = {key: item for key, item in watcher.longest.items() if item[0] > MAX_SHARED_S}
        if broken:
            lasted, holders = max(broken.values())
            record.say(
                f"{len(broken)} of {len(KEYS)} watched keys were held by two workers for over "
                f"{MAX_SHARED_S} s, the longest for {lasted:.1f} s by {' and '.join(holders)}"
            )
        record.say("OWNER is broken" if broken else "OWNER holds")
        return 1 if broken else 0


if __name__ == "__main__":
    standins.run_case(main, 80)
