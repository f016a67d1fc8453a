"""Rules for slow callers.

The rules are applied to one connection at a time. A single periodic task checks all
connections, so that requests need no timers of their own.
"""

import enum
from typing import NamedTuple

from dewstep_core import settings

LINGERING_CLOSE_SECONDS = 1.0
"""Time for which input is discarded after the last answer. Closing earlier can cause a
reset that deletes the answer before the caller reads it (RFC 9112, section 9.6)."""


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = "idle"
    """The first byte of a request."""
    HEAD = "head"
    """The rest of a request's head."""
    BODY = "body"
    """More of a request's body."""
    HANDLING = "handling"
    """The handler's answer, or a read of the request's body."""
    WRITING = "writing"
    """A read of the answer by the caller."""
    LINGERING = "lingering"
    """The close of the connection by the caller."""


class PhaseProgress(NamedTuple):
    """The progress of a connection in its phase."""

    phase: Phase
    elapsed: float
    """Seconds since the start of the phase or, for writing, of the last sample."""
    earlier_wait: float
    """Seconds spent in earlier waits for the same body."""
    transferred_bytes: int
    """Bytes of the body that were received, or of the answer that were written."""


class Action(enum.Enum):
    """The action for a connection."""

    KEEP = "keep"
    """Do nothing."""
    SAMPLE = "sample"
    """The caller reads fast enough; start the next sample."""
    REFUSE = "refuse"
    """Refuse the request as too slow."""
    CLOSE = "end"
    """Close the connection without an answer."""


def choose_action(progress: PhaseProgress, limits: settings.CallerLimits) -> Action:
    """Return the action for a connection with the given progress."""
    phase, elapsed = progress.phase, progress.elapsed
    if phase is Phase.IDLE:
        slow = elapsed > limits.idle_timeout.total_seconds()
        return Action.CLOSE if slow else Action.KEEP
    if phase is Phase.HEAD:
        slow = elapsed > limits.head_timeout.total_seconds()
        return Action.REFUSE if slow else Action.KEEP
    grace = limits.body_grace.total_seconds()
    if phase is Phase.BODY:
        allowed = grace + progress.transferred_bytes / limits.body_rate_bytes
        return (
            Action.REFUSE if progress.earlier_wait + elapsed > allowed else Action.KEEP
        )
    if phase is Phase.WRITING and elapsed > grace:
        slow = progress.transferred_bytes < limits.body_rate_bytes * elapsed
        return Action.CLOSE if slow else Action.SAMPLE
    if phase is Phase.LINGERING and elapsed > LINGERING_CLOSE_SECONDS:
        return Action.CLOSE
    return Action.KEEP
