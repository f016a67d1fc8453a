"""A worker leaves after connections to the store have gone silent.

Four machines. The connections on which they wait for changes of the table `servers` go
silent for good, without a reset; all other connections and all new ones work. Half a
second later a worker reports `draining`, which the store acknowledges. It serves on for
some seconds, as the pages allow, and exits.
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
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
LEAVING_AFTER_S = 0.5
"""Time from the silence to the worker's report."""
SERVES_FOR_S = 3.9
"""Time for which the worker serves after the store's ack of its report."""
CALLERS = 24
WORK_S = 0.29
"""Mean time of a request, as on the sheet for bookings."""


async def run():
    world = peers.World(seed=1, path=HERE / "record.txt", net=233)
    stopped = asyncio.Event()

    async def call_often():
        while not stopped.is_set():
            node = world.random.choice(world.nodes)
            await world.send(node, world.random.choice(["book", "list", "look"]))

    try:
        if not await world.begin(4, 4, 8, work=WORK_S):
            print("the machines did not become ready")
            return 2
        callers = [asyncio.ensure_future(call_often()) for _ in range(CALLERS)]
        await asyncio.sleep(4)
        leaving = next(item for item in world.workers if item.service == "booker")
        # A worker joins, as in a release: the old one leaves after it.
        await peers.Worker(world, "booker", leaving.zone, work=WORK_S).start()
        await asyncio.sleep(0.5)
        silent_at = now()
        if TROUBLE:
            world.store.silence("servers")
            world.record.add("connections_silent", table="servers")
        await asyncio.sleep(LEAVING_AFTER_S)
        leaving.state = "draining"
        leaving.register()
        acknowledged_at = now()
        world.record.add("draining_acknowledged", id=leaving.name)
        await asyncio.sleep(SERVES_FOR_S)
        leaving.end()
        exited_at = now()
        await asyncio.sleep(3)
        stopped.set()
        await asyncio.gather(*callers)
        # All machines are in touch again `stable_window` after the silence.
        counted_from = max(acknowledged_at + DRAIN_S, silent_at + STABLE_WINDOW_S)
        late = [
            (at, attempt)
            for at, attempt in leaving.arrivals
            if at > counted_from and world.attempts[attempt]["sent"] > counted_from
        ]
        for at, attempt in late:
            world.record.break_rule(
                "DRAIN",
                attempt=attempt,
                node=world.attempts[attempt]["node"],
                after_ack=f"{at - acknowledged_at:.3f}",
            )
        cut = [
            attempt
            for _, attempt in leaving.arrivals
            if world.attempts[attempt]["method"] == "POST"
            and world.attempts[attempt]["status"] == 502
        ]
        print(
            f"{len(late)} requests reached the worker later than {DRAIN_S} s after the "
            f"ack, the last one {max([at for at, _ in leaving.arrivals]) - acknowledged_at:.2f} s "
            f"after it; it exited {exited_at - acknowledged_at:.2f} s after it; "
            f"{len(cut)} bookings were cut off there"
        )
        return int(bool(late))
    finally:
        await world.finish()
        world.record.write()


sys.exit(asyncio.run(run()))
