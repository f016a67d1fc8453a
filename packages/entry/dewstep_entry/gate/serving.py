"""Processes one request in a gate: request id, slot, target and end of the answer."""

import asyncio
from collections.abc import Callable, Coroutine

from returns import result

from dewstep_core import data, errors
from dewstep_entry import interfaces
from dewstep_entry.gate import (
    at_most_once,
    deduplication,
    quarantine,
    runs,
    sending,
    slots,
    streaming,
)

# Refusals because no slot was free, which this gate reports to the observer. After
# others, such as those of a moving shard, another gate gets the request.
NO_SLOT_FAILURES = errors.QueueFull | errors.DeadlineUnreachable


class Server:
    """Serves the requests that a gate accepts.

    Parameters
    ----------
    explain_refusal : Callable[[data.Request, int], Failure or None]
        Returns why a request for a shard is refused now.
    """

    def __init__(
        self,
        queue: slots.SlotQueue,
        run_table: runs.RunTable,
        sender: sending.Sender,
        runner: at_most_once.AtMostOnceRunner,
        explain_refusal: Callable[[data.Request, int], interfaces.Failure | None],
    ):
        self.queue = queue
        self.runs = run_table
        self.sender = sender
        self.at_most_once_runner = runner
        self.explain_refusal = explain_refusal
        self.background_tasks: set[asyncio.Task] = set()

    async def serve(
        self,
        request: data.Request,
        shard: int,
        kind: data.RequestKind,
        method: deduplication.Method,
    ) -> at_most_once.Outcome:
        """Return the answer to a request that the gate accepts."""
        if self.is_quarantined(request):
            return result.Failure(
                errors.Quarantined(quarantine.compute_fingerprint(request))
            )
        if not method.remembers:
            return await self.run_in_slot(
                request, shard, kind, method, at_most_once.ExecutionState()
            )
        return await self.at_most_once_runner.handle(
            request,
            shard,
            method,
            lambda execution: self.run_in_slot(request, shard, kind, method, execution),
        )

    def is_quarantined(self, request: data.Request) -> bool:
        """Return whether a request is quarantined."""
        suspects = self.sender.recorder.suspects
        if not suspects:
            return False
        fingerprint = quarantine.compute_fingerprint(request)
        return suspects.get_state(fingerprint) == quarantine.QUARANTINED

    async def run_in_slot(
        self,
        request: data.Request,
        shard: int,
        kind: data.RequestKind,
        method: deduplication.Method,
        execution: at_most_once.ExecutionState,
    ) -> at_most_once.Outcome:
        """Wait for a slot and run the request with it."""
        time_left = request.deadline - self.queue.clock.monotonic()
        ticket, failure = await self.queue.acquire(request, shard, kind.weight)
        if failure is not None:
            if isinstance(failure, NO_SLOT_FAILURES):
                self.sender.report_unserved(request, shard, time_left)
            return result.Failure(failure)
        execution.has_slot = True
        run = runs.Run(
            ticket,
            request,
            shard,
            self.sender.target_ownership.has_override(request.key),
        )
        self.runs.add(run)
        try:
            # The shard may have been blocked since the slot was granted.
            failure = self.explain_refusal(request, shard)
            if failure is not None:
                return result.Failure(failure)
            outcome = await self.sender.send(run, kind.idempotent, method)
            execution.may_have_run = run.may_have_run
            if isinstance(outcome, result.Failure):
                return outcome
            return result.Success(
                await self.hold_slot_until_body_end(run, outcome.unwrap())
            )
        finally:
            execution.may_have_run = run.may_have_run
            if not run.slot_held_by_body:
                self.end_run(run)

    async def hold_slot_until_body_end(
        self, run: runs.Run, answer: data.Answer
    ) -> data.Answer:
        """Keep the slot until the body of the answer has ended."""
        if answer.body.rest is None:
            await self.sender.receive_success(run)
            return answer
        run.slot_held_by_body = True
        rest = streaming.GuardedBody(
            answer.body.rest, lambda end_kind: self.receive_body_end(run, end_kind)
        )
        return answer._replace(body=data.Body(answer.body.start, rest))

    def receive_body_end(self, run: runs.Run, end_kind: str) -> None:
        """Free the slot of a streamed answer and record success or crash."""
        if end_kind == streaming.COMPLETE:
            self.start_task(self.sender.receive_success(run))
        elif end_kind == streaming.BROKEN:
            self.start_task(self.sender.receive_crash(run))
        self.end_run(run)

    def start_task(self, work: Coroutine) -> None:
        """Run `work` as a background task, keeping a reference until it is done."""
        task = asyncio.ensure_future(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    def end_run(self, run: runs.Run) -> None:
        """Release the target lock and the slot of a run."""
        self.sender.release_target_lock(run)
        self.runs.remove(run)
        self.queue.release(run.ticket)
