"""Watches that nothing which was once shown or acknowledged is ever taken back.

One task polls the dumps of all entry processes, another one the rows of the table. An
entry process must never show an older revision or assignment than before, and the
table must have every version that an entry process has shown, with one content.
"""

import asyncio
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

from returns import result

from dewstep_core import settings
from dewstep_core.http import client
from dewstep_emulator import fleet as fleets

DUMP_INTERVAL = 0.1
"""Seconds; a third of what a revert would need to be corrected by a heartbeat."""
ROW_INTERVAL = 0.2
DUMP_TIMEOUT = 1.0
ASSIGNMENT = "assignment/"
CONFIGURATION = "configuration"


class RevisionWentBack(NamedTuple):
    """An entry process showed an older configuration than before."""

    entry: str
    shown: int
    later: int


class AssignmentWentBack(NamedTuple):
    """An entry process showed an older assignment than before."""

    entry: str
    service: str
    shown: int
    later: int


class RowWentBack(NamedTuple):
    """A row of the table had a lower version than before."""

    key: str
    shown: int
    later: int


class VersionMissing(NamedTuple):
    """An entry process showed an assignment that the table does not have."""

    entry: str
    service: str
    shown: int
    table: int


class VersionChanged(NamedTuple):
    """Two contents of one version were read."""

    key: str
    version: int


class Shown(NamedTuple):
    """What one run of an entry process showed last."""

    revision: int
    assignments: Mapping[str, int]


class Watcher:
    """Polls a fleet from its start to its end.

    Parameters
    ----------
    fleet : fleets.Fleet
    """

    def __init__(self, fleet: fleets.Fleet):
        self.fleet = fleet
        self.shown: dict[tuple[str, str], Shown] = {}
        self.revisions: dict[str, int] = {}
        """Revision that each entry process showed last."""
        self.first_shown: dict[tuple[str, int], float] = {}
        """When each entry process first showed a revision (CLOCK_MONOTONIC)."""
        self.newest: dict[str, tuple[str, int]] = {}
        """Highest version shown of each service, and by whom."""
        self.rows: dict[str, int] = {}
        self.contents: dict[tuple[str, int], Any] = {}
        self.found: list[NamedTuple] = []
        self.polls = 0
        self.clients: dict[settings.Address, client.Client] = {}
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Begin to poll."""
        self.tasks = [
            asyncio.ensure_future(self.run_dumps()),
            asyncio.ensure_future(self.run_rows()),
        ]

    async def stop(self) -> None:
        """Read the table a last time and end."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.read_rows()
        for caller in self.clients.values():
            await caller.close()

    async def run_dumps(self) -> None:
        """Poll the dumps until cancelled."""
        while True:
            await asyncio.gather(
                *(self.read_dump(name) for name in list(self.fleet.entries)),
                asyncio.sleep(DUMP_INTERVAL),
            )

    async def run_rows(self) -> None:
        """Poll the rows until cancelled."""
        while True:
            await self.read_rows()
            await asyncio.sleep(ROW_INTERVAL)

    # Dumps.

    async def read_dump(self, name: str) -> None:
        """Read the dump of one entry process."""
        entry = self.fleet.entries[name]
        if not entry.process.is_running() or entry.process.frozen:
            return
        caller = self.clients.get(entry.operators)
        if caller is None:
            caller = client.Client(entry.operators, DUMP_TIMEOUT, connections=1)
            self.clients[entry.operators] = caller
        answer = await caller.call("GET", "/dump")
        if isinstance(answer, result.Success):
            dump = answer.unwrap().read_json()
            if dump is not None:
                self.polls += 1
                self.receive_dump(dump, time.monotonic())

    def receive_dump(self, dump: Mapping[str, Any], now: float) -> None:
        """Compare a dump with what the same process showed before."""
        place = (dump["entry"], dump["incarnation"])
        entry, revision, versions = dump["entry"], dump["revision"], dump["assignments"]
        held = self.shown.get(place, Shown(0, {}))
        if revision < held.revision:
            self.found.append(RevisionWentBack(entry, held.revision, revision))
        for service, version in held.assignments.items():
            later = versions.get(service, 0)
            if later < version:
                self.found.append(AssignmentWentBack(entry, service, version, later))
        self.shown[place] = Shown(revision, versions)
        self.revisions[entry] = revision
        self.first_shown.setdefault((entry, revision), now)
        for service, version in versions.items():
            if version > self.newest.get(service, ("", 0))[1]:
                self.newest[service] = (entry, version)

    # Rows.

    async def read_rows(self) -> None:
        """Read all assignments and the configuration."""
        newest = dict(self.newest)
        assignments = await self.fleet.table.read_prefix(ASSIGNMENT)
        configuration = await self.fleet.table.read(CONFIGURATION)
        for row in (*assignments.value_or(()), configuration.value_or(None)):
            if row is not None and row.value is not None:
                self.receive_row(row.key, row.version, row.value, newest)

    def receive_row(
        self,
        key: str,
        version: int,
        value: Mapping[str, Any],
        newest: Mapping[str, tuple[str, int]],
    ) -> None:
        """Compare a row with earlier reads.

        Parameters
        ----------
        newest : Mapping
            What `self.newest` was before the read began.
        """
        if version < self.rows.get(key, 0):
            self.found.append(RowWentBack(key, self.rows[key], version))
        self.rows[key] = max(version, self.rows.get(key, 0))
        if self.contents.setdefault((key, version), value) != value:
            self.found.append(VersionChanged(key, version))
        service = key.removeprefix(ASSIGNMENT)
        entry, shown = newest.get(service, ("", 0))
        if key.startswith(ASSIGNMENT) and version < shown:
            self.found.append(VersionMissing(entry, service, shown, version))
