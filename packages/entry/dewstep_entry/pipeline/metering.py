"""Counts the requests received from callers, by outcome and latency."""

import asyncio
import collections
import datetime
from typing import Any

from returns import result

from dewstep_core import clocks, data, errors, events
from dewstep_entry import failures, interfaces, metrics

LATENCY_BUCKETS_MS = (5, 14, 50, 200, 1_000)
"""Upper bounds of the latency counters. The service objective is that 99% of the
requests are answered within 14 ms."""
MILLISECOND = datetime.timedelta(milliseconds=1)
ANSWERED = "answered"
CANCELLED = "cancelled"
"""The caller disconnected before the answer."""


def get_bucket_name(latency: datetime.timedelta) -> str:
    """Return the name of the counter that a latency belongs to."""
    for bound in LATENCY_BUCKETS_MS:
        if latency <= bound * MILLISECOND:
            return f"to_{bound}_ms"
    return f"above_{LATENCY_BUCKETS_MS[-1]}_ms"


def get_request_prefix(request: data.Request) -> str:
    """Return the part of a metric's name that stands for service and request kind."""
    return f"{metrics.escape_name(request.service)}.{metrics.escape_name(request.kind)}"


def get_failure_name(outcome: result.Result[data.Answer, Any]) -> str:
    """Return the name of the failure in `outcome`, "" for a target's answer."""
    if isinstance(outcome, result.Failure):
        return type(outcome.failure()).__name__
    return outcome.unwrap().failure


class Meter:
    """Wraps a `RequestHandler` and counts its outcomes and latencies.

    Parameters
    ----------
    handler : interfaces.RequestHandler
        The next stage.
    clock : clocks.Clock
    counts : collections.Counter
        The sums, by metric name; updated here.
    """

    def __init__(
        self,
        handler: interfaces.RequestHandler,
        clock: clocks.Clock,
        counts: collections.Counter,
    ):
        self.handler = handler
        self.clock = clock
        self.counts = counts

    async def handle(
        self, request: data.Request
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Return the next stage's answer; the latency ends with the answer's head."""
        started = self.clock.monotonic()
        try:
            outcome = await self.handler.handle(request)
        except asyncio.CancelledError:
            self.count_outcome(request, CANCELLED)
            raise
        latency = self.clock.monotonic() - started
        latency_prefix = f"latency.{get_request_prefix(request)}"
        self.counts[f"{latency_prefix}.{get_bucket_name(latency)}"] += 1
        self.counts[f"{latency_prefix}.total_ms"] += latency / MILLISECOND
        failure = get_failure_name(outcome)
        if failure:
            self.record_failure(request, failure)
        else:
            self.count_outcome(request, ANSWERED)
        return outcome

    def count_outcome(self, request: data.Request, outcome: str) -> None:
        """Count a request by its outcome."""
        self.counts[f"requests.{get_request_prefix(request)}.{outcome}"] += 1

    def record_failure(self, request: data.Request, failure: str) -> None:
        """Count and log a failure that dewstep answers itself."""
        rule = errors.answer_rules.get(failure) or failures.DEFAULT_RULE
        self.count_outcome(request, rule.outcome)
        self.counts[f"failures.{failure}"] += 1
        events.warning(
            "request_failed",
            service=request.service,
            kind=request.kind,
            request_id=request.request_id,
            failure=failure,
            outcome=rule.outcome,
        )

    def record_refusal(self, failure: interfaces.Failure) -> None:
        """Count a request that was refused before its service was known."""
        name = type(failure).__name__
        self.counts[f"requests.refused.{failures.find_rule(failure).outcome}"] += 1
        self.counts[f"failures.{name}"] += 1
