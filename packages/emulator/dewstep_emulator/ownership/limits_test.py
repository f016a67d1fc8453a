"""Tests of the simulation of targets that name limits."""

import datetime

import pytest

from dewstep_emulator.ownership import limits
from dewstep_fleet import limit_states, permits, request_limits

SEEDS = range(6)
NO_FAULTS = ()


# Guards against a coordinator change, a cut or a restart after which the instances
# together exceed the limit of a target.
@pytest.mark.parametrize("seed", SEEDS)
def test_limit_holds_under_faults(seed):
    assert limits.run(seed).violations == ()


# Guards against a check that finds nothing: the limit is ignored.
def test_ignored_limit_is_found(monkeypatch):
    def issue_all(issuer, target, life, rate, count, now):
        return permits.Issue(count, datetime.timedelta())

    monkeypatch.setattr(permits.PermitIssuer, "issue", issue_all)
    violations = limits.run(4, faults=NO_FAULTS).violations
    assert {item.kind for item in violations} == {"limit"}


# Guards against a check that finds nothing: each instance uses the whole limit.
def test_limit_kept_by_each_instance_alone_is_found(monkeypatch):
    def take_share(known, target, limit, now):
        issue = known.issuer.issue(target.name, target.life, limit.rate, 1, now)
        return limit_states.Permit(target.name, now) if issue.count else None

    monkeypatch.setattr(request_limits.RequestLimits, "is_isolated", lambda *_: True)
    monkeypatch.setattr(request_limits.RequestLimits, "_take_share", take_share)
    create = request_limits.RequestLimits.__init__

    def create_with_issuer(known, *arguments):
        create(known, *arguments)
        known.issuer = permits.PermitIssuer()

    monkeypatch.setattr(request_limits.RequestLimits, "__init__", create_with_issuer)
    violations = limits.run(4, faults=NO_FAULTS).violations
    assert {item.kind for item in violations} == {"limit"}
