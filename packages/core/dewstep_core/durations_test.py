import datetime

import pytest
from hypothesis import given, strategies

from dewstep_core import durations


@pytest.mark.parametrize("text", ["", "5", "1.5s", "-1s", "1 s", "٣s", "9" * 15 + "h"])
def test_parse_duration_refuses_invalid_durations(text):
    # str.isdigit accepts "٣"; a timedelta cannot represent 9e14 hours.
    assert durations.parse_duration(text) is None


@given(strategies.timedeltas(datetime.timedelta(), datetime.timedelta(days=900)))
def test_parse_duration_reverses_format_duration(duration):
    text = durations.format_duration(duration)
    assert durations.parse_duration(text) == duration


def test_format_duration_uses_the_largest_exact_unit():
    assert durations.format_duration(datetime.timedelta(milliseconds=1500)) == "1500ms"
    assert durations.format_duration(datetime.timedelta(hours=4)) == "4h"
