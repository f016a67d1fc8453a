"""The task that asks for loads, plans, and has the moves carried out.

For each service one entry process plans: the first in rendezvous order of the live
members. No agreement is needed on who that is. Each move is carried out by the gate of
the losing target in a transaction, so that two plans at once cost moves but break
nothing. A process whose event loop is late does not take part: its loads are late too.
"""

import asyncio
import datetime
from typing import Any

from returns import result

from dewstep_core import clock as clocks, data, events, hashing, ledger
from dewstep_entry.balancing import (
    lateness,
    messages as balancing_messages,
    planner,
    workload,
)
from dewstep_entry.gate import manager, orders
from dewstep_entry.peers import messages
from dewstep_entry.state import view

INTERVAL = datetime.timedelta(seconds=10)
"""Time between two plans. Counts of 15 s half-life change little in less."""
COLLECT = datetime.timedelta(milliseconds=500)
"""Time that gates have to report their loads."""
FORGET = datetime.timedelta(minutes=2)
"""Age at which a move no longer keeps its subject from moving again."""


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
    """Plans for the services that fall to this process, and carries out orders.

    Parameters
    ----------
    own : data.Member
        This process.
    holder : view.ViewHolder
    clock : clocks.Clock
    gates : manager.GateManager
        Carries out the moves.
    network : dewstep_entry.peers.link.PeerNetwork
    observer : workload.Observer
        Loads of the targets whose gates are here.
    """

    def __init__(self, own, holder, clock, gates, network, observer):
        self.own: data.Member = own
        self.holder: view.ViewHolder = holder
        self.clock: clocks.Clock = clock
        self.gates: manager.GateManager = gates
        self.network = network
        self.observer: workload.Observer = observer
        self.loop_watch = lateness.LoopWatch(clock.monotonic())
        self.reports: dict[str, dict[str, planner.Report]] = {}
        self.history: dict[str, dict[int | str, datetime.timedelta]] = {}
        self.working: set[asyncio.Task] = set()
        self.planned = 0
        self.moved = 0

    async def run(self) -> None:
        """Plan once an interval until cancelled."""
        while True:
            await self.clock.sleep(INTERVAL)
            configuration = self.holder.current.configuration
            for service in configuration.services if configuration else ():
                chosen = choose_planner(self.holder.current, service)
                if chosen == self.own.entry:
                    await self.plan_service(service)

    async def run_watch(self) -> None:
        """Watch the event loop until cancelled."""
        await self.loop_watch.run(self.clock)

    def is_late(self, skipped: str, service: str) -> bool:
        """Return whether the event loop is late, and log what is skipped for it."""
        late = self.loop_watch.is_late(self.clock.monotonic())
        if late:
            events.info("balancing_paused", skipped=skipped, service=service)
        return late

    async def plan_service(self, service: str) -> None:
        """Collect the loads of a service, plan, and send the orders."""
        if self.is_late("plan", service):
            return
        self.reports[service] = {}
        members = list_gate_members(self.holder.current, service)
        for member in members:
            self.send(member, messages.Fetch(balancing_messages.LOADS, service))
        await self.clock.sleep(COLLECT)
        reports = self.reports.pop(service, {})
        current = self.holder.current
        assignment = current.assignments.get(service)
        if assignment is None or not reports or self.is_late("plan", service):
            return
        now = self.clock.monotonic()
        history = self.history.setdefault(service, {})
        for subject, moved in list(history.items()):
            if now - moved > FORGET:
                del history[subject]
        targets = current.configuration.targets
        # What an operator has moved counts as just moved, and goes to no new target.
        resting = orders.list_resting(assignment, self.clock.now())
        left_alone = {**history, **dict.fromkeys(resting, now)}
        planned = planner.plan(assignment, targets, reports.values(), now, left_alone)
        moves = tuple(move for move in planned if move.subject not in resting)
        history.update((move.subject, now) for move in moves)
        self.planned += len(moves)
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
        """Send to a process, which may be this one."""
        if member.entry == self.own.entry:
            self.receive(member, message)
        else:
            self.network.send(member, message)

    def receive(self, sender: data.Member, message: Any) -> bool:
        """Process a message if it concerns the balance; return whether it did."""
        what = getattr(message, "what", "")
        if isinstance(message, messages.Fetch) and what == balancing_messages.LOADS:
            reports = self.build_reports(message.name)
            self.send(sender, balancing_messages.encode_reports(message.name, reports))
        elif isinstance(message, messages.Value) and what == balancing_messages.LOADS:
            self.take_reports(message)
        elif isinstance(message, messages.Value) and what == balancing_messages.MOVES:
            self.take_order(message)
        else:
            return False
        return True

    def build_reports(self, service: str) -> list[planner.Report]:
        """Return the reports on the targets of a service whose gates are here."""
        if self.is_late("report", service):
            return []
        now = self.clock.monotonic()
        watch = self.observer.outliers.get(service)
        factors = watch.get_factors(now) if watch is not None else {}
        summaries = watch.summarize(now) if watch is not None else {}
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

    def take_reports(self, message: messages.Value) -> None:
        """Keep the reports for the plan in the making."""
        collected = self.reports.get(message.name)
        decoded = balancing_messages.decode_reports(message)
        if collected is None or isinstance(decoded, result.Failure):
            return
        collected.update((report.target, report) for report in decoded.unwrap())

    def take_order(self, message: messages.Value) -> None:
        """Carry out the moves whose losing targets have their gates here."""
        decoded = balancing_messages.decode_moves(message)
        if isinstance(decoded, result.Failure):
            events.error("moves_refused", failure=decoded.failure())
            return
        moves, summaries = decoded.unwrap()
        watch = self.observer.outliers.get(message.name)
        if watch is not None and summaries:
            others = {
                name: summary
                for name, summary in summaries.items()
                if name not in watch.targets
            }
            watch.update(others, self.clock.monotonic())
        own = [move for move in moves if move.source in self.gates.gates]
        if own:
            task = asyncio.ensure_future(self.carry_out(message.name, own))
            self.working.add(task)
            task.add_done_callback(self.working.discard)

    async def carry_out(self, service: str, moves: list[ledger.Move]) -> None:
        """Carry out moves in their order, shards of one plan together."""
        shards = {
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
        if shards and not self.is_late("move", service):
            moved = await self.gates.move_shards(service, shards)
            outcomes += moved.values()
        for outcome in outcomes:
            if isinstance(outcome, result.Failure):
                events.warning(
                    "move_failed", service=service, failure=outcome.failure()
                )
            else:
                self.moved += 1

    def find_shard_owner(self, service: str, move: ledger.Move) -> str:
        """Return the owner of the shard to which a lifted key goes back."""
        owners = self.holder.current.assignments[service].owners
        return owners[hashing.compute_shard(move.subject, len(owners))]
