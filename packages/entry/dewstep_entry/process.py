"""Builds, starts and stops the components of an entry process."""

import asyncio
import datetime
import functools
import random
import secrets
from typing import Any

from returns import result

from dewstep_core import (
    clocks,
    data,
    errors,
    events,
    placement,
    settings,
    tasks,
)
from dewstep_core.platform import instances, table as tables
from dewstep_entry import metrics, operators, reporting
from dewstep_entry.balancing import balancer, lateness, workload
from dewstep_entry.caller import listener
from dewstep_entry.gate import dependencies, handover, manager, timing, transfer
from dewstep_entry.peers import link
from dewstep_entry.pipeline import identify, metering, routing
from dewstep_entry.policy import admission, retries, stop_schedule
from dewstep_entry.state import (
    bootstrap,
    exchange,
    instance_reader,
    membership,
    metered_table,
    table_reader,
    view,
)
from dewstep_entry.targets import target_pool

INCARNATION_BYTES = 6
PEER_NOTICE_TIME = datetime.timedelta(milliseconds=500)
"""Time for which a stopping process notifies peers that it is no longer a gate."""
STARTING_FRACTION = 0.5
"""Part of a stop in which attempts are started whose deadline is after its end. The
rest of the time is left for them."""
QUARANTINE_REFRESH_INTERVAL = datetime.timedelta(seconds=5)
SEED_CONNECT_INTERVAL = datetime.timedelta(seconds=1)


class EntryProcess:
    """One entry process.

    Parameters
    ----------
    process_settings : settings.Settings
    clock : clocks.Clock
    """

    def __init__(self, process_settings: settings.Settings, clock: clocks.Clock):
        self.process_settings = process_settings
        self.clock = clock
        self.started = clock.monotonic()
        self.stopping = False
        self.failed = asyncio.Event()
        self.tasks = tasks.TaskOwner(self.handle_task_failure)
        self.random = random.Random()
        self.own_member = data.Member(
            process_settings.entry,
            secrets.token_hex(INCARNATION_BYTES),
            process_settings.data_centre,
            *process_settings.peer_address,
            process_settings.operator_address.port,
        )
        self.holder = view.ViewHolder()
        self.routes = identify.NO_ROUTES
        self.retry_budgets = retries.Retries(self.random)
        self.metrics = metrics.Metrics(
            process_settings.statsd_address, process_settings.entry
        )
        client = tables.TableClient(
            process_settings.table_addresses,
            process_settings.entry,
            process_settings.data_centre,
            clock,
            process_settings.table_timeout,
        )
        self.table = metered_table.MeteredTable(
            client, process_settings.entry, self.metrics.counts
        )
        self.build_state_readers()
        self.build_gates()
        self.build_servers()

    def build_state_readers(self) -> None:
        """Create the components that read the state of the fleet."""
        process_settings = self.process_settings
        self.members = membership.Membership(
            self.own_member, process_settings.peers, self.random
        )
        self.reader = table_reader.TableReader(
            self.table, self.holder, self.clock, self.members.count_local, self.random
        )
        self.instances = None
        if process_settings.instance_list_address is not None:
            self.instances = instances.InstanceClient(
                (process_settings.instance_list_address,),
                process_settings.entry,
                process_settings.data_centre,
            )

    def build_gates(self) -> None:
        """Create the gate manager, the links to peers and the balancer."""
        loop_monitor = lateness.LoopMonitor(self.clock.monotonic())
        self.observer = workload.Observer(self.clock, loop_monitor)
        self.gates = manager.GateManager(
            self.own_member,
            self.holder,
            self.table,
            self.clock,
            self.process_settings,
            dependencies.Dependencies(
                self.make_channel,
                self.make_admission,
                self.get_gate_budget,
                self.plan_evacuation,
                self.send_handover,
                self.observer,
            ),
        )
        self.network = link.PeerNetwork(
            self.own_member,
            self.clock,
            self.gates,
            self,
            self.handle_connection_change,
            self.process_settings.peers,
        )
        self.exchange = exchange.Exchange(
            self.own_member,
            self.process_settings.peers,
            self.holder,
            self.members,
            self.network,
            self.clock,
        )
        self.balancer = balancer.Balancer(
            self.own_member,
            self.holder,
            self.clock,
            self.gates,
            self.network,
            self.observer,
            loop_monitor,
        )

    def build_servers(self) -> None:
        """Create the servers for callers and operators."""
        self.router = routing.Router(
            self.process_settings.entry,
            self.holder,
            self.clock,
            self.gates,
            self.network,
            self.retry_budgets,
            self.reader.request_full_read,
        )
        self.meter = metering.Meter(self.router, self.clock, self.metrics.counts)
        self.listener = listener.Listener(
            self.process_settings.caller_address,
            self.process_settings.caller_limits,
            self.identify_request,
            self.get_body_limit,
            self.meter,
            self.process_settings.entry,
            on_refusal=self.meter.record_refusal,
            prepare_parallel=self.prepare_parallel,
        )
        simulate_partition = (
            self.network.set_partition
            if self.process_settings.fault_injection
            else None
        )
        self.operators = operators.OperatorServer(
            self.holder,
            functools.partial(reporting.describe_process, self),
            self.execute_move,
            simulate_partition,
        )

    # Start and stop.

    async def start(self) -> None:
        """Listen on all ports and start all tasks."""
        await self.network.start()
        await self.operators.start(self.process_settings.operator_address)
        await self.listener.start()
        loops = [
            self.exchange.run,
            self.exchange.run_announcements,
            self.reader.run,
            self.create_assignments,
            self.gates.run,
            self.balancer.run,
            self.balancer.run_loop_monitor,
            self.connect_to_seeds,
            self.refresh_quarantine,
        ]
        if self.instances is not None:
            reader = instance_reader.InstanceReader(
                self.instances.read,
                self.holder,
                self.clock,
                self.gates.set_leaving,
                self.random,
            )
            loops.append(reader.run)
        for loop in loops:
            self.tasks.spawn(loop())
        # An error in reporting must not end a process that serves requests.
        self.tasks.spawn(timing.keep_running(self.clock, self.report))
        events.info(
            "started",
            entry=self.own_member.entry,
            incarnation=self.own_member.incarnation,
            data_centre=self.own_member.data_centre,
        )

    def handle_task_failure(self, error: BaseException, task: str) -> None:
        """Log the failure of a task and request a stop.

        The process must not continue without one of its tasks. Without heartbeats, for
        example, it would still serve callers, but peers could not detect a freeze.
        """
        self.failed.set()
        events.exception("task_failed", error, task=task)

    async def report(self) -> None:
        """Send metrics until cancelled."""
        await self.metrics.run(
            self.clock,
            functools.partial(reporting.read_totals, self),
            functools.partial(reporting.read_gauges, self),
        )

    async def create_assignments(self) -> None:
        """Create the assignments of new services until cancelled."""
        sequence = -1
        while True:
            sequence = await self.holder.wait_change(sequence)
            if self.holder.current.table_contact is None:
                continue
            if bootstrap.find_unassigned_services(self.holder.current):
                await bootstrap.create_missing_assignments(self.holder, self.table)
                self.reader.request_full_read()
                await self.clock.sleep(table_reader.MIN_READ_INTERVAL)

    async def connect_to_seeds(self) -> None:
        """Connect to the seeds while no peer is alive."""
        while True:
            if not any(peer.suspected is None for peer in self.members.peers.values()):
                heartbeat = self.exchange.build_heartbeat()
                for address in self.process_settings.seeds:
                    seed_member = data.Member("", "", "", *address)
                    self.network.send(seed_member, heartbeat)
            await self.clock.sleep(SEED_CONNECT_INTERVAL)

    async def refresh_quarantine(self) -> None:
        """Periodically read the requests that other gates have quarantined."""
        while True:
            await self.clock.sleep(
                QUARANTINE_REFRESH_INTERVAL * (0.5 + self.random.random())
            )
            await self.gates.refresh_quarantine()

    async def stop(self) -> tuple[str, ...]:
        """Finish requests and hand over the gates; return what was aborted."""
        self.stopping = True
        events.info("stopping", entry=self.own_member.entry)
        self.exchange.announce_stop()
        began, limit = self.clock.monotonic(), self.process_settings.stop_limit
        end = began + limit
        schedule = stop_schedule.plan_stop(began, end, limit * STARTING_FRACTION)
        self.router.stop_schedule = schedule
        self.tasks.spawn(self.refuse_unread(schedule))
        closing = asyncio.ensure_future(self.listener.stop())
        remaining = await self.gates.stop()
        aborted = [f"gate of {target}" for target in remaining]
        try:
            seconds_left = (end - self.clock.monotonic()).total_seconds()
            async with asyncio.timeout(max(seconds_left, 0.0)):
                await closing
        except TimeoutError:
            aborted.append(f"{len(self.listener.connections)} connections of callers")
            self.listener.abort()
        await self.clock.sleep(PEER_NOTICE_TIME)
        await self.close()
        for item in aborted:
            events.error("stop_cut", what=item)
        events.info("stopped", entry=self.own_member.entry, cut=len(aborted))
        return tuple(aborted)

    async def refuse_unread(self, schedule: stop_schedule.StopSchedule) -> None:
        """Refuse the requests that have not been read when none is started any more."""
        await self.clock.sleep(schedule.last_start_at - self.clock.monotonic())
        self.listener.refuse_unread(errors.Stopping(self.own_member.entry))

    async def close(self) -> None:
        """End all tasks and connections."""
        self.tasks.cancel()
        await self.network.stop()
        await self.operators.close()
        await self.table.close()
        if self.instances is not None:
            await self.instances.close()

    # Callbacks of the components.

    def make_channel(self, target: data.Target) -> target_pool.TargetPool:
        """Return a connection pool for a target."""
        return target_pool.TargetPool(
            target,
            self.clock,
            self.process_settings.entry,
            self.process_settings.data_centre,
        )

    def make_admission(self, target: data.Target) -> admission.Admission:
        """Return the admission queue of a target."""
        queue = admission.Admission(target.name, target.slots, self.random)
        self.observer.admissions[target.name] = queue
        return queue

    def get_gate_budget(self, target: data.Target) -> retries.Budget:
        """Return the retry budget that all gates of a service in this process share."""
        return self.retry_budgets.get_budget(target.service, target.data_centre)

    def plan_evacuation(
        self, assignment: data.Assignment, lost: str, candidates
    ) -> tuple[str, ...]:
        """Plan the owners of all shards after the loss of a target."""
        configuration = self.holder.current.configuration
        usable = [
            configuration.targets[name]
            for name in candidates
            if name in configuration.targets
        ]
        return placement.plan_evacuation(assignment, {lost}, usable).owners

    async def send_handover(self, entry: str, message: handover.Handover) -> None:
        """Send a hand-over to the next gate's process."""
        state = self.holder.current.members.get(entry)
        value = transfer.encode_handover(message, self.clock.monotonic())
        if state is None or not self.network.send(state.member, value):
            events.warning("handover_unsent", entry=entry)

    def handle_connection_change(
        self, member: data.Member, change: link.ConnectionChange
    ) -> None:
        """Update the membership after a change of a peer's connection."""
        if change is link.ConnectionChange.UP:
            if self.members.record_message(member, self.clock.monotonic()):
                self.exchange.publish_members()
            return
        if change is link.ConnectionChange.CLOSED_BY_PEER:
            self.exchange.check_running(member)
        elif (
            change in (link.ConnectionChange.REFUSED, link.ConnectionChange.RESET)
            and member.entry
        ):
            self.exchange.suspect_refused(member)

    async def receive(self, sender: data.Member, message: Any) -> None:
        """Dispatch a peer's message to the gates, the balancer or the exchange."""
        decoded = transfer.decode_handover(message, self.clock.monotonic())
        if decoded is None and self.balancer.receive(sender, message):
            return
        if decoded is None:
            await self.exchange.receive(sender, message)
        elif isinstance(decoded, result.Success):
            self.tasks.spawn(self.gates.receive_handover(decoded.unwrap()))
        else:
            events.error("handover_unreadable", failure=decoded.failure())

    def identify_request(
        self,
        method: bytes,
        target: bytes,
        headers: data.Headers,
        body_length: int | None,
    ) -> result.Result[data.Request, Any]:
        """Return the request that a message head describes."""
        if self.stopping:
            return result.Failure(errors.Stopping(self.own_member.entry))
        configuration = self.holder.current.configuration
        if configuration is not None and configuration.revision != self.routes.revision:
            self.routes = identify.compile_routes(configuration)
        now = self.clock.monotonic()
        return identify.identify_request(
            self.routes, now, method, target, headers, body_length
        )

    def get_body_limit(self, request: data.Request) -> int:
        """Return the maximum body size in bytes for the request's kind."""
        kind = routing.find_kind(self.holder.current, request.service, request.kind)
        return kind.maximum_body_bytes if kind is not None else 0

    def prepare_parallel(self, request: data.Request) -> data.Request | None:
        """Return a request that may run beside others of its connection, or None."""
        kind = routing.find_kind(self.holder.current, request.service, request.kind)
        return request if kind is not None and kind.idempotent else None

    # Operators.

    async def execute_move(self, order: operators.MoveOrder) -> result.Result[Any, Any]:
        """Execute an operator's move of a shard or key."""
        assignment = self.holder.current.assignments.get(order.service)
        if assignment is None:
            return result.Failure(errors.NotReady(f"assignment/{order.service}"))
        if order.key is not None:
            return await self.gates.move_key(
                order.service, order.key, order.target, ordered=True
            )
        if not 0 <= order.shard < len(assignment.owners):
            return result.Failure(errors.NotReady(f"shard {order.shard}"))
        outcomes = await self.gates.move_shards(
            order.service, {order.shard: order.target}, ordered=True
        )
        if not outcomes:
            owner = assignment.owners[order.shard]
            return result.Failure(errors.NotTheGate(owner, self.gates.get_term(owner)))
        return next(iter(outcomes.values()))
