"""Tests of the times after which refused callers come back."""

import datetime

import pytest

from dewstep_core import errors
from dewstep_fleet import refusals
from dewstep_fleet.admission import return_times

SECOND = datetime.timedelta(seconds=1)


@pytest.mark.parametrize("demand", [1.0, 2.0, 4.0])
def test_callers_come_back_evenly_once_there_is_room(demand):
    # Guards against callers who come back before the queue has become shorter, or all
    # at the same time.
    times = [
        return_times.choose_return_time(0.4, demand, number / 1_000)
        for number in range(1_000)
    ]
    assert min(times) >= SECOND * 0.4
    # At most what one service time brings comes back in 300 ms.
    for start in range(0, 1_600, 300):
        first = SECOND * (0.4 + start / 1_000)
        assert sum(first <= item < first + SECOND * 0.3 for item in times) <= (
            1_000 / demand + 1
        )


@pytest.mark.parametrize("demand", [1.6, 2.0, 2.5])
def test_callers_come_back_within_their_objective_where_there_is_room(demand):
    # Guards against look-ups (122 ms, objective 515 ms) at 1.6 to 2.5 times the
    # capacity whose callers return too late for the objective, or are refused again.
    times = [
        return_times.choose_ordered_time(0.1, demand, number / 1_000, 3.0, 0.393)
        for number in range(1_000)
    ]
    soon = [item for item in times if item < SECOND * 0.393]
    assert len(soon) * (demand - 1) == pytest.approx(
        return_times.RETURN_ROOM * 1_000, rel=0.01
    )
    assert min(soon) >= SECOND * 0.1
    # The others are spared refusals in between.
    assert all(0.8 <= item / SECOND <= 1.0 for item in times if item not in soon)
    late = return_times.choose_ordered_time(0.1, demand, 0.0, 3.0, 0.0)
    assert late >= SECOND * 0.8
    # A caller without a deadline is not told to stay away for 10 s.
    late = return_times.choose_ordered_time(0.1, demand, 0.9, 30.0, 0.0)
    assert late <= SECOND * 2


def test_callers_are_told_no_later_time_than_they_honour():
    failure = errors.DemandExceeded("a", 50, SECOND * 0.04)
    assert refusals.choose_retry_after(failure, SECOND * 3, 1.0) == SECOND * 0.04
    late = failure._replace(retry_after=SECOND * 2)
    assert refusals.choose_retry_after(late, SECOND * 3, 0.0) == SECOND
    assert not refusals.choose_retry_after(late, -SECOND, 0.0)
