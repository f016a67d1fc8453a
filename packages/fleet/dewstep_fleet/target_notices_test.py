"""Tests of targets that say in an answer that they are leaving, or ask for a pause."""

import datetime

import pytest

from dewstep_core import errors
from dewstep_entry.targets import answering
from dewstep_fleet import builders, dispatch_test, frames, model, ranges

SECOND = builders.SECOND
NOTHING = datetime.timedelta()
LEAVING = answering.Notice(True, NOTHING)
PAUSE = answering.Notice(False, 2 * SECOND)
KEY = ((b"x-key", b"7"),)
DRAIN_TIME = builders.build_timing().drain_time


def give_notice(harness, target, notice, life=1):
    """Let an instance receive an answer with a notice."""
    described = builders.build_target(target, life=life)
    harness.dispatcher.pools.receive_notice(described, notice)


def assign(harness, owner):
    """Let all keys belong to a target."""
    owners = ranges.Ownership("history", 0, 10, builders.build_holdings(owner))
    value = ranges.encode(owners)
    row = builders.build_row(model.TABLES.fleet, "ranges/history", 4, value)
    harness.directory.apply_rows([row])


# Guards against new requests to a target that has announced that it is leaving.
def test_leaving_target_receives_no_unkeyed_request():
    harness = dispatch_test.Harness(*[200] * 20)
    give_notice(harness, "a", LEAVING)
    for _ in range(20):
        assert harness.send().status == 200
    assert {name for name, _, _ in harness.sent} == {"b"}


# Guards against a registration that hides that a target is leaving.
def test_later_registration_does_not_end_a_departure():
    harness = dispatch_test.Harness()
    give_notice(harness, "a", LEAVING)
    renewed = builders.build_target("a")._replace(slots=9)
    harness.directory.apply_rows([builders.build_target_row(renewed, 8)])
    assert harness.directory.targets["a"].slots == 9
    assert harness.directory.targets["a"].leaving


# Guards against a restarted target that counts as leaving.
def test_new_incarnation_of_a_departed_target_is_not_leaving():
    harness = dispatch_test.Harness()
    give_notice(harness, "a", LEAVING)
    restarted = builders.build_target("a", life=2)
    harness.directory.apply_rows([builders.build_target_row(restarted, 8)])
    assert not harness.directory.targets["a"].leaving
    give_notice(harness, "a", LEAVING, life=1)
    assert not harness.directory.targets["a"].leaving


# Guards against keys that nobody serves while their owner may still do so.
def test_leaving_owner_receives_requests_until_the_keys_have_moved():
    harness = dispatch_test.Harness(200, 200, keyed=True)
    give_notice(harness, "a", LEAVING)
    assert harness.send(headers=KEY).status == 200
    assign(harness, "b")
    assert harness.send(headers=KEY).status == 200
    assert [name for name, _, _ in harness.sent] == ["a", "b"]


# Guards against requests to a leaving owner after the drain time, for which an instance
# may have had no contact to the others.
def test_leaving_owner_receives_nothing_after_the_drain_time():
    harness = dispatch_test.Harness(200, keyed=True)
    give_notice(harness, "a", LEAVING)
    harness.clock.advance(DRAIN_TIME)

    async def wait_in_vain(change_count, seconds):
        harness.clock.advance(seconds * SECOND)

    harness.directory.wait_change = wait_in_vain
    answer = harness.send(headers=KEY)
    assert answer.status == 503 and not harness.sent


# Guards against a departure that is not recorded because the registration says so, too.
def test_departure_after_a_leaving_registration_is_recorded():
    harness = dispatch_test.Harness()
    leaving = builders.build_target("a", leaving=True)
    harness.directory.apply_rows([builders.build_target_row(leaving, 8)])
    give_notice(harness, "a", LEAVING)
    ready = builders.build_target("a")
    harness.directory.apply_rows([builders.build_target_row(ready, 9)])
    assert harness.directory.targets["a"].leaving


# Guards against notices that are lost while the registration is missing for a moment.
@pytest.mark.parametrize("notice", [LEAVING, PAUSE])
@pytest.mark.parametrize("before", [True, False])
def test_notice_outlasts_a_gap_of_the_registration(notice, before):
    harness = dispatch_test.Harness(200, targets="a")
    if before:
        give_notice(harness, "a", notice)
    removal = builders.build_row(model.TABLES.targets, "a", 8, None)
    harness.directory.apply_rows([removal])
    if not before:
        give_notice(harness, "a", notice)
    returned = builders.build_target("a")
    harness.directory.apply_rows([builders.build_target_row(returned, 9)])
    assert harness.send().status == 503
    assert not harness.sent


# Guards against requests during a pause where other targets can run them.
def test_pausing_target_receives_no_unkeyed_request():
    harness = dispatch_test.Harness(*[200] * 40)
    give_notice(harness, "a", PAUSE)
    for _ in range(20):
        assert harness.send().status == 200
    assert {name for name, _, _ in harness.sent} == {"b"}
    harness.clock.advance(2 * SECOND)
    for _ in range(20):
        assert harness.send().status == 200
    assert {name for name, _, _ in harness.sent} == {"a", "b"}


def get_retry_after(answer):
    """Return the seconds of an answer's Retry-After."""
    return float(dict(answer.headers)[b"retry-after"])


# Guards against a retry time at which the target still pauses.
def test_request_is_refused_at_once_if_all_targets_pause():
    harness = dispatch_test.Harness()
    give_notice(harness, "a", PAUSE)
    give_notice(harness, "b", answering.Notice(False, SECOND))
    answer = harness.send(headers=((b"x-deadline", b"1500"),))
    assert answer.status == 503
    assert dispatch_test.get_outcome(answer) == b"not-run"
    assert 1.0 <= get_retry_after(answer) <= 1.5


# Guards against requests for a key that wait for, or reach, its pausing owner.
def test_request_for_a_key_is_refused_while_its_owner_pauses():
    harness = dispatch_test.Harness(200, keyed=True)
    give_notice(harness, "a", PAUSE)
    answer = harness.send(headers=KEY)
    assert answer.status == 503 and not harness.sent
    assert 2.0 <= get_retry_after(answer) <= 3.0


# Guards against a retry time that ignores the pause that the refusal began.
def test_refusal_with_a_pause_tells_the_caller_of_it():
    def refuse_with_pause(target):
        give_notice(harness, target, PAUSE)
        return errors.TargetRefused(target, "1")

    harness = dispatch_test.Harness(refuse_with_pause, keyed=True)
    answer = harness.send(headers=KEY)
    assert answer.status == 503 and len(harness.sent) == 1
    assert 2.0 <= get_retry_after(answer) <= 3.0


# Guards against a pause that is counted as a try or uses up the retry budget.
@pytest.mark.parametrize("idempotent", [True, False])
def test_request_that_a_pause_has_stopped_is_sent_to_another_target(idempotent):
    def pause(target):
        give_notice(harness, target, PAUSE)
        return errors.TargetPaused(target, SECOND)

    harness = dispatch_test.Harness(pause, 200, idempotent=idempotent)
    harness.dispatcher.retry_budgets.set_timing(
        builders.build_timing()._replace(retry_ratio=0, retry_slack=0)
    )
    assert harness.send(method="POST").status == 200
    assert len(harness.sent) == 2


# Guards against a restarted target that is left alone because of its earlier process.
def test_restarted_target_does_not_pause():
    harness = dispatch_test.Harness()
    give_notice(harness, "a", PAUSE)
    restarted = builders.build_target("a", life=2)
    harness.directory.apply_rows([builders.build_target_row(restarted, 8)])
    now = harness.clock.monotonic().total_seconds()
    assert harness.counts.get_pause_left("a", now) == 0
    give_notice(harness, "a", PAUSE, life=1)
    assert harness.counts.get_pause_left("a", now) == 0


# Guards against departures that are lost between the instances.
def test_departures_are_part_of_messages():
    departures = (frames.Departure("a", 3), frames.Departure("b", 0))
    frame = frames.Frame("report", 1, "n1", "n1-x", departures=departures)
    assert frames.decode(frames.encode(frame)) == frame
