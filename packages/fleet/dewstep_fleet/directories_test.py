import json

import pytest
from returns import result

from dewstep_core import clocks
from dewstep_fleet import builders, directories, event_capture, model, ranges

MEMBER = model.Member("n", "i", "dc", "h", 1)
LEADERSHIP = directories.Leadership("n", "i", 3, 0)


def build_empty():
    clock = clocks.ManualClock()
    return clock, builders.build_directory(clock)


def test_older_rows_never_replace_newer_ones():
    # Guards against late relayed rows that undo newer changes.
    _, known = build_empty()
    target = builders.build_target("t")
    known.apply_rows([builders.build_target_row(target._replace(leaving=True), 9)])
    assert known.apply_rows([builders.build_target_row(target, 8)]) == []
    assert known.targets["t"].leaving


def test_removal_is_not_undone_by_older_rows():
    _, known = build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("t"), 5)])
    known.apply_rows([builders.build_row(model.TABLES.targets, "t", 7, None)])
    known.apply_rows([builders.build_target_row(builders.build_target("t"), 6)])
    assert "t" not in known.targets


def test_unreadable_row_does_not_affect_other_targets():
    # Guards against one unreadable row that blocks all others.
    _, known = build_empty()
    row = builders.build_row(model.TABLES.targets, "bad", 6, b"\xff{")
    known.apply_rows([row, builders.build_target_row(builders.build_target("t"), 5)])
    assert set(known.targets) == {"t"}


def test_target_with_an_unreadable_row_is_removed():
    _, known = build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("t"), 5)])
    known.apply_rows([builders.build_row(model.TABLES.targets, "t", 6, b"[1]")])
    assert known.targets == {} and known.targets_by_service == {}


def test_row_whose_key_cannot_be_encoded_is_ignored(monkeypatch):
    # Guards against a UnicodeEncodeError when rows are compared with an instance.
    log = event_capture.EventCapture(monkeypatch)
    _, known = build_empty()
    for version in (5, 6):
        target = builders.build_target("\ud800")
        known.apply_rows([builders.build_target_row(target, version)])
    assert known.list_versions() == () and known.targets == {}
    assert len(log.find("row_ignored", key=r"'\ud800'")) == 1


def test_refused_registration_is_logged_once_for_each_reason(monkeypatch):
    # Guards against a line for each heartbeat of another program.
    log = event_capture.EventCapture(monkeypatch)
    _, known = build_empty()
    good = builders.encode_target(builders.build_target("t"))
    for version, value in enumerate([b"[1]", b"[2]", good, b"[3]", None, b"[4]"], 5):
        row = builders.build_row(model.TABLES.targets, "t", version, value)
        known.apply_rows([row])
    assert len(log.find("target_refused")) == 3


def test_complete_table_removes_missing_targets():
    _, known = build_empty()
    for name in "ab":
        known.apply_rows([builders.build_target_row(builders.build_target(name), 5)])
    row = builders.build_target_row(builders.build_target("a"), 5)
    known.apply_table(model.TABLES.targets, model.TableState((row,), 9))
    assert set(known.targets) == {"a"}


def test_older_configuration_is_not_applied():
    # Guards against reverting to an older configuration.
    clock = clocks.ManualClock()
    tables = iter([builders.build_table(version=4), builders.build_table(version=3)])
    known = directories.Directory(
        clock, lambda content: result.Success(next(tables)), builders.decode_target
    )
    for version in (5, 6):
        row = builders.build_row(model.TABLES.configuration, "config", version, b"")
        known.apply_rows([row])
    assert known.routes.version == 4


def test_unreadable_rows_of_the_fleet_change_nothing():
    _, known = build_empty()
    ownership = ranges.Ownership("s", 0, 1, builders.build_holdings("a"))
    leader = directories.encode_record(directories.Leadership("n", "i", 3, 0))
    member = directories.encode_record(model.Member("n", "i", "dc", "h", 1))
    values = {
        "ranges/s": ranges.encode(ownership),
        "coordinator": leader,
        "member/n": member,
    }
    for version, bad in ((5, False), (6, True)):
        for key, value in values.items():
            content = b'{"schema":9}' if bad else value
            known.apply_rows(
                [builders.build_row(model.TABLES.fleet, key, version, content)]
            )
    assert known.ownerships["s"].version == 5
    assert known.leadership.term == 3 and known.leadership.version == 5
    assert known.members["n"].port == 1


@pytest.mark.parametrize(
    ("key", "record", "change"),
    [
        ("member/n", MEMBER, {"port": 99_999}),
        ("member/n", MEMBER, {"port": 0}),
        ("member/n", MEMBER, {"relay_port": -1}),
        ("member/n", MEMBER, {"host": "a..b"}),
        ("member/n", MEMBER, {"data_centre": "\ud800"}),
        ("member/n", MEMBER, {"strength": float("nan")}),
        ("member/n", MEMBER, {"schema": [[[]]] * 100}),
        ("coordinator", LEADERSHIP, {"term": 2**64}),
        ("coordinator", LEADERSHIP, {"term": -1}),
        ("coordinator", LEADERSHIP, {"node": "x" * 5_000}),
    ],
)
def test_record_with_a_value_out_of_range_is_refused(key, record, change, monkeypatch):
    # Guards against a value that raises an exception when a connection is opened or a
    # message is encoded.
    log = event_capture.EventCapture(monkeypatch)
    _, known = build_empty()
    content = {**json.loads(directories.encode_record(record)), **change}
    value = json.dumps(content).encode()
    known.apply_rows([builders.build_row(model.TABLES.fleet, key, 5, value)])
    assert known.members == {} and known.leadership == directories.NO_LEADERSHIP
    (refused,) = log.find(f"{key.partition('/')[0]}_refused")
    assert len(str(refused["failure"])) < 300


def test_rows_of_the_fleet_that_are_nested_deeply_change_nothing():
    # Guards against a RecursionError that ends the process.
    _, known = build_empty()
    nested = b'{"schema":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    for key in ("ranges/s", "coordinator", "member/n", "quorum"):
        known.apply_rows([builders.build_row(model.TABLES.fleet, key, 5, nested)])
    assert known.ownerships == {} and known.members == {}


def test_moving_keys_are_known():
    _, known = build_empty()
    known.moving = {"s": ((5, 9),)}
    assert known.is_moving("s", 9) and not known.is_moving("s", 10)
    assert not known.is_moving("other", 5)


def test_version_assigned_twice_is_logged(monkeypatch):
    # A store that went back to an older copy assigns versions again.
    log = event_capture.EventCapture(monkeypatch)
    _, known = build_empty()
    row = builders.build_target_row(builders.build_target("a"), 5)
    known.apply_rows([row])
    known.apply_rows([row])
    assert not log.find("row_version_reused")
    known.apply_rows([builders.build_target_row(builders.build_target("a", life=2), 5)])
    assert log.find("row_version_reused", key="a", version=5)
    assert known.targets["a"].life == 1


def test_lower_generation_number_in_a_newer_row_is_logged(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)
    _, known = build_empty()
    for version, generation in ((5, 9), (6, 10), (7, 8)):
        ownership = ranges.Ownership(
            "history", 0, generation, builders.build_holdings("a")
        )
        known.apply_rows(
            [
                builders.build_row(
                    model.TABLES.fleet,
                    directories.RANGES_PREFIX + "history",
                    version,
                    ranges.encode(ownership),
                )
            ]
        )
    (fields,) = log.find("generation_decreased")
    assert (fields["previous_generation"], fields["generation"]) == (10, 8)
