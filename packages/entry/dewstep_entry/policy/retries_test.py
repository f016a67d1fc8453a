import datetime
import random

from hypothesis import given, strategies

from dewstep_core import errors
from dewstep_entry.policy import retries

MILLISECOND = datetime.timedelta(milliseconds=1)
LOST = errors.ConnectionLost("t1")
UNAVAILABLE = errors.TargetUnavailable("t1", "refused")


def build_attempt(failure, number=1, idempotent=True, deadline=1000 * MILLISECOND):
    return retries.Attempt(number, idempotent, failure, deadline, 20 * MILLISECOND)


def decide(retry_policy, attempt, now=0 * MILLISECOND):
    return retry_policy.decide("history", "dc1", attempt, now)


def simulate_failure(seed, limited):
    """Return the attempts per request while a service refuses every request."""
    retry_policy, generator, sent = (
        retries.Retries(random.Random(seed)),
        random.Random(seed),
        0,
    )
    for request in range(20_000):
        now, number, failing = request * MILLISECOND, 1, 5_000 < request < 15_000
        retry_policy.add_first_attempt("history", "dc1")
        sent += failing
        while failing or generator.random() < 0.01:
            if limited:
                decision = decide(
                    retry_policy,
                    build_attempt(
                        UNAVAILABLE, number, deadline=now + 9000 * MILLISECOND
                    ),
                )
                if isinstance(decision, retries.NoRetry):
                    break
            elif number == retries.MAX_ATTEMPTS:
                break
            number += 1
            sent += failing
    return sent / 9_999


def test_retries_add_at_most_a_tenth_to_the_load_during_a_total_failure():
    # Guards against a retry storm that prevents a failed service from recovering.
    limited, unlimited = simulate_failure(1, True), simulate_failure(1, False)
    print(f"load with budget {limited:.3f}, with fixed retry count {unlimited:.3f}")
    assert limited <= 1.10
    assert unlimited > 1.10


@given(strategies.lists(strategies.booleans(), max_size=300))
def test_retries_never_exceed_a_tenth_of_the_first_attempts(steps):
    # Guards against a burst of retries at any time, including from a new budget.
    retry_policy = retries.Retries(random.Random(1))
    for first in steps:
        if first:
            retry_policy.add_first_attempt("history", "dc1")
        else:
            decide(retry_policy, build_attempt(UNAVAILABLE))
        budget = retry_policy.get_budget("history", "dc1")
        assert budget.retries <= budget.first_attempts / 10 + 1e-6


@given(
    strategies.sampled_from(sorted(errors.answer_rules)),
    strategies.booleans(),
    strategies.integers(1, 6),
    strategies.integers(0, 2000),
)
def test_decide_respects_outcome_and_deadline(name, idempotent, number, now):
    # Guards against running a non-idempotent request twice, and against retries that
    # cannot finish before the deadline.
    rule = errors.answer_rules.get(name)
    failure = rule.failure(*("x" for _ in rule.failure._fields))
    retry_policy = retries.Retries(random.Random(number))
    retry_policy.get_budget("history", "dc1").tokens = 5.0
    attempt = build_attempt(failure, number, idempotent)
    decision = decide(retry_policy, attempt, now * MILLISECOND)
    if isinstance(decision, retries.Retry):
        assert rule.outcome == errors.NOT_RUN or idempotent
        assert rule.outcome != errors.BAD_REQUEST
        assert (
            now * MILLISECOND
            < decision.at
            <= attempt.deadline - attempt.expected_duration
        )
        assert not isinstance(failure, errors.Quarantined)


def test_first_redirect_costs_no_token_and_budgets_are_separate():
    # Guards against a handover that uses up the retry budget for failures.
    retry_policy = retries.Retries(random.Random(1))
    moved = errors.NotTheGate("t1", 3)
    assert isinstance(decide(retry_policy, build_attempt(moved)), retries.Retry)
    assert decide(retry_policy, build_attempt(moved, 2)) == retries.NoRetry("budget")
    retry_policy.get_budget("history", "dc2").tokens = 5.0
    assert decide(retry_policy, build_attempt(LOST)) == retries.NoRetry("budget")
    assert retry_policy.describe()["history", "dc1"].refused == 2


def test_backoff_grows_and_is_jittered():
    # Guards against simultaneous retries after a common failure.
    retry_policy = retries.Retries(random.Random(1))
    first = {retry_policy.choose_delay(1) for _ in range(50)}
    assert len(first) > 40 and max(first) <= retries.FIRST_DELAY
    assert min(retry_policy.choose_delay(3) for _ in range(50)) > max(first)
    assert retry_policy.choose_delay(30) <= retries.MAX_DELAY
