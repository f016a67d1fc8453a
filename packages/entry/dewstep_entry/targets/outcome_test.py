import pytest

from dewstep_core import errors
from dewstep_entry.targets import outcome

EVENTS = list(outcome.Event)


@pytest.mark.parametrize("event", EVENTS)
def test_nothing_sent_is_always_not_run(event):
    failure = outcome.classify_end("t", outcome.UNSENT, event)
    assert isinstance(failure, errors.TargetUnavailable)


@pytest.mark.parametrize("event", EVENTS)
def test_sent_is_never_not_run_without_a_refusal(event):
    # An acknowledged booking would otherwise be sent a second time.
    for status in (0, 200, 503):
        progress = outcome.Progress(True, status, "")
        failure = outcome.classify_end("t", progress, event)
        assert errors.answer_rules.get(type(failure).__name__).outcome == "unknown"


@pytest.mark.parametrize("event", [None, *EVENTS])
def test_refusal_counts_even_if_the_connection_breaks_after_it(event):
    progress = outcome.Progress(True, 503, "shed")
    expected = errors.TargetRefused("t", "shed")
    assert outcome.classify_end("t", progress, event) == expected


def test_refusal_header_with_another_status_is_no_refusal():
    # A request that ran and was answered 200 must not be reported as not run.
    progress = outcome.Progress(True, 200, "shed")
    assert outcome.classify_end("t", progress, None) is None
