"""What the coordinator knows of the grants of each incarnation of a target."""

import datetime
from collections.abc import Callable, Iterable
from typing import NamedTuple

from dewstep_core import clocks
from dewstep_fleet import (
    grant_durations,
    model,
    outstanding,
    reachability,
    renewal,
    target_orders,
    terms,
)


class TargetIncarnation(NamedTuple):
    """One run of a target, from its start to its end."""

    target: str
    incarnation: int


class GrantState:
    """Orders to one incarnation of a target, and whether it answers them."""

    __slots__ = ("all_accepted", "orders", "renewal")

    def __init__(self, orders: target_orders.TargetOrders):
        self.orders = orders
        self.renewal = renewal.Renewal()
        self.all_accepted = False
        """Whether the target accepted all its ranges under this term's generations."""

    @property
    def expiry(self) -> datetime.timedelta:
        """When all grants sent to the incarnation have expired."""
        return self.orders.outstanding.expiry


class GrantStates:
    """The grant states of this term.

    Parameters
    ----------
    channel : model.GrantChannel
    clock : clocks.Clock
    term : terms.CoordinatorTerm
    choose_duration : callable
        Returns the duration of a grant that is sent now.
    """

    def __init__(
        self,
        channel: model.GrantChannel,
        clock: clocks.Clock,
        term: terms.CoordinatorTerm,
        choose_duration: Callable[[], datetime.timedelta],
    ):
        self.channel = channel
        self.clock = clock
        self.term = term
        self.choose_duration = choose_duration
        self.reset()

    def reset(self) -> None:
        """Discard the state of an earlier term."""
        self.states: dict[TargetIncarnation, GrantState] = {}

    def close(self) -> None:
        """Close all connections for grants."""
        for state in self.states.values():
            state.orders.close()

    def find(self, target: str, incarnation: int) -> GrantState | None:
        """Return the state of a target's grants, or None if there is none."""
        return self.states.get(TargetIncarnation(target, incarnation))

    def get_grant_state(self, target_incarnation: TargetIncarnation) -> GrantState:
        """Return the state of a target's grants, creating it if needed."""
        state = self.states.get(target_incarnation)
        if state is None:
            orders = target_orders.TargetOrders(
                self.channel,
                self.clock,
                self.term.leadership.term,
                self.term.may_send_orders,
                self.term.confirm_term,
                self.choose_duration,
            )
            state = self.states[target_incarnation] = GrantState(orders)
        return state

    def get_for(self, target: model.Target) -> GrantState:
        """Return the state of a registered target's grants; see `get_grant_state`."""
        return self.get_grant_state(TargetIncarnation(target.name, target.life))

    def get_owner(self, holding: model.Holding) -> GrantState:
        """Return the state of the grants of a range's owner; see `get_grant_state`."""
        return self.get_grant_state(TargetIncarnation(holding.target, holding.life))

    def reaches_targets(self, targets: Iterable[model.Target]) -> bool:
        """Whether some target answers orders, or too few have been sent to know."""
        failures = [
            state.renewal.failures
            for target in targets
            if (state := self.find(target.name, target.life)) is not None
        ]
        return len(failures) < reachability.MIN_SILENT_TARGETS or 0 in failures

    def get_long_grant_time_left(self) -> datetime.timedelta:
        """Return the longest remaining time of a grant with more than the usual one."""
        now = self.clock.monotonic()
        usual = outstanding.record_sending(
            outstanding.build_ended(now), now, grant_durations.GRANT_DURATION
        )
        return max(
            (
                state.expiry - now
                for state in self.states.values()
                if state.expiry > usual.expiry
            ),
            default=datetime.timedelta(),
        )
