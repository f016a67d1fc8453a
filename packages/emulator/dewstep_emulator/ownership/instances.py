"""Instances of the fleet as simulated processes.

An instance consists of the same objects as `dewstep_fleet.process.FleetProcess`, wired
in the same way, without its HTTP listeners. Its messages to the store and the targets
pass outside of its process, since what the kernel has sent arrives also if the process
is frozen or killed meanwhile.
"""

import asyncio
import functools
import random
from collections.abc import Callable, Coroutine, Iterator, Set
from typing import Any, NamedTuple

from dewstep_core import events, tasks
from dewstep_emulator.ownership import deadlines, event_loop, network
from dewstep_fleet import (
    coordination,
    directories,
    feeds,
    keys,
    load_counts,
    model,
    process as fleet_process,
)

MAX_CLOCK_DRIFT = 0.02
POLL_SECONDS = 0.05


class SortedNames(frozenset):
    """Set of strings whose order does not depend on the process's hash seed."""

    def __iter__(self) -> Iterator[str]:
        """Return the strings in their order."""
        return iter(sorted(super().__iter__()))


class SortedNameSet(set):
    """Mutable `SortedNames`."""

    def __iter__(self) -> Iterator[str]:
        """Return the strings in their order."""
        return iter(sorted(super().__iter__()))


class InsertionOrderedSet(dict):
    """Set of objects in the order in which they were added."""

    def add(self, item: Any) -> None:
        """Add an object."""
        self[item] = None

    def discard(self, item: Any) -> None:
        """Remove an object if it is there."""
        self.pop(item, None)


class RepeatableFeeds(feeds.TableFeeds):
    """Table feeds that start to follow tables in a repeatable order."""

    def follow(self, tables: Set[str], relays: bool) -> None:
        """Set the tables to follow."""
        super().follow(SortedNames(tables), relays)


def make_repeatable(participant: coordination.FleetParticipant) -> None:
    """Replace the sets whose order depends on addresses or on the hash seed."""
    participant.member_links.accepted = InsertionOrderedSet()
    granter = participant.granter
    reset = granter.reset

    def reset_repeatably() -> None:
        reset()
        granter.adoption.managed_services = SortedNameSet()

    granter.reset = reset_repeatably
    granter.reset()


class Platform(NamedTuple):
    """What the platform gives to each instance."""

    loop: event_loop.EventLoop
    network: network.Network
    build_store: Callable[["Instance"], model.Store]
    build_channel: Callable[["Instance"], model.GrantChannel]
    record_order: Callable[["Incarnation", model.Target, model.Holding], None]
    """Called when a process sends a grant."""
    decode_routes: Any
    decode_target: Any
    timing: model.Timing
    max_clock_drift: float = MAX_CLOCK_DRIFT


# Calls to the platform.


class OutsideTasks(deadlines.Tasks):
    """Tasks that run outside of the process that starts them.

    Parameters
    ----------
    loop : event_loop.EventLoop
    """

    def __init__(self, loop: event_loop.EventLoop):
        super().__init__()
        self.loop = loop

    def start(self, work: Coroutine) -> asyncio.Task:
        """Start a task."""
        context = self.loop.outside_context.copy()
        task = self.loop.create_task(work, context=context)
        self.tasks[task] = None
        task.add_done_callback(self._remove, context=context)
        return task


class RecordingConnection:
    """Connection whose grants are recorded when they are sent."""

    def __init__(
        self,
        channel: "RecordingChannel",
        target: model.Target,
        connection: model.GrantConnection,
    ):
        self.channel = channel
        self.target = target
        self.connection = connection

    def is_usable(self) -> bool:
        """Whether another grant can be sent."""
        return self.connection.is_usable()

    async def grant(self, holding, duration, handover):
        """Grant or renew a range; see `model.GrantConnection`."""
        self.channel.record_order(self.target, holding)
        return await self.connection.grant(holding, duration, handover)

    def close(self) -> None:
        """Reset the connection."""
        self.connection.close()


class RecordingChannel:
    """Channel whose grants are recorded when they are sent.

    Parameters
    ----------
    channel : model.GrantChannel
    record_order : callable
        Called with the target and the range of each grant.
    """

    def __init__(
        self,
        channel: model.GrantChannel,
        record_order: Callable[[model.Target, model.Holding], None],
    ):
        self.channel = channel
        self.record_order = record_order

    async def connect(self, target):
        """Open a connection for grants; see `model.GrantChannel`."""
        outcome = await self.channel.connect(target)
        return outcome.map(
            lambda connection: RecordingConnection(self, target, connection)
        )

    async def release(self, target, holding):
        """Release a range; see `model.GrantChannel`."""
        return await self.channel.release(target, holding)


# Instances.


class Incarnation:
    """One process of an instance.

    Parameters
    ----------
    instance : Instance
    platform : Platform
    number : int
        Number of the process among those of its instance.
    generator : random.Random
    """

    def __init__(
        self,
        instance: "Instance",
        platform: Platform,
        number: int,
        generator: random.Random,
    ):
        self.loop = platform.loop
        drift = platform.max_clock_drift * (2 * generator.random() - 1)
        self.process = event_loop.Process(
            f"{instance.node}-{number}",
            instance.host,
            self.loop.now,
            clock_rate=1 + drift,
            clock_start=generator.uniform(1e3, 1e5),
        )
        self.resumed_at: float | None = None
        """Virtual time at which the process was last resumed after a freeze."""
        self.host = instance.host
        self.failed: str | None = None
        """Name of a task that has failed."""
        self.process.context.run(self._build, instance, platform, number, generator)

    def _build(
        self,
        instance: "Instance",
        platform: Platform,
        number: int,
        generator: random.Random,
    ) -> None:
        self.clock = event_loop.LoopClock(self.loop)
        member = model.Member(
            instance.node,
            f"{instance.node}-{number}",
            instance.data_centre,
            instance.host,
            instance.port,
            instance.strength,
        )
        store = platform.build_store(instance)
        channel = RecordingChannel(
            platform.build_channel(instance),
            functools.partial(platform.record_order, self),
        )
        self.tasks = tasks.TaskOwner(self.handle_task_failure)
        self.directory = directories.Directory(
            self.clock, platform.decode_routes, platform.decode_target
        )
        self.feeds = RepeatableFeeds(store, self.directory, self.clock, generator)
        self.feeds.followed_tables = SortedNames(self.feeds.followed_tables)
        self.loads = load_counts.Loads()
        self.keys = keys.KeyCounter(generator)
        self.participant = coordination.FleetParticipant(
            member,
            self.directory,
            self.feeds,
            store,
            channel,
            self.clock,
            platform.timing,
            self.loads,
            self.keys.take_counts,
            generator,
        )
        make_repeatable(self.participant)

    async def run(self) -> None:
        """Start all tasks, as `FleetProcess.start` does."""
        await self.participant.start()
        self.tasks.spawn(self.feeds.run())
        self.tasks.spawn(self.participant.run())
        self.tasks.spawn(self.participant.register())

    async def stop(self) -> None:
        """Stop as after a SIGTERM, as `FleetProcess.stop` does without requests."""
        self.participant.stopping = True
        self.participant.schedule_heartbeat()
        await self.clock.sleep(fleet_process.BALANCER_REMOVAL_TIME)
        self.tasks.cancel()
        # The cancelled tasks close their connections.
        await asyncio.sleep(0)

    def handle_task_failure(self, error: BaseException, task: str) -> None:
        """Record that a task has failed, for which the process must end."""
        self.failed = f"{task}: {error!r}"
        events.exception("task_failed", error, task=task)


class Instance:
    """A machine of the fleet, with at most one process.

    Parameters
    ----------
    platform : Platform
    node, data_centre, host : str
    port : int
    seed : str
        Seed of the generators of its processes.
    strength : float, optional
    """

    def __init__(
        self,
        platform: Platform,
        node: str,
        data_centre: str,
        host: str,
        port: int,
        seed: str,
        strength: float = 1.0,
    ):
        self.platform = platform
        self.node = node
        self.data_centre = data_centre
        self.host = host
        self.port = port
        self.seed = seed
        self.strength = strength
        self.starts = 0
        self.current: Incarnation | None = None
        self.ended: list[Incarnation] = []
        """Kept so that their tasks are not collected as garbage during the run."""

    def start(self) -> Incarnation:
        """Start a process unless one runs."""
        if self.current is None:
            self.starts += 1
            generator = random.Random(f"{self.seed}/{self.node}/{self.starts}")
            self.current = Incarnation(self, self.platform, self.starts, generator)
            self.platform.loop.spawn(self.current.process, self.current.run())
        return self.current

    def kill(self, host_lost: bool = False) -> None:
        """End the process at once; with `host_lost`, its peers are not told."""
        if self.current is None:
            return
        incarnation, self.current = self.current, None
        self.ended.append(incarnation)
        self.platform.loop.end(incarnation.process)
        self.platform.network.end(incarnation.process, host_lost)

    async def stop(self) -> None:
        """Stop the process with SIGTERM, and SIGKILL at the end of the grace period."""
        incarnation = self.current
        if incarnation is None:
            return
        loop = self.platform.loop
        stopping = loop.spawn(incarnation.process, incarnation.stop())
        kill_at = loop.now + self.platform.timing.grace_period.total_seconds()
        while (
            self.current is incarnation and not stopping.done() and loop.now < kill_at
        ):
            await asyncio.sleep(POLL_SECONDS)
        if self.current is incarnation:
            self.kill()

    def freeze(self, callbacks: int = 0) -> Incarnation | None:
        """Freeze the process after a number of further callbacks; return it."""
        if self.current is not None:
            self.platform.loop.freeze(self.current.process, callbacks)
        return self.current

    def resume(self, incarnation: Incarnation | None) -> None:
        """Resume a frozen process if it has not been killed."""
        if incarnation is not None and incarnation is self.current:
            incarnation.resumed_at = self.platform.loop.now
            self.platform.loop.resume(incarnation.process)

    def is_coordinating(self) -> bool:
        """Whether the process runs and coordinates the fleet."""
        return self.current is not None and self.current.participant.coordinating
