"""Notifications of a gate to its manager about its target."""

import datetime
from typing import NamedTuple


class TargetLost(NamedTuple):
    """The target does not answer, and its grant is no longer renewed."""

    target: str
    term: int
    expired_at: datetime.timedelta
    """Local monotonic time from which no grant of any gate is in force."""


class TargetReturned(NamedTuple):
    """A lost target answered before its shards were moved."""

    target: str
    term: int


class TargetRestarted(NamedTuple):
    """The target answered with a new boot id."""

    target: str
    term: int
    boot: str


class Superseded(NamedTuple):
    """Another process is the gate of the target, with a higher term."""

    target: str
    term: int
    higher_term: int


Notification = TargetLost | TargetReturned | TargetRestarted | Superseded
