import datetime

import pytest

from dewstep_core import errors
from dewstep_entry.targets import acceptance

SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)
NOW = 100 * SECOND


def build_acceptance(resets=None):
    return acceptance.Acceptance("t", resets or acceptance.ServiceResets())


def test_new_connection_to_a_target_that_never_reset_one_is_used_at_once():
    # Guards against 2 to 4 ms more for the callers of targets that are not full.
    accepts = build_acceptance()
    assert accepts.choose_wait(NOW, 0.002) == 0
    assert accepts.find_room(NOW, 6, 6) == 6
    assert accepts.find_refusal(NOW, 6, 6, 40) is None


@pytest.mark.parametrize("connect_seconds", [0.0, 0.002, 0.5])
def test_new_connection_to_a_full_target_waits_for_a_reset(connect_seconds):
    accepts = build_acceptance()
    accepts.expects_reset = True
    assert 0.003 <= accepts.choose_wait(NOW, connect_seconds) <= 0.006


def test_reset_is_expected_of_all_targets_of_the_service_for_a_while():
    # Guards against a lost request for each target of a service in a burst.
    resets = acceptance.ServiceResets()
    build_acceptance(resets).record_reset(NOW, 2, True)
    other = build_acceptance(resets)
    assert other.choose_wait(NOW + 9 * SECOND, 0.0) > 0
    assert other.choose_wait(NOW + 11 * SECOND, 0.0) == 0
    assert other.find_room(NOW, 6, 3) == 6
    assert resets.counts == {"used": 1}


def test_number_of_connections_is_halved_and_rises_again():
    accepts = build_acceptance()
    accepts.record_reset(NOW, 4, False)
    assert accepts.find_room(NOW, 6, 4) == 4
    limits = [accepts.find_limit(NOW + second * SECOND, 6) for second in range(6)]
    assert limits == [2, 3, 4, 5, 6, 6]
    assert accepts.limit is None


def test_resets_of_connections_opened_together_count_as_one_for_the_pause():
    accepts = build_acceptance()
    for _ in range(3):
        accepts.record_reset(NOW, 0, False)
    assert accepts.paused_until == NOW + acceptance.MIN_PAUSE
    for _ in range(9):
        accepts.record_reset(accepts.paused_until, 0, False)
    assert accepts.pause == acceptance.MAX_PAUSE


def test_one_request_waits_for_each_connection_of_a_full_target():
    # Guards against requests that wait at this instance until they are late.
    accepts = build_acceptance()
    accepts.record_reset(NOW, 2, False)
    assert accepts.find_refusal(NOW, 6, 2, 1) is None
    refusal = accepts.find_refusal(NOW, 6, 2, 2)
    assert refusal == errors.QueueFull("t", acceptance.MIN_PAUSE)
    later = NOW + 300 * MILLISECOND
    assert accepts.find_refusal(later, 6, 1, 0) is None
    assert accepts.find_refusal(later, 6, 2, 2).retry_after == 700 * MILLISECOND


def count_resets(instances, wanted, maximum, seconds):
    """Return the resets by a target, and its connections at the end.

    Each instance opens a connection every 100 ms while it wants more.
    """
    guards = [build_acceptance() for _ in range(instances)]
    held = [0] * instances
    resets = 0
    for step in range(seconds * 10):
        now = NOW + step * 100 * MILLISECOND
        for number, accepts in enumerate(guards):
            limit = accepts.find_limit(now, wanted)
            held[number] = min(held[number], limit)
            if accepts.find_room(now, wanted, held[number]) <= held[number]:
                continue
            if sum(held) < maximum:
                held[number] += 1
            else:
                resets += 1
                accepts.record_reset(now, held[number], False)
    return resets, sum(held)


@pytest.mark.parametrize(
    ("wanted", "maximum", "tries"), [(6, 215, 10_000), (3, 100, 5_000), (1, 30, 3_000)]
)
def test_instances_learn_the_lower_maximum_of_a_full_target(wanted, maximum, tries):
    # 62 instances try every 100 ms to open connections beyond what a target accepts
    # while its queue is long. Without learning, nearly all tries in 10 s are reset.
    resets, held = count_resets(62, wanted, maximum, 10)
    assert resets < tries / 8
    assert min(62, maximum) <= held <= maximum
