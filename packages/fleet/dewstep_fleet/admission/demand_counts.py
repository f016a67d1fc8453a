"""How far the demand for a service without keys exceeds what is sent to its targets.

Nobody counts the demand for such a service in all instances. Requests spread evenly
over the instances, so the own requests of an instance show the ratio.
"""

import math

TIME_CONSTANT_S = 1.0
"""Time constant of the counts. A burst lasts for some seconds, and the ratio is to
follow it within a fraction of that."""
PRIOR = 2.0
"""Requests of each kind that are assumed in addition, so that a few refusals of an
instance with few requests do not count as demand."""


class DemandCounts:
    """Recent requests of this instance to each service, and those that were sent."""

    def __init__(self):
        self.counts: dict[str, tuple[float, float, float]] = {}
        """Time of the last request, and decayed numbers of requests and of sends."""

    def count(self, service: str, now: float, sent: bool) -> None:
        """Count a request that was sent or refused.

        Parameters
        ----------
        service : str
        now : float
            Monotonic seconds.
        sent : bool
        """
        requests, sends = self._decay(service, now)
        self.counts[service] = now, requests + 1, sends + sent

    def get_ratio(self, service: str, now: float) -> float:
        """Return the ratio of all requests to those that were sent, at least 1."""
        requests, sends = self._decay(service, now)
        return (requests + PRIOR) / (sends + PRIOR)

    def _decay(self, service: str, now: float) -> tuple[float, float]:
        """Return the numbers of requests and of sends, decayed to the present."""
        counted_at, requests, sends = self.counts.get(service, (now, 0.0, 0.0))
        kept = math.exp(-max(0.0, now - counted_at) / TIME_CONSTANT_S)
        return requests * kept, sends * kept
