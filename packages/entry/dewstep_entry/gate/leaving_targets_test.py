"""Tests of requests and moves to targets that are leaving."""

import asyncio

import pytest

from dewstep_core import data, errors
from dewstep_entry.gate import fakes_test as fakes, fleet_test

MS, SECOND = fakes.MS, fakes.SECOND


def announce(fleet, process, name, source):
    """Let a process learn that a target is leaving."""
    if source == "instance list":
        process.set_leaving(frozenset({name}), frozenset())
        return
    target = fleet.configuration.targets[name]._replace(draining=True)
    targets = {**fleet.configuration.targets, name: target}
    process.view_holder.offer_configuration(
        data.Configuration(2, {"s": fakes.SERVICE}, targets)
    )


def assign(process, owner):
    """Let a process learn that all shards now belong to a target."""
    known = process.view_holder.current.assignments["s"]
    changed = known._replace(version=known.version + 1, owners=(owner,) * 8)
    process.view_holder.offer_assignment(changed)


SOURCES = pytest.mark.parametrize("source", ["configuration", "instance list"])


# Guards against keys that move to a target which began to leave while the move waited
# for the requests in progress.
@SOURCES
@pytest.mark.parametrize("subject", ["shard", "key"])
def test_nothing_moves_to_a_target_that_has_begun_to_leave(source, subject):
    async def scenario():
        fleet = fleet_test.Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        hold = fleet.servers["t1"].hold = asyncio.Event()
        running = asyncio.ensure_future(fleet.send_request(process))
        await fakes.run_ready_tasks()
        if subject == "shard":
            work = process.move_shards("s", {fleet_test.SHARD: "t2"})
        else:
            work = process.move_key("s", "k1", "t2")
        moving = asyncio.ensure_future(work)
        await fleet.pass_time(100 * MS)
        announce(fleet, process, "t2", source)
        await fleet.pass_time(100 * MS)
        hold.set()
        assert (await running).unwrap()
        outcome = await moving
        outcome = outcome["t1"] if subject == "shard" else outcome
        assert outcome.failure() == errors.TargetLeaving("t2")
        assert set(fleet.read_owners()) == {"t1"}
        assert (await fleet.send_request(process, "r2")).unwrap()

    fleet_test.run_scenario(scenario)


# Guards against requests to a target that has been leaving for long, when shards arrive
# there by a move that another process planned before.
@SOURCES
def test_leaving_target_to_which_shards_move_receives_nothing(source):
    async def scenario():
        fleet = fleet_test.Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        announce(fleet, process, "t2", source)
        await fleet.pass_time(3 * SECOND)
        assign(process, "t2")
        refused = await fleet.send_request(process)
        assert isinstance(refused.failure(), errors.ShardMoving)
        assert not fleet.servers["t2"].runs

    fleet_test.run_scenario(scenario)


# Guards against requests that a new gate sends to a leaving target before its first
# check.
@SOURCES
def test_new_gate_of_a_leaving_target_sends_nothing(source):
    async def scenario():
        fleet = fleet_test.Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.table.down = True
        announce(fleet, process, "t1", source)
        await fleet.pass_time(100 * MS)
        fleet.table.down = False
        assert await process.raise_term(process.gates["t1"])
        await fakes.run_ready_tasks()
        refused = await fleet.send_request(process)
        assert isinstance(refused.failure(), errors.ShardMoving)
        assert not fleet.servers["t1"].runs

    fleet_test.run_scenario(scenario)


# Guards against a request that is sent long after the target has begun to leave, as it
# waited for its claim.
@SOURCES
def test_request_that_waited_for_its_claim_is_not_sent_to_a_leaving_target(source):
    async def scenario():
        fleet = fleet_test.Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        commit, answered = fleet.table.commit, asyncio.Event()

        async def wait(transaction):
            await answered.wait()
            return await commit(transaction)

        fleet.table.commit = wait
        running = asyncio.ensure_future(fleet.send_request(process, kind="book"))
        await fakes.run_ready_tasks()
        announce(fleet, process, "t1", source)
        await fleet.pass_time(2 * SECOND)
        answered.set()
        assert (await running).failure() == errors.TargetLeaving("t1")
        assert not fleet.servers["t1"].runs

    fleet_test.run_scenario(scenario)


# Guards against a target that stays blocked after it has turned out not to leave.
def test_target_that_stays_is_sent_requests_again():
    async def scenario():
        fleet = fleet_test.Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.table.down = True
        announce(fleet, process, "t1", "instance list")
        await fleet.pass_time(2 * SECOND)
        process.set_leaving(frozenset(), frozenset())
        await fleet.pass_time(SECOND)
        assert (await fleet.send_request(process)).unwrap()
        assert fleet.servers["t1"].runs

    fleet_test.run_scenario(scenario)
