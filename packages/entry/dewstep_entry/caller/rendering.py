"""Renders answers as HTTP/1.1 messages."""

import http
from collections.abc import Callable
from typing import Any

import h11

from dewstep_core import data
from dewstep_entry import failures

NO_BODY_STATUSES = frozenset({204, 304})
REASON_PHRASES = {status.value: status.phrase.encode() for status in http.HTTPStatus}


def render_failure(failure: Any, jitter: Callable[[], float]) -> data.Answer:
    """Return the answer for a failure, whose retry time is varied by `jitter`."""
    return failures.build_failure_answer(failure, jitter)


def render_head(answer: data.Answer, method: bytes, close: bool) -> h11.Response:
    """Return the head of an answer.

    Parameters
    ----------
    answer : data.Answer
        The answer; its headers must not contain framing.
    method : bytes
        Method of the request.
    close : bool
        Whether the connection is closed after the answer.
    """
    headers = list(answer.headers)
    length = answer.body_length
    if answer.status in NO_BODY_STATUSES:
        length = None
    elif length is None and answer.body.rest is None and method != b"HEAD":
        length = len(answer.body.start)
    if length is not None:
        headers.append((b"content-length", b"%d" % length))
    if close:
        headers.append((b"connection", b"close"))
    reason = REASON_PHRASES.get(answer.status, b"")
    return h11.Response(status_code=answer.status, headers=headers, reason=reason)


def has_body(answer: data.Answer, method: bytes) -> bool:
    """Whether the answer is sent with a body."""
    return method != b"HEAD" and answer.status not in NO_BODY_STATUSES
