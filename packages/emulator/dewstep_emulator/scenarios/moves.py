"""Shard moves: acknowledged moves persist, and no key has two owners at a time."""

import asyncio
from typing import NamedTuple

from returns import result

from dewstep_core import hashing
from dewstep_core.http import client
from dewstep_emulator import fleets, promises
from dewstep_emulator.scenarios import measures, pauses, scenario_runs

SERVICE = "history"
HOT_KEYS = 3
TOTAL_MOVES = 24
ORDER_TIMEOUT_SECONDS = 15.0
MIN_ACKNOWLEDGED_MOVES = 5


class MoveLost(NamedTuple):
    """A shard is not owned by the target of an acknowledged move."""

    shard: int
    ordered: str
    owner: str


async def order_move(entry: fleets.EntryHandle, shard: int, target: str) -> bool:
    """Request a move; return whether it was acknowledged."""
    caller = client.Client(entry.operators, ORDER_TIMEOUT_SECONDS)
    order = {"service": SERVICE, "shard": shard, "target": target}
    answer = await caller.call_json("POST", "/orders/move", order)
    await caller.close()
    return isinstance(answer, result.Success) and answer.unwrap().status == 200


async def move_between_targets(
    scenario_run: scenario_runs.ScenarioRun, shards: list[int]
) -> dict[int, str]:
    """Move hot shards between targets; return the owners last acknowledged.

    The shards move concurrently, so that gates write the same row.
    """
    acknowledged_owners: dict[int, str] = {}
    distinct_shards = list(dict.fromkeys(shards))
    counts = await asyncio.gather(
        *(
            move_repeatedly(
                scenario_run,
                shard,
                TOTAL_MOVES // len(distinct_shards),
                acknowledged_owners,
            )
            for shard in distinct_shards
        )
    )
    scenario_run.measures["acknowledged moves"] = sum(counts)
    if sum(counts) < MIN_ACKNOWLEDGED_MOVES:
        scenario_run.violations.append(
            promises.ConditionNotReached(f"{sum(counts)} moves were acknowledged")
        )
    return acknowledged_owners


async def move_repeatedly(
    scenario_run: scenario_runs.ScenarioRun,
    shard: int,
    moves: int,
    acknowledged_owners: dict[int, str],
) -> int:
    """Move one shard between targets; return how many moves were acknowledged.

    A move with an unknown outcome removes the shard from `acknowledged_owners`.
    """
    names = sorted(
        name for name in scenario_run.fleet.targets if name.startswith(f"{SERVICE}-")
    )
    acknowledged = 0
    for _ in range(moves):
        owner = (await scenario_run.fleet.read_owners(SERVICE))[shard]
        if acknowledged_owners.get(shard, owner) != owner:
            scenario_run.violations.append(
                MoveLost(shard, acknowledged_owners[shard], owner)
            )
        gate = await measures.find_gate(scenario_run, owner)
        target = scenario_run.random.choice([name for name in names if name != owner])
        acknowledged_owners.pop(shard, None)
        if gate.process.is_running() and await order_move(gate, shard, target):
            acknowledged_owners[shard] = target
            acknowledged += 1
        await asyncio.sleep(0.05)
    return acknowledged


async def check_acknowledged_owners(
    scenario_run: scenario_runs.ScenarioRun, acknowledged_owners: dict[int, str]
) -> None:
    """Require that the last acknowledged moves are still in force."""
    owners = await scenario_run.fleet.read_owners(SERVICE)
    for shard, target in acknowledged_owners.items():
        if owners[shard] != target:
            scenario_run.violations.append(MoveLost(shard, target, owners[shard]))


async def start_hot_key_load(
    scenario_run: scenario_runs.ScenarioRun,
) -> tuple[list[int], asyncio.Task]:
    """Start slow requests for keys of a few shards; return the shards and the task."""
    for name, process in scenario_run.fleet.targets.items():
        if name.startswith(SERVICE):
            await scenario_run.fleet.set_faults(process, {"slow_factor": 15.0})
    count = len(await scenario_run.fleet.read_owners(SERVICE))
    keys = [f"moved-{number}" for number in range(HOT_KEYS)]
    shards = [hashing.compute_shard(key, count) for key in keys]
    return shards, asyncio.ensure_future(
        pauses.send_steadily(scenario_run, "due", keys)
    )


@scenario_runs.scenario("shards-moved", rate=60, forbid_unknown_outcomes=True)
async def move_shards(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Move hot shards while their requests are in progress."""
    shards, sending = await start_hot_key_load(scenario_run)
    await check_acknowledged_owners(
        scenario_run, await move_between_targets(scenario_run, shards)
    )
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)


@scenario_runs.scenario("shards-moved-answers-lost", rate=60)
async def move_with_faults(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Move hot shards while table answers are lost and a gate is killed."""
    fleet = scenario_run.fleet
    faults = {
        "lose_answers": {"ratio": 0.4, "seed": scenario_run.random.randrange(1000)}
    }
    await fleet.set_faults(fleet.table_process, faults)
    shards, sending = await start_hot_key_load(scenario_run)
    moving = asyncio.ensure_future(move_between_targets(scenario_run, shards))
    await asyncio.sleep(1.5)
    gate = await measures.find_gate(
        scenario_run, measures.choose_target(scenario_run, SERVICE)
    )
    await gate.process.kill()
    acknowledged_owners = await moving
    await fleet.set_faults(fleet.table_process, {"lose_answers": None})
    await asyncio.sleep(1.0)
    await check_acknowledged_owners(scenario_run, acknowledged_owners)
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)
