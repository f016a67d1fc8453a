"""Tests that many instances together keep the bound of one cold target."""

import datetime
import random

import pytest

from dewstep_core import clocks
from dewstep_fleet import builders, frames, model, permit_questions, request_limits
from dewstep_fleet.warm_up import allowances, tracking

SECOND, MILLISECOND = builders.SECOND, builders.MILLISECOND
STEP = 10 * MILLISECOND
RATE = 7.3
BOUNDS = model.WarmUpBounds(1.5, 8.0)
TARGET = builders.build_target("a")


class Coordinator:
    """Issues permits to the instances that follow it."""

    def __init__(self, clock, followers, members):
        self.limits = request_limits.RequestLimits(
            clock, random.Random(1), lambda: None, lambda: members
        )
        majority = followers * 2 > members
        self.questions = permit_questions.PermitQuestions(
            None,
            None,
            self.limits,
            clock,
            lambda: 1.0 if majority else followers / members,
        )


class Instance:
    """An instance that asks for permits and sends requests when the test says so."""

    def __init__(self, clock, members, seed, rate):
        table = builders.build_table(builders.build_route(), warm_up=(3 * SECOND, rate))
        directory = builders.build_directory(clock, table)
        self.limits = request_limits.RequestLimits(
            clock,
            random.Random(seed),
            lambda: None,
            lambda: members,
            tracking.WarmUp(clock, directory, BOUNDS),
        )
        configuration = builders.build_row(model.TABLES.configuration, "c", 1, b"")
        cold = TARGET._replace(warm_up_left=60 * SECOND)
        directory.apply_rows([configuration, builders.build_target_row(cold, 2)])
        self.clock = clock
        # Instances do not ask at the same time.
        phase = random.Random(seed).random()
        interval = self.limits.get_question_interval()
        self.next_question_at = clock.monotonic() + interval * phase
        self.coordinator = None

    def act(self, asks, sends):
        """Return whether a request is sent; ask for permits at the usual interval."""
        if asks:
            self.limits.request_permits([TARGET])
        sent = sends and self.limits.confirm(TARGET, None) is None
        now = self.clock.monotonic()
        if now >= self.next_question_at:
            question = self.limits.build_question()
            if question is not None:
                self.next_question_at = now + self.limits.get_question_interval()
                if self.coordinator is not None:
                    issued = self.coordinator.questions.issue(question.wanted)
                    self.limits.apply_answer(question.asked_ms, issued)
        return sent


class Fleet:
    """Instances that follow the coordinators that the test chooses."""

    def __init__(self, members, seed=1, rate=RATE):
        self.clock = clocks.ManualClock()
        self.clock.advance(100 * SECOND)
        self.random = random.Random(seed)
        self.instances = [
            Instance(self.clock, members, f"{seed}/{number}", rate)
            for number in range(members)
        ]
        self.sent = []
        self.bound = rate * BOUNDS.overage + BOUNDS.slack

    def elect(self, *sizes):
        """Let as many instances as named follow a new coordinator each, and no other.

        The remaining instances are isolated.
        """
        rest = list(self.instances)
        self.random.shuffle(rest)
        for instance in rest:
            instance.coordinator = None
        for size in sizes:
            elected = Coordinator(self.clock, size, len(self.instances))
            for instance in rest[:size]:
                instance.coordinator = elected
            rest = rest[size:]

    def run(self, duration, bursts=True):
        """Let all instances have requests for the target, in bursts or all the time.

        Before a burst, the coordinator saves up permits for a second, and the instances
        ask for them as early as they remain valid.
        """
        asking = allowances.PERMIT_VALIDITY - 2 * STEP
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            self.random.shuffle(self.instances)
            now = self.clock.monotonic()
            phase = now % (2 * SECOND + asking)
            asks = not bursts or phase >= SECOND
            sends = not bursts or phase >= SECOND + asking
            for instance in self.instances:
                if instance.act(asks, sends):
                    self.sent.append(now)
            self.clock.advance(STEP)

    def count_most(self):
        """Return the largest number of requests in any second."""
        return max(
            sum(first <= at < first + SECOND for at in self.sent) for first in self.sent
        )


# Guards against instances that exceed the bound together, and against a cold target
# that gets nothing. All instances have more requests for it than it may get.
@pytest.mark.parametrize("members", [1, 3, 62, 200])
@pytest.mark.parametrize("rate", [0.5, RATE, 60.0])
def test_all_instances_together_keep_the_bound(members, rate):
    fleet = Fleet(members, rate=rate)
    fleet.elect(members)
    fleet.run(4 * SECOND, bursts=False)
    assert len(fleet.sent) >= 0.7 * rate * 3 - 1
    # After the time in which a coordinator before may be active.
    assert min(fleet.sent) - 100 * SECOND <= SECOND + SECOND / rate
    fleet.run(6 * SECOND)
    assert fleet.count_most() <= fleet.bound


# Guards against isolated instances that exceed the bound together with the others.
@pytest.mark.parametrize("followers", [0, 16, 32, 50])
@pytest.mark.parametrize("seed", range(4))
def test_isolated_instances_and_coordinators_keep_the_bound(followers, seed):
    fleet = Fleet(62, seed)
    fleet.elect(followers, (62 - followers) // 2)
    fleet.run(12 * SECOND)
    assert 0 < fleet.count_most() <= fleet.bound


# Guards against permits of the coordinator before, shares and permits of the next one
# that exceed the bound together.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("gap_ms", [0, 300, 1_500])
def test_change_of_the_coordinator_keeps_the_bound(seed, gap_ms):
    fleet = Fleet(62, seed)
    fleet.elect(62)
    fleet.run(2 * SECOND)
    for _ in range(3):
        if gap_ms:
            fleet.elect()
            fleet.run(gap_ms * MILLISECOND)
        fleet.elect(62)
        fleet.run(1.3 * SECOND)
    assert fleet.count_most() <= fleet.bound


# Guards against a coordinator that does not know that another one has begun.
@pytest.mark.parametrize("seed", range(4))
def test_two_coordinators_at_once_keep_the_bound(seed):
    fleet = Fleet(62, seed)
    fleet.elect(62)
    fleet.run(2 * SECOND)
    elected = Coordinator(fleet.clock, 62, 62)
    for instance in fleet.instances[:31]:
        instance.coordinator = elected
    # The age up to which reports of followers count.
    fleet.run(SECOND)
    for instance in fleet.instances:
        instance.coordinator = elected
    fleet.run(2 * SECOND)
    assert fleet.count_most() <= fleet.bound


# Guards against a release before this one, whose coordinators issue any number.
def test_permits_of_a_coordinator_that_knows_no_cold_targets_are_not_used():
    fleet = Fleet(3)
    (instance, *_) = fleet.instances
    assert instance.limits.confirm(TARGET, None) is not None
    question = instance.limits.build_question()
    assert question.wanted[0].cold_rate > 0
    instance.limits.apply_answer(question.asked_ms, [frames.Permits("a", 50, 0)])
    fleet.run(2 * SECOND)
    assert fleet.count_most() <= fleet.bound / 2


# Guards against permits that are saved up for a burst.
def test_permits_for_cold_targets_expire_soon():
    fleet = Fleet(1)
    (instance,) = fleet.instances
    instance.limits.confirm(TARGET, None)
    question = instance.limits.build_question()
    issued = [frames.Permits("a", 2, 0, True)]
    instance.limits.apply_answer(question.asked_ms, issued)
    assert instance.limits.confirm(TARGET, None) is None
    fleet.clock.advance(datetime.timedelta(milliseconds=200))
    assert instance.limits.confirm(TARGET, None) is not None
