import asyncio

import pytest

from dewstep_core import data, errors
from dewstep_entry.gate import fakes_test as fakes, fleet_test, rows

MS, SECOND = fakes.MS, fakes.SECOND


@pytest.mark.parametrize("fault", ["", "lost-before", "lost-after"])
def test_shards_of_a_lost_target_move_within_one_second(fault):
    async def scenario():
        fleet = fleet_test.Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.servers["t1"].reachable = False
        fleet.table.faults = [fault]
        lost_at = fleet.clock.monotonic()
        while set(fleet.read_owners()) != {"t2"}:
            await fleet.pass_time(50 * MS)
        server, now = fleet.servers["t1"], fleet.clock.monotonic()
        assert server.expires - server.offset < now < lost_at + SECOND
        await fleet.pass_time(250 * MS)
        assert (await fleet.send_request(process)).unwrap()
        assert fleet.servers["t2"].runs == [("r1", 1)]

    fleet_test.run_scenario(scenario)


def test_an_evacuated_target_gets_no_more_grants_of_its_old_term():
    """Guards against running requests of the old term when a target returns."""

    async def scenario():
        fleet = fleet_test.Fleet()
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        server = fleet.servers["t1"]
        term, expires = server.term, server.expires
        server.reachable = False
        await fleet.pass_time(SECOND)
        assert set(fleet.read_owners()) == {"t2"}
        server.reachable = True
        while server.expires == expires:
            await fleet.pass_time(10 * MS)
            assert server.term > term or server.expires == expires
        assert server.term == term + 1

    fleet_test.run_scenario(scenario)


def test_a_lost_target_whose_shards_cannot_move_keeps_its_term():
    """Guards against raising the term repeatedly while no other target is usable."""

    async def scenario():
        fleet = fleet_test.Fleet()
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.servers["t2"].reachable = False
        await fleet.pass_time(SECOND)
        term = fleet.servers["t1"].term
        fleet.servers["t1"].reachable = False
        await fleet.pass_time(5 * SECOND)
        assert fleet.table.get("gate/t1").value["term"] == term

    fleet_test.run_scenario(scenario)


def test_an_evacuation_is_repeated_after_a_conflict():
    async def scenario():
        fleet = fleet_test.Fleet()
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        other = data.Assignment("s", 1, ("t1",) * 8, {"hot": "t2"}, ())
        fleet.table.put("assignment/s", rows.encode_assignment(other, "op1"))
        fleet.servers["t1"].listening = False
        await fleet.pass_time(SECOND)
        assert set(fleet.read_owners()) == {"t2"}
        assert fleet.table.get("assignment/s").value["overrides"] == {"hot": "t2"}

    fleet_test.run_scenario(scenario)


def test_a_successor_that_cannot_reach_the_target_waits_for_the_horizon():
    async def scenario():
        fleet = fleet_test.Fleet()
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.add("e2")
        fleet.pause_process("e1")
        fleet.servers["t1"].reachable = False
        await fleet.pass_time(99 * SECOND, SECOND)
        assert set(fleet.read_owners()) == {"t1"}
        await fleet.pass_time(5 * SECOND, SECOND)
        assert set(fleet.read_owners()) == {"t2"}

    fleet_test.run_scenario(scenario)


def test_a_declaration_for_an_older_gate_does_not_shorten_the_wait():
    # Guards against applying an old declaration to a gate that the operator did not
    # declare dead.
    async def scenario():
        fleet = fleet_test.Fleet()
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.add("e2")
        fleet.pause_process("e1")
        fleet.servers["t1"].reachable = False
        await fleet.pass_time(3 * SECOND, 100 * MS)
        term = fleet.table.get("gate/t1").value["term"]
        old = {"operator": "o", "time": "", "term": term - 2}
        fleet.table.put("declared-dead/t1", old)
        await fleet.pass_time(5 * SECOND, 100 * MS)
        assert set(fleet.read_owners()) == {"t1"}
        fleet.table.put("declared-dead/t1", old | {"term": term - 1})
        await fleet.pass_time(5 * SECOND, 100 * MS)
        assert set(fleet.read_owners()) == {"t2"}

    fleet_test.run_scenario(scenario)


def test_an_operators_declaration_shortens_the_wait_once():
    async def scenario():
        fleet = fleet_test.Fleet()
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.add("e2")
        fleet.pause_process("e1")
        fleet.servers["t1"].reachable = False
        await fleet.pass_time(3 * SECOND, 100 * MS)
        fleet.table.put("declared-dead/t1", {"operator": "o", "time": "", "term": 1})
        await fleet.pass_time(5 * SECOND, 100 * MS)
        assert set(fleet.read_owners()) == {"t2"}
        assert fleet.table.get("declared-dead/t1").value is None

    fleet_test.run_scenario(scenario)


def test_nothing_moves_and_nothing_stays_blocked_while_the_table_is_down():
    async def scenario():
        fleet = fleet_test.Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.table.down = True
        fleet.servers["t1"].reachable = False
        await fleet.pass_time(2 * SECOND)
        fleet.servers["t1"].reachable = True
        await fleet.pass_time(SECOND)
        assert (await fleet.send_request(process)).unwrap()
        assert set(fleet.read_owners()) == {"t1"}

    fleet_test.run_scenario(scenario)


@pytest.mark.parametrize("source", ["configuration", "instance list"])
def test_a_leaving_target_gets_no_new_requests_and_is_empty_within_two_seconds(source):
    async def scenario():
        fleet = fleet_test.Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        server = fleet.servers["t1"]
        server.hold = asyncio.Event()
        running = asyncio.ensure_future(fleet.send_request(process))
        await fakes.run_ready_tasks()
        if source == "configuration":
            target = fleet.configuration.targets["t1"]._replace(draining=True)
            targets = {**fleet.configuration.targets, "t1": target}
            configuration = data.Configuration(2, {"s": fakes.SERVICE}, targets)
            process.view_holder.offer_configuration(configuration)
        else:
            process.set_leaving(frozenset({"t1"}), frozenset())
        await fleet.pass_time(500 * MS)
        # Only the shard with a request in progress has not moved, and it is blocked.
        assert fleet.read_owners().count("t1") == 1
        refused = await fleet.send_request(process, "r2")
        assert isinstance(refused.failure(), errors.ShardMoving)
        server.hold.set()
        assert (await running).unwrap()
        await fleet.pass_time(500 * MS)
        assert fleet.read_owners().count("t1") == 0
        assert server.runs == [("r1", 1)]

    fleet_test.run_scenario(scenario)
