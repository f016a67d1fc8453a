"""Tests of the duration of grants."""

from dewstep_fleet import builders, event_capture, grant_durations

USUAL = grant_durations.GRANT_DURATION


# Guards against grants that are longer than targets accept, or long without an outage.
def test_duration_is_at_most_what_targets_accept():
    assert grant_durations.choose_duration(4 * USUAL, may_be_long=True) == 4 * USUAL
    assert grant_durations.choose_duration(4 * USUAL, may_be_long=False) == USUAL
    assert grant_durations.choose_duration(USUAL / 2, may_be_long=True) == USUAL / 2
    assert grant_durations.choose_duration(USUAL / 2, may_be_long=False) == USUAL / 2


# Guards against a change that operators cannot see, and against a line for each grant.
def test_changes_of_the_duration_are_logged(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)
    outage = []
    durations = grant_durations.GrantDurations(
        lambda: 10 * builders.SECOND, lambda: bool(outage), lambda: 3
    )
    assert durations.choose_next() == durations.choose_next() == USUAL
    assert not log.find("grant_duration_changed")
    outage.append(True)
    assert durations.choose_next() == 10 * builders.SECOND
    assert durations.choose_next() == 10 * builders.SECOND
    assert len(log.find("grant_duration_changed")) == 1
