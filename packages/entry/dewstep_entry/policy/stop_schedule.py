"""Decides which requests are still started during a planned stop.

At the end of a stop all connections are aborted. A request that is in progress then is
cut, and its caller does not know whether it has run. So a request is started only if
its answer comes before the abort; its caller sends it to another process otherwise.
"""

import datetime
from typing import NamedTuple

ANSWER_MARGIN = datetime.timedelta(milliseconds=100)
"""Time before the abort at which the last answer is due, so that it is written although
the process is busy."""
MIN_SERVICE_TIME = datetime.timedelta(seconds=1)
"""Time before the abort from which on no request is started. Many last half a second,
so that most of the later ones would only time out."""


class StopSchedule(NamedTuple):
    """Times of a planned stop."""

    closes_at: datetime.timedelta
    """When the listeners are closed. Until then, requests are started whose answer may
    be due after the abort but is expected before it."""
    last_start_at: datetime.timedelta
    """Time from which on no request is started."""
    abort_at: datetime.timedelta
    """When all connections are aborted."""


def plan_stop(
    began_at: datetime.timedelta,
    abort_at: datetime.timedelta,
    accepting_time: datetime.timedelta,
) -> StopSchedule:
    """Return the schedule of a stop.

    Parameters
    ----------
    began_at, abort_at : datetime.timedelta
    accepting_time : datetime.timedelta
        Time after the beginning in which new requests are expected. It is shortened if
        the stop would otherwise have no time left for them.
    """
    last_start_at = max(began_at, abort_at - MIN_SERVICE_TIME)
    closes_at = min(began_at + accepting_time, last_start_at)
    return StopSchedule(closes_at, last_start_at, abort_at)


def may_start(
    schedule: StopSchedule,
    now: datetime.timedelta,
    due_at: datetime.timedelta,
    expected_duration: datetime.timedelta | None,
) -> bool:
    """Whether a request may be sent to a target, or to another process.

    Parameters
    ----------
    schedule : StopSchedule
    now : datetime.timedelta
    due_at : datetime.timedelta
        When the request is answered at the latest, with a failure if necessary.
    expected_duration : datetime.timedelta or None
        Expected time until the answer; None if only a request may be started that
        certainly ends in time.
    """
    if now >= schedule.last_start_at:
        return False
    last_end = schedule.abort_at - ANSWER_MARGIN
    if due_at <= last_end:
        return True
    if expected_duration is None or now > schedule.closes_at:
        return False
    return now + expected_duration <= last_end
