"""Finds requests that crash the targets that run them.

A request that was in progress at a lost target is suspected of the loss, which alone
shows little: a popular request is in progress at many targets and from many instances
at any time. So a loss counts once, however many instances report it, and losses at the
same moment count as one, since they probably have a common cause. A request that a
target has completed is cleared.
"""

import datetime

MAX_LOSSES_BEFORE_QUARANTINE = 3
"""Number of separate losses after which a request is not sent any more."""
MIN_SEPARATION = datetime.timedelta(seconds=1)
"""Minimum time between reports of separate losses. The registrations of targets that
are lost together expire within one of their heartbeats, which are 0.9 s apart."""
QUARANTINE_PERIOD = datetime.timedelta(minutes=10)
"""Time after its last loss for which a request is suspected."""
MAX_REQUESTS = 4_096
"""Number of suspected requests that are kept, many times those of a day."""
MAX_LOSSES = 64
"""Number of losses that are kept for each request to recognise further reports."""


class Suspect:
    """The losses that one request is suspected of."""

    __slots__ = ("count", "counted_at", "losses")

    def __init__(self):
        self.count = 0
        """Number of separate losses."""
        self.counted_at: datetime.timedelta | None = None
        """When a loss was last counted."""
        self.losses: dict[tuple[str, int], None] = {}
        """Targets with their incarnations, the oldest loss in front."""


class CrashCounts:
    """Losses of targets by the fingerprint of a request in progress there."""

    def __init__(self):
        self.suspects: dict[bytes, Suspect] = {}
        """The request that has been suspected for the longest time is in front."""

    def get(self, fingerprint: bytes) -> int:
        """Return the number of separate losses of targets that had the request."""
        suspect = self.suspects.get(fingerprint)
        return suspect.count if suspect is not None else 0

    def count_suspects(self, losses: int) -> int:
        """Return the number of requests with at least this many separate losses."""
        return sum(suspect.count >= losses for suspect in self.suspects.values())

    def is_quarantined(self, fingerprint: bytes, now: datetime.timedelta) -> bool:
        """Whether a request must not be sent; forget it after its quarantine."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or suspect.count < MAX_LOSSES_BEFORE_QUARANTINE:
            return False
        if now - suspect.counted_at < QUARANTINE_PERIOD:
            return True
        del self.suspects[fingerprint]
        return False

    def add(
        self, fingerprint: bytes, target: str, life: int, now: datetime.timedelta
    ) -> bool:
        """Record a report of a loss; return whether it is counted.

        Parameters
        ----------
        fingerprint : bytes
        target : str
            Name of the lost target; "" if it is not known.
        life : int
            Incarnation of the target.
        now : datetime.timedelta
        """
        suspect = self._get_suspect(fingerprint)
        if target:
            if (target, life) in suspect.losses:
                return False
            while len(suspect.losses) >= MAX_LOSSES:
                del suspect.losses[next(iter(suspect.losses))]
            suspect.losses[target, life] = None
        last = suspect.counted_at
        if last is not None and now - last < MIN_SEPARATION:
            return False
        suspect.count += 1
        suspect.counted_at = now
        return True

    def apply(self, fingerprint: bytes, count: int, now: datetime.timedelta) -> None:
        """Take over the count of another instance; 0 clears the request."""
        if not count:
            self.clear(fingerprint)
            return
        suspect = self._get_suspect(fingerprint)
        if count > suspect.count:
            suspect.count = count
            suspect.counted_at = now

    def clear(self, fingerprint: bytes) -> bool:
        """Clear a request that a target has completed; return whether it had a count.

        Its losses are kept, since other instances may still report them.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not suspect.count:
            return False
        suspect.count = 0
        return True

    def _get_suspect(self, fingerprint: bytes) -> Suspect:
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            while len(self.suspects) >= MAX_REQUESTS:
                del self.suspects[next(iter(self.suspects))]
            suspect = self.suspects[fingerprint] = Suspect()
        return suspect
