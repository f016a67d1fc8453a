"""Tests of what makes a target cold and warm at one instance."""

import pytest

from dewstep_core import clocks
from dewstep_fleet import builders, event_capture, frames, model
from dewstep_fleet.warm_up import states, tracking

SECOND, MILLISECOND = builders.SECOND, builders.MILLISECOND
WARM_UP_TIME = 3 * SECOND
TARGET = builders.build_target("a")


class Setting:
    """The cold targets that an instance knows of."""

    def __init__(self, bounds=(1.5, 8.0), rate=7.3):
        self.clock = clocks.ManualClock()
        self.clock.advance(100 * SECOND)
        table = builders.build_table(
            builders.build_route(), warm_up=(WARM_UP_TIME, rate)
        )
        self.directory = builders.build_directory(self.clock, table)
        self.warm_up = tracking.WarmUp(
            self.clock, self.directory, bounds and model.WarmUpBounds(*bounds)
        )
        self.version = 1
        configuration = builders.build_row(model.TABLES.configuration, "c", 1, b"")
        self.directory.apply_rows([configuration])

    def register(self, left_s=0.0, life=1):
        self.version += 1
        target = builders.build_target("a", life=life, warm_up_left=left_s * SECOND)
        row = builders.build_target_row(target, self.version)
        self.directory.apply_rows([row])
        return row

    def fail(self, shared=True, life=1):
        self.warm_up.record_failure(TARGET._replace(life=life), shared)

    def answer(self, opened_ago_s, sent_ago_s=0.0):
        now = self.clock.monotonic()
        self.warm_up.record_answer(
            TARGET, now - opened_ago_s * SECOND, now - sent_ago_s * SECOND
        )

    def is_cold(self):
        return self.warm_up.find_allowance("a") is not None

    def wait(self, seconds):
        self.clock.advance(seconds * SECOND)


# Guards against a repeated registration that extends the time, and against a target
# that is cold for ever.
def test_time_left_counts_from_the_registration():
    setting = Setting()
    row = setting.register(left_s=2.0)
    setting.wait(1.9)
    setting.directory.apply_rows([row])
    assert setting.is_cold()
    setting.wait(0.2)
    assert not setting.is_cold()


# Guards against effects where the platform or the service asks for none.
@pytest.mark.parametrize(("bounds", "rate"), [(None, 7.3), ((1.5, 8.0), 0.0)])
def test_nothing_is_cold_without_a_limit(bounds, rate):
    setting = Setting(bounds, rate)
    setting.register(left_s=2.0)
    setting.fail()
    setting.warm_up.record_notice(TARGET, SECOND)
    setting.warm_up.assume_cold(TARGET, setting.clock.monotonic())
    setting.warm_up.apply_observations([frames.Cold("a", 1, 0, 500)])
    assert not setting.is_cold()


# Guards against a burst to a target that has restarted under the same name before its
# registration says so.
def test_target_is_possibly_cold_after_a_failure():
    setting = Setting()
    setting.register()
    setting.fail()
    setting.wait(0.5)
    # This registration may have been written before the failure.
    setting.register()
    assert setting.is_cold()
    setting.wait(0.6)
    setting.register()
    assert not setting.is_cold()


def test_possibly_cold_target_is_cold_from_its_first_answer_on():
    setting = Setting()
    setting.fail()
    setting.wait(10)
    setting.answer(opened_ago_s=0.2, sent_ago_s=0.1)
    setting.wait(WARM_UP_TIME.total_seconds() - 0.1)
    setting.answer(opened_ago_s=3, sent_ago_s=0.1)
    assert setting.is_cold()
    setting.wait(0.2)
    assert not setting.is_cold()


# Guards against a limit on targets that only reset connections beyond their maximum.
def test_answer_on_an_older_connection_shows_that_the_process_goes_on():
    setting = Setting()
    setting.register()
    setting.fail(shared=False)
    setting.wait(0.1)
    setting.answer(opened_ago_s=5, sent_ago_s=0.2)
    assert setting.is_cold()
    setting.answer(opened_ago_s=5, sent_ago_s=0.05)
    assert not setting.is_cold()
    late = frames.Cold("a", 1, 200, 0, unanswered=True, failed=True)
    setting.warm_up.apply_observations([late])
    assert not setting.is_cold()


# Guards against a failure of the earlier process that makes its successor cold again.
def test_failure_of_an_earlier_incarnation_says_nothing_of_the_next_one():
    setting = Setting()
    setting.register(life=2)
    setting.fail(life=1)
    assert not setting.is_cold()
    setting.fail(life=2)
    setting.register(life=3)
    assert not setting.is_cold()


def test_answers_name_the_time_left():
    setting = Setting()
    setting.register()
    setting.warm_up.record_notice(TARGET, 2 * SECOND)
    setting.wait(1.9)
    assert setting.is_cold()
    setting.warm_up.record_notice(TARGET, 0 * SECOND)
    assert not setting.is_cold()


# Guards against a burst to the targets of a data centre after its evacuation.
def test_target_is_assumed_to_be_cold_until_a_newer_registration_says_otherwise():
    setting = Setting()
    setting.register()
    setting.warm_up.assume_cold(TARGET, setting.clock.monotonic())
    setting.wait(2.9)
    assert setting.is_cold()
    setting.wait(0.2)
    assert not setting.is_cold()
    setting.warm_up.assume_cold(TARGET, setting.clock.monotonic())
    setting.wait(1.1)
    setting.register()
    assert not setting.is_cold()
    setting.warm_up.assume_cold(TARGET, setting.clock.monotonic() - 2 * SECOND)
    assert not setting.is_cold()


# Guards against a burst to targets that became cold while nothing was sent to them.
def test_end_of_an_evacuation_leaves_its_targets_cold():
    setting = Setting()
    setting.register()
    key = model.EVACUATION_PREFIX + TARGET.data_centre
    for version, value in ((11, b"{}"), (12, None)):
        row = builders.build_row(model.TABLES.configuration, key, version, value)
        setting.directory.apply_rows([row])
        assert setting.is_cold() == (value is None)
        setting.wait(2)
    assert setting.is_cold()
    setting.wait(1.1)
    assert not setting.is_cold()


# Guards against instances that learn of a restart only by their own failures, and
# against an observation that lasts longer each time that it is passed on.
def test_other_instances_learn_of_a_failure():
    first, second, third = Setting(), Setting(), Setting()
    for setting in (first, second, third):
        setting.register()
    first.fail(shared=False)
    assert first.warm_up.list_own() == ()
    first.fail(shared=True)
    second.warm_up.apply_observations(first.warm_up.list_own())
    assert second.is_cold() and second.warm_up.list_own() == ()
    third.warm_up.apply_observations(second.warm_up.list_all())
    assert third.is_cold()
    for setting in (first, second, third):
        setting.wait(1.5)
        setting.register()
    second.warm_up.apply_observations(
        [frames.Cold("a", 1, 1_500, 0, unanswered=True, failed=True)]
    )
    assert not (first.is_cold() or second.is_cold() or third.is_cold())


# Guards against a limit that one instance after the other extends, each with its first
# answer, or that an instance keeps which never sends anything to the target.
def test_first_answer_to_any_instance_counts_for_all():
    first, second = Setting(), Setting()
    for setting in (first, second):
        setting.register()
    first.fail()
    second.warm_up.apply_observations(first.warm_up.list_own())
    for setting in (first, second):
        setting.wait(1)
    first.answer(opened_ago_s=0.5, sent_ago_s=0.1)
    unanswered = second.warm_up.list_all()
    second.warm_up.apply_observations(first.warm_up.list_own())
    first.warm_up.apply_observations(unanswered)
    for setting in (first, second):
        setting.wait(WARM_UP_TIME.total_seconds() - 0.1)
        assert setting.is_cold()
        setting.wait(0.2)
        assert not setting.is_cold()


# Guards against an instance whose network fails, or a data centre that was cut off, and
# that makes all targets cold for the others.
@pytest.mark.parametrize(("second", "believed"), [("n2", True), ("n3", False)])
def test_failures_of_most_targets_count_if_two_data_centres_report_them(
    second, believed
):
    setting = Setting()
    for node, data_centre in (("n1", "dc-1"), ("n2", "dc-2"), ("n3", "dc-1")):
        member = model.Member(node, node, data_centre, "10.0.0.1", 1)
        setting.directory.members[node] = member
    names = "abcdef"
    for version, name in enumerate(names, 10):
        row = builders.build_target_row(builders.build_target(name), version)
        setting.directory.apply_rows([row])
    reported = tuple(frames.Cold(name, 1, 5, 0, True, True) for name in names)
    setting.warm_up.apply_report("n1", reported)
    assert setting.warm_up.list_cold() == {}
    setting.warm_up.apply_report("n1", reported[:3])
    assert set(setting.warm_up.list_cold()) == set("abc")
    setting.wait(1.5)
    setting.warm_up.apply_report(second, reported)
    assert (set(setting.warm_up.list_cold()) == set(names)) == believed


# Guards against a second failure that is taken for the first one.
def test_later_failure_counts_anew():
    setting = Setting()
    setting.fail()
    setting.wait(1)
    setting.answer(opened_ago_s=0.5, sent_ago_s=0.1)
    setting.wait(1)
    later = frames.Cold("a", 1, 100, 0, unanswered=True, failed=True)
    setting.warm_up.apply_observations([later])
    setting.wait(WARM_UP_TIME.total_seconds())
    assert setting.is_cold()


def test_beginning_and_end_are_logged_once(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)
    setting = Setting()
    for left_s in (2.0, 1.0, 0.0, 0.0):
        setting.register(left_s)
        setting.wait(0.1)
    (begun,) = log.find("target_cold", target="a", life=1)
    assert (begun["left"], begun["source"]) == (2 * SECOND, states.REGISTRATION)
    setting.fail()
    described = {"life": 1, "limit": 7.3, "since": 0, "left": None, "source": "failure"}
    assert setting.warm_up.describe() == {"a": described}
    assert len(log.find("target_warm", target="a")) == 1


# Guards against ranges that move away from a target that has only reset a connection.
def test_only_restarted_targets_have_less_capacity():
    setting = Setting()
    setting.register()
    setting.fail()
    assert setting.warm_up.list_restarted() == {}
    setting.register(left_s=2.0, life=2)
    assert setting.warm_up.list_restarted() == {"a": 7.3}
    setting.wait(2.1)
    assert setting.warm_up.list_restarted() == {}


# Guards against states that are kept for targets that never return.
def test_state_of_a_removed_target_is_forgotten():
    setting = Setting()
    setting.register()
    setting.fail()
    removal = builders.build_row(model.TABLES.targets, "a", 90, None)
    setting.directory.apply_rows([removal])
    setting.wait(20)
    setting.warm_up.tick()
    assert setting.is_cold()
    setting.wait(20)
    setting.warm_up.tick()
    assert not setting.warm_up.states and not setting.warm_up.services


# Guards against a configuration or settings that arrive after the registrations.
def test_registrations_are_applied_to_later_settings():
    setting = Setting(bounds=None)
    setting.register(left_s=2.0)
    setting.warm_up.set_bounds(model.WarmUpBounds(1.5, 8.0))
    assert setting.is_cold()
    setting.warm_up.set_bounds(None)
    assert not setting.is_cold()
