"""How much the keys of each service are asked for, and how fast its targets are.

The coordinator adds up what all instances report. Rates fade exponentially, so that
they follow a rush within a second or two.
"""

import collections
import datetime
import math
from collections.abc import Mapping
from typing import NamedTuple

from dewstep_core import clock as clocks
from dewstep_fleet import frames, loads as load_counts

RATE_WINDOW = 1.5
"""Seconds in which past requests for a key lose all but 1/e of their weight."""
LEAST_RATE = 0.02
"""Requests/s below which a key is forgotten."""


class Demand(NamedTuple):
    """Requests for the keys of one service and the speed of its targets."""

    rates: Mapping[int, float]
    """Requests/s by key."""
    seconds: Mapping[str, float]
    """Time that a request occupies a slot, by target."""
    window: float
    """Seconds over which the rates were counted."""


class Demands:
    """Rates of requests by key and speeds of targets, from all reports."""

    def __init__(self, clock: clocks.Clock):
        self.clock = clock
        self.rates: dict[str, dict[int, float]] = {}
        self.faded: dict[str, datetime.timedelta] = {}
        self.slowness: dict[str, float] = {}
        """Time of each target's answers in parts of what is typical."""

    def add(
        self, keys: tuple[frames.KeyCount, ...], reported: tuple[frames.Load, ...]
    ) -> None:
        """Add what an instance counted since its last report."""
        for item in keys:
            rates = self.fade(item.service)
            rates[item.key] = rates.get(item.key, 0.0) + item.count / RATE_WINDOW
        for load in reported:
            if load.expected_microseconds:
                observed = load.busy_microseconds / load.expected_microseconds
                known = self.slowness.get(load.target, 1.0)
                weight = 1 - (1 - load_counts.WEIGHT) ** load.ended
                known += weight * (observed - known)
                self.slowness[load.target] = load_counts.bound(known)

    def fade(self, service: str) -> dict[int, float]:
        """Return the rates of a service, with the time passed taken off."""
        rates = self.rates.setdefault(service, {})
        now = self.clock.monotonic()
        elapsed = (now - self.faded.setdefault(service, now)).total_seconds()
        if elapsed < 0.05:
            return rates
        self.faded[service] = now
        kept = math.exp(-elapsed / RATE_WINDOW)
        faded = {
            key: rate * kept for key, rate in rates.items() if rate * kept > LEAST_RATE
        }
        self.rates[service] = faded
        return faded

    def read(self, service: str, typical: float) -> Demand:
        """Return the demand for a service's keys.

        Parameters
        ----------
        service : str
        typical : float
            Seconds of one of its requests.
        """
        seconds = collections.defaultdict(lambda: typical)
        for target, slowness in self.slowness.items():
            seconds[target] = typical * slowness
        return Demand(dict(self.fade(service)), seconds, RATE_WINDOW)
