"""Tests of requests that a learned time refuses, which only answers can correct."""

import datetime

import pytest
from returns import result

from dewstep_core import data, errors
from dewstep_fleet import builders, dispatch_test, frames, model

MILLISECOND = builders.MILLISECOND
INTERVAL = 100 * MILLISECOND
"""Time between two requests."""
USUAL_TIME = 290 * MILLISECOND
SHORT_TIME = 40 * MILLISECOND
SHORT_LIMIT = 150 * MILLISECOND


class WorkingPool(dispatch_test.FakePool):
    """Connection pool whose target works for `harness.work` on each request."""

    async def send(self, head, body, deadline, request_id, find_refusal=None):
        clock = self.harness.clock
        left = deadline - clock.monotonic()
        self.harness.sent.append((self.target, dict(head.headers), request_id))
        clock.advance(min(left, self.harness.work))
        if self.harness.work > left:
            return result.Failure(errors.DeadlineExceeded(self.target))
        answer = data.Answer(200, (), 0, data.Body(b"", None), "")
        return result.Success(answer)


class Harness(dispatch_test.Harness):
    """A dispatcher with two routes to one service whose targets take some time."""

    def __init__(self, work, keyed=False, limit=SHORT_LIMIT):
        super().__init__(keyed=keyed)
        self.work = work
        self.dispatcher.pools.get = lambda service, target: WorkingPool(
            self, target.name
        )
        self.change_routes(limit)

    def change_routes(self, limit):
        """Let the route "quick" have another time-out."""
        table = builders.build_table(
            builders.build_route(),
            builders.build_route(name="quick", prefix="/quick/", timeout=limit),
            version=self.directory.change_count + 2,
            keyed=bool(self.directory.ownerships),
        )
        self.directory.decode_routes = lambda value: result.Success(table)
        version = 20 + self.directory.change_count
        row = builders.build_row(model.TABLES.configuration, "c", version, b"")
        self.directory.apply_rows([row])

    def count_served(self, path, requests, headers=()):
        """Send requests at intervals; return how many are served."""
        served = 0
        headers = ((b"x-key", b"7"), *headers)
        for _ in range(requests):
            due = self.clock.monotonic() + INTERVAL
            served += self.send(path, headers).status == 200
            left = due - self.clock.monotonic()
            self.clock.advance(max(left, datetime.timedelta()))
        return served

    def count_sent(self, path, requests):
        """Send requests at intervals; return how many reach a target."""
        before = len(self.sent)
        self.count_served(path, requests)
        return len(self.sent) - before


# Guards against CONFIG: an added route was never served if its time-out was shorter
# than what other routes of its service take (review/8).
@pytest.mark.parametrize("keyed", [False, True])
def test_added_route_with_a_short_timeout_is_served(keyed):
    harness = Harness(USUAL_TIME, keyed)
    assert harness.count_served("/a/x", 30) == 30
    harness.work = SHORT_TIME
    assert harness.count_served("/quick/x", 100) == 100


# Guards against refusing all requests from the first start on, as nothing is known yet.
@pytest.mark.parametrize("keyed", [False, True])
def test_first_requests_with_a_short_deadline_are_served(keyed):
    harness = Harness(SHORT_TIME, keyed)
    deadline = ((b"x-deadline", b"150"),)
    assert harness.count_served("/a/x", 100, deadline) == 100


# Guards against a time of the route itself that refuses all of its requests, though its
# targets have become faster.
@pytest.mark.parametrize("keyed", [False, True])
def test_route_is_served_again_once_its_requests_take_less_time(keyed):
    harness = Harness(USUAL_TIME, keyed, limit=builders.SECOND)
    assert harness.count_served("/quick/x", 30) == 30
    harness.change_routes(SHORT_LIMIT)
    harness.work = SHORT_TIME
    assert harness.count_served("/quick/x", 100) >= 85


# Guards against an owner that counts as slow for good, while others answer.
def test_owner_is_served_again_once_it_is_not_slow_any_more():
    harness = Harness(SHORT_TIME, keyed=True)
    assert harness.count_served("/quick/x", 30) == 30
    harness.counts.get_load("a").slowness = 20.0
    harness.clock.advance(5 * builders.SECOND)
    harness.counts.answered_at["quick"] = harness.clock.monotonic().total_seconds()
    assert harness.count_served("/quick/x", 100) >= 85


# Guards against sending all requests that cannot be served in time.
@pytest.mark.parametrize("keyed", [False, True])
def test_few_requests_are_sent_that_take_too_long(keyed):
    harness = Harness(USUAL_TIME, keyed)
    harness.count_served("/a/x", 30)
    assert harness.count_sent("/quick/x", 300) <= 15


# Guards against trials that take the slots of requests that can be served.
def test_full_target_receives_no_request_that_may_take_too_long():
    harness = Harness(USUAL_TIME, keyed=True)
    harness.count_served("/a/x", 30)
    total = frames.Total(frames.hash_target_name("a"), 4, 1.0)
    for _ in range(30):
        now = harness.clock.monotonic().total_seconds()
        harness.counts.apply_totals((total,), now)
        assert not harness.count_sent("/quick/x", 1)
