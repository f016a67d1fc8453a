"""Runs a fleet under a random schedule of faults and checks who owns the keys.

    python -m dewstep_emulator.ownership.simulation --seeds 0:100 --jobs 2

A seed determines the schedule and everything that happens in the run. The schedule of
a failing seed is reduced to the faults without which it does not fail.
"""

import asyncio
import collections
import contextlib
import datetime
import functools
import gc
import itertools
import multiprocessing
import os
import random
import sys
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

import typer
from returns import result

from dewstep_core import errors, events, settings
from dewstep_emulator.ownership import (
    checks,
    event_loop,
    faults as fault_kinds,
    instances,
    network,
    stores,
    targets,
)
from dewstep_fleet import builders, frames, model

INSTANCE_COUNT = 6
TARGET_COUNT = 12
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
PORT = 7000
LINK_TIMEOUT_SECONDS = 5.0
"""Time for which a message to the store or a target waits for the end of a cut."""
UNFREEZE_SECONDS = 1.0
"""Grants that arrive so soon after their sender was resumed, or its path healed, break
no rule."""
RECOVERY_SECONDS = 60.0
"""Time after the end of all faults within which all keys must have owners."""
FINAL_RECOVERY_SECONDS = 15.0
"""Time after the end of a final fault from which on a quarter of all requests has to be
served; `recover` of the platform's settings."""
RECOVERED_SHARE = 0.25
NOT_RECOVERED = "not_recovered"
"""Kind of the violation that fewer keys have owners by then."""
KEY_REQUESTS = 4
"""Requests that each instance counts at a time."""
TRAFFIC_INTERVAL = 0.25
KEY_SPACING = 97
KEY_SPREAD = 4.0
"""Busy keys are `KEY_SPACING` apart, most within twice this number of the busiest."""
MAX_EVENTS = 20_000
"""Number of events after which a run ends; one of 60 s has 5,000 to 10,000."""
DECODED_FRAMES = 64
"""Number of decoded messages between instances that are kept."""
TRACE_EVENTS = 60
"""Number of events before the first violation that a trace contains."""


class Event(NamedTuple):
    """A log event of a process, or an event of the simulation."""

    at: float
    process: str
    name: str
    fields: tuple[tuple[str, Any], ...]

    def __str__(self):
        """Return the event as a line."""
        fields = " ".join(
            f"{name}={events.format_value(value)}" for name, value in self.fields
        )
        return f"{self.at:9.4f} {self.process:<8} {self.name} {fields}"


class Violation(NamedTuple):
    """A broken rule."""

    at: float
    kind: str
    detail: str


class Report(NamedTuple):
    """Result of one run."""

    seed: int
    faults: tuple[fault_kinds.Fault, ...]
    violations: tuple[Violation, ...]
    ended_at: float
    events: tuple[Event, ...]

    def trace(self) -> list[str]:
        """Return the last events until the first violation."""
        until = self.violations[0].at if self.violations else self.ended_at
        earlier = [str(event) for event in self.events if event.at <= until]
        return earlier[-TRACE_EVENTS:]


class Sender(NamedTuple):
    """Who sent a grant."""

    incarnation: instances.Incarnation
    target_host: str


class RefusableChannel:
    """Channel whose new connections are refused while its instance is cut off.

    Parameters
    ----------
    channel : model.GrantChannel
    is_refused : callable
    """

    def __init__(self, channel: model.GrantChannel, is_refused: Callable[[], bool]):
        self.channel = channel
        self.is_refused = is_refused

    async def connect(self, target):
        """Open a connection for grants; see `model.GrantChannel`."""
        if self.is_refused():
            return result.Failure(errors.TargetUnavailable(target.name, "refused"))
        return await self.channel.connect(target)

    async def release(self, target, holding):
        """Release a range over a new connection; see `model.GrantChannel`."""
        if self.is_refused():
            return result.Failure(errors.TargetUnavailable(target.name, "refused"))
        return await self.channel.release(target, holding)


class Simulation:
    """A fleet with its store, targets and faults; implements `targets.Observer`.

    Parameters
    ----------
    loop : event_loop.EventLoop
    seed : int
    """

    STORE_HOST = "store"

    def __init__(self, loop: event_loop.EventLoop, seed: int):
        self.loop = loop
        self.seed = seed
        self.random = random.Random(f"{seed}/simulation")
        self.network = network.Network(loop, random.Random(f"{seed}/network"))
        self.clock = event_loop.TrueClock(loop)
        self.store = stores.SimulatedStore(self.clock, random.Random(f"{seed}/store"))
        self.targets = targets.SimulatedTargets(
            self.clock, random.Random(f"{seed}/targets"), self.store, (self,)
        )
        self.store.tasks = instances.OutsideTasks(loop)
        self.targets.tasks = instances.OutsideTasks(loop)
        self.check = checks.OwnershipCheck()
        self.violations: list[Violation] = []
        self.events: list[Event] = []
        self.too_many_events = loop.create_future()
        self.senders: dict[tuple[str, int, int, int], Sender] = {}
        """Sender of each grant, by address, first key and generation number."""
        self.busiest_key = self.random.randrange(model.KEY_SPACE_SIZE)
        self.services = ("history", "search")[: self.random.randrange(1, 3)]
        self.restarts_under_name = self.random.random() < 0.5
        """Whether a target that starts again keeps its name, and registers its start
        time."""
        self.running_targets: dict[str, targets.RunningProcess] = {}
        """Last process of each target, by the name in the schedule."""
        self.target_starts = itertools.count(1)
        self.target_hosts = {name: f"host-{name}" for name in list_targets()}
        """Host of each target, by the name in the schedule."""
        self.refused_hosts: set[str] = set()
        """Hosts of instances whose new connections all targets refuse."""
        platform = instances.Platform(
            loop,
            self.network,
            self.build_store,
            self.build_channel,
            self.record_order,
            self.build_decoder(),
            builders.decode_target,
            builders.build_timing(),
        )
        self.instances = {
            node: instances.Instance(
                platform,
                node,
                DATA_CENTRES[number % len(DATA_CENTRES)],
                f"host-{node}",
                PORT,
                str(seed),
                self.random.choice((0.5, 1.0, 2.0)),
            )
            for number, node in enumerate(list_nodes())
        }

    # Parts.

    def build_decoder(self):
        """Return a decoder of the configuration, which never changes."""
        services = {name: model.Service(name, 100, True) for name in self.services}
        table = model.RouteTable(1, (), services, settings.CallerLimits(), 1024 * 1024)
        return lambda content: result.Success(table)

    def build_store(self, instance: instances.Instance) -> model.Store:
        """Return an instance's access to the store."""
        link = network.Link(
            self.network, instance.host, self.STORE_HOST, LINK_TIMEOUT_SECONDS
        )
        return self.store.view(instance.node, link)

    def build_channel(self, instance: instances.Instance) -> model.GrantChannel:
        """Return an instance's access to the targets."""

        def build_link(target: model.Target) -> network.Link:
            return network.Link(
                self.network, instance.host, target.host, LINK_TIMEOUT_SECONDS
            )

        channel = self.targets.view(instance.node, build_link)
        return RefusableChannel(channel, lambda: instance.host in self.refused_hosts)

    # Hosts.

    def find_instance(self, subject: str) -> instances.Instance:
        """Return the instance that a fault befalls."""
        if subject != fault_kinds.COORDINATOR:
            return self.instances[subject]
        for instance in self.instances.values():
            if instance.is_coordinating():
                return instance
        return self.random.choice(list(self.instances.values()))

    def list_target_hosts(self) -> list[str]:
        """Return the hosts of all targets."""
        return sorted(self.target_hosts.values())

    def list_hosts(self) -> list[str]:
        """Return all hosts."""
        hosts = [instance.host for instance in self.instances.values()]
        return [*hosts, self.STORE_HOST, *self.list_target_hosts()]

    def list_paths(self) -> list[tuple[str, str]]:
        """Return the paths between each instance and all other hosts."""
        paths = []
        for instance in self.instances.values():
            for host in self.list_hosts():
                paths += [(instance.host, host), (host, instance.host)]
        return paths

    @contextlib.contextmanager
    def cut_off(
        self, instance: instances.Instance, hosts: Iterable[str], both: bool = True
    ) -> Iterator[None]:
        """Cut the paths from some hosts to an instance and, with `both`, back."""
        paths = []
        for host in hosts:
            if host != instance.host:
                paths.append((host, instance.host))
                if both:
                    paths.append((instance.host, host))
        for path in paths:
            self.network.cut(*path)
        yield
        for path in paths:
            self.network.heal(*path)

    def start_target(self, subject: str) -> None:
        """Start the next process of a target unless it runs."""
        previous = self.running_targets.get(subject)
        if previous is not None and previous.running:
            return
        life = next(self.target_starts)
        name = subject
        if previous is not None and not self.restarts_under_name:
            name = f"{subject}-{life}"
        number = list_targets().index(subject)
        self.running_targets[subject] = self.targets.start(
            name,
            self.target_hosts[subject],
            service=self.services[number % len(self.services)],
            life=life,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            states_life=self.restarts_under_name,
        )

    # Changes of ownership.

    def record_order(
        self,
        incarnation: instances.Incarnation,
        target: model.Target,
        holding: model.Holding,
    ) -> None:
        """Record the sender of a grant."""
        grant = target.host, target.port, holding.first, holding.generation
        self.senders[grant] = Sender(incarnation, target.host)

    def is_excused(self, sender: Sender) -> bool:
        """Whether the sender was resumed or its path healed just now."""
        there = self.network.get_path(sender.incarnation.host, sender.target_host)
        back = self.network.get_path(sender.target_host, sender.incarnation.host)
        times = there.healed_at, back.healed_at, sender.incarnation.resumed_at
        return any(
            time is not None and 0 <= self.loop.now - time <= UNFREEZE_SECONDS
            for time in times
        )

    def record_grant(self, at, process, first, last, generation, end) -> None:
        """Check a grant that a target carries out."""
        sender = self.senders[process.host, process.port, first, generation]
        excused = self.is_excused(sender)
        known = len(self.check.violations)
        if not excused:
            self.check.record_grant(at, process, first, last, generation, end)
        fields = (
            ("target", process.name),
            ("life", process.life),
            ("first", first),
            ("last", last),
            ("generation", generation),
            ("end", end),
            ("sender", sender.incarnation.process.name),
            ("excused", excused),
        )
        self.add_event("target", "granted", fields)
        for violation in self.check.violations[known:]:
            self.add_violation(violation.problem, str(violation))

    def record_release(self, at, process, first, last, working_until) -> None:
        """Record a release that a target carries out."""
        self.check.record_release(at, process, first, last, working_until)
        fields = (("target", process.name), ("first", first), ("last", last))
        self.add_event("target", "released", fields)

    def record_end(self, at, process) -> None:
        """Record the end of a target's process."""
        self.check.record_end(at, process)
        self.add_event("target", "ended", (("target", process.name),))

    # The run.

    def spawn(self, work) -> asyncio.Task:
        """Start a task outside of all processes."""
        return self.loop.create_task(work, context=self.loop.outside_context.copy())

    async def run(self, duration: float, faults: tuple[fault_kinds.Fault, ...]) -> None:
        """Run until all faults have ended and all keys have owners."""
        self.store.put(model.TABLES.configuration, "config", b"")
        for subject in list_targets():
            self.start_target(subject)
        for instance in self.instances.values():
            self.loop.call_outside(self.random.random(), instance.start)
        work = self.spawn(self.run_faults(duration, faults))
        others = [
            self.spawn(self.make_traffic()),
            self.spawn(self.supervise()),
            self.spawn(self.await_too_many_events()),
        ]
        await asyncio.wait((work, *others), return_when=asyncio.FIRST_COMPLETED)
        for task in (work, *others):
            if task.done():
                task.result()
            task.cancel()
        for failure in self.loop.failures:
            error = failure.get("exception")
            self.add_violation("unhandled_error", f"{failure['message']}: {error!r}")

    async def await_too_many_events(self) -> None:
        """End the run when a process seems to do something without end."""
        await self.too_many_events
        names = collections.Counter(event.name for event in self.events[-1000:])
        self.add_violation("too_many_events", str(names.most_common(5)))

    async def run_faults(
        self, duration: float, faults: tuple[fault_kinds.Fault, ...]
    ) -> None:
        """Cause the faults, and wait until all keys have owners."""
        usual = [fault for fault in faults if not fault_kinds.is_final(fault)]
        await asyncio.gather(
            asyncio.sleep(duration),
            *(self.cause(fault, fault.at) for fault in usual),
        )
        await self.await_service()
        for fault in faults:
            if fault_kinds.is_final(fault):
                await self.cause(fault, 0.0)
                await self.check_recovery()
                await self.await_service()

    async def cause(self, fault: fault_kinds.Fault, pause: float) -> None:
        """Begin one fault after a pause, and end it."""
        await asyncio.sleep(pause)
        kind = fault_kinds.kinds.get(fault.kind)
        fields = (("subject", fault.subject), ("duration", fault.duration))
        with kind.cause(self, fault.subject):
            self.add_event("fault", f"{fault.kind}_begins", fields)
            await asyncio.sleep(fault.duration)
        self.add_event("fault", f"{fault.kind}_ends", fields)

    async def await_service(self) -> None:
        """Wait until all keys have owners."""
        began = self.loop.now
        while not self.is_served():
            if self.loop.now - began > RECOVERY_SECONDS:
                self.add_violation("not_served", "keys have no owner")
                return
            await asyncio.sleep(0.25)

    async def check_recovery(self) -> None:
        """Check that keys of each service soon have owners after a final fault."""
        await asyncio.sleep(FINAL_RECOVERY_SECONDS)
        for service in self.services:
            share = self.targets.count_owned(service) / model.KEY_SPACE_SIZE
            if share < RECOVERED_SHARE:
                detail = f"{share:.2f} of the keys of {service} have owners"
                self.add_violation(NOT_RECOVERED, detail)

    def is_served(self) -> bool:
        """Whether each key has an owner."""
        return all(
            self.targets.count_owned(service) == model.KEY_SPACE_SIZE
            for service in self.services
        )

    async def make_traffic(self) -> None:
        """Let all instances count requests for keys."""
        generator = random.Random(f"{self.seed}/traffic")
        while True:
            await asyncio.sleep(TRAFFIC_INTERVAL)
            for instance in self.instances.values():
                if instance.current is None:
                    continue
                if self.reaches_targets(instance):
                    incarnation = instance.current
                    seconds = incarnation.process.to_local(self.loop.now)
                    incarnation.participant.reachability.answered_at = (
                        datetime.timedelta(seconds=seconds)
                    )
                for service in self.services:
                    for _ in range(KEY_REQUESTS):
                        distance = KEY_SPACING * int(generator.gauss(0, KEY_SPREAD))
                        key = (self.busiest_key + distance) % model.KEY_SPACE_SIZE
                        instance.current.keys.count_request(service, key)

    def reaches_targets(self, instance: instances.Instance) -> bool:
        """Whether some target can answer the requests of an instance."""
        return any(
            process.running
            and instance.host not in self.refused_hosts
            and not self.network.get_path(instance.host, process.process.host).cuts
            and not self.network.get_path(process.process.host, instance.host).cuts
            for process in self.running_targets.values()
        )

    async def supervise(self) -> None:
        """Start an instance again if its process has failed."""
        while True:
            await asyncio.sleep(0.5)
            for instance in self.instances.values():
                if instance.current is not None and instance.current.failed:
                    detail = f"{instance.node}: {instance.current.failed}"
                    self.add_violation("process_failed", detail)
                    instance.kill()
                    instance.start()

    # Records.

    def add_violation(self, kind: str, detail: str) -> None:
        """Record a broken rule."""
        self.violations.append(Violation(self.loop.now, kind, detail))

    def add_event(
        self, process: str, name: str, fields: tuple[tuple[str, Any], ...]
    ) -> None:
        """Record an event of the simulation."""
        self.events.append(Event(self.loop.now, process, name, fields))
        if len(self.events) == MAX_EVENTS:
            self.too_many_events.set_result(None)

    def log(self, level: int, name: str, /, **fields: Any) -> None:
        """Record a log event; takes the place of `events.log`."""
        process = event_loop.current_process.get()
        self.add_event(
            "" if process is None else process.name, name, tuple(fields.items())
        )


def list_nodes() -> tuple[str, ...]:
    """Return the names of the instances."""
    return tuple(f"n{number}" for number in range(1, INSTANCE_COUNT + 1))


def list_targets() -> tuple[str, ...]:
    """Return the names of the targets in schedules."""
    return tuple(f"t{number:02}" for number in range(1, TARGET_COUNT + 1))


def draw_faults(seed: int, duration: float) -> tuple[fault_kinds.Fault, ...]:
    """Return the schedule of a seed."""
    generator = random.Random(f"{seed}/faults")
    subjects = {
        "instance": list_nodes(),
        "target": list_targets(),
        "none": ("",),
    }
    return fault_kinds.draw_schedule(generator, duration, subjects)


@contextlib.contextmanager
def recording_events(log: Callable) -> Iterator[None]:
    """Let a function take the place of the event log."""
    previous, events.log = events.log, log
    try:
        yield
    finally:
        events.log = previous


@contextlib.contextmanager
def sharing_frames() -> Iterator[None]:
    """Decode a message between instances once for all of its receivers.

    Most members receive the same heartbeat, and a decoded message is never changed.
    """
    decode = frames.decode
    frames.decode = functools.lru_cache(DECODED_FRAMES)(decode)
    try:
        yield
    finally:
        frames.decode = decode


def run(
    seed: int,
    duration: float = 60.0,
    faults: tuple[fault_kinds.Fault, ...] | None = None,
    build: Callable[[event_loop.EventLoop, int], Simulation] = Simulation,
) -> Report:
    """Run a fleet and report what happened.

    Parameters
    ----------
    seed : int
    duration : float, optional
        Seconds within which faults begin.
    faults : tuple of Fault, optional
        Schedule to run in place of the one of the seed.
    build : callable, optional
        Returns the simulation for an event loop and a seed.
    """
    if faults is None:
        faults = draw_faults(seed, duration)
    loop = event_loop.EventLoop(random.Random(f"{seed}/loop"))
    simulation = None

    async def main() -> None:
        nonlocal simulation
        simulation = build(loop, seed)
        with recording_events(simulation.log):
            await simulation.run(duration, faults)

    collecting = gc.isenabled()
    # Collecting garbage would take a third of the time of a run.
    gc.disable()
    try:
        with sharing_frames():
            loop.run(main())
    finally:
        with recording_events(lambda *arguments, **fields: None):
            loop.close()
        if collecting:
            gc.enable()
    return Report(
        seed, faults, tuple(simulation.violations), loop.now, tuple(simulation.events)
    )


def reduce(
    seed: int, faults: tuple[fault_kinds.Fault, ...], duration: float = 60.0
) -> tuple[fault_kinds.Fault, ...]:
    """Drop faults while the run still breaks the rule that it breaks first."""

    def find_first(schedule: tuple[fault_kinds.Fault, ...]) -> str | None:
        violations = run(seed, duration, schedule).violations
        return violations[0].kind if violations else None

    kind = find_first(faults)
    position = 0
    while position < len(faults):
        fewer = faults[:position] + faults[position + 1 :]
        if find_first(fewer) == kind:
            faults = fewer
        else:
            position += 1
    return faults


def run_and_reduce(task: tuple[int, float]) -> Report:
    """Run a seed, with a reduced schedule if it breaks a rule."""
    seed, duration = task
    report = run(seed, duration)
    if not report.violations:
        return report._replace(events=())
    return run(seed, duration, reduce(seed, report.faults, duration))


def main(
    seeds: str = "0:20", jobs: int = 1, duration: float = 60.0, trace: bool = False
) -> None:
    """Run seeds A to B - 1 and print the failing ones; exit with 1 if there are any."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        # Some sets of strings in the libraries are ordered by hash.
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        os.execve(sys.executable, [sys.executable, *sys.orig_argv[1:]], environment)
    first, last = map(int, seeds.split(":"))
    tasks = [(seed, duration) for seed in range(first, last)]
    failing = 0
    with multiprocessing.Pool(jobs) as pool:
        for report in pool.imap(run_and_reduce, tasks):
            if not report.violations:
                continue
            failing += 1
            print(f"seed {report.seed}", flush=True)
            for fault in report.faults:
                print(f"  {fault}")
            for violation in report.violations[:3]:
                print(f"  {violation}")
            if trace:
                print("\n".join(report.trace()))
    print(f"{len(tasks)} seeds, {failing} failing")
    raise typer.Exit(1 if failing else 0)


if __name__ == "__main__":
    typer.run(main)
