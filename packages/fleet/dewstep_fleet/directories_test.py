import json

import pytest
from returns import result

from dewstep_core import clocks
from dewstep_fleet import builders, directories, event_capture, model, ranges

OUTAGE = directories.MIN_OUTAGE
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


def apply_start_times(known, *lives):
    """Apply versions of a target's row; return its incarnation after each, or None."""
    found = []
    for life in lives:
        version = known.rows["targets", "t"].version + 1 if known.rows else 5
        target = builders.build_target("t", life=life)
        known.apply_rows([builders.build_target_row(target, version)])
        found.append(known.targets["t"].life if "t" in known.targets else None)
    return found


def test_entry_without_its_start_time_is_no_new_incarnation():
    """Guards against forgetting the grants of a target that has not restarted."""
    _, known = build_empty()
    assert apply_start_times(known, 7, 0, 0, 7) == [7, None, None, 7]


def test_single_entry_with_an_earlier_start_time_is_no_new_incarnation():
    """Guards against an outdated entry that another client wrote back."""
    _, known = build_empty()
    assert apply_start_times(known, 7, 6, 7) == [7, None, 7]
    assert apply_start_times(known, 6, 7, 6, 7) == [None, 7, None, 7]


def test_target_whose_clock_was_set_back_can_restart():
    _, known = build_empty()
    assert apply_start_times(known, 7, 6, 6, 6) == [7, None, 6, 6]


def test_later_start_time_is_a_new_incarnation():
    _, known = build_empty()
    assert apply_start_times(known, 0, 0, 7, 8) == [0, 0, 7, 8]


def test_removal_after_an_outage_is_deferred():
    # Guards against removing all targets when the store recovers from an outage.
    clock, known = build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("t"), 5)])
    known.record_store_recovery(OUTAGE)
    known.apply_rows([builders.build_row(model.TABLES.targets, "t", 7, None)])
    assert "t" in known.targets
    clock.advance(builders.SECOND)
    known.apply_deferred_removals()
    known.apply_rows([builders.build_target_row(builders.build_target("t"), 8)])
    clock.advance(2 * builders.SECOND)
    known.apply_deferred_removals()
    assert "t" in known.targets


def test_relayed_removal_is_applied_at_once():
    # Guards against requests to a leaving target by an instance that was partitioned.
    _, known = build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("t"), 5)])
    known.record_store_recovery(OUTAGE)
    row = builders.build_row(model.TABLES.targets, "t", 7, None)
    known.apply_rows([row], apply_removals=True)
    assert "t" not in known.targets


def test_deferred_removal_is_applied_after_the_grace_period():
    clock, known = build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("t"), 5)])
    known.record_store_recovery(OUTAGE)
    known.apply_table(model.TABLES.targets, model.TableState((), 9))
    assert "t" in known.targets
    clock.advance(directories.REMOVAL_GRACE)
    known.apply_deferred_removals()
    assert "t" not in known.targets


def test_further_outage_does_not_extend_a_deferred_removal():
    """Guards against keeping a removed target through repeated store outages."""
    clock, known = build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("t"), 5)])
    known.record_store_recovery(OUTAGE)
    known.apply_rows([builders.build_row(model.TABLES.targets, "t", 7, None)])
    clock.advance(directories.REMOVAL_GRACE - builders.MILLISECOND)
    known.record_store_recovery(OUTAGE)
    known.apply_table(model.TABLES.targets, model.TableState((), 9))
    known.apply_deferred_removals()
    assert "t" in known.targets
    clock.advance(builders.MILLISECOND)
    known.apply_deferred_removals()
    assert "t" not in known.targets


def test_removal_after_a_short_outage_is_applied_at_once():
    """Guards against deferring removals after a single lost store answer."""
    _, known = build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("t"), 5)])
    known.record_store_recovery(directories.MIN_OUTAGE / 2)
    known.apply_rows([builders.build_row(model.TABLES.targets, "t", 7, None)])
    assert "t" not in known.targets


def test_removal_of_a_leaving_target_is_not_deferred():
    # Guards against requests to a target that is already known to be leaving.
    _, known = build_empty()
    target = builders.build_target("t", leaving=True)
    known.apply_rows([builders.build_target_row(target, 5)])
    known.record_store_recovery(OUTAGE)
    known.apply_rows([builders.build_row(model.TABLES.targets, "t", 7, None)])
    assert "t" not in known.targets


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


def test_targets_at_the_same_address_are_logged_once(monkeypatch):
    # Guards against orders that reach another process without a trace in the log.
    log = event_capture.EventCapture(monkeypatch)
    _, known = build_empty()
    successor = builders.build_target("b")
    known.apply_rows([builders.build_target_row(builders.build_target("a"), 5)])
    known.apply_rows([builders.build_target_row(successor, 6)])
    known.apply_rows([builders.build_target_row(successor._replace(leaving=True), 7)])
    (fields,) = log.find("target_address_shared")
    assert fields["target"] == "b" and fields["others"] == ["a/1"]
    assert fields["address"] == "10.0.0.1:80"


def test_address_of_a_removed_target_is_not_shared(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)
    _, known = build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("a"), 5)])
    known.apply_rows([builders.build_row(model.TABLES.targets, "a", 6, None)])
    known.apply_rows([builders.build_target_row(builders.build_target("b"), 7)])
    moved = builders.build_target("b", host="10.0.0.2")
    known.apply_rows([builders.build_target_row(moved, 8)])
    known.apply_rows([builders.build_target_row(builders.build_target("c"), 9)])
    assert log.find("target_gone", target="a", life=1, address="10.0.0.1:80")
    assert not log.find("target_address_shared")
    assert set(known.names_by_address) == {("10.0.0.1", 80), ("10.0.0.2", 80)}


def test_new_incarnation_is_logged_with_the_previous_one(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)
    _, known = build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("a"), 5)])
    restarted = builders.build_target("a", life=2, port=81)
    known.apply_rows([builders.build_target_row(restarted, 6)])
    (fields,) = log.find("target_incarnation_changed")
    assert (fields["previous_life"], fields["life"]) == (1, 2)
    assert fields["previous_address"] == "10.0.0.1:80"
    assert fields["address"] == "10.0.0.1:81"


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
