"""Bounded store of a gate for request ids and their answers.

It starts no task and reads no clock.
"""

import collections
import datetime
import hashlib
from typing import NamedTuple

from dewstep_core import data

# For an answer with a longer body, only the request id is kept.
MAXIMUM_KEPT_BODY_BYTES = 65_536


class Identity(NamedTuple):
    """Properties that must be equal in two requests with the same id."""

    kind: str
    key: str
    body_digest: bytes


class MemoryLimits(NamedTuple):
    """Limits of the store of one gate."""

    entries: int = 20_000
    total_bytes: int = 8_388_608
    age: datetime.timedelta = datetime.timedelta(minutes=10)


class Entry(NamedTuple):
    """One request id that has run or may have run."""

    identity: Identity
    answer: data.Answer | None
    """None if the outcome is unknown or the answer was too long to keep."""
    finished: datetime.timedelta
    """Monotonic time in this process."""


class Evicted(NamedTuple):
    """A request id that was removed to stay within the limits."""

    request_id: str


def compute_identity(request: data.Request) -> Identity:
    """Return the identity of a request.

    Of a body that is still being received, only the part read so far and the
    announced length are compared.
    """
    digest = hashlib.blake2b(request.body.start, digest_size=16)
    digest.update(str(request.body_length).encode())
    return Identity(request.kind, request.key, digest.digest())


def measure_size(entry: Entry) -> int:
    """Return the approximate size of an entry in bytes."""
    if entry.answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in entry.answer.headers)
    return headers + len(entry.answer.body.start)


class AnswerMemory:
    """Ids of finished requests with their answers; evicts the oldest first."""

    def __init__(self, limits: MemoryLimits = MemoryLimits()):  # noqa: B008
        self.limits = limits
        self.entries: collections.OrderedDict[str, Entry] = collections.OrderedDict()
        self.total_bytes = 0

    def get(self, request_id: str) -> Entry | None:
        """Return the entry of a request id, or None."""
        return self.entries.get(request_id)

    def put(
        self,
        request_id: str,
        identity: Identity,
        answer: data.Answer | None,
        now: datetime.timedelta,
    ) -> list[Evicted]:
        """Store a finished request; return the ids evicted for it."""
        if answer is not None and not is_keepable(answer):
            answer = None
        self.remove(request_id)
        entry = Entry(identity, answer, now)
        self.entries[request_id] = entry
        self.total_bytes += measure_size(entry)
        return self.evict(now)

    def remove(self, request_id: str) -> None:
        """Remove one id."""
        entry = self.entries.pop(request_id, None)
        if entry is not None:
            self.total_bytes -= measure_size(entry)

    def evict(self, now: datetime.timedelta) -> list[Evicted]:
        """Remove the oldest entries until the limits are met; return their ids."""
        evicted = []
        while self.entries:
            request_id, entry = next(iter(self.entries.items()))
            if (
                len(self.entries) <= self.limits.entries
                and self.total_bytes <= self.limits.total_bytes
                and now - entry.finished <= self.limits.age
            ):
                break
            self.remove(request_id)
            evicted.append(Evicted(request_id))
        return evicted

    def export(self) -> tuple[tuple[str, Entry], ...]:
        """Return all entries, the oldest first, for a hand-over."""
        return tuple(self.entries.items())

    def load(
        self, entries: tuple[tuple[str, Entry], ...], now: datetime.timedelta
    ) -> list[Evicted]:
        """Add the entries of a previous gate; entries of this gate are kept."""
        evicted = []
        for request_id, entry in entries:
            if request_id not in self.entries:
                evicted += self.put(request_id, entry.identity, entry.answer, now)
        return evicted


def is_keepable(answer: data.Answer) -> bool:
    """Return whether an answer is complete and short enough to keep."""
    return (
        answer.body.rest is None and len(answer.body.start) <= MAXIMUM_KEPT_BODY_BYTES
    )
