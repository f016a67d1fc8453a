"""Tests of the decision whether an instance is cut off from all targets."""

import pytest

from dewstep_fleet import builders, reachability

MILLISECOND = builders.MILLISECOND
SECOND = builders.SECOND
START = 100 * SECOND


class Setting:
    """An instance that observes itself each 50 ms."""

    def __init__(self):
        self.now = START
        self.reachability = reachability.Reachability(START)

    def run(self, duration):
        end = self.now + duration
        while self.now < end:
            self.now += 50 * MILLISECOND
            self.reachability.observe(self.now)

    def begin(self, targets="abc"):
        for target in targets:
            self.reachability.begin_request(target)

    def end(self, answered, targets="abc"):
        for target in targets:
            self.reachability.end_request(target, self.now, answered)

    def is_cut_off(self):
        return self.reachability.is_cut_off()


# Guards against requests that wait until their deadline at targets that hang.
def test_hanging_requests_show_a_cut():
    setting = Setting()
    setting.begin()
    setting.run(0.4 * SECOND)
    assert not setting.is_cut_off()
    setting.run(0.2 * SECOND)
    assert setting.is_cut_off()


@pytest.mark.parametrize("answered", [False, None])
def test_failed_connections_show_a_cut_unlike_abandoned_requests(answered):
    setting = Setting()
    setting.run(SECOND)
    setting.begin()
    setting.end(answered)
    assert setting.is_cut_off() == (answered is False)


# Guards against an instance that stops using targets because some of them fail.
def test_one_answer_shows_that_there_is_no_cut():
    setting = Setting()
    setting.begin("abcd")
    setting.run(SECOND)
    assert setting.is_cut_off()
    setting.end(True, "d")
    assert not setting.is_cut_off()
    setting.run(0.4 * SECOND)
    assert not setting.is_cut_off()


# Guards against an instance of a large fleet, with few requests in progress, that
# believes in a cut while they take their usual time of 0.6 s.
def test_requests_that_take_their_usual_time_do_not_show_a_cut():
    setting = Setting()
    period = reachability.choose_silence_period([0.1, 0.6])
    setting.reachability.silence_period = period
    for _ in range(5):
        setting.begin("abcd")
        setting.run(0.65 * SECOND)
        assert not setting.is_cut_off()
        setting.end(True, "abcd")
    setting.begin("abcd")
    setting.run(period + 100 * MILLISECOND)
    assert setting.is_cut_off()


@pytest.mark.parametrize(
    ("service_seconds", "milliseconds"),
    [([], 500), ([0.1], 500), ([0.1, 0.6], 1_800), ([30.0], 2_000)],
)
def test_silence_lasts_for_some_service_times(service_seconds, milliseconds):
    period = reachability.choose_silence_period(service_seconds)
    assert period == milliseconds * MILLISECOND


# Guards against a cut that is inferred from one or two slow targets.
def test_two_silent_targets_do_not_show_a_cut():
    setting = Setting()
    setting.begin("ab")
    setting.run(5 * SECOND)
    assert not setting.is_cut_off()


# Guards against a process that was frozen and has not read the answers yet.
def test_late_process_waits_for_answers():
    setting = Setting()
    setting.begin()
    setting.now += 3 * SECOND
    assert not setting.is_cut_off()
    setting.reachability.observe(setting.now)
    assert not setting.is_cut_off()
    setting.run(0.6 * SECOND)
    assert setting.is_cut_off()


# Guards against a late instance that never believes in a cut, or forgets it.
def test_process_that_is_late_again_and_again_notices_a_cut():
    setting = Setting()
    setting.begin()
    setting.end(False)
    for _ in range(20):
        setting.now += 0.3 * SECOND
        setting.reachability.observe(setting.now)
        setting.run(50 * MILLISECOND)
    assert setting.is_cut_off()
    setting.now += 3 * SECOND
    assert setting.is_cut_off()
    setting.reachability.observe(setting.now)
    assert setting.is_cut_off()


# Guards against an idle instance that believes in a cut because some targets had failed
# before others answered.
def test_failures_before_the_last_answer_do_not_show_a_cut():
    setting = Setting()
    setting.begin("abcd")
    setting.end(False, "abc")
    setting.run(50 * MILLISECOND)
    setting.end(True, "d")
    setting.run(SECOND)
    assert not setting.is_cut_off()


# Guards against targets that are gone and count as silent for ever.
def test_removed_targets_are_forgotten():
    setting = Setting()
    setting.run(SECOND)
    setting.begin()
    setting.end(False)
    setting.reachability.keep_targets({"c"})
    assert not setting.is_cut_off()


# Guards against trials that delay many requests, or against none.
def test_trials_are_apart():
    setting = Setting()
    trials = 0
    for _ in range(200):
        setting.run(50 * MILLISECOND)
        trials += setting.reachability.begin_trial(setting.now, repeatable=True)
    assert 18 <= trials <= 21


# Guards against orders that are delayed by trials although requests that may be
# repeated are there for them, and against orders that are never a trial.
def test_trial_with_a_request_that_must_not_run_twice_comes_later():
    setting = Setting()
    begin_trial = setting.reachability.begin_trial
    assert begin_trial(setting.now, repeatable=True)
    setting.run(0.75 * SECOND)
    assert not begin_trial(setting.now, repeatable=False)
    assert begin_trial(setting.now, repeatable=True)
    setting.run(SECOND)
    assert begin_trial(setting.now, repeatable=False)
    assert not begin_trial(setting.now, repeatable=False)


# Guards against instances without requests that remain cut off, and none of which
# becomes the coordinator.
def test_cut_is_forgotten_without_requests():
    setting = Setting()
    setting.run(SECOND)
    setting.begin()
    setting.end(False)
    setting.run(reachability.FAILURE_MAX_AGE - 100 * MILLISECOND)
    assert setting.is_cut_off()
    setting.run(200 * MILLISECOND)
    assert not setting.is_cut_off()


# Guards against requests that try targets one by one while a cut lasts.
def test_cut_is_remembered_while_trials_fail():
    setting = Setting()
    setting.run(SECOND)
    setting.begin()
    setting.end(False)
    for number in range(40):
        setting.run(reachability.TRIAL_INTERVAL)
        setting.begin("abc"[number % 3])
        setting.end(False, "abc"[number % 3])
        assert setting.is_cut_off()
