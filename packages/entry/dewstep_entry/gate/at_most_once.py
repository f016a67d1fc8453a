"""Runs a request id once: resends join the run or get the remembered answer."""

import asyncio
import datetime
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from returns import result

from dewstep_core import clock as clocks, data, errors
from dewstep_entry import interfaces
from dewstep_entry.gate import answers, deduplication, sending, timing

Outcome = result.Result[data.Answer, interfaces.Failure]


class Execution:
    """Whether a request was sent, told by the code that runs it."""

    def __init__(self):
        self.has_slot = False
        self.may_have_run = False


class Progress(NamedTuple):
    """A request id that is in progress."""

    identity: answers.Identity
    task: asyncio.Task
    execution: Execution
    waiters: set[int]


class HandoverMemory(NamedTuple):
    """What a gate knows of request ids, for the next gate of the target."""

    entries: tuple[tuple[str, answers.Entry], ...]
    floor: datetime.datetime
    shard_floors: tuple[tuple[int, datetime.datetime], ...]
    key_floors: tuple[tuple[str, datetime.datetime], ...]


class AtMostOnceRunner:
    """Request ids of one gate, for the methods that remember them."""

    def __init__(
        self,
        clock: clocks.Clock,
        time_ordered: deduplication.MemoryDeduplication,
        limits: answers.MemoryLimits = answers.MemoryLimits(),  # noqa: B008
    ):
        self.clock = clock
        self.time_ordered = time_ordered
        self.memory = answers.AnswerMemory(limits)
        self.in_progress: dict[str, Progress] = {}
        self.last_waiter = 0

    async def handle(
        self,
        request: data.Request,
        shard: int,
        method: deduplication.Method,
        run: Callable[[Execution], Awaitable[Outcome]],
    ) -> Outcome:
        """Return the answer to the request, running it if its id is new."""
        identity = answers.compute_identity(request)
        progress = self.in_progress.get(request.request_id)
        entry = self.memory.get(request.request_id)
        known = progress or entry
        if known is not None and known.identity != identity:
            return result.Failure(
                errors.RequestIdReused(request.service, request.request_id)
            )
        if progress is not None:
            return await self.join(progress, request, False)
        if entry is not None:
            return self.return_remembered(entry, request)
        failure = method.check(request, shard)
        if failure is not None:
            return result.Failure(failure)
        execution = Execution()
        task = asyncio.ensure_future(self.run_once(request, identity, execution, run))
        progress = Progress(identity, task, execution, set())
        self.in_progress[request.request_id] = progress
        return await self.join(progress, request, True)

    def return_remembered(self, entry: answers.Entry, request: data.Request) -> Outcome:
        """Return the remembered answer, or that there is none."""
        if entry.answer is not None:
            return result.Success(entry.answer)
        return result.Failure(
            errors.AlreadyClaimed(request.service, request.request_id)
        )

    async def join(
        self, progress: Progress, request: data.Request, first: bool
    ) -> Outcome:
        """Wait for a run in progress.

        The run goes on when its caller leaves, because its answer is still wanted
        by a resend; only a run that has no slot yet and no other waiter is ended.
        """
        self.last_waiter += 1
        waiter = self.last_waiter
        progress.waiters.add(waiter)
        task = progress.task
        try:
            if first:
                return await asyncio.shield(task)
            left = request.deadline - self.clock.monotonic()
            done, outcome = await timing.wait_at_most(
                self.clock, asyncio.shield(task), left
            )
        except asyncio.CancelledError:
            if progress.waiters == {waiter} and not progress.execution.has_slot:
                task.cancel()
            elif first:
                task.add_done_callback(close_unread)
            raise
        finally:
            progress.waiters.discard(waiter)
        if not done:
            return result.Failure(errors.DeadlineExceeded(request.service))
        if isinstance(outcome, result.Success) and (
            outcome.unwrap().body.rest is not None
        ):
            return result.Failure(
                errors.AlreadyClaimed(request.service, request.request_id)
            )
        return outcome

    async def run_once(
        self,
        request: data.Request,
        identity: answers.Identity,
        execution: Execution,
        run: Callable[[Execution], Awaitable[Outcome]],
    ) -> Outcome:
        """Run the request and remember what came of it."""
        answer = None
        try:
            outcome = await run(execution)
            if isinstance(outcome, result.Success):
                outcome = await collect(outcome.unwrap())
            if isinstance(outcome, result.Success):
                answer = outcome.unwrap()
            elif sending.is_certainly_not_run(outcome.failure()):
                execution.may_have_run = False
            return outcome
        finally:
            del self.in_progress[request.request_id]
            if execution.may_have_run:
                now = self.clock.monotonic()
                self.raise_floor_for_evicted(
                    self.memory.put(request.request_id, identity, answer, now)
                )

    def raise_floor_for_evicted(self, dropped: list[answers.Evicted]) -> None:
        """Raise the floor of time-ordered ids for ids that memory dropped."""
        for item in dropped:
            self.time_ordered.receive_eviction(item.request_id)

    def export(self) -> HandoverMemory:
        """Return what the next gate of the target needs to know."""
        return HandoverMemory(
            self.memory.export(),
            self.time_ordered.floor,
            tuple(self.time_ordered.shard_floors.items()),
            tuple(self.time_ordered.key_floors.items()),
        )

    def load(self, memory: HandoverMemory) -> None:
        """Take over what the previous gate of the target knew."""
        method = self.time_ordered
        method.floor = max(method.floor, memory.floor)
        method.shard_floors.update(memory.shard_floors)
        method.key_floors.update(memory.key_floors)
        self.raise_floor_for_evicted(
            self.memory.load(memory.entries, self.clock.monotonic())
        )


async def collect(answer: data.Answer) -> Outcome:
    """Read the body of an answer as far as it may be kept in memory."""
    rest = answer.body.rest
    if rest is None:
        return result.Success(answer)
    chunks = [answer.body.start]
    size = len(answer.body.start)
    try:
        async for chunk in rest:
            chunks.append(chunk)
            size += len(chunk)
            if size > answers.MAXIMUM_KEPT_BODY_BYTES:
                return result.Success(
                    answer._replace(body=data.Body(b"".join(chunks), rest))
                )
    except Exception as error:
        return result.Failure(errors.ConnectionLost(repr(error)))
    return result.Success(answer._replace(body=data.Body(b"".join(chunks), None)))


def close_unread(task: asyncio.Task) -> None:
    """Close the body of an answer that nobody waits for any more."""
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    if isinstance(outcome, result.Success):
        rest = outcome.unwrap().body.rest
        if rest is not None:
            asyncio.ensure_future(rest.aclose())
