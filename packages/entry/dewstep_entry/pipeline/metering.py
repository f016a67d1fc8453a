"""Counts the requests that callers sent to this process, with outcomes and times."""

import asyncio
import collections
import datetime
from typing import Any

from returns import result

from dewstep_core import clock as clocks, data, errors, events
from dewstep_entry import failures, interfaces, metrics

BUCKETS_MS = (5, 14, 50, 200, 1_000)
"""Upper bounds of the counters of latency. 14 ms is the users' objective for 99% of
the requests."""
MILLISECOND = datetime.timedelta(milliseconds=1)
ANSWERED = "answered"
CANCELLED = "cancelled"
"""The caller disconnected before the answer."""


def name_bucket(took: datetime.timedelta) -> str:
    """Return the name of the counter for a latency."""
    for bound in BUCKETS_MS:
        if took <= bound * MILLISECOND:
            return f"to_{bound}_ms"
    return f"above_{BUCKETS_MS[-1]}_ms"


def name_request(request: data.Request) -> str:
    """Return service and kind as parts of a metric's name."""
    return f"{metrics.name_part(request.service)}.{metrics.name_part(request.kind)}"


def find_failure(outcome: result.Result[data.Answer, Any]) -> str:
    """Return the type of dewstep's own failure in `outcome`, or ""."""
    if isinstance(outcome, result.Failure):
        return type(outcome.failure()).__name__
    return outcome.unwrap().failure


class Meter:
    """Implements `RequestHandler` around the router.

    Parameters
    ----------
    handler : interfaces.RequestHandler
        The next stage.
    clock : clocks.Clock
    counts : collections.Counter
        Gets the sums, under the names of the metrics.
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
        """Return the answer of the next stage; the time ends with the answer's head."""
        started = self.clock.monotonic()
        try:
            outcome = await self.handler.handle(request)
        except asyncio.CancelledError:
            self.count(request, CANCELLED)
            raise
        took = self.clock.monotonic() - started
        place = f"latency.{name_request(request)}"
        self.counts[f"{place}.{name_bucket(took)}"] += 1
        self.counts[f"{place}.total_ms"] += took / MILLISECOND
        failure = find_failure(outcome)
        if failure:
            self.note_failure(request, failure)
        else:
            self.count(request, ANSWERED)
        return outcome

    def count(self, request: data.Request, outcome: str) -> None:
        """Count a request by its outcome."""
        self.counts[f"requests.{name_request(request)}.{outcome}"] += 1

    def note_failure(self, request: data.Request, failure: str) -> None:
        """Count and log a failure that dewstep itself answers with."""
        rule = errors.answer_rules.get(failure) or failures.UNREGISTERED
        self.count(request, rule.outcome)
        self.counts[f"failures.{failure}"] += 1
        events.warning(
            "request_failed",
            service=request.service,
            kind=request.kind,
            request_id=request.request_id,
            failure=failure,
            outcome=rule.outcome,
        )

    def note_refusal(self, failure: interfaces.Failure) -> None:
        """Count a request that was refused before it was identified."""
        name = type(failure).__name__
        self.counts[f"requests.refused.{failures.find_rule(failure).outcome}"] += 1
        self.counts[f"failures.{name}"] += 1
