import asyncio
import datetime
import types

import pytest

from dewstep_core import data, errors
from dewstep_entry.gate import (
    fakes_test as fakes,
    fleet_test,
    handover,
    releases,
    rows,
)

MS, SECOND = fakes.MS, fakes.SECOND


@pytest.mark.parametrize("fenced", [True, False])
def test_a_planned_stop_hands_over_gates_with_their_request_ids(fenced):
    async def scenario():
        fleet = fleet_test.Fleet(fenced)
        old = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        assert (await fleet.send_request(old, "r1", kind="book")).unwrap()
        new = fleet.add("e2")
        stopping = asyncio.ensure_future(old.stop())
        await fleet.pass_time(SECOND)
        assert await stopping == ()
        assert set(new.gates) == {"t1", "t2"}
        value = fleet.table.get("gate/t1").value
        assert (value["entry"], value["term"], value["released"]) == ("e2", 2, True)
        assert (await fleet.send_request(new, "r1", kind="book")).unwrap()
        assert (await fleet.send_request(new, "r2")).unwrap()
        assert fleet.servers["t1"].runs == [("r1", 1), ("r2", 2)]

    fleet_test.run_scenario(scenario)


def test_a_gate_superseded_during_the_stop_is_not_reported_as_remaining():
    # If the row names another process, there is nothing to hand over.
    async def scenario():
        fleet = fleet_test.Fleet()
        old = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.processes.pop("e1")
        value = dict(fleet.table.get("gate/t1").value)
        fleet.table.put("gate/t1", value | {"entry": "e9", "term": 2})
        stopping = asyncio.ensure_future(old.stop())
        await fakes.pass_time(fleet.clock, 2 * SECOND)
        assert await stopping == ()

    fleet_test.run_scenario(scenario)


def test_a_gate_returns_to_the_data_centre_of_its_target():
    async def scenario():
        fleet = fleet_test.Fleet()
        in_other_data_centre = fleet.add("e2", data_centre="dc2")
        await fleet.pass_time(2 * SECOND)
        assert set(in_other_data_centre.gates) == {"t1", "t2"}
        near = fleet.add("e1")
        in_other_data_centre.view_holder.set_table_contact(fleet.clock.monotonic())
        await fleet.pass_time(9 * SECOND, 50 * MS)
        assert near.gates == {}
        in_other_data_centre.view_holder.set_table_contact(fleet.clock.monotonic())
        await fleet.pass_time(4 * SECOND, 50 * MS)
        assert set(near.gates) == {"t1", "t2"} and in_other_data_centre.gates == {}

    fleet_test.run_scenario(scenario)


def test_a_hand_over_by_a_waiting_gate_does_not_end_the_wait():
    async def scenario():
        fleet = fleet_test.Fleet(fenced=False)
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        second = fleet.add("e2")
        fleet.pause_process("e1")
        await fleet.pass_time(5 * SECOND, 100 * MS)
        third = fleet.add("e3")
        stopping = asyncio.ensure_future(second.stop())
        await fleet.pass_time(2 * SECOND, 100 * MS)
        await stopping
        early = await fleet.send_request(third)
        assert isinstance(early.failure(), errors.TargetUnavailable)
        assert fleet.servers["t1"].runs == []

    fleet_test.run_scenario(scenario)


def test_a_delayed_hand_over_message_does_not_count_as_contact_with_the_table():
    async def scenario():
        fleet = fleet_test.Fleet(fenced=False)
        process = fleet.add("e1")
        row = data.GateRow("t1", "e1", "i1", "127.0.0.1", 1, 2, 2)
        record = rows.GateRecord(row, 100 * SECOND, True, "op")
        memory = handover.at_most_once.HandoverMemory(
            (), datetime.datetime.min.replace(tzinfo=datetime.UTC), (), ()
        )
        message = handover.Handover(record, memory)
        receiving = asyncio.ensure_future(process.receive_handover(message))
        await fakes.run_ready_tasks()
        fleet.table.down = True
        await receiving
        await fakes.pass_time(fleet.clock, SECOND)
        outcome = await fleet.send_request(process)
        assert isinstance(outcome.failure(), errors.TargetUnavailable)
        assert fleet.servers["t1"].runs == []

    fleet_test.run_scenario(scenario)


def test_a_takeover_that_ends_as_the_stop_begins_does_not_fail_the_stop():
    """Guards against a KeyError that ends a stopping process with exit code 1."""

    async def stop():
        manager = types.SimpleNamespace(gates={}, takeovers={})
        taking = asyncio.get_running_loop().create_future()
        manager.takeovers["t1"] = taking
        taking.add_done_callback(lambda done: manager.takeovers.pop("t1"))
        # The callback runs before the first step of the hand-over.
        taking.set_result(None)
        await releases.GateReleaser(manager).hand_over_all()
        assert not manager.takeovers

    asyncio.run(stop())
