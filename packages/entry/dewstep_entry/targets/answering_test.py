"""Tests of what a target says about itself in its answers."""

import datetime

import pytest

from dewstep_entry.targets import answering

NOTHING = datetime.timedelta()
SECOND = datetime.timedelta(seconds=1)
RULES = answering.AnswerRules(
    b"x-id",
    b"x-not-run",
    None,
    instance=b"x-instance",
    leaving=b"x-leaving",
    pause=b"retry-after",
    limit=b"x-limit",
    warm_up=b"x-warm",
    refusing_statuses=frozenset({421}),
)


# Guards against further requests to a leaving target.
@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_leaving_is_noticed_with_any_status(status):
    notice = answering.find_notice(RULES, status, {b"x-leaving": b"1"}, "t")
    assert notice == answering.Notice(True, NOTHING)


# Guards against a pause that another status or no status asks for.
@pytest.mark.parametrize(
    ("status", "expected"), [(503, 2 * SECOND), (200, None), (429, None)]
)
def test_pause_is_noticed_with_its_status_alone(status, expected):
    notice = answering.find_notice(RULES, status, {b"retry-after": b"2"}, "t")
    assert (notice and notice.pause) == expected


# Guards against a notice of another target, which has taken over the address.
def test_notice_of_another_target_is_ignored():
    fields = {b"x-leaving": b"1", b"retry-after": b"2", b"x-instance": b"other"}
    assert answering.find_notice(RULES, 503, fields, "t") is None


# Guards against invalid or excessive durations.
@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"0.25", SECOND / 4),
        (b"0", NOTHING),
        (b"-1", NOTHING),
        (b"nan", NOTHING),
        (b"1e9", NOTHING),
        (b"Fri, 04 Dec 2026 11:00:00 GMT", NOTHING),
        (b"999999999", answering.MAXIMUM_PAUSE),
        (b"9" * 1_000, NOTHING),
        (None, NOTHING),
    ],
)
def test_pause_is_bounded(value, expected):
    assert answering.read_pause(value) == expected


# Guards against notices where a platform has no headers for them.
def test_rules_without_headers_find_no_notice():
    fields = {b"": b"1", b"retry-after": b"2"}
    assert answering.find_notice(answering.DEWSTEP_RULES, 503, fields, "t") is None


# Guards against a limit that is overlooked, or taken from a process that may not be the
# target.
@pytest.mark.parametrize(
    ("status", "expected"), [(200, 2.5), (500, 2.5), (503, 2.5), (421, None)]
)
def test_limit_is_noticed_with_any_status_of_the_target(status, expected):
    notice = answering.find_notice(RULES, status, {b"x-limit": b"2.5"}, "t")
    assert (notice and notice.limit) == expected


# Guards against limits that are no number of requests per second.
@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"0", 0.0),
        (b"12", 12.0),
        (b"0.125", 0.125),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e9", None),
        (b"3/s", None),
        (b"", None),
        (b"9" * 1_000, None),
        (None, None),
    ],
)
def test_limit_is_a_decimal_number(value, expected):
    assert answering.read_limit(value) == expected


# Guards against a warm-up that is overlooked, or taken from a process that may not be
# the target, or of an invalid time.
@pytest.mark.parametrize(
    ("status", "value", "expected"),
    [
        (200, b"1500", 1.5 * SECOND),
        (503, b"0", NOTHING),
        (421, b"1500", None),
        (200, b"soon", None),
        (200, b"999999999", answering.MAXIMUM_WARM_UP),
    ],
)
def test_time_left_of_a_warm_up_is_noticed(status, value, expected):
    notice = answering.find_notice(RULES, status, {b"x-warm": value}, "t")
    assert (notice and notice.warm_up_left) == expected


# Guards against steering by loads that are partial, negative, huge or no numbers.
@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,0,8", (3, 1.0)),
        (b"4,16,4,250", (20, 2.5)),
        (b"3,0", None),
        (b"3,0,8,100,1", None),
        (b"3,-1,8", None),
        (b"3,,8", None),
        (b"3,0,8,", None),
        (b"3,0,0", None),
        (b"3,0,8,0", None),
        (b"3,0,8,1e2", None),
        (b"1234567,0,8", None),
        (b"nan,0,8", None),
        (None, None),
    ],
)
def test_reported_load_is_taken_or_ignored_as_a_whole(value, expected):
    assert answering.read_load(value) == expected
    rules = RULES._replace(load=b"x-load")
    notice = answering.find_notice(rules, 200, {b"x-load": value}, "t")
    assert (notice and notice.load) == expected
    assert answering.find_notice(rules, 421, {b"x-load": value}, "t") is None
