"""Whether a request is sent again to the owner of its key that refused it.

A full owner refuses for as long as its queue stays full, so a resend would cost it and
the retry budget in vain. An owner with free slots refuses for another reason, which
each request meets by chance, and the next try may be accepted.
"""

from dewstep_entry.targets import answering
from dewstep_fleet import load_counts

MISDIRECTED = "421"
"""Reason with which a target refuses a request for a key that it does not own."""
LASTING_REASONS = (MISDIRECTED, answering.REPLACED)
"""Reasons of refusals that hold until the owner of the key changes."""
MAX_OWNER_RESENDS = 2
"""Maximum number of resends to an owner. If it refuses half of the requests, three
tries leave an eighth of them refused."""


def refuses_by_chance(estimate: load_counts.Estimate, slots: int) -> bool:
    """Whether an owner that has refused a request may accept the next try.

    Parameters
    ----------
    estimate : load_counts.Estimate
        What is known of the owner after the refusal.
    slots : int
        Slots of the owner.
    """
    closed = estimate.pause_left or estimate.blocked
    return not closed and estimate.running < slots


def may_resend(
    estimate: load_counts.Estimate, slots: int, sends: int, max_attempts: int
) -> bool:
    """Whether a request may be sent once more to the owner that has refused it.

    Parameters
    ----------
    estimate : load_counts.Estimate
        What is known of the owner after the refusal.
    slots : int
        Slots of the owner.
    sends : int
        Number of times that the request has reached a target.
    max_attempts : int
        Maximum number of attempts of the route.
    """
    if not refuses_by_chance(estimate, slots):
        return False
    return sends <= MAX_OWNER_RESENDS and sends < max_attempts
