"""Passes requests on to other instances, and serves requests of other instances.

An instance that does not reach the targets passes its callers' requests on to instances
that do. Each instance serves such requests at a port of its own, with the HTTP server
for callers, so that bodies are streamed both ways, a caller's disconnection cancels the
request and a stopping instance finishes it. A request is passed on once: an instance
that reaches no target either refuses it at once, and the next one is tried. The next
one is also tried after an instance that does not reach the owner of the request's key.
"""

import collections
import datetime
import functools
import json
import random
from collections.abc import Callable
from typing import Any, NamedTuple

import h11
from returns import result

from dewstep_core import clocks, data, errors, events, settings
from dewstep_entry import failures, header_rules
from dewstep_entry.targets import answering, connection_pool, traffic
from dewstep_fleet import answers, directories, model
from dewstep_fleet.regions import places

ATTEMPTS_HEADER = b"dewstep-relay-attempts"
"""Number of attempts left, in requests between instances."""
FAILURE_HEADER = b"dewstep-relay-failure"
"""Name of the failure, in answers between instances that no target has sent."""
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=250)
MAX_IDLE_TIME = datetime.timedelta(seconds=7)
MAX_CONNECTIONS = 64
"""Maximum number of connections to another instance."""
REFUSED_PERIOD = datetime.timedelta(seconds=1)
"""Time for which an instance is avoided that refused a request or was unreachable."""
MAX_RELAYED_REQUESTS = 128
"""Maximum number of requests of other instances in progress."""
REMOTE_PENALTY = 2.0
"""Requests in progress by which an instance of the own data centre is preferred, since
bytes between data centres have a price."""
HEAD_MARGIN_BYTES = 1_024
"""Size of the headers that instances add."""
HEAD_GROWTH = 2
"""Factor by which a head may grow when it is built again: a header takes at least three
bytes ("a:" and LF) from a caller, and two more between instances."""
INITIAL_LIMITS = settings.CallerLimits(
    head_bytes=262_144, body_grace=datetime.timedelta(seconds=10)
)
"""Limits for requests of other instances, which have applied those of the configuration
to their callers. They only bound the memory for heads and the time of slow bodies, and
are wider than those of any configuration that this instance does not know yet."""
UNSERVED_REASON = "cannot serve the request: "
"""Start of the reason, before the name of a failure, with which an instance refuses a
request that other instances may serve. The instance itself is not avoided then."""
QUARANTINED_REASON = UNSERVED_REASON + errors.Quarantined.__name__
MAX_PEERS = 8
"""Maximum number of instances that one request is offered to."""
UNREACHED_SEARCH_TIME = datetime.timedelta(milliseconds=300)
"""Time after which no further instance is asked for a target that others did not reach.
It allows for two that wait in vain for a connection."""


class RelayOutcome(NamedTuple):
    """Result of passing a request on."""

    answer: data.Answer | None
    failure: Any
    """None if there is an answer."""
    body_used: bool = False
    """Whether a part of a streamed body has been sent, which is not kept."""


class RelaySender:
    """Passes requests on to other instances.

    Parameters
    ----------
    node, data_centre : str
        Name and data centre of this instance.
    directory : directories.Directory
    request_id : bytes
        Header with the id of a request.
    clock : clocks.Clock
    generator : random.Random
    """

    def __init__(
        self,
        node: str,
        data_centre: str,
        directory: directories.Directory,
        request_id: bytes,
        clock: clocks.Clock,
        generator: random.Random,
    ):
        self.node = node
        self.data_centre = data_centre
        self.directory = directory
        self.rules = answering.AnswerRules(request_id, b"", None, buffered=True)
        self.clock = clock
        self.random = generator
        self.pools: dict[model.Member, connection_pool.ConnectionPool] = {}
        self.traffic = traffic.Traffic()
        """Bytes of the requests passed on and of their answers."""
        self.in_progress = collections.Counter()
        """Requests passed on to each instance."""
        self.refused_until: dict[str, datetime.timedelta] = {}
        directory.listeners.append(self._apply_member_changes)

    def list_peers(
        self, may_receive: Callable[[model.Member], bool] = lambda member: True
    ) -> list[model.Member]:
        """Return the instances that accept requests, the preferred one first.

        Those for which `may_receive` returns false are left out.
        """
        now = self.clock.monotonic()
        peers = [
            member
            for member in self.directory.members.values()
            if member.node != self.node
            and member.relay_port
            and self.refused_until.get(member.node, now) <= now
            and may_receive(member)
        ]
        return sorted(peers, key=self._rank)[:MAX_PEERS]

    def _rank(self, member: model.Member) -> tuple[float, float]:
        load = self.in_progress[member.node] / max(member.strength, 0.1)
        if member.data_centre != self.data_centre:
            load += REMOTE_PENALTY
        return load, self.random.random()

    async def send(
        self,
        build_head: Callable[[], h11.Request],
        body: data.Body,
        due_at: datetime.timedelta,
        request_id: bytes,
        find_refusal: Callable[[], Any] = lambda: None,
        may_receive: Callable[[model.Member], bool] = lambda member: True,
    ) -> RelayOutcome:
        """Pass a request on to the first instance that accepts it.

        Fails with `errors.RelayRefused` if none does, or with the failure of a target
        that none of them reached; the request was not run then.

        Parameters
        ----------
        build_head : callable
            Returns the head of the request, with the time that is left.
        body : data.Body
        due_at : datetime.timedelta
        request_id : bytes
        find_refusal : callable, optional
            Called before each try; returns the failure of a request that must not be
            sent any more.
        may_receive : callable, optional
            Whether the request may be passed on to an instance; asked again right
            before it is sent.
        """
        failure: Any = errors.RelayRefused(self.node, "no other instance")
        unreached: errors.TargetUnavailable | None = None
        refused = False
        began = self.clock.monotonic()
        for member in self.list_peers(may_receive):
            if self.clock.monotonic() >= due_at:
                break
            refusal = find_refusal()
            if refusal is not None:
                return RelayOutcome(None, refusal)
            sent = await self._send_to(
                member,
                build_head(),
                body,
                due_at,
                request_id,
                functools.partial(
                    find_member_refusal, member, find_refusal, may_receive
                ),
            )
            if isinstance(sent, result.Success):
                answer = sent.unwrap()
                failure = find_failure(answer, member.node, self.rules.request_id)
                if failure is None:
                    events.info(
                        "passed_on",
                        request_id=request_id.decode("latin-1"),
                        node=member.node,
                        status=answer.status,
                    )
                    return RelayOutcome(answer, None)
            else:
                failure = sent.failure()
            events.info("relay_failed", node=member.node, failure=failure)
            if not isinstance(failure, errors.RelayRefused | errors.TargetUnavailable):
                return RelayOutcome(None, failure)
            sent_body = body.rest is not None and isinstance(sent, result.Success)
            if not is_refusal(failure, member.node):
                # Other instances may reach that target.
                unreached = failure
                elapsed = self.clock.monotonic() - began
                if sent_body or elapsed >= UNREACHED_SEARCH_TIME:
                    return RelayOutcome(None, failure, sent_body)
                continue
            refused = True
            if not failure.reason.startswith(UNSERVED_REASON):
                now = self.clock.monotonic()
                self.refused_until[member.node] = now + REFUSED_PERIOD
            if sent_body or failure.reason == QUARANTINED_REASON:
                # The other instances would run a request that may crash targets.
                return RelayOutcome(None, failure, sent_body)
        if unreached is not None and not refused:
            return RelayOutcome(None, unreached)
        if not isinstance(failure, errors.RelayRefused):
            failure = errors.RelayRefused(self.node, "no other instance is reachable")
        return RelayOutcome(None, failure)

    async def _send_to(
        self,
        member: model.Member,
        head: h11.Request,
        body: data.Body,
        due_at: datetime.timedelta,
        request_id: bytes,
        find_refusal: Callable[[], Any],
    ):
        pool = self.pools.get(member)
        if pool is None:
            pool = self.pools[member] = connection_pool.ConnectionPool(
                member.node,
                settings.Address(member.host, member.relay_port),
                self.clock,
                MAX_CONNECTIONS,
                connect_timeout=CONNECT_TIMEOUT,
                rules=self.rules,
                reuse_delay=datetime.timedelta(),
                max_idle_time=MAX_IDLE_TIME,
                counts=self.traffic,
            )
        self.in_progress[member.node] += 1
        try:
            return await pool.send(head, body, due_at, request_id, find_refusal)
        finally:
            self.in_progress[member.node] -= 1

    def _apply_member_changes(self, changed_rows: list[model.StoredRow]) -> None:
        """Close connections to instances that are gone or have restarted."""
        if not any(row.table == model.TABLES.fleet for row in changed_rows):
            return
        members = set(self.directory.members.values())
        for member in [item for item in self.pools if item not in members]:
            self.pools.pop(member).retire()
            self.refused_until.pop(member.node, None)


def find_member_refusal(
    member: model.Member,
    find_refusal: Callable[[], Any],
    may_receive: Callable[[model.Member], bool],
) -> Any:
    """Return the failure of a request that must not be sent to an instance, or None."""
    refusal = find_refusal()
    if refusal is None and not may_receive(member):
        return build_refusal(member.node, errors.RegionUnavailable.__name__)
    return refusal


def is_refusal(failure: Any, node: str) -> bool:
    """Whether a failure says that an instance itself was unreachable or refused."""
    return getattr(failure, "target", node) == node


def find_failure(
    answer: data.Answer, node: str, request_id_header: bytes
) -> Any | None:
    """Return why an instance did not serve a request, or None for a target's answer.

    An instance decides by the configuration that it knows, which may be older than that
    of the sender. What it finds wrong with the request itself is therefore no answer
    for the caller, but a refusal of this instance.

    Parameters
    ----------
    answer : data.Answer
        Answer of the instance.
    node : str
        Name of the instance.
    request_id_header : bytes
        Header with the request's id, which each answer of a target repeats.
    """
    headers = dict(answer.headers)
    name = headers.get(FAILURE_HEADER, b"").decode("latin-1")
    if not name and request_id_header not in headers:
        name = find_listener_failure(answer)
    if not name:
        return None
    if is_local(name):
        return build_refusal(node, name)
    failure = restore_failure(answer)
    rule = errors.answer_rules.get(name)
    outcome = headers.get(b"dewstep-outcome", b"").decode("latin-1")
    if rule is not None:
        outcome = rule.outcome
    if isinstance(failure, errors.AnswerInvalid) and outcome == errors.NOT_RUN:
        # The answer to a HEAD request has no body with the details, and other versions
        # have failures that are unknown here.
        return build_refusal(node, name)
    return failure


def is_local(name: str) -> bool:
    """Whether a failure only says what one instance knows about a request.

    The request was not run after any of them.
    """
    rule = errors.answer_rules.get(name)
    if rule is None:
        return False
    known_locally = issubclass(rule.failure, errors.NotReady | errors.Quarantined)
    return known_locally or rule.outcome == errors.BAD_REQUEST


def find_listener_failure(answer: data.Answer) -> str:
    """Return the name of a failure that an instance's listener reports, or "".

    The listeners of earlier versions do not mark their refusals of malformed or too
    large requests.
    """
    try:
        name = json.loads(answer.body.start)["type"]
    except (ValueError, KeyError, TypeError):
        return ""
    rule = errors.answer_rules.get(name) if isinstance(name, str) else None
    if rule is None or rule.outcome != errors.BAD_REQUEST:
        return ""
    return name if rule.status == answer.status else ""


def restore_failure(answer: data.Answer) -> Any | None:
    """Return the failure that an instance reports, or None for a target's answer."""
    name = dict(answer.headers).get(FAILURE_HEADER)
    if name is None:
        return None
    try:
        detail = json.loads(answer.body.start)["detail"]
    except (ValueError, KeyError, TypeError):
        detail = None
    failure = failures.decode_fields(name.decode("latin-1"), detail)
    if failure is None:
        # The outcome is unknown, unlike that of other failures.
        return errors.AnswerInvalid("", "unreadable failure of another instance")
    return failure


class RelayReceiver:
    """Request handler for requests that other instances have passed on.

    Parameters
    ----------
    node : str
        Name of this instance.
    handler : object
        Handles the requests of callers.
    """

    def __init__(self, node: str, handler):
        self.node = node
        self.handler = handler
        self.in_progress = 0

    async def handle(
        self, request: model.IncomingRequest
    ) -> result.Result[data.Answer, Any]:
        """Return the answer to a request, marked if no target has sent it."""
        if self.in_progress >= MAX_RELAYED_REQUESTS:
            failure = errors.RelayRefused(self.node, "too many requests")
            return result.Success(mark_answer(answers.build_answer(failure, None)))
        self.in_progress += 1
        try:
            outcome = await self.handler.handle(request)
        finally:
            self.in_progress -= 1
        return outcome.map(self._mark)

    def _mark(self, answer: data.Answer) -> data.Answer:
        """Return an answer as the sender reads it.

        A failure that rejects the request itself is final for senders of earlier
        versions, so it is reported as a refusal of this instance.
        """
        rule = errors.answer_rules.get(answer.failure)
        if rule is not None and rule.outcome == errors.BAD_REQUEST:
            failure = build_refusal(self.node, answer.failure)
            return mark_answer(answers.build_answer(failure, None))
        return mark_answer(answer)

    def choose_refusal(self, failure: Any) -> errors.RelayRefused:
        """Return the failure to report for a request that the listener refuses."""
        return build_refusal(self.node, type(failure).__name__)


def build_refusal(node: str, name: str) -> errors.RelayRefused:
    """Return the refusal of a request that failed at one instance only."""
    return errors.RelayRefused(node, UNSERVED_REASON + name)


def render_refusal(failure: Any, jitter: Callable[[], float]) -> data.Answer:
    """Return the answer of the listener for other instances to a refused request."""
    return mark_answer(answers.build_answer(failure, None))


def adapt_limits(limits: settings.CallerLimits) -> settings.CallerLimits:
    """Return the limits for requests of other instances under a configuration."""
    head_bytes = limits.head_bytes * HEAD_GROWTH + HEAD_MARGIN_BYTES
    return INITIAL_LIMITS._replace(
        head_bytes=max(INITIAL_LIMITS.head_bytes, head_bytes)
    )


def mark_answer(answer: data.Answer) -> data.Answer:
    """Return an answer with the name of its failure, if no target has sent it."""
    headers = tuple(item for item in answer.headers if item[0] != FAILURE_HEADER)
    if answer.failure:
        headers = (*headers, (FAILURE_HEADER, answer.failure.encode()))
    return answer._replace(headers=headers)


def read_attempts(headers: data.Headers) -> int:
    """Return the attempts left to a request of another instance, at least 1."""
    value = dict(headers).get(ATTEMPTS_HEADER, b"")
    return max(1, int(value)) if value.isdigit() and len(value) < 4 else 1


def read_regions(headers: data.Headers) -> tuple[str, ...]:
    """Return the regions to which another instance restricts a request, if any."""
    value = dict(headers).get(places.REGIONS_HEADER)
    return () if value is None else places.decode_regions(value)


def add_attempts(
    headers: data.Headers, attempts: int, regions: tuple[str, ...] = ()
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request that is passed on.

    `regions` has the regions to which it is restricted, if any.
    """
    kept = header_rules.drop_headers(headers, frozenset({ATTEMPTS_HEADER}))
    added = [(ATTEMPTS_HEADER, b"%d" % attempts)]
    if regions:
        added.append((places.REGIONS_HEADER, places.encode_regions(regions)))
    return [*kept, *added]
