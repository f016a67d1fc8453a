"""How a target's answers name their request and refuse it."""

from typing import NamedTuple


class AnswerRules(NamedTuple):
    """Headers of a target's answers, in lower case, and what they mean."""

    request_id: bytes
    """Header with the id of the request that the answer belongs to."""
    refusal: bytes
    """Header that says that the request was not run."""
    refusal_statuses: frozenset[int] | None
    """Statuses with which that header counts; None for all."""
    refusing_statuses: frozenset[int] = frozenset()
    """Statuses that say the same without the header."""
    identified: bool = False
    """Whether each answer names its request. A stray answer is then skipped, and bytes
    after an answer do not devalue it; otherwise both end the exchange."""
    held_back: bool = False
    """Whether an answer is awaited whole, up to a small size, also where its length is
    not announced, so that a broken one can still be replaced."""


OWN = AnswerRules(b"dewstep-request-id", b"dewstep-refused", frozenset({409, 503}))
"""The protocol of dewstep's own targets."""


def find_refusal(rules: AnswerRules, status: int, value: bytes | None) -> str:
    """Return why a target refused a request, or "" if it did not.

    Parameters
    ----------
    rules : AnswerRules
    status : int
        Status of the answer.
    value : bytes or None
        Value of the refusal header, if there is one.
    """
    if status in rules.refusing_statuses:
        return str(status)
    if not value:
        return ""
    if rules.refusal_statuses is not None and status not in rules.refusal_statuses:
        return ""
    return value.decode("latin-1")
