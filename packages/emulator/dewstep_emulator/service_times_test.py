"""Tests of the distributions of service times."""

import random
import statistics

import pytest

from dewstep_emulator import service_times


@pytest.mark.parametrize("name", list(service_times.distributions))
def test_distributions_have_the_given_mean_and_repeat_with_the_seed(name):
    draw = service_times.distributions.get(name)
    source, again = random.Random(1), random.Random(1)
    values = [draw(source, 2.0) for _ in range(20_000)]
    assert statistics.fmean(values) == pytest.approx(2.0, rel=0.05)
    assert values[:10] == [draw(again, 2.0) for _ in range(10)]
    assert draw(source, 0.0) == 0.0


def test_cold_factor_decreases_linearly_to_one():
    factors = [service_times.compute_cold_factor(age, 2, 5) for age in (0, 1, 2, 3)]
    assert factors == [5, 3, 1, 1]
    assert service_times.compute_cold_factor(0, 0, 5) == 1
