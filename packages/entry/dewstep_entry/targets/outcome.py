"""Which failure describes an exchange that ended without a usable answer.

The outcome that a caller sees rests on this: "not run" is only claimed if nothing was
passed to the kernel or the target itself said that it did not run the request.
"""

import enum
from typing import NamedTuple

from dewstep_core import errors

REFUSAL_STATUSES = frozenset({400, 409, 421, 429, 503})
"""Statuses that can refuse a request; each protocol uses some of them."""


class Event(enum.Enum):
    """What ended the exchange."""

    UNREACHABLE = "unreachable"
    """No connection could be opened or was free in time."""
    CLOSED = "closed"
    """The target closed or reset the connection."""
    OVERDUE = "overdue"
    """The deadline passed."""
    INVALID = "invalid"
    """The answer breaks HTTP or its announced length."""
    ABANDONED = "abandoned"
    """The rest of the request's body could not be read."""


class Progress(NamedTuple):
    """How far an exchange had come."""

    sent: bool
    """Whether a first byte was passed to the kernel."""
    status: int
    """Status of the answer, or 0 as long as its head has not arrived."""
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
        State of the exchange when it ended.
    event : Event or None
        None if a complete answer arrived.
    detail : str
        What was seen.

    Returns
    -------
    tuple or None
        One of the failures of `dewstep_core.errors`; None for a usable answer.
    """
    # A refusal is final as soon as its head is complete.
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
