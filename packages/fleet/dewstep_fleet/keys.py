"""Counts requests by key, in bounded memory.

A report names at most `MOST_KEYS` keys. When more are requested between two reports, a
uniform sample of the requests is kept (reservoir sampling, Vitter's algorithm R) and
each counts for as many as it stands for.
"""

import collections
import random

from dewstep_fleet import frames

MOST_KEYS = 256
"""Requests of one service that are kept between two reports."""


class KeyCounter:
    """Keys requested since the last report.

    Parameters
    ----------
    generator : random.Random
        Chooses the sample.
    """

    def __init__(self, generator: random.Random):
        self.random = generator
        self.samples: dict[str, list[int]] = {}
        self.seen: dict[str, int] = {}

    def note(self, service: str, key: int) -> None:
        """Count a request."""
        sample = self.samples.setdefault(service, [])
        seen = self.seen[service] = self.seen.get(service, 0) + 1
        if len(sample) < MOST_KEYS:
            sample.append(key)
            return
        position = self.random.randrange(seen)
        if position < MOST_KEYS:
            sample[position] = key

    def take(self) -> tuple[frames.KeyCount, ...]:
        """Return the counts since the last call."""
        counts = []
        for service, sample in self.samples.items():
            weight = self.seen[service] / len(sample)
            for key, count in collections.Counter(sample).items():
                counts.append(frames.KeyCount(service, key, round(count * weight)))
        self.samples.clear()
        self.seen.clear()
        return tuple(counts)
