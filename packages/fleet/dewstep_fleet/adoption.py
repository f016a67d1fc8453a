"""Takes over the key ranges of the previous coordinator at the start of a term.

A new coordinator gives all ranges new generation numbers, so targets reject grants of
the previous one. For a target that it cannot reach, it waits until all grants that the
previous one may have sent have expired.

A store that is restored from an older copy forgets changes of owners. The coordinator
whose row survived knows them all and goes on. Any other one cannot know which target
holds a key, since the copy may lack targets as well, and those that do not reach the
store do not register again. It grants nothing until all earlier grants have expired.
This includes the first term that the store knows of: a copy of before the first
election does not show that there have been coordinators.

The time until which earlier grants last is established once for each era of the store,
when half of the members report to this instance. Each service whose ranges are taken
over later waits until this time, and not for the whole duration again.

The keys of a service without owners are divided among its targets.
"""

import datetime
from collections.abc import Callable
from typing import NamedTuple

from dewstep_core import clocks, events, tasks
from dewstep_fleet import (
    directories,
    eligibility,
    feeds,
    grant_durations,
    grant_states,
    outstanding,
    ownership_writes,
    ranges,
    target_orders,
    terms,
)

REGISTRATION_QUIET_PERIOD = datetime.timedelta(milliseconds=1500)
"""A service's keys are divided once no target has registered for this long. Targets
start within a second of each other, and each later move interrupts its keys."""
NO_TIME = datetime.timedelta()


def may_have_lost_owners(
    ownership: ranges.Ownership | None,
    era_floor: int,
    known_floor: int | None,
) -> bool:
    """Whether owners may have changed after the copy of which the store began.

    Parameters
    ----------
    ownership : ranges.Ownership or None
        Owners that the store has.
    era_floor : int
        Lowest version of the store's era.
    known_floor : int or None
        Era of which this instance knows all valid grants of earlier eras.
    """
    generation = ownership.generation if ownership is not None else 0
    return generation < era_floor and known_floor != era_floor


class InheritedLimit(NamedTuple):
    """When all grants of earlier coordinators have expired."""

    era_floor: int
    """Lowest version of the store's era in which this was established."""
    max_duration: datetime.timedelta
    """Longest duration of such a grant."""
    expiry: datetime.timedelta


class Adoption:
    """Starts to manage the ranges of each service in a term.

    Parameters
    ----------
    directory : directories.Directory
    table_feeds : feeds.TableFeeds
    term : terms.CoordinatorTerm
    states : grant_states.GrantStates
    writer : ownership_writes.OwnershipWriter
    clock : clocks.Clock
    task_owner : tasks.TaskOwner
    is_adopted, get_inherited_grant_time_left : callable
        As for `granting.Granter`.
    """

    def __init__(
        self,
        directory: directories.Directory,
        table_feeds: feeds.TableFeeds,
        term: terms.CoordinatorTerm,
        states: grant_states.GrantStates,
        writer: ownership_writes.OwnershipWriter,
        clock: clocks.Clock,
        task_owner: tasks.TaskOwner,
        is_adopted: Callable[[], bool],
        get_inherited_grant_time_left: Callable[[], datetime.timedelta],
    ):
        self.directory = directory
        self.table_feeds = table_feeds
        self.term = term
        self.grant_states = states
        self.writer = writer
        self.clock = clock
        self.tasks = task_owner
        self.is_adopted = is_adopted
        self.get_inherited_grant_time_left = get_inherited_grant_time_left
        self.known_era_floors: dict[str, int] = {}
        """Era of the store, by service, of which this instance knows that it does not
        lack a valid grant of an earlier era."""
        self.reset()

    def reset(self) -> None:
        """Discard the state of an earlier term."""
        self.managed_services: set[str] = set()
        self.starting: set[str] = set()
        """Services whose ranges are being written for the first time in this term."""
        self.initial_targets: dict[str, tuple[set[str], datetime.timedelta]] = {}
        """Targets of each service whose keys have no owners, and when this set last
        changed."""
        self.adopted = False
        """Whether the previous coordinator cannot lead without the store any more."""
        self.inherited_limit: InheritedLimit | None = None
        """Known once half of the members have reported in the store's era."""

    # Ranges.

    def start_managing(self, service: str, now: datetime.timedelta) -> None:
        """Start to manage a service's ranges in this term."""
        if service in self.starting or not self.table_feeds.is_current():
            return
        targets = eligibility.list_available(
            self.directory, self.grant_states, service, now
        )
        if service not in self.directory.ownerships:
            names = {target.name for target in targets}
            previous_names, since = self.initial_targets.get(service, (None, now))
            if names != previous_names:
                self.initial_targets[service] = (names, now)
                return
            if not targets or now - since < REGISTRATION_QUIET_PERIOD:
                return
        self.starting.add(service)
        self.tasks.spawn(self.write_managed_ranges(service))

    async def write_managed_ranges(self, service: str) -> None:
        """Write a service's ranges with new generation numbers, or divide its keys."""
        inherited = False

        def build(current: ranges.Ownership) -> ranges.Ownership:
            nonlocal inherited
            inherited = bool(current.holdings)
            if inherited:
                return ranges.renumber(current)
            available = eligibility.list_available(
                self.directory, self.grant_states, service, self.clock.monotonic()
            )
            return ranges.divide_keys(service, 0, current.generation, available)

        try:
            while self.may_have_lost_owners(service):
                await self.end_unknown_grants(service)
            if not await self.writer.commit(service, build):
                return
        finally:
            self.starting.discard(service)
        ownership = self.directory.ownerships[service]
        if inherited:
            self.record_inherited_grants(ownership)
        self.managed_services.add(service)
        events.info(
            "ranges_adopted",
            service=service,
            ranges=len(ownership.holdings),
            generation=ownership.generation,
            inherited=inherited,
        )

    def write_again(self) -> None:
        """Start to write owners that the store has lost."""
        for service in self.managed_services:
            self.tasks.spawn(self.writer.write_again(service))

    # A restored store.

    def keep_known_owners(self) -> None:
        """Record that the owners known now are those of the store's new era, too."""
        for service in self.managed_services:
            self.known_era_floors[service] = self.directory.era_floor

    def knows_owners(self) -> bool:
        """Whether this instance knows the valid grants of all earlier eras."""
        return self.directory.era_floor in self.known_era_floors.values()

    def may_have_lost_owners(self, service: str) -> bool:
        """Whether owners may have changed after the copy of which the store began."""
        return may_have_lost_owners(
            self.directory.ownerships.get(service),
            self.directory.era_floor,
            self.known_era_floors.get(service),
        )

    async def end_unknown_grants(self, service: str) -> None:
        """Wait until no target holds keys from before the store's era.

        Until this term has been adopted, an earlier coordinator may lead.
        """
        while not self.adopted:
            await self.clock.sleep(terms.STEP_INTERVAL)
        era_floor = self.directory.era_floor
        expiry = self.get_inherited_limit().expiry
        wait = expiry - self.clock.monotonic()
        events.warning("owners_lost", service=service, wait=wait)
        await self.clock.sleep(max(wait, NO_TIME))
        self.known_era_floors[service] = era_floor

    # Grants of the previous coordinator.

    def get_max_inherited_duration(self) -> datetime.timedelta:
        """Return the longest duration of a grant that a predecessor may send now."""
        return max(grant_durations.GRANT_DURATION, self.get_inherited_grant_time_left())

    def get_inherited_limit(self) -> InheritedLimit:
        """Return when the latest grants that a predecessor may have sent have expired.

        Once the predecessor cannot lead any more, this does not depend on when the
        ranges of a service are taken over.
        """
        era_floor = self.directory.era_floor
        limit = self.inherited_limit
        if limit is not None and limit.era_floor == era_floor:
            return limit
        max_duration = self.get_max_inherited_duration()
        now = self.clock.monotonic()
        expiry = outstanding.compute_inherited_expiry(now, max_duration)
        return InheritedLimit(era_floor, max_duration, expiry)

    def limit_inherited_grants(self) -> None:
        """Record when the grants of all earlier coordinators have expired.

        None of them leads without the store for longer than is assumed once half of the
        members report to this one. A restore may have hidden a successor of this one,
        so this is established again in each era of the store.
        """
        limit = self.get_inherited_limit()
        if limit != self.inherited_limit and self.is_adopted():
            self.inherited_limit = limit

    def record_inherited_grants(self, ownership: ranges.Ownership) -> None:
        """Assume the latest grants that the previous coordinator may have sent."""
        limit = self.get_inherited_limit()
        events.info(
            "grants_inherited",
            service=ownership.service,
            term=self.term.leadership.term,
            generation=ownership.generation,
            max_duration=limit.max_duration,
            grants_left=max(limit.expiry - self.clock.monotonic(), NO_TIME),
        )
        for holding in ownership.holdings:
            state = self.grant_states.get_owner(holding)
            state.orders.record_inherited(limit.expiry)

    def extend_inherited_grants(self) -> None:
        """Assume further grants of the previous coordinator while it may be followed.

        It leads without the store while most instances report to it. It ends within the
        time that is assumed for a coordinator without the store once half of them have
        adopted this term. It can grant nothing once all owners reject its orders.
        """
        self.limit_inherited_grants()
        if self.adopted:
            return
        self.adopted = self.is_adopted() or self.is_accepted_by_owners()
        if self.adopted:
            events.info("term_adopted", term=self.term.leadership.term)
        expiry = self.get_inherited_limit().expiry
        for state in self.grant_states.states.values():
            if state.orders.outstanding.inherits:
                state.orders.record_inherited(expiry)

    def is_accepted_by_owners(self) -> bool:
        """Whether all owners of keys have accepted numbers of this term.

        They reject the renewals of the previous coordinator, which can record no owner
        under a higher number.
        """
        routes = self.directory.routes
        if routes is None:
            return False
        services = {item.name for item in routes.services.values() if item.keyed}
        services.update(self.directory.ownerships)
        return services <= self.managed_services and not any(
            state.orders.outstanding.inherits
            for state in self.grant_states.states.values()
        )

    async def await_inherited_grants(
        self, orders: target_orders.TargetOrders
    ) -> datetime.timedelta:
        """Wait until grants of the previous coordinator have expired; return how long.

        They may have been extended since a move began.
        """
        began = self.clock.monotonic()
        while orders.outstanding.inherits and not self.adopted:
            await self.clock.sleep(terms.STEP_INTERVAL)
        time_left = orders.outstanding.inherited_until - self.clock.monotonic()
        await self.clock.sleep(max(time_left, NO_TIME))
        return self.clock.monotonic() - began
