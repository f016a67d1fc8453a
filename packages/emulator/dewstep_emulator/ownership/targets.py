"""Targets that run at addresses, register in the store and carry out orders.

`target_processes` decides what an order does. This module decides when: messages take
time and are lost, orders are carried out late and after newer ones, answers are lost,
and a process may have ended and another one may run at its address.
"""

import asyncio
import datetime
import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, Protocol

from returns import result

from dewstep_core import clocks, errors
from dewstep_emulator.ownership import deadlines, stores, target_processes
from dewstep_fleet import builders, model, outstanding

RELEASE_TIMEOUT = datetime.timedelta(milliseconds=2500)
"""As `dewstep_platform.orders`."""
MAX_CLOCK_SLOWNESS = 0.02
DATA_CENTRE = "dc-1"

LinkForTarget = Callable[[model.Target], deadlines.Link]
Address = tuple[str, int]


class OrderFaults(NamedTuple):
    """Shares of the orders that fail in some way, and limits of the random times."""

    lost_answers: float = 0.0
    """Orders that are carried out and not answered; their connection is reset."""
    late_grants: float = 0.0
    """Grants that are not answered and are carried out late."""
    late_releases: float = 0.0
    """Releases that are not answered and are carried out late."""
    closed_connections: float = 0.0
    """Answered grants after which the target closes the connection."""
    max_lateness: datetime.timedelta = datetime.timedelta(seconds=5)
    max_request_time: datetime.timedelta = datetime.timedelta(milliseconds=200)
    """Maximum time for which a request still runs when its key is released."""


class RegistrationTimes(NamedTuple):
    """Limits of the random times of registrations."""

    heartbeat: datetime.timedelta = datetime.timedelta(seconds=1)
    """Time after which a process checks its row and writes it again if it is gone."""
    max_missed_heartbeats: int = 3
    """Number of heartbeats after which the row of a silent process is removed."""
    max_start_delay: datetime.timedelta = datetime.timedelta(milliseconds=500)
    """Maximum time from the start of a process to its registration."""
    min_removal_delay: datetime.timedelta = datetime.timedelta(seconds=1)
    max_removal_delay: datetime.timedelta = datetime.timedelta(seconds=3)
    """Maximum time from the end of a process to the removal of its row."""
    drain_time: datetime.timedelta = datetime.timedelta(seconds=2)
    """Time for which a leaving process serves after its row says so."""
    max_extra_drain_time: datetime.timedelta = datetime.timedelta(seconds=5)


DEFAULT_REGISTRATION_TIMES = RegistrationTimes()


class Observer(Protocol):
    """Told of all changes of the ownership of keys as they happen."""

    def record_grant(
        self,
        at: datetime.timedelta,
        process: target_processes.Process,
        first: int,
        last: int,
        generation: int,
        end: datetime.timedelta,
    ) -> None:
        """Record that a process owns a range until `end`, unless it is released."""

    def record_release(
        self,
        at: datetime.timedelta,
        process: target_processes.Process,
        first: int,
        last: int,
        working_until: datetime.timedelta,
    ) -> None:
        """Record that a process begins no more requests for a range.

        Its running requests for the range end at `working_until`.
        """

    def record_end(
        self, at: datetime.timedelta, process: target_processes.Process
    ) -> None:
        """Record that a process has ended."""


class RunningProcess:
    """A process with its state and its registration.

    Parameters
    ----------
    state : target_processes.ProcessState
    data_centre : str
    """

    def __init__(self, state: target_processes.ProcessState, data_centre: str):
        self.state = state
        self.process = state.process
        self.data_centre = data_centre
        self.running = True
        self.registered = False
        """Whether the process keeps its row in the store."""
        self.leaving = False
        self.reaches_store = True
        self.states_life = True
        """Whether the row contains the start time of the process."""
        self.connections: list[TargetConnection] = []

    def build_target(self) -> model.Target:
        """Return the registration of the process."""
        target = target_processes.build_target(
            self.process, self.data_centre, self.leaving
        )
        return target if self.states_life else target._replace(life=0)


class SimulatedTargets:
    """All targets of all services.

    Parameters
    ----------
    clock : clocks.Clock
    generator : random.Random
    store : stores.SimulatedStore, optional
        Where the processes register; without it, nothing is registered.
    observers : iterable of Observer, optional
    registration_times : RegistrationTimes, optional
    encode : callable, optional
        Returns the value of the row of a target.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        generator: random.Random,
        store: stores.SimulatedStore | None = None,
        observers: Iterable[Observer] = (),
        registration_times: RegistrationTimes = DEFAULT_REGISTRATION_TIMES,
        encode: Callable[[model.Target], bytes] = builders.encode_target,
    ):
        self.clock = clock
        self.generator = generator
        self.store = store
        self.observers = tuple(observers)
        self.registration_times = registration_times
        self.encode = encode
        self.order_faults = OrderFaults()
        self.tasks = deadlines.Tasks()
        self.processes: list[RunningProcess] = []
        """All processes that have started, in order; see `list_running`."""
        self.by_address: dict[Address, RunningProcess] = {}

    def view(self, node: str, link_for_target: LinkForTarget) -> "TargetView":
        """Return one instance's way of sending orders to targets."""
        return TargetView(self, node, link_for_target)

    def close(self) -> None:
        """Cancel all orders in progress and stop all registrations."""
        self.tasks.close()

    # Processes.

    def start(
        self,
        name: str,
        host: str,
        port: int = 80,
        *,
        service: str = "history",
        life: int = 1,
        data_centre: str = DATA_CENTRE,
        clock_slowness: float | None = None,
        states_life: bool = True,
    ) -> RunningProcess:
        """Start a process whose name and address no other running process has.

        Parameters
        ----------
        name, host, service, data_centre : str
        port : int, optional
        life : int, optional
            Start time, which must be above those of earlier processes of the name.
        clock_slowness : float, optional
            By default a random one.
        states_life : bool, optional
            Whether the registration contains the start time.
        """
        if (host, port) in self.by_address:
            raise ValueError(f"a process runs at {host}:{port} already")
        if any(
            item.process.name == name and (item.running or item.process.life >= life)
            for item in self.processes
        ):
            raise ValueError(f"process {name!r} runs, or started after {life}")
        if clock_slowness is None:
            clock_slowness = self.generator.uniform(0, MAX_CLOCK_SLOWNESS)
        process = target_processes.Process(name, service, host, port, life)
        state = target_processes.ProcessState(process, clock_slowness)
        running = RunningProcess(state, data_centre)
        running.states_life = states_life
        self.processes.append(running)
        self.by_address[host, port] = running
        if self.store is not None:
            self.tasks.start(self._keep_registered(running))
        return running

    def crash(self, running: RunningProcess) -> None:
        """End a process; its row in the store is removed some time later."""
        if not running.running:
            return
        running.running = False
        del self.by_address[running.process.host, running.process.port]
        for observer in self.observers:
            observer.record_end(self.clock.monotonic(), running.process)
        for connection in running.connections:
            self.tasks.start(connection.receive_reset())
        running.connections.clear()
        if self.store is not None:
            self.tasks.start(self._remove_registration(running))

    def reset_connections(self, running: RunningProcess) -> None:
        """Reset the connections of a process, which continues to run."""
        for connection in running.connections:
            connection.reset()
        running.connections.clear()

    def leave(self, running: RunningProcess, announced: bool = True) -> None:
        """Let a process end after its drain time.

        If it is not announced, the row is removed instead of marked as leaving.
        """
        self.tasks.start(self._leave(running, announced))

    async def _leave(self, running: RunningProcess, announced: bool) -> None:
        times = self.registration_times
        running.leaving = True
        if not announced:
            running.registered = False
        while running.running and not self._write(running, remove=not announced):
            await self.clock.sleep(times.heartbeat)
        extra = times.max_extra_drain_time * self.generator.random()
        await self.clock.sleep(times.drain_time + extra)
        self.crash(running)

    def get_process(self, host: str, port: int) -> RunningProcess | None:
        """Return the process that runs at an address now."""
        return self.by_address.get((host, port))

    def list_running(self, service: str | None = None) -> list[RunningProcess]:
        """Return the processes that run now, in the order in which they started."""
        return [
            item
            for item in self.processes
            if item.running and service in (None, item.process.service)
        ]

    def count_owned(self, service: str = "history") -> int:
        """Return the number of keys of a service that any process owns."""
        now = self.clock.monotonic()
        owned = sorted(
            (item.first, item.last)
            for running in self.list_running(service)
            for item in running.state.list_owned(now)
        )
        count = next_key = 0
        for first, last in owned:
            count += max(0, last + 1 - max(first, next_key))
            next_key = max(next_key, last + 1)
        return count

    # Registrations.

    async def _keep_registered(self, running: RunningProcess) -> None:
        """Write the row of a process, and again whenever it is not in the store."""
        times = self.registration_times
        await self.clock.sleep(times.max_start_delay * self.generator.random())
        running.registered = not running.leaving
        failures = 0
        while running.running and running.registered:
            written = running.reaches_store and self._write(running)
            failures = 0 if written else failures + 1
            if failures == times.max_missed_heartbeats:
                self._expire(running)
            await self.clock.sleep(times.heartbeat * self.generator.uniform(0.9, 1.1))

    def _expire(self, running: RunningProcess) -> None:
        """Remove the row of a silent process, at times also while the store is down."""
        if self.store.is_up() or self.generator.random() < 0.5:
            self._change_row(running, None)

    async def _remove_registration(self, running: RunningProcess) -> None:
        """Remove the row of an ended process, also if a restore brings it back."""
        times = self.registration_times
        removed_in_era = None
        while not self._is_succeeded(running):
            delay = times.max_removal_delay - times.min_removal_delay
            await self.clock.sleep(
                times.min_removal_delay + delay * self.generator.random()
            )
            if self.store.era != removed_in_era:
                self._expire(running)
                if self.store.get(model.TABLES.targets, running.process.name) is None:
                    removed_in_era = self.store.era

    def _write(self, running: RunningProcess, remove: bool = False) -> bool:
        """Write or remove the row of a process if the store is up; return whether."""
        if self.store is None:
            return True
        if not self.store.is_up():
            return False
        value = None if remove else self.encode(running.build_target())
        self._change_row(running, value)
        return True

    def _change_row(self, running: RunningProcess, value: bytes | None) -> None:
        """Change the row of a process unless a later one of the same name has it."""
        table, name = model.TABLES.targets, running.process.name
        row = self.store.get(table, name)
        if not self._is_succeeded(running) and value != (
            row.value if row is not None else None
        ):
            self.store.put(table, name, value)

    def _is_succeeded(self, running: RunningProcess) -> bool:
        """Whether a later process of the same name has registered."""
        return any(
            item.process.name == running.process.name
            and item.process.life > running.process.life
            for item in self.processes
            if item.registered
        )

    # Orders that have arrived.

    async def carry_out_grant(
        self, running: RunningProcess, grant: target_processes.Grant
    ) -> str:
        """Carry out a grant now or late, and return its answer unless it is lost."""
        faults = self.order_faults
        arrived_at = self.clock.monotonic()
        if grant.target != running.process.name:
            return target_processes.REPLACED
        is_late = self.generator.random() < faults.late_grants
        if is_late:
            await self.clock.sleep(faults.max_lateness * self.generator.random())
        answer = self.apply_grant(running, grant, arrived_at)
        if is_late:
            await self._be_silent()
        self._lose_answer()
        return answer

    def apply_grant(
        self,
        running: RunningProcess,
        grant: target_processes.Grant,
        arrived_at: datetime.timedelta,
    ) -> str:
        """Let a process carry out a grant that arrived earlier."""
        if not running.running:
            raise ConnectionResetError
        now = self.clock.monotonic()
        answer = running.state.accept_grant(grant, arrived_at, now)
        end = running.state.get_end(grant, arrived_at)
        if answer == target_processes.ACCEPTED and end > now:
            for observer in self.observers:
                observer.record_grant(
                    now,
                    running.process,
                    grant.first,
                    grant.last,
                    grant.generation,
                    end,
                )
        return answer

    async def carry_out_release(
        self, running: RunningProcess, release: target_processes.Release
    ) -> str:
        """Carry out a release now or late; return the hand-over when work has ended."""
        faults = self.order_faults
        if self.generator.random() < faults.late_releases:
            await self.clock.sleep(faults.max_lateness * self.generator.random())
            self.apply_release(running, release)
            await self._be_silent()
        working_until = self.apply_release(running, release)
        await self.clock.sleep(working_until - self.clock.monotonic())
        while running.state.is_running(release.first, release.last):
            await self.clock.sleep(builders.MILLISECOND)
        if not running.running:
            raise ConnectionResetError
        self._lose_answer()
        return target_processes.build_handover(running.process, release)

    def apply_release(
        self, running: RunningProcess, release: target_processes.Release
    ) -> datetime.timedelta:
        """Let a process carry out a release; return when its requests have ended."""
        if not running.running:
            raise ConnectionResetError
        now = self.clock.monotonic()
        owned = [
            item.end
            for item in running.state.list_owned(now)
            if item.first <= release.last and release.first <= item.last
        ]
        working_until = now
        if owned:
            # A request that outlasts the ownership fails at its end.
            request_time = self.order_faults.max_request_time * self.generator.random()
            working_until = min(now + request_time, max(owned))
        running.state.accept_release(release)
        for observer in self.observers:
            observer.record_release(
                now, running.process, release.first, release.last, working_until
            )
        return working_until

    def _lose_answer(self) -> None:
        if self.generator.random() < self.order_faults.lost_answers:
            raise ConnectionResetError

    async def _be_silent(self) -> None:
        """Never answer; ends when the targets are closed."""
        await asyncio.get_running_loop().create_future()


class TargetConnection:
    """A connection to one process; implements `model.GrantConnection`.

    Parameters
    ----------
    targets : SimulatedTargets
    target : model.Target
        The target for which the connection was opened.
    running : RunningProcess
        The process that accepted the connection.
    link : deadlines.Link
    """

    def __init__(
        self,
        targets: SimulatedTargets,
        target: model.Target,
        running: RunningProcess,
        link: deadlines.Link,
    ):
        self.targets = targets
        self.target = target
        self.running = running
        self.link = link
        self.usable = True
        self.reset_by_target = False
        self.closed_at: datetime.timedelta | None = None

    def is_usable(self) -> bool:
        """Whether the target has neither closed the connection nor failed to answer."""
        return self.usable

    async def grant(
        self, holding: model.Holding, duration: datetime.timedelta, handover: str
    ) -> result.Result[None, Any]:
        """Grant or renew a range; see `model.GrantConnection.grant`."""
        targets = self.targets
        order = target_processes.Grant(
            self.target.name,
            holding.first,
            holding.last,
            holding.generation,
            duration,
            handover,
        )
        answered = False
        try:
            exchange = targets.tasks.start(self._exchange(order))
            answer = await deadlines.wait_for(
                targets.clock, exchange, outstanding.ORDER_TIMEOUT
            )
            answered = True
        except (ConnectionResetError, TimeoutError):
            return result.Failure(errors.ConnectionLost(self.target.name))
        finally:
            if not answered:
                self.close()
        if answer == target_processes.SUPERSEDED:
            failure = model.Superseded(self.target.name, holding.generation)
            return result.Failure(failure)
        if answer == target_processes.REPLACED:
            return result.Failure(model.TargetReplaced(self.target.name))
        if targets.generator.random() < targets.order_faults.closed_connections:
            self.usable = False
        return result.Success(None)

    async def _exchange(self, order: target_processes.Grant) -> str:
        targets = self.targets
        await self.link.pass_through()
        if self._is_reset() or not self.running.running:
            raise ConnectionResetError
        answer = await targets.carry_out_grant(self.running, order)
        await self.link.pass_through()
        if self.reset_by_target:
            raise ConnectionResetError
        return answer

    def _is_reset(self) -> bool:
        """Whether the reset of the connection precedes a message that arrives now.

        Messages on a working link overtake none, so that those sent shortly before the
        reset arrive before it.
        """
        if self.reset_by_target:
            return True
        if self.closed_at is None:
            return False
        open_for = self.targets.clock.monotonic() - self.closed_at
        return open_for > outstanding.MAX_TRANSIT

    async def receive_reset(self) -> None:
        """Notice that the process has ended, unless the link is cut."""
        await self.link.pass_through()
        self.usable = False

    def reset(self) -> None:
        """Let the target or the network reset the connection."""
        self.usable = False
        self.reset_by_target = True

    def close(self) -> None:
        """Reset the connection."""
        self.usable = False
        if self.closed_at is None:
            self.closed_at = self.targets.clock.monotonic()
        connections = self.running.connections
        connections[:] = [item for item in connections if item is not self]


class TargetView:
    """One instance's way of sending orders; implements `model.GrantChannel`.

    Parameters
    ----------
    targets : SimulatedTargets
    node : str
        Name of the instance.
    link_for_target : callable
        Returns the instance's link to a target.
    """

    def __init__(
        self, targets: SimulatedTargets, node: str, link_for_target: LinkForTarget
    ):
        self.targets = targets
        self.node = node
        self.link_for_target = link_for_target

    async def connect(
        self, target: model.Target
    ) -> result.Result[TargetConnection, errors.TargetUnavailable]:
        """Open a connection to the process at a target's address."""
        targets = self.targets
        try:
            opening = targets.tasks.start(self._open(target))
            connection = await deadlines.wait_for(
                targets.clock, opening, outstanding.ORDER_TIMEOUT
            )
        except (ConnectionRefusedError, ConnectionResetError, TimeoutError) as error:
            return result.Failure(errors.TargetUnavailable(target.name, repr(error)))
        return result.Success(connection)

    async def _open(self, target: model.Target) -> TargetConnection:
        link = self.link_for_target(target)
        await link.pass_through()
        running = self._find_process(target)
        connection = TargetConnection(self.targets, target, running, link)
        running.connections.append(connection)
        await link.pass_through()
        return connection

    async def release(
        self, target: model.Target, holding: model.Holding
    ) -> result.Result[str, Any]:
        """Release a range; see `model.GrantChannel.release`."""
        targets = self.targets
        order = target_processes.Release(
            target.name, holding.first, holding.last, holding.generation
        )
        try:
            exchange = targets.tasks.start(self._exchange_release(target, order))
            answer = await deadlines.wait_for(targets.clock, exchange, RELEASE_TIMEOUT)
        except ConnectionRefusedError as error:
            return result.Failure(errors.TargetUnavailable(target.name, repr(error)))
        except (ConnectionResetError, TimeoutError):
            return result.Failure(errors.ConnectionLost(target.name))
        if answer is None:
            return result.Failure(model.TargetReplaced(target.name))
        return result.Success(answer)

    async def _exchange_release(
        self, target: model.Target, order: target_processes.Release
    ) -> str | None:
        """Return the hand-over, or None if another target answers."""
        link = self.link_for_target(target)
        clock = self.targets.clock
        latest_arrival = clock.monotonic() + RELEASE_TIMEOUT + outstanding.MAX_TRANSIT
        await link.pass_through()
        if clock.monotonic() > latest_arrival:
            raise ConnectionResetError
        running = self._find_process(target)
        answer = None
        if running.process.name == order.target:
            answer = await self.targets.carry_out_release(running, order)
        await link.pass_through()
        return answer

    def _find_process(self, target: model.Target) -> RunningProcess:
        running = self.targets.get_process(target.host, target.port)
        if running is None:
            raise ConnectionRefusedError
        return running
