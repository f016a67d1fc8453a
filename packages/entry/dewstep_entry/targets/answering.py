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
    instance: bytes = b""
    """Header that names the target that answers; b"" if there is none."""
    identified: bool = False
    """Whether each answer names its request. A stray answer is then skipped, and bytes
    after an answer do not devalue it; otherwise both end the exchange."""
    held_back: bool = False
    """Whether an answer is awaited whole, up to a small size, also where its length is
    not announced, so that a broken one can still be replaced."""


OWN = AnswerRules(b"dewstep-request-id", b"dewstep-refused", frozenset({409, 503}))
"""The protocol of dewstep's own targets."""


REPLACED = "replaced"
"""Why a request was refused at an address that another target has by now."""


def find_refusal(
    rules: AnswerRules,
    status: int,
    value: bytes | None,
    target: str = "",
    instance: bytes | None = None,
) -> str:
    """Return why a target refused a request, or "" if it did not.

    Parameters
    ----------
    rules : AnswerRules
    status : int
        Status of the answer.
    value : bytes or None
        Value of the refusal header, if there is one.
    target : str, optional
        Name of the target that was meant.
    instance : bytes or None, optional
        Name that the target gives of itself, if it does.
    """
    if status in rules.refusing_statuses:
        replaced = instance and instance.decode("latin-1") != target
        return REPLACED if replaced else str(status)
    if not value:
        return ""
    if rules.refusal_statuses is not None and status not in rules.refusal_statuses:
        return ""
    return value.decode("latin-1")
