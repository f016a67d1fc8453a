"""Distributions of the time that a target needs for a request."""

import math
import random
from collections.abc import Callable

from dewstep_core import registry

LOGNORMAL_SIGMA = 0.8
"""Spread of the logarithm; the 99th percentile is then 4.7 times the mean."""

distributions: registry.Registry[Callable[[random.Random, float], float]] = (
    registry.Registry("distribution")
)
"""Functions that return a time for a random source and a mean, in the mean's unit."""


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


def find_cold_factor(age: float, cold_start: float, cold_factor: float) -> float:
    """Return the factor of a service time soon after the start.

    Parameters
    ----------
    age, cold_start : float
        Seconds since the start, and until the target is warm.
    cold_factor : float
        Factor at the start; it falls linearly to 1.
    """
    if age >= cold_start:
        return 1.0
    return cold_factor + (1 - cold_factor) * age / cold_start
