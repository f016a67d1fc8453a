"""Tests of registered targets, as a directory applies their rows."""

from dewstep_fleet import (
    builders,
    directories,
    directories_test,
    event_capture,
    model,
    registrations,
)


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
    _, known = directories_test.build_empty()
    assert apply_start_times(known, 7, 0, 0, 7) == [7, None, None, 7]


def test_single_entry_with_an_earlier_start_time_is_no_new_incarnation():
    """Guards against an outdated entry that another client wrote back."""
    _, known = directories_test.build_empty()
    assert apply_start_times(known, 7, 6, 7) == [7, None, 7]
    assert apply_start_times(known, 6, 7, 6, 7) == [None, 7, None, 7]


def test_target_whose_clock_was_set_back_can_restart():
    _, known = directories_test.build_empty()
    assert apply_start_times(known, 7, 6, 6, 6) == [7, None, 6, 6]


def test_later_start_time_is_a_new_incarnation():
    _, known = directories_test.build_empty()
    assert apply_start_times(known, 0, 0, 7, 8) == [0, 0, 7, 8]


def test_removal_after_an_outage_is_deferred():
    # Guards against removing all targets when the store recovers from an outage.
    clock, known = directories_test.build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("t"), 5)])
    known.record_store_recovery(directories.MIN_OUTAGE)
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
    _, known = directories_test.build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("t"), 5)])
    known.record_store_recovery(directories.MIN_OUTAGE)
    row = builders.build_row(model.TABLES.targets, "t", 7, None)
    known.apply_rows([row], apply_removals=True)
    assert "t" not in known.targets


def test_deferred_removal_is_applied_after_the_grace_period():
    clock, known = directories_test.build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("t"), 5)])
    known.record_store_recovery(directories.MIN_OUTAGE)
    known.apply_table(model.TABLES.targets, model.TableState((), 9))
    assert "t" in known.targets
    clock.advance(registrations.REMOVAL_GRACE)
    known.apply_deferred_removals()
    assert "t" not in known.targets


def test_further_outage_does_not_extend_a_deferred_removal():
    """Guards against keeping a removed target through repeated store outages."""
    clock, known = directories_test.build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("t"), 5)])
    known.record_store_recovery(directories.MIN_OUTAGE)
    known.apply_rows([builders.build_row(model.TABLES.targets, "t", 7, None)])
    clock.advance(registrations.REMOVAL_GRACE - builders.MILLISECOND)
    known.record_store_recovery(directories.MIN_OUTAGE)
    known.apply_table(model.TABLES.targets, model.TableState((), 9))
    known.apply_deferred_removals()
    assert "t" in known.targets
    clock.advance(builders.MILLISECOND)
    known.apply_deferred_removals()
    assert "t" not in known.targets


def test_removal_after_a_short_outage_is_applied_at_once():
    """Guards against deferring removals after a single lost store answer."""
    _, known = directories_test.build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("t"), 5)])
    known.record_store_recovery(directories.MIN_OUTAGE / 2)
    known.apply_rows([builders.build_row(model.TABLES.targets, "t", 7, None)])
    assert "t" not in known.targets


def test_removal_of_a_leaving_target_is_not_deferred():
    # Guards against requests to a target that is already known to be leaving.
    _, known = directories_test.build_empty()
    target = builders.build_target("t", leaving=True)
    known.apply_rows([builders.build_target_row(target, 5)])
    known.record_store_recovery(directories.MIN_OUTAGE)
    known.apply_rows([builders.build_row(model.TABLES.targets, "t", 7, None)])
    assert "t" not in known.targets


def test_targets_at_the_same_address_are_logged_once(monkeypatch):
    # Guards against orders that reach another process without a trace in the log.
    log = event_capture.EventCapture(monkeypatch)
    _, known = directories_test.build_empty()
    successor = builders.build_target("b")
    known.apply_rows([builders.build_target_row(builders.build_target("a"), 5)])
    known.apply_rows([builders.build_target_row(successor, 6)])
    known.apply_rows([builders.build_target_row(successor._replace(leaving=True), 7)])
    (fields,) = log.find("target_address_shared")
    assert fields["target"] == "b" and fields["others"] == ["a/1"]
    assert fields["address"] == "10.0.0.1:80"


def test_address_of_a_removed_target_is_not_shared(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)
    _, known = directories_test.build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("a"), 5)])
    known.apply_rows([builders.build_row(model.TABLES.targets, "a", 6, None)])
    known.apply_rows([builders.build_target_row(builders.build_target("b"), 7)])
    moved = builders.build_target("b", host="10.0.0.2")
    known.apply_rows([builders.build_target_row(moved, 8)])
    known.apply_rows([builders.build_target_row(builders.build_target("c"), 9)])
    assert log.find("target_gone", target="a", life=1, address="10.0.0.1:80")
    assert not log.find("target_address_shared")
    assert set(known.registrations.names_by_address) == {
        ("10.0.0.1", 80),
        ("10.0.0.2", 80),
    }


def test_new_incarnation_is_logged_with_the_previous_one(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)
    _, known = directories_test.build_empty()
    known.apply_rows([builders.build_target_row(builders.build_target("a"), 5)])
    restarted = builders.build_target("a", life=2, port=81)
    known.apply_rows([builders.build_target_row(restarted, 6)])
    (fields,) = log.find("target_incarnation_changed")
    assert (fields["previous_life"], fields["life"]) == (1, 2)
    assert fields["previous_address"] == "10.0.0.1:80"
    assert fields["address"] == "10.0.0.1:81"


# Guards against a log line, and a change of the target, for each of its registrations.
def test_remaining_warm_up_time_is_no_change_of_the_target(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)
    clock, known = directories_test.build_empty()
    for version, seconds in ((5, 2.0), (6, 1.1), (7, 0.0)):
        left = seconds * builders.SECOND
        cold = builders.build_target("a", warm_up_left=left)
        known.apply_rows([builders.build_target_row(cold, version)])
        assert known.targets["a"] == builders.build_target("a")
        expected = registrations.WarmUp(1, left, clock.monotonic())
        assert known.registrations.warm_ups["a"] == expected
        clock.advance(builders.SECOND)
    assert len(log.find("target")) == 1
