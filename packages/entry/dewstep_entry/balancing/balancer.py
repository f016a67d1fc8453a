"""The task that collects loads, plans moves and executes move orders.

The planner of each service is the first of the live entry processes in rendezvous
order. The processes need not agree on it: each move is executed in a transaction by the
gate of the target that gives up the shard or key, so concurrent plans are safe and only
cause superfluous moves. A process whose event loop is late does not take part, because
its loads are outdated.
"""

import asyncio
import datetime
from typing import Any

from returns import result

from dewstep_core import clocks, data, events, hashing, ledger
from dewstep_entry.balancing import (
    balancing_messages,
    lateness,
    planner,
    workload,
)
from dewstep_entry.gate import manager, orders
from dewstep_entry.peers import messages
from dewstep_entry.state import view

PLAN_INTERVAL = datetime.timedelta(seconds=10)
"""Time between two plans. Loads have a half-life of 15 s and change little in less."""
REPORT_TIMEOUT = datetime.timedelta(milliseconds=500)
"""Time after which the planner stops waiting for load reports."""
MOVE_COOLDOWN = datetime.timedelta(minutes=2)
"""Time after a move during which the same shard or key is not moved again."""


def choose_planner(current: view.View, service: str) -> str | None:
    """Return the entry process that plans the moves of `service`."""
    alive = [name for name, state in current.members.items() if state.alive]
    ranked = hashing.rank_by_rendezvous(f"planner/{service}", alive)
    return ranked[0] if ranked else None


def list_gate_members(current: view.View, service: str) -> list[data.Member]:
    """Return the live processes that are gates of the targets of `service`."""
    if current.configuration is None:
        return []
    entries = {
        current.gates[target.name].entry
        for target in current.configuration.targets.values()
        if target.service == service and target.name in current.gates
    }
    return [
        current.members[entry].member
        for entry in sorted(entries)
        if entry in current.members and current.members[entry].alive
    ]


class Balancer:
    """Plans the moves of services whose planner this process is, and executes orders.

    Parameters
    ----------
    own : data.Member
        This process.
    holder : view.ViewHolder
    clock : clocks.Clock
    gates : manager.GateManager
        Executes the moves.
    network : dewstep_entry.peers.link.PeerNetwork
    observer : workload.Observer
        Loads of the targets whose gates are here.
    loop_monitor : lateness.LoopMonitor, optional
        Detects pauses of this process.
    """

    def __init__(self, own, holder, clock, gates, network, observer, loop_monitor=None):
        self.own: data.Member = own
        self.holder: view.ViewHolder = holder
        self.clock: clocks.Clock = clock
        self.gates: manager.GateManager = gates
        self.network = network
        self.observer: workload.Observer = observer
        self.loop_monitor = loop_monitor or lateness.LoopMonitor(clock.monotonic())
        self.reports: dict[str, dict[str, planner.Report]] = {}
        """Reports for the plans being prepared, by service and target."""
        self.move_times: dict[str, dict[int | str, datetime.timedelta]] = {}
        """Times of the recently planned moves, by service and shard or key."""
        self.move_tasks: set[asyncio.Task] = set()
        self.planned_moves = 0
        self.completed_moves = 0

    async def run(self) -> None:
        """Plan every `PLAN_INTERVAL` until cancelled."""
        while True:
            await self.clock.sleep(PLAN_INTERVAL)
            configuration = self.holder.current.configuration
            for service in configuration.services if configuration else ():
                chosen = choose_planner(self.holder.current, service)
                if chosen == self.own.entry:
                    await self.plan_service(service)

    async def run_loop_monitor(self) -> None:
        """Monitor the lateness of the event loop until cancelled."""
        await self.loop_monitor.run(self.clock)

    def is_late(self, skipped: str, service: str) -> bool:
        """Return whether the event loop is late, and if so log what is skipped."""
        late = self.loop_monitor.is_late(self.clock.monotonic())
        if late:
            events.info("balancing_paused", skipped=skipped, service=service)
        return late

    async def plan_service(self, service: str) -> None:
        """Collect the loads of a service, plan its moves and send the orders."""
        if self.is_late("plan", service):
            return
        self.reports[service] = {}
        previous = self.holder.current.assignments.get(service)
        members = list_gate_members(self.holder.current, service)
        for member in members:
            self.send(member, messages.Fetch(balancing_messages.LOADS, service))
        await self.clock.sleep(REPORT_TIMEOUT)
        reports = self.reports.pop(service, {})
        current = self.holder.current
        assignment = current.assignments.get(service)
        if previous is not None and assignment is not None:
            # A target that was evacuated since may be lost; it is not a new one.
            for target in set(previous.owners) - set(assignment.owners):
                reports.pop(target, None)
        if assignment is None or not reports or self.is_late("plan", service):
            return
        now = self.clock.monotonic()
        last_move_times = self.move_times.setdefault(service, {})
        for subject, moved_at in list(last_move_times.items()):
            if now - moved_at > MOVE_COOLDOWN:
                del last_move_times[subject]
        targets = current.configuration.targets
        # Shards and keys moved by an operator count as moved just now. They are also
        # excluded from the moves to a new target, which ignore the move times.
        operator_moved = orders.list_recently_ordered(assignment, self.clock.now())
        recently_moved = {**last_move_times, **dict.fromkeys(operator_moved, now)}
        planned = planner.build_plan(
            assignment, targets, reports.values(), now, recently_moved
        )
        moves = tuple(move for move in planned if move.subject not in operator_moved)
        last_move_times.update((move.subject, now) for move in moves)
        self.planned_moves += len(moves)
        if moves:
            events.info("moves_planned", service=service, moves=len(moves))
        summaries = {
            name: report.summary
            for name, report in reports.items()
            if report.summary is not None
        }
        order = balancing_messages.encode_moves(
            service, assignment.version, moves, summaries
        )
        for member in members:
            self.send(member, order)

    def send(self, member: data.Member, message: Any) -> None:
        """Send a message to a process, or process it here if that is this one."""
        if member.entry == self.own.entry:
            self.receive(member, message)
        else:
            self.network.send(member, message)

    def receive(self, sender: data.Member, message: Any) -> bool:
        """Process a message if it concerns balancing; return whether it does."""
        what = getattr(message, "what", "")
        if isinstance(message, messages.Fetch) and what == balancing_messages.LOADS:
            reports = self.build_reports(message.name)
            self.send(sender, balancing_messages.encode_reports(message.name, reports))
        elif isinstance(message, messages.Value) and what == balancing_messages.LOADS:
            self.collect_reports(message)
        elif isinstance(message, messages.Value) and what == balancing_messages.MOVES:
            self.handle_order(message)
        else:
            return False
        return True

    def build_reports(self, service: str) -> list[planner.Report]:
        """Return the reports on the targets of a service whose gates are here."""
        if self.is_late("report", service):
            return []
        now = self.clock.monotonic()
        detector = self.observer.outliers.get(service)
        factors = detector.get_factors(now) if detector is not None else {}
        summaries = detector.summarize(now) if detector is not None else {}
        return [
            planner.Report(
                name,
                self.observer.loads[name].summarize(now),
                factors.get(name, 1.0),
                summaries.get(name),
            )
            for name, gate in sorted(self.gates.gates.items())
            if gate.service.name == service
            and name in self.observer.loads
            and gate.may_receive_shards()
        ]

    def collect_reports(self, message: messages.Value) -> None:
        """Add the reports in a message to those of the plan being prepared."""
        collected = self.reports.get(message.name)
        decoded = balancing_messages.decode_reports(message)
        if collected is None or isinstance(decoded, result.Failure):
            return
        collected.update((report.target, report) for report in decoded.unwrap())

    def handle_order(self, message: messages.Value) -> None:
        """Start the moves away from targets whose gates are here.

        The summaries in the order also update the outlier detection.
        """
        decoded = balancing_messages.decode_moves(message)
        if isinstance(decoded, result.Failure):
            events.error("moves_refused", failure=decoded.failure())
            return
        moves, summaries = decoded.unwrap()
        detector = self.observer.outliers.get(message.name)
        if detector is not None and summaries:
            others = {
                name: summary
                for name, summary in summaries.items()
                if name not in detector.targets
            }
            detector.update(others, self.clock.monotonic())
        own_moves = [move for move in moves if move.source in self.gates.gates]
        if own_moves:
            task = asyncio.ensure_future(self.execute_moves(message.name, own_moves))
            self.move_tasks.add(task)
            task.add_done_callback(self.move_tasks.discard)

    async def execute_moves(self, service: str, moves: list[ledger.Move]) -> None:
        """Execute the moves of keys one by one, then those of shards together."""
        shard_destinations = {
            move.subject: move.destination
            for move in moves
            if move.action == ledger.SHARD
        }
        outcomes = []
        for move in moves:
            if move.action != ledger.SHARD:
                if self.is_late("move", service):
                    break
                destination = move.destination or self.find_shard_owner(service, move)
                outcomes.append(
                    await self.gates.move_key(service, move.subject, destination)
                )
        if shard_destinations and not self.is_late("move", service):
            shard_outcomes = await self.gates.move_shards(service, shard_destinations)
            outcomes += shard_outcomes.values()
        for outcome in outcomes:
            if isinstance(outcome, result.Failure):
                events.warning(
                    "move_failed", service=service, failure=outcome.failure()
                )
            else:
                self.completed_moves += 1

    def find_shard_owner(self, service: str, move: ledger.Move) -> str:
        """Return the owner of the shard of a key whose override is to be deleted."""
        owners = self.holder.current.assignments[service].owners
        return owners[hashing.compute_shard(move.subject, len(owners))]
