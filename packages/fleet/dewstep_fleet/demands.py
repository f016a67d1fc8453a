"""Request rates of keys and speeds of targets, aggregated from all reports.

The coordinator adds up the reports of all instances. Rates decay exponentially, so they
follow a sudden increase within a second or two.
"""

import collections
import datetime
import math
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from dewstep_core import clocks
from dewstep_fleet import frames, load_counts

RATE_WINDOW_S = 1.5
"""Time constant of the exponential decay of rates."""
MIN_RATE = 0.02
"""Requests/s below which a key is discarded."""


class Demand(NamedTuple):
    """Request rates of one service's keys and the speed of its targets."""

    rates: Mapping[int, float]
    """Requests/s by key."""
    service_seconds: Mapping[str, float]
    """Service time of a request by target."""
    window_s: float
    """Time constant of the rates in seconds."""
    limits: Mapping[str, float] = MappingProxyType({})
    """Requests/s of the targets that have named a limit."""


class Demands:
    """Request rates by key and speeds of targets, from all reports."""

    def __init__(self, clock: clocks.Clock):
        self.clock = clock
        self.rates: dict[str, dict[int, float]] = {}
        self.decayed_at: dict[str, datetime.timedelta] = {}
        self.slowness: dict[str, float] = {}
        """Response time of each target relative to the typical one."""

    def add_report(
        self, keys: tuple[frames.KeyCount, ...], reported: tuple[frames.Load, ...]
    ) -> None:
        """Add what an instance counted since its last report."""
        for item in keys:
            rates = self.decay_rates(item.service)
            rates[item.key] = rates.get(item.key, 0.0) + item.count / RATE_WINDOW_S
        for load in reported:
            if load.expected_microseconds:
                observed = load.busy_microseconds / load.expected_microseconds
                previous = self.slowness.get(load.target, 1.0)
                weight = 1 - (1 - load_counts.SMOOTHING_FACTOR) ** load.ended
                previous += weight * (observed - previous)
                self.slowness[load.target] = load_counts.limit_slowness(previous)

    def decay_rates(self, service: str) -> dict[int, float]:
        """Return the rates of a service, decayed to the present."""
        rates = self.rates.setdefault(service, {})
        now = self.clock.monotonic()
        elapsed = (now - self.decayed_at.setdefault(service, now)).total_seconds()
        if elapsed < 0.05:
            return rates
        self.decayed_at[service] = now
        kept = math.exp(-elapsed / RATE_WINDOW_S)
        decayed = {
            key: rate * kept for key, rate in rates.items() if rate * kept > MIN_RATE
        }
        self.rates[service] = decayed
        return decayed

    def get_demand(
        self,
        service: str,
        typical_seconds: float,
        limits: Mapping[str, float] = MappingProxyType({}),
    ) -> Demand:
        """Return the demand of a service.

        Parameters
        ----------
        service : str
        typical_seconds : float
            Typical service time of its requests in seconds.
        limits : mapping of str to float, optional
            Requests/s of the targets that have named a limit.
        """
        service_seconds = collections.defaultdict(lambda: typical_seconds)
        for target, slowness in self.slowness.items():
            service_seconds[target] = typical_seconds * slowness
        rates = dict(self.decay_rates(service))
        return Demand(rates, service_seconds, RATE_WINDOW_S, limits)
