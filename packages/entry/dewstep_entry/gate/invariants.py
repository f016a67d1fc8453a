"""Invariant checks that are always active.

A violation is logged, counted and returned as a failure, so that nothing is sent.
"""

import collections

from dewstep_core import errors, events

UNEXPIRED_GRANT = "send-under-unexpired-grant"
RISING_TERM = "term-never-goes-down"
SLOTS = "slots-never-exceeded"
MOVED_SHARD = "no-shard-served-while-moved"
NAMES = (UNEXPIRED_GRANT, RISING_TERM, SLOTS, MOVED_SHARD)


class Invariants:
    """Counts violations by invariant, and other events of the gates by name.

    Parameters
    ----------
    counts : collections.Counter, optional
        Shared counter that the process reports.
    """

    def __init__(self, counts: collections.Counter | None = None):
        self.counts = collections.Counter() if counts is None else counts

    def list_broken(self) -> dict[str, int]:
        """Return the number of violations of each violated invariant."""
        return {name: self.counts[name] for name in NAMES if self.counts[name]}

    def check(
        self, holds: bool, invariant: str, **details
    ) -> errors.InvariantBroken | None:
        """Return None if `holds`; otherwise log, count and return the failure."""
        if holds:
            return None
        detail = " ".join(f"{name}={value}" for name, value in details.items())
        self.counts[invariant] += 1
        events.error("invariant_broken", invariant=invariant, detail=detail)
        return errors.InvariantBroken(invariant, detail)
