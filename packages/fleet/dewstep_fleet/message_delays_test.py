"""Tests of measuring how late messages arrive."""

import datetime

from hypothesis import given, strategies

from dewstep_fleet import message_delays

MILLISECOND = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)


def record_all(messages, incarnation="n-1"):
    """Return the delay of each message, given as times of sending and arrival."""
    delays = message_delays.Delays()
    found = []
    for sent_at, now in messages:
        delays, delay = message_delays.record_message(delays, incarnation, sent_at, now)
        found.append(delay)
    return found


def test_messages_that_arrive_at_their_interval_may_be_late():
    # Guards against CONFIG: an instance that takes old news for new ones.
    offset = 1000 * SECOND
    sent = [number * SECOND / 10 for number in range(60)]
    lateness = [max(0, number - 20) * 50 * MILLISECOND for number in range(60)]
    messages = [
        (at, at + offset + late) for at, late in zip(sent, lateness, strict=True)
    ]
    assert record_all(messages) == lateness


def test_another_run_of_the_sender_is_measured_anew():
    # Guards against delays that are the difference of two machines' clocks.
    delays, _ = message_delays.record_message(
        message_delays.Delays(), "n-1", SECOND, SECOND
    )
    _, delay = message_delays.record_message(delays, "n-2", SECOND, 9 * SECOND)
    assert not delay


def test_earlier_messages_are_forgotten():
    # Guards against delays that are the drift of two clocks over hours.
    messages = [(SECOND, SECOND)]
    messages += [
        (number * SECOND, number * SECOND + 5 * SECOND) for number in range(2, 40)
    ]
    found = record_all(messages)
    assert found[1] == 5 * SECOND and not found[-1]


@given(
    strategies.lists(strategies.integers(0, 5_000), min_size=1, max_size=50),
    strategies.integers(-(10**9), 10**9),
)
def test_delay_is_never_more_than_the_true_one(lateness_ms, offset_ms):
    # Guards against instances that read the store although news arrive in time.
    messages = [
        (
            number * SECOND / 10,
            number * SECOND / 10 + (offset_ms + late) * MILLISECOND,
        )
        for number, late in enumerate(lateness_ms)
    ]
    for found, late in zip(record_all(messages), lateness_ms, strict=True):
        assert datetime.timedelta() <= found <= late * MILLISECOND
