"""Request rate of each shard, with the same decay as the hot-key sketch.

The half-lives must be equal, because the planner subtracts the rate of a hot key from
that of its shard.
"""

import array
import datetime

from dewstep_entry.policy import decay, hotkeys


class ShardLoads:
    """Decayed counts of the shards of one service.

    Parameters
    ----------
    shard_count : int
        Number of shards of the service.
    half_life : datetime.timedelta, optional
        Time in which a count loses half of its value.
    """

    def __init__(
        self,
        shard_count: int,
        half_life: datetime.timedelta = hotkeys.HALF_LIFE,
    ):
        self.scale = decay.Scale(half_life, datetime.timedelta())
        self.counts = array.array("d", bytes(8 * shard_count))

    def add(self, shard: int, now: datetime.timedelta, weight: float = 1.0) -> None:
        """Count a request for a key of `shard` that has no override of its own."""
        if self.scale.needs_rescale(now):
            factor = self.scale.rescale(now)
            self.counts = array.array("d", (count * factor for count in self.counts))
        self.counts[shard] += weight * self.scale.weigh(now)

    def compute_rates(self, now: datetime.timedelta) -> list[float]:
        """Return the requests/s of each shard."""
        rate_per_count = self.scale.compute_rate(1.0, now)
        return [count * rate_per_count for count in self.counts]
