"""The row by which the other instances know this one as a member."""

import random

from returns import result

from dewstep_core import clocks, errors, events, tasks
from dewstep_fleet import directories, feeds, model, terms


class Registration:
    """The member row of this instance.

    Parameters
    ----------
    own_member : model.Member
    directory : directories.Directory
    table_feeds : feeds.TableFeeds
    store : model.Store
    clock : clocks.Clock
    generator : random.Random
    task_owner : tasks.TaskOwner
    """

    def __init__(
        self,
        own_member: model.Member,
        directory: directories.Directory,
        table_feeds: feeds.TableFeeds,
        store: model.Store,
        clock: clocks.Clock,
        generator: random.Random,
        task_owner: tasks.TaskOwner,
    ):
        self.key = directories.MEMBER_PREFIX + own_member.node
        self.value = directories.encode_record(own_member)
        self.directory = directory
        self.table_feeds = table_feeds
        self.store = store
        self.clock = clock
        self.random = generator
        self.tasks = task_owner
        self.registered = False
        """Whether this instance has written its member row."""

    def find_row(self) -> model.StoredRow | None:
        """Return the known row of this instance's node."""
        return self.directory.rows.get((model.TABLES.fleet, self.key))

    def keep(self) -> None:
        """Register again if a restored store has lost this instance's row."""
        row = self.find_row()
        if self.registered and row is not None and row.value is None:
            self.registered = False
            self.tasks.spawn(self.register())

    async def register(self) -> None:
        """Write this instance's member row, retrying until it is stored."""
        await self._write()
        self.registered = True

    async def _write(self) -> None:
        while True:
            row = self.find_row()
            known = (
                row is not None or model.TABLES.fleet in self.table_feeds.current_tables
            )
            if known and (row is None or row.value != self.value):
                version = row.version if row is not None and row.value else 0
                outcome = await self.store.commit(
                    {self.key: version}, {self.key: self.value}
                )
                if isinstance(outcome, result.Success):
                    self.directory.apply_written_row(
                        self.key, outcome.unwrap(), self.value
                    )
                    return
                events.warning("register_failed", failure=outcome.failure())
                if isinstance(outcome.failure(), errors.Conflict | errors.AnswerLost):
                    await feeds.read_fleet_table(self.store, self.directory)
                await self.clock.sleep(terms.RETRY_PAUSE * (1 + self.random.random()))
                continue
            if row is not None and row.value == self.value:
                return
            await self.directory.wait_change(self.directory.change_count, 0.05)
