import datetime

from dewstep_core import data
from dewstep_entry.gate import fakes_test as fakes, rows, succession
from dewstep_entry.state import view

MS, SECOND = fakes.MS, fakes.SECOND
OWN = data.Member("e1", "i1", "dc1", "127.0.0.1", 1)


def make_members(*members):
    states = (view.MemberState(m, 0 * SECOND, alive) for m, alive in members)
    return {state.member.entry: state for state in states}


def make_record(entry="e2", incarnation="i1", term=4, horizon=100, released=False):
    row = data.GateRow("t1", entry, incarnation, "127.0.0.1", 1, term, 7)
    return rows.GateRecord(row, horizon * SECOND, released, "op")


def test_find_vacancy_returns_the_reason():
    other = OWN._replace(entry="e2")
    alive, dead = make_members((other, True)), make_members((other, False))
    row = make_record().row

    def find(row, members, held=None):
        return succession.find_vacancy(row, members, OWN, held)

    assert find(row, alive) is None
    assert find(None, alive) == succession.NO_ROW
    assert find(row, dead) == succession.GATE_SUSPECTED
    assert find(row, {}) == succession.GATE_UNKNOWN
    assert find(row._replace(incarnation="i2"), alive) == succession.GATE_REPLACED
    assert find(row._replace(entry=""), alive) == succession.ROW_NAMES_NO_PROCESS
    mine = row._replace(entry="e1")
    assert find(mine, alive, 4) is None
    assert find(mine, alive, 3) == succession.ROW_NAMES_THIS_PROCESS
    # An earlier incarnation of this process is another gate.
    assert find(mine._replace(incarnation="i0"), alive) == succession.GATE_REPLACED


def test_only_live_processes_of_the_data_centre_are_candidates_in_one_order():
    members = make_members(
        (OWN, True),
        (OWN._replace(entry="e2"), True),
        (OWN._replace(entry="e3"), False),
        (OWN._replace(entry="e4", data_centre="dc2"), True),
        (OWN._replace(entry="e5"), True),
    )
    target = fakes.make_target()
    order = succession.rank_candidates(target, members, ("e5",))
    assert sorted(order) == ["e1", "e2"]
    delays = {}
    for entry in order:
        own_member = members[entry].member
        vacancy = succession.decide_vacancy(
            target, None, members, own_member, None, ("e5",)
        )
        delays[entry] = vacancy.delay
    assert [delays[entry] for entry in order] == [0 * MS, succession.CANDIDATE_DELAY]
    leaving = members["e5"].member
    assert not succession.decide_vacancy(target, None, members, leaving, None, ("e5",))
    assert succession.choose_successor(target, members, order).entry == "e5"
    assert succession.choose_successor(target, {}, ()) is None


def test_a_stopping_process_gets_no_gates():
    # Guards against handing a gate to a process that is about to end, which would
    # abort the requests that it accepts there.
    members = make_members((OWN, True), (OWN._replace(entry="e2"), True))
    target = fakes.make_target()
    first = succession.rank_candidates(target, members, ())[0]
    own_member = next(state.member for name, state in members.items() if name != first)
    after_uptime = succession.MINIMUM_RETURN_UPTIME
    preferred = succession.choose_preferred_process(
        target, members, own_member, (), after_uptime
    )
    assert preferred.entry == first
    members[first] = members[first]._replace(stopping=True)
    assert (
        succession.choose_preferred_process(
            target, members, own_member, (), after_uptime
        )
        is None
    )
    assert succession.choose_successor(target, members, (own_member.entry,)) is None


def test_the_wait_covers_the_slowest_old_gate_and_its_last_grant():
    now = 50 * SECOND
    wait = succession.compute_wait(make_record(), now, fakes.GRANTS)
    # 100 s at a rate that differs by 1%, 600 ms of a grant likewise, and 10 ms.
    assert wait.until == now + 101 * SECOND + 616 * MS
    assert succession.compute_wait(None, now, fakes.GRANTS).until == now
    # `released` refers to the gates before the one in the row.
    taken = make_record(released=True)
    assert succession.compute_wait(taken, now, fakes.GRANTS).until == wait.until
    vacated = make_record(entry="", released=True)
    short = now + 616 * MS
    assert succession.compute_wait(vacated, now, fakes.GRANTS).until == short
    assert succession.compute_named_wait(taken, now, fakes.GRANTS).until == short
    unreleased = make_record()
    assert succession.compute_named_wait(unreleased, now, fakes.GRANTS) == wait


def test_the_recorded_horizon_covers_gates_that_were_never_fenced():
    assert succession.compute_recorded_horizon(make_record(), 5 * SECOND) == (
        100 * SECOND
    )
    vacated = make_record(entry="", released=True)
    assert succession.compute_recorded_horizon(vacated, 5 * SECOND) == 5 * SECOND


def test_rows_are_encoded_and_decoded_and_invalid_ones_are_refused():
    record = make_record(released=True)
    row = data.Row("gate/t1", 7, rows.encode_gate(record))
    assert rows.decode_gate(row, 1 * SECOND).unwrap() == record
    assert rows.decode_gate(row._replace(value={"term": 1}), SECOND).failure()
    # A row without a horizon gets the default.
    value = {key: v for key, v in row.value.items() if key != "horizon_ms"}
    decoded = rows.decode_gate(row._replace(value=value), 9 * SECOND).unwrap()
    assert decoded.horizon == datetime.timedelta(seconds=9)
    assignment = data.Assignment("s", 3, ("t1", "t2"), {"k": "t2"}, ("a",))
    row = data.Row("assignment/s", 3, rows.encode_assignment(assignment, "b"))
    decoded = rows.decode_assignment(row).unwrap()
    assert decoded == assignment._replace(operations=("a", "b"))
    assert rows.decode_assignment(row._replace(value={})).failure()
