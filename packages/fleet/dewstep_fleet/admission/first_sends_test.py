"""Tests of the time since a caller first sent a request."""

import random

import pytest

from dewstep_fleet.admission import first_sends


@pytest.mark.parametrize("first_sends_share", [1.0, 0.25])
def test_missing_time_is_the_time_since_the_first_send(first_sends_share):
    # Guards against sending callers who come back too late for their objective ahead of
    # those who can still meet it.
    deadlines = first_sends.FirstDeadlines()
    generator = random.Random(1)
    for _ in range(2_000):
        deadline = 3_057
        if generator.random() > first_sends_share:
            deadline -= generator.randrange(150, 2_000)
        deadlines.observe("lookup", deadline)
    assert deadlines.estimate_elapsed("lookup", 3_057) == 0
    assert deadlines.estimate_elapsed("lookup", 2_700) == 357
    assert deadlines.estimate_elapsed("other", 2_700) == 0


def test_callers_with_a_shorter_deadline_are_not_late():
    # Guards against refusing callers whose deadline is shorter than that of others.
    deadlines = first_sends.FirstDeadlines()
    for number in range(100):
        deadlines.observe("lookup", 3_000 if number % 4 else 1_000)
    assert deadlines.estimate_elapsed("lookup", 1_000) == 0
    assert deadlines.estimate_elapsed("lookup", 900) == 100
    generator = random.Random(1)
    for _ in range(100):
        deadlines.observe("varied", generator.randrange(1_000, 9_000))
    assert deadlines.estimate_elapsed("varied", 1_500) == 0
