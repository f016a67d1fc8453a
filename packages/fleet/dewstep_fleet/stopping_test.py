"""Tests of requests that wait or fail while their instance stops."""

import pytest
from returns import result

from dewstep_core import errors
from dewstep_entry.policy import stop_schedule
from dewstep_fleet import builders, dispatch_test, relaying

SECOND = builders.SECOND
ABORT_AFTER = 5.7
"""Seconds after the beginning of a stop."""
UNLIMITED = {"timeout": None, "latency_objective": None}


def begin_stop(harness):
    """Begin a planned stop."""
    now = harness.clock.monotonic()
    harness.dispatcher.stop.schedule = stop_schedule.plan_stop(
        now, now + ABORT_AFTER * SECOND, 2.5 * SECOND
    )


def check_refusal(answer):
    """Check that an answer lets the caller send its request elsewhere."""
    assert answer.status == 503 and answer.failure == "Stopping"
    assert dispatch_test.get_outcome(answer) == b"not-run"
    assert float(dict(answer.headers)[b"retry-after"]) > 0


@pytest.mark.parametrize(("elapsed", "sent"), [(2.4, 1), (2.6, 0), (5.0, 0)])
def test_request_without_a_near_deadline_is_sent_until_the_listeners_close(
    elapsed, sent
):
    harness = dispatch_test.Harness(200, **UNLIMITED)
    begin_stop(harness)
    harness.clock.advance(elapsed * SECOND)
    answer = harness.send()
    assert len(harness.sent) == sent
    if not sent:
        check_refusal(answer)


@pytest.mark.parametrize(("elapsed", "sent"), [(4.5, 1), (4.7, 0)])
def test_request_that_certainly_ends_is_sent_until_the_last_start(elapsed, sent):
    harness = dispatch_test.Harness(200, timeout=SECOND)
    begin_stop(harness)
    harness.clock.advance(elapsed * SECOND)
    answer = harness.send()
    assert len(harness.sent) == sent
    if not sent:
        check_refusal(answer)


# Guards against a request that waits for the move of its key and starts too late.
def test_request_that_waited_for_its_key_is_refused():
    harness = dispatch_test.Harness(200, keyed=True, **UNLIMITED)
    begin_stop(harness)
    harness.clock.advance(2.4 * SECOND)
    harness.directory.is_moving = lambda service, key: harness.moving
    harness.moving = True

    async def end_move(change_count, seconds):
        harness.clock.advance(0.3 * SECOND)
        harness.moving = False

    harness.directory.wait_change = end_move
    check_refusal(harness.send(headers=((b"x-key", b"7"),)))
    assert not harness.sent


# Guards against a request that waits for a permit and starts too late, and against a
# permit that is lost with it.
def test_request_that_waited_for_a_permit_is_refused():
    harness = dispatch_test.Harness(200, targets="a", **UNLIMITED)
    begin_stop(harness)
    harness.clock.advance(2.4 * SECOND)
    given_back = []
    limits = harness.participant.limits

    async def acquire(target, time_left):
        harness.clock.advance(0.3 * SECOND)
        return result.Success("permit")

    limits.acquire = acquire
    limits.give_back = given_back.append
    check_refusal(harness.send())
    assert given_back == ["permit"] and not harness.sent


# Guards against a request that waits for a connection, without a permit or with one,
# and is sent too late.
@pytest.mark.parametrize("permit", [None, "permit"])
def test_request_that_waited_for_a_connection_is_refused(permit):
    harness = dispatch_test.Harness(200, **UNLIMITED)
    begin_stop(harness)
    harness.clock.advance(2.4 * SECOND)

    async def acquire(target, time_left):
        return result.Success(permit)

    harness.participant.limits.acquire = acquire

    class SlowPool(dispatch_test.FakePool):
        async def send(self, *arguments):
            harness.clock.advance(0.3 * SECOND)
            return await super().send(*arguments)

    harness.dispatcher.pools.get = lambda service, target: SlowPool(
        harness, target.name
    )
    check_refusal(harness.send())
    assert not harness.sent


# Guards against a retry that begins late, and against an answer that says of a request
# that may have run that it has not run.
def test_retry_is_not_begun_late_and_the_outcome_stays_unknown():
    harness = dispatch_test.Harness(dispatch_test.lost, 200, **UNLIMITED)
    begin_stop(harness)
    harness.clock.advance(2.4 * SECOND)

    class SlowPool(dispatch_test.FakePool):
        async def send(self, *arguments):
            outcome = await super().send(*arguments)
            harness.clock.advance(SECOND)
            return outcome

    harness.dispatcher.pools.get = lambda service, target: SlowPool(
        harness, target.name
    )
    answer = harness.send()
    assert answer.status == 502 and answer.failure == "ConnectionLost"
    assert len(harness.sent) == 1


# Guards against a retry of a refused request that begins late.
def test_refused_request_is_not_sent_again_late():
    harness = dispatch_test.Harness(dispatch_test.full, 200, **UNLIMITED)
    begin_stop(harness)
    harness.clock.advance(2.4 * SECOND)

    class SlowPool(dispatch_test.FakePool):
        async def send(self, *arguments):
            outcome = await super().send(*arguments)
            harness.clock.advance(SECOND)
            return outcome

    harness.dispatcher.pools.get = lambda service, target: SlowPool(
        harness, target.name
    )
    check_refusal(harness.send())
    assert len(harness.sent) == 1


# Guards against a request that is passed on to another instance too late.
def test_request_is_not_passed_on_late():
    harness = dispatch_test.Harness(dispatch_test.unreachable, targets="a", **UNLIMITED)
    begin_stop(harness)
    harness.clock.advance(2.4 * SECOND)
    refusals = []

    async def send(build_head, body, due_at, request_id, find_refusal, may_receive):
        harness.clock.advance(0.3 * SECOND)
        refusals.append(find_refusal())
        return relaying.RelayOutcome(None, refusals[-1])

    harness.dispatcher.relay.send = send
    check_refusal(harness.send())
    assert refusals == [errors.Stopping("n1")]


# Guards against requests that wait for a connection until the end of the stop.
def test_waiting_requests_are_refused_in_all_pools():
    harness = dispatch_test.Harness()
    refused = []

    class Pool:
        def refuse_waiting(self, failure):
            refused.append(failure)

    harness.dispatcher.pools.by_target["t"] = Pool()
    harness.dispatcher.relay.pools["n2"] = Pool()
    harness.dispatcher.refuse_waiting()
    assert refused == [errors.Stopping("n1")] * 2
