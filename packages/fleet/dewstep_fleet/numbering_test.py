"""Tests that no number is sent to two processes."""

from hypothesis import given, strategies

from dewstep_fleet import numbering

EVENTS = strategies.lists(strategies.sampled_from(["connect", 10_000, 20_000, 30_000]))


def test_renewals_over_one_connection_keep_their_number():
    numbers = numbering.Numbering()
    numbers.begin_connection()
    assert [numbers.choose_number(5_000) for _ in range(3)] == [5_000] * 3


@given(EVENTS)
def test_no_number_is_sent_over_two_connections(events):
    # Guards against a number that reaches the process after a restart too.
    numbers = numbering.Numbering()
    connections_by_number = {}
    numbers.begin_connection()
    for event in events:
        if event == "connect":
            numbers.begin_connection()
            continue
        number = numbers.choose_number(event)
        assert event <= number <= event + numbering.RESERVED_NUMBERS
        assert numbers.get_last_number(event) == number
        first_connection = connections_by_number.setdefault(number, numbers.connection)
        assert first_connection == numbers.connection


def test_numbers_of_a_range_are_used_up():
    # Guards against numbers that belong to the next generation number.
    numbers = numbering.Numbering()
    for _ in range(numbering.RESERVED_NUMBERS + 1):
        numbers.begin_connection()
        assert numbers.choose_number(7) is not None
    numbers.begin_connection()
    assert numbers.choose_number(7) is None


def test_kept_generations_keep_their_numbers():
    numbers = numbering.Numbering()
    numbers.begin_connection()
    numbers.choose_number(1_000)
    numbers.choose_number(2_000)
    numbers.keep({1_000})
    numbers.begin_connection()
    assert numbers.choose_number(1_000) == 1_001
    assert set(numbers.sent) == {1_000}
