"""What happens to a request: where it goes, when it is sent again, what it is told."""

import asyncio
import datetime
import random

import pytest
from returns import result

from dewstep_core import clock as clocks, data, errors
from dewstep_entry.targets import answering
from dewstep_fleet import (
    budgets,
    builders,
    dispatch,
    frames,
    loads as load_counts,
    model,
    ranges,
)

DIALECT = model.Dialect(b"x-id", b"x-deadline", b"x-target", b"x-key", b"x-n")
RULES = answering.AnswerRules(b"x-id", b"x-n", None)
MILLISECOND = builders.MILLISECOND


class FakeFleet:
    """A fleet of two instances."""

    def __init__(self):
        self.live = 2
        self.crashes = {}

    def note_crash(self, fingerprint):
        self.crashes[fingerprint] = self.crashes.get(fingerprint, 0) + 1


class FakePool:
    """Ends each send as the test says."""

    def __init__(self, stage, target):
        self.stage = stage
        self.target = target
        self.open = set()

    async def send(self, head, body, deadline, request_id):
        self.stage.sent.append((self.target, dict(head.headers), request_id))
        outcome = self.stage.outcomes.pop(0)
        if outcome == "hang":
            await asyncio.sleep(60)
        if isinstance(outcome, int):
            answer = data.Answer(outcome, (), 0, data.Body(b"", None), "")
            return result.Success(answer)
        return result.Failure(outcome(self.target))

    def retire(self):
        """Close nothing."""


class Stage:
    """A dispatcher whose targets answer as the test says."""

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
        self.directory.take(rows)
        if keyed:
            owners = ranges.Ownership("history", 0, 9, builders.build_holdings("a"))
            value = ranges.encode(owners)
            row = builders.build_row(model.TABLES.fleet, "ranges/history", 3, value)
            self.directory.take([row])
        self.counts = load_counts.Loads()
        self.fleet = FakeFleet()
        timing = builders.build_timing()
        self.dispatcher = dispatch.Dispatcher(
            "n1",
            "dc-1",
            self.directory,
            self.counts,
            budgets.Budgets(self.clock, timing),
            self.fleet,
            DIALECT,
            RULES,
            self.clock,
            random.Random(1),
            lambda service, key: self.keys.append((service, key)),
        )
        self.dispatcher.get_pool = lambda plan, target: FakePool(self, target.name)

    def send(self, path="/a/x", headers=(), body=b"", rest=None, method="GET"):
        """Send a request and return the answer."""
        given = ((b"host", b"h.example"), (b"x-id", b"id-1"), *headers)
        arrival = model.Arrival(
            "id-1",
            method,
            path,
            given,
            len(body),
            data.Body(body, rest),
            self.clock.monotonic(),
        )
        return asyncio.run(self.dispatcher.handle(arrival)).unwrap()


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


def outcome_of(answer):
    return dict(answer.headers).get(b"dewstep-outcome")


def test_answer_is_passed_on():
    stage = Stage(200)
    assert stage.send().status == 200
    (_, headers, request_id), *_ = stage.sent
    assert request_id == b"id-1" and headers[b"x-id"] == b"id-1"
    assert headers[b"x-target"] in (b"a", b"b")


def test_unknown_path_is_not_found():
    stage = Stage()
    assert stage.send("/other").status == 404
    assert stage.send("/a").status == 404


def test_at_most_once_request_is_not_sent_again_after_it_may_have_run():
    # Guards against a booking that runs twice.
    for failure in (lost, overdue):
        stage = Stage(failure, 200, repeatable=False)
        answer = stage.send(method="POST")
        assert answer.status in (502, 504) and outcome_of(answer) == b"unknown"
        assert len(stage.sent) == 1


def test_at_most_once_request_goes_on_after_a_refusal():
    stage = Stage(full, 200, repeatable=False)
    assert stage.send(method="POST").status == 200
    assert stage.sent[0][0] != stage.sent[1][0]


def test_refusal_after_a_lost_answer_is_not_called_not_run():
    # Guards against a promise that does not hold: the first send may have run.
    stage = Stage(lost, full, repeatable=True)
    answer = stage.send()
    assert answer.status == 502 and outcome_of(answer) == b"unknown"


def test_request_that_was_never_sent_is_refused_as_not_run():
    stage = Stage(unreachable, unreachable, repeatable=False)
    answer = stage.send(method="POST")
    assert answer.status == 503 and outcome_of(answer) == b"not-run"
    assert b"retry-after" in dict(answer.headers)


def test_idempotent_request_is_sent_again():
    stage = Stage(lost, 200)
    assert stage.send().status == 200


def test_attempts_of_the_route_are_a_limit():
    stage = Stage(lost, lost, 200, targets="abc")
    assert stage.send().status == 502
    assert len(stage.sent) == 2


def test_failure_of_the_target_is_kept_if_nothing_better_comes():
    stage = Stage(500, lost)
    assert stage.send().status == 500
    stage = Stage(500, 200)
    assert stage.send().status == 200
    stage = Stage(500, 200, repeatable=False)
    assert stage.send().status == 500


def test_status_that_promises_not_run_is_not_passed_on_without_its_header():
    # Guards against a caller who books again because of a 503 of a target that ran it.
    stage = Stage(503, repeatable=False)
    assert stage.send(method="POST").status == 502


def test_streamed_body_is_sent_once():
    async def read():
        yield b"x"

    stage = Stage(full, 200, repeatable=False)
    answer = stage.send(method="POST", rest=read())
    assert answer.status == 503 and len(stage.sent) == 1


def test_budget_of_the_fleet_limits_repeats():
    # Guards against retries that finish off a service in trouble.
    stage = Stage(*[lost] * 1000)
    for _ in range(200):
        stage.send()
    allowed = 0.2 * 200 + builders.build_timing().retry_slack / 2
    assert len(stage.sent) - 200 <= allowed


def test_key_goes_to_its_owner():
    stage = Stage(200, keyed=True)
    assert stage.send(headers=((b"x-key", b"70"),)).status == 200
    assert stage.sent[0][0] == "a" and stage.keys == [("history", 70)]


@pytest.mark.parametrize("value", [b"", b"x", b"-1", b"65536"])
def test_request_without_a_key_is_refused(value):
    stage = Stage(keyed=True)
    assert stage.send(headers=((b"x-key", value),)).status == 400


def test_full_owner_ends_the_request_at_once():
    # Guards against requests held back although nobody else may run them.
    stage = Stage(full, keyed=True)
    assert stage.send(headers=((b"x-key", b"70"),)).status == 503
    assert len(stage.sent) == 1


def test_key_that_has_moved_is_followed():
    stage = Stage(misdirected, 200, keyed=True)

    def move(target):
        owners = ranges.Ownership("history", 0, 9, builders.build_holdings("b"))
        value = ranges.encode(owners)
        row = builders.build_row(model.TABLES.fleet, "ranges/history", 4, value)
        asyncio.get_running_loop().call_soon(stage.directory.take, [row])
        return misdirected(target)

    stage.outcomes[0] = move
    assert stage.send(headers=((b"x-key", b"70"),)).status == 200
    assert [target for target, *_ in stage.sent] == ["a", "b"]


def test_owner_that_does_not_hold_the_key_is_not_asked_again():
    # Guards against repeats that use up the budget of a service
    # (comedor-norte hunt-fdb2-11: BUDGET).
    stage = Stage(misdirected, 200, keyed=True)
    stage.clock = stage.dispatcher.clock = clocks.SystemClock()
    answer = stage.send(headers=((b"x-key", b"70"),))
    assert answer.status == 503 and len(stage.sent) == 1


def test_address_that_another_target_has_is_avoided():
    # Guards against repeats at a target of another service.
    stage = Stage(replaced, 200)
    assert stage.send().status == 200
    first = stage.sent[0][0]
    now = stage.clock.monotonic().total_seconds()
    assert stage.counts.estimate("history", first, now).blocked


def test_overloaded_target_is_not_sent_what_it_cannot_finish():
    # Guards against a queue in which every request passes its deadline.
    stage = Stage(targets="a", timeout=300 * MILLISECOND)
    stage.counts.get("a").running = 12
    assert stage.send().status == 503
    assert not stage.sent


def test_quarantined_request_is_not_sent():
    # Guards against a request that ends every target that runs it.
    stage = Stage(lost, 200, targets="a")
    stage.send()
    fingerprint = dispatch.compute_fingerprint("GET", "/a/x", b"")
    stage.fleet.crashes[fingerprint] = dispatch.CRASHES
    before = len(stage.sent)
    assert stage.send().status == 422
    assert len(stage.sent) == before


def test_target_gets_no_more_time_than_is_left():
    stage = Stage(200, timeout=5 * builders.SECOND)
    stage.send(headers=((b"x-deadline", b"700"),))
    assert int(stage.sent[0][1][b"x-deadline"]) < 700


def test_timeout_of_the_route_bounds_the_time_of_the_target():
    stage = Stage(200, timeout=300 * MILLISECOND)
    stage.send(headers=((b"x-deadline", b"2500"),))
    assert int(stage.sent[0][1][b"x-deadline"]) < 300


def test_retry_time_lies_within_what_callers_honour():
    second = builders.SECOND
    failure = errors.QueueFull("t", 9 * second)
    assert dispatch.choose_retry_after(failure, second, 0.5) <= second / 3
    assert dispatch.choose_retry_after(failure, -second, 0.5) == datetime.timedelta()


def test_caller_who_leaves_breaks_off_only_what_may_be_repeated():
    # Guards against a booking that is cut in the middle.
    async def leave(stage):
        arrival = model.Arrival(
            "id-1",
            "POST",
            "/a/x",
            ((b"host", b"h.example"),),
            0,
            data.Body(b"", None),
            stage.clock.monotonic(),
        )
        handling = asyncio.ensure_future(stage.dispatcher.handle(arrival))
        await asyncio.sleep(0.01)
        handling.cancel()
        await asyncio.sleep(0.01)
        running = sum(load.running for load in stage.counts.targets.values())
        for task in stage.dispatcher.background.tasks:
            task.cancel()
        return running

    assert asyncio.run(leave(Stage("hang", repeatable=True))) == 0
    assert asyncio.run(leave(Stage("hang", repeatable=False))) == 1


def count_served(requests, running, **route):
    """Return how many requests for keys of an overloaded owner are sent to it."""
    stage = Stage(*[200] * requests, keyed=True, **route)
    total = frames.Total(frames.shorten("a"), running, 1.0, 0.2)
    sent = 0
    for _ in range(requests):
        stage.counts.take_totals((total,), stage.clock.monotonic().total_seconds())
        answer = stage.send(headers=((b"x-key", b"7"),))
        sent += answer.status == 200
        assert answer.status in (200, 503)
    assert sent == len(stage.sent)
    return sent


def test_busy_owner_of_a_key_in_great_demand_gets_its_share_only():
    """Guards against requests that queue where nobody knows of the others' queue."""
    assert 20 <= count_served(200, running=6) <= 60


def test_owner_with_a_free_slot_gets_all_requests():
    """Guards against refusals after the demand has gone."""
    assert count_served(50, running=2) == 50
