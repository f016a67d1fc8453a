import datetime

from dewstep_core import data, hashing, ledger
from dewstep_emulator import builders
from dewstep_entry.balancing import balancing_messages, planner, workload
from dewstep_entry.policy import outliers

NOW = datetime.timedelta(minutes=5)
SHARD_COUNT = 64
TARGETS = {
    name: builders.build_target(name=name, service="history")
    for name in ("history-0", "history-1", "history-2")
}


def build_assignment(owners=("history-0", "history-1"), overrides=None):
    owner_by_shard = tuple(
        owners[number % len(owners)] for number in range(SHARD_COUNT)
    )
    return data.Assignment("history", 3, owner_by_shard, overrides or {}, ())


def build_report(target, shards=None, keys=None, factor=1.0):
    load = workload.TargetLoad(shards or {}, keys or {})
    return planner.Report(target, load, factor, None)


def test_new_target_gets_its_share():
    assignment = build_assignment()
    reports = [build_report(name) for name in TARGETS]
    moves = planner.build_plan(assignment, TARGETS, reports, NOW, {})
    assert {move.destination for move in moves} == {"history-2"}
    assert len(moves) == SHARD_COUNT // 3


def test_target_without_a_report_gets_no_shards():
    # Guards against moving keys to a target that may be lost.
    assignment = build_assignment()
    reports = [build_report(name) for name in ("history-0", "history-1")]
    assert planner.build_plan(assignment, TARGETS, reports, NOW, {}) == ()


def test_loads_of_former_owners_are_added():
    # Guards against underestimating a shard or key after its move, which would make its
    # new owner look idle and get more. Each request is counted at one target only.
    assignment = build_assignment(overrides={"hot": "history-1"})
    reports = [
        build_report("history-0", {0: 1.0, 1: 5.0}, {"hot": 9.0}),
        build_report("history-1", {1: 2.0, SHARD_COUNT: 1.0}, {"hot": 3.0}),
    ]
    loads = planner.collect_shard_loads(assignment, reports)
    assert loads[:2] == [1.0, 7.0] and sum(loads) == 8.0
    assert planner.collect_key_loads(reports) == {"hot": 12.0}


def test_hot_key_is_moved_from_the_busiest_target():
    assignment = build_assignment(("history-0", "history-1", "history-2"))
    key = next(
        f"key-{number}"
        for number in range(100)
        if hashing.compute_shard(f"key-{number}", SHARD_COUNT) == 0
    )
    busy = build_report("history-0", {0: 2.0, 3: 2.0}, {key: 1.9})
    others = [build_report(f"history-{number}", {number: 0.1}) for number in (1, 2)]
    moves = planner.build_plan(assignment, TARGETS, [busy, *others], NOW, {})
    assert moves and all(move.source == "history-0" for move in moves)


def test_decoding_returns_the_encoded_reports_and_moves():
    summary = outliers.Summary(5.0, 1.0, datetime.timedelta(seconds=0.25), 1, True)
    report = planner.Report(
        "history-0", workload.TargetLoad({3: 0.5}, {"k": 0.25}), 0.5, summary
    )
    value = balancing_messages.encode_reports("history", [report])
    assert balancing_messages.decode_reports(value).unwrap() == [report]
    moves = (ledger.Move(ledger.SHARD, 3, "history-0", "history-1"),)
    value = balancing_messages.encode_moves("history", 7, moves, {"history-0": summary})
    assert balancing_messages.decode_moves(value).unwrap() == (
        moves,
        {"history-0": summary},
    )


def test_damaged_messages_are_returned_as_failures():
    damaged = balancing_messages.encode_reports("history", [])._replace(payload=b"[1]")
    assert balancing_messages.decode_reports(damaged).failure()
    assert balancing_messages.decode_moves(damaged).failure()
