"""Grants key ranges to their owners and moves ranges between targets.

Only the coordinator does this. Four rules prevent two targets from owning the same key:

- Before the first grant with a new generation number, a transaction checks the
  coordinator's row, so a deposed coordinator cannot record new owners.
- An order reaches the process for which it is meant, or nobody (see `target_orders`).
- A range is granted to another target only after its owner released it with no
  unanswered grant outstanding, or after all grants sent to the owner have expired
  (see `outstanding`), or after its owner was found to have ended.
- A new coordinator gives all ranges new generation numbers, so targets reject grants of
  the previous one. For a target that it cannot reach, it waits until all grants that
  the previous one may have sent have expired.

A store that is restored from an older copy forgets changes of owners. The coordinator
whose row survived knows them all and goes on. Any other one cannot know which target
holds a key; it grants nothing until all earlier grants have expired.
"""

import asyncio
import datetime
import math
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any, NamedTuple

from returns import result

from dewstep_core import clocks, errors, events, tasks
from dewstep_fleet import (
    demands,
    directories,
    feeds,
    model,
    outstanding,
    permits,
    planning,
    ranges,
    reachability,
    target_orders,
)

GRANT_DURATION = datetime.timedelta(milliseconds=2500)
"""Usual duration of a grant. The keys of a lost target are unavailable for at most this
long. It must exceed the time of a coordinator change, about 1.3 s."""
RENEWAL_INTERVAL = datetime.timedelta(milliseconds=600)
"""A quarter of `GRANT_DURATION`, so that two renewals may be lost."""
OUTAGE_THRESHOLD = datetime.timedelta(milliseconds=2500)
"""After this long without the store, ranges are granted for the maximum duration that
targets accept, because no range can be handed over and the coordinator may fail too."""
MAX_RENEWAL_FAILURES = 2
"""Consecutive unanswered renewals after which a target counts as lost."""
RENEWAL_RETRY_PERIOD = datetime.timedelta(seconds=2)
"""Time for which renewals are retried at a target that answers none. A full target
resets most connections, but answers an occasional one."""
MAX_QUEUE_WAIT = datetime.timedelta(milliseconds=300)
"""Maximum wait before a release for queued requests to start, because the release
removes them from the target's queue."""
TERM_CONFIRMATION_INTERVAL = datetime.timedelta(milliseconds=600)
"""Interval of the transactions that confirm the term, of which three in a row may be
lost without an effect."""
STEP_INTERVAL = datetime.timedelta(milliseconds=50)
PLAN_INTERVAL = datetime.timedelta(milliseconds=250)
REGISTRATION_QUIET_PERIOD = datetime.timedelta(milliseconds=1500)
"""A service's keys are divided once no target has registered for this long. Targets
start within a second of each other, and each later move interrupts its keys."""
RETRY_PAUSE = datetime.timedelta(milliseconds=150)
"""Pause before a failed call to the store or a failed grant is retried."""
AVOIDANCE_PERIOD = datetime.timedelta(seconds=3)
"""A target whose grants expired without a renewal gets no keys for this long."""
MIN_MOVE_LIMIT = 8
"""Limit of concurrent moves in a small service."""
MOVE_LIMIT_PER_TARGET = 0.25
"""Limit of concurrent moves per target in a large service. Keys with a third of the
service's load can then be spread in one round."""
HOT_KEY_MOVE_INTERVAL = datetime.timedelta(seconds=5)
"""Minimum time between two moves of a key that alone saturates its owner. A move leaves
the key without an owner for up to 0.9 s; a target that is a quarter faster needs about
4 s to serve as many additional requests as were refused meanwhile."""
MOVE_ANSWER_MAX_AGE = datetime.timedelta(milliseconds=2200)
"""Maximum age of the store's last answer for starting a move; a watch lasts 1 s."""


BuildOwnership = Callable[[ranges.Ownership], ranges.Ownership]
"""Computes the ownership after a change from the current one."""


class DeposedError(Exception):
    """Another instance has become the coordinator."""


class TargetIncarnation(NamedTuple):
    """One run of a target, from its start to its end."""

    target: str
    incarnation: int


class GrantState:
    """Orders to one incarnation of a target, and whether it answers them."""

    __slots__ = (
        "all_accepted",
        "avoid_until",
        "failing_since",
        "failures",
        "last_failure",
        "next_renewal",
        "orders",
        "renewing",
    )

    def __init__(self, orders: target_orders.TargetOrders):
        self.orders = orders
        self.failures = 0
        self.failing_since = datetime.timedelta()
        """Time of the first of the consecutive failures."""
        self.last_failure: Any = None
        self.all_accepted = False
        """Whether the target accepted all its ranges under this term's generations."""
        self.next_renewal = datetime.timedelta()
        self.renewing = False
        self.avoid_until = datetime.timedelta()


class Granter:
    """Grants, renews and moves key ranges while this instance is the coordinator.

    Parameters
    ----------
    directory : directories.Directory
    store_feeds : feeds.TableFeeds
        Records when the store last confirmed the coordinator's term.
    store : model.Store
    channel : model.GrantChannel
    clock : clocks.Clock
    timing : model.Timing
    can_lead_without_store : callable
        Whether most instances follow this coordinator and none of them reaches the
        store. Orders are then sent without the store's confirmation.
    is_followed : callable
        Whether most instances recently reported to this coordinator, so that no other
        one has been elected unnoticed.
    is_adopted : callable
        Whether at least half of the instances report to this coordinator, so that they
        reject the previous one.
    may_send_long_grants : callable
        Whether most instances know of grants longer than `GRANT_DURATION`.
    get_demand : callable
        Returns the `Demand` of a service.
    estimate_queue_wait : callable
        Returns the expected queueing time at a target.
    get_inherited_grant_time_left : callable
        Returns the longest remaining time of the previous coordinator's grants that
        were longer than `GRANT_DURATION`.
    notify_moves_changed : callable
        Called without arguments after a move has started or ended.
    can_connect_without_store : callable, optional
        Whether all instances follow this coordinator, so that none of them has elected
        another one. Connections to targets that restart under their name are then
        opened without the store's confirmation. `can_lead_without_store` by default.
    """

    def __init__(
        self,
        directory: directories.Directory,
        store_feeds: feeds.TableFeeds,
        store: model.Store,
        channel: model.GrantChannel,
        clock: clocks.Clock,
        timing: model.Timing,
        can_lead_without_store: Callable[[], bool],
        is_followed: Callable[[], bool],
        is_adopted: Callable[[], bool],
        may_send_long_grants: Callable[[], bool],
        get_demand: Callable[[str], demands.Demand],
        estimate_queue_wait: Callable[[model.Target], datetime.timedelta],
        get_inherited_grant_time_left: Callable[[], datetime.timedelta],
        notify_moves_changed: Callable[[], None],
        can_connect_without_store: Callable[[], bool] | None = None,
    ):
        self.directory = directory
        self.table_feeds = store_feeds
        self.store = store
        self.channel = channel
        self.clock = clock
        self.timing = timing
        self.can_lead_without_store = can_lead_without_store
        self.is_followed = is_followed
        self.is_adopted = is_adopted
        self.may_send_long_grants = may_send_long_grants
        self.get_demand = get_demand
        self.estimate_queue_wait = estimate_queue_wait
        self.get_inherited_grant_time_left = get_inherited_grant_time_left
        self.notify_moves_changed = notify_moves_changed
        self.can_connect_without_store = (
            can_connect_without_store or self._can_lead_without_store
        )
        self.known_era_floors: dict[str, int] = {}
        """Era of the store, by service, of which this instance knows that it does not
        lack a valid grant of an earlier era."""
        self.reset()

    def reset(self) -> None:
        """Discard the state of an earlier term."""
        self.leadership = self.directory.leadership
        self.grant_states: dict[TargetIncarnation, GrantState] = {}
        self.known_targets: dict[str, model.Target] = {}
        self.managed_services: set[str] = set()
        self.moving: dict[str, list[tuple[int, int]]] = {}
        """First and last keys of the ranges that are being moved, by service."""
        self.initial_targets: dict[str, tuple[set[str], datetime.timedelta]] = {}
        """Targets of each service whose keys have no owners, and when this set last
        changed."""
        self.tasks = tasks.TaskOwner(self.handle_task_failure)
        self.planned_at = self.clock.monotonic()
        self.movable_after: dict[tuple[str, int], datetime.timedelta] = {}
        """When a key that was moved on its own may be moved again."""
        self.admitted_fractions: dict[str, float] = {}
        """Fraction of its requests that each overloaded target can serve."""
        self.pending_changes: dict[
            str, list[tuple[BuildOwnership, asyncio.Future]]
        ] = {}
        self.commit_locks: dict[str, asyncio.Lock] = {}
        self.confirmation: tuple[datetime.timedelta, asyncio.Task] | None = None
        """Last confirmation of the term that orders waited for, and when it began."""
        self.term_confirmed_at: datetime.timedelta | None = None
        """When the last transaction that confirmed the term was sent."""
        self.next_confirmation = self.clock.monotonic()
        self.adopted = False
        """Whether the previous coordinator cannot lead without the store any more."""
        self.deposed = False
        self.last_duration: datetime.timedelta | None = None
        """Duration of the last grant."""

    def _can_lead_without_store(self) -> bool:
        return self.can_lead_without_store()

    # Lifecycle.

    async def run(self, claimed_at: datetime.timedelta | None) -> None:
        """Grant and move ranges until deposed or cancelled.

        Parameters
        ----------
        claimed_at : datetime.timedelta or None
            When the transaction was sent that wrote this instance's row, or None if its
            answer was lost.
        """
        self.reset()
        self.term_confirmed_at = claimed_at
        try:
            while not self.deposed:
                change_count = self.directory.change_count
                self.step()
                await self.directory.wait_change(
                    change_count, STEP_INTERVAL.total_seconds()
                )
        finally:
            self.tasks.cancel()
            for state in self.grant_states.values():
                state.orders.close()
            self.directory.moving = {}

    def handle_task_failure(self, error: BaseException, task: str) -> None:
        """End the term on a `DeposedError`; log any other failure of a task."""
        if isinstance(error, DeposedError):
            self.deposed = True
        else:
            events.exception("granting_failed", error, task=task)

    def step(self) -> None:
        """Start all work that is due."""
        now = self.clock.monotonic()
        self.confirm_regularly(now)
        self.extend_inherited_grants()
        self.known_targets.update(self.directory.targets)
        if self.directory.routes is None or not self.may_send_orders():
            return
        for service in self.directory.routes.services.values():
            if service.keyed:
                self.step_service(service.name, now)
        if now - self.planned_at >= PLAN_INTERVAL:
            self.planned_at = now
            self.plan_moves()

    def step_service(self, service: str, now: datetime.timedelta) -> None:
        """Start the work that is due for one service."""
        if service not in self.managed_services:
            if service not in self.moving:
                self.start_managing(service, now)
            return
        ownership = self.directory.ownerships[service]
        owners = ranges.group_by_target(ownership)
        for target, holdings in owners.items():
            self.renew_or_evacuate(service, target, holdings, now)

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
            for service in self.managed_services:
                self.known_era_floors[service] = self.directory.era_floor
        if current._replace(version=0) != self.leadership._replace(version=0):
            self.deposed = True
        if self.deposed:
            return
        self.leadership = current
        for service in self.managed_services:
            self.tasks.spawn(self.write_again(service))

    async def write_again(self, service: str) -> None:
        """Write owners that the store has lost."""
        await self.commit(service, lambda current: current)

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
        outcome = await self.store.commit({directories.COORDINATOR_KEY: version}, {})
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

    def choose_grant_duration(self) -> datetime.timedelta:
        """Return the duration of a grant that is sent now."""
        duration = self.timing.max_grant_duration
        if (
            self.table_feeds.has_recent_answer(OUTAGE_THRESHOLD)
            or not self.may_send_long_grants()
        ):
            duration = min(GRANT_DURATION, duration)
        previous, self.last_duration = self.last_duration, duration
        if previous is not None and previous != duration:
            events.warning(
                "grant_duration_changed",
                term=self.leadership.term,
                previous=previous,
                duration=duration,
            )
        return duration

    # Start of a term.

    def start_managing(self, service: str, now: datetime.timedelta) -> None:
        """Start to manage a service's ranges in this term."""
        if not self.table_feeds.is_current():
            return
        targets = self.list_available(service, now)
        if service not in self.directory.ownerships:
            names = {target.name for target in targets}
            previous_names, since = self.initial_targets.get(service, (None, now))
            if names != previous_names:
                self.initial_targets[service] = (names, now)
                return
            if not targets or now - since < REGISTRATION_QUIET_PERIOD:
                return
        self.moving[service] = []
        self.tasks.spawn(self.write_managed_ranges(service))

    async def write_managed_ranges(self, service: str) -> None:
        """Write a service's ranges with new generation numbers, or divide its keys."""
        inherited = False

        def build(current: ranges.Ownership) -> ranges.Ownership:
            nonlocal inherited
            inherited = bool(current.holdings)
            if inherited:
                return ranges.renumber(current)
            available = self.list_available(service, self.clock.monotonic())
            return ranges.divide_keys(service, 0, current.generation, available)

        try:
            while self.may_have_lost_owners(service):
                await self.await_unknown_grants(service)
            if not await self.commit(service, build):
                return
        finally:
            self.moving.pop(service, None)
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

    def knows_owners(self) -> bool:
        """Whether this instance knows the valid grants of all earlier eras."""
        return self.directory.era_floor in self.known_era_floors.values()

    def may_have_lost_owners(self, service: str) -> bool:
        """Whether owners may have changed after the copy of which the store began."""
        ownership = self.directory.ownerships.get(service)
        if ownership is None and self.leadership.term == 1:
            return False
        generation = ownership.generation if ownership is not None else 0
        era_floor = self.directory.era_floor
        known_floor = self.known_era_floors.get(service)
        return generation < era_floor and known_floor != era_floor

    async def await_unknown_grants(self, service: str) -> None:
        """Wait until all grants of coordinators before the store's era have expired.

        Until this term has been adopted, an earlier coordinator may lead.
        """
        while not self.adopted:
            await self.clock.sleep(STEP_INTERVAL)
        now = self.clock.monotonic()
        grants = outstanding.record_inherited(
            outstanding.build_ended(now),
            now,
            self.get_max_inherited_duration(),
        )
        wait = grants.expiry - now
        era_floor = self.directory.era_floor
        events.warning("owners_lost", service=service, wait=wait)
        await self.clock.sleep(wait)
        self.known_era_floors[service] = era_floor

    def get_max_inherited_duration(self) -> datetime.timedelta:
        """Return the longest duration of a grant that a predecessor may send now."""
        return max(GRANT_DURATION, self.get_inherited_grant_time_left())

    def record_inherited_grants(self, ownership: ranges.Ownership) -> None:
        """Assume the latest grants that the previous coordinator may have sent."""
        max_duration = self.get_max_inherited_duration()
        now = self.clock.monotonic()
        inherited = outstanding.record_inherited(
            outstanding.build_ended(now), now, max_duration
        )
        events.info(
            "grants_inherited",
            service=ownership.service,
            term=self.leadership.term,
            generation=ownership.generation,
            max_duration=max_duration,
            grants_left=inherited.expiry - now,
        )
        for holding in ownership.holdings:
            state = self.get_grant_state(
                TargetIncarnation(holding.target, holding.life)
            )
            state.orders.record_inherited(max_duration)

    def extend_inherited_grants(self) -> None:
        """Assume further grants of the previous coordinator while it may be followed.

        It leads without the store while most instances report to it. It ends within the
        time that is assumed for a coordinator without the store once half of them have
        adopted this term.
        """
        if self.adopted:
            return
        self.adopted = self.is_adopted()
        if self.adopted:
            events.info("term_adopted", term=self.leadership.term)
        max_duration = self.get_max_inherited_duration()
        for state in self.grant_states.values():
            if state.orders.outstanding.inherits:
                state.orders.record_inherited(max_duration)

    def get_long_grant_time_left(self) -> datetime.timedelta:
        """Return the longest remaining time of a grant with more than the usual one."""
        now = self.clock.monotonic()
        usual = outstanding.record_sending(
            outstanding.build_ended(now), now, GRANT_DURATION
        )
        return max(
            (
                state.orders.outstanding.expiry - now
                for state in self.grant_states.values()
                if state.orders.outstanding.expiry > usual.expiry
            ),
            default=datetime.timedelta(),
        )

    def get_grant_state(self, target_incarnation: TargetIncarnation) -> GrantState:
        """Return the state of a target's grants, creating it if needed."""
        state = self.grant_states.get(target_incarnation)
        if state is None:
            orders = target_orders.TargetOrders(
                self.channel,
                self.clock,
                self.leadership.term,
                self.may_send_orders,
                self.confirm_term,
                self.choose_grant_duration,
            )
            state = self.grant_states[target_incarnation] = GrantState(orders)
        return state

    # Renewal.

    def reaches_targets(self) -> bool:
        """Whether some target answers orders, or too few have been sent to know."""
        failures = [
            state.failures
            for target in self.directory.targets.values()
            if (
                state := self.grant_states.get(
                    TargetIncarnation(target.name, target.life)
                )
            )
            is not None
        ]
        return len(failures) < reachability.MIN_SILENT_TARGETS or 0 in failures

    def renew_or_evacuate(
        self,
        service: str,
        target: str,
        holdings: tuple[model.Holding, ...],
        now: datetime.timedelta,
    ) -> None:
        """Renew a target's ranges, or start to move them if it is leaving or lost."""
        registered = self.directory.targets.get(target)
        incarnations = {holding.life for holding in holdings}
        if registered is not None and registered.service != service:
            registered = None
        if registered is not None and not registered.leaving:
            newest = max(incarnations)
            if registered.life < newest:
                # The address of the owner is unknown: the store has lost its newer
                # registration or returns older rows.
                owner = self.get_grant_state(TargetIncarnation(target, newest))
                if now >= owner.orders.outstanding.expiry:
                    self.evacuate(service, holdings, release=False)
                return
            if incarnations != {registered.life}:
                self.spawn_unless_moving(
                    service, holdings, self.regrant(service, registered, holdings)
                )
                return
            state = self.get_grant_state(TargetIncarnation(target, registered.life))
            lost = state.failures >= MAX_RENEWAL_FAILURES
            if lost and now >= state.orders.outstanding.expiry:
                state.avoid_until = now + AVOIDANCE_PERIOD
                state.failures = 0
                events.warning("target_unresponsive", target=target, service=service)
                self.evacuate(service, holdings, release=False)
            elif now >= state.next_renewal and not state.renewing:
                if lost and now - state.failing_since > RENEWAL_RETRY_PERIOD:
                    # The target may apply grants without answering; renewing them
                    # forever would keep its keys there.
                    return
                state.renewing = True
                state.next_renewal = now + RENEWAL_INTERVAL
                self.tasks.spawn(self.renew(service, registered, state))
            return
        self.evacuate(service, holdings, release=True)

    async def renew(
        self, service: str, target: model.Target, state: GrantState
    ) -> None:
        """Renew each range that a target owns."""
        try:
            began = self.clock.monotonic()
            owned = self.list_owned(service, target.name)
            held = self.exclude_moving(service, owned)
            # A range that is being moved is not renewed.
            complete = held == owned
            for holding in held:
                outcome = await self.renew_holding(service, target, holding)
                if isinstance(outcome, result.Failure):
                    return
                complete &= outcome.unwrap() is not target_orders.SKIPPED
            if complete and not state.all_accepted:
                state.all_accepted = True
                state.orders.exclude_inherited(began)
            state.orders.numbering.keep(
                {
                    holding.generation
                    for holding in self.list_owned(service, target.name)
                }
            )
        finally:
            state.renewing = False

    def list_owned(self, service: str, target: str) -> tuple[model.Holding, ...]:
        """Return all ranges of a target."""
        holdings = self.directory.ownerships[service].holdings
        return tuple(item for item in holdings if item.target == target)

    def exclude_moving(
        self, service: str, holdings: tuple[model.Holding, ...]
    ) -> tuple[model.Holding, ...]:
        """Return the parts of `holdings` that are not being moved."""
        for first, last in self.moving.get(service, ()):
            holdings = ranges.exclude_range(holdings, first, last)
        return holdings

    async def renew_holding(
        self, service: str, target: model.Target, holding: model.Holding
    ) -> result.Result[None, Any]:
        """Renew one range and record whether the target answers."""
        state = self.get_grant_state(TargetIncarnation(target.name, target.life))
        outcome = await state.orders.grant(
            target, holding, "", lambda: self.is_held(service, holding)
        )
        if isinstance(outcome, result.Success):
            if outcome.unwrap() is target_orders.SKIPPED:
                return outcome
            if state.failures:
                events.info(
                    "target_answers_again",
                    target=target.name,
                    life=target.life,
                    address=directories.format_address(target),
                    generation=holding.generation,
                    failures=state.failures,
                    failing_for=self.clock.monotonic() - state.failing_since,
                    last_failure=state.last_failure,
                )
            state.failures = 0
            return outcome
        failure = outcome.failure()
        if isinstance(failure, model.TermUnconfirmed):
            # It says nothing about the target.
            state.next_renewal = self.clock.monotonic() + RETRY_PAUSE
            return outcome
        if not state.failures:
            state.failing_since = self.clock.monotonic()
        state.failures += 1
        state.last_failure = failure
        state.next_renewal = min(
            state.next_renewal, self.clock.monotonic() + RETRY_PAUSE
        )
        events.warning(
            "grant_failed",
            target=target.name,
            life=target.life,
            first=holding.first,
            last=holding.last,
            generation=holding.generation,
            failures=state.failures,
            failure=failure,
        )
        if isinstance(failure, model.Superseded | model.NumbersUsedUp):
            state.failures = 0
            self.tasks.spawn(self.renumber(service, holding))
        if isinstance(failure, model.TargetReplaced):
            # Its grants have ended, so that its ranges can be moved at once.
            state.failures = max(state.failures, MAX_RENEWAL_FAILURES)
        return outcome

    def is_held(self, service: str, holding: model.Holding) -> bool:
        """Whether a range is still owned by its target and not being moved."""
        found = self.directory.ownerships[service].find(holding.first)
        return found is not None and holding in self.exclude_moving(service, (found,))

    async def renumber(self, service: str, holding: model.Holding) -> None:
        """Read the store after a renewal that needs a higher number.

        Ends the term if there is a new coordinator; otherwise gives the range a higher
        generation number.
        """
        await self.reload_fleet_table()
        if self.is_held(service, holding):
            await self.transfer(service, [ranges.build_same_owner_transfer(holding)])

    # Moves.

    def spawn_unless_moving(
        self, service: str, holdings: Iterable[model.Holding], coroutine: Coroutine
    ) -> None:
        """Run `coroutine` on ranges unless one of them is already being moved."""
        spans = [(item.first, item.last) for item in holdings]
        moving_spans = self.moving.get(service, [])
        if any(
            first <= item[1] and item[0] <= last
            for first, last in spans
            for item in moving_spans
        ):
            coroutine.close()
            return
        self.tasks.spawn(self.await_move(service, spans, coroutine))
        self.mark_moving(service, spans)

    def mark_moving(self, service: str, spans: list[tuple[int, int]]) -> None:
        """Announce to all instances that ranges are being moved."""
        self.moving.setdefault(service, []).extend(spans)
        self._publish_moving()

    def _publish_moving(self) -> None:
        self.directory.moving = {
            service: tuple(spans) for service, spans in self.moving.items() if spans
        }
        self.directory.notify_waiters()
        self.notify_moves_changed()

    async def await_move(
        self, service: str, spans: list[tuple[int, int]], coroutine: Coroutine
    ) -> None:
        """Await `coroutine`, then announce that its ranges are not being moved."""
        try:
            await coroutine
        finally:
            for span in spans:
                self.moving[service].remove(span)
            self._publish_moving()

    async def regrant(
        self,
        service: str,
        target: model.Target,
        holdings: tuple[model.Holding, ...],
    ) -> None:
        """Grant a restarted target the ranges that it owned before."""
        changes = [
            ranges.Transfer(item.first, item.last, target.name, target.life)
            for item in holdings
        ]
        if not await self.transfer_or_pause(service, changes):
            return
        successor = self.get_grant_state(TargetIncarnation(target.name, target.life))
        for item in holdings:
            self.log_previous_incarnation(service, item, target)
        for life in {item.life for item in holdings} - {target.life}:
            previous = self.grant_states.get(TargetIncarnation(target.name, life))
            if previous is not None:
                successor.orders.take_over(previous.orders)
        events.info("target_restarted", target=target.name, life=target.life)
        await self.grant_new(service, target, changes, "")

    def log_previous_incarnation(
        self, service: str, holding: model.Holding, target: model.Target
    ) -> None:
        """Log the outstanding grants of a target's previous incarnation."""
        state = self.grant_states.get(TargetIncarnation(holding.target, holding.life))
        now = self.clock.monotonic()
        grants = outstanding.build_ended(now)
        if state is not None:
            grants = state.orders.outstanding
        time_left = outstanding.compute_time_left(grants, now)
        events.info(
            "ownership_ended",
            service=service,
            target=holding.target,
            life=holding.life,
            first=holding.first,
            last=holding.last,
            generation=holding.generation,
            reason="new_incarnation",
            new_life=target.life,
            state_known=state is not None,
            grants_left=time_left.all_grants,
            unanswered_left=time_left.unanswered,
            inherited_left=time_left.inherited,
        )

    def evacuate(
        self, service: str, holdings: tuple[model.Holding, ...], release: bool
    ) -> None:
        """Start to move all ranges of a target that is leaving or lost.

        With `release`, the owner is first asked to release them; without it, its grants
        must have expired.
        """
        remaining = self.exclude_moving(service, holdings)
        if not remaining or not self.can_move():
            return
        demand = self.get_demand(service)
        capacities = self.get_capacities(service, demand)
        if not capacities:
            return
        ownership = self.directory.ownerships[service]
        totals = planning.sum_rates(ownership.holdings, demand.rates)
        for move in planning.distribute_ranges(
            remaining, demand.rates, capacities, totals
        ):
            self.begin_move(service, move, release)

    def can_move(self) -> bool:
        """Whether the store answered recently enough to record a move."""
        return self.table_feeds.has_recent_answer(MOVE_ANSWER_MAX_AGE)

    def begin_move(self, service: str, move: planning.Move, release: bool) -> None:
        """Start to move one range."""
        holding = self.directory.ownerships[service].find(move.first)
        if holding is None or holding.last < move.last:
            return
        holding = holding._replace(first=move.first, last=move.last)
        self.spawn_unless_moving(
            service, [holding], self.move(service, holding, move.target, release)
        )
        events.info(
            "move_begun",
            service=service,
            first=move.first,
            last=move.last,
            source=move.source,
            target=move.target,
            release=release,
        )

    async def move(
        self, service: str, holding: model.Holding, target: str, release: bool
    ) -> None:
        """Move one range: end its ownership, record the new owner, send the grant."""
        began = self.clock.monotonic()
        handover = await self.end_ownership(service, holding, release)
        destination = self.directory.targets.get(target)
        if destination is None or destination.leaving:
            destination = self.choose_replacement(service)
        if destination is None:
            return
        change = ranges.Transfer(
            holding.first, holding.last, destination.name, destination.life
        )
        if not await self.transfer_or_pause(service, [change]):
            return
        await self.grant_new(service, destination, [change], handover)
        events.info(
            "moved",
            service=service,
            first=holding.first,
            last=holding.last,
            source=holding.target,
            target=destination.name,
            handover=bool(handover),
            lasted=self.clock.monotonic() - began,
        )

    def choose_replacement(self, service: str) -> model.Target | None:
        """Return any target that can own keys."""
        available = self.list_available(service, self.clock.monotonic())
        return available[0] if available else None

    async def end_ownership(
        self, service: str, holding: model.Holding, release: bool
    ) -> str:
        """Wait until the owner can run no more requests; return its hand-over text."""
        if not holding.target:
            return ""
        owner = self.known_targets.get(holding.target)
        orders = self.get_grant_state(
            TargetIncarnation(holding.target, holding.life)
        ).orders
        # A grant in progress may include the range; later ones exclude it.
        async with orders.lock:
            expiry = orders.outstanding.expiry
            late_grants_until = orders.outstanding.late_until
        time_left = outstanding.compute_time_left(
            orders.outstanding, self.clock.monotonic()
        )
        reason, fencing = "expired", "none"
        handover = ""
        if release and owner is not None and owner.life == holding.life:
            if late_grants_until > self.clock.monotonic():
                fenced = await self.fence(service, owner, holding, orders)
                fencing = "accepted" if fenced is not None else "failed"
                if fenced is None:
                    # The fencing grant itself may take effect late.
                    late_grants_until = max(
                        late_grants_until, orders.outstanding.unanswered_until
                    )
                    expiry = max(expiry, orders.outstanding.expiry)
                else:
                    holding = fenced
                    late_grants_until = self.clock.monotonic()
                    expiry = orders.outstanding.expiry
            await self.clock.sleep(min(self.estimate_queue_wait(owner), MAX_QUEUE_WAIT))
            outcome = await orders.release(owner, holding)
            if isinstance(outcome, result.Success):
                handover = outcome.unwrap()
                expiry = late_grants_until
                reason = "released"
            else:
                # Earlier than before if the owner turned out to have ended.
                expiry = min(expiry, orders.outstanding.expiry)
                events.warning(
                    "release_failed",
                    target=holding.target,
                    first=holding.first,
                    last=holding.last,
                    failure=outcome.failure(),
                )
        wait = max(expiry - self.clock.monotonic(), datetime.timedelta())
        await self.clock.sleep(wait)
        if fencing != "accepted":
            wait += await self.await_inherited_grants(orders)
        events.info(
            "ownership_ended",
            service=service,
            target=holding.target,
            life=holding.life,
            first=holding.first,
            last=holding.last,
            generation=holding.generation,
            reason=reason,
            registered_life=owner.life if owner is not None else None,
            fencing=fencing,
            waited=wait,
            handover=bool(handover),
            grants_left=time_left.all_grants,
            unanswered_left=time_left.unanswered,
            inherited_left=time_left.inherited,
        )
        return handover

    async def await_inherited_grants(
        self, orders: target_orders.TargetOrders
    ) -> datetime.timedelta:
        """Wait until grants of the previous coordinator have expired; return how long.

        They may have been extended since a move began.
        """
        began = self.clock.monotonic()
        while orders.outstanding.inherits and not self.adopted:
            await self.clock.sleep(STEP_INTERVAL)
        time_left = orders.outstanding.inherited_until - self.clock.monotonic()
        await self.clock.sleep(max(time_left, datetime.timedelta()))
        return self.clock.monotonic() - began

    async def fence(
        self,
        service: str,
        owner: model.Target,
        holding: model.Holding,
        orders: target_orders.TargetOrders,
    ) -> model.Holding | None:
        """Make the owner reject earlier grants that may still arrive.

        Returns
        -------
        model.Holding or None
            The range with the generation number that the owner has accepted; None if
            the owner did not answer.
        """
        if not await self.transfer(
            service, [ranges.build_same_owner_transfer(holding)]
        ):
            return None
        found = self.directory.ownerships[service].find(holding.first)
        holding = found._replace(first=holding.first, last=holding.last)
        outcome = await orders.grant(owner, holding, "")
        return holding if isinstance(outcome, result.Success) else None

    async def grant_new(
        self,
        service: str,
        target: model.Target,
        changes: Iterable[ranges.Transfer],
        handover: str,
    ) -> None:
        """Send the first grant of ranges that were handed over to a target."""
        for change in changes:
            holding = self.directory.ownerships[service].find(change.first)
            if holding is None or holding.target != target.name:
                continue
            state = self.get_grant_state(TargetIncarnation(target.name, target.life))
            outcome = await state.orders.grant(target, holding, handover)
            if isinstance(outcome, result.Success):
                continue
            state.next_renewal = self.clock.monotonic()
            events.warning(
                "grant_failed",
                target=target.name,
                life=target.life,
                first=holding.first,
                last=holding.last,
                generation=holding.generation,
                failure=outcome.failure(),
            )

    # Planning.

    def list_available(
        self, service: str, now: datetime.timedelta
    ) -> tuple[model.Target, ...]:
        """Return the targets that can own keys."""
        available = []
        for target in self.directory.targets_by_service.get(service, ()):
            state = self.get_grant_state(TargetIncarnation(target.name, target.life))
            eligible = (
                state.avoid_until <= now and state.failures < MAX_RENEWAL_FAILURES
            )
            if eligible and not target.leaving:
                available.append(target)
        return tuple(available)

    def get_capacities(
        self, service: str, demand: demands.Demand
    ) -> dict[str, planning.Capacity]:
        """Return the capacity of each available target."""
        available = self.list_available(service, self.clock.monotonic())
        return {
            target.name: planning.Capacity(
                target.name,
                min(
                    target.slots / demand.service_seconds[target.name],
                    max(demand.limits.get(target.name, math.inf), permits.MIN_RATE),
                ),
            )
            for target in available
        }

    def plan_moves(self) -> None:
        """Determine overloaded targets and start moves that balance the load."""
        now = self.clock.monotonic()
        self.movable_after = {
            moved_key: until
            for moved_key, until in self.movable_after.items()
            if until > now
        }
        self.admitted_fractions = {}
        for service in self.managed_services:
            demand = self.get_demand(service)
            capacities = self.get_capacities(service, demand)
            holdings = self.directory.ownerships[service].holdings
            offered = planning.sum_rates(holdings, demand.rates)
            self.admitted_fractions |= planning.compute_admitted(offered, capacities)
            if self.can_move():
                self.plan_service_moves(service, demand, capacities, now)

    def plan_service_moves(
        self,
        service: str,
        demand: demands.Demand,
        capacities: Mapping[str, planning.Capacity],
        now: datetime.timedelta,
    ) -> None:
        """Start moves that balance the load of one service."""
        moving = self.moving.get(service, [])
        max_concurrent = max(
            MIN_MOVE_LIMIT, int(len(capacities) * MOVE_LIMIT_PER_TARGET)
        )
        max_new_moves = max_concurrent - len(moving)
        if max_new_moves <= 0:
            return
        held = self.exclude_moving(service, self.directory.ownerships[service].holdings)
        recently_moved = frozenset(
            key for name, key in self.movable_after if name == service
        )
        for move in planning.plan_moves(
            held,
            demand.rates,
            capacities,
            max_new_moves,
            demand.window_s,
            recently_moved,
        ):
            if move.first == move.last:
                self.movable_after[service, move.first] = now + HOT_KEY_MOVE_INTERVAL
            self.begin_move(service, move, release=True)

    # The store.

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
            await self.clock.sleep(RETRY_PAUSE)
        return transferred

    async def commit(self, service: str, build: BuildOwnership) -> bool:
        """Write new owners to the store; return false if the write had no effect.

        Changes requested while a transaction is in progress are batched into the next.

        Raises
        ------
        DeposedError
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
            except DeposedError as error:
                for _, committed in batch:
                    if not committed.done():
                        committed.set_exception(error)
                self.deposed = True
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
            outcome = await self.store.commit(
                {
                    directories.COORDINATOR_KEY: self.leadership.version,
                    key: current.version,
                },
                {key: value},
            )
            if isinstance(outcome, result.Success):
                self.record_confirmation(began)
                self.directory.apply_written_row(key, outcome.unwrap(), value)
                return True
            failure = outcome.failure()
            events.warning("commit_failed", service=service, failure=failure)
            if isinstance(failure, errors.RateExceeded | errors.PlatformUnavailable):
                if not uncertain:
                    return False
                await self.clock.sleep(RETRY_PAUSE)
                continue
            uncertain = uncertain or isinstance(failure, errors.AnswerLost)
            await self.reload_fleet_table()
            row = self.directory.rows.get((model.TABLES.fleet, key))
            if row is not None and row.value == value:
                return True
            if self.directory.ownerships.get(service) == current:
                # The read returned older rows than the transaction met.
                await self.clock.sleep(RETRY_PAUSE)

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
