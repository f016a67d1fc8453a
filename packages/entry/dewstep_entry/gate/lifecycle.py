"""Initial state of a gate, and its final state for a hand-over."""

import datetime
from typing import NamedTuple

from dewstep_entry.gate import at_most_once


class Start(NamedTuple):
    """Initial state of a gate."""

    term_confirmed_at: datetime.timedelta
    """Time at which the transaction or read that showed the term was sent."""
    earlier_gates_end: datetime.timedelta
    """Time from which no earlier gate sends or renews any more."""
    memory: at_most_once.HandoverMemory | None = None
    """Request ids that the previous gate handed over."""
    is_first_gate: bool = False
    """Whether the target has not had a gate before."""


class Release(NamedTuple):
    """Final state of a gate that stopped for a hand-over."""

    memory: at_most_once.HandoverMemory
    earlier_gates_ended: bool
    """Whether no earlier gate may still send; the successor then need not wait."""
    expired_at: datetime.timedelta
