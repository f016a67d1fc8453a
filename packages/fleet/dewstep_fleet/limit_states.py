"""The limit of one target, as one instance knows it, and its permits and requests."""

import asyncio
import collections
import datetime
from typing import NamedTuple

from dewstep_fleet import frames
from dewstep_fleet.warm_up import allowances

NOTHING = datetime.timedelta()
MILLISECOND = datetime.timedelta(milliseconds=1)


class Permit(NamedTuple):
    """Permission to send one request to a target."""

    target: str
    valid_until: datetime.timedelta
    cold: bool = False
    """Whether the target was cold when the permit was taken."""


class TargetLimit:
    """The limit of one incarnation of a target, and this instance's permits for it."""

    __slots__ = (
        "allowance",
        "life",
        "next_share_at",
        "observed_at",
        "permits",
        "rate",
        "refused_until",
        "reported_until",
        "unserved",
        "waiters",
        "wanted",
    )

    def __init__(self, life: int, rate: float, observed_at: datetime.timedelta):
        self.life = life
        self.rate = rate
        """Requests/s; infinite after the end of the limit."""
        self.observed_at = observed_at
        self.reported_until = observed_at
        """Until then, this instance reports its own observation."""
        self.permits: collections.deque[datetime.timedelta] = collections.deque()
        """Ends of the validity of unused permits."""
        self.waiters: collections.deque[asyncio.Future] = collections.deque()
        """Requests that wait for a permit."""
        self.wanted = 0
        """Requests that have found no permit since the last question."""
        self.refused_until = NOTHING
        """Until then, the coordinator has no permit."""
        self.next_share_at: datetime.timedelta | None = None
        """When the next permit of this instance's part becomes valid."""
        self.allowance: allowances.Allowance | None = None
        """What the target may get while it is cold; None for a limit that it names."""
        self.unserved = False
        """Whether the coordinator issues no permits for cold targets, as earlier
        versions of this package do not."""


def build_observation(
    target: str, limit: TargetLimit, now: datetime.timedelta
) -> frames.Limit:
    """Return an observation as it is sent to other instances."""
    age_ms = max(0, (now - limit.observed_at) // MILLISECOND)
    return frames.Limit(target, limit.life, limit.rate, age_ms)


def has_permit(limit: TargetLimit, now: datetime.timedelta) -> bool:
    """Whether there is a valid permit; discards those that have expired."""
    while limit.permits and limit.permits[0] <= now:
        limit.permits.popleft()
    return bool(limit.permits)


def resolve_waiter(waiter: asyncio.Future, permitted: bool) -> None:
    """Let a waiting request continue."""
    if not waiter.done():
        waiter.set_result(permitted)


def resolve_waiters(limit: TargetLimit, count: int | None = None) -> None:
    """Let up to `count` waiting requests take a permit, or all."""
    while limit.waiters and (count is None or count > 0):
        waiter = limit.waiters.popleft()
        if waiter.done():
            continue
        waiter.set_result(True)
        if count is not None:
            count -= 1


def refuse_waiters(limit: TargetLimit) -> None:
    """End the wait of all waiting requests."""
    while limit.waiters:
        resolve_waiter(limit.waiters.popleft(), False)
