import asyncio
import datetime
import types

import pytest
from returns import result

from dewstep_core import clocks, data, ledger
from dewstep_emulator import builders
from dewstep_entry.balancing import balancer, balancing_messages, planner, workload
from dewstep_entry.state import view

ZERO = datetime.timedelta()


def build_view():
    members = [data.Member(f"e{n}", "i", "dc1", "127.0.0.1", n) for n in (1, 2, 3)]
    targets = {
        name: builders.build_target(name=name, service="history") for name in ("a", "b")
    }
    gates = {
        name: data.GateRow(name, entry, "i", "127.0.0.1", 1, 1, 1)
        for name, entry in (("a", "e1"), ("b", "e2"))
    }
    return view.View(
        data.Configuration(1, {}, targets),
        {},
        gates,
        {m.entry: view.MemberState(m, ZERO, m.entry != "e2") for m in members},
        None,
    )


def test_all_processes_choose_the_same_live_planner():
    current = build_view()
    chosen = balancer.choose_planner(current, "history")
    assert chosen in ("e1", "e3")
    assert balancer.choose_planner(view.EMPTY, "history") is None


def test_loads_are_requested_only_from_live_gates():
    members = balancer.list_gate_members(build_view(), "history")
    assert [member.entry for member in members] == ["e1"]
    assert balancer.list_gate_members(view.EMPTY, "history") == []


class FakeGates:
    """Gates that record the requested moves."""

    def __init__(self):
        self.gates = {"a": types.SimpleNamespace()}
        self.requested_moves = []

    async def move_shards(self, service, moves):
        self.requested_moves.append(dict(moves))
        return {"a": result.Success(None)}


class FakeNetwork:
    """Connections that record the sent messages."""

    def __init__(self):
        self.sent = []

    def send(self, member, message):
        self.sent.append(message)
        return True


def build_balancer():
    clock = clocks.ManualClock()
    holder = types.SimpleNamespace(current=build_view())
    own = data.Member("e3", "i", "dc1", "127.0.0.1", 3)
    observer = workload.Observer(clock)
    return balancer.Balancer(own, holder, clock, FakeGates(), FakeNetwork(), observer)


async def run_pending_tasks():
    for _ in range(10):
        await asyncio.sleep(0)


@pytest.mark.parametrize("late", (False, True))
def test_process_with_a_late_event_loop_neither_plans_nor_moves(late):
    # Guards against moves caused by a lack of processor time, which changed the owner
    # of 99% of the shards although nothing had failed.
    async def scenario():
        tested = build_balancer()
        if late:
            tested.clock.advance(datetime.timedelta(seconds=1))
        task = asyncio.ensure_future(tested.plan_service("history"))
        await run_pending_tasks()
        assert bool(tested.network.sent) is not late
        moves = (ledger.Move(ledger.SHARD, 3, "a", "b"),)
        tested.receive(
            tested.own, balancing_messages.encode_moves("history", 1, moves, {})
        )
        await run_pending_tasks()
        assert bool(tested.gates.requested_moves) is not late
        task.cancel()

    asyncio.run(scenario())


def test_pending_moves_are_skipped_when_the_event_loop_becomes_late():
    # Guards against executing an order that was received before the process ran out of
    # processor time.
    async def scenario():
        tested = build_balancer()
        move = ledger.Move(ledger.SHARD, 3, "a", "b")
        task = asyncio.ensure_future(tested.execute_moves("history", [move]))
        tested.clock.advance(datetime.timedelta(seconds=1))
        await task
        assert tested.gates.requested_moves == []

    asyncio.run(scenario())


def test_process_with_a_late_event_loop_reports_no_loads():
    # Guards against plans of other processes based on loads that were counted late.
    tested = build_balancer()
    target = build_view().configuration.targets["a"]
    tested.observer.start(target)
    service = types.SimpleNamespace(name="history")
    gate = types.SimpleNamespace(service=service, may_receive_shards=lambda: True)
    tested.gates.gates = {"a": gate}
    assert [report.target for report in tested.build_reports("history")] == ["a"]
    tested.clock.advance(datetime.timedelta(seconds=1))
    assert tested.build_reports("history") == []


@pytest.mark.parametrize("ordered", (False, True))
def test_plan_does_not_move_shards_that_an_operator_has_moved(ordered):
    # Guards against undoing an operator's move with the next plan.
    async def scenario():
        tested = build_balancer()
        tested.loop_monitor = types.SimpleNamespace(is_late=lambda now: False)
        now = tested.clock.now()
        operator_orders = (
            tuple(data.Order(shard, now) for shard in range(4)) if ordered else ()
        )
        assignment = data.Assignment("history", 1, ("a",) * 4, {}, (), operator_orders)
        current = tested.holder.current
        tested.holder.current = current._replace(assignments={"history": assignment})
        task = asyncio.ensure_future(tested.plan_service("history"))
        await run_pending_tasks()
        load = workload.TargetLoad({0: 1.0, 1: 1.0}, {})
        for name, reported_load in (("a", load), ("b", workload.TargetLoad({}, {}))):
            report = planner.Report(name, reported_load, 1.0, None)
            tested.collect_reports(
                balancing_messages.encode_reports("history", [report])
            )
        tested.clock.advance(balancer.REPORT_TIMEOUT)
        await task
        moves, _ = balancing_messages.decode_moves(tested.network.sent[-1]).unwrap()
        assert bool(moves) is not ordered

    asyncio.run(scenario())


@pytest.mark.parametrize("evacuated", (False, True))
def test_plan_moves_no_shards_back_to_a_target_evacuated_meanwhile(evacuated):
    # Guards against assigning shards to a target that was lost after its gate had
    # reported its load.
    async def scenario():
        tested = build_balancer()
        tested.loop_monitor = types.SimpleNamespace(is_late=lambda now: False)
        owners = ("a", "a", "b", "b") if evacuated else ("a",) * 4
        assignment = data.Assignment("history", 1, owners, {}, ())
        initial = tested.holder.current
        tested.holder.current = initial._replace(assignments={"history": assignment})
        task = asyncio.ensure_future(tested.plan_service("history"))
        await run_pending_tasks()
        for name in ("a", "b"):
            report = planner.Report(name, workload.TargetLoad({}, {}), 1.0, None)
            tested.collect_reports(
                balancing_messages.encode_reports("history", [report])
            )
        changed = assignment._replace(version=2, owners=("a",) * 4)
        tested.holder.current = initial._replace(assignments={"history": changed})
        tested.clock.advance(balancer.REPORT_TIMEOUT)
        await task
        moves, _ = balancing_messages.decode_moves(tested.network.sent[-1]).unwrap()
        assert bool(moves) is not evacuated

    asyncio.run(scenario())
