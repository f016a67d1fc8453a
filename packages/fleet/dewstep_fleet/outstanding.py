"""When the grants that were sent to one process of a target have ended.

The only place that knows how long a grant may be in force. A target measures the
duration from the arrival of the order with a clock that may be slow, an unanswered
order may be applied late, and a new coordinator does not know what its predecessor
sent. Pure functions; times are readings of the coordinator's monotonic clock.
"""

import datetime
from typing import NamedTuple

CLOCK_DRIFT_FACTOR = 1.02
"""Allows for a target's clock that is up to 2% slow."""
MAX_TRANSIT = datetime.timedelta(milliseconds=150)
"""Maximum network transit time of an order on a working link."""
ORDER_TIMEOUT = datetime.timedelta(milliseconds=400)
"""Time-out of an order, and of opening a connection for orders. An exchange takes 2 ms,
and a lost packet is retransmitted after 200 ms."""
TERM_CONFIRMATION_MAX_AGE = datetime.timedelta(seconds=3)
"""A coordinator sends no orders if the store has not confirmed its term for this long.
The next coordinator relies on this."""


class OutstandingGrants(NamedTuple):
    """Bounds of the grants that one process of a target may hold or still receive."""

    sent_until: datetime.timedelta
    """When all grants whose order has ended, with or without an answer, expire."""
    pending_until: datetime.timedelta
    """When a grant whose order is in progress expires at the latest."""
    unanswered_until: datetime.timedelta
    """Until then, an unanswered grant of this term may take effect."""
    inherited_until: datetime.timedelta
    """Until then, a grant of the previous coordinator may take effect."""
    inherits: bool = False
    """Whether the process may still accept orders of the previous coordinator."""

    @property
    def expiry(self) -> datetime.timedelta:
        """When all grants sent to the process have expired."""
        return max(self.sent_until, self.pending_until)

    @property
    def late_until(self) -> datetime.timedelta:
        """Until then, a grant that is not known to have arrived may take effect."""
        return max(self.unanswered_until, self.inherited_until)


def build_ended(now: datetime.timedelta) -> OutstandingGrants:
    """Return the bounds of a process that holds and receives no grant."""
    return OutstandingGrants(now, now, now, now)


def get_max_validity(duration: datetime.timedelta) -> datetime.timedelta:
    """Return the maximum time from sending a grant to its expiry at the target."""
    return duration * CLOCK_DRIFT_FACTOR + MAX_TRANSIT


def record_sending(
    grants: OutstandingGrants,
    now: datetime.timedelta,
    duration: datetime.timedelta,
) -> OutstandingGrants:
    """Return the bounds while a grant that is sent now awaits its answer."""
    expiry = now + ORDER_TIMEOUT + get_max_validity(duration)
    return grants._replace(pending_until=expiry)


def record_answer(
    grants: OutstandingGrants,
    now: datetime.timedelta,
    duration: datetime.timedelta,
) -> OutstandingGrants:
    """Return the bounds after the answer to the grant in progress."""
    expiry = now + get_max_validity(duration)
    return grants._replace(sent_until=max(grants.sent_until, expiry), pending_until=now)


def record_lost_answer(
    grants: OutstandingGrants,
    now: datetime.timedelta,
    duration: datetime.timedelta,
) -> OutstandingGrants:
    """Return the bounds after the grant in progress got no answer.

    Its connection was reset, so that it arrives by now or never, but the target may
    apply it late.
    """
    grants = record_answer(grants, now, duration)
    expiry = now + get_max_validity(duration)
    return grants._replace(unanswered_until=max(grants.unanswered_until, expiry))


def compute_inherited_expiry(
    now: datetime.timedelta, duration: datetime.timedelta
) -> datetime.timedelta:
    """Return when the latest grants of the previous coordinator have expired.

    Assumes that it still sends grants of `duration` for as long as it may act without
    the store.
    """
    latest_sent_at = now + TERM_CONFIRMATION_MAX_AGE + ORDER_TIMEOUT
    return latest_sent_at + get_max_validity(duration)


def record_inherited(
    grants: OutstandingGrants, expiry: datetime.timedelta
) -> OutstandingGrants:
    """Return the bounds with grants of the previous coordinator until `expiry`."""
    return grants._replace(
        sent_until=max(grants.sent_until, expiry),
        inherited_until=max(grants.inherited_until, expiry),
        inherits=True,
    )


def take_over(
    grants: OutstandingGrants, previous: OutstandingGrants
) -> OutstandingGrants:
    """Return the bounds of a process that may have received those of an earlier one."""
    return grants._replace(
        sent_until=max(grants.sent_until, previous.expiry),
        unanswered_until=max(grants.unanswered_until, previous.expiry),
        inherited_until=max(grants.inherited_until, previous.inherited_until),
        inherits=grants.inherits or previous.inherits,
    )


def exclude_inherited(
    grants: OutstandingGrants, accepted_since: datetime.timedelta
) -> OutstandingGrants:
    """Return the bounds after all ranges were accepted under numbers of this term.

    The process now rejects the previous coordinator's orders. Grants that it accepted
    earlier remain valid until they expire.
    """
    return grants._replace(inherited_until=accepted_since, inherits=False)


class TimeLeft(NamedTuple):
    """Remaining times of the grants of one process, for log lines."""

    all_grants: datetime.timedelta
    unanswered: datetime.timedelta
    inherited: datetime.timedelta


def compute_time_left(grants: OutstandingGrants, now: datetime.timedelta) -> TimeLeft:
    """Return the remaining times of the grants."""
    bounds = grants.expiry, grants.unanswered_until, grants.inherited_until
    return TimeLeft(*(max(until - now, datetime.timedelta()) for until in bounds))
