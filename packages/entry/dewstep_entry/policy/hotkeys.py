"""The hottest keys of a stream in bounded memory.

The sketch is Space-Saving (A. Metwally, D. Agrawal, A. El Abbadi, "Efficient
computation of frequent and top-k elements in data streams", ICDT 2005): a fixed number
of counters; a key without one takes over the counter with the least count and notes
that count as its possible error. A key with more than 1/n of all events is always
among n counters. Counts decay (`decay.py`), so that keys that were hot minutes ago go.

Summaries of several processes are merged as in P. K. Agarwal et al., "Mergeable
summaries", PODS 2012. They hold rates and no times, since clocks of different machines
are not compared.
"""

import datetime
import heapq
import struct
from collections.abc import Iterable
from typing import NamedTuple

from dewstep_entry.policy import decay

COUNTERS = 512
"""Counters of a process: with them a key of 0.2% of its requests is never missed."""
HALF_LIFE = datetime.timedelta(seconds=15)
SHARED_KEYS = 64
"""Keys of a summary. Up to 34 keys are hot at a time; the rest is margin."""

HEADER = struct.Struct("<Hf")
ENTRY = struct.Struct("<Hff")


class HotKey(NamedTuple):
    """A key and its rate, which is too high by at most `error`."""

    key: str
    rate: float
    """Requests/s."""
    error: float
    """Requests/s."""


class Summary(NamedTuple):
    """What a process shares of its sketch."""

    keys: tuple[HotKey, ...]
    """The hottest first."""
    floor: float
    """Highest rate, in requests/s, that a key which is not listed may have."""


class Counter:
    """Count of one key with its possible error, both in units of the scale."""

    __slots__ = ("count", "error")

    def __init__(self, count: float, error: float):
        self.count = count
        self.error = error


class Sketch:
    """Space-Saving sketch with decay.

    Parameters
    ----------
    counters : int, optional
        Number of keys that are counted.
    half_life : datetime.timedelta, optional
        Time in which a count loses half of its value.
    """

    def __init__(
        self,
        counters: int = COUNTERS,
        half_life: datetime.timedelta = HALF_LIFE,
    ):
        self.capacity = counters
        self.scale = decay.Scale(half_life, datetime.timedelta())
        self.counters: dict[str, Counter] = {}
        # One entry for each key, with a count from the past; `find_least` renews
        # the entries that it meets, so that a hit costs no work on the heap.
        self.heap: list[tuple[float, str]] = []

    def add(self, key: str, now: datetime.timedelta, weight: float = 1.0) -> None:
        """Count a request for `key`."""
        if self.scale.is_spent(now):
            self.rescale(now)
        weight *= self.scale.weigh(now)
        counter = self.counters.get(key)
        if counter is not None:
            counter.count += weight
        elif len(self.counters) < self.capacity:
            self.counters[key] = Counter(weight, 0.0)
            heapq.heappush(self.heap, (weight, key))
        else:
            least = self.find_least()
            count, loser = least
            del self.counters[loser]
            self.counters[key] = Counter(count + weight, count)
            heapq.heapreplace(self.heap, (count + weight, key))

    def find_least(self) -> tuple[float, str]:
        """Return the least count and its key, which is then first in the heap."""
        while True:
            count, key = self.heap[0]
            present = self.counters[key].count
            if count == present:
                return count, key
            heapq.heapreplace(self.heap, (present, key))

    def rescale(self, now: datetime.timedelta) -> None:
        """Bring all counts to a new start of the scale."""
        factor = self.scale.rescale(now)
        for counter in self.counters.values():
            counter.count *= factor
            counter.error *= factor
        self.heap = [(counter.count, key) for key, counter in self.counters.items()]
        heapq.heapify(self.heap)

    def summarize(
        self,
        now: datetime.timedelta,
        limit: int = SHARED_KEYS,
        least: float = 0.0,
    ) -> Summary:
        """Return the hottest keys with their rates.

        Parameters
        ----------
        now : datetime.timedelta
            Current time.
        limit : int, optional
            Most keys that are listed.
        least : float, optional
            Requests/s that a listed key has for certain. A planner ignores keys below
            `rebalancing.LIFT_SHARE` of a target's mean load; leaving them out keeps
            the bytes shared in a large fleet proportional to the keys that are hot.
        """
        ranked = heapq.nlargest(
            limit + 1, self.counters.items(), key=lambda item: (item[1].count, item[0])
        )
        rate = self.scale.compute_rate(1.0, now)
        hot = [
            HotKey(key, counter.count * rate, counter.error * rate)
            for key, counter in ranked
        ]
        keys = tuple(item for item in hot[:limit] if item.rate - item.error >= least)
        # A key that isn't listed is at most as hot as the first that was left out, or
        # as the least counter if there is none, once no counter is free.
        floor = max((item.rate for item in set(hot) - set(keys)), default=0.0)
        if len(self.counters) == self.capacity:
            floor = max(floor, self.find_least()[0] * rate)
        return Summary(keys, floor)


def merge(summaries: Iterable[Summary], limit: int = SHARED_KEYS) -> Summary:
    """Return the summary of all streams together.

    A key that a summary doesn't list may have had up to its floor there; the floor is
    added to the rate and to the error. The rank is that of the certain rate: the floors
    of many processes add up to more than the rate of a key that one of them counts.
    """
    parts = list(summaries)
    total_floor = sum(part.floor for part in parts)
    rates: dict[str, list[float]] = {}
    for part in parts:
        for key, rate, error in part.keys:
            sums = rates.setdefault(key, [total_floor, total_floor])
            sums[0] += rate - part.floor
            sums[1] += error - part.floor
    ranked = sorted(
        (HotKey(key, rate, max(0.0, error)) for key, (rate, error) in rates.items()),
        key=lambda hot: (hot.error - hot.rate, hot.key),
    )
    floor = max([total_floor, *(hot.rate for hot in ranked[limit:])])
    return Summary(tuple(ranked[:limit]), floor)


def get_loads(summary: Summary) -> dict[str, float]:
    """Return the rate that each key has for certain, for `placement.plan_moves`."""
    return {
        key: rate - error for key, rate, error in summary.keys if rate - error > 0.0
    }


def encode(summary: Summary) -> bytes:
    """Return a summary as bytes: floor, then length, rate, error and key of each."""
    parts = [HEADER.pack(len(summary.keys), summary.floor)]
    for key, rate, error in summary.keys:
        name = key.encode()
        parts.append(ENTRY.pack(len(name), rate, error))
        parts.append(name)
    return b"".join(parts)


def decode(encoded: bytes) -> Summary:
    """Return the summary that `encode` made bytes of.

    Raises
    ------
    ValueError
        If the bytes are cut off or a key is not UTF-8.
    """
    try:
        count, floor = HEADER.unpack_from(encoded)
        place, keys = HEADER.size, []
        for _ in range(count):
            size, rate, error = ENTRY.unpack_from(encoded, place)
            place += ENTRY.size
            name = encoded[place : place + size]
            if len(name) != size:
                raise ValueError(f"summary ends inside a key at byte {place}")
            place += size
            keys.append(HotKey(name.decode(), rate, error))
    except struct.error as error:
        raise ValueError(f"summary of {len(encoded)} bytes is cut off") from error
    return Summary(tuple(keys), floor)
