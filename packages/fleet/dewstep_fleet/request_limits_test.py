"""Tests of the limits that one instance knows, and of its permits."""

import asyncio
import datetime
import math
import random

from returns import result

from dewstep_core import clocks, errors
from dewstep_emulator import testing
from dewstep_fleet import builders, frames, request_limits

SECOND = builders.SECOND
MILLISECOND = builders.MILLISECOND
NOTHING = datetime.timedelta()
TARGET = builders.build_target("a")


class Setting:
    """Limits of an instance, whose coordinator the test plays."""

    def __init__(self, members=4, seed=1):
        self.clock = clocks.ManualClock()
        self.clock.advance(100 * SECOND)
        self.asked = 0
        self.limits = request_limits.RequestLimits(
            self.clock, random.Random(seed), self.count_question, lambda: members
        )

    def count_question(self):
        self.asked += 1

    def name_limit(self, rate=3.0):
        self.limits.record_named(TARGET, rate)

    def answer(self, count, wait_ms=0, question=None):
        """Answer the open question."""
        question = question or self.limits.build_question()
        issued = [frames.Permits("a", count, wait_ms)]
        self.limits.apply_answer(question.asked_ms, issued)

    async def acquire(self):
        return await self.limits.acquire(TARGET, SECOND)

    async def begin(self):
        """Let a request begin to wait for a permit; return its task."""
        task = asyncio.ensure_future(self.acquire())
        await asyncio.sleep(0)
        return task

    def isolate(self):
        """Leave a question unanswered until the instance counts as isolated."""
        self.limits.limits["a"].wanted += 1
        assert self.limits.build_question() is not None
        self.clock.advance(request_limits.ISOLATION_TIME + MILLISECOND)


# Guards against requests that are held up at targets without a limit.
@testing.run_in_event_loop
async def test_request_without_a_limit_needs_no_permit():
    setting = Setting()
    assert await setting.acquire() == result.Success(None)
    assert setting.asked == 0


@testing.run_in_event_loop
async def test_request_gets_the_permit_that_was_issued_for_it():
    setting = Setting()
    setting.name_limit()
    task = await setting.begin()
    assert not task.done()
    setting.answer(1)
    permit = (await task).unwrap()
    assert permit.target == "a"


# Guards against a request that waits although it is known that it cannot be served.
@testing.run_in_event_loop
async def test_request_is_refused_at_once_while_there_is_no_permit():
    setting = Setting()
    setting.name_limit()
    task = await setting.begin()
    setting.answer(0, wait_ms=250)
    refused = (await task).failure()
    assert refused == errors.TargetLimited("a", 3.0, 250 * MILLISECOND)
    asked = setting.asked
    assert isinstance(await setting.acquire(), result.Failure)
    assert setting.limits.find_exhausted() == {"a"}
    assert setting.asked == asked
    setting.clock.advance(SECOND)
    assert setting.limits.find_exhausted() == frozenset()


# Guards against permits that a stalled link or a frozen process delivers late.
@testing.run_in_event_loop
async def test_late_permits_are_not_used():
    setting = Setting()
    setting.name_limit()
    task = await setting.begin()
    question = setting.limits.build_question()
    setting.clock.advance(request_limits.PERMIT_VALIDITY)
    setting.answer(5, question=question)
    setting.answer(0, wait_ms=100, question=question)
    assert isinstance(await task, result.Failure)


# Guards against instances without a coordinator that exceed the limit together, also
# after they have sent nothing for a long time.
def test_parts_of_isolated_instances_keep_the_limit():
    for members in (4, 73):
        settings = [Setting(members, seed) for seed in range(members)]
        used = []
        for setting in settings:
            setting.name_limit()
            setting.isolate()
            setting.clock.advance(60 * SECOND)
        began = settings[0].clock.monotonic()
        for _ in range(400):
            for setting in settings:
                setting.clock.advance(SECOND / 20)
                taken = setting.limits.confirm(TARGET, None) is None
                used += [setting.clock.monotonic()] * taken
        for first in used:
            window = [at for at in used if first <= at < first + 4 * SECOND]
            assert len(window) <= 1.5 * 3 * 4 + 5
        assert len(used) >= 0.8 * 3 * 20
        assert used[0] - began <= members / 3 * SECOND


# Guards against an instance that stays isolated after the coordinator has answered.
@testing.run_in_event_loop
async def test_answer_ends_the_isolation():
    setting = Setting()
    setting.name_limit()
    setting.isolate()
    assert setting.limits.is_isolated(setting.clock.monotonic())
    await setting.acquire()
    assert setting.asked
    setting.answer(1)
    assert not setting.limits.is_isolated(setting.clock.monotonic())


# Guards against an answer of before the limit that lifts it.
def test_limit_ends_with_an_answer_to_a_later_request():
    setting = Setting()
    sent_before = setting.clock.monotonic() - SECOND
    setting.name_limit()
    setting.limits.record_unnamed(TARGET, sent_before)
    assert setting.limits.find(TARGET) is not None
    setting.clock.advance(SECOND)
    setting.limits.record_unnamed(TARGET, setting.clock.monotonic())
    assert setting.limits.find(TARGET) is None


# Guards against a limit that another instance's older observation revives or ends.
def test_latest_observation_counts():
    setting = Setting()
    setting.name_limit()
    setting.clock.advance(SECOND)
    older = frames.Limit("a", 1, math.inf, 1_500)
    setting.limits.apply_observations([older], first_hand=True)
    assert setting.limits.list_rates() == {"a": 3.0}
    setting.limits.apply_observations([older._replace(age_ms=500)], first_hand=True)
    assert setting.limits.list_rates() == {}
    named = frames.Limit("a", 1, 3.0, 900)
    setting.limits.apply_observations([named], first_hand=True)
    assert setting.limits.list_rates() == {}


# Guards against a time that grows each time an observation is passed on, until it hides
# a later one.
def test_observation_that_is_passed_on_keeps_its_time():
    setting = Setting()
    setting.name_limit()
    setting.clock.advance(SECOND)
    echoed = frames.Limit("a", 1, 3.0, 0)
    setting.limits.apply_observations([echoed], first_hand=False)
    ended = frames.Limit("a", 1, math.inf, 100)
    setting.limits.apply_observations([ended], first_hand=False)
    assert setting.limits.list_rates() == {}


# Guards against a restarted target that is held to the limit of its earlier process.
def test_limit_belongs_to_an_incarnation():
    setting = Setting()
    setting.name_limit()
    restarted = builders.build_target("a", life=2)
    assert setting.limits.find(restarted) is None
    setting.limits.forget_ended({"a": restarted})
    assert setting.limits.list_rates() == {}


# Guards against a limit that is forgotten while the registration is missing.
def test_limit_outlasts_a_gap_of_the_registration():
    setting = Setting()
    setting.name_limit()
    setting.clock.advance(5 * SECOND)
    setting.limits.forget_ended({})
    assert setting.limits.list_rates() == {"a": 3.0}
    setting.clock.advance(request_limits.REMOVED_TARGET_PERIOD)
    setting.limits.forget_ended({})
    assert setting.limits.list_rates() == {}


# Guards against requests that wait for a permit after their target has ended its limit.
@testing.run_in_event_loop
async def test_waiting_requests_are_sent_when_the_limit_ends():
    setting = Setting()
    setting.name_limit()
    task = await setting.begin()
    setting.clock.advance(MILLISECOND)
    setting.limits.record_unnamed(TARGET, setting.clock.monotonic())
    assert await task == result.Success(None)


# Guards against permits that are lost with requests that are not sent after all.
@testing.run_in_event_loop
async def test_permit_that_is_given_back_is_used_by_the_next_request():
    setting = Setting()
    setting.name_limit()
    task = await setting.begin()
    setting.answer(1)
    setting.limits.give_back((await task).unwrap())
    assert isinstance(await setting.acquire(), result.Success)


# Guards against limits and permits that are lost between the instances.
def test_limits_and_permits_are_part_of_messages():
    frame = frames.Frame(
        "need",
        1,
        "n1",
        "n1-x",
        limits=(frames.Limit("a", 3, 2.5, 120), frames.Limit("b", 0, math.inf, 0)),
        wanted=(frames.PermitRequest("a", 3, 7),),
        permits=(frames.Permits("a", 2, 40),),
        asked_ms=123_456,
    )
    assert frames.decode(frames.encode(frame)) == frame


# Guards against cold targets that are unknown to instances that have not seen them.
def test_cold_targets_are_part_of_messages():
    frame = frames.Frame(
        "beat",
        1,
        "n1",
        "n1-x",
        cold=(frames.Cold("a", 3, 120, 800), frames.Cold("b", 0, 9, 0, True, True)),
        wanted=(frames.PermitRequest("a", 3, 7, 7.3),),
        permits=(frames.Permits("a", 2, 40, True),),
    )
    assert frames.decode(frames.encode(frame)) == frame
