"""Counts requests by key in bounded memory.

At most `MAX_SAMPLES` requests of each service are kept between two reports. If there
are more, a uniform sample is kept (reservoir sampling, Vitter's algorithm R) and its
counts are scaled up to the total.
"""

import collections
import random

from dewstep_fleet import frames

MAX_SAMPLES = 256
"""Maximum number of requests of one service kept between two reports."""


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
        """Keys of the sampled requests by service."""
        self.request_counts: dict[str, int] = {}
        """Number of all requests by service."""

    def count_request(self, service: str, key: int) -> None:
        """Count a request."""
        sample = self.samples.setdefault(service, [])
        seen = self.request_counts[service] = self.request_counts.get(service, 0) + 1
        if len(sample) < MAX_SAMPLES:
            sample.append(key)
            return
        position = self.random.randrange(seen)
        if position < MAX_SAMPLES:
            sample[position] = key

    def take_counts(self) -> tuple[frames.KeyCount, ...]:
        """Return the counts since the last call."""
        counts = []
        for service, sample in self.samples.items():
            weight = self.request_counts[service] / len(sample)
            for key, count in collections.Counter(sample).items():
                counts.append(frames.KeyCount(service, key, round(count * weight)))
        self.samples.clear()
        self.request_counts.clear()
        return tuple(counts)
