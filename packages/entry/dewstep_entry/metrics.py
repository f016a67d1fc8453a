"""Metrics by statsd: counters of what happened and gauges of the state.

Counters are sent once a second as sums, not once a request, so that their cost does
not grow with the load. Names are listed in docs/OPERATIONS.md.
"""

import collections
import datetime
import re
from collections.abc import Callable, Mapping

import statsd

from dewstep_core import clock as clocks, events, settings

PREFIX = "dewstep"
INTERVAL = datetime.timedelta(seconds=1)
RESERVED = re.compile(r"[:|@\s]")
"""Characters that separate the parts of a statsd line."""


def name_part(name: str) -> str:
    """Return a configured name as one part of a metric's name, which dots separate."""
    return name.replace(".", "_")


class Metrics:
    """Sends counters and gauges to a statsd server.

    Parameters
    ----------
    address : settings.Address or None
        The statsd server; None sends nothing.
    entry : str
        Name of this process, part of each metric's name.

    Attributes
    ----------
    counts : collections.Counter
        Sums since the start, by name; the stages of the process add to it.
    """

    def __init__(self, address: settings.Address | None, entry: str):
        self.counts: collections.Counter[str] = collections.Counter()
        self.sent: dict[str, float] = {}
        self.client = None
        if address is not None:
            self.client = statsd.StatsClient(
                address.host, address.port, prefix=f"{PREFIX}.{name_part(entry)}"
            )

    def send(self, totals: Mapping[str, float], gauges: Mapping[str, float]) -> None:
        """Send by how much each total rose since the last call, and the gauges.

        A total that fell belongs to a part that was made anew, and counts from zero.
        """
        if self.client is None:
            return
        with self.client.pipeline() as pipeline:
            for name, total in totals.items():
                before = self.sent.get(name, 0)
                rise = total - before if total >= before else total
                if rise:
                    pipeline.incr(RESERVED.sub("_", name), round(rise, 3))
            for name, value in gauges.items():
                pipeline.gauge(RESERVED.sub("_", name), round(value, 3))
        self.sent = dict(totals)

    async def run(
        self,
        clock: clocks.Clock,
        read_totals: Callable[[], Mapping[str, float]],
        read_gauges: Callable[[], Mapping[str, float]],
    ) -> None:
        """Send once an interval until cancelled; report log lines left out."""
        while True:
            await clock.sleep(INTERVAL)
            self.send(read_totals(), read_gauges())
            events.report_left_out()
