import asyncio

import pytest
from returns import result

from dewstep_core import data, errors
from dewstep_entry.gate import fakes_test as fakes, fleet_test, rows

MS, SECOND = fakes.MS, fakes.SECOND


def test_one_process_becomes_gate_of_each_target_and_serves_it():
    async def scenario():
        fleet = fleet_test.Fleet()
        first, second = fleet.add("e1"), fleet.add("e2")
        await fleet.pass_time(SECOND)
        assert set(first.gates) | set(second.gates) == {"t1", "t2"}
        assert not set(first.gates) & set(second.gates)
        gate, other = (first, second) if "t1" in first.gates else (second, first)
        assert (await fleet.send_request(gate)).unwrap()
        other.view_holder.offer_assignment(data.Assignment("s", 1, ("t1",) * 8, {}, ()))
        assert (await fleet.send_request(other)).failure() == errors.NotTheGate("t1", 1)

    fleet_test.run_scenario(scenario)


@pytest.mark.parametrize("fault", ["", "lost-before", "lost-after"])
def test_a_successor_settles_lost_answers_and_fences_the_old_gate(fault):
    async def scenario():
        fleet = fleet_test.Fleet()
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        old = fleet.processes["e1"]
        assert (await fleet.send_request(old)).unwrap()
        new = fleet.add("e2")
        fleet.pause_process("e1")
        fleet.table.faults = [fault, fault]
        await fleet.pass_time(800 * MS)
        assert (await fleet.send_request(new, "r2")).unwrap()
        assert fleet.table.get("gate/t1").value["term"] == 2
        # The old gate has not read the new row, but its requests carry term 1.
        late = await old.gates["t1"].handle(
            fakes.make_request("r3"), fleet_test.SHARD, 1
        )
        assert isinstance(late, result.Failure)
        assert fleet.servers["t1"].runs == [("r1", 1), ("r2", 2)]

    fleet_test.run_scenario(scenario)


def test_a_successor_reads_the_assignment_that_the_old_gate_may_have_changed():
    async def scenario():
        fleet = fleet_test.Fleet()
        new = fleet.add("e2")
        stale = data.Assignment("s", 1, ("t1",) * 8, {}, ())
        new.view_holder.offer_assignment(stale)
        moved = stale._replace(owners=("t2",) * 8)
        fleet.table.put("assignment/s", rows.encode_assignment(moved, "op1"))
        await fleet.pass_time(500 * MS)
        await fleet.send_request(new)
        assert fleet.servers["t1"].runs == []
        assert [name for name, _ in fleet.servers["t2"].runs] == ["r1"]

    fleet_test.run_scenario(scenario)


def test_a_superseded_gate_cannot_move_shards():
    async def scenario():
        fleet = fleet_test.Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.table.put("gate/t1", {**fleet.table.get("gate/t1").value, "term": 2})
        outcomes = await process.move_shards("s", {0: "t2"})
        assert outcomes["t1"].failure() == errors.NotTheGate("t1", 1)
        assert set(fleet.read_owners()) == {"t1"}

    fleet_test.run_scenario(scenario)


def test_a_newer_gate_row_ends_the_gate_and_not_the_checks_of_targets():
    """Guards against a loop that fails on each check while a newer row is known."""

    async def scenario():
        fleet = fleet_test.Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        gate = process.gates["t1"]
        process.view_holder.offer_gate(gate.record.row._replace(entry="e2", term=2))
        process.check_targets()
        assert gate.superseded
        assert not process.gates["t2"].superseded

    fleet_test.run_scenario(scenario)


def test_a_planned_move_commits_only_after_the_requests_in_progress():
    async def scenario():
        fleet = fleet_test.Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        hold = fleet.servers["t1"].hold = asyncio.Event()
        running = asyncio.ensure_future(fleet.send_request(process))
        await fakes.run_ready_tasks()
        moving = asyncio.ensure_future(process.move_key("s", "k1", "t2"))
        await fleet.pass_time(SECOND)
        assert fleet.table.get("assignment/s").version == 1
        # The move continues after the operator's call is cancelled.
        moving.cancel()
        hold.set()
        assert (await running).unwrap()
        await fleet.pass_time(100 * MS)
        assert fleet.table.get("assignment/s").value["overrides"] == {"k1": "t2"}
        # If requests do not end in time, the key is not moved and is served again.
        fleet.servers["t2"].hold = asyncio.Event()
        running = asyncio.ensure_future(
            fleet.send_request(process, "r2", deadline=99 * SECOND)
        )
        await fakes.run_ready_tasks()
        moving = asyncio.ensure_future(process.move_key("s", "k1", "t1"))
        await fleet.pass_time(11 * SECOND, 50 * MS)
        assert isinstance((await moving).failure(), errors.DeadlineExceeded)
        assert not process.gates["t2"].ownership.blocked_keys
        running.cancel()

    fleet_test.run_scenario(scenario)


def test_planned_moves_of_shards_and_keys():
    async def scenario():
        fleet = fleet_test.Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        outcomes = await process.move_shards("s", {0: "t2", 1: "t2"})
        assert isinstance(outcomes["t1"], result.Success)
        fleet.table.faults = ["lost-after"]
        assert (await process.move_key("s", "k1", "t2")).unwrap().version == 3
        assert (await fleet.send_request(process)).unwrap()
        assert fleet.servers["t2"].runs == [("r1", 1)]
        assert (await process.move_key("s", "k1", "t1")).unwrap().overrides == {}
        # After a move that certainly failed, the shard is served as before.
        fleet.table.down = True
        failed = await process.move_key("s", "k1", "t2")
        assert isinstance(failed.failure(), errors.PlatformUnavailable)
        assert (await fleet.send_request(process, "r2")).unwrap()
        assert fleet.servers["t1"].runs == [("r2", 1)]

    fleet_test.run_scenario(scenario)


def test_a_target_of_a_lost_data_centre_is_taken_over_after_a_declaration():
    # A target that is unreachable from other data centres may be cut off and still
    # served there, so a takeover requires an operator's declaration.
    async def scenario():
        fleet = fleet_test.Fleet()
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.pause_process("e1")
        for server in fleet.servers.values():
            server.reachable = False
        in_other_data_centre = fleet.add("e2", data_centre="dc2")
        await fleet.pass_time(4 * SECOND, 50 * MS)
        assert in_other_data_centre.gates == {}
        in_other_data_centre.view_holder.set_declared({"t1": 1})
        await fleet.pass_time(4 * SECOND, 50 * MS)
        assert set(in_other_data_centre.gates) == {"t1"}

    fleet_test.run_scenario(scenario)


def test_a_move_of_a_shard_that_was_moved_elsewhere_fails():
    """Guards against reporting success for a shard that was moved elsewhere before."""

    async def scenario():
        fleet = fleet_test.Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        owners = ("t3", *("t1",) * 7)
        assignment = data.Assignment("s", 1, owners, {}, ())
        fleet.table.put("assignment/s", rows.encode_assignment(assignment, "op1"))
        outcomes = await process.move_shards("s", {0: "t2"}, ordered=True)
        assert isinstance(outcomes["t1"].failure(), errors.NotTheOwner)
        assert fleet.read_owners()[0] == "t3"

    fleet_test.run_scenario(scenario)
