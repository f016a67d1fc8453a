import datetime
import json

import pytest

from dewstep_core import data, errors
from dewstep_entry import failures

SECOND = datetime.timedelta(seconds=1)


def build_failure(kind):
    values = {int: 3, str: "x", datetime.timedelta: SECOND * 1.5}
    return kind(*[values[of] for of in kind.__annotations__.values()])


@pytest.mark.parametrize("name", list(errors.answer_rules))
def test_every_failure_survives_the_way_through_an_answer(name):
    # The receiving process would otherwise retry what must not be retried.
    rule = errors.answer_rules.get(name)
    failure = build_failure(rule.failure)
    answer = failures.answer_failure(failure)
    assert failures.restore_failure(answer) == failure
    headers = dict(answer.headers)
    assert answer.status == rule.status
    assert headers[b"dewstep-outcome"] == rule.outcome.encode()
    assert (b"retry-after" in headers) == (rule.outcome == errors.NOT_RUN)


def test_retry_after_is_rounded_up_and_exact_in_milliseconds():
    # Rounded down to zero, it would make callers retry at once.
    failure = errors.QueueFull("t", SECOND * 0.3)
    answer = failures.answer_failure(failure, lambda: 0.5)
    headers = dict(answer.headers)
    assert headers[b"retry-after"] == b"1"
    assert headers[b"dewstep-retry-after-ms"] == b"450"
    assert json.loads(answer.body.start)["retry_after"] == 0.45


def test_answers_of_targets_and_damaged_bodies_hold_no_failure():
    body = data.Body(b"[]", None)
    for name in ("", "QueueFull", "NoSuchFailure"):
        answer = data.Answer(503, (), 2, body, name)
        assert failures.restore_failure(answer) is None
    assert failures.unpack_fields("QueueFull", {"target": "t"}) is None
