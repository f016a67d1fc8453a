"""Sends the renewals of the ranges that targets own; `renewal` decides when."""

from typing import Any

from returns import result

from dewstep_core import clocks, events, tasks
from dewstep_fleet import (
    grant_states,
    held_ranges,
    model,
    ownership_writes,
    ranges,
    registrations,
    renewal,
    target_orders,
    terms,
)


class Renewer:
    """Renews the ranges of targets.

    Parameters
    ----------
    term : terms.CoordinatorTerm
    states : grant_states.GrantStates
    held : held_ranges.HeldRanges
    writer : ownership_writes.OwnershipWriter
    clock : clocks.Clock
    task_owner : tasks.TaskOwner
    """

    def __init__(
        self,
        term: terms.CoordinatorTerm,
        states: grant_states.GrantStates,
        held: held_ranges.HeldRanges,
        writer: ownership_writes.OwnershipWriter,
        clock: clocks.Clock,
        task_owner: tasks.TaskOwner,
    ):
        self.term = term
        self.grant_states = states
        self.held = held
        self.writer = writer
        self.clock = clock
        self.tasks = task_owner

    async def renew(
        self, service: str, target: model.Target, state: grant_states.GrantState
    ) -> None:
        """Renew each range that a target owns."""
        try:
            began = self.clock.monotonic()
            owned = self.held.list_owned(service, target.name)
            held = self.held.exclude_moving(service, owned)
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
                    for holding in self.held.list_owned(service, target.name)
                }
            )
        finally:
            state.renewal = renewal.end(state.renewal)

    async def renew_holding(
        self, service: str, target: model.Target, holding: model.Holding
    ) -> result.Result[None, Any]:
        """Renew one range and record whether the target answers."""
        state = self.grant_states.get_for(target)
        outcome = await state.orders.grant(
            target, holding, "", lambda: self.held.is_held(service, holding)
        )
        if isinstance(outcome, result.Success):
            if outcome.unwrap() is not target_orders.SKIPPED:
                self.log_recovery(target, holding, state.renewal)
                state.renewal = renewal.record_answer(state.renewal)
            return outcome
        failure = outcome.failure()
        now = self.clock.monotonic()
        if isinstance(failure, model.TermUnconfirmed):
            state.renewal = renewal.postpone(state.renewal, now)
            return outcome
        state.renewal = renewal.record_failure(state.renewal, failure, now)
        events.warning(
            "grant_failed",
            target=target.name,
            life=target.life,
            first=holding.first,
            last=holding.last,
            generation=holding.generation,
            failures=state.renewal.failures,
            failure=failure,
        )
        if renewal.needs_higher_number(failure):
            self.tasks.spawn(self.renumber(service, holding))
        state.renewal = renewal.judge_failure(state.renewal)
        return outcome

    def log_recovery(
        self, target: model.Target, holding: model.Holding, state: renewal.Renewal
    ) -> None:
        """Log that a target answers again after failures."""
        if not state.failures:
            return
        events.info(
            "target_answers_again",
            target=target.name,
            life=target.life,
            address=registrations.format_address(target),
            generation=holding.generation,
            failures=state.failures,
            failing_for=self.clock.monotonic() - state.failing_since,
            last_failure=state.last_failure,
        )

    async def renumber(self, service: str, holding: model.Holding) -> None:
        """Read the store after a renewal that needs a higher number.

        Ends the term if there is a new coordinator; otherwise gives the range a higher
        generation number.
        """
        await self.term.reload_fleet_table()
        if self.held.is_held(service, holding):
            await self.writer.transfer(
                service, [ranges.build_same_owner_transfer(holding)]
            )
