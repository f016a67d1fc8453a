"""Runs each request id at most once: resends join the run or get the stored answer."""

import asyncio
import datetime
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from returns import result

from dewstep_core import clocks, data, errors
from dewstep_entry import interfaces
from dewstep_entry.gate import answers, deduplication, sending, timing

Outcome = result.Result[data.Answer, interfaces.Failure]


class ExecutionState:
    """State of one run of a request, updated by the code that runs it."""

    def __init__(self):
        self.has_slot = False
        self.may_have_run = False


class ActiveRequest(NamedTuple):
    """A request that is running or waiting for a slot."""

    identity: answers.Identity
    task: asyncio.Task
    execution: ExecutionState
    waiters: set[int]


class HandoverMemory(NamedTuple):
    """Request ids and floors of a gate, for the next gate of the target.

    Ids up to a floor are refused (see `deduplication.MemoryDeduplication`).
    """

    entries: tuple[tuple[str, answers.Entry], ...]
    floor: datetime.datetime
    shard_floors: tuple[tuple[int, datetime.datetime], ...]
    key_floors: tuple[tuple[str, datetime.datetime], ...]


class AtMostOnceRunner:
    """Runs requests of one gate for the methods that remember request ids."""

    def __init__(
        self,
        clock: clocks.Clock,
        memory_method: deduplication.MemoryDeduplication,
        limits: answers.MemoryLimits = answers.MemoryLimits(),  # noqa: B008
    ):
        self.clock = clock
        self.memory_method = memory_method
        self.memory = answers.AnswerMemory(limits)
        self.in_progress: dict[str, ActiveRequest] = {}
        self.last_waiter = 0

    async def handle(
        self,
        request: data.Request,
        shard: int,
        method: deduplication.Method,
        run: Callable[[ExecutionState], Awaitable[Outcome]],
    ) -> Outcome:
        """Return the answer to the request, running it if its id is new."""
        identity = answers.compute_identity(request)
        active = self.in_progress.get(request.request_id)
        entry = self.memory.get(request.request_id)
        known = active or entry
        if known is not None and known.identity != identity:
            return result.Failure(
                errors.RequestIdReused(request.service, request.request_id)
            )
        if active is not None:
            return await self.join(active, request, False)
        if entry is not None:
            return self.return_remembered(entry, request)
        failure = method.check(request, shard)
        if failure is not None:
            return result.Failure(failure)
        execution = ExecutionState()
        task = asyncio.ensure_future(self.run_once(request, identity, execution, run))
        active = ActiveRequest(identity, task, execution, set())
        self.in_progress[request.request_id] = active
        return await self.join(active, request, True)

    def return_remembered(self, entry: answers.Entry, request: data.Request) -> Outcome:
        """Return the stored answer, or a failure if it was not kept."""
        if entry.answer is not None:
            return result.Success(entry.answer)
        return result.Failure(
            errors.AlreadyClaimed(request.service, request.request_id)
        )

    async def join(
        self, active: ActiveRequest, request: data.Request, started_run: bool
    ) -> Outcome:
        """Wait for the outcome of an active request.

        The run continues when a caller is cancelled, because a resend may ask for its
        answer. Only a run without a slot and without other waiters is cancelled.
        """
        self.last_waiter += 1
        waiter = self.last_waiter
        active.waiters.add(waiter)
        task = active.task
        try:
            if started_run:
                return await asyncio.shield(task)
            time_left = request.deadline - self.clock.monotonic()
            done, outcome = await timing.wait_at_most(
                self.clock, asyncio.shield(task), time_left
            )
        except asyncio.CancelledError:
            if active.waiters == {waiter} and not active.execution.has_slot:
                task.cancel()
            elif started_run:
                task.add_done_callback(close_unread)
            raise
        finally:
            active.waiters.discard(waiter)
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
        execution: ExecutionState,
        run: Callable[[ExecutionState], Awaitable[Outcome]],
    ) -> Outcome:
        """Run the request and store its answer, or that it may have run."""
        answer = None
        try:
            outcome = await run(execution)
            if isinstance(outcome, result.Success):
                outcome = await collect_body(outcome.unwrap())
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

    def raise_floor_for_evicted(self, evicted: list[answers.Evicted]) -> None:
        """Raise the floor of time-ordered ids for evicted ids."""
        for item in evicted:
            self.memory_method.raise_floor_for_eviction(item.request_id)

    def export(self) -> HandoverMemory:
        """Return the request ids and floors for the next gate of the target."""
        return HandoverMemory(
            self.memory.export(),
            self.memory_method.floor,
            tuple(self.memory_method.shard_floors.items()),
            tuple(self.memory_method.key_floors.items()),
        )

    def load(self, memory: HandoverMemory) -> None:
        """Add the request ids and floors of the previous gate of the target."""
        method = self.memory_method
        method.floor = max(method.floor, memory.floor)
        method.shard_floors.update(memory.shard_floors)
        method.key_floors.update(memory.key_floors)
        self.raise_floor_for_evicted(
            self.memory.load(memory.entries, self.clock.monotonic())
        )


async def collect_body(answer: data.Answer) -> Outcome:
    """Read the body of an answer, up to the size that may be kept in memory."""
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
    """Close the body of an answer that has no waiting caller."""
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    if isinstance(outcome, result.Success):
        rest = outcome.unwrap().body.rest
        if rest is not None:
            asyncio.ensure_future(rest.aclose())
