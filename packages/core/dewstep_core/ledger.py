"""Bookkeeping of target loads while a plan for one service is computed.

A `Ledger` is built from an assignment and measured loads and updated with each planned
move. It holds the units that can be moved: shards, and hot keys, which are either part
of their shard or lifted out of it by an override. All iterations run in order of shard
number or name, so that equal inputs give equal floating-point sums in every process.
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

    `SHARD` changes the owner of a shard, but not of the keys lifted out of it. `LIFT`
    sets the override of a key. `RETURN` deletes the override, so that the key belongs
    to the owner of its shard again.
    """

    action: str
    subject: int | str
    """Number of the shard, or the key."""
    source: str
    destination: str


class Unit(NamedTuple):
    """A shard or hot key that can be moved, ordered by load."""

    load: float
    subject: int | str
    """Number of the shard, or the key."""


def compute_capacities(
    targets: Iterable[data.Target],
    service: str,
    capacity_factors: Mapping[str, float],
) -> dict[str, float]:
    """Return the usable slots of each target that may own keys of `service`.

    Parameters
    ----------
    targets : iterable of data.Target
        Draining targets and those of other services are left out.
    service : str
        Name of the service.
    capacity_factors : mapping of str to float
        Fraction of its slots that a target may use, 1 if absent. It is below 1 for a
        slow target and for one that warms up after its start.
    """
    service_targets = sorted(
        (target for target in targets if target.service == service),
        key=lambda target: target.name,
    )
    capacities = {
        target.name: target.slots * capacity_factors.get(target.name, 1.0)
        for target in service_targets
        if not target.draining
    }
    return {name: capacity for name, capacity in capacities.items() if capacity > 0}


class Ledger:
    """Load and movable units of each target.

    Parameters
    ----------
    assignment : data.Assignment
        Present owners.
    shard_loads : sequence of float
        Load of each shard, without the keys lifted out of it.
    key_loads : mapping of str to float
        Load of each hot key. The loads of keys that are not lifted are included in
        `shard_loads`.
    capacities : mapping of str to float
        Usable slots by target. Units of owners without an entry are ignored.
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
        self.shard_units: dict[str, list[Unit]] = {name: [] for name in capacities}
        self.key_units: dict[str, list[Unit]] = {name: [] for name in capacities}
        self.hot_keys_by_shard: dict[int, list[str]] = {}
        for shard, owner in enumerate(self.owners):
            if owner in capacities:
                self.shard_units[owner].append(Unit(self.shard_loads[shard], shard))
                self.loads[owner] += self.shard_loads[shard]
        for units in self.shard_units.values():
            units.sort()
        for key in sorted(key_loads):
            self.add_key(key)

    def add_key(self, key: str) -> None:
        """Add a hot key to the target that owns it."""
        shard = self.find_shard(key)
        owner = self.overrides.get(key, self.owners[shard])
        if key not in self.overrides:
            self.hot_keys_by_shard.setdefault(shard, []).append(key)
        if owner in self.capacities:
            bisect.insort(self.key_units[owner], Unit(self.key_loads[key], key))
            if key in self.overrides:
                self.loads[owner] += self.key_loads[key]

    def find_shard(self, key: str) -> int:
        """Return the shard of a key."""
        return hashing.compute_shard(key, len(self.owners))

    def compute_load_per_slot(self, target: str) -> float:
        """Return the load of a target per slot."""
        return self.loads[target] / self.capacities[target]

    def compute_lower_bound(self) -> float:
        """Return the lower bound of the busiest target's load per slot.

        No plan can get below the mean, nor below the load of the hottest key on the
        largest target, since a key has one owner.
        """
        mean = sum(self.loads.values()) / sum(self.capacities.values())
        hottest = max(
            (units[-1].load for units in self.key_units.values() if units), default=0.0
        )
        return max(mean, hottest / max(self.capacities.values()))

    def move_shard(self, shard: int, destination: str) -> Move:
        """Move a shard together with the hot keys that are not lifted out of it."""
        source, load = self.owners[shard], self.shard_loads[shard]
        remove_unit(self.shard_units[source], Unit(load, shard))
        bisect.insort(self.shard_units[destination], Unit(load, shard))
        for key in self.hot_keys_by_shard.get(shard, ()):
            remove_unit(self.key_units[source], Unit(self.key_loads[key], key))
            bisect.insort(self.key_units[destination], Unit(self.key_loads[key], key))
        self.owners[shard] = destination
        self.transfer_load(source, destination, load)
        return Move(SHARD, shard, source, destination)

    def lift_key(self, key: str, destination: str) -> Move:
        """Set or change the override of a hot key."""
        shard, load = self.find_shard(key), self.key_loads[key]
        source = self.overrides.get(key)
        if source is None:
            source = self.owners[shard]
            self.hot_keys_by_shard[shard].remove(key)
            self.change_shard_load(shard, -load)
        remove_unit(self.key_units[source], Unit(load, key))
        bisect.insort(self.key_units[destination], Unit(load, key))
        self.overrides[key] = destination
        self.transfer_load(source, destination, load)
        return Move(LIFT, key, source, destination)

    def return_key(self, key: str) -> Move:
        """Delete the override of a key."""
        shard, load = self.find_shard(key), self.key_loads.get(key, 0.0)
        source, destination = self.overrides.pop(key), self.owners[shard]
        self.change_shard_load(shard, load)
        if key in self.key_loads:
            remove_unit(self.key_units.get(source, []), Unit(load, key))
            self.hot_keys_by_shard.setdefault(shard, []).append(key)
            if destination in self.key_units:
                bisect.insort(self.key_units[destination], Unit(load, key))
        self.transfer_load(source, destination, load)
        return Move(RETURN, key, source, destination)

    def change_shard_load(self, shard: int, change: float) -> None:
        """Change the load of a shard but not that of its owner."""
        # Shards and keys are counted separately, so the counted load of a key can
        # exceed that of its shard.
        new_load = max(0.0, self.shard_loads[shard] + change)
        units = self.shard_units.get(self.owners[shard])
        if units is not None:
            remove_unit(units, Unit(self.shard_loads[shard], shard))
            bisect.insort(units, Unit(new_load, shard))
        self.shard_loads[shard] = new_load

    def transfer_load(self, source: str, destination: str, load: float) -> None:
        """Subtract a load from one target and add it to another."""
        if source in self.loads:
            self.loads[source] -= load
        if destination in self.loads:
            self.loads[destination] += load


class FreeCapacityHeap:
    """Priority queue of targets by free capacity, the largest first.

    Parameters
    ----------
    ledger : Ledger
        Present loads. `update_target` must be called after a target's load changed.
    maximum_load_per_slot : float
        Load per slot up to which a target is filled.
    """

    def __init__(self, ledger: Ledger, maximum_load_per_slot: float):
        self.ledger = ledger
        self.maximum_load_per_slot = maximum_load_per_slot
        self.heap: list[tuple[float, str]] = []
        for name in ledger.loads:
            self.update_target(name)

    def compute_free_capacity(self, name: str) -> float:
        """Return the load that a target can receive; negative if it has too much."""
        return (
            self.maximum_load_per_slot * self.ledger.capacities[name]
            - self.ledger.loads[name]
        )

    def update_target(self, name: str) -> None:
        """Push the present free capacity of a target; older entries become stale."""
        heapq.heappush(self.heap, (-self.compute_free_capacity(name), name))

    def find_freest_target(self) -> tuple[str, float]:
        """Return the target with the most free capacity, and that capacity.

        Stale entries at the top of the heap are replaced by present ones.
        """
        while True:
            negative_capacity, name = self.heap[0]
            present = self.compute_free_capacity(name)
            if -negative_capacity == present:
                return name, present
            heapq.heapreplace(self.heap, (-present, name))


def remove_unit(units: list[Unit], unit: Unit) -> None:
    """Remove a unit from a sorted list if the list contains it."""
    index = bisect.bisect_left(units, unit)
    if index < len(units) and units[index] == unit:
        del units[index]
