"""Headers and statuses by which a target's answer identifies or refuses a request.

A target may also say in an answer that it is leaving, that it wants no requests for
some time, or how many requests per second it accepts from all instances together.
"""

import datetime
import re
from collections.abc import Mapping
from typing import NamedTuple

PAUSE_STATUS = 503
"""Status of an answer whose Retry-After asks for a pause."""
MAXIMUM_PAUSE = datetime.timedelta(minutes=5)
MAXIMUM_WARM_UP = datetime.timedelta(minutes=5)
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")

_LOAD = re.compile(rb"([0-9]{1,5}),([0-9]{1,5}),([0-9]{1,5})(?:,([0-9]{1,4}))?")
"""Larger numbers are no plausible load."""


class AnswerRules(NamedTuple):
    """Meaning of headers and statuses in a target's answers; names in lower case."""

    request_id: bytes
    """Header with the id of the request that is answered."""
    refusal: bytes
    """Header that marks a request that was not run."""
    refusal_statuses: frozenset[int] | None
    """Statuses for which the refusal header is accepted; None for all."""
    refusing_statuses: frozenset[int] = frozenset()
    """Statuses that mark a refusal without the header."""
    instance: bytes = b""
    """Header with the name of the answering target; b"" if there is none."""
    has_request_id: bool = False
    """Whether each answer contains its request id. An answer to another request is then
    skipped, and bytes after an answer do not invalidate it; otherwise both make the
    exchange fail."""
    buffered: bool = False
    """Whether a small answer without an announced length is buffered until it is
    complete, so that a truncated one can still be replaced by a failure."""
    leaving: bytes = b""
    """Header with the value "1" in the answers of a leaving target; b"" if there is
    none."""
    pause: bytes = b""
    """Header of an answer with `PAUSE_STATUS` with the seconds for which the target
    wants no requests; b"" if there is none."""
    limit: bytes = b""
    """Header with the number of requests per second that the target accepts from all
    instances together; b"" if there is none."""
    warm_up: bytes = b""
    """Header with the milliseconds for which the target is still cold after its start;
    b"" if there is none."""
    load: bytes = b""
    """Header with the requests at the target; b"" if there is none. See
    `read_load`."""


DEWSTEP_RULES = AnswerRules(
    b"dewstep-request-id", b"dewstep-refused", frozenset({409, 503})
)
"""Rules for targets that implement the dewstep protocol."""


MAXIMUM_REASON_LENGTH = 200
"""Length to which reasons of refusals are cut, since they are logged."""
REPLACED = "replaced"
"""Reason of a refusal by another target that has taken over the address."""


class ReportedLoad(NamedTuple):
    """The load that a target has reported of itself."""

    requests: int
    """Requests that run or wait there."""
    pace: float
    """How long work takes at this moment, relative to what is usual."""


class Notice(NamedTuple):
    """What a target has said about itself in an answer."""

    leaving: bool
    pause: datetime.timedelta
    """Time for which it wants no requests; zero if it accepts them."""
    limit: float | None = None
    """Requests per second that it accepts from all instances together; None if it
    names no limit."""
    warm_up_left: datetime.timedelta | None = None
    """Time for which it is still cold, or None if it does not say."""
    load: ReportedLoad | None = None


def find_notice(
    rules: AnswerRules, status: int, fields: Mapping[bytes, bytes], target: str
) -> Notice | None:
    """Return what a target says about itself in an answer, or None.

    Parameters
    ----------
    rules : AnswerRules
    status : int
        Status of the answer.
    fields : mapping
        Headers of the answer.
    target : str
        Name of the target that the request was sent to.
    """
    leaving = fields.get(rules.leaving) == b"1"
    pause = datetime.timedelta()
    if status == PAUSE_STATUS:
        pause = read_pause(fields.get(rules.pause))
    limit = load = warm_up_left = None
    if status not in rules.refusing_statuses:
        # A process that refuses requests for others may not be the target.
        limit = read_limit(fields.get(rules.limit))
        load = read_load(fields.get(rules.load))
        warm_up_left = read_warm_up(fields.get(rules.warm_up))
    if not (leaving or pause or load) and limit is None and warm_up_left is None:
        return None
    instance = fields.get(rules.instance)
    if instance and instance.decode("latin-1") != target:
        return None
    return Notice(leaving, pause, limit, warm_up_left, load)


def read_pause(value: bytes | None) -> datetime.timedelta:
    """Return the duration of a pause, at most `MAXIMUM_PAUSE`; zero if invalid."""
    if value is None or not _DECIMAL.fullmatch(value):
        return datetime.timedelta()
    return min(datetime.timedelta(seconds=float(value)), MAXIMUM_PAUSE)


def read_limit(value: bytes | None) -> float | None:
    """Return a number of requests per second, or None if missing or invalid."""
    if value is None or not _DECIMAL.fullmatch(value):
        return None
    return float(value)


def read_warm_up(value: bytes | None) -> datetime.timedelta | None:
    """Return the time left of a warm-up, or None if missing or invalid."""
    if value is None or not _DECIMAL.fullmatch(value):
        return None
    return min(datetime.timedelta(milliseconds=float(value)), MAXIMUM_WARM_UP)


def read_load(value: bytes | None) -> ReportedLoad | None:
    """Return the load in a header, or None if it is missing or invalid.

    The value is `running,waiting,slots` or `running,waiting,slots,pace`, with the pace
    in per cent.
    """
    found = _LOAD.fullmatch(value) if value is not None else None
    if found is None:
        return None
    running, waiting, slots, pace = (int(item or b"100") for item in found.groups())
    if not slots or not pace:
        return None
    return ReportedLoad(running + waiting, pace / 100)


def find_refusal(
    rules: AnswerRules,
    status: int,
    refusal_value: bytes | None,
    target: str = "",
    instance: bytes | None = None,
) -> str:
    """Return the reason for which a target refused a request, "" if it did not.

    Parameters
    ----------
    rules : AnswerRules
    status : int
        Status of the answer.
    refusal_value : bytes or None
        Value of the refusal header, if there is one.
    target : str, optional
        Name of the target that the request was sent to.
    instance : bytes or None, optional
        Name in the answer of the target that sent it, if there is one.
    """
    if status in rules.refusing_statuses:
        replaced = instance and instance.decode("latin-1") != target
        return REPLACED if replaced else str(status)
    if not refusal_value:
        return ""
    if rules.refusal_statuses is not None and status not in rules.refusal_statuses:
        return ""
    return refusal_value[:MAXIMUM_REASON_LENGTH].decode("latin-1")
