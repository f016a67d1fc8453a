"""Grants key ranges to their owners and moves ranges between targets.

Only the coordinator does this. Four rules prevent two targets from owning the same key:

- Before the first grant with a new generation number, a transaction checks the
  coordinator's row, so a deposed coordinator cannot record new owners (see `terms` and
  `ownership_writes`).
- An order reaches the process for which it is meant, or nobody (see `target_orders`).
- A range is granted to another target only after its ownership has ended (see `moves`
  and `ownership_ends`).
- A new coordinator gives all ranges new generation numbers and waits for the grants of
  the previous one (see `adoption`).

This module puts the parts together and determines the order of the work.
"""

import datetime
from collections.abc import Callable

from dewstep_core import clocks, events, tasks
from dewstep_fleet import (
    adoption,
    demands,
    directories,
    feeds,
    grant_durations,
    grant_states,
    held_ranges,
    model,
    moves,
    ownership_writes,
    ranges,
    rebalancing,
    renewal,
    renewal_orders,
    terms,
)

PLAN_INTERVAL = datetime.timedelta(milliseconds=250)


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
        Whether most instances know of grants longer than usual.
    get_demand : callable
        Returns the `Demand` of a service.
    estimate_queue_wait : callable
        Returns the expected queueing time at a target.
    get_inherited_grant_time_left : callable
        Returns the longest remaining time of the previous coordinator's grants that
        were longer than usual.
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
        self.clock = clock
        self.timing = timing
        self.may_send_long_grants = may_send_long_grants
        self.tasks = tasks.TaskOwner(self.handle_task_failure)
        self.term = terms.CoordinatorTerm(
            directory,
            store_feeds,
            store,
            clock,
            self.tasks,
            can_lead_without_store,
            is_followed,
            can_connect_without_store,
            lambda: self.adoption.keep_known_owners(),
            lambda: self.adoption.write_again(),
        )
        self.durations = grant_durations.GrantDurations(
            lambda: self.timing.max_grant_duration,
            self.may_grants_be_long,
            lambda: self.term.leadership.term,
        )
        self.grant_states = grant_states.GrantStates(
            channel, clock, self.term, self.durations.choose_next
        )
        self.held = held_ranges.HeldRanges(directory, notify_moves_changed)
        self.writer = ownership_writes.OwnershipWriter(
            directory, self.term, clock, self.tasks
        )
        self.renewer = renewal_orders.Renewer(
            self.term, self.grant_states, self.held, self.writer, clock, self.tasks
        )
        self.adoption = adoption.Adoption(
            directory,
            store_feeds,
            self.term,
            self.grant_states,
            self.writer,
            clock,
            self.tasks,
            is_adopted,
            get_inherited_grant_time_left,
        )
        self.mover = moves.Mover(
            directory,
            self.grant_states,
            self.held,
            self.writer,
            self.adoption,
            clock,
            self.tasks,
            estimate_queue_wait,
        )
        self.rebalancer = rebalancing.Rebalancer(
            directory,
            store_feeds,
            self.grant_states,
            self.held,
            self.mover,
            clock,
            get_demand,
        )
        self.planned_at = clock.monotonic()

    def reset(self) -> None:
        """Discard the state of an earlier term."""
        self.term.reset()
        self.durations.reset()
        self.grant_states.reset()
        self.held.reset()
        self.writer.reset()
        self.adoption.reset()
        self.mover.reset()
        self.rebalancer.reset()
        self.planned_at = self.clock.monotonic()

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
        self.term.term_confirmed_at = claimed_at
        try:
            while not self.term.deposed:
                change_count = self.directory.change_count
                self.step()
                await self.directory.wait_change(
                    change_count, terms.STEP_INTERVAL.total_seconds()
                )
        finally:
            self.tasks.cancel()
            self.grant_states.close()
            self.directory.moving = {}

    def handle_task_failure(self, error: BaseException, task: str) -> None:
        """End the term on a `DeposedError`; log any other failure of a task."""
        if isinstance(error, terms.DeposedError):
            self.term.deposed = True
        else:
            events.exception("granting_failed", error, task=task)

    def step(self) -> None:
        """Start all work that is due."""
        now = self.clock.monotonic()
        self.term.confirm_regularly(now)
        self.adoption.extend_inherited_grants()
        self.mover.known_targets.update(self.directory.targets)
        if self.directory.routes is None or not self.term.may_send_orders():
            return
        for service in self.directory.routes.services.values():
            if service.keyed:
                self.step_service(service.name, now)
        if now - self.planned_at >= PLAN_INTERVAL:
            self.planned_at = now
            self.rebalancer.plan_moves(self.adoption.managed_services)

    def step_service(self, service: str, now: datetime.timedelta) -> None:
        """Start the work that is due for one service."""
        if service not in self.adoption.managed_services:
            self.adoption.start_managing(service, now)
            return
        ownership = self.directory.ownerships[service]
        owners = ranges.group_by_target(ownership)
        for target, holdings in owners.items():
            self.renew_or_evacuate(service, target, holdings, now)
        self.rebalancer.empty_data_centres(service)

    def renew_or_evacuate(
        self,
        service: str,
        target: str,
        holdings: tuple[model.Holding, ...],
        now: datetime.timedelta,
    ) -> None:
        """Renew a target's ranges, or start to move them if it is leaving or lost.

        Those of an evacuated target are renewed until it is their turn to be moved, see
        `rebalancing.Rebalancer.empty_data_centres`.
        """
        registered = self.directory.targets.get(target)
        incarnations = {holding.life for holding in holdings}
        match renewal.compare_registration(registered, service, incarnations):
            case renewal.Registration.GONE:
                self.rebalancer.evacuate(service, holdings, release=True)
            case renewal.Registration.OUTDATED:
                owner = self.grant_states.get_grant_state(
                    grant_states.TargetIncarnation(target, max(incarnations))
                )
                if now >= owner.expiry:
                    self.rebalancer.evacuate(service, holdings, release=False)
            case renewal.Registration.RESTARTED if self.directory.is_withdrawn(
                registered
            ):
                # It gets no keys; the earlier incarnation needs no renewal.
                return
            case renewal.Registration.RESTARTED:
                self.mover.begin_regrant(service, registered, holdings)
            case renewal.Registration.CURRENT:
                self.renew_registered(service, registered, holdings, now)

    def renew_registered(
        self,
        service: str,
        target: model.Target,
        holdings: tuple[model.Holding, ...],
        now: datetime.timedelta,
    ) -> None:
        """Renew the ranges of a registered owner, or move them if it is lost."""
        state = self.grant_states.get_for(target)
        match renewal.choose_step(state.renewal, state.expiry, now):
            case renewal.Step.EVACUATE:
                state.renewal = renewal.record_loss(state.renewal, now)
                events.warning(
                    "target_unresponsive", target=target.name, service=service
                )
                self.rebalancer.evacuate(service, holdings, release=False)
            case renewal.Step.RENEW:
                state.renewal = renewal.begin(state.renewal, now)
                self.tasks.spawn(self.renewer.renew(service, target, state))

    def may_grants_be_long(self) -> bool:
        """Whether grants may be longer than usual, as the store has been lost."""
        lost = not self.table_feeds.has_recent_answer(grant_durations.OUTAGE_THRESHOLD)
        return lost and self.may_send_long_grants()

    # What the instance has to know of the term.

    @property
    def leadership(self) -> directories.Leadership:
        """The coordinator's row of this term."""
        return self.term.leadership

    @property
    def adopted(self) -> bool:
        """Whether the previous coordinator cannot lead without the store any more."""
        return self.adoption.adopted

    @property
    def admitted_fractions(self) -> dict[str, float]:
        """Fraction of its requests that each overloaded target can serve."""
        return self.rebalancer.admitted_fractions

    def is_term_confirmed(self) -> bool:
        """Whether the store has recently confirmed the term in a transaction."""
        return self.term.is_term_confirmed()

    def knows_owners(self) -> bool:
        """Whether this instance knows the valid grants of all earlier eras."""
        return self.adoption.knows_owners()

    def reaches_targets(self) -> bool:
        """Whether some target answers orders, or too few have been sent to know."""
        return self.grant_states.reaches_targets(self.directory.targets.values())

    def get_long_grant_time_left(self) -> datetime.timedelta:
        """Return the longest remaining time of a grant with more than the usual one."""
        return self.grant_states.get_long_grant_time_left()
