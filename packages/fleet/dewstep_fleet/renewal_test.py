"""Tests of when renewals are due and when a target counts as lost."""

import pytest

from dewstep_core import errors
from dewstep_fleet import builders, model, renewal, terms

NOW = 100 * builders.SECOND
LATER = NOW + 60 * builders.SECOND
UNANSWERED = errors.TargetUnavailable("a", "no answer")
TARGET = builders.build_target("a", life=5)


def fail(state, count, failure=UNANSWERED, now=NOW):
    """Return the state after a number of failed grants."""
    for _ in range(count):
        state = renewal.record_failure(state, failure, now)
    return state


# Guards against orders to an address that is not known to be the owner's.
@pytest.mark.parametrize(
    ("registered", "incarnations", "expected"),
    [
        (None, {5}, renewal.Registration.GONE),
        (TARGET._replace(service="other"), {5}, renewal.Registration.GONE),
        (TARGET._replace(leaving=True), {5}, renewal.Registration.GONE),
        (TARGET._replace(leaving=True), {6}, renewal.Registration.GONE),
        (TARGET, {6}, renewal.Registration.OUTDATED),
        (TARGET, {4, 6}, renewal.Registration.OUTDATED),
        (TARGET, {4}, renewal.Registration.RESTARTED),
        (TARGET, {4, 5}, renewal.Registration.RESTARTED),
        (TARGET, {5}, renewal.Registration.CURRENT),
    ],
)
def test_registration_is_compared_with_the_owners(registered, incarnations, expected):
    found = renewal.compare_registration(registered, "history", incarnations)
    assert found is expected


# Guards against two renewals of the same ranges at a time, and against none.
def test_renewal_is_due_at_intervals_and_not_twice_at_a_time():
    state = renewal.begin(renewal.Renewal(), NOW)
    due = NOW + renewal.RENEWAL_INTERVAL
    assert renewal.choose_step(state, LATER, due) is renewal.Step.WAIT
    state = renewal.end(state)
    early = due - builders.MILLISECOND
    assert renewal.choose_step(state, LATER, early) is renewal.Step.WAIT
    assert renewal.choose_step(state, LATER, due) is renewal.Step.RENEW


# Guards against moving the ranges of a lost target while it may still hold them.
def test_lost_target_is_evacuated_once_its_grants_have_expired():
    state = fail(renewal.Renewal(), renewal.MAX_RENEWAL_FAILURES)
    expiry = NOW + builders.SECOND
    early = expiry - builders.MILLISECOND
    assert renewal.choose_step(state, expiry, early) is renewal.Step.RENEW
    assert renewal.choose_step(state, expiry, expiry) is renewal.Step.EVACUATE
    answering = fail(renewal.Renewal(), renewal.MAX_RENEWAL_FAILURES - 1)
    assert renewal.choose_step(answering, expiry, expiry) is renewal.Step.RENEW


# Guards against renewing forever at a target that applies grants without answering.
def test_lost_target_is_not_renewed_after_the_retry_period():
    state = fail(renewal.Renewal(), renewal.MAX_RENEWAL_FAILURES)
    end = NOW + renewal.RENEWAL_RETRY_PERIOD
    assert renewal.choose_step(state, LATER, end) is renewal.Step.RENEW
    after = end + builders.MILLISECOND
    assert renewal.choose_step(state, LATER, after) is renewal.Step.WAIT


# Guards against a retry period that begins anew with each failure, and against failures
# that remain counted after an answer.
def test_consecutive_failures_are_counted_from_the_first():
    state = fail(renewal.Renewal(), 1)
    state = fail(state, 1, now=NOW + builders.SECOND)
    assert (state.failures, state.failing_since) == (2, NOW)
    state = renewal.record_answer(state)
    state = fail(state, 1, now=LATER)
    assert (state.failures, state.failing_since) == (1, LATER)


# Guards against a failed grant that is retried only at the next interval, and against
# postponing a renewal that is due earlier.
def test_failed_grant_is_retried_after_a_pause():
    state = fail(renewal.begin(renewal.Renewal(), NOW), 1)
    assert state.due_at == NOW + terms.RETRY_PAUSE
    assert fail(state, 1, now=LATER).due_at == NOW + terms.RETRY_PAUSE


# Guards against a target that counts as lost because the store is slow.
def test_unconfirmed_term_is_not_a_failure_of_the_target():
    state = renewal.postpone(fail(renewal.Renewal(), 1), LATER)
    assert (state.failures, state.last_failure) == (1, UNANSWERED)
    assert state.due_at == LATER + terms.RETRY_PAUSE


# Guards against evacuating a live target that needs a higher number, and against
# waiting for the grants of a process that has ended.
@pytest.mark.parametrize(
    ("failure", "expected"),
    [
        (model.Superseded("a", 7), 0),
        (model.NumbersUsedUp("a", 7), 0),
        (model.TargetReplaced("a"), renewal.MAX_RENEWAL_FAILURES),
        (UNANSWERED, 1),
    ],
)
def test_failures_are_attributed_to_their_cause(failure, expected):
    state = renewal.judge_failure(fail(renewal.Renewal(), 1, failure))
    assert state.failures == expected


# Guards against keys that return at once to the target that has lost them.
def test_lost_target_is_avoided_for_a_period():
    state = fail(renewal.Renewal(), renewal.MAX_RENEWAL_FAILURES)
    assert state.is_avoided(NOW)
    state = renewal.record_loss(state, NOW)
    end = NOW + renewal.AVOIDANCE_PERIOD
    assert state.is_avoided(end - builders.MILLISECOND)
    assert not state.is_avoided(end)
