"""Runs a fleet whose targets name limits of requests per second.

    python -m dewstep_emulator.ownership.limits --seeds 0:100

The instances send requests to a target that names a limit, under a random schedule of
faults. The target counts what arrives: in any window, the requests of all instances
that know the limit. As on the platform, an instance that was frozen or cut off just
before is excused, and a restarted one until an answer has told it of the limit.
"""

import asyncio
import collections
import math
import random
from collections.abc import Iterator

import typer
from returns import result

from dewstep_emulator.ownership import (
    event_loop,
    faults as fault_kinds,
    instances,
    network,
    simulation,
)
from dewstep_fleet import builders

LIMITED_TARGET = "t01"
LIMIT_BEGINS = 8.0
"""Seconds after the start of a run; the keys have owners by then."""
STABLE_SECONDS = 3.0
"""Time after the beginning of a limit, or after a fault, in which it is not checked."""
NOTICE_SECONDS = 0.5
"""Time after an answer with a limit from which its instance counts."""
WINDOW_SECONDS = 4.0
RATES = (0.5, 3.0, 5.3, 20.0)
DEMAND_FACTOR = 6.0
"""Requests for the target relative to its limit."""
FAULT_KINDS = (
    "cut_off",
    "cut_off_peers",
    "cut_off_store",
    "cut_off_targets",
    "deafen",
    "freeze",
    "kill",
    "lose_host",
    "slow_network",
    "split",
    "stop",
    "store_outage",
    "store_unreachable",
)
"""Kinds of faults that befall instances and what they communicate with."""
MAX_FAULTS = 6


class Arrival:
    """A request that reached the target with a limit."""

    __slots__ = ("at", "excused")

    def __init__(self, at: float, excused: bool):
        self.at = at
        self.excused = excused


class LimitSimulation(simulation.Simulation):
    """A fleet that sends requests to a target with a limit.

    Parameters
    ----------
    loop : event_loop.EventLoop
    seed : int
    """

    def __init__(self, loop: event_loop.EventLoop, seed: int):
        super().__init__(loop, seed)
        generator = random.Random(f"{seed}/limits")
        self.rate = generator.choice(RATES)
        self.weights = [generator.paretovariate(1) for _ in self.instances]
        """Uneven shares of the requests."""
        self.arrivals: list[Arrival] = []
        self.told: dict[str, float] = {}
        """When each process first received an answer with the limit."""

    async def make_traffic(self) -> None:
        """Let the instances send requests to the target with a limit."""
        generator = random.Random(f"{self.seed}/requests")
        nodes = list(self.instances.values())
        while True:
            demand = DEMAND_FACTOR * max(self.rate, 1.0)
            await asyncio.sleep(generator.expovariate(demand))
            (instance,) = generator.choices(nodes, self.weights)
            incarnation = instance.current
            if incarnation is not None and LIMITED_TARGET in self.running_targets:
                work = self.send_request(incarnation)
                self.loop.spawn(incarnation.process, work)

    async def send_request(self, incarnation: instances.Incarnation) -> None:
        """Send one request, as `dispatch.Dispatcher` does."""
        process = self.running_targets[LIMITED_TARGET]
        target = incarnation.directory.targets.get(process.process.name)
        limits = incarnation.participant.limits
        if target is None:
            return
        acquired = await limits.acquire(target, builders.SECOND)
        if isinstance(acquired, result.Failure):
            return
        sent_at = incarnation.clock.monotonic()
        link = network.Link(
            self.network, incarnation.host, target.host, simulation.LINK_TIMEOUT_SECONDS
        )
        try:
            await link.pass_through()
            self.record_arrival(incarnation)
            names_limit = self.loop.now >= LIMIT_BEGINS
            await link.pass_through()
        except ConnectionResetError:
            return
        if names_limit:
            limits.record_named(target, self.rate)
            self.told.setdefault(incarnation.process.name, self.loop.now)
        else:
            limits.record_unnamed(target, sent_at)

    def record_arrival(self, incarnation: instances.Incarnation) -> None:
        """Record a request that reaches the target."""
        told_at = self.told.get(incarnation.process.name, math.inf)
        excused = (
            self.loop.now < told_at + NOTICE_SECONDS
            or self.was_frozen(incarnation)
            or self.was_cut_off(incarnation.host)
        )
        self.arrivals.append(Arrival(self.loop.now, excused))

    def was_frozen(self, incarnation: instances.Incarnation) -> bool:
        """Whether a process was frozen just before."""
        resumed_at = incarnation.resumed_at
        return (
            resumed_at is not None
            and self.loop.now - resumed_at < STABLE_SECONDS + WINDOW_SECONDS
        )

    def was_cut_off(self, host: str) -> bool:
        """Whether a path of a host is cut, or was just before."""
        since = self.loop.now - STABLE_SECONDS - WINDOW_SECONDS
        return any(
            path.cuts or (path.healed_at is not None and path.healed_at > since)
            for (source, destination), path in self.network.paths.items()
            if host in (source, destination)
        )

    async def await_service(self) -> None:
        """Check the arrivals at the end of the run."""
        for began, count in find_full_windows(self.arrivals, self.get_max_arrivals()):
            self.add_violation("limit", f"{count} requests from {began:.3f} s on")
        await super().await_service()

    def get_max_arrivals(self) -> float:
        """Return the number of requests that the rule allows in a window."""
        return 1.5 * self.rate * WINDOW_SECONDS + 5


def find_full_windows(
    arrivals: list[Arrival], allowed: float
) -> Iterator[tuple[float, int]]:
    """Yield the beginning and the count of each window with too many requests."""
    window: collections.deque[float] = collections.deque()
    for arrival in arrivals:
        if arrival.excused:
            continue
        window.append(arrival.at)
        while window[0] <= arrival.at - WINDOW_SECONDS:
            window.popleft()
        stable = arrival.at >= LIMIT_BEGINS + STABLE_SECONDS
        if stable and len(window) > allowed:
            yield window[0], len(window)


def draw_faults(seed: int, duration: float) -> tuple[fault_kinds.Fault, ...]:
    """Return the schedule of a seed."""
    generator = random.Random(f"{seed}/limit-faults")
    subjects = {"instance": simulation.list_nodes(), "none": ("",)}
    faults = [
        fault_kinds.draw_fault(
            generator,
            generator.choice(FAULT_KINDS),
            generator.uniform(LIMIT_BEGINS, duration),
            subjects,
        )
        for _ in range(generator.randrange(MAX_FAULTS + 1))
    ]
    return tuple(sorted(faults))


def run(
    seed: int,
    duration: float = 40.0,
    faults: tuple[fault_kinds.Fault, ...] | None = None,
) -> simulation.Report:
    """Run a fleet and report what happened; parameters as of `simulation.run`."""
    if faults is None:
        faults = draw_faults(seed, duration)
    return simulation.run(seed, duration, faults, LimitSimulation)


def main(seeds: str = "0:20", duration: float = 40.0) -> None:
    """Run seeds A to B - 1 and print the failing ones; exit with 1 if there are any."""
    first, last = map(int, seeds.split(":"))
    failing = 0
    for seed in range(first, last):
        report = run(seed, duration)
        if not report.violations:
            continue
        failing += 1
        print(f"seed {seed}", flush=True)
        for item in (*report.faults, *report.violations[:3]):
            print(f"  {item}")
    print(f"{last - first} seeds, {failing} failing")
    raise typer.Exit(1 if failing else 0)


if __name__ == "__main__":
    typer.run(main)
