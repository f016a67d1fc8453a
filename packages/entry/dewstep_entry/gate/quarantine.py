"""Requests that were in progress when their target crashed.

All requests in progress at a crash become suspects, since the gate cannot determine
which of them caused it. A suspect runs alone. If it succeeds, it is cleared. If the
target crashes while it runs alone, and this is its second crash or a later one, it is
quarantined. The counts are written to the table for other gates.
"""

import collections
import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from dewstep_core import data
from dewstep_entry.gate import rows

SUSPECT = "suspect"
QUARANTINED = "quarantined"

# Number of crashes after which a request that ran alone at the last one is quarantined.
CRASH_LIMIT = 2

# Maximum number of suspects and quarantined requests in one gate. A crash adds at most
# as many as the target has slots, so this covers several hundred crashes.
SUSPECT_LIMIT = 2_048


class Suspect(NamedTuple):
    """Crash count and state of one fingerprint."""

    crashes: int
    state: str
    version: int
    """Version of its row, 0 if none is known."""


def compute_fingerprint(request: data.Request) -> str:
    """Return the fingerprint of a request.

    If the body is still being received, only the part read so far and the announced
    length are included, since the gate starts to send before it has the rest.
    """
    digest = hashlib.blake2b(digest_size=16)
    parts = (request.service, request.kind, request.key, request.method, request.path)
    length = str(request.body_length)
    for part in (*(part.encode() for part in (*parts, length)), request.body.start):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class SuspectTable:
    """The suspects known to one gate, bounded in number.

    Parameters
    ----------
    limit : int
        Number of entries; beyond it, the oldest suspect is dropped before the
        oldest quarantined request.
    """

    def __init__(self, limit: int = SUSPECT_LIMIT):
        self.limit = limit
        self.entries: collections.OrderedDict[str, Suspect] = collections.OrderedDict()

    def __bool__(self) -> bool:
        return bool(self.entries)

    def get_state(self, fingerprint: str) -> str | None:
        """Return SUSPECT, QUARANTINED or None."""
        entry = self.entries.get(fingerprint)
        return None if entry is None else entry.state

    def receive_crash(
        self, fingerprints: Iterable[str], alone: bool
    ) -> tuple[rows.QuarantineRecord, ...]:
        """Count a crash against the requests in progress; return the rows to write."""
        return tuple(
            self.count_crash(fingerprint, alone) for fingerprint in fingerprints
        )

    def count_crash(self, fingerprint: str, alone: bool) -> rows.QuarantineRecord:
        """Count one crash against one fingerprint."""
        held = self.entries.get(fingerprint, Suspect(0, SUSPECT, 0))
        crashes = held.crashes + 1
        refused = held.state == QUARANTINED or (alone and crashes >= CRASH_LIMIT)
        state = QUARANTINED if refused else SUSPECT
        self.put(fingerprint, Suspect(crashes, state, held.version))
        return rows.QuarantineRecord(fingerprint, crashes, state, held.version)

    def receive_success(self, fingerprint: str) -> rows.QuarantineRecord | None:
        """Clear a suspect that completed; return its row if one must be deleted."""
        entry = self.entries.get(fingerprint)
        if entry is None or entry.state == QUARANTINED:
            return None
        del self.entries[fingerprint]
        if not entry.version:
            return None
        return rows.QuarantineRecord(fingerprint, *entry)

    def note_row_written(self, record: rows.QuarantineRecord, version: int) -> None:
        """Note the version of a row that this gate wrote."""
        held = self.entries.get(record.fingerprint)
        if held is not None:
            self.entries[record.fingerprint] = held._replace(version=version)

    def merge_row(
        self, record: rows.QuarantineRecord, alone: bool
    ) -> rows.QuarantineRecord:
        """Add the crashes in a row that another gate wrote.

        Called on a conflict, with the crash that this gate has just counted.
        """
        held = self.entries.get(record.fingerprint, Suspect(1, SUSPECT, 0))
        crashes = max(held.crashes, record.crashes + 1)
        states = (held.state, record.state)
        refused = QUARANTINED in states or (alone and crashes >= CRASH_LIMIT)
        state = QUARANTINED if refused else SUSPECT
        self.put(record.fingerprint, Suspect(crashes, state, record.version))
        return rows.QuarantineRecord(record.fingerprint, crashes, state, record.version)

    def get_row_versions(self) -> dict[str, int]:
        """Return the versions of the rows that are known to exist."""
        return {
            name: entry.version for name, entry in self.entries.items() if entry.version
        }

    def receive_rows(
        self, records: Iterable[rows.QuarantineRecord], written: dict[str, int]
    ) -> None:
        """Apply a complete read of the quarantine rows of the service.

        An entry whose row no longer exists was released by an operator or cleared by
        another gate. `written` is the result of `get_row_versions` before the read,
        since rows written later may be missing in the read.
        """
        found = {record.fingerprint: record for record in records}
        for fingerprint, version in written.items():
            entry = self.entries.get(fingerprint)
            gone = entry is not None and entry.version == version
            if gone and fingerprint not in found:
                del self.entries[fingerprint]
        for fingerprint, record in found.items():
            held = self.entries.get(fingerprint)
            if held is not None and held.version > record.version:
                continue
            crashes = max(record.crashes, held.crashes if held is not None else 0)
            self.put(fingerprint, Suspect(crashes, record.state, record.version))

    def put(self, fingerprint: str, entry: Suspect) -> None:
        """Add or replace one entry and keep the table within its limit."""
        self.entries[fingerprint] = entry
        self.entries.move_to_end(fingerprint)
        if len(self.entries) > self.limit:
            suspects = (
                name for name, held in self.entries.items() if held.state == SUSPECT
            )
            del self.entries[next(suspects, next(iter(self.entries)))]
