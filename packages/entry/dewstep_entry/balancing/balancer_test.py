import asyncio
import datetime
import types

import pytest
from returns import result

from dewstep_core import clock as clocks, data, ledger
from dewstep_emulator import builders
from dewstep_entry.balancing import balancer, messages, planner, workload
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


def test_only_live_gates_are_asked_for_loads():
    found = balancer.list_gate_members(build_view(), "history")
    assert [member.entry for member in found] == ["e1"]
    assert balancer.list_gate_members(view.EMPTY, "history") == []


class Gates:
    """Gates that note the moves which they are asked for."""

    def __init__(self):
        self.gates = {"a": types.SimpleNamespace()}
        self.asked = []

    async def move_shards(self, service, moves):
        self.asked.append(dict(moves))
        return {"a": result.Success(None)}


class Network:
    """Links that note what is sent."""

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
    return balancer.Balancer(own, holder, clock, Gates(), Network(), observer)


async def settle():
    for _ in range(10):
        await asyncio.sleep(0)


@pytest.mark.parametrize("late", (False, True))
def test_a_process_with_a_late_loop_neither_plans_nor_moves(late):
    # Guards against the moves of a starved run, in which 99% of the shards changed
    # owner although nothing had failed.
    async def scenario():
        unit = build_balancer()
        if late:
            unit.clock.advance(datetime.timedelta(seconds=1))
        work = asyncio.ensure_future(unit.plan_service("history"))
        await settle()
        assert bool(unit.network.sent) is not late
        moves = (ledger.Move(ledger.SHARD, 3, "a", "b"),)
        unit.receive(unit.own, messages.encode_moves("history", 1, moves, {}))
        await settle()
        assert bool(unit.gates.asked) is not late
        work.cancel()

    asyncio.run(scenario())


def test_a_move_ordered_before_the_loop_was_late_is_not_carried_out():
    # Guards against an order whose key moves last until the process is starved.
    async def scenario():
        unit = build_balancer()
        move = ledger.Move(ledger.SHARD, 3, "a", "b")
        work = asyncio.ensure_future(unit.carry_out("history", [move]))
        unit.clock.advance(datetime.timedelta(seconds=1))
        await work
        assert unit.gates.asked == []

    asyncio.run(scenario())


def test_a_process_with_a_late_loop_reports_no_loads():
    # Guards against plans of another process from loads that were counted late.
    unit = build_balancer()
    target = build_view().configuration.targets["a"]
    unit.observer.start(target)
    service = types.SimpleNamespace(name="history")
    gate = types.SimpleNamespace(service=service, may_receive_shards=lambda: True)
    unit.gates.gates = {"a": gate}
    assert [report.target for report in unit.build_reports("history")] == ["a"]
    unit.clock.advance(datetime.timedelta(seconds=1))
    assert unit.build_reports("history") == []


@pytest.mark.parametrize("ordered", (False, True))
def test_the_plan_leaves_alone_what_an_operator_has_moved(ordered):
    # Guards against a balancer that undoes an operator's move some seconds later.
    async def scenario():
        unit = build_balancer()
        unit.loop_watch = types.SimpleNamespace(is_late=lambda now: False)
        now = unit.clock.now()
        made = tuple(data.Order(shard, now) for shard in range(4)) if ordered else ()
        assignment = data.Assignment("history", 1, ("a",) * 4, {}, (), made)
        current = unit.holder.current
        unit.holder.current = current._replace(assignments={"history": assignment})
        work = asyncio.ensure_future(unit.plan_service("history"))
        await settle()
        load = workload.TargetLoad({0: 1.0, 1: 1.0}, {})
        for name, found in (("a", load), ("b", workload.TargetLoad({}, {}))):
            report = planner.Report(name, found, 1.0, None)
            unit.take_reports(messages.encode_reports("history", [report]))
        unit.clock.advance(balancer.COLLECT)
        await work
        moves, _ = messages.decode_moves(unit.network.sent[-1]).unwrap()
        assert bool(moves) is not ordered

    asyncio.run(scenario())
