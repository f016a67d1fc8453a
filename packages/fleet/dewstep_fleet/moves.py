"""Moves ranges between targets, and from a target to its next incarnation.

A range is granted to another target only after its owner released it with no unanswered
grant outstanding, or after all grants sent to the owner have expired, or after its
owner was found to have ended; `ownership_ends` computes when that is. The new owner is
recorded in the store before the first grant is sent to it. A write may take seconds, so
whether the new owner may own keys is decided again after it.
"""

import asyncio
import datetime
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

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
            end, holding = await self.fence_late_grants(
                service, owner, holding, orders, end
            )
            await self.clock.sleep(min(self.estimate_queue_wait(owner), MAX_QUEUE_WAIT))
            outcome = await self.release_unless_expired(owner, holding, orders, end)
            if outcome is None:
                events.warning(
                    "release_abandoned",
                    target=holding.target,
                    first=holding.first,
                    last=holding.last,
                )
            elif isinstance(outcome, result.Success):
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

    async def fence_late_grants(
        self,
        service: str,
        owner: model.Target,
        holding: model.Holding,
        orders: target_orders.TargetOrders,
        end: ownership_ends.OwnershipEnd,
    ) -> tuple[ownership_ends.OwnershipEnd, model.Holding]:
        """Make the owner reject earlier grants that may still arrive, if there are any.

        Orders to a target are sent one after the other, each with its own time-out, so
        an unreachable owner of many ranges would delay the fence of the last one by
        seconds. A fence that is not sent by the time from which on no grant can arrive
        any more is therefore not sent at all.

        Returns
        -------
        tuple
            The end of the ownership as it is known then, and the range with the number
            that the owner has accepted last.
        """
        if end.late_until <= self.clock.monotonic():
            return end, holding
        if not await self.writer.transfer(
            service, [ranges.build_same_owner_transfer(holding)]
        ):
            return ownership_ends.record_unanswered_fence(
                end, orders.outstanding
            ), holding
        found = self.directory.ownerships[service].find(holding.first)
        fencing = found._replace(first=holding.first, last=holding.last)
        outcome = await orders.grant(
            owner,
            fencing,
            "",
            lambda: self.clock.monotonic() < end.late_until,
            on_new_connection=True,
        )
        if isinstance(outcome, result.Failure):
            return ownership_ends.record_unanswered_fence(
                end, orders.outstanding
            ), holding
        if outcome.unwrap() is target_orders.SKIPPED:
            return end, holding
        accepted = ownership_ends.record_accepted_fence(
            end, orders.outstanding, self.clock.monotonic()
        )
        return accepted, fencing

    async def release_unless_expired(
        self,
        owner: model.Target,
        holding: model.Holding,
        orders: target_orders.TargetOrders,
        end: ownership_ends.OwnershipEnd,
    ) -> result.Result[str, Any] | None:
        """Let the owner release a range; return None once its grants have expired.

        An owner that cannot be reached answers nothing until the time-out of a release,
        which would leave its keys without an owner for as long. Grants that a previous
        coordinator may still send have no known expiry, so the release is awaited.
        """
        if orders.outstanding.inherits:
            return await orders.release(owner, holding)
        release = asyncio.ensure_future(orders.release(owner, holding))
        wait = ownership_ends.compute_wait(end, self.clock.monotonic())
        expiry = asyncio.ensure_future(self.clock.sleep(wait))
        try:
            await asyncio.wait({release, expiry}, return_when=asyncio.FIRST_COMPLETED)
            return release.result() if release.done() else None
        finally:
            release.cancel()
            expiry.cancel()

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
