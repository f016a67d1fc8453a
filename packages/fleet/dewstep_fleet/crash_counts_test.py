"""Tests of finding requests that crash their targets."""

import datetime
import itertools

from hypothesis import given, strategies

from dewstep_fleet import crash_counts

FINGERPRINT = b"f"
SECOND = datetime.timedelta(seconds=1)
END = 100 * SECOND


def add(counts, target, sent, lost, life=1, at=None):
    """Report a loss, given in seconds, at a time or at once."""
    loss = crash_counts.Loss(target, life, sent * SECOND, lost * SECOND)
    return counts.add(FINGERPRINT, loss, (lost if at is None else at) * SECOND)


def build_counts(*losses):
    """Return counts with losses of the targets a, b and so on."""
    counts = crash_counts.CrashCounts()
    for target, (sent, lost) in zip("abcdef", losses, strict=False):
        add(counts, target, sent, lost)
    return counts


def test_request_is_quarantined_after_separate_losses():
    # Guards against a request that crashes every target that runs it.
    counts = build_counts((0, 0.05), (0.2, 0.25))
    assert not counts.is_quarantined(FINGERPRINT, SECOND)
    add(counts, "a", 0.4, 0.45, life=2)
    assert counts.is_quarantined(FINGERPRINT, SECOND)


def test_losses_reported_in_another_order_are_separate():
    # Guards against BUDGET: registrations expire in any order.
    for order in itertools.permutations([(0, 0.05), (0.2, 0.25), (0.4, 0.45)]):
        assert build_counts(*order).get(FINGERPRINT, SECOND) == 3


def test_one_loss_counts_once():
    # Guards against DENIED: each instance with a popular request in progress reports
    # the loss of its target.
    counts = crash_counts.CrashCounts()
    for sent in (0, 0.5, 0.9, 0.2):
        add(counts, "a", sent, 1)
    assert counts.get(FINGERPRINT, END) == 1


def test_request_sent_to_a_lost_target_shows_no_other_loss():
    # Guards against DENIED: a caller's next attempt reaches a target that is lost.
    for reports in itertools.permutations([(0.1, 1.0), (1.2, 1.2), (1.4, 1.5)]):
        counts = build_counts((0.5, 0.99))
        for sent, lost in reports:
            add(counts, "z", sent, lost)
        assert counts.get(FINGERPRINT, END) == 1


def test_losses_with_a_common_cause_count_once():
    # Guards against DENIED: a popular request is in progress at several targets that
    # lose power together, whose registrations expire one after the other.
    counts = crash_counts.CrashCounts()
    for number, target in enumerate("abcdef"):
        add(counts, target, 0.1 * number, 1 + 0.01 * number, at=3 + number)
    assert counts.get(FINGERPRINT, END) == 1


def test_success_clears_a_request():
    # Guards against DENIED: a request that a target has run does not crash targets.
    counts = build_counts((0, 1), (2, 3), (4, 5))
    assert counts.clear(FINGERPRINT, END)
    assert not counts.is_quarantined(FINGERPRINT, END)
    assert not counts.clear(FINGERPRINT, END)
    # A late report of a loss from before.
    add(counts, "a", 0, 1, at=9)
    assert not counts.get(FINGERPRINT, END)


def test_quarantine_ends():
    # Guards against a request that is refused for ever because of a wrong suspicion.
    counts = build_counts((0, 1), (2, 3), (4, 5))
    end = SECOND + crash_counts.QUARANTINE_PERIOD
    assert counts.is_quarantined(FINGERPRINT, end - SECOND)
    assert not counts.is_quarantined(FINGERPRINT, end)


def test_losses_that_are_far_apart_do_not_add_up():
    # Guards against DENIED: a request that is in progress at a loss now and then.
    step = 6 * crash_counts.QUARANTINE_PERIOD // SECOND
    counts = build_counts(*((number * step, number * step + 1) for number in range(3)))
    assert not counts.is_quarantined(FINGERPRINT, 2 * step * SECOND)


def test_counts_of_another_instance_are_taken_over():
    # Guards against a quarantine that a new coordinator does not know of.
    counts = crash_counts.CrashCounts()
    counts.apply(FINGERPRINT, 3, SECOND)
    counts.apply(FINGERPRINT, 2, SECOND)
    assert counts.is_quarantined(FINGERPRINT, SECOND)
    counts.apply(FINGERPRINT, 0, SECOND)
    assert not counts.is_quarantined(FINGERPRINT, SECOND)


def test_loss_that_the_coordinator_has_counted_counts_once_at_a_late_member():
    # Guards against DENIED: a member that confirms a loss after the coordinator.
    counts = crash_counts.CrashCounts()
    counts.apply(FINGERPRINT, 1, 10 * SECOND)
    add(counts, "a", 8, 9, at=11.2)
    assert counts.get(FINGERPRINT, END) == 1


def test_losses_reported_without_a_target_count_once_at_a_time():
    # Guards against DENIED beside instances of an earlier version, which do not report
    # the target.
    counts = crash_counts.CrashCounts()
    for number in range(5):
        add(counts, "", 5 + number / 10, 5 + number / 10, life=0)
    assert counts.get(FINGERPRINT, END) == 1


def test_memory_is_bounded():
    # Guards against memory that grows with the requests in progress at lost targets.
    counts = crash_counts.CrashCounts()
    loss = crash_counts.Loss("a", 1, SECOND, SECOND)
    for number in range(crash_counts.MAX_REQUESTS + 10):
        counts.add(b"%d" % number, loss, SECOND)
    assert len(counts.suspects) == crash_counts.MAX_REQUESTS
    for number in range(crash_counts.MAX_LOSSES + 10):
        counts.add(b"x", loss._replace(life=number), SECOND)
    assert len(counts.suspects[b"x"].losses) <= crash_counts.MAX_LOSSES


@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 20), strategies.integers(0, 20)),
        max_size=6,
    )
)
def test_count_is_the_longest_sequence_of_losses(times):
    # Guards against DENIED by losses in any order, and against a count that is too low.
    losses = [
        crash_counts.Loss("a", life, start * SECOND, (start + length) * SECOND)
        for life, (start, length) in enumerate(times)
    ]
    longest = 0
    for size in range(len(losses) + 1):
        for order in itertools.permutations(losses, size):
            pairs = itertools.pairwise(order)
            separation = crash_counts.MIN_SEPARATION
            if all(b.sent_at >= a.lost_at + separation for a, b in pairs):
                longest = size
    assert crash_counts.count_separate(losses) == longest
