"""Tests of requests to targets that have named a limit."""

import pytest

from dewstep_entry.targets import answering
from dewstep_fleet import (
    builders,
    demands,
    dispatch_test,
    granting_test,
    planning,
    target_notices_test,
)

LIMITED = answering.Notice(False, target_notices_test.NOTHING, 3.0)
KEY = target_notices_test.KEY


def name_limit(harness, target="a"):
    """Let an instance receive an answer with a limit."""
    target_notices_test.give_notice(harness, target, LIMITED)


# Guards against requests above the limit where other targets can run them.
def test_unkeyed_requests_without_a_permit_go_to_other_targets():
    harness = dispatch_test.Harness(*[200] * 20)
    name_limit(harness)
    for _ in range(20):
        assert harness.send().status == 200
    assert {name for name, _, _ in harness.sent} == {"b"}


# Guards against a limit that keeps requests from a target altogether.
def test_permits_are_used():
    harness = dispatch_test.Harness(*[200] * 40, targets="a")
    name_limit(harness)
    harness.participant.permits = 3
    statuses = []
    for _ in range(10):
        statuses.append(harness.send().status)
        name_limit(harness)
    assert statuses.count(200) == 3 and statuses.count(503) == 7


# Guards against requests that are held or lost when all targets have a limit.
@pytest.mark.parametrize("keyed", [True, False])
def test_request_is_refused_as_not_run_without_a_permit(keyed):
    harness = dispatch_test.Harness(keyed=keyed, idempotent=False)
    name_limit(harness, "a")
    name_limit(harness, "b")
    answer = harness.send(headers=KEY, method="POST")
    assert answer.status == 503 and not harness.sent
    assert dispatch_test.get_outcome(answer) == b"not-run"
    assert 0.3 <= target_notices_test.get_retry_after(answer) <= 0.45
    assert answer.failure == "TargetLimited"


# Guards against a resend that uses no permit, which the target counts all the same.
def test_resend_needs_a_permit_of_its_own():
    harness = dispatch_test.Harness(dispatch_test.lost, 200, targets="ab")
    name_limit(harness, "a")
    name_limit(harness, "b")
    harness.participant.permits = 1
    harness.send()
    assert len(harness.sent) == 1


# Guards against a permit that is lost with a resend that the retry budget prevents.
def test_permit_of_a_prevented_resend_is_kept():
    harness = dispatch_test.Harness(dispatch_test.lost, targets="ab")
    harness.dispatcher.retry_budgets.set_timing(
        builders.build_timing(retry_ratio=0, retry_slack=0)
    )
    name_limit(harness, "a")
    name_limit(harness, "b")
    harness.participant.permits = 2
    assert harness.send().status == 502
    assert len(harness.sent) == 1
    limits = harness.participant.limits.limits.values()
    assert sum(len(limit.permits) for limit in limits) == 1


# Guards against requests that were admitted before the limit was known, and are sent
# without a permit after a wait for a connection.
def test_waiting_request_needs_a_permit_once_the_limit_is_known():
    harness = dispatch_test.Harness(200, targets="a")
    get_pool = harness.dispatcher.pools.get

    def name_limit_first(service, target):
        name_limit(harness)
        return get_pool(service, target)

    harness.dispatcher.pools.get = name_limit_first
    assert harness.send().status == 503
    assert not harness.sent


# Guards against a limit that its target's next answers do not end.
def test_answer_without_a_limit_ends_it():
    harness = dispatch_test.Harness(200, 200, targets="a")
    name_limit(harness)
    harness.participant.permits = 1
    harness.clock.advance(builders.SECOND)
    assert harness.send().status == 200
    assert harness.participant.limits.list_rates() == {}
    assert harness.send().status == 200


# Guards against a limit that counts as ended because its target fails.
def test_failure_without_a_limit_does_not_end_it():
    harness = dispatch_test.Harness(500, targets="a")
    name_limit(harness)
    harness.participant.permits = 1
    harness.clock.advance(builders.SECOND)
    harness.send()
    assert harness.participant.limits.list_rates() == {"a": 3.0}


# Guards against keys that stay with an owner that accepts few requests.
@pytest.mark.parametrize(("rate", "expected"), [(3.0, 3.0), (0.0, 0.1), (900.0, 20.0)])
def test_capacity_of_a_target_is_at_most_its_limit(rate, expected):
    harnesses = []
    harness = granting_test.build_harness(harnesses, "a", "b")
    granter = harness.elect("n1")
    demand = demands.Demand({}, {"a": 0.2, "b": 0.2}, 1.5, {"a": rate})
    capacities = granter.rebalancer.get_capacities("history", demand)
    assert capacities["a"] == planning.Capacity("a", expected)
    assert capacities["b"].rate == 20.0
