"""Encodes failures as answers and decodes them.

`detail` in the JSON body contains the failure's fields, so that a process that receives
the answer from a gate can restore the failure.
"""

import datetime
import json
import random
from collections.abc import Callable
from typing import Any

from dewstep_core import data, errors

DEFAULT_RETRY_AFTER = datetime.timedelta(milliseconds=200)
"""Base delay for failures without `retry_after`. It is short, because a key whose gate
failed is served again within 1 s."""
DEFAULT_RULE = errors.AnswerRule(500, errors.UNKNOWN, tuple)
"""Rule for failures without a rule of their own, which should not reach an answer."""


def find_rule(failure: Any) -> errors.AnswerRule:
    """Return the rule with status and outcome for a failure."""
    return errors.answer_rules.get(type(failure).__name__) or DEFAULT_RULE


def encode_fields(failure: Any) -> dict[str, Any]:
    """Return the fields of a failure as JSON values; durations become seconds."""
    return {
        name: value.total_seconds() if isinstance(value, datetime.timedelta) else value
        for name, value in failure._asdict().items()
    }


def decode_fields(name: str, fields: Any) -> Any | None:
    """Return the failure of type `name` with `fields`, or None if that is impossible.

    Parameters
    ----------
    name : str
        Name of a registered failure type.
    fields : dict
        Result of `encode_fields` after a round trip through JSON.
    """
    rule = errors.answer_rules.get(name)
    if rule is None or not isinstance(fields, dict):
        return None
    types = rule.failure.__annotations__
    if fields.keys() != types.keys():
        return None
    try:
        return rule.failure(
            **{
                field: datetime.timedelta(seconds=value)
                if types[field] is datetime.timedelta
                else value
                for field, value in fields.items()
            }
        )
    except (TypeError, OverflowError):
        return None


def choose_retry_after(
    failure: Any, jitter: Callable[[], float] = random.random
) -> datetime.timedelta | None:
    """Return the delay before the caller may retry, or None.

    None means that the request must not be retried automatically.
    The delay is its base multiplied by a random factor from 1 to 2, so that callers
    that were refused together do not retry together.
    """
    if find_rule(failure).outcome != errors.NOT_RUN:
        return None
    base = getattr(failure, "retry_after", DEFAULT_RETRY_AFTER)
    return max(base, datetime.timedelta(milliseconds=1)) * (1 + jitter())


def build_failure_answer(
    failure: Any, jitter: Callable[[], float] = random.random
) -> data.Answer:
    """Return the answer that reports `failure` to a caller.

    Parameters
    ----------
    failure : tuple
        One of the failures of `dewstep_core.errors`.
    jitter : callable
        Returns the jitter, from 0 to 1.
    """
    rule = find_rule(failure)
    name = type(failure).__name__
    retry_after = choose_retry_after(failure, jitter)
    headers = [
        (b"content-type", b"application/json"),
        (b"dewstep-outcome", rule.outcome.encode()),
        (b"dewstep-failure", name.encode()),
    ]
    if retry_after is not None:
        second = datetime.timedelta(seconds=1)
        millisecond = datetime.timedelta(milliseconds=1)
        headers.append((b"retry-after", b"%d" % -(-retry_after // second)))
        milliseconds = -(-retry_after // millisecond)
        headers.append((b"dewstep-retry-after-ms", b"%d" % milliseconds))
    content = {
        "type": name,
        "outcome": rule.outcome,
        "detail": encode_fields(failure),
        "retry_after": None if retry_after is None else retry_after.total_seconds(),
    }
    body = json.dumps(content).encode()
    return data.Answer(
        rule.status, tuple(headers), len(body), data.Body(body, None), name
    )


def restore_failure(answer: data.Answer) -> Any | None:
    """Return the failure in a result of `build_failure_answer`, or None."""
    if not answer.failure:
        return None
    try:
        content = json.loads(answer.body.start)
    except ValueError:
        return None
    if not isinstance(content, dict):
        return None
    return decode_fields(answer.failure, content.get("detail"))
