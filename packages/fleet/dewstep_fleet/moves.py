"""Moves ranges between targets, and from a target to its next incarnation.

A range is granted to another target only after its owner released it with no unanswered
grant outstanding, or after all grants sent to the owner have expired, or after its
owner was found to have ended; `ownership_ends` computes when that is. The new owner is
recorded in the store before the first grant is sent to it. A write may take seconds, so
whether the new owner may own keys is decided again after it.
"""

import datetime
from collections.abc import Callable, Coroutine, Iterable

from returns import result

from dewstep_core import clocks, events, tasks
from dewstep_fleet import (
    adoption,
    directories,
    eligibility,
    grant_states,
    held_ranges,
    model,
    outstanding,
    ownership_ends,
    ownership_writes,
    planning,
    ranges,
    renewal,
    target_orders,
)

MAX_QUEUE_WAIT = datetime.timedelta(milliseconds=300)
"""Maximum wait before a release for queued requests to start, because the release
removes them from the target's queue."""


class Mover:
    """Moves ranges.

    Parameters
    ----------
    directory : directories.Directory
    states : grant_states.GrantStates
    held : held_ranges.HeldRanges
    writer : ownership_writes.OwnershipWriter
    taking_over : adoption.Adoption
        Knows until when the previous coordinator's grants have to be awaited.
    clock : clocks.Clock
    task_owner : tasks.TaskOwner
    estimate_queue_wait : callable
        Returns the expected queueing time at a target.
    """

    def __init__(
        self,
        directory: directories.Directory,
        states: grant_states.GrantStates,
        held: held_ranges.HeldRanges,
        writer: ownership_writes.OwnershipWriter,
        taking_over: adoption.Adoption,
        clock: clocks.Clock,
        task_owner: tasks.TaskOwner,
        estimate_queue_wait: Callable[[model.Target], datetime.timedelta],
    ):
        self.directory = directory
        self.grant_states = states
        self.held = held
        self.writer = writer
        self.adoption = taking_over
        self.clock = clock
        self.tasks = task_owner
        self.estimate_queue_wait = estimate_queue_wait
        self.reset()

    def reset(self) -> None:
        """Discard the state of an earlier term."""
        self.known_targets: dict[str, model.Target] = {}
        """All targets of this term by name, also those that are gone."""

    # Start and end of a move.

    def spawn_unless_moving(
        self, service: str, holdings: Iterable[model.Holding], coroutine: Coroutine
    ) -> None:
        """Run `coroutine` on ranges unless one of them is already being moved."""
        spans = held_ranges.list_spans(holdings)
        if self.held.has_moving(service, spans):
            coroutine.close()
            return
        self.tasks.spawn(self.await_move(service, spans, coroutine))
        self.held.mark_moving(service, spans)

    async def await_move(
        self, service: str, spans: tuple[held_ranges.Span, ...], coroutine: Coroutine
    ) -> None:
        """Await `coroutine`, then announce that its ranges are not being moved."""
        try:
            await coroutine
        finally:
            self.held.unmark_moving(service, spans)

    # To the next incarnation of a target.

    def begin_regrant(
        self,
        service: str,
        target: model.Target,
        holdings: tuple[model.Holding, ...],
    ) -> None:
        """Start to grant a restarted target the ranges that it owned before."""
        self.spawn_unless_moving(
            service, holdings, self.regrant(service, target, holdings)
        )

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
        if not await self.writer.transfer_or_pause(service, changes):
            return
        successor = self.grant_states.get_for(target)
        for item in holdings:
            self.log_previous_incarnation(service, item, target)
        for life in {item.life for item in holdings} - {target.life}:
            previous = self.grant_states.find(target.name, life)
            if previous is not None:
                successor.orders.take_over(previous.orders)
        events.info("target_restarted", target=target.name, life=target.life)
        await self.grant_new(service, target, changes, "")

    def log_previous_incarnation(
        self, service: str, holding: model.Holding, target: model.Target
    ) -> None:
        """Log the outstanding grants of a target's previous incarnation."""
        state = self.grant_states.find(holding.target, holding.life)
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

    # To another target.

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
        destination = await self.record_new_owner(service, holding, target)
        if destination is None:
            return
        change = build_transfer(holding, destination)
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

    async def record_new_owner(
        self, service: str, holding: model.Holding, target: str
    ) -> model.Target | None:
        """Record a range's new owner in the store, preferably `target`.

        Returns
        -------
        model.Target or None
            An owner that could get keys after the write; None if there is none.
        """
        while True:
            destination = self.directory.targets.get(target)
            if destination is None or self.directory.is_withdrawn(destination):
                destination = self.choose_replacement(service)
            if destination is None:
                self.log_abandoned(service, holding, target, "no target can own keys")
                return None
            change = build_transfer(holding, destination)
            if not await self.writer.transfer_or_pause(service, [change]):
                self.log_abandoned(
                    service, holding, target, "not recorded in the store"
                )
                return None
            if self.is_available(destination):
                return destination

    def is_available(self, target: model.Target) -> bool:
        """Whether a target is still registered, not leaving and not evacuated."""
        registered = self.directory.targets.get(target.name)
        return (
            registered is not None
            and registered.life == target.life
            and not self.directory.is_withdrawn(registered)
        )

    def log_abandoned(
        self, service: str, holding: model.Holding, target: str, reason: str
    ) -> None:
        """Log a move that ends without a new owner, so that a later step repeats it."""
        events.warning(
            "move_abandoned",
            service=service,
            first=holding.first,
            last=holding.last,
            source=holding.target,
            target=target,
            reason=reason,
        )

    def choose_replacement(self, service: str) -> model.Target | None:
        """Return any target that can own keys."""
        available = eligibility.list_available(
            self.directory, self.grant_states, service, self.clock.monotonic()
        )
        return available[0] if available else None

    async def end_ownership(
        self, service: str, holding: model.Holding, release: bool
    ) -> str:
        """Wait until the owner can run no more requests; return its hand-over text."""
        if not holding.target:
            return ""
        owner = self.known_targets.get(holding.target)
        orders = self.grant_states.get_owner(holding).orders
        # A grant in progress may include the range; later ones exclude it.
        async with orders.lock:
            end = ownership_ends.build_unreleased(orders.outstanding)
        time_left = outstanding.compute_time_left(
            orders.outstanding, self.clock.monotonic()
        )
        handover = ""
        if release and owner is not None and owner.life == holding.life:
            if end.late_until > self.clock.monotonic():
                fenced = await self.fence(service, owner, holding, orders)
                if fenced is None:
                    end = ownership_ends.record_unanswered_fence(
                        end, orders.outstanding
                    )
                else:
                    holding = fenced
                    end = ownership_ends.record_accepted_fence(
                        end, orders.outstanding, self.clock.monotonic()
                    )
            await self.clock.sleep(min(self.estimate_queue_wait(owner), MAX_QUEUE_WAIT))
            outcome = await orders.release(owner, holding)
            if isinstance(outcome, result.Success):
                handover = outcome.unwrap()
                end = ownership_ends.record_release(end)
            else:
                end = ownership_ends.record_failed_release(end, orders.outstanding)
                events.warning(
                    "release_failed",
                    target=holding.target,
                    first=holding.first,
                    last=holding.last,
                    failure=outcome.failure(),
                )
        wait = await self.await_end(end, orders)
        events.info(
            "ownership_ended",
            service=service,
            target=holding.target,
            life=holding.life,
            first=holding.first,
            last=holding.last,
            generation=holding.generation,
            reason=end.reason,
            registered_life=owner.life if owner is not None else None,
            fencing=end.fencing,
            waited=wait,
            handover=bool(handover),
            grants_left=time_left.all_grants,
            unanswered_left=time_left.unanswered,
            inherited_left=time_left.inherited,
        )
        return handover

    async def await_end(
        self, end: ownership_ends.OwnershipEnd, orders: target_orders.TargetOrders
    ) -> datetime.timedelta:
        """Wait for the end of an ownership; return how long."""
        wait = ownership_ends.compute_wait(end, self.clock.monotonic())
        await self.clock.sleep(wait)
        if not end.is_fenced:
            wait += await self.adoption.await_inherited_grants(orders)
        return wait

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
        if not await self.writer.transfer(
            service, [ranges.build_same_owner_transfer(holding)]
        ):
            return None
        found = self.directory.ownerships[service].find(holding.first)
        holding = found._replace(first=holding.first, last=holding.last)
        outcome = await orders.grant(owner, holding, "", on_new_connection=True)
        return holding if isinstance(outcome, result.Success) else None

    async def grant_new(
        self,
        service: str,
        target: model.Target,
        changes: Iterable[ranges.Transfer],
        handover: str,
    ) -> None:
        """Send the first grant of ranges that were handed over to a target.

        If it is leaving or evacuated by now, it is granted nothing, and its ranges are
        moved away.
        """
        for change in changes:
            holding = self.directory.ownerships[service].find(change.first)
            if holding is None or holding.target != target.name:
                continue
            if not self.is_available(target):
                return
            state = self.grant_states.get_for(target)
            outcome = await state.orders.grant(target, holding, handover)
            if isinstance(outcome, result.Success):
                continue
            state.renewal = renewal.renew_at_once(state.renewal, self.clock.monotonic())
            events.warning(
                "grant_failed",
                target=target.name,
                life=target.life,
                first=holding.first,
                last=holding.last,
                generation=holding.generation,
                failure=outcome.failure(),
            )


def build_transfer(holding: model.Holding, owner: model.Target) -> ranges.Transfer:
    """Return the transfer of a range to another owner."""
    return ranges.Transfer(holding.first, holding.last, owner.name, owner.life)
