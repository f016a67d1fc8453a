"""Tests of routing, resending and refusing requests."""

import asyncio
import datetime
import random

import pytest
from returns import result

from dewstep_core import clocks, data, errors
from dewstep_entry.targets import answering
from dewstep_fleet import (
    budgets,
    builders,
    configuration_checks,
    crash_counts,
    dispatch,
    frames,
    load_counts,
    model,
    ranges,
    refusals,
    request_limits,
    request_plans,
)

HEADER_NAMES = model.HeaderNames(b"x-id", b"x-deadline", b"x-target", b"x-key", b"x-n")
RULES = answering.AnswerRules(b"x-id", b"x-n", None)
MILLISECOND = builders.MILLISECOND


class FakeParticipant:
    """Participation in a fleet of two instances."""

    def __init__(self, clock):
        self.live_instances = 2
        self.crash_counts = crash_counts.CrashCounts()
        self.clock = clock
        self.limits = request_limits.RequestLimits(
            clock, random.Random(1), self.answer_question, lambda: 2
        )
        self.permits = 0
        """Number of permits that the coordinator still issues."""
        self.configuration_checks = None
        """Set with the directory."""

    def answer_question(self):
        question = self.limits.build_question()
        if question is None:
            return
        issued = []
        for item in question.wanted:
            count = min(item.count, self.permits)
            self.permits -= count
            wait_ms = 300 if count < item.count else 0
            issued.append(frames.Permits(item.target, count, wait_ms))
        self.limits.apply_answer(question.asked_ms, issued)

    def record_crash(self, fingerprint, loss):
        self.crash_counts.add(fingerprint, loss, self.clock.monotonic())

    def record_completion(self, fingerprint):
        self.crash_counts.clear(fingerprint, self.clock.monotonic())

    def record_departure(self, target, life):
        self.directory.record_departure(target, life)


class FakePool:
    """Connection pool whose sends end with the outcomes that the test sets."""

    def __init__(self, harness, target):
        self.harness = harness
        self.target = target
        self.open_connections = set()

    async def send(self, head, body, deadline, request_id, find_refusal=None):
        refusal = find_refusal() if find_refusal is not None else None
        if refusal is not None:
            return result.Failure(refusal)
        self.harness.sent.append((self.target, dict(head.headers), request_id))
        outcome = self.harness.outcomes.pop(0)
        if outcome == "hang":
            await asyncio.sleep(60)
        if isinstance(outcome, int):
            answer = data.Answer(outcome, (), 0, data.Body(b"", None), "")
            return result.Success(answer)
        return result.Failure(outcome(self.target))

    def retire(self):
        """Do nothing; there are no connections."""


class Harness:
    """A dispatcher whose targets answer with the outcomes that the test sets."""

    def __init__(self, *outcomes, keyed=False, targets="ab", **route):
        self.clock = clocks.ManualClock()
        self.outcomes = list(outcomes)
        self.sent = []
        self.keys = []
        table = builders.build_table(builders.build_route(**route), keyed=keyed)
        self.directory = builders.build_directory(self.clock, table)
        rows = [builders.build_row(model.TABLES.configuration, "c", 1, b"")]
        rows += [
            builders.build_target_row(builders.build_target(name), 2)
            for name in targets
        ]
        self.directory.apply_rows(rows)
        if keyed:
            owners = ranges.Ownership("history", 0, 9, builders.build_holdings("a"))
            value = ranges.encode(owners)
            row = builders.build_row(model.TABLES.fleet, "ranges/history", 3, value)
            self.directory.apply_rows([row])
        self.counts = load_counts.Loads()
        self.participant = FakeParticipant(self.clock)
        self.participant.directory = self.directory
        self.questions = 0
        """Number of questions to the coordinator."""
        self.participant.configuration_checks = (
            configuration_checks.ConfigurationChecks(
                self.clock, self.directory, lambda: self.read_at, self.ask
            )
        )
        self.newer_table = None
        """Route table in the coordinator's answers, if newer."""
        self.answers = True
        """Whether the coordinator answers."""
        timing = builders.build_timing()
        retry_budgets = budgets.Budgets(self.clock, timing)
        # An instance that has just started resends little.
        self.clock.advance(timing.retry_window)
        self.read_at = self.clock.monotonic()
        self.dispatcher = dispatch.Dispatcher(
            "n1",
            "dc-1",
            self.directory,
            self.counts,
            retry_budgets,
            self.participant,
            HEADER_NAMES,
            RULES,
            self.clock,
            random.Random(1),
            lambda service, key: self.keys.append((service, key)),
        )
        self.dispatcher.pools.get = lambda service, target: FakePool(self, target.name)

    def use_clock(self, clock):
        """Let all parts of the dispatcher use another clock."""
        self.clock = clock
        dispatcher = self.dispatcher
        for part in (
            dispatcher,
            dispatcher.planner,
            dispatcher.search,
            dispatcher.refuser,
            dispatcher.stop,
            dispatcher.attempts,
        ):
            part.clock = clock

    def record_crash(self, fingerprint, life=1):
        """Record the loss of a target that has just received a request."""
        now = self.clock.monotonic()
        loss = crash_counts.Loss("a", life, now, now)
        self.participant.record_crash(fingerprint, loss)

    def count_crashes(self, fingerprint):
        """Return the number of losses that a request is suspected of."""
        now = self.clock.monotonic()
        return self.participant.crash_counts.get(fingerprint, now)

    def ask(self):
        """Answer a question to the coordinator after a while."""
        self.questions += 1
        asked_at = self.clock.monotonic()
        self.clock.advance(configuration_checks.QUESTION_INTERVAL)
        if self.newer_table is not None:
            self.directory.decode_routes = lambda value: result.Success(
                self.newer_table
            )
            row = builders.build_row(model.TABLES.configuration, "c", 9, b"")
            self.directory.apply_rows([row])
        if self.answers:
            checks = self.participant.configuration_checks
            checks.apply_answer(asked_at, datetime.timedelta())

    def send(self, path="/a/x", headers=(), body=b"", rest=None, method="GET"):
        """Send a request and return the answer."""
        request = self.build_request(path, headers, body, rest, method)
        return asyncio.run(self.dispatcher.handle(request)).unwrap()

    def build_request(self, path="/a/x", headers=(), body=b"", rest=None, method="GET"):
        given = ((b"host", b"h.example"), (b"x-id", b"id-1"), *headers)
        return model.IncomingRequest(
            "id-1",
            method,
            path,
            given,
            len(body),
            data.Body(body, rest),
            self.clock.monotonic(),
        )


def lost(target):
    return errors.ConnectionLost(target)


def full(target):
    return errors.TargetRefused(target, "1")


def misdirected(target):
    return errors.TargetRefused(target, "421")


def replaced(target):
    return errors.TargetRefused(target, answering.REPLACED)


def unreachable(target):
    return errors.TargetUnavailable(target, "refused")


def overdue(target):
    return errors.DeadlineExceeded(target)


def get_outcome(answer):
    return dict(answer.headers).get(b"dewstep-outcome")


def test_answer_is_passed_on():
    harness = Harness(200)
    assert harness.send().status == 200
    (_, headers, request_id), *_ = harness.sent
    assert request_id == b"id-1" and headers[b"x-id"] == b"id-1"
    assert headers[b"x-target"] in (b"a", b"b")


def test_unknown_path_is_not_found():
    harness = Harness()
    assert harness.send("/other").status == 404
    assert harness.send("/a").status == 404
    assert not harness.questions


# Guards against DENIED: an instance that news reach late answered 404 for a route that
# has been added, which callers do not repeat.
def test_unknown_path_is_looked_up_in_the_newest_configuration():
    harness = Harness(200)
    harness.read_at = None
    route = builders.build_route(prefix="/new/")
    harness.newer_table = builders.build_table(route, version=2, keyed=False)
    assert harness.send("/new/x").status == 200
    assert harness.send("/other").status == 404
    assert harness.questions == 1


# Guards against DENIED: a key that is missing by an earlier configuration only.
def test_missing_key_is_judged_by_the_newest_configuration():
    harness = Harness(200, keyed=True)
    harness.read_at = None
    route = builders.build_route()
    harness.newer_table = builders.build_table(route, version=2, keyed=False)
    assert harness.send().status == 200
    assert harness.questions == 1


# Guards against DENIED: 404 of an instance that cannot know the newest configuration.
def test_unknown_path_is_not_refused_for_good_without_the_newest_configuration():
    harness = Harness()
    harness.read_at = None
    harness.answers = False
    answer = harness.send("/other")
    assert answer.status == 503 and get_outcome(answer) == b"not-run"
    assert dict(answer.headers)[b"retry-after"]
    assert harness.questions <= 4


def test_question_is_asked_for_a_request_whose_body_arrived_slowly():
    # Guards against a refusal of uploads that the newest configuration allows.
    harness = Harness(200)
    harness.read_at = None
    route = builders.build_route(prefix="/new/")
    harness.newer_table = builders.build_table(route, version=2, keyed=False)
    request = harness.build_request("/new/x", body=b"x", method="POST")
    harness.clock.advance(request_plans.MAX_START_WAIT * 2)
    answer = asyncio.run(harness.dispatcher.handle(request)).unwrap()
    assert answer.status == 200 and harness.questions == 1


def test_confirmation_of_the_configuration_lasts_for_a_part_of_the_apply_time():
    # Guards against a question for each request to an unknown path.
    harness = Harness()
    harness.read_at = None
    apply_time = builders.build_timing().apply_time
    assert harness.send("/other").status == 404
    harness.clock.advance(apply_time * 0.6)
    assert harness.send("/other").status == 404
    assert harness.questions == 1
    harness.clock.advance(apply_time * 0.4)
    assert harness.send("/other").status == 404
    assert harness.questions == 2


def test_at_most_once_request_is_not_sent_again_after_it_may_have_run():
    # Guards against running a booking twice.
    for failure in (lost, overdue):
        harness = Harness(failure, 200, idempotent=False)
        answer = harness.send(method="POST")
        assert answer.status in (502, 504) and get_outcome(answer) == b"unknown"
        assert len(harness.sent) == 1


def test_at_most_once_request_is_resent_after_a_refusal():
    harness = Harness(full, 200, idempotent=False)
    assert harness.send(method="POST").status == 200
    assert harness.sent[0][0] != harness.sent[1][0]


def test_refusal_after_a_lost_answer_is_not_reported_as_not_run():
    # Guards against a false "not-run": the first send may have run.
    harness = Harness(lost, full, idempotent=True)
    answer = harness.send()
    assert answer.status == 502 and get_outcome(answer) == b"unknown"


def test_request_that_was_never_sent_is_refused_as_not_run():
    harness = Harness(unreachable, unreachable, idempotent=False)
    answer = harness.send(method="POST")
    assert answer.status == 503 and get_outcome(answer) == b"not-run"
    assert b"retry-after" in dict(answer.headers)


class WaitingPool(FakePool):
    """Connection pool in which a connection becomes free late."""

    async def send(self, *arguments):
        self.harness.clock.advance(995 * MILLISECOND)
        return await super().send(*arguments)


def test_request_that_waited_for_a_connection_until_the_end_is_not_sent():
    # Guards against 504, which leaves the outcome open, for a request that ran nowhere.
    harness = Harness(overdue, targets="a", timeout=builders.SECOND, idempotent=False)
    harness.dispatcher.pools.get = lambda service, target: WaitingPool(
        harness, target.name
    )
    answer = harness.send(method="POST")
    assert answer.status == 503 and get_outcome(answer) == b"not-run"
    assert b"retry-after" in dict(answer.headers) and not harness.sent


def closed(target):
    """Return the failure of a request whose new connection the target has reset."""
    return errors.QueueFull(target, 400 * MILLISECOND)


def test_request_that_all_targets_refused_or_reset_unsent_is_reported_as_not_run():
    # Guards against 502: the trace of a day has three refusals, and then a connection
    # that was reset.
    harness = Harness(full, full, full, closed, targets="abcd", idempotent=False)
    answer = harness.send(method="POST")
    assert answer.status == 503 and get_outcome(answer) == b"not-run"
    assert 0 < float(dict(answer.headers)[b"retry-after"]) < 1


def test_connection_that_was_reset_unsent_is_no_attempt():
    # Guards against giving up although other targets have room.
    harness = Harness(closed, closed, 200, targets="abc", idempotent=False)
    assert harness.send(method="POST").status == 200


def test_keyed_request_is_refused_if_its_owner_accepts_no_connection():
    # Guards against further resets by an owner that no other target replaces, and
    # against avoiding the owner for a second.
    harness = Harness(closed, 200, keyed=True)
    harness.use_clock(clocks.SystemClock())
    answer = harness.send(headers=((b"x-key", b"70"),))
    assert answer.status == 503 and len(harness.sent) == 1
    assert harness.send(headers=((b"x-key", b"70"),)).status == 200


# Guards against waits at targets that are not full, or whose maximum leaves room.
@pytest.mark.parametrize(
    ("max_connections", "running", "expected"),
    [(430, 4, True), (430, 3, False), (2 * 4 * 62, 9, False)],
)
def test_resets_are_expected_of_full_targets_with_a_scarce_maximum(
    max_connections, running, expected
):
    harness = Harness()
    del harness.dispatcher.pools.get
    harness.participant.live_instances = 62
    service = model.Service("history", max_connections, False)
    target = builders.build_target("a")
    pools = harness.dispatcher.pools

    async def connect():
        pool = pools.get(service, target)
        pools.expect_load(service, target, running)
        return pool.accepts

    accepts = asyncio.run(connect())
    assert accepts.expects_reset == expected
    accepts.record_reset(harness.clock.monotonic(), 1, False)
    assert pools.count_resets("unused") == 1


def test_bytes_are_counted_by_the_data_centre_of_the_target():
    """Guards against bytes between data centres that are counted as local ones."""
    harness = Harness()
    del harness.dispatcher.pools.get
    pools = harness.dispatcher.pools
    service = harness.directory.routes.services["history"]
    for data_centre, counts in ((pools.data_centre, pools.near), ("other", pools.far)):
        target = builders.build_target(data_centre, data_centre=data_centre)
        assert pools.get(service, target).traffic is counts


def test_idempotent_request_is_resent():
    harness = Harness(lost, 200)
    assert harness.send().status == 200


def test_attempts_of_the_route_limit_the_sends():
    harness = Harness(lost, lost, 200, targets="abc")
    assert harness.send().status == 502
    assert len(harness.sent) == 2


def test_failure_answer_is_passed_on_if_no_resend_succeeds():
    harness = Harness(500, lost)
    assert harness.send().status == 500
    harness = Harness(500, 200)
    assert harness.send().status == 200
    harness = Harness(500, 200, idempotent=False)
    assert harness.send().status == 500


def test_status_for_not_run_is_not_passed_on_without_its_header():
    # Guards against callers that resend because of a 503 although the request ran.
    harness = Harness(503, idempotent=False)
    assert harness.send(method="POST").status == 502


def test_streamed_body_is_sent_once():
    async def read():
        yield b"x"

    harness = Harness(full, 200, idempotent=False)
    answer = harness.send(method="POST", rest=read())
    assert answer.status == 503 and len(harness.sent) == 1


def test_retry_budget_limits_resends():
    # Guards against retries that further overload a failing service.
    harness = Harness(*[lost] * 1000)
    for _ in range(200):
        harness.send()
    allowed = 0.2 * 200 + builders.build_timing().retry_slack / 2
    assert len(harness.sent) - 200 <= allowed


def test_request_is_sent_to_the_owner_of_its_key():
    harness = Harness(200, keyed=True)
    assert harness.send(headers=((b"x-key", b"70"),)).status == 200
    assert harness.sent[0][0] == "a" and harness.keys == [("history", 70)]


@pytest.mark.parametrize(
    ("value", "key"), [(b"0", 0), (b"007", 7), (b"0" * 5_000 + b"7", 7)]
)
def test_key_may_have_leading_zeros(value, key):
    assert request_plans.read_key(value) == key


@pytest.mark.parametrize("value", [b"", b"x", b"-1", b"65536", b"9" * 5_000])
def test_request_without_a_key_is_refused(value):
    # Guards against the ValueError for a number of more than 4,300 digits.
    harness = Harness(keyed=True)
    assert harness.send(headers=((b"x-key", value),)).status == 400


def test_request_to_a_full_owner_is_refused_at_once():
    # Guards against delaying requests that no other target may run.
    harness = Harness(full, keyed=True)
    harness.counts.get_load("a").running = 4
    assert harness.send(headers=((b"x-key", b"70"),)).status == 503
    assert len(harness.sent) == 1


@pytest.mark.parametrize(
    ("outcomes", "status", "sends"),
    [
        ((full, 200), 200, 2),
        ((full, full, 200), 200, 3),
        ((full, full, full), 503, 3),
        ((replaced, replaced), 503, 1),
    ],
)
def test_request_is_repeated_to_an_owner_that_refuses_with_free_slots(
    outcomes, status, sends
):
    # Guards against refusing 55% of the requests while an owner refuses each of them
    # by chance, although three of four would be served with two repetitions.
    harness = Harness(*outcomes, keyed=True, idempotent=False, max_attempts=4)
    assert harness.send(headers=((b"x-key", b"70"),)).status == status
    assert [target for target, *_ in harness.sent] == ["a"] * sends


def test_repetitions_to_an_owner_count_as_attempts_and_use_the_retry_budget():
    # Guards against multiplying the load on a service whose targets refuse everything.
    harness = Harness(full, full, keyed=True, max_attempts=2)
    assert harness.send(headers=((b"x-key", b"70"),)).status == 503
    assert len(harness.sent) == 2
    harness = Harness(*[full] * 600, keyed=True)
    for _ in range(200):
        harness.send(headers=((b"x-key", b"70"),))
    allowed = 0.2 * 200 + builders.build_timing().retry_slack / 2
    assert 200 < len(harness.sent) <= 200 + allowed


def read_retry_after(answer):
    """Return the seconds after which the caller should come back."""
    return float(dict(answer.headers)[b"retry-after"])


@pytest.mark.parametrize(
    ("outcome", "running", "is_soon"),
    [(full, 0, True), (full, 4, False), (misdirected, 0, False), (replaced, 0, False)],
)
def test_caller_comes_back_soon_to_an_owner_that_refuses_with_free_slots(
    outcome, running, is_soon
):
    # Guards against losing look-ups (122 ms, objective 515 ms) of which an owner
    # refuses half by chance for 8 s, since their callers return after 300 to 450 ms.
    for max_attempts in (1, 2):
        harness = Harness(*[outcome] * 2, keyed=True, max_attempts=max_attempts)
        harness.use_clock(clocks.SystemClock())
        harness.counts.get_load("a").running = running
        answer = harness.send(headers=((b"x-key", b"70"), (b"x-deadline", b"3057")))
        assert answer.status == 503
        assert (0.05 <= read_retry_after(answer) <= 0.1) == is_soon


def test_caller_comes_back_soon_if_the_retry_budget_allows_no_resend():
    # Guards against the same loss where each request would need a resend, while the
    # retry budget allows one for five of them.
    for keyed in (True, False):
        harness = Harness(*[full] * 600, keyed=keyed)
        for _ in range(200):
            answer = harness.send(headers=((b"x-key", b"70"),))
        assert harness.dispatcher.retry_budgets.get("history").refused_resends
        assert 0.05 <= read_retry_after(answer) <= 0.1


@pytest.mark.parametrize(
    ("deadline", "status"), [(b"3057", 200), (b"3047", 503), (b"2957", 200)]
)
def test_early_callers_are_refused_while_the_demand_exceeds_the_capacity(
    deadline, status
):
    # Guards against the 30% of the callers who repeat at once in a burst and take the
    # room of those who wait as told.
    harness = Harness(*[200] * 42, keyed=True, timeout=None)
    key = (b"x-key", b"70")
    for _ in range(40):
        harness.send(headers=(key, (b"x-deadline", b"3057")))
    load = harness.counts.get_load("a")
    assert harness.send(headers=(key, (b"x-deadline", deadline))).status == 200
    load.running, load.slot_free_at = 4, 0.0
    assert harness.send(headers=(key, (b"x-deadline", deadline))).status == status
    refused = harness.dispatcher.search.refused_by_kind
    assert refused == ({"early": 1} if status == 503 else {})


def test_request_is_resent_to_the_new_owner():
    harness = Harness(misdirected, 200, keyed=True)

    def move(target):
        owners = ranges.Ownership("history", 0, 9, builders.build_holdings("b"))
        value = ranges.encode(owners)
        row = builders.build_row(model.TABLES.fleet, "ranges/history", 4, value)
        asyncio.get_running_loop().call_soon(harness.directory.apply_rows, [row])
        return misdirected(target)

    harness.outcomes[0] = move
    assert harness.send(headers=((b"x-key", b"70"),)).status == 200
    assert [target for target, *_ in harness.sent] == ["a", "b"]


def test_request_is_not_resent_to_an_owner_without_the_key():
    # Guards against resends that use up the retry budget of a service.
    harness = Harness(misdirected, 200, keyed=True)
    harness.use_clock(clocks.SystemClock())
    answer = harness.send(headers=((b"x-key", b"70"),))
    assert answer.status == 503 and len(harness.sent) == 1


def test_target_whose_address_was_reused_is_avoided():
    # Guards against resends to a target of another service.
    harness = Harness(replaced, 200)
    assert harness.send().status == 200
    first = harness.sent[0][0]
    now = harness.clock.monotonic().total_seconds()
    assert harness.counts.estimate("history", first, now).blocked


def test_request_that_cannot_finish_in_time_is_refused():
    # Guards against a queue in which every request misses its deadline.
    harness = Harness(targets="a", timeout=300 * MILLISECOND)
    harness.counts.get_load("a").running = 12
    assert harness.send().status == 503
    assert not harness.sent


def test_quarantined_request_is_not_sent():
    # Guards against a request that crashes every target that runs it.
    harness = Harness(lost, 200, targets="a")
    harness.send()
    fingerprint = request_plans.compute_fingerprint(
        harness.build_request(), "h.example"
    )
    for life in range(crash_counts.MAX_LOSSES_BEFORE_QUARANTINE):
        harness.record_crash(fingerprint, life)
        harness.clock.advance(crash_counts.MIN_SEPARATION)
    before = len(harness.sent)
    # The suspicion may be wrong, so callers may come again.
    answer = harness.send()
    assert answer.status == 503 and get_outcome(answer) == b"not-run"
    assert dict(answer.headers)[b"retry-after"]
    assert len(harness.sent) == before


# Guards against DENIED: requests that a target completes were refused for ever.
def test_completed_request_is_not_suspected():
    harness = Harness(200, targets="a")
    fingerprint = request_plans.compute_fingerprint(
        harness.build_request(), "h.example"
    )
    harness.record_crash(fingerprint)
    harness.send()
    assert not harness.count_crashes(fingerprint)


class StreamingPool(FakePool):
    """Connection pool whose answers have a body that arrives after the head."""

    async def send(self, *arguments):
        async def read_rest():
            yield b"rest"

        body = data.Body(b"", read_rest())
        return result.Success(data.Answer(200, (), 4, body, ""))


# Guards against DENIED: a large popular answer did not clear its request.
def test_request_with_a_streamed_answer_is_cleared_at_its_end():
    harness = Harness(targets="a")
    harness.dispatcher.pools.get = lambda service, target: StreamingPool(
        harness, target.name
    )
    request = harness.build_request()
    fingerprint = request_plans.compute_fingerprint(request, "h.example")
    harness.record_crash(fingerprint)

    async def read():
        answer = (await harness.dispatcher.handle(request)).unwrap()
        assert harness.count_crashes(fingerprint) == 1
        assert [chunk async for chunk in answer.body.rest] == [b"rest"]

    asyncio.run(read())
    assert not harness.count_crashes(fingerprint)


# Guards against DENIED: all large uploads to one path counted as one request, since a
# fingerprint contained only the part of the body that had been read.
def test_fingerprints_of_other_requests_differ():
    harness = Harness()
    request = harness.build_request(method="POST")
    others = [
        (request._replace(body_length=70_000), "h.example"),
        (request._replace(body_length=70_001), "h.example"),
        (request._replace(path="/a/y"), "h.example"),
        (request, "other.example"),
        (request, "h.example"),
    ]
    assert len({request_plans.compute_fingerprint(*other) for other in others}) == 5


def test_deadline_of_the_target_is_the_remaining_time():
    harness = Harness(200, timeout=5 * builders.SECOND)
    harness.send(headers=((b"x-deadline", b"700"),))
    assert int(harness.sent[0][1][b"x-deadline"]) < 700


def test_route_timeout_limits_the_deadline_of_the_target():
    harness = Harness(200, timeout=300 * MILLISECOND)
    harness.send(headers=((b"x-deadline", b"2500"),))
    assert int(harness.sent[0][1][b"x-deadline"]) < 300


def test_retry_time_lies_within_the_remaining_time():
    second = builders.SECOND
    failure = errors.QueueFull("t", 9 * second)
    assert refusals.choose_retry_after(failure, second, 0.5) <= second / 3
    assert refusals.choose_retry_after(failure, -second, 0.5) == datetime.timedelta()


def test_disconnect_cancels_only_idempotent_requests():
    # Guards against interrupting a booking that is not idempotent.
    async def disconnect(harness):
        request = model.IncomingRequest(
            "id-1",
            "POST",
            "/a/x",
            ((b"host", b"h.example"),),
            0,
            data.Body(b"", None),
            harness.clock.monotonic(),
        )
        handling = asyncio.ensure_future(harness.dispatcher.handle(request))
        await asyncio.sleep(0.01)
        handling.cancel()
        await asyncio.sleep(0.01)
        running = sum(load.running for load in harness.counts.by_target.values())
        for task in harness.dispatcher.background_tasks.tasks:
            task.cancel()
        return running

    assert asyncio.run(disconnect(Harness("hang", idempotent=True))) == 0
    assert asyncio.run(disconnect(Harness("hang", idempotent=False))) == 1


def forget_speed(harness):
    """Forget the service times, since answers take no time here."""
    harness.counts.route_seconds.clear()
    harness.counts.typical_seconds.clear()


def count_served(requests, running, **route):
    """Return how many requests for an overloaded owner's key are sent to it."""
    harness = Harness(*[200] * requests, keyed=True, **route)
    total = frames.Total(frames.hash_target_name("a"), running, 1.0, 0.2)
    harness.counts.get_load("a")
    sent = 0
    for _ in range(requests):
        forget_speed(harness)
        harness.clock.advance(120 * MILLISECOND)
        harness.counts.apply_totals((total,), harness.clock.monotonic().total_seconds())
        answer = harness.send(headers=((b"x-key", b"7"),))
        sent += answer.status == 200
        assert answer.status in (200, 503)
    assert sent == len(harness.sent)
    return sent


def test_overloaded_owner_receives_only_the_admitted_fraction():
    """Guards against a queue of requests that many instances send at the same time."""
    assert 20 <= count_served(200, running=6) <= 60


def test_callers_who_come_back_too_late_leave_the_queue_to_others():
    """Guards against serving late callers while others could be served in time."""
    harness = Harness(*[200] * 60, keyed=True)
    harness.counts.get_load("a")

    def send(deadline_ms, running):
        forget_speed(harness)
        harness.clock.advance(120 * MILLISECOND)
        total = frames.Total(frames.hash_target_name("a"), running, 1.0)
        harness.counts.apply_totals((total,), harness.clock.monotonic().total_seconds())
        headers = ((b"x-key", b"7"), (b"x-deadline", b"%d" % deadline_ms))
        return harness.send(headers=headers).status

    assert {send(900, 5) for _ in range(30)} == {200}
    assert send(500, 5) == 503
    assert send(500, 2) == 200


def test_owner_with_a_free_slot_receives_all_requests():
    """Guards against refusals after the demand has decreased."""
    assert count_served(50, running=2) == 50


def restart(harness, version):
    """Register target "a" again after a restart, with its keys."""
    target = builders.build_target("a", life=version)
    holding = builders.build_holdings("a")[0]._replace(life=version)
    owners = ranges.Ownership("history", 0, 9 + version, (holding,))
    harness.directory.apply_rows(
        [
            builders.build_target_row(target, 3 + version),
            builders.build_row(
                model.TABLES.fleet,
                "ranges/history",
                3 + version,
                ranges.encode(owners),
            ),
        ]
    )


def send_streamed(harness):
    """Send a keyed request that cannot be resent, since its body is streamed."""
    return harness.send(headers=[(b"x-key", b"1")], rest=object())


@pytest.mark.parametrize("outcome", [unreachable, replaced])
def test_restarted_target_is_not_avoided_for_its_earlier_process(outcome):
    """Guards against refusing the keys of a target that has just restarted."""
    harness = Harness(outcome, 200, keyed=True)
    assert send_streamed(harness).status == 503
    restart(harness, 2)
    assert send_streamed(harness).status == 200


@pytest.mark.parametrize("outcome", [unreachable, replaced])
def test_late_failure_of_an_earlier_process_does_not_block_its_successor(outcome):
    """Guards against blaming a target that restarted during an attempt."""

    def fail_after_restart(target):
        restart(harness, 2)
        return outcome(target)

    harness = Harness(fail_after_restart, 200, keyed=True)
    assert send_streamed(harness).status == 503
    assert send_streamed(harness).status == 200


def test_restarted_target_is_not_charged_with_failures_of_its_earlier_process():
    """Guards against sending fewer requests to a target that has just restarted."""
    harness = Harness(lost, lost, lost, keyed=True, idempotent=False)
    for _ in range(3):
        send_streamed(harness)
    now = harness.clock.monotonic().total_seconds()
    assert harness.counts.estimate("history", "a", now).success < 1
    restart(harness, 2)
    assert harness.counts.estimate("history", "a", now).success == 1


# Guards against connections beyond what a target accepts from all instances together,
# which it resets.
@pytest.mark.parametrize(
    ("instances", "max_connections", "limit"),
    [(1, 110, 55), (9, 110, 8), (10, 49, 4), (195, 1_200, 6), (400, 300, 1)],
)
def test_connections_of_all_instances_stay_within_the_maximum(
    instances, max_connections, limit
):
    harness = Harness()
    dispatcher = harness.dispatcher
    del dispatcher.pools.get
    service = model.Service("history", max_connections, False)
    target = builders.build_target("a")

    async def find_limit():
        return dispatcher.pools.get(service, target).opening_state.limit

    # The number of instances becomes known after the first connections.
    asyncio.run(find_limit())
    harness.participant.live_instances = instances
    assert asyncio.run(find_limit()) == limit
