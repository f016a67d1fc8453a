"""Reads the tables of the store and follows their changes.

Only the coordinator follows all tables, and relays what it learns. Any other instance
reads for itself while it hears from no coordinator.
"""

import asyncio
import datetime
import random

from returns import result

from dewstep_core import clock as clocks, events
from dewstep_fleet import directory as directories, model

WATCH = datetime.timedelta(seconds=5)
"""Longest wait of one watch; a silent connection is noticed after this."""
FLEET_WATCH = datetime.timedelta(seconds=1)
"""The fleet's own table confirms the coordinator's term, so its watches are short."""
PACE = datetime.timedelta(milliseconds=100)
"""Shortest time between two watches of a table by an instance that passes news on, so
that one answer brings all targets that register together. A twentieth of the 2 s in
which a leaving target must have its last request."""
OWN_PACE = datetime.timedelta(milliseconds=300)
"""The same for an instance that follows a table for itself alone, as all do while a
fleet starts: their number multiplies these calls."""
FIRST_PAUSE = datetime.timedelta(milliseconds=250)
LONGEST_PAUSE = datetime.timedelta(milliseconds=1000)


async def read_back(store: model.Store, directory: directories.Directory) -> bool:
    """Read the fleet's table once; return whether the store answered."""
    outcome = await store.read_table(model.TABLES.fleet)
    if isinstance(outcome, result.Failure):
        events.warning("read_back_failed", failure=outcome.failure())
        return False
    directory.take_table(model.TABLES.fleet, outcome.unwrap())
    return True


class Feeds:
    """Follows the tables that are wanted, at first all.

    Parameters
    ----------
    store : model.Store
    directory : directories.Directory
        Takes the rows.
    clock : clocks.Clock
    generator : random.Random
        Source of the jitter between failed calls.
    """

    def __init__(
        self,
        store: model.Store,
        directory: directories.Directory,
        clock: clocks.Clock,
        generator: random.Random,
    ):
        self.store = store
        self.directory = directory
        self.clock = clock
        self.random = generator
        self.wanted: frozenset[str] = frozenset(model.TABLES)
        self.pace = OWN_PACE
        self.changed = asyncio.Event()
        self.followers: dict[str, asyncio.Task] = {}
        self.confirmed: datetime.timedelta | None = None
        """When the last call was sent that showed the fleet's table as it was."""
        self.failing_since: datetime.timedelta | None = None
        self.current: set[str] = set()
        """Tables that were read since they are followed."""

    def is_current(self) -> bool:
        """Whether all tables are followed and have been read."""
        return len(self.current) == len(model.TABLES)

    def in_contact(self, limit: datetime.timedelta) -> bool:
        """Whether the store answered a call that was sent within `limit`."""
        confirmed = self.confirmed
        return confirmed is not None and self.clock.monotonic() - confirmed <= limit

    def follow(self, tables: frozenset[str], relays: bool) -> None:
        """Follow these tables and no others.

        Parameters
        ----------
        tables : frozenset of str
        relays : bool
            Whether other instances get the news from this one.
        """
        self.pace = PACE if relays else OWN_PACE
        if tables != self.wanted:
            self.wanted = tables
            self.changed.set()

    async def run(self) -> None:
        """Follow the wanted tables until cancelled."""
        try:
            while True:
                self.changed.clear()
                self._adjust()
                waiting = [*self.followers.values()]
                change = asyncio.ensure_future(self.changed.wait())
                await asyncio.wait(
                    (change, *waiting), return_when=asyncio.FIRST_COMPLETED
                )
                change.cancel()
                for task in waiting:
                    if task.done() and not task.cancelled():
                        # Following never ends by itself: this raises its exception.
                        task.result()
        finally:
            for task in self.followers.values():
                task.cancel()

    def _adjust(self) -> None:
        for table in [name for name in self.followers if name not in self.wanted]:
            self.followers.pop(table).cancel()
            self.current.discard(table)
        for table in self.wanted:
            if table not in self.followers:
                work = self._follow(table)
                self.followers[table] = asyncio.ensure_future(work)

    async def _follow(self, table: str) -> None:
        version = None
        failures = 0
        began = self.clock.monotonic()
        while True:
            sent = self.clock.monotonic()
            if version is None:
                outcome = await self.store.read_table(table)
            else:
                wait = FLEET_WATCH if table == model.TABLES.fleet else WATCH
                outcome = await self.store.watch(table, version, wait)
            if isinstance(outcome, result.Success):
                state = outcome.unwrap()
                self._note_success(table, sent, began)
                if version is None:
                    self.directory.take_table(table, state)
                else:
                    self.directory.take(state.rows)
                self.current.add(table)
                version = state.version
                failures = 0
                rest = sent + self.pace - self.clock.monotonic()
                if rest > datetime.timedelta():
                    await self.clock.sleep(rest)
                continue
            failure = outcome.failure()
            if isinstance(failure, model.HistoryGone):
                events.info("history_gone", table=table)
                version = None
                continue
            failures += 1
            self._note_failure(table, failure)
            longest = min(FIRST_PAUSE * 2 ** min(failures - 1, 5), LONGEST_PAUSE)
            await self.clock.sleep(longest * (0.5 + self.random.random() / 2))

    def _note_success(
        self, table: str, sent: datetime.timedelta, began: datetime.timedelta
    ) -> None:
        if table == model.TABLES.fleet:
            self.confirmed = max(sent, self.confirmed or sent)
        if self.failing_since is not None:
            # Nothing is known of the time in which the table was not followed.
            since = max(self.failing_since, began)
            lasted = self.clock.monotonic() - since
            self.failing_since = None
            self.directory.note_return(lasted)
            events.info("store_regained", lasted=lasted)

    def _note_failure(self, table: str, failure) -> None:
        if self.failing_since is None:
            self.failing_since = self.clock.monotonic()
            events.warning("store_lost", table=table, failure=failure)
