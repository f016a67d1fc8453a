"""When a caller is too slow.

The rules look at one connection at a time and are applied to all connections by one
periodic task, so that requests need no timers of their own.
"""

import enum
from typing import NamedTuple

from dewstep_core import settings

LINGER_SECONDS = 1.0
"""How long input is discarded after a last answer, so that a reset does not erase it
before the caller has read it (RFC 9112, section 9.6)."""


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = "idle"
    """The first byte of a request."""
    HEAD = "head"
    """The rest of a request's head."""
    BODY = "body"
    """More of a request's body."""
    HANDLING = "handling"
    """The handler, or the reader of a body."""
    WRITING = "writing"
    """The caller, who should read the answer."""
    LINGERING = "lingering"
    """The caller, who should close the connection."""


class Pace(NamedTuple):
    """Progress of a connection."""

    phase: Phase
    elapsed: float
    """Seconds since the phase or, when writing, the last sample began."""
    waited: float
    """Seconds that earlier waits for the same body took."""
    moved: int
    """Bytes of the body received, or of the answer that the caller took."""


class Verdict(enum.Enum):
    """What to do with a connection."""

    KEEP = "keep"
    SAMPLE = "sample"
    """The caller reads fast enough; begin the next sample."""
    REFUSE = "refuse"
    """Answer that the request came too slowly."""
    END = "end"
    """Close the connection without an answer."""


def judge(pace: Pace, limits: settings.CallerLimits) -> Verdict:
    """Return what to do with a connection that has come as far as `pace`."""
    phase, elapsed = pace.phase, pace.elapsed
    if phase is Phase.IDLE:
        slow = elapsed > limits.idle_timeout.total_seconds()
        return Verdict.END if slow else Verdict.KEEP
    if phase is Phase.HEAD:
        slow = elapsed > limits.head_timeout.total_seconds()
        return Verdict.REFUSE if slow else Verdict.KEEP
    grace = limits.body_grace.total_seconds()
    if phase is Phase.BODY:
        allowed = grace + pace.moved / limits.body_rate_bytes
        return Verdict.REFUSE if pace.waited + elapsed > allowed else Verdict.KEEP
    if phase is Phase.WRITING and elapsed > grace:
        slow = pace.moved < limits.body_rate_bytes * elapsed
        return Verdict.END if slow else Verdict.SAMPLE
    if phase is Phase.LINGERING and elapsed > LINGER_SECONDS:
        return Verdict.END
    return Verdict.KEEP
