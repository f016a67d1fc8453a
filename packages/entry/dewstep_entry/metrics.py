"""Metrics by statsd: counters of requests and gauges of the state.

Counters are sent once a second as sums, not once a request, so that their cost does
not grow with the load.
"""

import collections
import datetime
from collections.abc import Callable, Mapping

import statsd

from dewstep_core import clock as clocks, events, settings

PREFIX = "dewstep"
INTERVAL = datetime.timedelta(seconds=1)


class Metrics:
    """Counts events and sends them with gauges to a statsd server.

    Parameters
    ----------
    address : settings.Address or None
        The statsd server; None sends nothing.
    entry : str
        Name of this process, part of each metric's name.
    """

    def __init__(self, address: settings.Address | None, entry: str):
        self.counts: collections.Counter[str] = collections.Counter()
        self.totals: collections.Counter[str] = collections.Counter()
        self.client = None
        if address is not None:
            self.client = statsd.StatsClient(
                address.host, address.port, prefix=f"{PREFIX}.{entry}"
            )

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += amount

    def send(self, gauges: Mapping[str, float]) -> None:
        """Send the counters since the last call, and gauges."""
        counts, self.counts = self.counts, collections.Counter()
        self.totals.update(counts)
        if self.client is None:
            return
        with self.client.pipeline() as pipeline:
            for name, amount in counts.items():
                pipeline.incr(name, amount)
            for name, value in gauges.items():
                pipeline.gauge(name, value)

    async def run(
        self, clock: clocks.Clock, read_gauges: Callable[[], Mapping[str, float]]
    ) -> None:
        """Send once an interval until cancelled; report log lines left out."""
        while True:
            await clock.sleep(INTERVAL)
            self.send(read_gauges())
            events.report_left_out()
