"""Tests of the bounds of outstanding grants."""

import datetime

from hypothesis import given, strategies

from dewstep_fleet import builders, outstanding

NOW = 100 * builders.SECOND
DURATION = 2.5 * builders.SECOND
SLOWEST_CLOCK = 0.98


def record_inherited(grants, now, duration):
    """Record that the previous coordinator may send grants of `duration` now."""
    expiry = outstanding.compute_inherited_expiry(now, duration)
    return outstanding.record_inherited(grants, expiry)


def test_grant_in_progress_is_assumed_to_arrive_at_its_timeout():
    # Guards against an expiry that is computed from when an order was sent.
    grants = outstanding.record_sending(outstanding.build_ended(NOW), NOW, DURATION)
    assert grants.expiry >= NOW + outstanding.ORDER_TIMEOUT + DURATION / SLOWEST_CLOCK
    assert grants.late_until == NOW


def test_lost_answer_may_be_followed_by_a_late_grant():
    # Guards against a grant that is applied after its keys have another owner.
    grants = outstanding.record_sending(outstanding.build_ended(NOW), NOW, DURATION)
    later = NOW + outstanding.ORDER_TIMEOUT
    grants = outstanding.record_lost_answer(grants, later, DURATION)
    assert grants.late_until >= later + DURATION / SLOWEST_CLOCK
    assert grants.expiry == grants.late_until


def test_answered_grant_does_not_end_an_earlier_unanswered_one():
    # Guards against forgetting a lost order once a later one is answered.
    grants = outstanding.record_lost_answer(
        outstanding.build_ended(NOW), NOW, 4 * DURATION
    )
    grants = outstanding.record_answer(grants, NOW + builders.SECOND, DURATION)
    assert grants.late_until >= NOW + 4 * DURATION
    assert grants.expiry >= NOW + 4 * DURATION


def test_accepted_ranges_end_late_orders_but_not_accepted_grants():
    # Guards against ignoring long grants that the previous coordinator sent.
    grants = record_inherited(outstanding.build_ended(NOW), NOW, 4 * DURATION)
    bound = NOW + outstanding.TERM_CONFIRMATION_MAX_AGE + 4 * DURATION
    assert grants.late_until >= bound
    grants = outstanding.exclude_inherited(grants, NOW)
    assert grants.late_until == NOW
    assert grants.expiry >= bound


# Guards against granting keys that a target holds under the longest grant that the
# previous coordinator sent as the last one.
def test_inherited_grants_expire_after_the_last_possible_one():
    duration = 4 * DURATION
    last_sent_at = NOW + outstanding.TERM_CONFIRMATION_MAX_AGE
    expiry = outstanding.compute_inherited_expiry(NOW, duration)
    assert expiry > last_sent_at + duration * outstanding.CLOCK_DRIFT_FACTOR


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                [
                    outstanding.record_sending,
                    outstanding.record_answer,
                    outstanding.record_lost_answer,
                    record_inherited,
                ]
            ),
            strategies.integers(0, 500),
            strategies.sampled_from([2_500, 10_000]),
        )
    )
)
def test_no_event_shortens_a_grant_whose_order_has_ended(events):
    # Guards against a short grant that hides a longer one.
    now = NOW
    grants = outstanding.build_ended(now)
    for record, pause, duration in events:
        now += datetime.timedelta(milliseconds=pause)
        before = grants
        grants = record(grants, now, datetime.timedelta(milliseconds=duration))
        assert grants.sent_until >= before.sent_until
        assert grants.unanswered_until >= before.unanswered_until
        assert grants.inherited_until >= before.inherited_until
        assert grants.expiry >= grants.sent_until
