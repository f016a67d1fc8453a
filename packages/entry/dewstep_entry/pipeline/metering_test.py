import asyncio
import collections
import datetime

import pytest
from returns import result

from dewstep_core import clocks, errors, events
from dewstep_emulator import builders
from dewstep_entry import failures
from dewstep_entry.pipeline import metering

FAILURE = errors.NotReady("assignment/history")


class FixedHandler:
    def __init__(self, outcome):
        self.outcome = outcome

    async def handle(self, request):
        if self.outcome is None:
            raise asyncio.CancelledError
        return self.outcome


def count_requests(outcome):
    counts = collections.Counter()
    meter = metering.Meter(FixedHandler(outcome), clocks.SystemClock(), counts)
    asyncio.run(meter.handle(builders.build_request()))
    return {name: count for name, count in counts.items() if "total" not in name}


@pytest.mark.parametrize(
    "outcome",
    [result.Failure(FAILURE), result.Success(failures.build_failure_answer(FAILURE))],
)
def test_failures_of_gates_and_of_this_process_are_counted_alike(monkeypatch, outcome):
    # Guards against counting a failure that a gate answered with as an answer.
    monkeypatch.setattr(events, "event_log", events.EventLog())
    counts = count_requests(outcome)
    assert counts["failures.NotReady"] == 1
    assert [n for n in counts if n.endswith(".not-run")]
    assert not [n for n in counts if n.endswith(".answered")]
    assert events.event_log.counts["request_failed"] == 1


def test_request_of_a_disconnected_caller_counts_as_cancelled():
    counts = collections.Counter()
    meter = metering.Meter(FixedHandler(None), clocks.SystemClock(), counts)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(meter.handle(builders.build_request()))
    assert [name.rpartition(".")[2] for name in counts] == ["cancelled"]


def test_refusal_before_identification_is_counted():
    counts = collections.Counter()
    meter = metering.Meter(FixedHandler(None), clocks.SystemClock(), counts)
    meter.record_refusal(errors.BodyTooLarge(1))
    assert counts == {"requests.refused.bad-request": 1, "failures.BodyTooLarge": 1}


def test_buckets_include_their_upper_bounds():
    times = (5, 14, 15, 1_001)
    names = [
        metering.get_bucket_name(datetime.timedelta(milliseconds=t)) for t in times
    ]
    assert names == ["to_5_ms", "to_14_ms", "to_50_ms", "above_1000_ms"]
