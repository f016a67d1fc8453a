"""A drill of the store and a power failure, with a worker that does not reach the store.

Three machines. A worker joins and gets keys. Then the store is away for 4.5 s and comes
back from a copy of before the machines started; the worker is partitioned from the store
from the start of the drill on. All processes are killed 0.5 s before the store is back,
and start again 1.1 s later.
"""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import peers  # noqa: E402
from peers import now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
CUT = TROUBLE and os.environ.get("CUT") != "0"
DRILL = TROUBLE and os.environ.get("DRILL") != "0"
KILL = TROUBLE and os.environ.get("KILL") != "0"
AWAY_S = 4.5
KILL_BEFORE_RETURN_S = 0.5
DOWN_S = 1.1
CUT_S = 11.0
MIN_OVERLAP_S = 0.5


async def run():
    world = peers.World(seed=1, path=HERE / "record.txt", net=237)
    stopped = asyncio.Event()

    async def call_often():
        while not stopped.is_set():
            await world.send(world.random.choice(world.nodes), "look")
            await asyncio.sleep(0.05)

    try:
        began = now()
        if not await world.begin(3, 5, 2):
            print("the machines did not become ready")
            return 2
        callers = [asyncio.ensure_future(call_often()) for _ in range(8)]
        joined = peers.Worker(world, "history", "za", sharded=True, work=0.1)
        await joined.start()
        for _ in range(60):
            await asyncio.sleep(0.1)
            if joined.holds:
                break
        if not joined.holds:
            print("the new worker got no keys")
            return 2
        await asyncio.sleep(0.5)
        joined.cut = CUT
        if DRILL:
            world.store_away = True
            for node in world.nodes:
                world.store.modes[node.name] = "silent"
            world.record.add("store_away")
        await asyncio.sleep(AWAY_S - KILL_BEFORE_RETURN_S)
        killed_at = now()
        if KILL:
            await asyncio.gather(*(node.kill() for node in world.nodes))
        await asyncio.sleep(max(0.0, KILL_BEFORE_RETURN_S - (now() - killed_at)))
        if DRILL:
            world.store.restore(now() - began - 0.05)
            world.store_away = False
            for node in world.nodes:
                world.store.modes[node.name] = ""
            world.record.add("store_back", age=round(now() - began, 2), rows=len(world.store.rows))
            world.write_manifest()
            for worker in world.workers:
                if worker.up and not worker.cut:
                    worker.known = None
                    worker.register()
        await asyncio.sleep(max(0.0, DOWN_S - (now() - killed_at)))
        if KILL:
            await asyncio.gather(*(node.start() for node in world.nodes))
        await asyncio.sleep(CUT_S - AWAY_S)
        joined.cut = False
        joined.known = None
        joined.register()
        await asyncio.sleep(3)
        stopped.set()
        await asyncio.gather(*callers)
        overlaps = [
            fields
            for rule, _, fields in world.record.broken
            if rule == "OWNER-hold" and fields["left"] > MIN_OVERLAP_S
        ]
        keys = sum(fields["last"] - fields["first"] + 1 for fields in overlaps)
        longest = max((fields["left"] for fields in overlaps), default=0.0)
        print(f"{keys} keys were held by two workers for over 0.5 s, for up to {longest:.1f} s")
        return int(bool(overlaps))
    finally:
        await world.finish()
        world.record.write()


sys.exit(asyncio.run(run()))
