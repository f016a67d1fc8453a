import pytest

from dewstep_core import errors
from dewstep_entry.targets import outcome

EVENTS = list(outcome.Event)


@pytest.mark.parametrize("event", EVENTS)
def test_unsent_request_is_reported_as_not_run(event):
    failure = outcome.classify_end("t", outcome.UNSENT, event)
    assert isinstance(failure, errors.TargetUnavailable)


@pytest.mark.parametrize("event", EVENTS)
def test_sent_request_without_a_refusal_has_unknown_outcome(event):
    # Guards against sending a booking a second time that has already run.
    for status in (0, 200, 503):
        progress = outcome.Progress(True, status, "")
        failure = outcome.classify_end("t", progress, event)
        assert errors.answer_rules.get(type(failure).__name__).outcome == "unknown"


@pytest.mark.parametrize("event", [None, *EVENTS])
def test_refusal_is_valid_even_if_the_connection_then_fails(event):
    progress = outcome.Progress(True, 503, "shed")
    expected = errors.TargetRefused("t", "shed")
    assert outcome.classify_end("t", progress, event) == expected


def test_refusal_header_with_another_status_is_no_refusal():
    # Guards against reporting a request as not run that ran and was answered 200.
    progress = outcome.Progress(True, 200, "shed")
    assert outcome.classify_end("t", progress, None) is None
