"""Decides whether and when a failed request is retried.

Each service and data centre has a budget: a first attempt adds a fraction of a token
and a retry takes one, so that retries add at most a tenth to the load even when a
service fails entirely. Budgets start empty and hold few tokens, so that a long period
without failures does not allow a burst of retries. Only one stage of the request path
may retry a given failure, because the retries of several stages would multiply.

A request is retried only if it is idempotent or certainly did not run.
"""

import datetime
import random
from collections.abc import Hashable
from typing import Any, NamedTuple

from dewstep_core import errors

# The tokens saved before a failure are added to those earned during it. With these two
# values, the sum stays below a tenth of any 1,000 requests.
TOKENS_PER_FIRST_ATTEMPT = 0.09
"""Tokens that each first attempt adds."""
MAX_BUDGET_TOKENS = 10.0
"""Capacity of a budget, and so the largest burst of retries."""

FIRST_DELAY = datetime.timedelta(milliseconds=10)
MAX_DELAY = datetime.timedelta(milliseconds=500)
MIN_DELAY_SHARE = 0.5
"""The delay is chosen between this share of the backoff and all of it."""
MAX_ATTEMPTS = 4
"""Maximum number of attempts of one request, including the first."""

# Failures that a retry cannot change: the queue has no slot for the request before its
# deadline, the deadline has passed, the request has run, or it is quarantined.
FINAL_FAILURES = (
    errors.QueueFull,
    errors.DeadlineUnreachable,
    errors.DeadlineExceeded,
    errors.AlreadyClaimed,
    errors.Quarantined,
)

# The request reached a process that is no longer the gate or owner, or soon will not
# be. It was sent to no target, so its first retry costs no token.
REDIRECTS = (
    errors.NotTheGate,
    errors.NotTheOwner,
    errors.ShardMoving,
    errors.TargetLeaving,
    errors.Stopping,
)


class Retry(NamedTuple):
    """Send the request again at `at`."""

    at: datetime.timedelta


class NoRetry(NamedTuple):
    """Return the failure to the caller now."""

    reason: str
    """"not-retryable", "may-have-run", "attempts", "deadline" or "budget"."""


class Attempt(NamedTuple):
    """A failed attempt."""

    number: int
    """1 for the first attempt."""
    idempotent: bool
    failure: Any
    """One of the tuples in `dewstep_core.errors`."""
    deadline: datetime.timedelta
    expected_duration: datetime.timedelta
    """Expected duration of another attempt."""


class Description(NamedTuple):
    """State of one budget, for dumps and metrics."""

    tokens: float
    first_attempts: int
    retries: int
    refused: int


class Budget:
    """Tokens for the retries of one service in one data centre."""

    def __init__(self):
        self.tokens = 0.0
        self.first_attempts = 0
        self.retries = 0
        self.refused = 0

    def add_first_attempt(self) -> None:
        """Add the tokens of a first attempt."""
        self.first_attempts += 1
        self.tokens = min(MAX_BUDGET_TOKENS, self.tokens + TOKENS_PER_FIRST_ATTEMPT)

    def take_token(self) -> bool:
        """Take a token for a retry and return whether one was available."""
        if self.tokens < 1:
            self.refused += 1
            return False
        self.tokens -= 1
        self.retries += 1
        return True


class Retries:
    """Decides about retries with a budget for each service and data centre.

    Parameters
    ----------
    generator : random.Random
        Source of the jitter.
    """

    def __init__(self, generator: random.Random):
        self.generator = generator
        self.budgets: dict[tuple[str, str], Budget] = {}

    def get_budget(self, service: str, data_centre: str) -> Budget:
        """Return the budget for requests of a service to one data centre."""
        return self.budgets.setdefault((service, data_centre), Budget())

    def add_first_attempt(self, service: str, data_centre: str) -> None:
        """Add the tokens of a first attempt."""
        self.get_budget(service, data_centre).add_first_attempt()

    def decide(
        self,
        service: str,
        data_centre: str,
        attempt: Attempt,
        now: datetime.timedelta,
    ) -> Retry | NoRetry:
        """Return whether and when to retry a failed request.

        The token is taken last, so that a request that is not retried for another
        reason costs none.
        """
        reason = find_reason_against_retry(attempt)
        if reason is not None:
            return NoRetry(reason)
        at = now + self.choose_delay(attempt.number)
        if at + attempt.expected_duration > attempt.deadline:
            return NoRetry("deadline")
        if (
            costs_no_token(attempt)
            or self.get_budget(service, data_centre).take_token()
        ):
            return Retry(at)
        return NoRetry("budget")

    def choose_delay(self, number: int) -> datetime.timedelta:
        """Return the jittered exponential backoff after attempt `number`."""
        backoff = min(MAX_DELAY, FIRST_DELAY * 2 ** (number - 1))
        share = MIN_DELAY_SHARE + (1 - MIN_DELAY_SHARE) * self.generator.random()
        return backoff * share

    def describe(self) -> dict[Hashable, Description]:
        """Return the state of each budget by service and data centre."""
        return {
            service_and_centre: Description(
                budget.tokens, budget.first_attempts, budget.retries, budget.refused
            )
            for service_and_centre, budget in self.budgets.items()
        }


def find_reason_against_retry(attempt: Attempt) -> str | None:
    """Return the reason why the attempt must not be retried, or None."""
    if attempt.number >= MAX_ATTEMPTS:
        return "attempts"
    rule = errors.answer_rules.get(type(attempt.failure).__name__)
    # Without a rule, the request may have run.
    outcome = errors.UNKNOWN if rule is None else rule.outcome
    if outcome == errors.BAD_REQUEST or isinstance(attempt.failure, FINAL_FAILURES):
        return "not-retryable"
    if outcome == errors.UNKNOWN and not attempt.idempotent:
        return "may-have-run"
    return None


def costs_no_token(attempt: Attempt) -> bool:
    """Return whether a retry of this attempt costs no token."""
    return attempt.number == 1 and isinstance(attempt.failure, REDIRECTS)
