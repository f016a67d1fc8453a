import datetime
import random

from hypothesis import given, strategies

from dewstep_core import errors
from dewstep_entry.policy import retries

MS = datetime.timedelta(milliseconds=1)
LOST = errors.ConnectionLost("t1")
UNAVAILABLE = errors.TargetUnavailable("t1", "refused")


def build_attempt(failure, number=1, idempotent=True, deadline=1000 * MS):
    return retries.Attempt(number, idempotent, failure, deadline, 20 * MS)


def decide(unit, attempt, now=0 * MS):
    return unit.decide("history", "dc1", attempt, now)


def simulate_failure(seed, limited):
    """Return attempts over requests when a service refuses everything for a while."""
    unit, generator, sent = retries.Retries(random.Random(seed)), random.Random(seed), 0
    for request in range(20_000):
        now, number, failing = request * MS, 1, 5_000 < request < 15_000
        unit.add_first_attempt("history", "dc1")
        sent += failing
        while failing or generator.random() < 0.01:
            if limited:
                decision = decide(
                    unit, build_attempt(UNAVAILABLE, number, deadline=now + 9000 * MS)
                )
                if isinstance(decision, retries.GiveUp):
                    break
            elif number == retries.ATTEMPT_LIMIT:
                break
            number += 1
            sent += failing
    return sent / 9_999


def test_retries_add_a_tenth_at_most_in_a_total_failure():
    # Guards against a retry storm that keeps a failed service down.
    limited, plain = simulate_failure(1, True), simulate_failure(1, False)
    print(f"load in a total failure: budget {limited:.3f}, fixed count {plain:.3f}")
    assert limited <= 1.10
    assert plain > 1.10


@given(strategies.lists(strategies.booleans(), max_size=300))
def test_retries_never_exceed_a_tenth_of_the_first_attempts(steps):
    # Guards against a burst at any moment, also from a new budget.
    unit = retries.Retries(random.Random(1))
    for first in steps:
        if first:
            unit.add_first_attempt("history", "dc1")
        else:
            decide(unit, build_attempt(UNAVAILABLE))
        budget = unit.get_budget("history", "dc1")
        assert budget.retries <= budget.first_attempts / 10 + 1e-6


@given(
    strategies.sampled_from(sorted(errors.answer_rules)),
    strategies.booleans(),
    strategies.integers(1, 6),
    strategies.integers(0, 2000),
)
def test_decide_respects_outcome_and_deadline(name, idempotent, number, now):
    # Guards against a booking that runs twice and a retry that comes too late.
    rule = errors.answer_rules.get(name)
    failure = rule.failure(*("x" for _ in rule.failure._fields))
    unit = retries.Retries(random.Random(number))
    unit.get_budget("history", "dc1").tokens = 5.0
    attempt = build_attempt(failure, number, idempotent)
    decision = decide(unit, attempt, now * MS)
    if isinstance(decision, retries.Retry):
        assert rule.outcome == errors.NOT_RUN or idempotent
        assert rule.outcome != errors.BAD_REQUEST
        assert now * MS < decision.at <= attempt.deadline - attempt.expected
        assert not isinstance(failure, errors.Quarantined)


def test_redirect_is_free_once_and_budgets_are_apart():
    # Guards against a hand-over that uses up the budget of real failures.
    unit = retries.Retries(random.Random(1))
    moved = errors.NotTheGate("t1", 3)
    assert isinstance(decide(unit, build_attempt(moved)), retries.Retry)
    assert decide(unit, build_attempt(moved, 2)) == retries.GiveUp("budget")
    unit.get_budget("history", "dc2").tokens = 5.0
    assert decide(unit, build_attempt(LOST)) == retries.GiveUp("budget")
    assert unit.describe()["history", "dc1"].refused == 2


def test_backoff_grows_and_is_jittered():
    # Guards against retries of one failure that arrive in step.
    unit = retries.Retries(random.Random(1))
    first = {unit.choose_delay(1) for _ in range(50)}
    assert len(first) > 40 and max(first) <= retries.FIRST_DELAY
    assert min(unit.choose_delay(3) for _ in range(50)) > max(first)
    assert unit.choose_delay(30) <= retries.LONGEST_DELAY
