"""When a target's ranges are renewed, and when the target counts as lost.

The state of one incarnation of a target is an immutable tuple. Pure functions; times
are readings of the coordinator's monotonic clock.
"""

import datetime
import enum
from collections.abc import Set
from typing import Any, NamedTuple

from dewstep_fleet import model, terms

RENEWAL_INTERVAL = datetime.timedelta(milliseconds=600)
"""A quarter of `grant_durations.GRANT_DURATION`, so that two renewals may be lost."""
MAX_RENEWAL_FAILURES = 2
"""Consecutive unanswered renewals after which a target counts as lost."""
RENEWAL_RETRY_PERIOD = datetime.timedelta(seconds=2)
"""Time for which renewals are retried at a target that answers none. A full target
resets most connections, but answers an occasional one."""
AVOIDANCE_PERIOD = datetime.timedelta(seconds=3)
"""A target whose grants expired without a renewal gets no keys for this long."""


class Renewal(NamedTuple):
    """Whether an incarnation of a target answers renewals; when the next one is due."""

    failures: int = 0
    """Consecutive renewals without an answer."""
    failing_since: datetime.timedelta = datetime.timedelta()
    """Time of the first of the consecutive failures."""
    last_failure: Any = None
    due_at: datetime.timedelta = datetime.timedelta()
    in_progress: bool = False
    avoid_until: datetime.timedelta = datetime.timedelta()

    @property
    def is_lost(self) -> bool:
        """Whether the target has left too many renewals unanswered."""
        return self.failures >= MAX_RENEWAL_FAILURES

    def is_avoided(self, now: datetime.timedelta) -> bool:
        """Whether the target gets no further keys now."""
        return self.avoid_until > now or self.is_lost


class Registration(enum.Enum):
    """What the registration of a target says about the owner of its ranges."""

    GONE = "gone"
    """The owner is leaving, or is not registered for the service any more."""
    OUTDATED = "outdated"
    """The owner is a newer incarnation than the registered one."""
    RESTARTED = "restarted"
    """Some ranges belong to an earlier incarnation than the registered one."""
    CURRENT = "current"
    """The registered incarnation owns all ranges."""


class Step(enum.Enum):
    """What is due for a registered owner."""

    WAIT = "wait"
    RENEW = "renew"
    EVACUATE = "evacuate"
    """The target is lost and its grants have expired."""


def compare_registration(
    registered: model.Target | None, service: str, incarnations: Set[int]
) -> Registration:
    """Compare the registration with the incarnations that own a target's ranges."""
    if registered is None or registered.service != service or registered.leaving:
        return Registration.GONE
    newest = max(incarnations)
    if registered.life < newest:
        # The address of the owner is unknown: the store has lost its newer
        # registration or returns older rows.
        return Registration.OUTDATED
    if incarnations != {registered.life}:
        return Registration.RESTARTED
    return Registration.CURRENT


def choose_step(
    renewal: Renewal, expiry: datetime.timedelta, now: datetime.timedelta
) -> Step:
    """Return what is due for a registered owner whose grants end at `expiry`."""
    if renewal.is_lost and now >= expiry:
        return Step.EVACUATE
    if now < renewal.due_at or renewal.in_progress:
        return Step.WAIT
    if renewal.is_lost and now - renewal.failing_since > RENEWAL_RETRY_PERIOD:
        # The target may apply grants without answering; renewing them forever would
        # keep its keys there.
        return Step.WAIT
    return Step.RENEW


def begin(renewal: Renewal, now: datetime.timedelta) -> Renewal:
    """Return the state after a renewal of all ranges has begun."""
    return renewal._replace(in_progress=True, due_at=now + RENEWAL_INTERVAL)


def end(renewal: Renewal) -> Renewal:
    """Return the state after a renewal of all ranges has ended."""
    return renewal._replace(in_progress=False)


def record_answer(renewal: Renewal) -> Renewal:
    """Return the state after the target has accepted a grant."""
    return renewal._replace(failures=0)


def record_failure(renewal: Renewal, failure: Any, now: datetime.timedelta) -> Renewal:
    """Return the state after the target has refused or not answered a grant."""
    return renewal._replace(
        failures=renewal.failures + 1,
        failing_since=renewal.failing_since if renewal.failures else now,
        last_failure=failure,
        due_at=min(renewal.due_at, now + terms.RETRY_PAUSE),
    )


def postpone(renewal: Renewal, now: datetime.timedelta) -> Renewal:
    """Return the state after a grant was not sent, as the term is unconfirmed.

    It says nothing about the target.
    """
    return renewal._replace(due_at=now + terms.RETRY_PAUSE)


def needs_higher_number(failure: Any) -> bool:
    """Whether a grant failed because the range needs a higher generation number."""
    return isinstance(failure, model.Superseded | model.NumbersUsedUp)


def judge_failure(renewal: Renewal) -> Renewal:
    """Return the state after the last failure was attributed to its cause."""
    if needs_higher_number(renewal.last_failure):
        return renewal._replace(failures=0)
    if isinstance(renewal.last_failure, model.TargetReplaced):
        # Its grants have ended, so that its ranges can be moved at once.
        return renewal._replace(failures=max(renewal.failures, MAX_RENEWAL_FAILURES))
    return renewal


def renew_at_once(renewal: Renewal, now: datetime.timedelta) -> Renewal:
    """Return the state after the first grant of a range has failed."""
    return renewal._replace(due_at=now)


def record_loss(renewal: Renewal, now: datetime.timedelta) -> Renewal:
    """Return the state after the target was found to be lost: it gets no more keys."""
    return renewal._replace(avoid_until=now + AVOIDANCE_PERIOD, failures=0)
