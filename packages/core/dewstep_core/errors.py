"""Failure types, which functions return inside `returns.Result`.

Failures that can be reported to a caller are registered with the HTTP status and the
outcome of the answer. The outcome states whether the request may have run:

- "not-run": it did not run; the caller may retry it.
- "unknown": it may have run.
- "bad-request": it did not run, and a retry would be refused again.
"""

import datetime
from typing import NamedTuple

from dewstep_core import registry

NOT_RUN = "not-run"
UNKNOWN = "unknown"
BAD_REQUEST = "bad-request"


class AnswerRule(NamedTuple):
    """How a failure is reported to a caller."""

    status: int
    outcome: str
    failure: type


answer_rules: registry.Registry[AnswerRule] = registry.Registry("failure")


def register_answer(status: int, outcome: str):
    """Return a decorator that registers a failure type with its answer."""

    def register_failure(failure: type) -> type:
        answer_rules.register(failure.__name__)(AnswerRule(status, outcome, failure))
        return failure

    return register_failure


# Bad requests.


@register_answer(404, BAD_REQUEST)
class UnknownService(NamedTuple):
    """No kind of any service matches the method and path."""

    method: str
    path: str


@register_answer(400, BAD_REQUEST)
class KeyMissing(NamedTuple):
    """The part of the request that should contain the key is absent or empty."""

    service: str
    part: str


@register_answer(400, BAD_REQUEST)
class KeyRepeated(NamedTuple):
    """The part of the request that should contain the key occurs more than once."""

    service: str
    part: str


@register_answer(400, BAD_REQUEST)
class KeyTooLong(NamedTuple):
    """The key exceeds the service's maximum length."""

    service: str
    size_bytes: int
    limit_bytes: int


@register_answer(400, BAD_REQUEST)
class MalformedRequest(NamedTuple):
    """The request violates HTTP/1.1, or a dewstep header has an invalid value."""

    detail: str


@register_answer(431, BAD_REQUEST)
class HeadersTooLarge(NamedTuple):
    """The request head exceeds the size limit."""

    limit_bytes: int


@register_answer(413, BAD_REQUEST)
class BodyTooLarge(NamedTuple):
    """The body exceeds the size limit of its kind."""

    limit_bytes: int


@register_answer(408, BAD_REQUEST)
class RequestTooSlow(NamedTuple):
    """The caller sent its request more slowly than the minimum rate."""

    limit: datetime.timedelta
    """Maximum time for the head, or time before the minimum rate applies."""


@register_answer(422, BAD_REQUEST)
class RequestIdReused(NamedTuple):
    """The request id was used for another request (kind, key or body differ)."""

    service: str
    request_id: str


@register_answer(400, BAD_REQUEST)
class RequestIdUnusable(NamedTuple):
    """The kind needs a time-ordered request id (UUID version 7)."""

    service: str
    request_id: str


# Refusals: the request did not run.


@register_answer(503, NOT_RUN)
class RequestIdAhead(NamedTuple):
    """The timestamp in the request id is too far ahead of this process's clock."""

    service: str
    request_id: str


@register_answer(503, NOT_RUN)
class InvariantBroken(NamedTuple):
    """An invariant does not hold, so the request was not sent."""

    invariant: str
    detail: str


@register_answer(503, NOT_RUN)
class NotReady(NamedTuple):
    """The process has not loaded a configuration or assignment yet."""

    missing: str
    """Row or record that is not loaded."""


@register_answer(503, NOT_RUN)
class Stopping(NamedTuple):
    """The process accepts no new requests because it is stopping."""

    entry: str


@register_answer(503, NOT_RUN)
class GateUnknown(NamedTuple):
    """The target that owns the key has no known live gate."""

    target: str


@register_answer(503, NOT_RUN)
class NotTheGate(NamedTuple):
    """The receiving process is not the gate of the target; routing can be retried."""

    target: str
    term: int


@register_answer(503, NOT_RUN)
class NotTheOwner(NamedTuple):
    """The target does not own the key at this version of the assignment."""

    target: str
    version: int


@register_answer(503, NOT_RUN)
class ShardMoving(NamedTuple):
    """The shard of the key is being moved to another target."""

    service: str
    shard: int


@register_answer(503, NOT_RUN)
class TargetUnavailable(NamedTuple):
    """The target has no valid grant or is unreachable; nothing was sent."""

    target: str
    reason: str


@register_answer(503, NOT_RUN)
class TargetRefused(NamedTuple):
    """The target refused the request without running it."""

    target: str
    reason: str


@register_answer(503, NOT_RUN)
class TargetPaused(NamedTuple):
    """The target asked for a pause, during which nothing is sent to it."""

    target: str
    retry_after: datetime.timedelta


@register_answer(503, NOT_RUN)
class TargetLeaving(NamedTuple):
    """The target has been leaving for too long to be sent a request."""

    target: str


@register_answer(503, NOT_RUN)
class TargetLimited(NamedTuple):
    """The limit that the target has named leaves no room for the request."""

    target: str
    limit: float
    """Requests/s that the target accepts from all instances together."""
    retry_after: datetime.timedelta


@register_answer(503, NOT_RUN)
class QueueFull(NamedTuple):
    """The target's queue holds more requests than can be served in time.

    Or, in a fleet, the target accepts no further connection at the moment.
    """

    target: str
    retry_after: datetime.timedelta


@register_answer(503, NOT_RUN)
class DemandExceeded(NamedTuple):
    """The demand for the target's keys exceeds its capacity; this request was shed."""

    target: str
    admitted_percent: int
    """Share of the demand that the target can serve."""
    retry_after: datetime.timedelta


@register_answer(503, NOT_RUN)
class DeadlineUnreachable(NamedTuple):
    """The request cannot be served before its deadline."""

    target: str
    retry_after: datetime.timedelta


@register_answer(503, NOT_RUN)
class ClaimUnavailable(NamedTuple):
    """The table service could not record the request id, so nothing was sent."""

    service: str
    reason: str


@register_answer(503, NOT_RUN)
class RegionUnavailable(NamedTuple):
    """No target in the regions that are allowed for the request is reachable.

    Or the owner of its key is in another region.
    """

    service: str
    regions: str
    """Allowed regions, separated by commas."""
    reason: str


@register_answer(503, NOT_RUN)
class RelayRefused(NamedTuple):
    """An instance cannot serve a request for one that does not reach the targets."""

    node: str
    reason: str


@register_answer(503, NOT_RUN)
class PeerUnreachable(NamedTuple):
    """The gate's process is unreachable; nothing was sent to it."""

    entry: str


@register_answer(503, NOT_RUN)
class RequestSuspected(NamedTuple):
    """Targets were lost that had an equal request in progress; this one was not sent.

    The suspicion may be wrong, and ends after a time.
    """

    fingerprint: str
    retry_after: datetime.timedelta


# The request may have run.


@register_answer(502, UNKNOWN)
class ConnectionLost(NamedTuple):
    """The connection was lost after the request had been forwarded."""

    peer: str


@register_answer(504, UNKNOWN)
class DeadlineExceeded(NamedTuple):
    """No complete answer was received before the deadline."""

    peer: str


@register_answer(502, UNKNOWN)
class AnswerInvalid(NamedTuple):
    """The answer violates HTTP, or the length of its body differs from that stated."""

    target: str
    detail: str


@register_answer(409, UNKNOWN)
class AlreadyClaimed(NamedTuple):
    """A request with this id may have run before; its answer is not known."""

    service: str
    request_id: str


@register_answer(422, UNKNOWN)
class Quarantined(NamedTuple):
    """The request crashed the targets that ran it and is not run again."""

    fingerprint: str


# Platform.


class Conflict(NamedTuple):
    """A check of a transaction did not hold; nothing was written."""

    keys: tuple[str, ...]
    """Keys of the rows whose checks failed."""


class RateExceeded(NamedTuple):
    """The platform refused a call due to its rate limit; the call had no effect."""

    service: str


class PlatformUnavailable(NamedTuple):
    """The call was not sent or the platform refused it; the call had no effect."""

    detail: str


class AnswerLost(NamedTuple):
    """The call was sent but no answer was received; it may have taken effect."""

    detail: str


class RowInvalid(NamedTuple):
    """A table row does not have the expected format."""

    key: str
    detail: str


# Settings and records.


class FieldWrong(NamedTuple):
    """A field of a settings file or configuration record is invalid."""

    file: str
    place: str
    expected: str
    found: str


class SchemaUnknown(NamedTuple):
    """A record names a schema version that this program does not support."""

    file: str
    place: str
    found: str
