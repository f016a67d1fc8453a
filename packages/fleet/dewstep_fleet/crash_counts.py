"""Finds requests that crash the targets that run them.

A request that was in progress at a lost target is suspected of the loss, which alone
shows little: a popular request is in progress at many targets and from many instances
at any time. So a loss counts once, however many instances report it. A loss counts
beside earlier ones only if the request was sent to that target after them, as targets
that are lost together, by a common cause, had it in progress at the same time. A
request that a target has completed is cleared.
"""

import datetime
from typing import NamedTuple

MAX_LOSSES_BEFORE_QUARANTINE = 3
"""Number of separate losses after which a request is not sent for a time."""
MIN_SEPARATION = datetime.timedelta(milliseconds=50)
"""Minimum time from one loss to the sending of a request that another one is counted
for. Reports take a few ms, and not all of them as many."""
QUARANTINE_PERIOD = datetime.timedelta(minutes=10)
"""Time for which a loss counts."""
MAX_REQUESTS = 4_096
"""Number of suspected requests that are kept, many times those of a day."""
MAX_LOSSES = 64
"""Number of losses that are kept for each request to recognise further reports."""
ANONYMOUS_PERIOD = datetime.timedelta(seconds=1)
"""Time in which reports of earlier versions, which name no target, count once."""


class Loss(NamedTuple):
    """The loss of a target while a request was in progress there."""

    target: str
    """"" in reports of earlier versions of this package."""
    life: int
    """Incarnation of the target."""
    sent_at: datetime.timedelta
    """When the request was sent to the target."""
    lost_at: datetime.timedelta


class Suspect:
    """The losses that one request is suspected of."""

    __slots__ = ("announced", "announced_at", "losses")

    def __init__(self):
        self.losses: dict[tuple[str, int], Loss | None] = {}
        """Losses by target and incarnation, the oldest report in front; None if the
        request has been cleared since."""
        self.announced = 0
        """Number of separate losses by the coordinator's count."""
        self.announced_at = datetime.timedelta()


def count_separate(losses: list[Loss]) -> int:
    """Return the largest number of losses of which each was after the one before."""
    count = 0
    last_loss: datetime.timedelta | None = None
    for loss in sorted(losses, key=lambda item: item.lost_at):
        if last_loss is None or loss.sent_at >= last_loss + MIN_SEPARATION:
            count += 1
            last_loss = loss.lost_at
    return count


def merge_reports(first: Loss, second: Loss) -> Loss:
    """Return one loss from two reports of it.

    Of the requests that were sent before the loss, the latest one shows the most.
    Others were sent over connections that had broken already.
    """
    lost_at = min(first.lost_at, second.lost_at)
    sent_at = max(
        report.sent_at for report in (first, second) if report.sent_at <= lost_at
    )
    return first._replace(sent_at=sent_at, lost_at=lost_at)


class CrashCounts:
    """Losses of targets by the fingerprint of a request in progress there."""

    def __init__(self):
        self.suspects: dict[bytes, Suspect] = {}
        """The request that has been suspected for the longest time is in front."""

    def get(self, fingerprint: bytes, now: datetime.timedelta) -> int:
        """Return the number of separate losses of targets that had the request."""
        suspect = self.suspects.get(fingerprint)
        return 0 if suspect is None else self._count(suspect, now)

    def is_quarantined(self, fingerprint: bytes, now: datetime.timedelta) -> bool:
        """Whether a request is not to be sent."""
        return self.get(fingerprint, now) >= MAX_LOSSES_BEFORE_QUARANTINE

    def count_suspects(self, losses: int, now: datetime.timedelta) -> int:
        """Return the number of requests with at least this many separate losses."""
        return sum(
            self._count(suspect, now) >= losses for suspect in self.suspects.values()
        )

    def list_counts(self, now: datetime.timedelta) -> list[tuple[bytes, int]]:
        """Return the suspected requests with the number of their separate losses."""
        counts = [
            (fingerprint, self._count(suspect, now))
            for fingerprint, suspect in self.suspects.items()
        ]
        return [(fingerprint, count) for fingerprint, count in counts if count]

    def add(self, fingerprint: bytes, loss: Loss, now: datetime.timedelta) -> bool:
        """Record a report of a loss; return whether the count has changed."""
        suspect = self._get_suspect(fingerprint)
        before = self._count(suspect, now)
        key = loss.target, loss.life
        if not loss.target:
            key = "", now // ANONYMOUS_PERIOD
        if key in suspect.losses:
            known = suspect.losses[key]
            if known is None:
                return False
            loss = merge_reports(known, loss)
        while len(suspect.losses) >= MAX_LOSSES:
            del suspect.losses[next(iter(suspect.losses))]
        suspect.losses[key] = loss
        return self._count(suspect, now) != before

    def apply(self, fingerprint: bytes, count: int, now: datetime.timedelta) -> None:
        """Take over the coordinator's count; 0 clears the request."""
        if not count:
            self.clear(fingerprint, now)
            return
        suspect = self._get_suspect(fingerprint)
        suspect.announced = max(suspect.announced, count)
        suspect.announced_at = now

    def clear(self, fingerprint: bytes, now: datetime.timedelta) -> bool:
        """Clear a request that a target has completed; return whether it had a count.

        Its losses are kept, since other instances may still report them.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not self._count(suspect, now):
            return False
        suspect.losses = dict.fromkeys(suspect.losses)
        suspect.announced = 0
        return True

    def _count(self, suspect: Suspect, now: datetime.timedelta) -> int:
        oldest = now - QUARANTINE_PERIOD
        counted = [
            loss
            for loss in suspect.losses.values()
            if loss is not None and loss.lost_at > oldest
        ]
        announced = suspect.announced if suspect.announced_at > oldest else 0
        return max(count_separate(counted), announced)

    def _get_suspect(self, fingerprint: bytes) -> Suspect:
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            while len(self.suspects) >= MAX_REQUESTS:
                del self.suspects[next(iter(self.suspects))]
            suspect = self.suspects[fingerprint] = Suspect()
        return suspect
