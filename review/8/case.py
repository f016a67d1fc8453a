"""A manifest adds a route of quick requests to a service whose requests take longer.

Three machines without any impairment. Requests to the service `booker` take 290 ms on
average. A new manifest adds a route to it whose requests take 40 ms and have a time-out
of 150 ms. The workers are far from full.
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
TIMEOUT = "150ms" if TROUBLE else "3000ms"
"""Time-out of the added route. Without the trouble it is that of the first routes."""
APPLY_S = 2.0
SETTLING_S = 3.0
"""Time from the ack until requests count: `apply` and a second more."""
WATCHED_S = 20.0


async def run():
    world = peers.World(seed=1, path=HERE / "record.txt", net=235)
    world.works = {"book": 0.29, "list": 0.29, "quick": 0.04}
    stopped = asyncio.Event()
    kinds = ["book", "list"]

    async def call_often(kind, pause_s):
        while not stopped.is_set():
            await world.send(world.random.choice(world.nodes), kind, deadline=3.0)
            await asyncio.sleep(pause_s)

    try:
        if not await world.begin(3, 3, 6):
            print("the machines did not become ready")
            return 2
        callers = [asyncio.ensure_future(call_often(kind, 0.2)) for kind in kinds * 2]
        await asyncio.sleep(5)
        world.version += 1
        world.added_rules.append(
            peers.build_rule("quick", "/quick/", "booker", "idempotent", 3, TIMEOUT, "100ms", 1)
        )
        world.write_manifest()
        world.record.add("manifest_acknowledged", version=world.version, timeout=TIMEOUT)
        counted_from = now() + SETTLING_S
        callers += [asyncio.ensure_future(call_often("quick", 0.2)) for _ in range(2)]
        await asyncio.sleep(SETTLING_S + WATCHED_S)
        stopped.set()
        await asyncio.gather(*callers)
        shares = {}
        for name in ("first", "added"):
            counted = [
                item
                for item in world.attempts.values()
                if item["sent"] > counted_from and ("/quick/" in item["path"]) == (name == "added")
            ]
            served = sum(item["status"] == 200 for item in counted)
            reached = sum(bool(item["arrivals"]) for item in counted)
            shares[name] = served / len(counted)
            print(f"{name} routes: {served} of {len(counted)} served, {reached} reached a worker")
        broken = shares["added"] < shares["first"] / 4
        if broken:
            world.record.break_rule("CONFIG", shares=shares)
        return int(broken)
    finally:
        await world.finish()
        world.record.write()


sys.exit(asyncio.run(run()))
