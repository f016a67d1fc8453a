"""Whether and when a failed request is sent again.

Each service and data centre has a budget: a first attempt adds a part of a token and
a retry takes one, so that retries add at most a tenth to the load, also when a service
fails entirely. Budgets start empty and hold few tokens, so that a long quiet time
can't be saved up for a burst. Only one stage of the path may hold budgets; budgets at
several stages would multiply.

A request is sent again only if it is idempotent or certainly did not run.
"""

import datetime
import random
from collections.abc import Hashable
from typing import Any, NamedTuple

from dewstep_core import errors

# The tokens that were saved before a failure come on top of those of the ratio. With
# these two values both together stay below a tenth of any 1,000 requests.
BUDGET_RATIO = 0.09
"""Retries for each first attempt."""
BUDGET_TOKENS = 10.0
"""Most tokens in a budget: the largest burst of retries."""

FIRST_DELAY = datetime.timedelta(milliseconds=10)
LONGEST_DELAY = datetime.timedelta(milliseconds=500)
LEAST_JITTER = 0.5
"""The delay is chosen between this part of the backoff and all of it."""
ATTEMPT_LIMIT = 4
"""Attempts of one request, the first included."""

# These failures stand until something other than a resend changes them: the queue has
# decided for the whole time up to the deadline, or the request has run.
FINAL = (
    errors.QueueFull,
    errors.DeadlineUnreachable,
    errors.DeadlineExceeded,
    errors.AlreadyClaimed,
    errors.Quarantined,
)

# The request met a process that is not the gate or owner any more or soon will not be.
# It came to no target, so that its first resend to the right process costs no token.
REDIRECTS = (
    errors.NotTheGate,
    errors.NotTheOwner,
    errors.ShardMoving,
    errors.Stopping,
)


class Retry(NamedTuple):
    """Send the request again at `at`."""

    at: datetime.timedelta


class GiveUp(NamedTuple):
    """Return the failure to the caller now."""

    reason: str
    """"not-retryable", "may-have-run", "attempts", "deadline" or "budget"."""


class Attempt(NamedTuple):
    """What the decision has to know of a failed attempt."""

    number: int
    """1 for the first attempt."""
    idempotent: bool
    failure: Any
    """One of the tuples in `dewstep_core.errors`."""
    deadline: datetime.timedelta
    expected: datetime.timedelta
    """Time that one more attempt is expected to take."""


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
        """Note that a request was sent for the first time."""
        self.first_attempts += 1
        self.tokens = min(BUDGET_TOKENS, self.tokens + BUDGET_RATIO)

    def take(self) -> bool:
        """Take a token for a retry; return whether there was one."""
        if self.tokens < 1:
            self.refused += 1
            return False
        self.tokens -= 1
        self.retries += 1
        return True


class Retries:
    """Budgets by service and data centre, and the decision about each failure.

    Parameters
    ----------
    generator : random.Random
        Source of the jitter.
    """

    def __init__(self, generator: random.Random):
        self.generator = generator
        self.budgets: dict[tuple[str, str], Budget] = {}

    def get_budget(self, service: str, data_centre: str) -> Budget:
        """Return the budget of a service towards one data centre."""
        return self.budgets.setdefault((service, data_centre), Budget())

    def add_first_attempt(self, service: str, data_centre: str) -> None:
        """Note that a request was sent for the first time."""
        self.get_budget(service, data_centre).add_first_attempt()

    def decide(
        self,
        service: str,
        data_centre: str,
        attempt: Attempt,
        now: datetime.timedelta,
    ) -> Retry | GiveUp:
        """Return whether and when to send a failed request again.

        The token is taken last, so that a request which is given up for another
        reason leaves it to others.
        """
        reason = find_obstacle(attempt)
        if reason is not None:
            return GiveUp(reason)
        at = now + self.choose_delay(attempt.number)
        if at + attempt.expected > attempt.deadline:
            return GiveUp("deadline")
        if is_free(attempt) or self.get_budget(service, data_centre).take():
            return Retry(at)
        return GiveUp("budget")

    def choose_delay(self, number: int) -> datetime.timedelta:
        """Return the jittered exponential backoff after attempt `number`."""
        backoff = min(LONGEST_DELAY, FIRST_DELAY * 2 ** (number - 1))
        part = LEAST_JITTER + (1 - LEAST_JITTER) * self.generator.random()
        return backoff * part

    def describe(self) -> dict[Hashable, Description]:
        """Return the state of each budget by service and data centre."""
        return {
            place: Description(
                budget.tokens, budget.first_attempts, budget.retries, budget.refused
            )
            for place, budget in self.budgets.items()
        }


def find_obstacle(attempt: Attempt) -> str | None:
    """Return why the attempt may not be repeated at all, or None."""
    if attempt.number >= ATTEMPT_LIMIT:
        return "attempts"
    rule = errors.answer_rules.get(type(attempt.failure).__name__)
    # Without a rule it is not known whether the request ran.
    outcome = errors.UNKNOWN if rule is None else rule.outcome
    if outcome == errors.BAD_REQUEST or isinstance(attempt.failure, FINAL):
        return "not-retryable"
    if outcome == errors.UNKNOWN and not attempt.idempotent:
        return "may-have-run"
    return None


def is_free(attempt: Attempt) -> bool:
    """Return whether the next attempt costs no token."""
    return attempt.number == 1 and isinstance(attempt.failure, REDIRECTS)
