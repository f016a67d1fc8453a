"""Planning of moves that balance the load of running targets.

Loads are compared with the lower bound, `Ledger.compute_lower_bound`. A target whose
load per slot exceeds `TRIGGER_RATIO` times the bound is unloaded to `GOAL_RATIO` times
the bound, and no other target is filled beyond that. Three things prevent oscillation:
the gap between the two ratios, the minimum interval between moves of one unit, and the
gap between the loads at which a key is lifted and returned.

Hot keys are moved before shards, because a lift moves one key, whereas the move of a
shard moves thousands. A key may also be moved to a target without enough free capacity
if the excess load is smaller there than at the present owner; the excess is moved to
other targets in the same plan.
"""

import bisect
import datetime
from collections.abc import Iterable, Mapping, Sequence

from dewstep_core import data, ledger

# Load per slot, relative to the lower bound, above which a target is unloaded, and down
# to which it is. The objective is that no target stays above 1.10. The margins cover
# the noise of loads counted over 20 s and the size of one of 1,024 shards on 20
# targets, each about 2 % of a target's load. A trigger ratio of 1.06 leads to twice as
# many moves under constant load.
TRIGGER_RATIO = 1.08
GOAL_RATIO = 1.03

MINIMUM_MOVE_INTERVAL = datetime.timedelta(seconds=30)
"""Minimum time between two moves of the same shard or key."""

# Loads above which a key may be lifted and below which it is returned, as fractions of
# the mean load of a target.
MINIMUM_LIFT_LOAD_RATIO = 0.02
MAXIMUM_RETURN_LOAD_RATIO = 0.005
# Every process reads the row that contains the overrides.
MAXIMUM_OVERRIDES = 256

# Requests for a shard are refused for some milliseconds while it is moved. The number
# of moves in a plan is therefore limited in proportion to the number of targets, but
# not below the minimum.
MAXIMUM_MOVES_PER_TARGET = 4
MINIMUM_MOVE_LIMIT = 16


class Plan:
    """The moves planned so far, and the state from which more are planned.

    Parameters
    ----------
    load_ledger : ledger.Ledger
        Loads, updated with each planned move.
    now : datetime.timedelta
        Current time, on the clock of `move_times`.
    move_times : mapping of (int or str) to datetime.timedelta
        Time of the last move of each shard (by number) and key.
    """

    def __init__(
        self,
        load_ledger: ledger.Ledger,
        now: datetime.timedelta,
        move_times: Mapping[int | str, datetime.timedelta],
    ):
        self.load_ledger = load_ledger
        self.now = now
        self.move_times = move_times
        self.bound = load_ledger.compute_lower_bound()
        self.mean = sum(load_ledger.loads.values()) / len(load_ledger.loads)
        self.free_capacities = ledger.FreeCapacityHeap(
            load_ledger, GOAL_RATIO * self.bound
        )
        self.moves: list[ledger.Move] = []
        self.moved: set[int | str] = set()
        self.limit = max(
            MINIMUM_MOVE_LIMIT, MAXIMUM_MOVES_PER_TARGET * len(load_ledger.loads)
        )

    def is_full(self) -> bool:
        """Return whether the plan has reached its limit of moves."""
        return len(self.moves) >= self.limit

    def may_move(self, subject: int | str) -> bool:
        """Return whether a unit is not in the plan and its last move is old enough."""
        last = self.move_times.get(subject)
        interval_passed = last is None or self.now - last >= MINIMUM_MOVE_INTERVAL
        return interval_passed and subject not in self.moved

    def may_lift(self, key: str) -> bool:
        """Return whether the override of a key may be set or changed."""
        overrides = self.load_ledger.overrides
        has_room = key in overrides or len(overrides) < MAXIMUM_OVERRIDES
        return has_room and self.may_move(key)

    def add_move(self, move: ledger.Move) -> None:
        """Add a move that has been applied to the ledger."""
        self.moves.append(move)
        self.moved.add(move.subject)
        for name in (move.source, move.destination):
            if name in self.load_ledger.loads:
                self.free_capacities.update_target(name)

    def is_overloaded(self, name: str, ratio: float) -> bool:
        """Return whether a target's load per slot exceeds `ratio` times the bound."""
        return self.load_ledger.compute_load_per_slot(name) > ratio * self.bound


def plan_moves(
    assignment: data.Assignment,
    shard_loads: Sequence[float],
    key_loads: Mapping[str, float],
    targets: Iterable[data.Target],
    now: datetime.timedelta,
    move_times: Mapping[int | str, datetime.timedelta],
    capacity_factors: Mapping[str, float] | None = None,
) -> tuple[ledger.Move, ...]:
    """Return moves that unload the busiest targets while moving few keys.

    Parameters
    ----------
    assignment : data.Assignment
        Present owners.
    shard_loads : sequence of float
        Load of each shard, without the keys lifted out of it.
    key_loads : mapping of str to float
        Load of each hot key, lifted or not. The loads of keys that are not lifted are
        included in `shard_loads`. A lifted key without an entry has load 0.
    targets : iterable of data.Target
        Targets that may own keys. Units of other owners are not moved.
    now : datetime.timedelta
        Current time, on the clock of `move_times`.
    move_times : mapping of (int or str) to datetime.timedelta
        Time of the last move of each shard (by number) and key.
    capacity_factors : mapping of str to float, optional
        Fraction of its slots that a target may use, 1 if absent.

    Returns
    -------
    tuple of ledger.Move
        In the order in which to carry them out; empty if nothing needs to move.
    """
    capacities = ledger.compute_capacities(
        targets, assignment.service, capacity_factors or {}
    )
    if not capacities:
        return ()
    load_ledger = ledger.Ledger(assignment, shard_loads, key_loads, capacities)
    plan = Plan(load_ledger, now, move_times)
    if plan.bound <= 0:
        return ()
    return_cold_keys(plan)
    unload_overloaded_targets(plan)
    return tuple(plan.moves)


def return_cold_keys(plan: Plan) -> None:
    """Return lifted keys that are no longer hot to their shards."""
    load_ledger = plan.load_ledger
    for key in sorted(load_ledger.overrides):
        load = load_ledger.key_loads.get(key, 0.0)
        owner = load_ledger.owners[load_ledger.find_shard(key)]
        if (
            load >= MAXIMUM_RETURN_LOAD_RATIO * plan.mean
            or owner not in load_ledger.loads
        ):
            continue
        same_owner = load_ledger.overrides[key] == owner
        fits = same_owner or load <= max(
            0.0, plan.free_capacities.compute_free_capacity(owner)
        )
        if fits and plan.may_move(key) and not plan.is_full():
            plan.add_move(load_ledger.return_key(key))


def unload_overloaded_targets(plan: Plan) -> None:
    """Unload the targets above `TRIGGER_RATIO`, the busiest first.

    A target that becomes overloaded by a hot key moved to it is unloaded in a later
    iteration.
    """
    done: set[str] = set()
    while not plan.is_full():
        pending = [
            name
            for name in plan.load_ledger.loads
            if name not in done and plan.is_overloaded(name, TRIGGER_RATIO)
        ]
        if not pending:
            return
        name = max(
            pending,
            key=lambda name: (plan.load_ledger.compute_load_per_slot(name), name),
        )
        # A key may have been moved to a target that was unloaded before, which is then
        # unloaded again. The loop ends, because each key moves once in a plan.
        done -= lift_keys(plan, name)
        move_shards(plan, name)
        done.add(name)


def lift_keys(plan: Plan, name: str) -> set[str]:
    """Lift hot keys from a target while that reduces the load of shards to move.

    Returns
    -------
    set of str
        Targets that received a key.
    """
    load_ledger, free_capacities, receivers = (
        plan.load_ledger,
        plan.free_capacities,
        set(),
    )
    minimum_load = MINIMUM_LIFT_LOAD_RATIO * plan.mean
    while plan.is_overloaded(name, GOAL_RATIO) and not plan.is_full():
        receiver, free_load = free_capacities.find_freest_target()
        excess = -free_capacities.compute_free_capacity(name)
        # The receiver must not become busier than the present owner, because it may
        # own only units that cannot be moved: hot keys and recently moved ones.
        maximum_load = (
            load_ledger.compute_load_per_slot(name) * load_ledger.capacities[receiver]
            - load_ledger.loads[receiver]
        )
        # By how much a lift reduces the total excess load of the two targets.
        savings = [
            (excess - max(0.0, excess - load) - max(0.0, load - free_load), -load, key)
            for load, key in load_ledger.key_units[name]
            if minimum_load <= load <= maximum_load and plan.may_lift(key)
        ]
        saving, _, key = max(savings, default=(0.0, 0.0, ""))
        if receiver == name or saving < minimum_load:
            break
        plan.add_move(load_ledger.lift_key(key, receiver))
        receivers.add(receiver)
    return receivers


def move_shards(plan: Plan, name: str) -> None:
    """Move shards from a target to those with the most free capacity."""
    load_ledger, free_capacities = plan.load_ledger, plan.free_capacities
    while plan.is_overloaded(name, GOAL_RATIO) and not plan.is_full():
        receiver, free_load = free_capacities.find_freest_target()
        excess = -free_capacities.compute_free_capacity(name)
        unit = choose_unit(load_ledger.shard_units[name], excess, free_load, plan)
        if receiver == name or unit is None:
            return
        plan.add_move(load_ledger.move_shard(unit.subject, receiver))


def choose_unit(
    units: list[ledger.Unit], excess: float, free_load: float, plan: Plan
) -> ledger.Unit | None:
    """Return the lightest unit that covers the excess, or else the heaviest that fits.

    The lightest one leaves the receiver the most free capacity.

    Parameters
    ----------
    units : list of ledger.Unit
        Shards of the overloaded target, ordered by load.
    excess : float
        Load that has to be moved from the overloaded target.
    free_load : float
        Free capacity of the receiver.
    plan : Plan
        Decides which units may move.
    """
    end = bisect.bisect_right(units, free_load, key=lambda unit: unit.load)
    sufficient = bisect.bisect_left(units, excess, hi=end, key=lambda unit: unit.load)
    for unit in units[sufficient:end]:
        if plan.may_move(unit.subject):
            return unit
    for unit in reversed(units[:sufficient]):
        if unit.load > 0 and plan.may_move(unit.subject):
            return unit
    return None
