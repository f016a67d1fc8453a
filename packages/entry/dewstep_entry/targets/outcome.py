"""Classifies exchanges that ended without a usable answer.

The outcome reported to the caller depends on this: "not run" is reported only if no
byte was passed to the kernel or the target refused the request.
"""

import enum
from typing import NamedTuple

from dewstep_core import errors

REFUSAL_STATUSES = frozenset({400, 409, 421, 429, 503})
"""Statuses of refusals; each target protocol uses some of them."""


class Event(enum.Enum):
    """The reason for which an exchange ended."""

    UNREACHABLE = "unreachable"
    """No connection could be opened or became free in time."""
    CLOSED = "closed"
    """The target closed or reset the connection."""
    OVERDUE = "overdue"
    """The deadline passed."""
    INVALID = "invalid"
    """The answer violates HTTP or its announced length."""
    ABANDONED = "abandoned"
    """The rest of the request's body could not be read."""


class Progress(NamedTuple):
    """The progress of an exchange."""

    sent: bool
    """Whether any byte was passed to the kernel."""
    status: int
    """Status of the answer, or 0 until its head has arrived."""
    refusal: str
    """Value of `Dewstep-Refused` in the answer's head, or ""."""


UNSENT = Progress(False, 0, "")
SENT = Progress(True, 0, "")


def classify_end(
    target: str, progress: Progress, event: Event | None, detail: str = ""
) -> tuple | None:
    """Return the failure for an exchange that ended with `event`.

    Parameters
    ----------
    target : str
        Name of the target.
    progress : Progress
        Progress of the exchange when it ended.
    event : Event or None
        None if a complete answer arrived.
    detail : str
        Details for the failure.

    Returns
    -------
    tuple or None
        One of the failures of `dewstep_core.errors`; None for a usable answer.
    """
    # A refusal is valid once its head is complete, even if the body is truncated.
    if progress.refusal and progress.status in REFUSAL_STATUSES:
        return errors.TargetRefused(target, progress.refusal)
    if event is None:
        return None
    if not progress.sent:
        return errors.TargetUnavailable(target, detail or event.value)
    if event is Event.OVERDUE:
        return errors.DeadlineExceeded(target)
    if event is Event.INVALID:
        return errors.AnswerInvalid(target, detail)
    return errors.ConnectionLost(target)
