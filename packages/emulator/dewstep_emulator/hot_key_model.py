"""Simulation of a service whose hot keys change, with plans based on noisy rates.

Each shard has a constant rate of requests for cold keys. In addition there are 34 hot
keys, whose rates decrease with their rank. The planner gets rates with Poisson noise,
as counted over some seconds; its plans are evaluated with the true rates.
"""

import datetime
import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from dewstep_core import data, hashing, ledger, placement

HOT_KEY_COUNT = 34
RANK_EXPONENT = 0.9
"""The rate of the hot key of rank n is that of the hottest key / n ** RANK_EXPONENT."""
SHARD_SHAPE = 4.0
"""Shape of the gamma distribution of the cold rates of shards."""
PLAN_INTERVAL = datetime.timedelta(seconds=10)
COUNT_SECONDS = 20.0
"""Time over which the planner's rates are counted."""


class Size(NamedTuple):
    """Size of a service."""

    targets: int
    slots: int
    shards: int = 1024


class Imbalance(NamedTuple):
    """Load of the busiest target relative to the mean and to its lower bound."""

    over_mean: float
    over_bound: float


def build_targets(count: int, slots: int | Sequence[int]) -> list[data.Target]:
    """Return targets of the service "history", with the same or individual `slots`."""
    each = [slots] * count if isinstance(slots, int) else slots
    return [
        data.Target(
            name=f"t{number:04}",
            service="history",
            data_centre="dc1",
            host="127.0.0.1",
            port=0,
            slots=each[number],
            connections=110,
            fenced=True,
            draining=False,
        )
        for number in range(count)
    ]


def build_assignment(
    owners: Sequence[str], overrides: Mapping[str, str] | None = None
) -> data.Assignment:
    """Return an assignment of the service "history"."""
    return data.Assignment("history", 1, tuple(owners), dict(overrides or {}), ())


def build_first(targets: Sequence[data.Target], shards: int = 1024) -> data.Assignment:
    """Return the first assignment to `targets`."""
    service = data.Service(
        name="history",
        schema=2,
        key_part=data.KeyPart("path", "key"),
        maximum_key_bytes=64,
        shard_count=shards,
        outage_horizon=datetime.timedelta(hours=4),
        kinds=(),
    )
    return build_assignment(placement.plan_initial(service, targets))


def measure(
    assignment: data.Assignment,
    shard_loads: Sequence[float],
    key_loads: Mapping[str, float],
    targets: Sequence[data.Target],
) -> Imbalance:
    """Return the busiest target's load divided by the mean and by the lower bound."""
    capacities = ledger.compute_capacities(targets, "history", {})
    target_loads = ledger.Ledger(assignment, shard_loads, key_loads, capacities)
    busiest = max(map(target_loads.compute_load_per_slot, capacities))
    mean = sum(target_loads.loads.values()) / sum(capacities.values())
    return Imbalance(busiest / mean, busiest / target_loads.compute_lower_bound())


class HotKeyModel:
    """A service with changing hot keys.

    Parameters
    ----------
    planner : callable
        Has the parameters of `placement.plan_moves`.
    seed : int
        Seed of the rates and the noise.
    size : Size
    hottest : float
        Rate of the hottest key divided by the mean rate of a target's cold keys.
    """

    def __init__(
        self,
        planner: Callable[..., Sequence[placement.Move]],
        seed: int,
        size: Size,
        hottest: float,
    ):
        self.random = random.Random(seed)
        self.planner = planner
        self.size = size
        self.targets = build_targets(size.targets, size.slots)
        self.assignment = build_first(self.targets, size.shards)
        self.now = datetime.timedelta()
        self.history: dict[int | str, datetime.timedelta] = {}
        self.cold_rate = 18.0 * size.slots
        weights = [self.random.gammavariate(SHARD_SHAPE, 1) for _ in range(size.shards)]
        scale = self.cold_rate * size.targets / sum(weights)
        self.shard_rates = [weight * scale for weight in weights]
        self.hottest = hottest
        self.keys: dict[str, float] = {}
        self.moved = {ledger.SHARD: 0, ledger.LIFT: 0, ledger.RETURN: 0}

    def change_hot_keys(self) -> None:
        """Replace all hot keys."""
        self.keys = {
            f"key-{self.random.random()}": self.hottest
            * self.cold_rate
            / rank**RANK_EXPONENT
            for rank in range(1, HOT_KEY_COUNT + 1)
        }

    def count(self, rate: float) -> float:
        """Return a rate with the noise of a count over `COUNT_SECONDS`."""
        events = rate * COUNT_SECONDS
        return max(0.0, self.random.gauss(events, events**0.5)) / COUNT_SECONDS

    def compute_loads(
        self, assignment: data.Assignment, noisy: bool
    ) -> tuple[list[float], dict[str, float]]:
        """Return the rates of the shards and of the hot keys, optionally with noise."""
        count = self.count if noisy else float
        shards = [count(rate) for rate in self.shard_rates]
        keys = {key: count(rate) for key, rate in self.keys.items()}
        for key, rate in keys.items():
            if key not in assignment.overrides:
                shards[hashing.compute_shard(key, self.size.shards)] += rate
        return shards, keys

    def measure(self, assignment: data.Assignment | None = None) -> Imbalance:
        """Return the imbalance by true rates, by default of the current assignment."""
        assignment = assignment or self.assignment
        loads = self.compute_loads(assignment, noisy=False)
        return measure(assignment, *loads, self.targets)

    def plan(self) -> int:
        """Make and apply one plan; return the number of its moves."""
        self.now += PLAN_INTERVAL
        loads = self.compute_loads(self.assignment, noisy=True)
        moves = self.planner(
            self.assignment, *loads, self.targets, self.now, self.history
        )
        for move in moves:
            self.history[move.subject] = self.now
            self.moved[move.action] += 1
        after = placement.apply_moves(self.assignment, moves)
        self.assignment = build_assignment(*after)
        return len(moves)

    def run(self, duration: datetime.timedelta) -> int:
        """Make plans for `duration`; return the number of moves."""
        return sum(self.plan() for _ in range(duration // PLAN_INTERVAL))
