"""When the owner of one range can run no more requests for it.

The ownership ends once the owner has released the range, or once all grants that were
sent to it have expired. A grant that may still arrive could take effect after a
release; the owner is therefore first made to reject it with a grant under a higher
number (a fence). `outstanding` knows when grants expire. Pure functions; times are
readings of the coordinator's monotonic clock.
"""

import datetime
from typing import NamedTuple

from dewstep_fleet import outstanding


class OwnershipEnd(NamedTuple):
    """The end of the ownership of a range, as far as it is known."""

    expiry: datetime.timedelta
    """When the owner can hold the range no more."""
    late_until: datetime.timedelta
    """Until then, a grant that is not known to have arrived may take effect."""
    reason: str = "expired"
    """Why the ownership ends, for log lines."""
    fencing: str = "none"
    """Whether a fence was sent, and whether it was accepted."""

    @property
    def is_fenced(self) -> bool:
        """Whether the owner rejects all earlier grants."""
        return self.fencing == "accepted"


def build_unreleased(grants: outstanding.OutstandingGrants) -> OwnershipEnd:
    """Return the end of an ownership that is not renewed any more."""
    return OwnershipEnd(grants.expiry, grants.late_until)


def record_unanswered_fence(
    end: OwnershipEnd, grants: outstanding.OutstandingGrants
) -> OwnershipEnd:
    """Return the end after the owner did not answer a fence.

    The fence itself may take effect late.
    """
    return end._replace(
        expiry=max(end.expiry, grants.expiry),
        late_until=max(end.late_until, grants.unanswered_until),
        fencing="failed",
    )


def record_accepted_fence(
    end: OwnershipEnd, grants: outstanding.OutstandingGrants, now: datetime.timedelta
) -> OwnershipEnd:
    """Return the end after the owner has accepted a fence, and no earlier grant can."""
    return end._replace(expiry=grants.expiry, late_until=now, fencing="accepted")


def record_release(end: OwnershipEnd) -> OwnershipEnd:
    """Return the end after the owner has released the range.

    Only a late grant could still make it hold the range.
    """
    return end._replace(expiry=end.late_until, reason="released")


def record_failed_release(
    end: OwnershipEnd, grants: outstanding.OutstandingGrants
) -> OwnershipEnd:
    """Return the end after a release has failed.

    It is earlier than before if the owner turned out to have ended.
    """
    return end._replace(expiry=min(end.expiry, grants.expiry))


def compute_wait(end: OwnershipEnd, now: datetime.timedelta) -> datetime.timedelta:
    """Return the time until the end."""
    return max(end.expiry - now, datetime.timedelta())
