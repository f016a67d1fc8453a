"""Reads the tables of the store and watches them for changes.

Usually only the coordinator follows all tables, and relays the changes. Other instances
read the store themselves while they receive no heartbeats.
"""

import asyncio
import datetime
import random

from returns import result

from dewstep_core import clocks, events
from dewstep_fleet import directories, model

WATCH_TIMEOUT = datetime.timedelta(seconds=2)
"""Maximum duration of a watch. A connection that goes silent is noticed after this and
the margin of the store's client, within the 3 s after which an instance has to keep all
time limits again."""
SHORT_WATCH_TIMEOUT = datetime.timedelta(seconds=1)
"""Maximum duration of the watches of an instance that relays changes, which all others
rely on: a target that is leaving must get no more requests after 2 s, and a
configuration must be in force by then. The fleet's table also confirms the
coordinator's term."""
RELAY_WATCH_INTERVAL = datetime.timedelta(milliseconds=100)
"""Minimum interval between watches of a table by an instance that relays changes, so
that one answer contains all targets that register together. A leaving target must get
no more requests after 2 s, of which this is a twentieth."""
LOCAL_WATCH_INTERVAL = datetime.timedelta(milliseconds=300)
"""Minimum interval for an instance that does not relay changes. All instances do this
while a fleet starts, which multiplies the calls."""
INITIAL_RETRY_PAUSE = datetime.timedelta(milliseconds=250)
MAX_RETRY_PAUSE = datetime.timedelta(milliseconds=1000)
NO_TIME = datetime.timedelta()


async def read_fleet_table(
    store: model.Store, directory: directories.Directory
) -> bool:
    """Read the fleet's table once and apply it; return whether the store answered."""
    outcome = await store.read_table(model.TABLES.fleet)
    if isinstance(outcome, result.Failure):
        events.warning("read_back_failed", failure=outcome.failure())
        return False
    directory.apply_table(model.TABLES.fleet, outcome.unwrap())
    return True


class TableFeeds:
    """Follows a selection of tables, at first all.

    Parameters
    ----------
    store : model.Store
    directory : directories.Directory
        Receives the rows.
    clock : clocks.Clock
    generator : random.Random
        Source of the jitter of retries.
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
        self.followed_tables: frozenset[str] = frozenset(model.TABLES)
        self.watch_interval = LOCAL_WATCH_INTERVAL
        self.tables_changed = asyncio.Event()
        self.followers: dict[str, asyncio.Task] = {}
        self.confirmed_at: datetime.timedelta | None = None
        """When the last successful call for the fleet's table was sent."""
        self.failing_since: datetime.timedelta | None = None
        self.current_tables: set[str] = set()
        """Followed tables that have been read at least once."""
        self.complete_at: dict[str, datetime.timedelta] = {}
        """Time up to which all changes of a table are known."""

    def is_current(self) -> bool:
        """Whether all tables are followed and have been read."""
        return len(self.current_tables) == len(model.TABLES)

    def has_recent_answer(self, max_age: datetime.timedelta) -> bool:
        """Whether the store answered a call sent at most `max_age` ago."""
        confirmed = self.confirmed_at
        return confirmed is not None and self.clock.monotonic() - confirmed <= max_age

    def follow(self, tables: frozenset[str], relays: bool) -> None:
        """Set the tables to follow.

        Parameters
        ----------
        tables : frozenset of str
        relays : bool
            Whether this instance sends the changes to other instances.
        """
        self.watch_interval = RELAY_WATCH_INTERVAL if relays else LOCAL_WATCH_INTERVAL
        if tables != self.followed_tables:
            self.followed_tables = tables
            self.tables_changed.set()

    def choose_watch_timeout(self, table: str) -> datetime.timedelta:
        """Return the maximum duration of a watch."""
        relays = self.watch_interval == RELAY_WATCH_INTERVAL
        if relays or table == model.TABLES.fleet:
            return SHORT_WATCH_TIMEOUT
        return WATCH_TIMEOUT

    async def run(self) -> None:
        """Follow the selected tables until cancelled."""
        try:
            while True:
                self.tables_changed.clear()
                self._update_followers()
                waiting = [*self.followers.values()]
                change_task = asyncio.ensure_future(self.tables_changed.wait())
                await asyncio.wait(
                    (change_task, *waiting), return_when=asyncio.FIRST_COMPLETED
                )
                change_task.cancel()
                for task in waiting:
                    if task.done() and not task.cancelled():
                        # A follower only ends with an exception, which this raises.
                        task.result()
        finally:
            for task in self.followers.values():
                task.cancel()

    def _update_followers(self) -> None:
        for table in [
            name for name in self.followers if name not in self.followed_tables
        ]:
            self.followers.pop(table).cancel()
            self.current_tables.discard(table)
        for table in self.followed_tables:
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
                wait = self.choose_watch_timeout(table)
                outcome = await self.store.watch(table, version, wait)
            if isinstance(outcome, result.Success):
                state = outcome.unwrap()
                self._record_success(table, sent, began)
                if version is None:
                    self.directory.apply_table(table, state)
                    self._record_complete(table, sent)
                else:
                    if not failures:
                        # The store answers a watch as soon as a row is written.
                        self._record_complete(table, self.clock.monotonic())
                    self.directory.apply_rows(state.rows)
                    self._record_complete(table, sent)
                self.current_tables.add(table)
                complete_at = sent
                if version is not None and not state.rows:
                    # The store has answered at the end of the wait.
                    lasted = self.clock.monotonic() - sent
                    complete_at = sent + (wait if lasted >= wait else NO_TIME)
                self.complete_at[table] = complete_at
                version = state.version
                failures = 0
                pause = sent + self.watch_interval - self.clock.monotonic()
                if pause > datetime.timedelta():
                    await self.clock.sleep(pause)
                continue
            failure = outcome.failure()
            if isinstance(failure, model.HistoryGone):
                events.info("history_gone", table=table)
                version = None
                continue
            failures += 1
            self._record_failure(table, failure)
            max_pause = min(
                INITIAL_RETRY_PAUSE * 2 ** min(failures - 1, 5), MAX_RETRY_PAUSE
            )
            await self.clock.sleep(max_pause * (0.5 + self.random.random() / 2))

    def _record_complete(self, table: str, at: datetime.timedelta) -> None:
        """Record that all rows written before a time are known."""
        if table == model.TABLES.configuration:
            self.directory.evacuations.record_complete(at)

    def _record_success(
        self, table: str, sent: datetime.timedelta, began: datetime.timedelta
    ) -> None:
        if table == model.TABLES.fleet:
            self.confirmed_at = max(sent, self.confirmed_at or sent)
        if self.failing_since is not None:
            # The outage is only known for the time in which the table was followed.
            since = max(self.failing_since, began)
            lasted = self.clock.monotonic() - since
            self.failing_since = None
            self.directory.record_store_recovery(lasted)
            events.info("store_regained", lasted=lasted)

    def _record_failure(self, table: str, failure) -> None:
        if self.failing_since is None:
            self.failing_since = self.clock.monotonic()
            events.warning("store_lost", table=table, failure=failure)
