"""Distributions of the time that a target needs for a request."""

import math
import random
from collections.abc import Callable

from dewstep_core import registry

LOGNORMAL_SIGMA = 0.8
"""Standard deviation of the logarithm; the 99th percentile is 4.7 times the mean."""

distributions: registry.Registry[Callable[[random.Random, float], float]] = (
    registry.Registry("distribution")
)
"""Functions that draw a time from a random source, given the mean in the same unit."""


@distributions.register("constant")
def draw_constant(source: random.Random, mean: float) -> float:
    """Return the mean."""
    return mean


@distributions.register("exponential")
def draw_exponential(source: random.Random, mean: float) -> float:
    """Return an exponentially distributed time."""
    return source.expovariate(1 / mean) if mean > 0 else 0.0


@distributions.register("lognormal")
def draw_lognormal(source: random.Random, mean: float) -> float:
    """Return a log-normally distributed time."""
    if mean <= 0:
        return 0.0
    center = math.log(mean) - LOGNORMAL_SIGMA**2 / 2
    return source.lognormvariate(center, LOGNORMAL_SIGMA)


def compute_cold_factor(age: float, cold_start: float, cold_factor: float) -> float:
    """Return the factor by which service times are longer soon after the start.

    Parameters
    ----------
    age : float
        Seconds since the start.
    cold_start : float
        Seconds from the start until service times are normal.
    cold_factor : float
        Factor at the start; it decreases linearly to 1.
    """
    if age >= cold_start:
        return 1.0
    return cold_factor + (1 - cold_factor) * age / cold_start
