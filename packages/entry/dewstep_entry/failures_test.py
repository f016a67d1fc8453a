import datetime
import json

import pytest

from dewstep_core import data, errors
from dewstep_entry import failures

SECOND = datetime.timedelta(seconds=1)


def build_failure(failure_type):
    values = {int: 3, float: 2.5, str: "x", datetime.timedelta: SECOND * 1.5}
    return failure_type(
        *[values[field_type] for field_type in failure_type.__annotations__.values()]
    )


@pytest.mark.parametrize("name", list(errors.answer_rules))
def test_every_failure_is_restored_from_its_answer(name):
    # Guards against a receiving process retrying a request that must not be retried.
    rule = errors.answer_rules.get(name)
    failure = build_failure(rule.failure)
    answer = failures.build_failure_answer(failure)
    assert failures.restore_failure(answer) == failure
    headers = dict(answer.headers)
    assert answer.status == rule.status
    assert headers[b"dewstep-outcome"] == rule.outcome.encode()
    assert (b"retry-after" in headers) == (rule.outcome == errors.NOT_RUN)


def test_retry_after_is_rounded_up_and_exact_in_milliseconds():
    # A value rounded down to zero would make callers retry immediately.
    failure = errors.QueueFull("t", SECOND * 0.3)
    answer = failures.build_failure_answer(failure, lambda: 0.5)
    headers = dict(answer.headers)
    assert headers[b"retry-after"] == b"1"
    assert headers[b"dewstep-retry-after-ms"] == b"450"
    assert json.loads(answer.body.start)["retry_after"] == 0.45


def test_no_failure_is_restored_from_target_answers_and_damaged_bodies():
    body = data.Body(b"[]", None)
    for name in ("", "QueueFull", "NoSuchFailure"):
        answer = data.Answer(503, (), 2, body, name)
        assert failures.restore_failure(answer) is None
    assert failures.decode_fields("QueueFull", {"target": "t"}) is None
