"""Starts the moves that balance the load of targets or empty a target.

`planning` chooses the ranges and their new owners. A move needs the store, so none is
started during an outage.
"""

import datetime
from collections.abc import Callable, Iterable, Mapping

from dewstep_core import clocks, events
from dewstep_fleet import (
    demands,
    directories,
    eligibility,
    feeds,
    grant_states,
    held_ranges,
    model,
    moves,
    planning,
)
from dewstep_fleet.evacuation import emptying, progress

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


def get_move_limit(target_count: int) -> int:
    """Return the limit of concurrent moves in a service."""
    return max(MIN_MOVE_LIMIT, int(target_count * MOVE_LIMIT_PER_TARGET))


class Rebalancer:
    """Starts moves.

    Parameters
    ----------
    directory : directories.Directory
    table_feeds : feeds.TableFeeds
    states : grant_states.GrantStates
    held : held_ranges.HeldRanges
    mover : moves.Mover
    clock : clocks.Clock
    get_demand : callable
        Returns the `Demand` of a service.
    """

    def __init__(
        self,
        directory: directories.Directory,
        table_feeds: feeds.TableFeeds,
        states: grant_states.GrantStates,
        held: held_ranges.HeldRanges,
        mover: moves.Mover,
        clock: clocks.Clock,
        get_demand: Callable[[str], demands.Demand],
    ):
        self.directory = directory
        self.table_feeds = table_feeds
        self.grant_states = states
        self.held = held
        self.mover = mover
        self.clock = clock
        self.get_demand = get_demand
        self.reset()

    def reset(self) -> None:
        """Discard the state of an earlier term."""
        self.movable_after: dict[tuple[str, int], datetime.timedelta] = {}
        """When a key that was moved on its own may be moved again."""
        self.admitted_fractions: dict[str, float] = {}
        """Fraction of its requests that each overloaded target can serve."""
        self.postponed: dict[tuple[str, str], str] = {}
        """Why a target's ranges cannot be moved away yet, by service and target."""
        self.destinations: dict[tuple[str, held_ranges.Span], str] = {}
        """Where the ranges are moved that leave evacuated data centres now, by service
        and range."""

    def can_move(self) -> bool:
        """Whether the store answered recently enough to record a move."""
        return self.table_feeds.has_recent_answer(MOVE_ANSWER_MAX_AGE)

    def get_capacities(
        self, service: str, demand: demands.Demand
    ) -> dict[str, planning.Capacity]:
        """Return the capacity of each available target."""
        available = eligibility.list_available(
            self.directory, self.grant_states, service, self.clock.monotonic()
        )
        return eligibility.compute_capacities(available, demand)

    def evacuate(
        self, service: str, holdings: tuple[model.Holding, ...], release: bool
    ) -> None:
        """Start to move all ranges of a target that is leaving or lost.

        With `release`, the owner is first asked to release them; without it, its grants
        must have expired.
        """
        remaining = self.held.exclude_moving(service, holdings)
        if not remaining:
            return
        source = remaining[0].target
        if not self.can_move():
            self.postpone(service, source, "the store does not answer")
            return
        demand = self.get_demand(service)
        capacities = self.find_destinations(service, source, demand)
        if not capacities:
            return
        ownership = self.directory.ownerships[service]
        totals = planning.sum_rates(ownership.holdings, demand.rates)
        for move in planning.distribute_ranges(
            remaining, demand.rates, capacities, totals
        ):
            self.mover.begin_move(service, move, release)

    def find_destinations(
        self, service: str, source: str, demand: demands.Demand
    ) -> dict[str, planning.Capacity]:
        """Return the capacities of the targets to which a target's ranges can go.

        If there are none, the move is postponed.
        """
        capacities = self.get_capacities(service, demand)
        if capacities:
            self.postponed.pop((service, source), None)
        else:
            self.postpone(service, source, "no target can own keys")
        return capacities

    def empty_data_centres(self, service: str) -> None:
        """Start to move the next ranges out of the evacuated data centres.

        Also out of those outside the regions that are allowed for the service.
        """
        restricted = service in self.directory.regions.service_regions
        if not self.directory.evacuations.current and not restricted:
            self.destinations.clear()
            return
        holdings = self.held.exclude_moving(
            service,
            progress.list_holdings(self.directory, service),
        )
        if not holdings:
            return
        source = holdings[0].target
        if not self.can_move():
            self.postpone(service, source, "the store does not answer")
            return
        moving = self.held.moving.get(service, [])
        targets = self.directory.targets_by_service.get(service, ())
        max_new_moves = get_move_limit(len(targets)) - len(moving)
        if max_new_moves <= 0:
            return
        demand = self.get_demand(service)
        capacities = self.find_destinations(service, source, demand)
        if not capacities:
            return
        totals = self.sum_future_rates(service, demand)
        for move in emptying.choose_moves(
            holdings,
            demand.rates,
            capacities,
            totals,
            max_new_moves,
        ):
            self.destinations[service, (move.first, move.last)] = move.target
            self.mover.begin_move(service, move, release=True)

    def sum_future_rates(
        self, service: str, demand: demands.Demand
    ) -> dict[str, float]:
        """Return the request rate of each target's keys, and of those on the way to it.

        Only ranges that leave an evacuated data centre are followed on their way.
        """
        moving = set(self.held.moving.get(service, ()))
        self.destinations = {
            (name, span): target
            for (name, span), target in self.destinations.items()
            if name != service or span in moving
        }
        ownership = self.directory.ownerships[service]
        totals = planning.sum_rates(ownership.holdings, demand.rates)
        ordered = sorted(demand.rates.items())
        for (name, span), target in self.destinations.items():
            if name == service and ownership.find(span[0]).target != target:
                rate = sum(rate for _, rate in planning.slice_rates(ordered, *span))
                totals[target] = totals.get(target, 0.0) + rate
        return totals

    def postpone(self, service: str, source: str, reason: str) -> None:
        """Log why the ranges of a target stay there for now, once for each reason."""
        if self.postponed.get((service, source)) != reason:
            self.postponed[service, source] = reason
            events.warning(
                "evacuation_postponed", service=service, source=source, reason=reason
            )

    def plan_moves(self, services: Iterable[str]) -> None:
        """Determine overloaded targets and start moves that balance the load."""
        now = self.clock.monotonic()
        self.movable_after = {
            moved_key: until
            for moved_key, until in self.movable_after.items()
            if until > now
        }
        self.admitted_fractions = {}
        for service in services:
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
        moving = self.held.moving.get(service, [])
        max_new_moves = get_move_limit(len(capacities)) - len(moving)
        if max_new_moves <= 0:
            return
        held = self.held.exclude_moving(
            service, self.directory.ownerships[service].holdings
        )
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
            self.mover.begin_move(service, move, release=True)
