"""The gate of one target: every request for the target passes through it.

A gate manages the target's grant, slots, request ids and crash suspects. The manager
creates it after the transaction that raised the term. It ends when another gate has a
higher term or when it is handed over.
"""

import asyncio
import datetime
import uuid
from collections.abc import Callable, Iterable

from returns import result

from dewstep_core import clocks, data, errors, events, settings
from dewstep_entry import interfaces
from dewstep_entry.gate import (
    at_most_once,
    authority,
    crashes,
    deduplication,
    description,
    grants,
    invariants,
    lifecycle,
    notifications,
    observation,
    ownership,
    renewal,
    rows,
    runs,
    sending,
    serving,
    slots,
    suspect_reader,
    timing,
    unfenced,
)
from dewstep_entry.state import view


class Gate:
    """Serves the requests for one target and keeps its grant in force.

    Parameters
    ----------
    target, record, service
        The target, its gate row, which names this process, and its service.
    clock, table, channel
        Clock, client of the table service, and connections to the target.
    process_settings : dewstep_core.settings.Settings
        Settings of this process.
    admission : slots.Admission
        Admission queue of the target.
    view_holder : view.ViewHolder
        Current assignment and gate rows.
    notification_queue : asyncio.Queue
        Receives the notifications for the manager.
    budget : sending.RetryBudget
        Limit of retries.
    start : lifecycle.Start
        Initial state of the gate, with the request ids that were handed over.
    """

    def __init__(
        self,
        target: data.Target,
        record: rows.GateRecord,
        service: data.Service,
        clock: clocks.Clock,
        table: interfaces.TableClient,
        channel: interfaces.TargetChannel,
        process_settings: settings.Settings,
        admission: slots.Admission,
        *,
        view_holder: view.ViewHolder,
        notification_queue: asyncio.Queue,
        budget: sending.RetryBudget,
        start: lifecycle.Start,
        observer: observation.Observer | None = None,
        checks: invariants.Invariants | None = None,
        make_operation_id: Callable[[], str] = lambda: str(uuid.uuid4()),
    ):
        self.target = target
        self.record = record
        self.fenced = target.fenced
        self.service = service
        self.clock = clock
        self.channel = channel
        self.process_settings = process_settings
        self.view_holder = view_holder
        self.notification_queue = notification_queue
        self.start = start
        self.checks = checks or invariants.Invariants()
        self.kinds = {kind.name: kind for kind in service.kinds}
        now = clock.monotonic()
        horizon = min(record.horizon, service.outage_horizon)
        phase = authority.compute_phase(target.name)
        gate_authority = authority.GateAuthority(
            record.row.term, horizon, start.term_confirmed_at, phase
        )
        grant_type = grants.FencedGrant if target.fenced else unfenced.UnfencedGrant
        self.grant = grant_type(
            gate_authority, process_settings.grants, now, start.earlier_gates_end
        )
        self.queue = slots.SlotQueue(admission, clock, target.slots, self.checks)
        self.runs = runs.RunTable()
        self.ownership = ownership.Ownership(
            target.name, service.name, view_holder, self.checks, self.receive_arrival
        )
        self.recorder = crashes.CrashRecorder(service.name, table, make_operation_id)
        self.renewer = renewal.GrantRenewer(
            self.grant,
            target.name,
            channel,
            table,
            clock,
            self.receive_restart,
            self.check_target_state,
            lambda: self.floor_pending or bool(self.runs.runs),
        )
        self.sender = sending.Sender(
            target,
            self.grant,
            channel,
            clock,
            budget,
            self.recorder,
            self.runs,
            self.checks,
            self.renewer,
            self.ownership,
            observer or observation.NullObserver(),
        )
        context = deduplication.Context(
            service.name,
            process_settings.entry,
            record.row.term,
            data.Check(rows.make_gate_key(target.name), record.row.version),
            table,
            clock,
            process_settings.maximum_clock_skew,
            make_operation_id,
        )
        self.deduplication_methods = deduplication.make_methods(context)
        self.at_most_once_runner = at_most_once.AtMostOnceRunner(
            clock, self.deduplication_methods["memory"]
        )
        self.server = serving.Server(
            self.queue,
            self.runs,
            self.sender,
            self.at_most_once_runner,
            self.explain_refusal,
        )
        self.suspect_reader = suspect_reader.SuspectReader(self.recorder, clock)
        self.lost = False
        self.evacuating = False
        self.releasing = False
        has_handed_over_ids = start.memory is not None and record.released
        self.floor_pending = not start.is_first_gate and not has_handed_over_ids
        self.superseded = False
        self.tasks: list[asyncio.Task] = []
        if start.memory is not None:
            self.at_most_once_runner.load(start.memory)

    # Start and stop.

    def run(self) -> None:
        """Start the tasks of the gate."""
        self.ownership.get_assignment()
        loop = self.renewer.run_target_loop
        if not self.fenced:
            loop = self.renewer.run_loss_check_loop
        for work in (self.renewer.run_row_loop, loop):
            task = asyncio.ensure_future(timing.keep_running(self.clock, work))
            self.tasks.append(task)
        self.suspect_reader.start_read()

    async def stop(self) -> None:
        """Refuse queued requests, end all tasks and wait for the running requests."""
        self.grant.suspend()
        self.releasing = True
        self.queue.refuse_waiting(lambda ticket: self.make_not_gate_failure())
        await self.queue.close()
        await self.suspect_reader.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.runs.wait_empty()
        await self.channel.close()

    async def release(self) -> lifecycle.Release:
        """Finish the running requests, stop, and return the state to hand over."""
        self.releasing = True
        self.queue.refuse_waiting(lambda ticket: self.make_not_gate_failure())
        await self.runs.wait_empty()
        waiting = self.is_waiting() or not self.update_floor()
        await self.stop()
        expired_at = self.grant.compute_expired_at()
        return lifecycle.Release(
            self.at_most_once_runner.export(), not waiting, expired_at
        )

    def may_receive_shards(self) -> bool:
        """Return whether shards may be assigned to the target now."""
        working = not (self.lost or self.releasing or self.evacuating)
        return working and self.renewer.can_accept_requests()

    def is_waiting(self) -> bool:
        """Return whether an earlier gate may still send requests to the target."""
        end = self.grant.earlier_gates_end
        return end is not None and self.clock.monotonic() < end

    # Ownership.

    def make_not_gate_failure(self) -> interfaces.Failure:
        """Return the refusal of a gate that is ending."""
        superseding_term = self.grant.gate_authority.higher_term
        return errors.NotTheGate(
            self.target.name, superseding_term or self.record.row.term
        )

    def receive_arrival(self, arrived: ownership.KeySet) -> None:
        """Refuse old ids of newly assigned shards and keys; read the crash suspects."""
        self.deduplication_methods["memory"].set_arrival_floors(
            arrived.shards, arrived.keys
        )
        if not self.releasing:
            self.suspect_reader.receive(arrived)

    async def refresh_quarantine(
        self,
    ) -> result.Result[None, interfaces.Failure]:
        """Read the suspects of all gates; called at each refresh of the view."""
        return await self.recorder.refresh()

    def receive_configuration(self, target: data.Target, service: data.Service) -> None:
        """Apply changed request kinds and the target's draining flag.

        Other fields of a target do not change while its gate exists.
        """
        if service is not self.service:
            self.service = service
            self.kinds = {kind.name: kind for kind in service.kinds}
        self.target = self.target._replace(draining=target.draining)

    def load_memory(self, memory: at_most_once.HandoverMemory) -> None:
        """Add handed-over request ids that arrive after the start of the gate."""
        self.at_most_once_runner.load(memory)

    def explain_refusal(
        self, request: data.Request, shard: int
    ) -> interfaces.Failure | None:
        """Return why a new request is refused, or None."""
        row = self.view_holder.current.gates.get(self.target.name)
        if row is not None:
            self.grant.gate_authority.receive_term(row.term)
        if self.grant.gate_authority.higher_term is not None or self.releasing:
            return self.make_not_gate_failure()
        failure = self.ownership.explain_not_owned(request.key, shard)
        if failure is not None:
            return failure
        if self.ownership.is_moving(request.key, shard):
            return errors.ShardMoving(request.service, shard)
        if self.lost:
            return errors.TargetUnavailable(self.target.name, "does not answer")
        return None

    # Requests.

    async def handle(
        self, request: data.Request, shard: int, epoch: int
    ) -> at_most_once.Outcome:
        """Return the target's answer; `epoch` is the sender's assignment version."""
        failure = self.explain_refusal(request, shard)
        if failure is not None:
            return result.Failure(failure)
        kind = self.kinds.get(request.kind)
        method = (
            self.deduplication_methods.get(kind.deduplication)
            if kind is not None
            else None
        )
        if method is None:
            return result.Failure(errors.NotReady(f"kind {request.kind}"))
        self.renewer.note_demand()
        await self.suspect_reader.wait(request.key, shard)
        if not self.update_floor() and method is self.deduplication_methods["memory"]:
            return result.Failure(
                errors.TargetUnavailable(self.target.name, "the gate is starting")
            )
        return await self.server.serve(request, shard, kind, method)

    def update_floor(self) -> bool:
        """Set the floor of time-ordered ids once this gate may send; return if set.

        Ids up to the floor are refused, since they may have run under an earlier gate.

        Earlier gates accept ids until they are fenced, so the floor is computed when
        this gate may send for the first time, not when the term was raised.
        """
        if self.floor_pending and self.grant.may_send(self.clock.monotonic()):
            self.deduplication_methods["memory"].raise_floor_for_new_gate()
            self.floor_pending = False
        return not self.floor_pending

    # Moves.

    async def drain_shards(
        self, shards: Iterable[int], keys: Iterable[str] = ()
    ) -> None:
        """Refuse new requests for shards and keys; wait for those in progress."""
        moving = self.block_shards(shards, keys)
        await self.runs.wait_idle(*moving)
        self.ownership.note_drained(moving)

    def block_shards(
        self, shards: Iterable[int], keys: Iterable[str] = ()
    ) -> ownership.KeySet:
        """Refuse new and queued requests for shards and keys."""
        moving = ownership.make_key_set(shards, keys)
        self.ownership.block(moving)
        self.queue.refuse_waiting(
            lambda ticket: (
                errors.ShardMoving(ticket.request.service, ticket.shard)
                if self.ownership.is_moving(ticket.request.key, ticket.shard)
                else None
            )
        )
        return moving

    def mark_idle_drained(self, moving: ownership.KeySet) -> ownership.KeySet:
        """Mark the blocked shards and keys without requests as drained; return them."""
        busy = self.runs.list_busy()
        idle = ownership.KeySet(
            moving.shards - busy.shards,
            moving.keys - busy.keys,
        )
        self.ownership.note_drained(idle)
        return idle

    def resume_shards(self, shards: Iterable[int], keys: Iterable[str] = ()) -> None:
        """Accept requests for shards and keys again after a move that failed."""
        self.ownership.unblock(ownership.make_key_set(shards, keys))

    # Target state.

    def receive_restart(self, boot: str) -> None:
        """Log a new boot id and notify the manager."""
        events.warning("target_restarted", target=self.target.name, boot=boot)
        self.notify_manager(
            notifications.TargetRestarted(self.target.name, self.term, boot)
        )

    @property
    def term(self) -> int:
        """Term of this gate."""
        return self.record.row.term

    def notify_manager(self, message: notifications.Notification) -> None:
        """Queue a notification for the manager."""
        self.notification_queue.put_nowait(message)

    def check_target_state(self) -> None:
        """Notify the manager of a loss, of an answer after it, or of a higher term."""
        now = self.clock.monotonic()
        self.update_floor()
        row = self.view_holder.current.gates.get(self.target.name)
        if row is not None:
            self.grant.gate_authority.receive_term(row.term)
        superseding_term = self.grant.gate_authority.higher_term
        if superseding_term is not None and not self.superseded:
            self.superseded = True
            self.queue.refuse_waiting(lambda ticket: self.make_not_gate_failure())
            self.notify_manager(
                notifications.Superseded(self.target.name, self.term, superseding_term)
            )
        lost = self.evacuating or self.grant.is_lost(now)
        if lost == self.lost:
            return
        self.lost = lost
        if lost:
            self.grant.suspend()
            unavailable = errors.TargetUnavailable(self.target.name, "does not answer")
            self.queue.refuse_waiting(lambda ticket: unavailable)
            self.notify_manager(
                notifications.TargetLost(
                    self.target.name, self.term, self.get_expired_at()
                )
            )
        else:
            self.grant.resume()
            self.notify_manager(
                notifications.TargetReturned(self.target.name, self.term)
            )

    def get_expired_at(self) -> datetime.timedelta:
        """Return the local time from which no gate's request runs at the target."""
        expired_at = self.grant.compute_expired_at()
        if self.fenced:
            return expired_at
        # Requests at an unfenced target end at their deadlines, not with a grant.
        return max(expired_at, self.runs.get_last_deadline())

    def begin_evacuation(self) -> bool:
        """Return whether the shards of a lost target may be moved now.

        If so, the target gets no grant until `end_evacuation`, even if it answers
        again.
        """
        if not self.lost or self.clock.monotonic() < self.get_expired_at():
            return False
        self.evacuating = True
        return True

    def clear_earlier_gates_end(self) -> None:
        """Stop waiting for earlier gates, which an operator declared dead."""
        self.grant.clear_earlier_gates_end()

    def end_evacuation(self) -> None:
        """Allow grants again once the outcome of the evacuation is known."""
        self.evacuating = False
        self.grant.clear_loss()
        self.renewer.wake_loops()

    def describe(self) -> dict:
        """Return the state of this gate for the dump."""
        return description.describe_gate(self)
