"""Finds the most requested keys of a stream in bounded memory.

The sketch is Space-Saving (A. Metwally, D. Agrawal, A. El Abbadi, "Efficient
computation of frequent and top-k elements in data streams", ICDT 2005): a fixed number
of counters; a key without one replaces the key with the lowest count and records that
count as its maximum error. A key with more than 1/n of all events is always among n
counters. Counts decay (`decay.py`), so that keys that are no longer hot are replaced.

Summaries of several processes are merged as in P. K. Agarwal et al., "Mergeable
summaries", PODS 2012. They contain rates and no times, since the clocks of different
machines are not comparable.
"""

import datetime
import heapq
import struct
from collections.abc import Iterable
from typing import NamedTuple

from dewstep_entry.policy import decay

COUNTER_LIMIT = 512
"""Counters of a sketch, enough to find every key with 0.2% of its requests."""
HALF_LIFE = datetime.timedelta(seconds=15)
"""Time in which a count loses half of its value."""
SUMMARY_KEY_LIMIT = 64
"""Maximum keys in a summary. Up to 34 keys are hot at a time; the rest is a margin."""

SUMMARY_HEADER = struct.Struct("<Hf")
KEY_HEADER = struct.Struct("<Hff")


class HotKey(NamedTuple):
    """A key and its estimated rate, which exceeds the true one by at most `error`."""

    key: str
    rate: float
    """Requests/s."""
    error: float
    """Requests/s."""


class Summary(NamedTuple):
    """The part of a sketch that a process sends to others."""

    keys: tuple[HotKey, ...]
    """In descending order of rate."""
    unlisted_bound: float
    """Upper bound in requests/s of the rate of every key that is not listed."""


class Counter:
    """Decayed count of one key and its maximum error, before division by the scale."""

    __slots__ = ("count", "error")

    def __init__(self, count: float, error: float):
        self.count = count
        self.error = error


class Sketch:
    """Space-Saving sketch with decay.

    Parameters
    ----------
    counter_limit : int, optional
        Number of keys that are counted.
    half_life : datetime.timedelta, optional
        Time in which a count loses half of its value.
    """

    def __init__(
        self,
        counter_limit: int = COUNTER_LIMIT,
        half_life: datetime.timedelta = HALF_LIFE,
    ):
        self.capacity = counter_limit
        self.scale = decay.Scale(half_life, datetime.timedelta())
        self.counters: dict[str, Counter] = {}
        # One entry for each key, with a possibly outdated count. `find_lowest_counter`
        # updates the entries at the top, so that counting a request need not change the
        # heap.
        self.heap: list[tuple[float, str]] = []

    def add(self, key: str, now: datetime.timedelta, weight: float = 1.0) -> None:
        """Count a request for `key`."""
        if self.scale.needs_rescale(now):
            self.rescale(now)
        weight *= self.scale.weigh(now)
        counter = self.counters.get(key)
        if counter is not None:
            counter.count += weight
        elif len(self.counters) < self.capacity:
            self.counters[key] = Counter(weight, 0.0)
            heapq.heappush(self.heap, (weight, key))
        else:
            lowest_counter = self.find_lowest_counter()
            count, evicted_key = lowest_counter
            del self.counters[evicted_key]
            self.counters[key] = Counter(count + weight, count)
            heapq.heapreplace(self.heap, (count + weight, key))

    def find_lowest_counter(self) -> tuple[float, str]:
        """Return the lowest count and its key, which is then first in the heap."""
        while True:
            count, key = self.heap[0]
            current_count = self.counters[key].count
            if count == current_count:
                return count, key
            heapq.heapreplace(self.heap, (current_count, key))

    def rescale(self, now: datetime.timedelta) -> None:
        """Move the start of the scale to `now` and convert all counts."""
        factor = self.scale.rescale(now)
        for counter in self.counters.values():
            counter.count *= factor
            counter.error *= factor
        self.heap = [(counter.count, key) for key, counter in self.counters.items()]
        heapq.heapify(self.heap)

    def summarize(
        self,
        now: datetime.timedelta,
        limit: int = SUMMARY_KEY_LIMIT,
        min_rate: float = 0.0,
    ) -> Summary:
        """Return the hottest keys with their rates.

        Parameters
        ----------
        now : datetime.timedelta
            Current time.
        limit : int, optional
            Maximum number of listed keys.
        min_rate : float, optional
            Lower bound in requests/s of the rate of each listed key. The planner
            ignores keys below `rebalancing.MINIMUM_LIFT_LOAD_RATIO` of a target's mean
            load; leaving them out keeps the size of the summaries proportional to the
            hot keys.
        """
        ranked = heapq.nlargest(
            limit + 1, self.counters.items(), key=lambda item: (item[1].count, item[0])
        )
        rate = self.scale.compute_rate(1.0, now)
        listed = [
            HotKey(key, counter.count * rate, counter.error * rate)
            for key, counter in ranked
        ]
        keys = tuple(
            item for item in listed[:limit] if item.rate - item.error >= min_rate
        )
        # The rate of an unlisted key is at most that of the first key left out, or, if
        # none was left out and all counters are in use, that of the lowest counter.
        unlisted_bound = max(
            (item.rate for item in set(listed) - set(keys)), default=0.0
        )
        if len(self.counters) == self.capacity:
            unlisted_bound = max(unlisted_bound, self.find_lowest_counter()[0] * rate)
        return Summary(keys, unlisted_bound)


def merge(summaries: Iterable[Summary], limit: int = SUMMARY_KEY_LIMIT) -> Summary:
    """Return the summary of all streams together.

    A key that a summary does not list may have a rate of up to its `unlisted_bound`,
    which is therefore added to rate and error. Keys are ranked by the lower bound of
    their rate, because these additions for many processes can exceed the rate of a key
    that only one process counts.
    """
    parts = list(summaries)
    total_unlisted_bound = sum(part.unlisted_bound for part in parts)
    rates: dict[str, list[float]] = {}
    for part in parts:
        for key, rate, error in part.keys:
            sums = rates.setdefault(key, [total_unlisted_bound, total_unlisted_bound])
            sums[0] += rate - part.unlisted_bound
            sums[1] += error - part.unlisted_bound
    ranked = sorted(
        (HotKey(key, rate, max(0.0, error)) for key, (rate, error) in rates.items()),
        key=lambda hot: (hot.error - hot.rate, hot.key),
    )
    unlisted_bound = max([total_unlisted_bound, *(hot.rate for hot in ranked[limit:])])
    return Summary(tuple(ranked[:limit]), unlisted_bound)


def compute_rate_bounds(summary: Summary) -> dict[str, float]:
    """Return the lower bound of each key's rate, for `rebalancing.plan_moves`."""
    return {
        key: rate - error for key, rate, error in summary.keys if rate - error > 0.0
    }


def encode(summary: Summary) -> bytes:
    """Return a summary as bytes: key count and `unlisted_bound`, then each key.

    A key is encoded as its length in bytes, rate, error and UTF-8 text.
    """
    parts = [SUMMARY_HEADER.pack(len(summary.keys), summary.unlisted_bound)]
    for key, rate, error in summary.keys:
        name = key.encode()
        parts.append(KEY_HEADER.pack(len(name), rate, error))
        parts.append(name)
    return b"".join(parts)


def decode(encoded: bytes) -> Summary:
    """Return the summary encoded by `encode`.

    Raises
    ------
    ValueError
        If the bytes are truncated or a key is not UTF-8.
    """
    try:
        count, unlisted_bound = SUMMARY_HEADER.unpack_from(encoded)
        offset, keys = SUMMARY_HEADER.size, []
        for _ in range(count):
            size, rate, error = KEY_HEADER.unpack_from(encoded, offset)
            offset += KEY_HEADER.size
            name = encoded[offset : offset + size]
            if len(name) != size:
                raise ValueError(
                    f"summary truncated: key at byte {offset} has {len(name)} of "
                    f"{size} bytes"
                )
            offset += size
            keys.append(HotKey(name.decode(), rate, error))
    except struct.error as error:
        raise ValueError(f"summary truncated after {len(encoded)} bytes") from error
    return Summary(tuple(keys), unlisted_bound)
