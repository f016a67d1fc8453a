"""Checks during a test that configuration and assignment versions never decrease.

One task polls the state dumps of all entry processes, another one the rows of the
table. An entry process must not report an older revision or assignment than before.
The table must contain every assignment version that an entry process has reported,
and the value of a version must not change.
"""

import asyncio
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

from returns import result

from dewstep_core import settings
from dewstep_core.http import client
from dewstep_emulator import fleets

DUMP_INTERVAL_SECONDS = 0.1
"""A third of the time after which a heartbeat corrects an outdated state, so that
polling sees that state."""
ROW_INTERVAL_SECONDS = 0.2
DUMP_TIMEOUT_SECONDS = 1.0
ASSIGNMENT_PREFIX = "assignment/"
CONFIGURATION_KEY = "configuration"


class RevisionWentBack(NamedTuple):
    """An entry process reported an older configuration than before."""

    entry: str
    earlier: int
    later: int


class AssignmentWentBack(NamedTuple):
    """An entry process reported an older assignment than before."""

    entry: str
    service: str
    earlier: int
    later: int


class RowWentBack(NamedTuple):
    """A row of the table had a lower version than before."""

    key: str
    earlier: int
    later: int


class VersionMissing(NamedTuple):
    """An entry process reported a newer assignment than the table contains."""

    entry: str
    service: str
    reported: int
    table: int


class VersionChanged(NamedTuple):
    """A row was read with two different values under the same version."""

    key: str
    version: int


class ReportedState(NamedTuple):
    """Versions that one incarnation of an entry process reported last."""

    revision: int
    assignments: Mapping[str, int]


class KnownVersions(NamedTuple):
    """What the monitor knew before a read of the table began.

    Another read or dump may return later versions before the read ends.
    """

    reported: Mapping[str, tuple[str, int]]
    """Entry process and version of the newest reported assignment, by service."""
    rows: Mapping[str, int]
    """Highest version of each row that was read, by key."""


class VersionMonitor:
    """Polls the entry processes and the table of a fleet and records violations.

    Parameters
    ----------
    local_fleet : fleets.Fleet
    """

    def __init__(self, local_fleet: fleets.Fleet):
        self.local_fleet = local_fleet
        self.last_reported: dict[tuple[str, str], ReportedState] = {}
        self.revisions: dict[str, int] = {}
        """Last reported revision of each entry process."""
        self.first_reported: dict[tuple[str, int], float] = {}
        """When each entry process first reported a revision (CLOCK_MONOTONIC)."""
        self.highest_versions: dict[str, tuple[str, int]] = {}
        """Entry process and version of the newest reported assignment, by service."""
        self.row_versions: dict[str, int] = {}
        """Highest version of each row that was read, by key."""
        self.row_values: dict[tuple[str, int], Any] = {}
        """Value of each row version that was read, by key and version."""
        self.version_violations: list[NamedTuple] = []
        self.polls = 0
        self.clients: dict[settings.Address, client.Client] = {}
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start polling."""
        self.tasks = [
            asyncio.ensure_future(self.poll_dumps()),
            asyncio.ensure_future(self.poll_rows()),
        ]

    async def stop(self) -> None:
        """Stop polling, read the table once more and close the connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.read_rows()
        for dump_client in self.clients.values():
            await dump_client.close()

    async def poll_dumps(self) -> None:
        """Poll the dumps until cancelled."""
        while True:
            await asyncio.gather(
                *(self.read_dump(name) for name in list(self.local_fleet.entries)),
                asyncio.sleep(DUMP_INTERVAL_SECONDS),
            )

    async def poll_rows(self) -> None:
        """Poll the rows until cancelled."""
        while True:
            await self.read_rows()
            await asyncio.sleep(ROW_INTERVAL_SECONDS)

    # Dumps.

    async def read_dump(self, name: str) -> None:
        """Read the dump of one entry process."""
        entry = self.local_fleet.entries[name]
        if not entry.process.is_running() or entry.process.frozen:
            return
        dump_client = self.clients.get(entry.operators)
        if dump_client is None:
            dump_client = client.Client(
                entry.operators, DUMP_TIMEOUT_SECONDS, connections=1
            )
            self.clients[entry.operators] = dump_client
        answer = await dump_client.call("GET", "/dump")
        if isinstance(answer, result.Success):
            dump = answer.unwrap().read_json()
            if dump is not None:
                self.polls += 1
                self.receive_dump(dump, time.monotonic())

    def receive_dump(self, dump: Mapping[str, Any], now: float) -> None:
        """Compare a dump with the previous one of the same incarnation."""
        process_key = (dump["entry"], dump["incarnation"])
        entry, revision, versions = dump["entry"], dump["revision"], dump["assignments"]
        previous = self.last_reported.get(process_key, ReportedState(0, {}))
        if revision < previous.revision:
            self.version_violations.append(
                RevisionWentBack(entry, previous.revision, revision)
            )
        for service, version in previous.assignments.items():
            later = versions.get(service, 0)
            if later < version:
                self.version_violations.append(
                    AssignmentWentBack(entry, service, version, later)
                )
        self.last_reported[process_key] = ReportedState(revision, versions)
        self.revisions[entry] = revision
        self.first_reported.setdefault((entry, revision), now)
        for service, version in versions.items():
            if version > self.highest_versions.get(service, ("", 0))[1]:
                self.highest_versions[service] = (entry, version)

    # Rows.

    async def read_rows(self) -> None:
        """Read all assignments and the configuration."""
        known = self.copy_known_versions()
        assignments = await self.local_fleet.table.read_prefix(ASSIGNMENT_PREFIX)
        configuration = await self.local_fleet.table.read(CONFIGURATION_KEY)
        for row in (*assignments.value_or(()), configuration.value_or(None)):
            if row is not None and row.value is not None:
                self.receive_row(row.key, row.version, row.value, known)

    def copy_known_versions(self) -> KnownVersions:
        """Return the versions that a read which begins now must contain."""
        return KnownVersions(dict(self.highest_versions), dict(self.row_versions))

    def receive_row(
        self, key: str, version: int, value: Mapping[str, Any], known: KnownVersions
    ) -> None:
        """Compare a row with what was known before its read began."""
        earlier = known.rows.get(key, 0)
        if version < earlier:
            self.version_violations.append(RowWentBack(key, earlier, version))
        self.row_versions[key] = max(version, self.row_versions.get(key, 0))
        if self.row_values.setdefault((key, version), value) != value:
            self.version_violations.append(VersionChanged(key, version))
        service = key.removeprefix(ASSIGNMENT_PREFIX)
        entry, reported = known.reported.get(service, ("", 0))
        if key.startswith(ASSIGNMENT_PREFIX) and version < reported:
            self.version_violations.append(
                VersionMissing(entry, service, reported, version)
            )
