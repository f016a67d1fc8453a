"""Whether this instance may still act as the coordinator.

Another instance may have been elected unnoticed. Only an answered transaction that
checks the coordinator's row confirms the term, because reads and watches may return
older rows. Orders are sent while the last confirmation is recent, or while the other
instances follow this one and none of them reaches the store.

All writes of the coordinator pass through here, so that each of them checks its row.
"""

import asyncio
import datetime
from collections.abc import Callable, Mapping

from returns import result

from dewstep_core import clocks, errors, events, tasks
from dewstep_fleet import directories, feeds, model, outstanding

TERM_CONFIRMATION_INTERVAL = datetime.timedelta(milliseconds=600)
"""Interval of the transactions that confirm the term, of which three in a row may be
lost without an effect."""
RETRY_PAUSE = datetime.timedelta(milliseconds=150)
"""Pause before a failed call to the store or a failed grant is retried."""
STEP_INTERVAL = datetime.timedelta(milliseconds=50)
"""Interval at which the coordinator checks which work is due."""


class DeposedError(Exception):
    """Another instance has become the coordinator."""


class CoordinatorTerm:
    """The term of this instance as the coordinator, and what confirms it.

    Parameters
    ----------
    directory : directories.Directory
    table_feeds : feeds.TableFeeds
    store : model.Store
    clock : clocks.Clock
    task_owner : tasks.TaskOwner
    can_lead_without_store, is_followed, can_connect_without_store : callable
        As for `granting.Granter`.
    handle_restore : callable
        Called without arguments when the store was restored from an older copy and this
        instance goes on as the coordinator.
    handle_new_version : callable
        Called without arguments when the row of this term has got another version.
    """

    def __init__(
        self,
        directory: directories.Directory,
        table_feeds: feeds.TableFeeds,
        store: model.Store,
        clock: clocks.Clock,
        task_owner: tasks.TaskOwner,
        can_lead_without_store: Callable[[], bool],
        is_followed: Callable[[], bool],
        can_connect_without_store: Callable[[], bool] | None,
        handle_restore: Callable[[], None],
        handle_new_version: Callable[[], None],
    ):
        self.directory = directory
        self.table_feeds = table_feeds
        self.store = store
        self.clock = clock
        self.tasks = task_owner
        self.can_lead_without_store = can_lead_without_store
        self.is_followed = is_followed
        self.can_connect_without_store = (
            can_connect_without_store or self._can_lead_without_store
        )
        self.handle_restore = handle_restore
        self.handle_new_version = handle_new_version
        self.reset()

    def reset(self) -> None:
        """Discard the state of an earlier term."""
        self.leadership = self.directory.leadership
        self.deposed = False
        self.confirmation: tuple[datetime.timedelta, asyncio.Task] | None = None
        """Last confirmation of the term that orders waited for, and when it began."""
        self.term_confirmed_at: datetime.timedelta | None = None
        """When the last transaction that confirmed the term was sent."""
        self.next_confirmation = self.clock.monotonic()

    def _can_lead_without_store(self) -> bool:
        return self.can_lead_without_store()

    def may_send_orders(self) -> bool:
        """Whether this instance may still act as the coordinator."""
        self.follow_leadership()
        if self.deposed:
            return False
        return self.is_term_confirmed() or self.can_lead_without_store()

    def is_term_confirmed(self) -> bool:
        """Whether the store has recently confirmed the term in a transaction.

        A read or watch does not confirm it, since its answer may be outdated.
        """
        if self.term_confirmed_at is None:
            return False
        age = self.clock.monotonic() - self.term_confirmed_at
        return age <= outstanding.TERM_CONFIRMATION_MAX_AGE

    def confirm_regularly(self, now: datetime.timedelta) -> None:
        """Let the store confirm the term at regular intervals.

        A transaction does not wait for the answer to the previous one.
        """
        if now >= self.next_confirmation and self.table_feeds.is_current():
            self.next_confirmation = now + TERM_CONFIRMATION_INTERVAL
            self.tasks.spawn(self.run_confirmation())

    async def run_confirmation(self) -> bool:
        """Ask the store for a confirmation of the term and record it."""
        began = self.clock.monotonic()
        confirmed = await self.check_term()
        if confirmed:
            self.record_confirmation(began)
        return confirmed

    def record_confirmation(self, sent_at: datetime.timedelta) -> None:
        """Record that a transaction sent at this time has confirmed the term."""
        self.term_confirmed_at = max(sent_at, self.term_confirmed_at or sent_at)

    def follow_leadership(self) -> None:
        """End the term if the newest known row names another coordinator.

        A row of the same term in a new era only has another version.
        """
        current = self.directory.leadership
        if current.version == self.leadership.version:
            return
        restored = self.directory.era_floor > self.leadership.version
        if restored and not self.is_followed():
            # The rows of a successor may be lost.
            self.deposed = True
        if restored and not self.deposed:
            self.handle_restore()
        if current._replace(version=0) != self.leadership._replace(version=0):
            self.deposed = True
        if self.deposed:
            return
        self.leadership = current
        self.handle_new_version()

    async def confirm_term(self, since: datetime.timedelta) -> bool:
        """Whether this instance was the coordinator at some time after `since`.

        The store is asked, once for all orders that wait. While all instances follow
        this one and none of them reaches the store, no other coordinator is elected.
        Otherwise a minority may have elected one, which has given keys of a target to
        another one, and the target's next process does not know of it.
        """
        while not self.deposed and not self.can_connect_without_store():
            if self.confirmation is None or self.confirmation[1].done():
                began = self.clock.monotonic()
                self.confirmation = began, self.tasks.spawn(self.run_confirmation())
            began, check = self.confirmation
            confirmed = await asyncio.shield(check)
            if began >= since:
                return confirmed and self.may_send_orders()
        return self.may_send_orders()

    async def check_term(self) -> bool:
        """Ask the store whether this instance is still the coordinator.

        A transaction without writes is used, since a read may return older rows.
        """
        version = self.leadership.version
        outcome = await self.commit({}, {})
        if isinstance(outcome, result.Failure):
            failure = outcome.failure()
            events.warning("term_unconfirmed", failure=failure)
            if isinstance(failure, errors.Conflict) and await feeds.read_fleet_table(
                self.store, self.directory
            ):
                # In a new era, the row of this term may have another version.
                self.follow_leadership()
                self.deposed = self.deposed or self.leadership.version == version
            return False
        return True

    async def commit(
        self, expected: Mapping[str, int], writes: Mapping[str, bytes | None]
    ) -> result.Result:
        """Write rows of the fleet's table if this instance is still the coordinator.

        Returns as `model.Store.commit`, to which `expected` and `writes` are passed.
        """
        return await self.store.commit(
            {directories.COORDINATOR_KEY: self.leadership.version, **expected},
            dict(writes),
        )

    async def reload_fleet_table(self) -> None:
        """Read the fleet's table, retrying until the store answers.

        Raises
        ------
        DeposedError
            If another instance has become the coordinator.
        """
        while not await feeds.read_fleet_table(self.store, self.directory):
            await self.clock.sleep(RETRY_PAUSE)
        self.follow_leadership()
        if self.deposed:
            raise DeposedError
