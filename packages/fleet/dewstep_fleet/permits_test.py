"""Tests of the permits that a coordinator issues."""

import datetime
import math
import random

import pytest

from dewstep_fleet import builders, permits

SECOND = builders.SECOND
NOTHING = datetime.timedelta()
WINDOW_S = 4


def issue(issuer, now, rate=3.0, count=1, life=1):
    """Ask for permits for one target."""
    return issuer.issue("a", life, rate, count, now)


# Guards against windows in which more permits are issued than the platform allows.
@pytest.mark.parametrize("rate", [0.0, 0.3, 1.0, 3.0, 5.3, 200.0])
@pytest.mark.parametrize("seed", range(5))
def test_permits_of_any_window_keep_the_limit(rate, seed):
    generator = random.Random(seed)
    issuer = permits.PermitIssuer()
    now = NOTHING
    issued = []
    while now < 20 * SECOND:
        now += SECOND * generator.expovariate(4 * max(rate, 1.0))
        count = generator.choice([1, 1, 1, 5, 40])
        issued += [now] * issue(issuer, now, rate, count).count
    for first in issued:
        window = [at for at in issued if first <= at < first + WINDOW_S * SECOND]
        assert len(window) <= 1.5 * rate * WINDOW_S + 5
    expected = rate * 20
    assert len(issued) >= expected * 0.9 - 1


# Guards against a successor that allows what its predecessor has just allowed.
def test_new_issuer_begins_without_permits():
    issuer = permits.PermitIssuer()
    assert issue(issuer, NOTHING, count=10).count == 0
    assert issue(issuer, SECOND, count=10).count == 3


# Guards against a wait after which there is still no permit.
def test_permit_is_available_after_the_stated_wait():
    issuer = permits.PermitIssuer()
    refused = issue(issuer, NOTHING)
    assert refused.count == 0 and refused.wait > NOTHING
    assert issue(issuer, refused.wait).count == 1


# Guards against a restarted target that gets the permits saved for the earlier process.
def test_new_incarnation_has_a_bucket_of_its_own():
    issuer = permits.PermitIssuer()
    issue(issuer, NOTHING)
    assert issue(issuer, SECOND, life=2).count == 0


# Guards against requests that a limit holds up after its end.
def test_all_permits_are_issued_without_a_limit():
    issuer = permits.PermitIssuer()
    assert issue(issuer, NOTHING, rate=math.inf, count=99) == (99, NOTHING)
