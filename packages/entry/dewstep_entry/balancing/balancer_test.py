import datetime

from dewstep_core import data
from dewstep_emulator import builders
from dewstep_entry.balancing import balancer
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
