"""Writes the owners of key ranges to the store.

A range is granted under a new generation number only after a transaction has recorded
it. The transaction checks the coordinator's row, so a deposed coordinator cannot record
new owners. Changes requested while a transaction is in progress are batched.
"""

import asyncio
from collections.abc import Callable, Iterable

from returns import result

from dewstep_core import clocks, errors, events, tasks
from dewstep_fleet import directories, model, ranges, terms

BuildOwnership = Callable[[ranges.Ownership], ranges.Ownership]
"""Computes the ownership after a change from the current one."""


class OwnershipWriter:
    """Writes the owners of each service's ranges, one transaction at a time.

    Parameters
    ----------
    directory : directories.Directory
        Receives the written rows.
    term : terms.CoordinatorTerm
    clock : clocks.Clock
    task_owner : tasks.TaskOwner
    """

    def __init__(
        self,
        directory: directories.Directory,
        term: terms.CoordinatorTerm,
        clock: clocks.Clock,
        task_owner: tasks.TaskOwner,
    ):
        self.directory = directory
        self.term = term
        self.clock = clock
        self.tasks = task_owner
        self.reset()

    def reset(self) -> None:
        """Discard the state of an earlier term."""
        self.pending_changes: dict[
            str, list[tuple[BuildOwnership, asyncio.Future]]
        ] = {}
        self.commit_locks: dict[str, asyncio.Lock] = {}

    async def transfer(self, service: str, changes: Iterable[ranges.Transfer]) -> bool:
        """Record the new owners of ranges in the store; returns as `commit`."""
        return await self.commit(
            service, lambda current: ranges.apply_transfers(current, changes)
        )

    async def transfer_or_pause(
        self, service: str, changes: Iterable[ranges.Transfer]
    ) -> bool:
        """Transfer ranges; pause after a failure, or the next move begins at once."""
        transferred = await self.transfer(service, changes)
        if not transferred:
            await self.clock.sleep(terms.RETRY_PAUSE)
        return transferred

    async def write_again(self, service: str) -> None:
        """Write owners that the store has lost."""
        await self.commit(service, lambda current: current)

    async def commit(self, service: str, build: BuildOwnership) -> bool:
        """Write new owners to the store; return false if the write had no effect.

        Changes requested while a transaction is in progress are batched into the next.

        Raises
        ------
        terms.DeposedError
            If another instance has become the coordinator.
        """
        committed = asyncio.get_running_loop().create_future()
        waiting = self.pending_changes.setdefault(service, [])
        waiting.append((build, committed))
        if len(waiting) == 1:
            self.tasks.spawn(self.commit_pending(service))
        return await committed

    async def commit_pending(self, service: str) -> None:
        """Write all pending changes of a service."""
        lock = self.commit_locks.setdefault(service, asyncio.Lock())
        async with lock:
            batch = self.pending_changes.pop(service, [])
            try:
                outcome = await self.commit_batch(
                    service, [build for build, _ in batch]
                )
            except terms.DeposedError as error:
                for _, committed in batch:
                    if not committed.done():
                        committed.set_exception(error)
                self.term.deposed = True
                return
            for _, committed in batch:
                if not committed.done():
                    committed.set_result(outcome)

    async def commit_batch(self, service: str, builds: list[BuildOwnership]) -> bool:
        """Write the result of all changes in one transaction."""
        uncertain = False
        key = directories.RANGES_PREFIX + service
        while True:
            current = self.directory.ownerships.get(
                service, ranges.build_unwritten(service)
            )
            changed = ranges.exclude_earlier_numbers(current, self.directory.era_floor)
            for build in builds:
                changed = build(changed)
            value = ranges.encode(changed)
            began = self.clock.monotonic()
            outcome = await self.term.commit({key: current.version}, {key: value})
            if isinstance(outcome, result.Success):
                self.term.record_confirmation(began)
                self.directory.apply_written_row(key, outcome.unwrap(), value)
                return True
            failure = outcome.failure()
            events.warning("commit_failed", service=service, failure=failure)
            if isinstance(failure, errors.RateExceeded | errors.PlatformUnavailable):
                if not uncertain:
                    return False
                await self.clock.sleep(terms.RETRY_PAUSE)
                continue
            uncertain = uncertain or isinstance(failure, errors.AnswerLost)
            await self.term.reload_fleet_table()
            row = self.directory.rows.get((model.TABLES.fleet, key))
            if row is not None and row.value == value:
                return True
            if self.directory.ownerships.get(service) == current:
                # The read returned older rows than the transaction met.
                await self.clock.sleep(terms.RETRY_PAUSE)
