import asyncio
import datetime

import pytest
from returns import result

from dewstep_core import clock as clocks, data, errors, hashing
from dewstep_entry.gate import (
    fakes_test as fakes,
    handover,
    manager as managers,
    rows,
    wiring,
)
from dewstep_entry.state import view

MS, SECOND = fakes.MS, fakes.SECOND
SHARD = hashing.compute_shard("k1", 8)


def plan_round_robin(assignment, lost, candidates):
    return tuple(
        candidates[shard % len(candidates)] if owner == lost else owner
        for shard, owner in enumerate(assignment.owners)
    )


class Fleet:
    """Entry processes e1 and e2 with targets t1 and t2, all shards at t1."""

    def __init__(self, fenced=True):
        self.clock = clocks.ManualClock()
        self.table = fakes.Table()
        targets = {n: fakes.make_target(n, fenced=fenced) for n in ("t1", "t2")}
        self.configuration = data.Configuration(1, {"s": fakes.SERVICE}, targets)
        assignment = data.Assignment("s", 0, ("t1",) * 8, {}, ())
        self.table.put("assignment/s", rows.encode_assignment(assignment, "op0"))
        self.servers = {name: fakes.TargetServer(self.clock) for name in targets}
        self.fenced = fenced
        self.processes = {}
        self.sent = []

    def add(self, entry, incarnation="i1", data_centre="dc1"):
        own = data.Member(entry, incarnation, data_centre, "127.0.0.1", 1)
        holder = view.ViewHolder()
        holder.offer_configuration(self.configuration)
        connections = wiring.Wiring(
            lambda target: fakes.Channel(self.servers[target.name], self.fenced),
            lambda target: fakes.FirstCome(target.slots),
            lambda target: fakes.Budget(),
            plan_round_robin,
            self.send,
        )
        manager = managers.GateManager(
            own,
            holder,
            self.table,
            self.clock,
            fakes.SETTINGS._replace(entry=entry),
            connections,
        )
        self.processes[entry] = manager
        for process in self.processes.values():
            for other in self.processes.values():
                self.show(process, other.own, True)
        return manager

    def show(self, process, member, alive):
        state = view.MemberState(member, self.clock.monotonic(), alive)
        process.holder.set_member(state)

    async def send(self, entry, message):
        self.sent.append(message)
        await self.processes[entry].receive_handover(message)

    async def pass_time(self, duration, step=10 * MS):
        """Advance time; every 50 ms, all processes step and learn the rows."""
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            for process in self.processes.values():
                for name in ("t1", "t2"):
                    row = self.table.get(f"gate/{name}")
                    if row.value is not None and not self.table.down:
                        record = rows.decode_gate(row, SECOND).unwrap()
                        process.holder.offer_gate(record.row)
                process.step()
            await fakes.pass_time(self.clock, max(step, 50 * MS), step)

    def read_owners(self):
        return self.table.get("assignment/s").value["owners"]

    def freeze(self, entry):
        """Stop a process for the others; it does nothing any more."""
        frozen = self.processes.pop(entry)
        for process in self.processes.values():
            self.show(process, frozen.own, False)
        return frozen

    async def ask(self, process, request_id="r1", **fields):
        fields = {"deadline": self.clock.monotonic() + 9 * SECOND, **fields}
        return await process.handle(fakes.make_request(request_id, **fields))


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_one_process_becomes_gate_of_each_target_and_serves_it():
    async def scenario():
        fleet = Fleet()
        first, second = fleet.add("e1"), fleet.add("e2")
        await fleet.pass_time(SECOND)
        assert set(first.gates) | set(second.gates) == {"t1", "t2"}
        assert not set(first.gates) & set(second.gates)
        gate, other = (first, second) if "t1" in first.gates else (second, first)
        assert (await fleet.ask(gate)).unwrap()
        other.holder.offer_assignment(data.Assignment("s", 1, ("t1",) * 8, {}, ()))
        assert (await fleet.ask(other)).failure() == errors.NotTheGate("t1", 1)

    run(scenario)


@pytest.mark.parametrize("fault", ["", "lost-before", "lost-after"])
def test_a_successor_settles_lost_answers_and_fences_the_old_gate(fault):
    async def scenario():
        fleet = Fleet()
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        old = fleet.processes["e1"]
        assert (await fleet.ask(old)).unwrap()
        new = fleet.add("e2")
        fleet.freeze("e1")
        fleet.table.faults = [fault, fault]
        await fleet.pass_time(800 * MS)
        assert (await fleet.ask(new, "r2")).unwrap()
        assert fleet.table.get("gate/t1").value["term"] == 2
        # The old gate still believes in its row but its requests carry term 1.
        late = await old.gates["t1"].handle(fakes.make_request("r3"), SHARD, 1)
        assert isinstance(late, result.Failure)
        assert fleet.servers["t1"].runs == [("r1", 1), ("r2", 2)]

    run(scenario)


def test_a_successor_reads_the_assignment_that_the_old_gate_may_have_changed():
    async def scenario():
        fleet = Fleet()
        new = fleet.add("e2")
        stale = data.Assignment("s", 1, ("t1",) * 8, {}, ())
        new.holder.offer_assignment(stale)
        moved = stale._replace(owners=("t2",) * 8)
        fleet.table.put("assignment/s", rows.encode_assignment(moved, "op1"))
        await fleet.pass_time(500 * MS)
        await fleet.ask(new)
        assert fleet.servers["t1"].runs == []
        assert [name for name, _ in fleet.servers["t2"].runs] == ["r1"]

    run(scenario)


@pytest.mark.parametrize("fault", ["", "lost-before", "lost-after"])
def test_shards_of_a_lost_target_move_within_one_second(fault):
    async def scenario():
        fleet = Fleet()
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
        assert (await fleet.ask(process)).unwrap()
        assert fleet.servers["t2"].runs == [("r1", 1)]

    run(scenario)


def test_an_evacuated_target_gets_no_more_grants_of_its_old_term():
    """Guards against requests of the old term that run on when a target returns."""

    async def scenario():
        fleet = Fleet()
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

    run(scenario)


def test_a_target_that_stays_alone_keeps_its_term():
    """Guards against terms that rise for as long as a lost target cannot move."""

    async def scenario():
        fleet = Fleet()
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.servers["t2"].reachable = False
        await fleet.pass_time(SECOND)
        term = fleet.servers["t1"].term
        fleet.servers["t1"].reachable = False
        await fleet.pass_time(5 * SECOND)
        assert fleet.table.get("gate/t1").value["term"] == term

    run(scenario)


def test_an_evacuation_is_made_again_after_a_conflict():
    async def scenario():
        fleet = Fleet()
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        other = data.Assignment("s", 1, ("t1",) * 8, {"hot": "t2"}, ())
        fleet.table.put("assignment/s", rows.encode_assignment(other, "op1"))
        fleet.servers["t1"].listening = False
        await fleet.pass_time(SECOND)
        assert set(fleet.read_owners()) == {"t2"}
        assert fleet.table.get("assignment/s").value["overrides"] == {"hot": "t2"}

    run(scenario)


def test_a_superseded_gate_cannot_move_shards():
    async def scenario():
        fleet = Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.table.put("gate/t1", {**fleet.table.get("gate/t1").value, "term": 2})
        outcomes = await process.move_shards("s", {0: "t2"})
        assert outcomes["t1"].failure() == errors.NotTheGate("t1", 1)
        assert set(fleet.read_owners()) == {"t1"}

    run(scenario)


def test_a_successor_that_cannot_reach_the_target_waits_for_the_horizon():
    async def scenario():
        fleet = Fleet()
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.add("e2")
        fleet.freeze("e1")
        fleet.servers["t1"].reachable = False
        await fleet.pass_time(99 * SECOND, SECOND)
        assert set(fleet.read_owners()) == {"t1"}
        await fleet.pass_time(5 * SECOND, SECOND)
        assert set(fleet.read_owners()) == {"t2"}

    run(scenario)


def test_a_declaration_for_an_older_gate_does_not_shorten_the_wait():
    # A declaration that nobody took would otherwise speak of a gate that the
    # operator never judged.
    async def scenario():
        fleet = Fleet()
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.add("e2")
        fleet.freeze("e1")
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

    run(scenario)


def test_an_operators_declaration_shortens_the_wait_once():
    async def scenario():
        fleet = Fleet()
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.add("e2")
        fleet.freeze("e1")
        fleet.servers["t1"].reachable = False
        await fleet.pass_time(3 * SECOND, 100 * MS)
        fleet.table.put("declared-dead/t1", {"operator": "o", "time": "", "term": 1})
        await fleet.pass_time(5 * SECOND, 100 * MS)
        assert set(fleet.read_owners()) == {"t2"}
        assert fleet.table.get("declared-dead/t1").value is None

    run(scenario)


def test_nothing_moves_and_nothing_stays_blocked_while_the_table_is_down():
    async def scenario():
        fleet = Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.table.down = True
        fleet.servers["t1"].reachable = False
        await fleet.pass_time(2 * SECOND)
        fleet.servers["t1"].reachable = True
        await fleet.pass_time(SECOND)
        assert (await fleet.ask(process)).unwrap()
        assert set(fleet.read_owners()) == {"t1"}

    run(scenario)


def test_a_planned_move_commits_only_after_the_requests_in_progress():
    async def scenario():
        fleet = Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        hold = fleet.servers["t1"].hold = asyncio.Event()
        running = asyncio.ensure_future(fleet.ask(process))
        await fakes.settle()
        moving = asyncio.ensure_future(process.move_key("s", "k1", "t2"))
        await fleet.pass_time(SECOND)
        assert fleet.table.get("assignment/s").version == 1
        # The operator's call goes away; the move goes on.
        moving.cancel()
        hold.set()
        assert (await running).unwrap()
        await fleet.pass_time(100 * MS)
        assert fleet.table.get("assignment/s").value["overrides"] == {"k1": "t2"}
        # Requests that do not end in time keep the key where it is, in service.
        fleet.servers["t2"].hold = asyncio.Event()
        running = asyncio.ensure_future(fleet.ask(process, "r2", deadline=99 * SECOND))
        await fakes.settle()
        moving = asyncio.ensure_future(process.move_key("s", "k1", "t1"))
        await fleet.pass_time(11 * SECOND, 50 * MS)
        assert isinstance((await moving).failure(), errors.DeadlineExceeded)
        assert not process.gates["t2"].ownership.blocked_keys
        running.cancel()

    run(scenario)


def test_planned_moves_of_shards_and_keys():
    async def scenario():
        fleet = Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        outcomes = await process.move_shards("s", {0: "t2", 1: "t2"})
        assert isinstance(outcomes["t1"], result.Success)
        fleet.table.faults = ["lost-after"]
        assert (await process.move_key("s", "k1", "t2")).unwrap().version == 3
        assert (await fleet.ask(process)).unwrap()
        assert fleet.servers["t2"].runs == [("r1", 1)]
        assert (await process.move_key("s", "k1", "t1")).unwrap().overrides == {}
        # A move that fails for certain leaves the shard where it was, in service.
        fleet.table.down = True
        failed = await process.move_key("s", "k1", "t2")
        assert isinstance(failed.failure(), errors.PlatformUnavailable)
        assert (await fleet.ask(process, "r2")).unwrap()
        assert fleet.servers["t1"].runs == [("r2", 1)]

    run(scenario)


@pytest.mark.parametrize("source", ["configuration", "instance list"])
def test_a_leaving_target_gets_no_new_work_and_is_empty_within_two_seconds(source):
    async def scenario():
        fleet = Fleet()
        process = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        server = fleet.servers["t1"]
        server.hold = asyncio.Event()
        running = asyncio.ensure_future(fleet.ask(process))
        await fakes.settle()
        if source == "configuration":
            target = fleet.configuration.targets["t1"]._replace(draining=True)
            targets = {**fleet.configuration.targets, "t1": target}
            configuration = data.Configuration(2, {"s": fakes.SERVICE}, targets)
            process.holder.offer_configuration(configuration)
        else:
            process.set_leaving(frozenset({"t1"}), frozenset())
        await fleet.pass_time(500 * MS)
        # Only the shard with a request in progress is still here, and closed.
        assert fleet.read_owners().count("t1") == 1
        refused = await fleet.ask(process, "r2")
        assert isinstance(refused.failure(), errors.ShardMoving)
        server.hold.set()
        assert (await running).unwrap()
        await fleet.pass_time(500 * MS)
        assert fleet.read_owners().count("t1") == 0
        assert server.runs == [("r1", 1)]

    run(scenario)


@pytest.mark.parametrize("fenced", [True, False])
def test_a_planned_stop_hands_over_gates_with_their_request_ids(fenced):
    async def scenario():
        fleet = Fleet(fenced)
        old = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        assert (await fleet.ask(old, "r1", kind="book")).unwrap()
        new = fleet.add("e2")
        stopping = asyncio.ensure_future(old.stop())
        await fleet.pass_time(SECOND)
        assert await stopping == ()
        assert set(new.gates) == {"t1", "t2"}
        value = fleet.table.get("gate/t1").value
        assert (value["entry"], value["term"], value["released"]) == ("e2", 2, True)
        assert (await fleet.ask(new, "r1", kind="book")).unwrap()
        assert (await fleet.ask(new, "r2")).unwrap()
        assert fleet.servers["t1"].runs == [("r1", 1), ("r2", 2)]

    run(scenario)


def test_a_gate_that_was_superseded_meanwhile_is_not_reported_as_cut():
    # A stop that finds another process in the row has nothing left to hand over.
    async def scenario():
        fleet = Fleet()
        old = fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.processes.pop("e1")
        value = dict(fleet.table.get("gate/t1").value)
        fleet.table.put("gate/t1", value | {"entry": "e9", "term": 2})
        stopping = asyncio.ensure_future(old.stop())
        await fakes.pass_time(fleet.clock, 2 * SECOND)
        assert await stopping == ()

    run(scenario)


def test_a_target_of_a_lost_data_centre_is_taken_over_after_a_declaration():
    # No process of the other data centres reaches it, which could also mean that it
    # is cut off and still served there; only an operator knows.
    async def scenario():
        fleet = Fleet()
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        fleet.freeze("e1")
        for server in fleet.servers.values():
            server.reachable = False
        outside = fleet.add("e2", data_centre="dc2")
        await fleet.pass_time(4 * SECOND, 50 * MS)
        assert outside.gates == {}
        outside.holder.set_declared({"t1": 1})
        await fleet.pass_time(4 * SECOND, 50 * MS)
        assert set(outside.gates) == {"t1"}

    run(scenario)


def test_a_gate_goes_back_to_its_data_centre():
    async def scenario():
        fleet = Fleet()
        outside = fleet.add("e2", data_centre="dc2")
        await fleet.pass_time(2 * SECOND)
        assert set(outside.gates) == {"t1", "t2"}
        near = fleet.add("e1")
        outside.holder.set_table_contact(fleet.clock.monotonic())
        await fleet.pass_time(9 * SECOND, 50 * MS)
        assert near.gates == {}
        outside.holder.set_table_contact(fleet.clock.monotonic())
        await fleet.pass_time(4 * SECOND, 50 * MS)
        assert set(near.gates) == {"t1", "t2"} and outside.gates == {}

    run(scenario)


def test_a_hand_over_by_a_waiting_gate_does_not_end_the_wait():
    async def scenario():
        fleet = Fleet(fenced=False)
        fleet.add("e1")
        await fleet.pass_time(500 * MS)
        second = fleet.add("e2")
        fleet.freeze("e1")
        await fleet.pass_time(5 * SECOND, 100 * MS)
        third = fleet.add("e3")
        stopping = asyncio.ensure_future(second.stop())
        await fleet.pass_time(2 * SECOND, 100 * MS)
        await stopping
        early = await fleet.ask(third)
        assert isinstance(early.failure(), errors.TargetUnavailable)
        assert fleet.servers["t1"].runs == []

    run(scenario)


def test_a_delayed_hand_over_message_is_no_contact_with_the_table():
    async def scenario():
        fleet = Fleet(fenced=False)
        process = fleet.add("e1")
        row = data.GateRow("t1", "e1", "i1", "127.0.0.1", 1, 2, 2)
        record = rows.GateRecord(row, 100 * SECOND, True, "op")
        memory = handover.once.HandoverMemory(
            (), datetime.datetime.min.replace(tzinfo=datetime.UTC), (), ()
        )
        message = handover.Handover(record, memory)
        receiving = asyncio.ensure_future(process.receive_handover(message))
        await fakes.settle()
        fleet.table.down = True
        await receiving
        await fakes.pass_time(fleet.clock, SECOND)
        outcome = await fleet.ask(process)
        assert isinstance(outcome.failure(), errors.TargetUnavailable)
        assert fleet.servers["t1"].runs == []

    run(scenario)
