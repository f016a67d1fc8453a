"""Tests of finding requests that crash their targets."""

import datetime

from hypothesis import given, strategies

from dewstep_fleet import crash_counts

FINGERPRINT = b"f"
SECOND = datetime.timedelta(seconds=1)
LATER = 2 * crash_counts.MIN_SEPARATION


def add_losses(counts, *losses, interval=LATER):
    """Count a loss after each interval."""
    for number, (target, life) in enumerate(losses):
        counts.add(FINGERPRINT, target, life, number * interval)


def test_request_is_quarantined_after_separate_losses():
    # Guards against a request that crashes every target that runs it.
    counts = crash_counts.CrashCounts()
    add_losses(counts, ("a", 1), ("b", 1))
    assert not counts.is_quarantined(FINGERPRINT, 2 * LATER)
    counts.add(FINGERPRINT, "a", 2, 2 * LATER)
    assert counts.is_quarantined(FINGERPRINT, 2 * LATER)


def test_one_loss_counts_once():
    # Guards against DENIED: each instance with a popular request in progress reports
    # the loss of its target.
    counts = crash_counts.CrashCounts()
    add_losses(counts, ("a", 1), ("a", 1), ("a", 1), ("a", 1))
    assert counts.get(FINGERPRINT) == 1


def test_losses_with_a_common_cause_count_once():
    # Guards against DENIED: a popular request is in progress at several targets that
    # lose power together.
    counts = crash_counts.CrashCounts()
    add_losses(counts, ("a", 1), ("b", 1), ("c", 1), interval=SECOND / 100)
    assert counts.get(FINGERPRINT) == 1


def test_success_clears_a_request():
    # Guards against DENIED: a request that a target has run does not crash targets.
    counts = crash_counts.CrashCounts()
    add_losses(counts, ("a", 1), ("b", 1), ("c", 1))
    assert counts.clear(FINGERPRINT)
    assert not counts.is_quarantined(FINGERPRINT, 3 * LATER)
    assert not counts.clear(FINGERPRINT)
    # A late report of a loss from before.
    counts.add(FINGERPRINT, "a", 1, 4 * LATER)
    assert not counts.get(FINGERPRINT)


def test_quarantine_ends():
    # Guards against a request that is refused for ever because of a wrong suspicion.
    counts = crash_counts.CrashCounts()
    add_losses(counts, ("a", 1), ("b", 1), ("c", 1))
    end = 2 * LATER + crash_counts.QUARANTINE_PERIOD
    assert counts.is_quarantined(FINGERPRINT, end - SECOND)
    assert not counts.is_quarantined(FINGERPRINT, end)
    assert not counts.get(FINGERPRINT)


def test_counts_of_another_instance_are_taken_over():
    # Guards against a quarantine that a new coordinator does not know of.
    counts = crash_counts.CrashCounts()
    counts.apply(FINGERPRINT, 3, SECOND)
    counts.apply(FINGERPRINT, 2, SECOND)
    assert counts.is_quarantined(FINGERPRINT, SECOND)
    counts.apply(FINGERPRINT, 0, SECOND)
    assert not counts.is_quarantined(FINGERPRINT, SECOND)


def test_losses_reported_without_a_target_count_once_at_a_time():
    # Guards against DENIED beside instances of an earlier version, which do not report
    # the target.
    counts = crash_counts.CrashCounts()
    for number in range(5):
        counts.add(FINGERPRINT, "", 0, SECOND * number / 10)
    assert counts.get(FINGERPRINT) == 1


def test_memory_is_bounded():
    # Guards against memory that grows with the requests in progress at lost targets.
    counts = crash_counts.CrashCounts()
    for number in range(crash_counts.MAX_REQUESTS + 10):
        counts.add(b"%d" % number, "a", 1, SECOND)
    assert len(counts.suspects) == crash_counts.MAX_REQUESTS
    for number in range(crash_counts.MAX_LOSSES + 10):
        counts.add(b"x", "a", number, SECOND)
    assert len(counts.suspects[b"x"].losses) <= crash_counts.MAX_LOSSES


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"),
            strategies.integers(1, 3),
            strategies.integers(0, 20),
        )
    )
)
def test_count_is_at_most_the_number_of_separate_losses(reports):
    # Guards against DENIED by reports in any number and order.
    counts = crash_counts.CrashCounts()
    now = datetime.timedelta()
    times = {}
    for target, life, tenths in reports:
        now += tenths * SECOND / 10
        counts.add(FINGERPRINT, target, life, now)
        times.setdefault((target, life), now)
    separate = 0
    last = None
    for first in sorted(times.values()):
        if last is None or first - last >= crash_counts.MIN_SEPARATION:
            separate += 1
            last = first
    assert counts.get(FINGERPRINT) == separate
