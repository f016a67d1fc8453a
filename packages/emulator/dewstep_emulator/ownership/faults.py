"""Kinds of faults and random schedules of them.

Each kind is a context manager that begins the fault and ends it, registered under its
name with what it may befall. A subject is named when the schedule is drawn; the subject
`COORDINATOR` stands for the instance that coordinates when the fault begins.
"""

import contextlib
import datetime
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from dewstep_core import registry
from dewstep_emulator.ownership import network, stores, targets
from dewstep_fleet import model

COORDINATOR = "coordinator"
MAX_GROUPS = 5
MAX_GROUP_SIZE = 5
GROUP_SECONDS = 3.0
"""Time within which the faults of a group begin."""
FINAL_FAULT_SHARE = 0.25
"""Probability that a random schedule ends with a final fault."""
NEW_HOSTS_SHARE = 0.7
"""Probability that lost targets start again on new hosts after a final fault."""
COORDINATOR_SHARE = 0.5
"""Probability that a fault of an instance befalls the coordinator."""


class Fault(NamedTuple):
    """One fault of a schedule."""

    at: float
    """Seconds after the start of the run."""
    kind: str
    subject: str
    duration: float


class FaultKind(NamedTuple):
    """How to draw a fault of one kind, and how to cause it."""

    cause: Callable[[Any, str], Any]
    """Returns a context manager; takes the simulation and the subject."""
    subjects: str
    """`"instance"`, `"target"` or `"none"`."""
    min_duration: float
    max_duration: float
    drawn: bool = True
    """Whether random schedules contain it; the others are for named schedules."""
    final: bool = False
    """Whether it begins when all other faults have ended and all keys have owners."""


kinds: registry.Registry[FaultKind] = registry.Registry("fault kind")


def register(
    name: str,
    subjects: str,
    min_duration: float,
    max_duration: float,
    drawn: bool = True,
    final: bool = False,
):
    """Return a decorator that registers a generator function as a kind of fault."""

    def add(function):
        cause = contextlib.contextmanager(function)
        kinds.register(name)(
            FaultKind(cause, subjects, min_duration, max_duration, drawn, final)
        )
        return cause

    return add


def draw_schedule(
    generator: random.Random,
    duration: float,
    subjects: dict[str, tuple[str, ...]],
) -> tuple[Fault, ...]:
    """Return random faults in the order of their beginning.

    Faults come in groups that begin together, since the rules are broken by faults that
    overlap. A final fault may follow them.

    Parameters
    ----------
    generator : random.Random
    duration : float
        Seconds within which they begin.
    subjects : dict of str to tuple of str
        Names by the kind of subject.
    """
    drawn = [name for name in sorted(kinds) if kinds.get(name).drawn]
    names = [name for name in drawn if not kinds.get(name).final]
    final_names = [name for name in drawn if kinds.get(name).final]
    faults = []
    for _ in range(generator.randrange(1, MAX_GROUPS + 1)):
        began = generator.random() * duration
        for _ in range(generator.randrange(1, MAX_GROUP_SIZE + 1)):
            at = min(began + GROUP_SECONDS * generator.random(), duration)
            faults.append(draw_fault(generator, generator.choice(names), at, subjects))
    if generator.random() < FINAL_FAULT_SHARE:
        name = generator.choice(final_names)
        faults.append(draw_fault(generator, name, duration, subjects))
    return tuple(sorted(faults))


def is_final(fault: Fault) -> bool:
    """Whether a fault begins when all others have ended."""
    return kinds.get(fault.kind).final


def draw_fault(
    generator: random.Random, name: str, at: float, subjects: dict[str, tuple[str, ...]]
) -> Fault:
    """Return a fault of one kind with a random subject and duration."""
    kind = kinds.get(name)
    subject = generator.choice(subjects[kind.subjects])
    if kind.subjects == "instance" and generator.random() < COORDINATOR_SHARE:
        subject = COORDINATOR
    # Short faults are as frequent as long ones.
    spread = kind.max_duration / kind.min_duration
    lasted = kind.min_duration * spread ** generator.random()
    return Fault(round(at, 3), name, subject, round(lasted, 3))


# Faults of instances.


@register("freeze", "instance", 0.2, 12.0)
def freeze(simulation, subject):
    """Freeze a process after some of its next callbacks."""
    instance = simulation.find_instance(subject)
    incarnation = instance.freeze(simulation.random.randrange(20))
    yield
    instance.resume(incarnation)


@register("kill", "instance", 0.3, 8.0)
def kill(simulation, subject):
    """Kill a process, which starts again."""
    instance = simulation.find_instance(subject)
    instance.kill()
    yield
    instance.start()


@register("lose_host", "instance", 0.5, 8.0)
def lose_host(simulation, subject):
    """Lose a host without a sign to its peers."""
    instance = simulation.find_instance(subject)
    instance.kill(host_lost=True)
    with simulation.cut_off(instance, simulation.list_hosts()):
        yield
    instance.start()


@register("stop", "instance", 3.0, 8.0)
def stop(simulation, subject):
    """Stop a process with SIGTERM; it starts again."""
    instance = simulation.find_instance(subject)
    simulation.spawn(instance.stop())
    yield
    instance.kill()
    instance.start()


@register("cut_off", "instance", 0.3, 15.0)
def cut_off(simulation, subject):
    """Cut an instance off from everything."""
    instance = simulation.find_instance(subject)
    with simulation.cut_off(instance, simulation.list_hosts()):
        yield


@register("cut_off_peers", "instance", 0.3, 15.0)
def cut_off_peers(simulation, subject):
    """Cut an instance off from the other instances."""
    instance = simulation.find_instance(subject)
    hosts = [item.host for item in simulation.instances.values()]
    with simulation.cut_off(instance, hosts):
        yield


@register("cut_off_store", "instance", 0.3, 15.0)
def cut_off_store(simulation, subject):
    """Cut an instance off from the store."""
    instance = simulation.find_instance(subject)
    with simulation.cut_off(instance, [simulation.STORE_HOST]):
        yield


@register("cut_off_targets", "instance", 0.3, 15.0)
def cut_off_targets(simulation, subject):
    """Cut an instance off from all targets."""
    instance = simulation.find_instance(subject)
    with simulation.cut_off(instance, simulation.list_target_hosts()):
        yield


@register("refuse_at_targets", "instance", 0.3, 15.0, drawn=False)
def refuse_at_targets(simulation, subject):
    """Let all targets refuse an instance's new connections; open ones live on."""
    host = simulation.find_instance(subject).host
    simulation.refused_hosts.add(host)
    yield
    simulation.refused_hosts.discard(host)


@register("reset_at_targets", "instance", 0.3, 15.0, drawn=False)
def reset_at_targets(simulation, subject):
    """Reset an instance's connections to all targets, and refuse new ones."""
    host = simulation.find_instance(subject).host
    for running in simulation.targets.list_running():
        for connection in running.connections:
            if connection.link.there is simulation.network.get_path(
                host, running.process.host
            ):
                connection.reset()
    simulation.refused_hosts.add(host)
    yield
    simulation.refused_hosts.discard(host)


@register("deafen", "instance", 0.3, 8.0)
def deafen(simulation, subject):
    """Cut the paths from the other instances to one, in this direction only."""
    instance = simulation.find_instance(subject)
    hosts = [item.host for item in simulation.instances.values()]
    with simulation.cut_off(instance, hosts, both=False):
        yield


@register("split", "instance", 2.0, 20.0)
def split(simulation, subject):
    """Cut a minority of the instances off from the others, which lose the store.

    The minority may also be cut off from some targets.
    """
    first = simulation.find_instance(subject)
    others = [item for item in simulation.instances.values() if item is not first]
    count = simulation.random.randrange(1, len(simulation.instances) // 2)
    minority = simulation.random.sample(others, count)
    majority = [item for item in (first, *others) if item not in minority]
    hosts = [item.host for item in minority]
    target_hosts = simulation.list_target_hosts()
    count = simulation.random.choice((0, 1, len(target_hosts) // 3))
    target_hosts = simulation.random.sample(target_hosts, count)
    with contextlib.ExitStack() as stack:
        for instance in majority:
            stack.enter_context(
                simulation.cut_off(instance, [*hosts, simulation.STORE_HOST])
            )
        for instance in minority:
            stack.enter_context(simulation.cut_off(instance, target_hosts))
        yield


@register("slow_network", "none", 0.5, 10.0)
def slow_network(simulation, subject):
    """Delay and lose packets everywhere."""
    conditions = network.Conditions(
        max_delay=simulation.random.uniform(0.005, 0.12),
        loss=simulation.random.uniform(0, 0.1),
    )
    paths = simulation.list_paths()
    for path in paths:
        simulation.network.set_conditions(*path, conditions)
    yield
    for path in paths:
        simulation.network.set_conditions(*path, network.USUAL)


# Faults of the store.


@contextlib.contextmanager
def refusing(simulation, refusal):
    """Let the store refuse calls."""
    simulation.store.refusals.append(refusal)
    yield
    simulation.store.refusals.remove(refusal)


def draw_refusal(generator):
    """Return a way to refuse calls."""
    ways = stores.UNAVAILABLE, stores.RATE_EXCEEDED, stores.RESET, stores.SILENT
    return generator.choice(ways)


@register("store_outage", "none", 0.3, 15.0)
def store_outage(simulation, subject):
    """Let the store refuse all calls."""
    with refusing(simulation, stores.Refusal(draw_refusal(simulation.random))):
        yield


@register("store_refuses_some_calls", "none", 0.3, 15.0)
def store_refuses_some_calls(simulation, subject):
    """Let the store refuse one kind of call."""
    calls = (simulation.random.choice(stores.CALLS),)
    refusal = stores.Refusal(draw_refusal(simulation.random), calls)
    with refusing(simulation, refusal):
        yield


@register("store_rejects", "instance", 0.3, 15.0)
def store_rejects(simulation, subject):
    """Let the store refuse the calls of one instance or of most."""
    instance = simulation.find_instance(subject)
    others = [node for node in simulation.instances if node != instance.node]
    count = simulation.random.choice((0, 0, 1, 3, 4))
    nodes = (instance.node, *simulation.random.sample(others, count))
    refusal = stores.Refusal(draw_refusal(simulation.random), nodes=nodes)
    with refusing(simulation, refusal):
        yield


@register("store_unreachable", "none", 0.3, 15.0)
def store_unreachable(simulation, subject):
    """Let no packet reach the store."""
    with contextlib.ExitStack() as stack:
        for instance in simulation.instances.values():
            stack.enter_context(simulation.cut_off(instance, [simulation.STORE_HOST]))
        yield


@register("outdated_reads", "none", 0.5, 10.0)
def outdated_reads(simulation, subject):
    """Let reads and watches return old rows; the subject may be their age."""
    seconds = float(subject) if subject else simulation.random.uniform(0.1, 6.0)
    simulation.store.read_age = datetime.timedelta(seconds=seconds)
    yield
    simulation.store.read_age = datetime.timedelta()


@register("slow_store", "none", 0.5, 10.0)
def slow_store(simulation, subject):
    """Let all calls to the store take longer."""
    simulation.store.slowness = simulation.random.uniform(5, 50)
    yield
    simulation.store.slowness = 1.0


@register("commit_faults", "none", 0.5, 10.0)
def commit_faults(simulation, subject):
    """Let transactions be late or lose their answers."""
    simulation.store.commit_faults = stores.CommitFaults(
        simulation.random.random() / 2, simulation.random.random() / 2
    )
    yield
    simulation.store.commit_faults = stores.CommitFaults()


@register("drop_history", "none", 0.1, 0.2)
def drop_history(simulation, subject):
    """Let the store forget its changes."""
    simulation.store.drop_history()
    yield


@register("restore", "none", 0.1, 6.0)
def restore(simulation, subject):
    """Restore the store from a copy that is some seconds old after an outage."""
    with refusing(simulation, stores.Refusal(stores.UNAVAILABLE)):
        yield
    seconds = simulation.random.choice((0.2, 1.0, 4.0)) * simulation.random.random()
    # The copy is at least as old as the outage, in which nothing was written.
    simulation.store.restore(datetime.timedelta(seconds=seconds))


@register("restore_and_restart", "none", 0.5, 5.0, final=True)
def restore_and_restart(simulation, subject):
    """Restart everything while the store is away, which returns from an older copy.

    The copy may be from before, during or after the start of the fleet. A third of the
    targets may run on, with grants of which the copy does not tell. The others start on
    their hosts or on new ones, where nothing shows that the earlier ones have ended.
    """
    for instance in simulation.instances.values():
        instance.kill()
    names = list(simulation.running_targets)
    spared = simulation.random.choice((0, 0, len(names) // 3))
    crashed = simulation.random.sample(names, len(names) - spared)
    for name in crashed:
        simulation.targets.crash(simulation.running_targets[name])
    if simulation.random.random() < NEW_HOSTS_SHARE:
        for name in crashed:
            simulation.target_hosts[name] = f"new-host-{name}"
    with refusing(simulation, stores.Refusal(stores.UNAVAILABLE)):
        yield
    max_age = simulation.random.choice((1.0, 8.0, simulation.loop.now))
    seconds = max_age * simulation.random.random()
    simulation.store.restore(datetime.timedelta(seconds=seconds))
    for name in crashed:
        simulation.start_target(name)
    for instance in simulation.instances.values():
        instance.start()


@register("restore_to_before_start", "target", 3.5, 6.0, drawn=False, final=True)
def restore_to_before_start(simulation, subject):
    """Restore the store from a copy of before the fleet's start after an outage.

    All instances are killed at the end of the outage, in which targets have received
    long grants. One target does not reach the store from then on, so that it does not
    register again.
    """
    running = simulation.running_targets[subject]
    running.reaches_store = False
    with refusing(simulation, stores.Refusal(stores.UNAVAILABLE)):
        yield
        for instance in simulation.instances.values():
            instance.kill()
    row = model.TABLES.targets, running.process.name
    simulation.store.written_outside.pop(row, None)
    simulation.store.restore(datetime.timedelta(seconds=simulation.loop.now + 1))
    for instance in simulation.instances.values():
        instance.start()


# Faults of targets.


@register("crash_target", "target", 0.05, 4.0)
def crash_target(simulation, subject):
    """Crash a target, which starts again."""
    simulation.targets.crash(simulation.running_targets[subject])
    yield
    simulation.start_target(subject)


@register("crash_targets", "none", 0.05, 4.0)
def crash_targets(simulation, subject):
    """Crash a third of the targets, which start again."""
    names = list(simulation.running_targets)
    chosen = simulation.random.sample(names, len(names) // 3)
    for name in chosen:
        simulation.targets.crash(simulation.running_targets[name])
    yield
    for name in chosen:
        simulation.start_target(name)


@register("exchange_hosts", "target", 0.05, 4.0, drawn=False)
def exchange_hosts(simulation, subject):
    """Crash a target and another one; each starts again on the host of the other."""
    hosts = simulation.target_hosts
    other = simulation.random.choice([name for name in hosts if name != subject])
    for name in (subject, other):
        simulation.targets.crash(simulation.running_targets[name])
    hosts[subject], hosts[other] = hosts[other], hosts[subject]
    yield
    for name in (subject, other):
        simulation.start_target(name)


@register("leave", "target", 0.5, 8.0)
def leave(simulation, subject):
    """Let a target leave; it starts again once it has ended."""
    running = simulation.running_targets[subject]
    simulation.targets.leave(running, announced=simulation.random.random() < 0.7)
    yield
    simulation.targets.crash(running)
    simulation.start_target(subject)


@register("cut_off_target", "target", 0.3, 10.0)
def cut_off_target(simulation, subject):
    """Cut a target off from some of the instances."""
    host = simulation.running_targets[subject].process.host
    nodes = list(simulation.instances.values())
    count = simulation.random.choice((1, 3, len(nodes)))
    with contextlib.ExitStack() as stack:
        for instance in simulation.random.sample(nodes, count):
            stack.enter_context(simulation.cut_off(instance, [host]))
        yield


@register("cut_off_some_targets", "none", 2.0, 15.0)
def cut_off_some_targets(simulation, subject):
    """Cut a third of the targets off from all instances but one."""
    target_hosts = simulation.list_target_hosts()
    chosen = simulation.random.sample(target_hosts, len(target_hosts) // 3)
    spared = simulation.find_instance(COORDINATOR)
    with contextlib.ExitStack() as stack:
        for instance in simulation.instances.values():
            if instance is not spared:
                stack.enter_context(simulation.cut_off(instance, chosen))
        yield


@register("reset_target", "target", 0.1, 0.2)
def reset_target(simulation, subject):
    """Reset all connections of a target."""
    simulation.targets.reset_connections(simulation.running_targets[subject])
    yield


@register("silent_registration", "target", 0.5, 6.0)
def silent_registration(simulation, subject):
    """Let a target not reach the store."""
    running = simulation.running_targets[subject]
    running.reaches_store = False
    yield
    running.reaches_store = True


@register("order_faults", "none", 0.3, 8.0)
def order_faults(simulation, subject):
    """Let orders be carried out late or lose their answers."""
    shares = [simulation.random.random() ** 2 / 2 for _ in range(4)]
    simulation.targets.order_faults = targets.OrderFaults(*shares)
    yield
    simulation.targets.order_faults = targets.OrderFaults()


@register("slow_clocks", "none", 1.0, 30.0, drawn=False)
def slow_clocks(simulation, subject):
    """Let the clocks of all running targets be as slow as the platform allows."""
    states = [running.state for running in simulation.targets.list_running()]
    usual = [state.clock_slowness for state in states]
    for state in states:
        state.clock_slowness = targets.MAX_CLOCK_SLOWNESS
    yield
    for state, slowness in zip(states, usual, strict=True):
        state.clock_slowness = slowness


@register("hot_keys", "none", 1.0, 10.0)
def hot_keys(simulation, subject):
    """Move the busy keys."""
    simulation.busiest_key = simulation.random.randrange(model.KEY_SPACE_SIZE)
    yield
