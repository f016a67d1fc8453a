"""Starts, replaces and hands over the gates of this process."""

import asyncio
import collections
import datetime
from collections.abc import Callable, Coroutine, Mapping

from returns import result

from dewstep_core import (
    clocks,
    data,
    errors,
    events,
    owners,
    settings,
)
from dewstep_entry import interfaces
from dewstep_entry.gate import (
    assignments,
    dependencies,
    description,
    evacuation,
    gates,
    handover,
    invariants,
    lifecycle,
    moves,
    notifications,
    releases,
    rows,
    succession,
    takeover,
    timing,
    vacancy_timers,
)
from dewstep_entry.state import view

# Interval at which the manager checks all targets.
TARGET_CHECK_INTERVAL = datetime.timedelta(milliseconds=50)

# Timeout of the reachability check of a target in another data centre, and pause
# after a failed check.
REACHABILITY_CHECK_TIMEOUT = datetime.timedelta(seconds=1)

# Pause after a failed takeover.
TAKEOVER_RETRY_PAUSE = datetime.timedelta(milliseconds=200)


class GateManager:
    """Creates and ends the gates of this process.

    Parameters
    ----------
    own_member : data.Member
        This process.
    view_holder : view.ViewHolder
        Configuration, assignments, gate rows and members.
    table, clock, process_settings
        Client of the table service, clock and settings of this process.
    gate_dependencies : dependencies.Dependencies
        Constructors and callables from other parts of the process.
    """

    def __init__(
        self,
        own_member: data.Member,
        view_holder: view.ViewHolder,
        table: interfaces.TableClient,
        clock: clocks.Clock,
        process_settings: settings.Settings,
        gate_dependencies: dependencies.Dependencies,
        make_operation_id: Callable[[], str] = takeover.generate_operation_id,
        counts: collections.Counter | None = None,
    ):
        self.own_member = own_member
        self.view_holder = view_holder
        self.table = table
        self.clock = clock
        self.process_settings = process_settings
        self.gate_dependencies = gate_dependencies
        self.make_operation_id = make_operation_id
        self.checks = invariants.Invariants(counts)
        self.notification_queue: asyncio.Queue[notifications.Notification] = (
            asyncio.Queue()
        )
        self.gates: dict[str, gates.Gate] = {}
        self.vacancy_timers = vacancy_timers.VacancyTimers()
        self.takeovers: dict[str, asyncio.Task] = {}
        self.ending_tasks: set[asyncio.Task] = set()
        self.leaving_entries: frozenset[str] = frozenset()
        self.stopping = False
        make_id = make_operation_id
        self.gate_row_writer = takeover.GateRowWriter(
            own_member, view_holder, table, clock, process_settings.grants, make_id
        )
        self.assignments = assignments.AssignmentWriter(
            view_holder, table, clock, make_id
        )
        self.evacuation = evacuation.EvacuationTasks(self)
        self.mover = moves.Mover(
            self.assignments,
            table,
            clock,
            gate_dependencies.plan_evacuation,
            self.evacuation.list_usable,
            self.evacuation.is_leaving,
            self.raise_term,
        )
        self.gate_releaser = releases.GateReleaser(self)

    # Main loop.

    async def run(self) -> None:
        """Act on vacancies, losses and leaving targets until cancelled."""
        await timing.keep_running(self.clock, self.run_check_loop)

    async def run_check_loop(self) -> None:
        """Call `check_targets` at a fixed interval until cancelled."""
        while True:
            self.check_targets()
            await self.clock.sleep(TARGET_CHECK_INTERVAL)

    def check_targets(self) -> None:
        """Check all targets once and start the tasks that are due, without waiting."""
        while not self.notification_queue.empty():
            self.receive_notification(self.notification_queue.get_nowait())
        configuration = self.view_holder.current.configuration
        if configuration is None:
            return
        for name, gate in list(self.gates.items()):
            target = configuration.targets.get(name)
            service = configuration.services.get(gate.service.name)
            if target is not None and service is not None:
                gate.receive_configuration(target, service)
            row = self.view_holder.current.gates.get(name)
            if row is not None and row.term > gate.term:
                gate.check_target_state()
            self.evacuation.start(gate)
        if not self.stopping:
            for target in configuration.targets.values():
                self.check_vacancy(target, configuration)
            self.gate_releaser.return_gate_to_preferred()

    def receive_notification(self, message: notifications.Notification) -> None:
        """Process one notification of a gate."""
        notification_name = type(message).__name__
        events.info(
            "gate_changed",
            target=message.target,
            term=message.term,
            change=notification_name,
        )
        gate = self.gates.get(message.target)
        if gate is None or gate.term != message.term:
            return
        self.checks.counts[notification_name] += 1
        if isinstance(message, notifications.TargetRestarted):
            self.gate_dependencies.observer.restart(gate.target)
        if isinstance(message, notifications.Superseded):
            self.end_gate(gate)

    def end_gate(self, gate: gates.Gate) -> None:
        """Remove a gate and stop it in the background."""
        if self.gates.get(gate.target.name) is gate:
            del self.gates[gate.target.name]
            self.gate_dependencies.observer.end(gate.target)
        task = asyncio.ensure_future(gate.stop())
        self.ending_tasks.add(task)
        task.add_done_callback(self.ending_tasks.discard)

    # Takeovers.

    def check_vacancy(
        self, target: data.Target, configuration: data.Configuration
    ) -> None:
        """Start a takeover if the target has been without a gate for long enough."""
        if target.name in self.takeovers:
            return
        gate = self.gates.get(target.name)
        vacancy = succession.decide_vacancy(
            target,
            self.view_holder.current.gates.get(target.name),
            self.view_holder.current.members,
            self.own_member,
            None if gate is None else gate.term,
            self.leaving_entries,
        )
        due = self.vacancy_timers.is_due(target.name, vacancy, self.clock.monotonic())
        service = configuration.services.get(target.service)
        if due and service is not None:
            self.start_takeover(target, service, vacancy.in_other_data_centre)

    def start_takeover(
        self, target: data.Target, service: data.Service, in_other_data_centre: bool
    ) -> None:
        """Start the task that takes a target over."""
        self.run_takeover(
            target.name, self.take_over(target, service, in_other_data_centre)
        )

    def run_takeover(self, target: str, work: Coroutine) -> asyncio.Task:
        """Run `work`, which starts a gate of `target`, as its takeover task."""
        task = asyncio.ensure_future(work)
        self.takeovers[target] = task
        task.add_done_callback(lambda done: self.takeovers.pop(target, None))
        return task

    async def is_reachable(self, target: data.Target) -> bool:
        """Return whether a target answers to this process."""
        channel = self.gate_dependencies.make_channel(target)
        answered, answer = await timing.wait_at_most(
            self.clock, channel.read_clock(), REACHABILITY_CHECK_TIMEOUT
        )
        await channel.close()
        return answered and isinstance(answer, result.Success)

    async def take_over(
        self, target: data.Target, service: data.Service, in_other_data_centre: bool
    ) -> None:
        """Raise the term and start the gate.

        A target of another data centre must be reachable first. If it is not, its
        data centre may be cut off while its gate there still serves it. An operator's
        declaration that the target and its gate are dead replaces the check.
        """
        declared = self.view_holder.current.declared_dead.get(target.name, 0)
        known_dead = declared >= max(1, self.get_term(target.name))
        if (
            in_other_data_centre
            and not known_dead
            and not await self.is_reachable(target)
        ):
            await self.clock.sleep(REACHABILITY_CHECK_TIMEOUT)
            return
        existing_gate = self.gates.get(target.name)
        outcome = await self.gate_row_writer.take_over(
            target,
            service.outage_horizon,
            None if existing_gate is None else existing_gate.term,
        )
        if isinstance(outcome, result.Failure):
            events.warning(
                "takeover_failed", target=target.name, failure=outcome.failure()
            )
            await self.clock.sleep(TAKEOVER_RETRY_PAUSE)
            return
        takeover_result = outcome.unwrap()
        start = lifecycle.Start(
            takeover_result.term_confirmed_at,
            takeover_result.wait.until,
            None,
            takeover_result.is_first_gate,
        )
        await self.start_gate(target, service, takeover_result.record, start)

    async def start_gate(
        self,
        target: data.Target,
        service: data.Service,
        record: rows.GateRecord,
        start: lifecycle.Start,
    ) -> None:
        """Read the assignment, then start a gate and replace an older one.

        The previous gate may have moved shards after the version that this process
        knows. It cannot after the term was raised, so this read shows all its moves.
        """
        assignment = await self.assignments.read_until_answered(service.name)
        start = start._replace(
            is_first_gate=start.is_first_gate and assignment.version <= 1
        )
        existing_gate = self.gates.get(target.name)
        if existing_gate is not None:
            violation = self.checks.check(
                record.row.term > existing_gate.term,
                invariants.RISING_TERM,
                target=target.name,
                held=existing_gate.term,
                term=record.row.term,
            )
            if violation is not None:
                return
            self.end_gate(existing_gate)
        gate = gates.Gate(
            target,
            record,
            service,
            self.clock,
            self.table,
            self.gate_dependencies.make_channel(target),
            self.process_settings,
            self.gate_dependencies.make_admission(target),
            view_holder=self.view_holder,
            notification_queue=self.notification_queue,
            budget=self.gate_dependencies.get_budget(target),
            start=start,
            observer=self.gate_dependencies.observer,
            checks=self.checks,
            make_operation_id=self.make_operation_id,
        )
        self.evacuation.update_leaving(gate)
        self.gates[target.name] = gate
        self.gate_dependencies.observer.start(target)
        gate.run()

    async def raise_term(self, gate: gates.Gate) -> bool:
        """Replace a gate by one of the next term; return whether its term has ended.

        After a conflict, another gate has raised the term.
        """
        written = await self.gate_row_writer.write(
            gate.target.name, gate.record, self.own_member, gate.record.horizon, False
        )
        if isinstance(written, result.Failure):
            return isinstance(written.failure(), errors.Conflict)
        record, sent_at = written.unwrap()
        start = lifecycle.Start(sent_at, gate.get_expired_at(), None, False)
        await self.run_takeover(
            gate.target.name, self.start_gate(gate.target, gate.service, record, start)
        )
        return True

    async def receive_handover(self, message: handover.Handover) -> None:
        """Start a gate that another process handed over to this one."""
        row = message.record.row
        configuration = self.view_holder.current.configuration
        target = configuration and configuration.targets.get(row.target)
        service = target and configuration.services.get(target.service)
        if service is None or (row.entry, row.incarnation) != (
            self.own_member.entry,
            self.own_member.incarnation,
        ):
            events.warning("handover_refused", target=row.target, term=row.term)
            return
        if self.get_term(row.target) > row.term:
            return
        if self.stopping:
            # This process would abort the requests when it ends. Another process takes
            # the target over instead.
            events.warning("handover_refused", target=row.target, term=row.term)
            return
        self.view_holder.offer_gate(row)
        running_takeover = self.takeovers.get(row.target)
        if running_takeover is not None:
            await asyncio.wait({running_takeover})
        existing_gate = self.gates.get(row.target)
        if existing_gate is not None and existing_gate.term >= row.term:
            if existing_gate.term == row.term:
                existing_gate.load_memory(message.memory)
            return
        now = self.clock.monotonic()
        start = handover.make_initial_state(message, now, self.process_settings.grants)
        await self.run_takeover(
            row.target, self.start_gate(target, service, message.record, start)
        )

    # Moves.

    def set_leaving(self, targets: frozenset[str], entries: frozenset[str]) -> None:
        """Set the leaving targets and entry processes of the instance list."""
        self.evacuation.leaving_targets = targets
        self.leaving_entries = entries

    async def move_shards(
        self, service: str, shard_moves: Mapping[int, str], ordered: bool = False
    ) -> dict[str, result.Result[data.Assignment, interfaces.Failure]]:
        """Move shards whose targets have their gates here; return results by target.

        Shards whose gate is in another process are skipped; that process moves them.
        """
        assignment = self.view_holder.current.assignments[service]
        grouped: dict[str, dict[int, str]] = {}
        for shard, owner in shard_moves.items():
            grouped.setdefault(assignment.owners[shard], {})[shard] = owner
        outcomes = {}
        for previous_owner, moving in grouped.items():
            gate = self.gates.get(previous_owner)
            if gate is not None:
                outcomes[previous_owner] = await self.mover.move_shards(
                    gate, moving, ordered
                )
        return outcomes

    async def move_key(
        self, service: str, key: str, new_owner: str, ordered: bool = False
    ) -> result.Result[data.Assignment, interfaces.Failure]:
        """Move a single key whose target has its gate here."""
        assignment = self.view_holder.current.assignments[service]
        owner, _ = owners.find_owner(assignment, key)
        gate = self.gates.get(owner)
        if gate is None:
            return result.Failure(errors.NotTheGate(owner, self.get_term(owner)))
        return await self.mover.move_key(gate, key, new_owner, ordered)

    # Requests.

    def get_term(self, target: str) -> int:
        """Return the highest known term of a target, or 0."""
        row = self.view_holder.current.gates.get(target)
        return 0 if row is None else row.term

    async def handle(
        self, request: data.Request
    ) -> result.Result[data.Answer, interfaces.Failure]:
        """Answer a request that reached this process as the gate of its target."""
        assignment = self.view_holder.current.assignments.get(request.service)
        if assignment is None:
            return result.Failure(errors.NotReady(f"assignment/{request.service}"))
        owner, shard = owners.find_owner(assignment, request.key)
        gate = self.gates.get(owner)
        if gate is None:
            return result.Failure(errors.NotTheGate(owner, self.get_term(owner)))
        return await gate.handle(request, shard, assignment.version)

    async def refresh_quarantine(self) -> None:
        """Read the suspects of all gates for each gate of this process."""
        for gate in list(self.gates.values()):
            await gate.refresh_quarantine()

    def describe(self) -> dict:
        """Return the state of all gates for the dump."""
        return description.describe_gates(self)

    # Planned stop.

    async def stop(self) -> tuple[str, ...]:
        """Hand over all gates within the stop limit; return those that remain."""
        self.stopping = True
        await timing.wait_at_most(
            self.clock,
            self.gate_releaser.hand_over_all(),
            self.process_settings.stop_limit,
        )
        return tuple(sorted(self.gates))
