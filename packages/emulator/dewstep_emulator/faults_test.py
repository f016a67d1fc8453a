"""Tests of the faults' triggers and of changes in JSON form."""

import pytest
from returns import result

from dewstep_emulator import faults, target_options


def test_trigger_obeys_its_count_and_repeats_with_its_seed():
    counted = faults.Trigger(count=2, ratio=1.0)
    assert [counted.fires() for _ in range(3)] == [True, True, False]
    assert counted.describe()["count"] == 0
    first, second = (faults.Trigger(None, 0.5, seed=7) for _ in range(2))
    decisions = [first.fires() for _ in range(100)]
    assert decisions == [second.fires() for _ in range(100)]
    assert 30 < sum(decisions) < 70
    assert not faults.Trigger().fires()


def test_delay_applies_only_when_its_trigger_fires():
    delay = faults.parse_delay({"seconds": 0.5, "count": 1})
    assert [delay.get_seconds(), delay.get_seconds()] == [0.5, 0.0]
    assert faults.parse_delay(2).get_seconds() == 2.0


# Guards against late answers to the load in a scenario that delays other answers.
def test_delay_with_a_key_prefix_applies_to_its_keys_only():
    delay = faults.parse_delay({"seconds": 0.5, "key_prefix": "late-", "count": 1})
    assert [delay.get_seconds(key) for key in ("", "k-late-1")] == [0.0, 0.0]
    assert delay.get_seconds("late-1") == 0.5


def test_change_faults_keeps_other_members():
    state = target_options.TargetFaults()
    for change in (
        {"shed": {"count": 3}, "slow_factor": 4, "load": {"state": "live", "load": 0}},
        {"cut": {"entries": ["e1"]}, "drain": True, "crash": "x", "shed": None},
    ):
        state = faults.change_faults(state, change).unwrap()
    described = faults.describe_faults(state)
    assert described["slow_factor"] == 4.0
    assert described["load"] == {"state": "live", "load": 0.0}
    assert described["cut"] == {"entries": ["e1"], "data_centres": [], "mode": "hold"}
    assert (described["drain"], described["crash"]) == (True, "x")
    assert described["shed"]["ratio"] == 0.0


@pytest.mark.parametrize(
    "change",
    [
        [],
        {"unknown": 1},
        {"slow_factor": -1},
        {"slow_factor": True},
        {"drain": 1},
        {"crash": 1},
        {"shed": {"times": 1}},
        {"shed": "yes"},
        {"cut": {"entries": "e1"}},
        {"cut": {"mode": "slow"}},
        {"answer_delay": {"count": 1}},
        {"answer_delay": {"seconds": 1, "key_prefix": 2}},
        {"answer_delay": {"seconds": 1, "keys": "late-"}},
        {"load": {"state": "live"}},
    ],
)
def test_change_faults_rejects_malformed_changes(change):
    # Guards against tests in which the intended fault is silently not injected.
    outcome = faults.change_faults(target_options.TargetFaults(), change)
    assert isinstance(outcome, result.Failure)
