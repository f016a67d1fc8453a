"""Takes a request to a target and its answer back.

A request goes through these steps: find its route, choose a part of a split, find the
owner of its key or the target that finishes first, see whether it can be served in
time, send it, and judge the answer. It is sent again only if it certainly did not run
or may run twice, within the attempts of its route and the budget of the fleet. What
cannot be served is refused at once, with the time at which it may be.
"""

import asyncio
import datetime
import hashlib
import random
from collections.abc import Callable
from typing import Any, NamedTuple

import h11
from returns import result

from dewstep_core import clock as clocks, data, errors, events, settings, tasks
from dewstep_entry import failures, header_rules
from dewstep_entry.targets import answering, pooling
from dewstep_fleet import (
    answers,
    budgets,
    coordination,
    directory as directories,
    loads as load_counts,
    model,
    routes,
    selection,
)

DEFAULT_DEADLINE = datetime.timedelta(seconds=30)
"""For a request that names none and whose route has no timeout."""
DEADLINE_MARGIN = datetime.timedelta(milliseconds=10)
"""Taken off the time that a target gets, for the way back to the caller."""
TRANSIT_PATIENCE = datetime.timedelta(milliseconds=600)
"""Longest wait for a key that changes hands in a planned move: the owner finishes what
waits and runs, about two service times."""
START_PATIENCE = datetime.timedelta(milliseconds=300)
"""Longest wait for the first configuration or owners."""
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=250)
"""A connection takes 1 ms at the target and 2 ms of network; one lost packet is sent
again after 200 ms."""
BLOCK = datetime.timedelta(milliseconds=1000)
"""Time for which a target that could not be reached is avoided."""
REPLACED_BLOCK = datetime.timedelta(seconds=5)
"""The same if its address has another target: its own registration ends soon."""
KEEP_IDLE = datetime.timedelta(seconds=7)
"""Targets close connections that were idle for 10 s."""
QUEUE_DEPTH = 4
"""Requests at a target, in multiples of its slots, above which it is full: it queues
three or four for each slot."""
OWNER_PAUSE = datetime.timedelta(milliseconds=100)
"""Longest wait for news after the owner of a key failed; news takes a few ms."""
MOST_TRIES = 5
"""Tries of one request, those included that reached no target."""
MISDIRECTED = "421"
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses by which callers understand that a request has not run."""
CRASHES = 3
"""Targets that a request may end before it is refused."""
CONFIRMATION = datetime.timedelta(seconds=6)
"""Time in which a target's registration ends after its end: three of its heartbeats,
with twice that for a store that is slow."""
ANSWER_BYTES = 5_000
"""Typical size of an answer, for the choice of a target."""
RETRY_AFTER = datetime.timedelta(milliseconds=300)
"""Base of the time after which a refused caller should come back: about one service
time, in which a slot of each target becomes free."""


class Plan(NamedTuple):
    """What is known of a request before it is sent."""

    arrival: model.Arrival
    route: model.Route
    service: model.Service
    key: int | None
    deadline: datetime.timedelta
    """When the caller gives up."""
    limit: datetime.timedelta
    """When the caller must have an answer: the deadline or the route's timeout."""
    timed: bool
    """Whether `limit` is the route's timeout."""
    fingerprint: bytes


class Suspicion(NamedTuple):
    """A request that may have ended a target."""

    fingerprint: bytes
    life: int
    at: datetime.timedelta


class Outcome(NamedTuple):
    """How one attempt ended."""

    answer: data.Answer | None
    failure: Any
    """None for a success."""
    target: str
    """"" if there was no attempt."""


class Dispatcher:
    """Implements `interfaces.RequestHandler` for `model.Arrival`.

    Parameters
    ----------
    node, data_centre : str
        Of this instance.
    directory : directories.Directory
    counts : load_counts.Loads
    allowance : budgets.Budgets
    fleet : coordination.Fleet
    dialect : model.Dialect
    rules : answering.AnswerRules
    clock : clocks.Clock
    generator : random.Random
    note_key : callable
        Takes service and key of each request for a keyed service.
    """

    def __init__(
        self,
        node: str,
        data_centre: str,
        directory: directories.Directory,
        counts: load_counts.Loads,
        allowance: budgets.Budgets,
        fleet: coordination.Fleet,
        dialect: model.Dialect,
        rules: answering.AnswerRules,
        clock: clocks.Clock,
        generator: random.Random,
        note_key: Callable[[str, int], None],
    ):
        self.node = node
        self.data_centre = data_centre
        self.directory = directory
        self.counts = counts
        self.allowance = allowance
        self.fleet = fleet
        self.dialect = dialect
        self.rules = rules
        self.clock = clock
        self.random = generator
        self.note_key = note_key
        self.index = routes.EMPTY
        self.least_urgent: dict[str, int] = {}
        """Highest priority number of the routes to each service."""
        self.splitter = routes.Splitter()
        self.pools: dict[tuple[str, int, str, int], pooling.ConnectionPool] = {}
        self.in_progress = 0
        self.background = tasks.TaskOwner(self.receive_failure)
        self.suspicions: dict[str, set[Suspicion]] = {}
        """Requests that may have ended a target, by the target."""
        directory.listeners.append(self._prune)

    # Entry.

    async def handle(self, arrival: model.Arrival) -> result.Result[data.Answer, Any]:
        """Return the answer to a caller's request."""
        self.in_progress += 1
        try:
            planned = await self.identify(arrival)
            if isinstance(planned, result.Failure):
                return result.Success(self.refuse(arrival, planned.failure(), None))
            plan = planned.unwrap()
            if plan.route.repeatable:
                return result.Success(await self.serve(plan))
            return result.Success(await self.serve_to_the_end(plan))
        finally:
            self.in_progress -= 1

    async def serve_to_the_end(self, plan: Plan) -> data.Answer:
        """Serve a request that must not be broken off because its caller left."""
        task = self.background.spawn(self.serve(plan))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if plan.arrival.body.rest is not None:
                # The rest of the body can never come.
                task.cancel()
            raise

    def receive_failure(self, error: BaseException, task: str) -> None:
        """Log a failed task; its caller has been answered by then or has left."""
        events.exception("dispatch_failed", error, task=task)

    # Identification.

    async def identify(self, arrival: model.Arrival) -> result.Result[Plan, Any]:
        """Find the route, service, key and times of a request."""
        end = arrival.arrived + START_PATIENCE
        while self.directory.routes is None:
            left = (end - self.clock.monotonic()).total_seconds()
            if left <= 0:
                return result.Failure(errors.NotReady("configuration"))
            await self.directory.wait_change(self.directory.sequence, left)
        table = self.directory.routes
        if table.version != self.index.version:
            self.index = routes.build_index(table)
            self.least_urgent = routes.find_least_urgent(table)
            self.counts.keep_routes({route.name for route in table.routes})
        headers = dict(arrival.headers)
        host = headers.get(b"host", b"").decode("latin-1")
        route = routes.find(self.index, host, arrival.path)
        if route is None:
            return result.Failure(errors.UnknownService(arrival.method, arrival.path))
        name = self.splitter.choose(route)
        service = table.services.get(name)
        if service is None:
            return result.Failure(errors.NotReady(name))
        key = None
        if service.keyed:
            key = read_key(headers.get(self.dialect.key))
            if key is None:
                part = self.dialect.key.decode()
                return result.Failure(errors.KeyMissing(name, part))
            self.note_key(name, key)
        now = arrival.arrived
        given = read_milliseconds(headers.get(self.dialect.deadline))
        timeout = route.timeout
        deadline = now + (given or timeout or DEFAULT_DEADLINE)
        timed = timeout is not None and now + timeout < deadline
        limit = now + timeout if timed else deadline
        self.allowance.get(name).add_request()
        fingerprint = compute_fingerprint(
            arrival.method, arrival.path, arrival.body.start
        )
        return result.Success(
            Plan(arrival, route, service, key, deadline, limit, timed, fingerprint)
        )

    # Serving.

    async def serve(self, plan: Plan) -> data.Answer:
        """Try until there is an answer or another try is not allowed."""
        had: set[str] = set()
        # What the caller gets if nothing better comes; a target's own failure goes
        # before one of this instance.
        kept = None
        answer = None
        runs = arrivals = tries = 0
        while tries < MOST_TRIES:
            outcome = await self.try_once(plan, frozenset(had), arrivals)
            if outcome.answer is not None:
                answer = outcome.answer
                if outcome.failure is None:
                    return answer
            failure = outcome.failure
            kept = choose_failure(kept, failure)
            if not outcome.target:
                break
            tries += 1
            had.add(outcome.target)
            if not isinstance(failure, errors.TargetUnavailable):
                arrivals += 1
                runs += not isinstance(failure, errors.TargetRefused)
            if not self.is_worth_repeating(plan, failure, runs):
                break
            if plan.key is not None and not await self.await_owner(plan, failure):
                break
        if answer is not None:
            return answer
        return self.refuse(plan.arrival, kept, plan)

    async def try_once(self, plan: Plan, had: frozenset[str], arrivals: int) -> Outcome:
        """Return the outcome of one attempt, or what prevents it."""
        if self.fleet.crashes.get(plan.fingerprint, 0) >= CRASHES:
            return Outcome(None, errors.Quarantined(plan.fingerprint.hex()), "")
        found = await self.find_target(plan, had)
        if isinstance(found, result.Failure):
            return Outcome(None, found.failure(), "")
        choice = found.unwrap()
        budget = self.allowance.get(plan.service.name)
        if arrivals and not budget.take(self.fleet.live):
            failure = errors.TargetUnavailable(choice.target.name, "retry budget")
            return Outcome(None, failure, "")
        return await self.attempt(plan, choice)

    def is_worth_repeating(self, plan: Plan, failure: Any, runs: int) -> bool:
        """Whether a request that failed may be sent again and may then succeed."""
        if isinstance(failure, errors.DeadlineExceeded | errors.MalformedRequest):
            return False
        refused = isinstance(failure, errors.TargetRefused)
        if refused and plan.key is not None and failure.reason != MISDIRECTED:
            # The owner is full, and nobody else may run the request.
            return False
        not_run = refused or isinstance(failure, errors.TargetUnavailable)
        if not (not_run or plan.route.repeatable):
            return False
        return self.may_repeat(plan, runs)

    def may_repeat(self, plan: Plan, runs: int) -> bool:
        """Whether a request that may have run `runs` times may be sent once more."""
        if plan.arrival.body.rest is not None:
            # What was read of the body is gone.
            return False
        if runs >= plan.route.attempts:
            return False
        return self.clock.monotonic() + DEADLINE_MARGIN * 5 < plan.limit

    async def await_owner(self, plan: Plan, failure: Any) -> bool:
        """Wait shortly after the owner of a key failed; false if it is no use.

        An owner that does not hold the key can only be replaced by news: asking it
        again would use up the budget.
        """
        left = (plan.limit - self.clock.monotonic()) / 4
        end = self.clock.monotonic() + min(left, OWNER_PAUSE)
        known = self.find_holding(plan)
        while self.find_holding(plan) == known:
            patience = (end - self.clock.monotonic()).total_seconds()
            if patience <= 0:
                return not isinstance(failure, errors.TargetRefused)
            await self.directory.wait_change(self.directory.sequence, patience)
        return True

    def find_holding(self, plan: Plan) -> tuple[model.Holding | None, bool]:
        """Return who has the key of a request, and whether that is changing."""
        service = plan.service.name
        ownership = self.directory.ownerships.get(service)
        holding = ownership.find(plan.key) if ownership is not None else None
        return holding, self.directory.is_moving(service, plan.key)

    async def find_target(
        self, plan: Plan, had: frozenset[str]
    ) -> result.Result[selection.Choice, Any]:
        """Return the target that should get the request now."""
        if plan.key is not None:
            return await self.find_owner(plan)
        targets = self.directory.by_service.get(plan.service.name, ())
        now = self.clock.monotonic().total_seconds()
        body = plan.arrival.body_length or len(plan.arrival.body.start)
        choice = selection.choose(
            targets,
            self.counts,
            now,
            self.data_centre,
            body + ANSWER_BYTES,
            self.random,
            had,
            plan.route.name,
        )
        if choice is None:
            return result.Failure(errors.NotReady(plan.service.name))
        return self.admit(plan, choice)

    async def find_owner(self, plan: Plan) -> result.Result[selection.Choice, Any]:
        """Return the owner of the key, after a short wait if it is changing."""
        service, key = plan.service.name, plan.key
        began = self.clock.monotonic()
        while True:
            sequence = self.directory.sequence
            ownership = self.directory.ownerships.get(service)
            holding = ownership.find(key) if ownership is not None else None
            moving = self.directory.is_moving(service, key)
            target = self.directory.targets.get(holding.target) if holding else None
            if holding is not None and not moving and target is not None:
                if target.life == holding.life and target.service == service:
                    break
                moving = True
            waited = self.clock.monotonic() - began
            end = min(TRANSIT_PATIENCE, (plan.limit - began) / 4)
            if waited >= end:
                if holding is None:
                    return result.Failure(errors.NotReady(f"owner of {key}"))
                owner = holding.target
                return result.Failure(errors.NotTheOwner(owner, ownership.version))
            await self.directory.wait_change(sequence, (end - waited).total_seconds())
        now = self.clock.monotonic().total_seconds()
        estimate = self.counts.estimate(
            service, target.name, now, target.slots, plan.route.name
        )
        if estimate.blocked:
            failure = errors.TargetUnavailable(target.name, "unreachable a moment ago")
            return result.Failure(failure)
        wait = selection.expect_wait(estimate, target.slots)
        if self.is_beyond_share(plan, target, estimate):
            retry = datetime.timedelta(seconds=wait / 2)
            admitted_percent = round(estimate.admitted * 100)
            failure = errors.DemandExceeded(target.name, admitted_percent, retry)
            return result.Failure(failure)
        return self.admit(plan, selection.Choice(target, estimate, wait))

    def is_beyond_share(
        self, plan: Plan, target: model.Target, estimate: load_counts.Estimate
    ) -> bool:
        """Whether this is one of the requests that a busy owner has no room for.

        Requests of kinds that are more urgent than others go before them.
        """
        if estimate.admitted >= 1 or estimate.running < target.slots:
            return False
        if plan.route.priority < self.least_urgent.get(plan.service.name, 0):
            return False
        return self.random.random() > estimate.admitted

    def admit(
        self, plan: Plan, choice: selection.Choice
    ) -> result.Result[selection.Choice, Any]:
        """Refuse what the target cannot finish in time."""
        estimate = choice.estimate
        now = self.clock.monotonic()
        left = (plan.limit - now).total_seconds()
        objective = plan.route.objective
        if estimate.overloaded and objective is not None:
            # All slots stay busy whatever is refused. A short queue then serves as many
            # requests as a long one, and each of them in time.
            left = min(left, max(objective.total_seconds(), estimate.service * 1.3))
        if estimate.running >= choice.target.slots * QUEUE_DEPTH:
            retry = datetime.timedelta(seconds=choice.wait / 2)
            return result.Failure(errors.QueueFull(choice.target.name, retry))
        if choice.wait + estimate.service * 0.8 > left:
            retry = datetime.timedelta(seconds=choice.wait / 2)
            return result.Failure(errors.DeadlineUnreachable(choice.target.name, retry))
        return result.Success(choice)

    # One attempt.

    async def attempt(self, plan: Plan, choice: selection.Choice) -> Outcome:
        """Send the request to one target and return what came of it."""
        target = choice.target
        pool = self.get_pool(plan, target)
        began = self.clock.monotonic()
        unqueued = choice.estimate.running < target.slots
        good = False
        self.counts.begin(target.name)
        try:
            head = self.build_head(plan, target, began)
            request_id = header_rules.encode_value(plan.arrival.request_id)
            sent = await pool.send(head, plan.arrival.body, plan.limit, request_id)
            good = isinstance(sent, result.Success) and sent.unwrap().status < 500
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            sent = result.Failure(errors.MalformedRequest(str(error)))
            good = True
        except asyncio.CancelledError:
            # The caller left; that says nothing about the target.
            good = True
            unqueued = False
            raise
        finally:
            now = self.clock.monotonic()
            elapsed = (now - began).total_seconds()
            self.counts.end(
                plan.service.name,
                target.name,
                now.total_seconds(),
                elapsed,
                good,
                unqueued,
                plan.route.name,
            )
        return self.judge(plan, choice, sent, elapsed)

    def judge(
        self, plan: Plan, choice: selection.Choice, sent, elapsed: float
    ) -> Outcome:
        """Return the outcome of an attempt, and log it with what had decided it."""
        target, running = choice.target, choice.estimate.running
        if isinstance(sent, result.Success):
            answer = sent.unwrap()
            if answer.status < 500 and answer.status not in PROMISES:
                events.info(
                    "answered",
                    request_id=plan.arrival.request_id,
                    status=answer.status,
                    service=plan.service.name,
                    target=target.name,
                    key=plan.key,
                    elapsed_ms=round(elapsed * 1000),
                    running=running,
                    owners=self.get_owner_version(plan),
                )
                return Outcome(answer, None, target.name)
            failure = errors.AnswerInvalid(target.name, f"status {answer.status}")
            # A target that does not say that it refused may have run the request, which
            # a status that promises the contrary must not hide.
            promised = answer.status in PROMISES
            answer_kept: data.Answer | None = None if promised else answer
        else:
            failure = sent.failure()
            answer_kept = None
        events.info(
            "attempt_failed",
            request_id=plan.arrival.request_id,
            service=plan.service.name,
            target=target.name,
            key=plan.key,
            elapsed_ms=round(elapsed * 1000),
            running=running,
            owners=self.get_owner_version(plan),
            failure=failure,
        )
        replaced = (
            isinstance(failure, errors.TargetRefused)
            and failure.reason == answering.REPLACED
        )
        if replaced or isinstance(failure, errors.TargetUnavailable):
            until = self.clock.monotonic() + (REPLACED_BLOCK if replaced else BLOCK)
            self.counts.block(target.name, until.total_seconds())
        if isinstance(failure, errors.ConnectionLost):
            self.suspect(plan, target)
        return Outcome(answer_kept, failure, target.name)

    def suspect(self, plan: Plan, target: model.Target) -> None:
        """Suspect a request whose target refuses connections after it.

        A cut may look the same. The crash counts once the target's registration has
        ended as well.
        """
        known = self.directory.targets.get(target.name)

        async def check() -> None:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                    _, writer = await asyncio.open_connection(target.host, target.port)
                writer.close()
            except ConnectionRefusedError:
                events.info(
                    "crash_suspected",
                    request_id=plan.arrival.request_id,
                    fingerprint=plan.fingerprint.hex(),
                    target=target.name,
                )
                suspicion = Suspicion(
                    plan.fingerprint, target.life, self.clock.monotonic()
                )
                self.suspicions.setdefault(target.name, set()).add(suspicion)
            except OSError as error:
                # Nothing is known of a target that does not answer.
                events.info(
                    "crash_unclear", target=target.name, error=type(error).__name__
                )

        if known is not None:
            self.background.spawn(check())

    def get_owner_version(self, plan: Plan) -> int:
        """Return the version of the owners that decided, 0 without a key."""
        ownership = self.directory.ownerships.get(plan.service.name)
        return (
            ownership.version if ownership is not None and plan.key is not None else 0
        )

    def build_head(
        self, plan: Plan, target: model.Target, now: datetime.timedelta
    ) -> h11.Request:
        """Return the head of the request as the target gets it."""
        arrival, dialect = plan.arrival, self.dialect
        dropped = header_rules.HOP_BY_HOP | {dialect.deadline, dialect.target}
        headers = list(header_rules.drop_headers(arrival.headers, dropped))
        if arrival.body_length is None:
            if arrival.body.rest is None:
                length = len(arrival.body.start)
                headers.append((b"content-length", b"%d" % length))
            else:
                headers.append((b"transfer-encoding", b"chunked"))
        elif arrival.body_length or arrival.method not in ("GET", "HEAD"):
            headers.append((b"content-length", b"%d" % arrival.body_length))
        left = (plan.limit - now - DEADLINE_MARGIN) / datetime.timedelta(milliseconds=1)
        headers.append((dialect.deadline, b"%d" % max(1, left)))
        headers.append((dialect.target, header_rules.encode_value(target.name)))
        return h11.Request(
            method=arrival.method.encode("latin-1"),
            target=arrival.path.encode("latin-1"),
            headers=headers,
        )

    # Connections.

    def get_pool(self, plan: Plan, target: model.Target) -> pooling.ConnectionPool:
        """Return the connections to one life of a target."""
        place = (target.name, target.life, target.host, target.port)
        pool = self.pools.get(place)
        if pool is None:
            share = plan.service.connections // (2 * max(1, self.fleet.live))
            pool = self.pools[place] = pooling.ConnectionPool(
                target.name,
                settings.Address(target.host, target.port),
                self.clock,
                max(target.slots * 2, share),
                connect_timeout=CONNECT_TIMEOUT,
                rules=self.rules,
                rest=datetime.timedelta(),
                longest_idle=KEEP_IDLE,
            )
        return pool

    def _prune(self, news: list[model.StoredRow]) -> None:
        """Close connections to targets that are gone or started again."""
        if not any(row.table == model.TABLES.targets for row in news):
            return
        targets = self.directory.targets
        for place in list(self.pools):
            known = targets.get(place[0])
            current = known and (known.name, known.life, known.host, known.port)
            if current != place:
                self.pools.pop(place).retire()
        self.counts.set_targets(targets)
        self._confirm_crashes()

    def _confirm_crashes(self) -> None:
        """Count the crashes of targets that turned out to have ended."""
        now = self.clock.monotonic()
        for name, suspicions in list(self.suspicions.items()):
            recent = {item for item in suspicions if now - item.at <= CONFIRMATION}
            known = self.directory.targets.get(name)
            ended = {
                item.fingerprint
                for item in recent
                if known is None or known.life != item.life
            }
            for fingerprint in ended:
                events.info("crash_counted", fingerprint=fingerprint.hex(), target=name)
                self.fleet.note_crash(fingerprint)
            if ended or not recent:
                del self.suspicions[name]
            else:
                self.suspicions[name] = recent

    # Refusals.

    def refuse(
        self, arrival: model.Arrival, failure: Any, plan: Plan | None
    ) -> data.Answer:
        """Return the answer for a request that is given up, and log why."""
        retry_after = None
        if plan is not None:
            left = plan.limit - self.clock.monotonic()
            retry_after = choose_retry_after(failure, left, self.random.random())
            if isinstance(failure, errors.DeadlineExceeded) and plan.timed:
                retry_after = None
        answer = answers.render(failure, retry_after)
        table = self.directory.routes
        events.info(
            "refused",
            request_id=arrival.request_id,
            status=answer.status,
            failure=failure,
            route=plan.route.name if plan is not None else "",
            service=plan.service.name if plan is not None else "",
            key=plan.key if plan is not None else None,
            held_ms=round(
                (self.clock.monotonic() - arrival.arrived).total_seconds() * 1000
            ),
            retry_after_ms=round(retry_after.total_seconds() * 1000)
            if retry_after
            else None,
            configuration=table.version if table is not None else None,
        )
        return answer


def choose_failure(known: Any, failure: Any) -> Any:
    """Return the failure to tell: one after which the request may have run."""
    if known is None:
        return failure
    return known if failures.find_rule(known).outcome != errors.NOT_RUN else failure


def choose_retry_after(
    failure: Any, left: datetime.timedelta, spread: float
) -> datetime.timedelta:
    """Return when a caller should come back, within the time that it has left."""
    base = max(getattr(failure, "retry_after", RETRY_AFTER), RETRY_AFTER / 2)
    return min(base * (1 + spread / 2), max(left / 3, datetime.timedelta()))


def compute_fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Return what equal requests have in common, whoever sends them."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{method}\n{path}\n".encode("latin-1"))
    digest.update(body)
    return digest.digest()


def read_key(value: bytes | None) -> int | None:
    """Return the key in a header, or None if it holds none."""
    if value is None or not value.isdigit():
        return None
    key = int(value)
    return key if key < model.KEYS else None


def read_milliseconds(value: bytes | None) -> datetime.timedelta | None:
    """Return the duration in a header, or None if it holds none."""
    if value is None or not value.isdigit() or len(value) > 9:
        return None
    return datetime.timedelta(milliseconds=int(value))
