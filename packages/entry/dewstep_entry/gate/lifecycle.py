"""How a gate starts and what remains of it after a hand-over."""

import datetime
from typing import NamedTuple

from dewstep_entry.gate import at_most_once


class Start(NamedTuple):
    """How a gate came to its term."""

    contact: datetime.timedelta
    """Sending time of the transaction or read that showed the term."""
    old_gates_end: datetime.timedelta
    """Time from which no earlier gate sends or renews any more."""
    memory: at_most_once.HandoverMemory | None = None
    """What the previous gate handed over."""
    first: bool = False
    """Whether the target never had a gate before."""


class Release(NamedTuple):
    """What remains of a gate that stopped for a hand-over."""

    memory: at_most_once.HandoverMemory
    clean: bool
    """Whether no earlier gate may still send: the successor need not wait."""
    expired_at: datetime.timedelta
