"""Loads of the targets of one service while a plan is made.

A ledger is built from an assignment and measured loads, and is changed by the moves
that a planner tries. It holds the units that can be moved: shards, and hot keys either
inside their shards or lifted out of them. All iterations are in order of shard number
or name, so that equal inputs give equal sums in every process.
"""

import bisect
import heapq
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from dewstep_core import data, hashing

SHARD = "shard"
LIFT = "lift"
RETURN = "return"


class Move(NamedTuple):
    """One change of owner.

    A `SHARD` move takes a shard without the keys lifted out of it. A `LIFT` sets the
    override of a key, a `RETURN` deletes it, so that the key follows its shard again.
    """

    action: str
    subject: int | str
    """Number of the shard, or the key."""
    source: str
    destination: str


class Unit(NamedTuple):
    """Something that can be moved; ordered by load."""

    load: float
    subject: int | str


def compute_capacities(
    targets: Iterable[data.Target],
    service: str,
    factors: Mapping[str, float],
) -> dict[str, float]:
    """Return the usable slots of each target that may own keys of `service`.

    Parameters
    ----------
    targets : iterable of data.Target
        Draining targets and those of other services are left out.
    service : str
        Name of the service.
    factors : mapping of str to float
        Part of its slots that a target may use; 1 if absent. A target that is put
        aside or starts cold has less than 1.
    """
    chosen = sorted(
        (target for target in targets if target.service == service),
        key=lambda target: target.name,
    )
    capacities = {
        target.name: target.slots * factors.get(target.name, 1.0)
        for target in chosen
        if not target.draining
    }
    return {name: capacity for name, capacity in capacities.items() if capacity > 0}


class Ledger:
    """Loads, movable units and free room of each target.

    Parameters
    ----------
    assignment : data.Assignment
        Present owners.
    shard_loads : sequence of float
        Load of each shard, without the keys lifted out of it.
    key_loads : mapping of str to float
        Loads of the hot keys. Those of keys inside their shards are contained in
        `shard_loads`.
    capacities : mapping of str to float
        Usable slots by target; other owners are ignored.
    """

    def __init__(
        self,
        assignment: data.Assignment,
        shard_loads: Sequence[float],
        key_loads: Mapping[str, float],
        capacities: Mapping[str, float],
    ):
        self.owners = list(assignment.owners)
        self.overrides = dict(assignment.overrides)
        self.shard_loads = list(shard_loads)
        self.key_loads = key_loads
        self.capacities = capacities
        self.loads = dict.fromkeys(capacities, 0.0)
        self.shards: dict[str, list[Unit]] = {name: [] for name in capacities}
        self.keys: dict[str, list[Unit]] = {name: [] for name in capacities}
        self.hot_keys: dict[int, list[str]] = {}
        for shard, owner in enumerate(self.owners):
            if owner in capacities:
                self.shards[owner].append(Unit(self.shard_loads[shard], shard))
                self.loads[owner] += self.shard_loads[shard]
        for units in self.shards.values():
            units.sort()
        for key in sorted(key_loads):
            self.enter_key(key)

    def enter_key(self, key: str) -> None:
        """Enter a hot key at the target that owns it."""
        shard = self.find_shard(key)
        owner = self.overrides.get(key, self.owners[shard])
        if key not in self.overrides:
            self.hot_keys.setdefault(shard, []).append(key)
        if owner in self.capacities:
            bisect.insort(self.keys[owner], Unit(self.key_loads[key], key))
            if key in self.overrides:
                self.loads[owner] += self.key_loads[key]

    def find_shard(self, key: str) -> int:
        """Return the shard of a key."""
        return hashing.compute_shard(key, len(self.owners))

    def measure(self, target: str) -> float:
        """Return the load of a target for each of its slots."""
        return self.loads[target] / self.capacities[target]

    def compute_bound(self) -> float:
        """Return the least load for each slot that the busiest target can have.

        No plan gets below the mean, nor below the hottest key at the largest target,
        since a key has one owner.
        """
        mean = sum(self.loads.values()) / sum(self.capacities.values())
        hottest = max(
            (units[-1].load for units in self.keys.values() if units), default=0.0
        )
        return max(mean, hottest / max(self.capacities.values()))

    def move_shard(self, shard: int, destination: str) -> Move:
        """Move a shard with the hot keys inside it."""
        source, load = self.owners[shard], self.shard_loads[shard]
        remove(self.shards[source], Unit(load, shard))
        bisect.insort(self.shards[destination], Unit(load, shard))
        for key in self.hot_keys.get(shard, ()):
            remove(self.keys[source], Unit(self.key_loads[key], key))
            bisect.insort(self.keys[destination], Unit(self.key_loads[key], key))
        self.owners[shard] = destination
        self.transfer(source, destination, load)
        return Move(SHARD, shard, source, destination)

    def lift_key(self, key: str, destination: str) -> Move:
        """Move a hot key alone, out of its shard or from its present override."""
        shard, load = self.find_shard(key), self.key_loads[key]
        source = self.overrides.get(key)
        if source is None:
            source = self.owners[shard]
            self.hot_keys[shard].remove(key)
            self.resize_shard(shard, -load)
        remove(self.keys[source], Unit(load, key))
        bisect.insort(self.keys[destination], Unit(load, key))
        self.overrides[key] = destination
        self.transfer(source, destination, load)
        return Move(LIFT, key, source, destination)

    def return_key(self, key: str) -> Move:
        """Put a lifted key back into its shard."""
        shard, load = self.find_shard(key), self.key_loads.get(key, 0.0)
        source, destination = self.overrides.pop(key), self.owners[shard]
        self.resize_shard(shard, load)
        if key in self.key_loads:
            remove(self.keys.get(source, []), Unit(load, key))
            self.hot_keys.setdefault(shard, []).append(key)
            if destination in self.keys:
                bisect.insort(self.keys[destination], Unit(load, key))
        self.transfer(source, destination, load)
        return Move(RETURN, key, source, destination)

    def resize_shard(self, shard: int, change: float) -> None:
        """Change the load of a shard without touching that of its target."""
        # Shards and keys are counted apart; an error of either must not leave less
        # than nothing.
        resized = max(0.0, self.shard_loads[shard] + change)
        units = self.shards.get(self.owners[shard])
        if units is not None:
            remove(units, Unit(self.shard_loads[shard], shard))
            bisect.insort(units, Unit(resized, shard))
        self.shard_loads[shard] = resized

    def transfer(self, source: str, destination: str, load: float) -> None:
        """Book a load from one target to another."""
        if source in self.loads:
            self.loads[source] -= load
        if destination in self.loads:
            self.loads[destination] += load


class Receivers:
    """Targets by free room under a common level of load, the most room first.

    Parameters
    ----------
    ledger : Ledger
        Loads; `update` tells of changes of one target's load.
    level : float
        Load for each slot up to which a target is filled.
    """

    def __init__(self, ledger: Ledger, level: float):
        self.ledger = ledger
        self.level = level
        self.heap: list[tuple[float, str]] = []
        for name in ledger.loads:
            self.update(name)

    def compute_room(self, name: str) -> float:
        """Return the load that a target can still take."""
        return self.level * self.ledger.capacities[name] - self.ledger.loads[name]

    def update(self, name: str) -> None:
        """Take over the present room of a target; entries of before are dropped."""
        heapq.heappush(self.heap, (-self.compute_room(name), name))

    def find_roomiest(self) -> tuple[str, float]:
        """Return the target with the most room, and its room."""
        while True:
            room, name = self.heap[0]
            present = self.compute_room(name)
            if -room == present:
                return name, present
            heapq.heapreplace(self.heap, (-present, name))


def remove(units: list[Unit], unit: Unit) -> None:
    """Take a unit out of a sorted list, if it is there."""
    place = bisect.bisect_left(units, unit)
    if place < len(units) and units[place] == unit:
        del units[place]
