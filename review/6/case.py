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
CUT_S = 10.5
MIN_OVERLAP_S = 0.5


def count_shared(worker, others):
    """Return the keys that a worker holds beside another one at this moment."""
    held = [span for span in worker.holds if span[2] > now()]
    return {
        key
        for other in others
        for first, last, until, _ in other.holds
        if until > now()
        for own_first, own_last, _, _ in held
        for key in range(max(first, own_first), min(last, own_last) + 1)
    }


async def watch(world, worker, longest):
    """Record for how long without a break each key has had two holders."""
    since = {}
    while True:
        at = now()
        others = [item for item in world.workers if item.up and item is not worker]
        shared = count_shared(worker, others)
        since = {key: since.get(key, at) for key in shared}
        for key, began in since.items():
            longest[key] = max(longest.get(key, 0.0), at - began)
        await asyncio.sleep(0.05)


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
        cut_at = now()
        longest = {}
        watching = asyncio.ensure_future(watch(world, joined, longest))
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
        await asyncio.sleep(max(0.0, CUT_S - (now() - cut_at)))
        joined.cut = False
        joined.known = None
        joined.register()
        world.record.add("cut_ended", lasted=round(now() - cut_at, 2))
        await asyncio.sleep(3)
        stopped.set()
        await asyncio.gather(*callers)
        watching.cancel()
        keys = [key for key, seconds in longest.items() if seconds > MIN_OVERLAP_S]
        seconds = max(longest.values(), default=0.0)
        print(
            f"{len(keys)} keys were held by two workers for over {MIN_OVERLAP_S} s, "
            f"for up to {seconds:.1f} s"
        )
        if keys:
            world.record.break_rule("OWNER", keys=len(keys), seconds=round(seconds, 2))
        return int(bool(keys))
    finally:
        await world.finish()
        world.record.write()


sys.exit(asyncio.run(run()))
