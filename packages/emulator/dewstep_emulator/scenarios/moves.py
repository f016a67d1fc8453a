"""Acknowledged moves of shards: they survive, and no key has two owners meanwhile."""

import asyncio
from typing import NamedTuple

from returns import result

from dewstep_core import hashing
from dewstep_core.http import client
from dewstep_emulator import fleet as fleets, promises
from dewstep_emulator.scenarios import measures, pauses, staging

SERVICE = "history"
HOT_SHARDS = 3
MOVES = 24
ORDER_SECONDS = 15.0
LEAST_ACKNOWLEDGED = 5


class MoveLost(NamedTuple):
    """A shard is not where an acknowledged order has put it."""

    shard: int
    ordered: str
    owner: str


async def order_move(entry: fleets.EntryHandle, shard: int, target: str) -> bool:
    """Order a move; return whether it was acknowledged."""
    caller = client.Client(entry.operators, ORDER_SECONDS)
    order = {"service": SERVICE, "shard": shard, "target": target}
    answer = await caller.call_json("POST", "/orders/move", order)
    await caller.close()
    return isinstance(answer, result.Success) and answer.unwrap().status == 200


async def move_to_and_fro(stage: staging.Stage, shards: list[int]) -> dict[int, str]:
    """Move hot shards between targets; return where the last orders put them.

    The shards are moved at the same time, so that gates write the same row.
    """
    placed: dict[int, str] = {}
    different = list(dict.fromkeys(shards))
    counts = await asyncio.gather(
        *(
            move_repeatedly(stage, shard, MOVES // len(different), placed)
            for shard in different
        )
    )
    stage.measures["acknowledged moves"] = sum(counts)
    if sum(counts) < LEAST_ACKNOWLEDGED:
        stage.violations.append(promises.NotPressed(f"{sum(counts)} moves"))
    return placed


async def move_repeatedly(
    stage: staging.Stage, shard: int, moves: int, placed: dict[int, str]
) -> int:
    """Move one shard between targets; return how many orders were acknowledged.

    An order whose outcome is not known leaves open where the shard is.
    """
    names = sorted(
        name for name in stage.fleet.targets if name.startswith(f"{SERVICE}-")
    )
    acknowledged = 0
    for _ in range(moves):
        owner = (await stage.fleet.read_owners(SERVICE))[shard]
        if placed.get(shard, owner) != owner:
            stage.violations.append(MoveLost(shard, placed[shard], owner))
        gate = await measures.find_gate(stage, owner)
        target = stage.random.choice([name for name in names if name != owner])
        placed.pop(shard, None)
        if gate.process.is_running() and await order_move(gate, shard, target):
            placed[shard] = target
            acknowledged += 1
        await asyncio.sleep(0.05)
    return acknowledged


async def check_placed(stage: staging.Stage, placed: dict[int, str]) -> None:
    """Require that the last acknowledged orders are still in force."""
    owners = await stage.fleet.read_owners(SERVICE)
    for shard, target in placed.items():
        if owners[shard] != target:
            stage.violations.append(MoveLost(shard, target, owners[shard]))


async def start_hot(stage: staging.Stage) -> tuple[list[int], asyncio.Task]:
    """Send slow requests for keys of a few shards; return the shards."""
    for name, process in stage.fleet.targets.items():
        if name.startswith(SERVICE):
            await stage.fleet.set_faults(process, {"slow_factor": 15.0})
    count = len(await stage.fleet.read_owners(SERVICE))
    keys = [f"moved-{number}" for number in range(HOT_SHARDS)]
    shards = [hashing.compute_shard(key, count) for key in keys]
    return shards, asyncio.ensure_future(pauses.send_steadily(stage, "due", keys))


@staging.scenario("shards-moved", rate=60, planned=True)
async def move_shards(stage: staging.Stage) -> None:
    """Move hot shards while their requests are in progress."""
    shards, sending = await start_hot(stage)
    await check_placed(stage, await move_to_and_fro(stage, shards))
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)


@staging.scenario("shards-moved-answers-lost", rate=60)
async def move_with_faults(stage: staging.Stage) -> None:
    """Move hot shards while answers of the table are lost and gates are killed."""
    fleet = stage.fleet
    faults = {"lose_answers": {"ratio": 0.4, "seed": stage.random.randrange(1000)}}
    await fleet.set_faults(fleet.table_process, faults)
    shards, sending = await start_hot(stage)
    moving = asyncio.ensure_future(move_to_and_fro(stage, shards))
    await asyncio.sleep(1.5)
    gate = await measures.find_gate(stage, measures.choose_target(stage, SERVICE))
    await gate.process.kill()
    placed = await moving
    await fleet.set_faults(fleet.table_process, {"lose_answers": None})
    await asyncio.sleep(1.0)
    await check_placed(stage, placed)
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)
