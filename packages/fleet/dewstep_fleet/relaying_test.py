"""Tests of requests that one instance passes on to another."""

import asyncio
import contextlib
import datetime
import random

import h11
import pytest
from returns import result

from dewstep_core import clocks, data, errors, settings
from dewstep_emulator import testing
from dewstep_entry.caller import listener
from dewstep_entry.policy import stop_schedule
from dewstep_fleet import (
    answers,
    builders,
    directories,
    dispatch_test,
    model,
    relaying,
)

SECOND = builders.SECOND
HOST = "127.0.0.1"
REQUEST_ID = b"id-1"
STREAMED_BYTES = 200_000


async def stream_body():
    """Yield a body in chunks, once."""
    for _ in range(STREAMED_BYTES // 1_000):
        yield b"x" * 1_000


class Receiver:
    """An instance that serves requests of others with what the test sets."""

    def __init__(self, outcome=None):
        self.outcome = outcome
        self.delay = 0.0
        self.requests = []
        self.cancelled = 0

    async def start(self):
        handler = relaying.RelayReceiver("n2", self)
        self.listener = listener.Listener(
            settings.Address(HOST, 0),
            settings.CallerLimits(),
            self.identify,
            lambda request: 1_000_000,
            handler,
            "n2",
        )
        await self.listener.start()
        return self.listener.address.port

    def identify(self, method, target, headers, body_length):
        request = model.IncomingRequest(
            "id-1",
            method.decode(),
            target.decode(),
            headers,
            body_length,
            data.Body(b"", None),
            datetime.timedelta(),
            relaying.read_attempts(headers),
        )
        return result.Success(request)

    async def handle(self, request):
        body = bytearray(request.body.start)
        if request.body.rest is not None:
            async for chunk in request.body.rest:
                body += chunk
        self.requests.append((request, bytes(body)))
        await asyncio.sleep(self.delay)
        if self.outcome == "hang":
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        if isinstance(self.outcome, data.Answer):
            return result.Success(self.outcome)
        return result.Success(answers.build_answer(self.outcome, None))


def build_answer(body=b"done", **changes):
    """Return a target's answer."""
    headers = ((b"x-id", REQUEST_ID), (b"x-signature", b"s"))
    answer = data.Answer(200, headers, len(body), data.Body(body, None), "")
    return answer._replace(**changes)


class Setting:
    """A sender and the members that it knows."""

    def __init__(self):
        self.clock = clocks.SystemClock()
        self.directory = builders.build_directory(self.clock)
        self.version = 10
        self.sender = relaying.RelaySender(
            "n1", "dc-1", self.directory, b"x-id", self.clock, random.Random(1)
        )
        self.receivers = []

    async def add(self, node, outcome, **changes):
        receiver = Receiver(outcome)
        self.receivers.append(receiver)
        port = await receiver.start()
        member = model.Member(node, f"{node}-1", "dc-1", HOST, 1, 1.0, port)
        self.register(member._replace(**changes))
        return receiver

    def register(self, member):
        self.version += 1
        key = directories.MEMBER_PREFIX + member.node
        value = directories.encode_record(member)
        row = builders.build_row(model.TABLES.fleet, key, self.version, value)
        self.directory.apply_rows([row])

    def build_head(self, length=0):
        headers = [(b"host", b"h"), (b"x-id", REQUEST_ID)]
        headers.append((b"content-length", b"%d" % length))
        return h11.Request(
            method=b"POST",
            target=b"/a/x",
            headers=relaying.add_attempts(tuple(headers), 2),
        )

    async def send(self, body=b"", seconds=2.0, rest=None, **options):
        length = len(body) if rest is None else STREAMED_BYTES
        return await self.sender.send(
            lambda: self.build_head(length),
            data.Body(body, rest),
            self.clock.monotonic() + seconds * SECOND,
            REQUEST_ID,
            **options,
        )

    async def close(self):
        for pool in self.sender.pools.values():
            await pool.close()
        for receiver in self.receivers:
            receiver.listener.abort()


@contextlib.asynccontextmanager
async def running_setting():
    setting = Setting()
    try:
        yield setting
    finally:
        await setting.close()


# Guards against answers of targets that change on their way through two instances.
@testing.run_in_event_loop
async def test_request_and_answer_of_a_target_pass_unchanged():
    async with running_setting() as setting:
        receiver = await setting.add("n2", build_answer())
        outcome = await setting.send(b"hello")
        assert outcome.answer.status == 200
        assert outcome.answer.body.start == b"done"
        assert (b"x-signature", b"s") in outcome.answer.headers
        ((request, body),) = receiver.requests
        assert body == b"hello" and request.relayed_attempts == 2


# Guards against bodies that are held in memory, or cut, between two instances.
@testing.run_in_event_loop
async def test_large_bodies_are_streamed_both_ways():
    large = b"x" * 400_000
    async with running_setting() as setting:
        receiver = await setting.add("n2", build_answer(large))
        outcome = await setting.send(large)
        received = bytearray(outcome.answer.body.start)
        async for chunk in outcome.answer.body.rest:
            received += chunk
        assert received == large
        assert receiver.requests[0][1] == large


# Guards against a refusal that loses its meaning on the way, or gains one.
@pytest.mark.parametrize(
    "failure",
    [
        errors.DeadlineUnreachable("t", SECOND),
        errors.TargetLimited("t", 3.0, SECOND),
        errors.TargetUnavailable("t", "refused"),
        errors.ConnectionLost("t"),
        errors.DeadlineExceeded("t"),
    ],
)
@testing.run_in_event_loop
async def test_failure_is_reported_as_the_other_instance_reports_it(failure):
    async with running_setting() as setting:
        await setting.add("n2", failure)
        outcome = await setting.send()
        assert outcome.answer is None and outcome.failure == failure


# Guards against a target that forges a failure of an instance.
@testing.run_in_event_loop
async def test_failure_header_of_a_target_is_dropped():
    forged = build_answer(headers=((relaying.FAILURE_HEADER, b"RelayRefused"),))
    async with running_setting() as setting:
        await setting.add("n2", forged)
        assert (await setting.send()).answer.status == 200


# Guards against requests that are lost at instances that are cut off or gone.
@testing.run_in_event_loop
async def test_next_instance_is_tried_after_a_refusal():
    async with running_setting() as setting:
        for node in ("n2", "n3", "n4"):
            await setting.add(node, errors.RelayRefused(node, "cut off"))
        setting.register(model.Member("n5", "n5-1", "dc-1", HOST, 1, 1.0, 1))
        await setting.add("n6", build_answer(), data_centre="dc-2")
        assert (await setting.send()).answer.status == 200
        # Those that refused are not asked again for a while.
        assert [member.node for member in setting.sender.list_peers()] == ["n6"]


# Guards against requests that are refused, as the first instance that was asked does
# not reach the owner either.
@testing.run_in_event_loop
async def test_next_instance_is_tried_after_one_that_does_not_reach_the_target():
    async with running_setting() as setting:
        for node in ("n2", "n3"):
            await setting.add(node, errors.TargetUnavailable("t", "refused"))
        await setting.add("n4", build_answer(), data_centre="dc-2")
        assert (await setting.send()).answer.status == 200
        # The instances serve requests for other targets.
        assert len(setting.sender.list_peers()) == 3


@testing.run_in_event_loop
async def test_target_is_unreachable_if_no_instance_reaches_it():
    failure = errors.TargetUnavailable("t", "refused")
    async with running_setting() as setting:
        for node in ("n2", "n3"):
            await setting.add(node, failure)
        outcome = await setting.send()
        assert outcome.answer is None and outcome.failure == failure
        assert sum(len(item.requests) for item in setting.receivers) == 2


# Guards against requests that are refused at once for a target that only some instances
# did not reach.
@testing.run_in_event_loop
async def test_target_is_not_known_to_be_unreachable_after_a_refusal():
    async with running_setting() as setting:
        await setting.add("n2", errors.TargetUnavailable("t", "refused"))
        await setting.add("n3", errors.RelayRefused("n3", "cut off"))
        outcome = await setting.send()
        assert isinstance(outcome.failure, errors.RelayRefused)


# Guards against refusals that come late, as each instance waits for a connection to a
# target that is gone.
@testing.run_in_event_loop
async def test_few_instances_wait_for_a_target_that_does_not_answer():
    failure = errors.TargetUnavailable("t", "no connection")
    async with running_setting() as setting:
        for number in range(2, 8):
            receiver = await setting.add(f"n{number}", failure)
            receiver.delay = 0.25
        outcome = await setting.send()
        assert outcome.failure == failure
        assert sum(len(item.requests) for item in setting.receivers) <= 2


# Guards against a body that lacks what an instance has read which does not reach the
# target.
@testing.run_in_event_loop
async def test_streamed_body_is_not_sent_on_after_a_vain_try():
    async with running_setting() as setting:
        for node in ("n2", "n3"):
            await setting.add(node, errors.TargetUnavailable("t", "refused"))
        outcome = await setting.send(rest=stream_body())
        assert isinstance(outcome.failure, errors.TargetUnavailable)
        assert outcome.body_used
        assert sum(len(receiver.requests) for receiver in setting.receivers) == 1


@testing.run_in_event_loop
async def test_request_is_refused_as_not_run_if_no_instance_accepts_it():
    async with running_setting() as setting:
        await setting.add("n2", errors.RelayRefused("n2", "cut off"))
        outcome = await setting.send()
        assert isinstance(outcome.failure, errors.RelayRefused)


# Guards against a body that lacks what a refusing instance has already read.
@testing.run_in_event_loop
async def test_streamed_body_is_not_sent_to_a_second_instance():
    async with running_setting() as setting:
        for node in ("n2", "n3"):
            await setting.add(node, errors.RelayRefused(node, "cut off"))
        outcome = await setting.send(rest=stream_body())
        assert isinstance(outcome.failure, errors.RelayRefused)
        assert outcome.body_used
        assert sum(len(receiver.requests) for receiver in setting.receivers) == 1


# Guards against streamed bodies that are refused because an instance is unreachable.
@testing.run_in_event_loop
async def test_streamed_body_is_sent_to_the_next_instance_after_an_unreachable_one():
    async with running_setting() as setting:
        setting.register(model.Member("n2", "n2-1", "dc-1", HOST, 1, 9.0, 1))
        await setting.add("n3", build_answer(), data_centre="dc-2")
        outcome = await setting.send(rest=stream_body())
        assert outcome.answer.status == 200
        assert len(setting.receivers[0].requests[0][1]) == STREAMED_BYTES


# Guards against a request to a target whose body was partly sent elsewhere.
def test_streamed_request_is_not_tried_at_targets_after_a_refusal():
    harness = dispatch_test.Harness(200)
    cut_off(harness)

    async def send(build_head, body, due_at, request_id, find_refusal, may_receive):
        failure = errors.RelayRefused("n2", "cut off")
        return relaying.RelayOutcome(None, failure, body_used=True)

    harness.dispatcher.relay.send = send
    answer = harness.send(rest=stream_body(), method="POST")
    assert answer.failure == "RelayRefused" and not harness.sent


# Guards against a request that runs twice after the hop between two instances broke.
@testing.run_in_event_loop
async def test_request_is_not_passed_on_again_after_a_broken_connection():
    async with running_setting() as setting:
        first = await setting.add("n2", "hang")
        second = await setting.add("n3", "hang")
        sending = asyncio.ensure_future(setting.send())
        while not first.requests and not second.requests:
            await asyncio.sleep(0.01)
        for receiver in (first, second):
            receiver.listener.abort()
        outcome = await sending
        assert isinstance(outcome.failure, errors.ConnectionLost)
        assert len(first.requests) + len(second.requests) == 1


# Guards against targets that work for callers who have left.
@testing.run_in_event_loop
async def test_disconnection_is_passed_on():
    async with running_setting() as setting:
        receiver = await setting.add("n2", "hang")
        sending = asyncio.ensure_future(setting.send())
        while not receiver.requests:
            await asyncio.sleep(0.01)
        sending.cancel()
        async with asyncio.timeout(1):
            while not receiver.cancelled:
                await asyncio.sleep(0.01)


# Guards against one instance that gets all requests of its data centre.
@testing.run_in_event_loop
async def test_requests_are_spread_over_data_centres():
    async with running_setting() as setting:
        await setting.add("n2", build_answer())
        await setting.add("n3", build_answer(), data_centre="dc-2")
        peers = setting.sender.list_peers
        assert [member.node for member in peers()] == ["n2", "n3"]
        setting.sender.in_progress["n2"] = 5
        assert [member.node for member in peers()] == ["n3", "n2"]


# Guards against an instance that others overload.
@testing.run_in_event_loop
async def test_requests_beyond_the_maximum_are_refused(monkeypatch):
    monkeypatch.setattr(relaying, "MAX_RELAYED_REQUESTS", 1)
    async with running_setting() as setting:
        receiver = await setting.add("n2", "hang")
        sending = asyncio.ensure_future(setting.send())
        while not receiver.requests:
            await asyncio.sleep(0.01)
        outcome = await setting.send()
        assert isinstance(outcome.failure, errors.RelayRefused)
        sending.cancel()


# Guards against an instance of an earlier version, whose row has no port for others.
def test_member_row_without_a_relay_port_is_read():
    member = model.Member("n2", "n2-1", "dc-1", HOST, 1)
    value = directories.encode_record(member).replace(b',"relay_port":0', b"")
    assert b"relay_port" not in value
    row = builders.build_row(model.TABLES.fleet, "member/n2", 1, value)
    assert directories.decode_record(model.Member, row).unwrap() == member


def build_relayed(harness, **changes):
    """Return a request that another instance has passed on."""
    headers = ((b"host", b"h.example"), (b"x-id", b"id-1"))
    request = model.IncomingRequest(
        "id-1",
        "GET",
        "/a/x",
        headers,
        0,
        data.Body(b"", None),
        harness.clock.monotonic(),
        relayed_attempts=1,
    )
    return request._replace(**changes)


def cut_off(harness):
    """Let an instance observe that no target answers."""
    state = harness.dispatcher.reachability
    now = harness.clock.monotonic()
    for target in "xyz":
        state.begin_request(target)
        state.end_request(target, now, False)
    state.running_time += SECOND
    state.next_trial_at = now + SECOND


# Guards against requests that go in circles between instances that are cut off.
def test_relayed_request_is_refused_by_an_instance_without_targets():
    harness = dispatch_test.Harness(200)
    cut_off(harness)
    request = build_relayed(harness)
    answer = asyncio.run(harness.dispatcher.handle(request)).unwrap()
    assert answer.failure == "RelayRefused" and not harness.sent


# Guards against attempts, key counts and retry budgets that two instances count.
def test_relayed_request_is_counted_by_the_instance_of_its_caller():
    harness = dispatch_test.Harness(dispatch_test.lost, 200, keyed=False)
    request = build_relayed(harness)
    answer = asyncio.run(harness.dispatcher.handle(request)).unwrap()
    assert answer.status == 502 and len(harness.sent) == 1
    budget = harness.dispatcher.retry_budgets.get("history")
    assert not budget.requests and not harness.keys


# Guards against requests that are refused although another instance may serve them.
def test_request_is_passed_on_by_an_instance_without_targets():
    harness = dispatch_test.Harness()
    cut_off(harness)
    passed_on = []

    async def send(build_head, body, due_at, request_id, find_refusal, may_receive):
        passed_on.append(dict(build_head().headers))
        return relaying.RelayOutcome(build_answer(), None)

    harness.dispatcher.relay.send = send
    assert harness.send().status == 200 and not harness.sent
    assert passed_on[0][relaying.ATTEMPTS_HEADER] == b"2"
    assert b"x-target" not in passed_on[0]


# Guards against a request that is run twice: it may have run, and must not be repeated.
def test_request_that_may_have_run_is_not_passed_on():
    harness = dispatch_test.Harness(dispatch_test.lost, idempotent=False)

    async def send(*arguments):
        raise AssertionError

    harness.dispatcher.relay.send = send
    assert harness.send(method="POST").status == 502


# Guards against an instance that refuses requests although it could try its targets.
def test_targets_are_tried_if_no_instance_accepts_a_request():
    harness = dispatch_test.Harness(200)
    cut_off(harness)
    assert harness.send().status == 200


# Guards against an owner that only this instance does not reach.
def test_request_for_an_unreachable_owner_is_passed_on():
    harness = dispatch_test.Harness(dispatch_test.unreachable, keyed=True)

    async def send(build_head, body, due_at, request_id, find_refusal, may_receive):
        return relaying.RelayOutcome(build_answer(), None)

    harness.dispatcher.relay.send = send

    async def wait_in_vain(change_count, seconds):
        harness.clock.advance(seconds * SECOND)

    harness.directory.wait_change = wait_in_vain
    assert harness.send(headers=((b"x-key", b"7"),)).status == 200
    assert len(harness.sent) == 1


# Guards against all requests for a crashed owner that are passed on in vain.
def test_requests_for_an_owner_that_no_instance_reaches_are_not_passed_on():
    harness = dispatch_test.Harness(dispatch_test.unreachable, keyed=True)
    passed_on = []

    async def send(build_head, body, due_at, request_id, find_refusal, may_receive):
        passed_on.append(due_at)
        return relaying.RelayOutcome(None, errors.TargetUnavailable("a", "refused"))

    harness.dispatcher.relay.send = send

    async def wait_in_vain(change_count, seconds):
        harness.clock.advance(seconds * SECOND)

    harness.directory.wait_change = wait_in_vain
    for _ in range(5):
        answer = harness.send(headers=((b"x-key", b"7"),))
        assert answer.status == 503 and answer.failure == "TargetUnavailable"
    assert len(passed_on) == 1


# Guards against a request that shows whether a cut has ended, and is refused if not.
@pytest.mark.parametrize("targets", ["a", "abcd"])
def test_trial_that_reaches_no_target_is_passed_on_after_one_try(targets):
    unreachable = [dispatch_test.unreachable] * len(targets)
    harness = dispatch_test.Harness(*unreachable, targets=targets)
    cut_off(harness)
    harness.dispatcher.reachability.next_trial_at = harness.clock.monotonic()

    async def send(build_head, body, due_at, request_id, find_refusal, may_receive):
        return relaying.RelayOutcome(build_answer(), None)

    harness.dispatcher.relay.send = send
    assert harness.send().status == 200
    assert len(harness.sent) == 1


def refuse_relayed(harness):
    """Let all other instances refuse requests, of which they read streamed bodies."""
    streamed = []

    async def send(build_head, body, due_at, request_id, find_refusal, may_receive):
        streamed.append(body.rest is not None)
        failure = errors.RelayRefused("n2", "cut off")
        return relaying.RelayOutcome(None, failure, body_used=body.rest is not None)

    harness.dispatcher.relay.send = send
    return streamed


# Guards against requests that are refused for good after all instances have believed
# that they are cut off, as no request shows that targets answer again.
@pytest.mark.parametrize(
    ("idempotent", "streamed"), [(True, False), (False, False), (False, True)]
)
def test_request_of_any_kind_shows_that_a_cut_has_ended(idempotent, streamed):
    harness = dispatch_test.Harness(200, 200, idempotent=idempotent)
    cut_off(harness)
    harness.dispatcher.note_cut(cut_off=True)
    refuse_relayed(harness)
    method = "GET" if idempotent else "POST"
    for _ in range(4):
        harness.clock.advance(0.5 * SECOND)
        rest = stream_body() if streamed else None
        answer = harness.send(rest=rest, method=method)
        if answer.status == 200:
            break
    assert answer.status == 200 and not harness.dispatcher.is_cut_off()


# Guards against an upload that is lost since it was the trial during a cut that lasts.
def test_upload_whose_trial_gets_no_connection_is_passed_on_whole():
    harness = dispatch_test.Harness(dispatch_test.unreachable, idempotent=False)
    cut_off(harness)
    harness.dispatcher.note_cut(cut_off=True)
    harness.clock.advance(2 * SECOND)
    received = bytearray()

    async def send(build_head, body, due_at, request_id, find_refusal, may_receive):
        async for chunk in body.rest:
            received.extend(chunk)
        return relaying.RelayOutcome(build_answer(), None)

    harness.dispatcher.relay.send = send
    assert harness.send(rest=stream_body(), method="POST").status == 200
    assert len(harness.sent) == 1 and len(received) == STREAMED_BYTES


# Guards against an order that is sent on a connection that hangs since the cut.
def test_request_that_must_not_run_twice_is_no_trial_on_open_connections():
    harness = dispatch_test.Harness(200, idempotent=False)
    cut_off(harness)
    harness.clock.advance(2 * SECOND)
    streamed = refuse_relayed(harness)
    answer = harness.send(rest=stream_body(), method="POST")
    assert answer.failure == "RelayRefused" and streamed == [True] and not harness.sent


# Guards against a refusal because no target is left that has not been tried.
def test_request_that_has_tried_all_targets_is_passed_on():
    harness = dispatch_test.Harness(*[dispatch_test.unreachable] * 2)

    async def send(build_head, body, due_at, request_id, find_refusal, may_receive):
        return relaying.RelayOutcome(build_answer(), None)

    harness.dispatcher.relay.send = send
    assert harness.send().status == 200


# Guards against a request without a key that is refused since another instance did not
# reach the target that was tried last.
def test_request_without_a_key_is_passed_on_whatever_target_failed():
    harness = dispatch_test.Harness(*[dispatch_test.unreachable] * 4)
    now = harness.clock.monotonic()
    harness.dispatcher.unreachable_until = dict.fromkeys("ab", now + SECOND)

    async def send(build_head, body, due_at, request_id, find_refusal, may_receive):
        return relaying.RelayOutcome(build_answer(), None)

    harness.dispatcher.relay.send = send
    assert harness.send().status == 200


LOCAL_FAILURES = [
    errors.UnknownService("POST", "/a/x"),
    errors.KeyMissing("s", "x-key"),
    errors.BodyTooLarge(1),
    errors.HeadersTooLarge(1),
    errors.MalformedRequest("detail"),
    errors.NotReady("configuration"),
]


async def handle_as_before(receiver, request):
    """Answer as an instance of an earlier version, which passes on all failures."""
    outcome = await receiver.handler.handle(request)
    return outcome.map(relaying.mark_answer)


def use_earlier_version(monkeypatch, earlier):
    """Let all receivers answer as those of an earlier version."""
    if earlier:
        monkeypatch.setattr(relaying.RelayReceiver, "handle", handle_as_before)


earlier_version = pytest.mark.parametrize("earlier", [False, True])


# Guards against a 4xx, after which the caller gives up, from an instance that knows
# another configuration than that of the caller.
@earlier_version
@pytest.mark.parametrize("failure", LOCAL_FAILURES)
@testing.run_in_event_loop
async def test_next_instance_is_tried_after_one_that_knows_less(
    failure, earlier, monkeypatch
):
    use_earlier_version(monkeypatch, earlier)
    async with running_setting() as setting:
        await setting.add("n2", failure)
        await setting.add("n3", build_answer(), data_centre="dc-2")
        assert (await setting.send(b"hello")).answer.status == 200
        # It may serve other requests.
        assert [item.node for item in setting.sender.list_peers()] == ["n2", "n3"]


@earlier_version
@pytest.mark.parametrize("failure", LOCAL_FAILURES)
@testing.run_in_event_loop
async def test_request_that_no_instance_knows_is_refused_as_not_run(
    failure, earlier, monkeypatch
):
    use_earlier_version(monkeypatch, earlier)
    async with running_setting() as setting:
        for node in ("n2", "n3"):
            await setting.add(node, failure)
        outcome = await setting.send()
        assert isinstance(outcome.failure, errors.RelayRefused)
        assert not outcome.body_used
        outcome = await setting.send(rest=stream_body())
        assert isinstance(outcome.failure, errors.RelayRefused) and outcome.body_used


# Guards against senders of an earlier version, for which all other failures are final.
@testing.run_in_event_loop
async def test_receiver_reports_what_it_does_not_know_as_a_refusal():
    request = build_relayed(dispatch_test.Harness())
    for failure in LOCAL_FAILURES[:-1]:
        receiver = relaying.RelayReceiver("n2", Receiver(failure))
        answer = (await receiver.handle(request)).unwrap()
        restored = relaying.restore_failure(answer)
        assert answer.status == 503 and isinstance(restored, errors.RelayRefused)


# Guards against a request that crashes a target at each instance in turn, and against
# a 422 of an instance that has counted its crashes wrongly.
@testing.run_in_event_loop
async def test_quarantined_request_is_passed_on_once():
    async with running_setting() as setting:
        for node in ("n2", "n3"):
            await setting.add(node, errors.Quarantined("f"))
        outcome = await setting.send()
        assert isinstance(outcome.failure, errors.RelayRefused)
        assert sum(len(item.requests) for item in setting.receivers) == 1


# Guards against 400, 413 and 431 of the listener for other instances, which earlier
# versions send without a mark, so that they look like answers of targets.
@pytest.mark.parametrize("earlier", [False, True])
@pytest.mark.parametrize("limits", [{"head_bytes": 60}, {"body_bytes": 4}])
@testing.run_in_event_loop
async def test_refusal_of_the_listener_is_not_final(limits, earlier):
    async with running_setting() as setting:
        receiver = await setting.add("n2", build_answer())
        await setting.add("n3", build_answer(), data_centre="dc-2")
        server = receiver.listener
        if "head_bytes" in limits:
            server.limits = server.limits._replace(**limits)
        else:
            server.get_body_limit = lambda request: limits["body_bytes"]
        if not earlier:
            server.choose_refusal = server.handler.choose_refusal
            server.render_failure = relaying.render_refusal
        assert (await setting.send(b"hello")).answer.status == 200
        assert not receiver.requests and len(setting.receivers[1].requests) == 1


# Guards against an answer of a target that is taken for a refusal.
@pytest.mark.parametrize("status", [400, 404, 413, 422, 431])
@testing.run_in_event_loop
async def test_target_may_answer_with_any_status(status):
    body = b'{"type": "BodyTooLarge", "outcome": "bad-request", "detail": {}}'
    async with running_setting() as setting:
        await setting.add("n2", build_answer(body, status=status))
        assert (await setting.send()).answer.status == status


# Guards against an unknown outcome of a HEAD request that was refused, as the answer
# has no body with the details of the failure.
@pytest.mark.parametrize(
    "failure", [errors.RelayRefused("n2", "cut off"), errors.QueueFull("t", SECOND)]
)
@testing.run_in_event_loop
async def test_refused_head_request_is_not_run(failure):
    async with running_setting() as setting:
        await setting.add("n2", failure)
        build_head = setting.build_head
        setting.build_head = lambda length: h11.Request(
            method=b"HEAD", target=b"/a/x", headers=build_head().headers
        )
        outcome = await setting.send()
        assert isinstance(outcome.failure, errors.RelayRefused)


# Guards against a final answer by the instance that another one has refused to help.
def test_instance_tries_its_own_targets_after_refusals_of_others():
    harness = dispatch_test.Harness(200)
    cut_off(harness)

    async def send(build_head, body, due_at, request_id, find_refusal, may_receive):
        return relaying.RelayOutcome(None, relaying.build_refusal("n2", "Quarantined"))

    harness.dispatcher.relay.send = send
    assert harness.send().status == 200 and len(harness.sent) == 1


# Guards against requests of other instances that a stopping one begins and cuts, though
# a third instance could serve them.
@pytest.mark.parametrize(
    ("abort_after", "attempts", "failure"),
    [(1.25, 1, ""), (1.15, 1, "RelayRefused"), (1.15, None, "")],
)
def test_stopping_instance_refuses_relayed_requests_that_may_not_end(
    abort_after, attempts, failure
):
    harness = dispatch_test.Harness(200)
    now = harness.clock.monotonic()
    harness.dispatcher.stop.schedule = stop_schedule.plan_stop(
        now, now + abort_after * SECOND, SECOND
    )
    harness.clock.advance(SECOND / 10)
    # Its answer is due after 1 s.
    request = build_relayed(harness, relayed_attempts=attempts)
    answer = asyncio.run(harness.dispatcher.handle(request)).unwrap()
    assert answer.failure == failure and len(harness.sent) == (not failure)


# Guards against a request that is offered to one instance after another while the time
# ends in which the answer could still be passed on.
@testing.run_in_event_loop
async def test_request_that_must_not_start_is_not_passed_on():
    async with running_setting() as setting:
        first = await setting.add("n2", errors.RelayRefused("n2", "stopping"))
        second = await setting.add("n3", errors.RelayRefused("n3", "stopping"))
        failure = errors.Stopping("n1")
        refusals = [None, None, failure]
        outcome = await setting.send(find_refusal=lambda: refusals.pop(0))
        assert outcome == relaying.RelayOutcome(None, failure)
        assert len(first.requests) + len(second.requests) == 1


# Guards against 502 for a request that another instance, of another version, refused as
# not run, and against a wrong "not run" if that instance leaves the outcome open.
@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (errors.NOT_RUN, errors.RelayRefused),
        (errors.UNKNOWN, errors.AnswerInvalid),
        ("", errors.AnswerInvalid),
    ],
)
def test_unknown_failure_of_another_version_has_the_outcome_that_it_states(
    outcome, expected
):
    headers = (
        (relaying.FAILURE_HEADER, b"FailureOfTomorrow"),
        (b"dewstep-outcome", outcome.encode()),
    )
    answer = data.Answer(503, headers, 2, data.Body(b"{}", None), "")
    failure = relaying.find_failure(answer, "n2", b"x-id")
    assert isinstance(failure, expected)
