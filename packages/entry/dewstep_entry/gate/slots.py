"""Connects the admission queue with the tasks that wait for a slot."""

import asyncio
import contextlib
import datetime
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from dewstep_core import clocks, data
from dewstep_entry import interfaces
from dewstep_entry.gate import invariants

# Interval at which expired tickets are refused while requests wait. It bounds the delay
# of a refusal.
EXPIRY_INTERVAL = datetime.timedelta(milliseconds=5)


class Admission(Protocol):
    """Admission queue, implemented in `policy/admission.py`.

    `offer` returns one of its records `Admitted`, `Queued` and `Refused`.
    """

    def offer(
        self,
        ticket_id: int,
        weight: float,
        deadline: datetime.timedelta,
        now: datetime.timedelta,
    ) -> Any:
        """Request a slot."""

    def start_ready(self, now: datetime.timedelta) -> list[int]:
        """Return the queued tickets that have been admitted since the last call."""

    def collect_refusals(
        self, now: datetime.timedelta
    ) -> list[tuple[int, interfaces.Failure]]:
        """Return the queued tickets that can no longer be served, with failures."""

    def release(self, ticket_id: int, now: datetime.timedelta) -> None:
        """Release the slot of an admitted ticket."""

    def withdraw(self, ticket_id: int, now: datetime.timedelta) -> None:
        """Remove a queued ticket."""


class Ticket(NamedTuple):
    """A request that waits for a slot."""

    request: data.Request
    shard: int
    outcome: asyncio.Future
    """Resolves to None if the ticket is admitted, or to the failure."""


class SlotQueue:
    """Slots of one target."""

    def __init__(
        self,
        admission: Admission,
        clock: clocks.Clock,
        slots: int,
        checks: invariants.Invariants,
    ):
        self.admission = admission
        self.clock = clock
        self.slots = slots
        self.checks = checks
        self.waiting: dict[int, Ticket] = {}
        self.admitted: set[int] = set()
        self.last_id = 0
        self.expiry_task: asyncio.Task | None = None

    async def acquire(
        self, request: data.Request, shard: int, weight: float
    ) -> tuple[int, interfaces.Failure | None]:
        """Wait for a slot; return the ticket id and None, or the id and the failure."""
        self.last_id += 1
        ticket_id = self.last_id
        now = self.clock.monotonic()
        decision = self.admission.offer(ticket_id, weight, request.deadline, now)
        failure = getattr(decision, "failure", None)
        if failure is not None:
            return ticket_id, failure
        # Compared by name, since this package does not import the policy package.
        if type(decision).__name__ != "Queued":
            return ticket_id, self.note_admitted(ticket_id)
        outcome = asyncio.get_running_loop().create_future()
        self.waiting[ticket_id] = Ticket(request, shard, outcome)
        self.start_expiry_task()
        try:
            return ticket_id, await outcome
        except asyncio.CancelledError:
            self.cancel(ticket_id, outcome)
            raise

    def cancel(self, ticket_id: int, outcome: asyncio.Future) -> None:
        """Undo the wait of a task that was cancelled."""
        if self.waiting.pop(ticket_id, None) is not None:
            self.admission.withdraw(ticket_id, self.clock.monotonic())
            self.resolve_tickets()
        elif ticket_id in self.admitted:
            self.release(ticket_id)

    def note_admitted(self, ticket_id: int) -> interfaces.Failure | None:
        """Record an admitted ticket, or release its slot if too many are held."""
        self.admitted.add(ticket_id)
        violation = self.checks.check(
            len(self.admitted) <= self.slots,
            invariants.SLOTS,
            held=len(self.admitted),
            slots=self.slots,
        )
        if violation is not None:
            self.release(ticket_id)
        return violation

    def release(self, ticket_id: int) -> None:
        """Release a slot."""
        if ticket_id in self.admitted:
            self.admitted.remove(ticket_id)
            self.admission.release(ticket_id, self.clock.monotonic())
            self.resolve_tickets()

    def resolve_tickets(self) -> None:
        """Resolve the tickets that expired or were admitted."""
        now = self.clock.monotonic()
        for ticket_id, failure in self.admission.collect_refusals(now):
            self.resolve(ticket_id, failure)
        for ticket_id in self.admission.start_ready(now):
            if ticket_id in self.waiting:
                self.resolve(ticket_id, self.note_admitted(ticket_id))

    def resolve(self, ticket_id: int, failure: interfaces.Failure | None) -> None:
        """Resolve one waiting ticket."""
        ticket = self.waiting.pop(ticket_id, None)
        if ticket is not None and not ticket.outcome.done():
            ticket.outcome.set_result(failure)

    def refuse_waiting(
        self, make_failure: Callable[[Ticket], interfaces.Failure | None]
    ) -> None:
        """Refuse the waiting tickets for which `make_failure` returns one."""
        for ticket_id, ticket in list(self.waiting.items()):
            failure = make_failure(ticket)
            if failure is not None:
                self.admission.withdraw(ticket_id, self.clock.monotonic())
                self.resolve(ticket_id, failure)
        self.resolve_tickets()

    def start_expiry_task(self) -> None:
        """Start the task that refuses expired tickets unless it is running."""
        if self.expiry_task is None or self.expiry_task.done():
            self.expiry_task = asyncio.ensure_future(self.refuse_expired())

    async def refuse_expired(self) -> None:
        """Refuse expired tickets at an interval until no request waits."""
        while self.waiting:
            await self.clock.sleep(EXPIRY_INTERVAL)
            self.resolve_tickets()

    async def close(self) -> None:
        """End the task that refuses expired tickets."""
        if self.expiry_task is not None:
            self.expiry_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.expiry_task
