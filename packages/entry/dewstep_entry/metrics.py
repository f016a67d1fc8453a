"""Sends counters and gauges to statsd.

Counters are sent once per second as sums instead of once per request, so that their
cost does not grow with the load. Names are listed in docs/OPERATIONS.md.
"""

import collections
import datetime
import re
from collections.abc import Callable, Mapping

import statsd

from dewstep_core import clocks, events, settings

METRICS_PREFIX = "dewstep"
SEND_INTERVAL = datetime.timedelta(seconds=1)
RESERVED_CHARACTERS = re.compile(r"[:|@\s]")
"""Characters that separate the parts of a statsd line."""


def escape_name(name: str) -> str:
    """Return a configured name as one part of a metric's dotted name."""
    return name.replace(".", "_")


class Metrics:
    """Sends counters and gauges to a statsd server.

    Parameters
    ----------
    address : settings.Address or None
        The statsd server; with None nothing is sent.
    entry : str
        Name of this process, part of each metric's name.

    Attributes
    ----------
    counts : collections.Counter
        Sums since the start, by name; updated by the components of the process.
    """

    def __init__(self, address: settings.Address | None, entry: str):
        self.counts: collections.Counter[str] = collections.Counter()
        self.sent: dict[str, float] = {}
        self.client = None
        if address is not None:
            self.client = statsd.StatsClient(
                address.host,
                address.port,
                prefix=f"{METRICS_PREFIX}.{escape_name(entry)}",
            )

    def send(self, totals: Mapping[str, float], gauges: Mapping[str, float]) -> None:
        """Send the increase of each total since the last call, and the gauges.

        A total that decreased has restarted from zero, because the component that it
        counts was replaced.
        """
        if self.client is None:
            return
        with self.client.pipeline() as pipeline:
            for name, total in totals.items():
                previous = self.sent.get(name, 0)
                increase = total - previous if total >= previous else total
                if increase:
                    pipeline.incr(
                        RESERVED_CHARACTERS.sub("_", name), round(increase, 3)
                    )
            for name, value in gauges.items():
                pipeline.gauge(RESERVED_CHARACTERS.sub("_", name), round(value, 3))
        self.sent = dict(totals)

    async def run(
        self,
        clock: clocks.Clock,
        read_totals: Callable[[], Mapping[str, float]],
        read_gauges: Callable[[], Mapping[str, float]],
    ) -> None:
        """Send periodically until cancelled, and log the count of omitted log lines."""
        while True:
            await clock.sleep(SEND_INTERVAL)
            self.send(read_totals(), read_gauges())
            events.log_suppressed_counts()
