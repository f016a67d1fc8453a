"""Tests of which requests are started during a planned stop."""

import datetime

import pytest

from dewstep_entry.policy import stop_schedule


def seconds(number):
    return datetime.timedelta(seconds=number)


SCHEDULE = stop_schedule.plan_stop(seconds(100), seconds(105.7), seconds(2.5))
BEGUN = seconds(0)


def may_start(now, due_at, expected_duration=BEGUN):
    return stop_schedule.may_start(
        SCHEDULE, seconds(now), seconds(due_at), expected_duration
    )


def test_times_of_a_stop():
    assert SCHEDULE == (seconds(102.5), seconds(104.7), seconds(105.7))


# Guards against a stop that accepts requests until after its own end.
@pytest.mark.parametrize(
    ("abort_at", "last_start_at"), [(102, 101), (100.5, 100), (99, 100)]
)
def test_short_stop_closes_before_its_end(abort_at, last_start_at):
    schedule = stop_schedule.plan_stop(seconds(100), seconds(abort_at), seconds(2.5))
    assert schedule.closes_at == schedule.last_start_at == seconds(last_start_at)


@pytest.mark.parametrize("now", [100, 102.5, 102.6, 104.6])
def test_request_that_certainly_ends_in_time_may_start(now):
    assert may_start(now, 105.6)
    assert may_start(now, 105.6, None)
    assert may_start(now, 105.6, seconds(60))


# Guards against requests that are started just before the abort.
@pytest.mark.parametrize("now", [104.7, 105, 106])
def test_no_request_may_start_near_the_abort(now):
    assert not may_start(now, 105)


@pytest.mark.parametrize("now", [100, 102.5])
def test_request_that_is_expected_to_end_in_time_may_start_until_the_close(now):
    assert may_start(now, 130)
    assert may_start(now, 130, seconds(105.6 - now))
    assert not may_start(now, 130, seconds(105.61 - now))
    assert not may_start(now, 130, None)


# Guards against a request without a near deadline that starts late and is cut.
@pytest.mark.parametrize("due_at", [105.61, 105.7, 130])
def test_request_that_may_not_end_in_time_is_not_started_after_the_close(due_at):
    assert not may_start(102.6, due_at)
