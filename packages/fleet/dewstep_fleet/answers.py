"""Builds the answers of an instance to requests that failed.

Unlike in RFC 9110, `Retry-After` may have a fraction of a second.
"""

import datetime
import json
from typing import Any

from dewstep_core import data, errors
from dewstep_entry import failures


def build_answer(failure: Any, retry_after: datetime.timedelta | None) -> data.Answer:
    """Return the answer that reports `failure` to a caller.

    Parameters
    ----------
    failure : tuple
        One of the failures of `dewstep_core.errors`.
    retry_after : datetime.timedelta or None
        Time after which the caller should retry, sent if the request did not run.
    """
    rule = failures.find_rule(failure)
    name = type(failure).__name__
    headers = [
        (b"content-type", b"application/json"),
        (b"dewstep-outcome", rule.outcome.encode()),
        (b"dewstep-failure", name.encode()),
    ]
    if rule.outcome == errors.NOT_RUN and retry_after is not None:
        seconds = retry_after.total_seconds()
        headers.append((b"retry-after", b"%.3f" % seconds))
    content = {
        "type": name,
        "outcome": rule.outcome,
        "detail": failures.encode_fields(failure),
    }
    body = json.dumps(content).encode()
    return data.Answer(
        rule.status, tuple(headers), len(body), data.Body(body, None), name
    )
