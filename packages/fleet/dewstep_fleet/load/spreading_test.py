"""Tests of the spread of requests over targets by old totals."""

import heapq
import random
import statistics
from typing import NamedTuple

import pytest

from dewstep_fleet import builders, frames, load_counts, selection

WORK_S = 0.16
QUEUE_LIMIT = 16
TARGET_COUNT = 12
DURATION_S = 2.4


class Course(NamedTuple):
    """What the requests of a run met."""

    found: float
    """Mean number of requests that were at the chosen target."""
    turned_away: float
    """Fraction of requests that found a full queue."""
    completion: float
    """Mean time of the served requests in seconds."""
    served: int
    """Number of requests that ended."""
    remote: float
    """Fraction of requests sent to another data centre."""


def choose_cheapest(targets, loads, now, data_centre, exchange_bytes, generator):
    """Return the target with the lowest cost, as all instances did before."""

    def compute_cost(target):
        estimate = loads.estimate(target.service, target.name, now, target.slots, "r")
        wait = selection.estimate_wait(estimate, target.slots)
        return (wait + estimate.service) * (1 + 0.1 * generator.random())

    return selection.Choice(min(targets, key=compute_cost), None, 0.0)


class Fleet:
    """Instances that choose from the same totals, and targets with a queue."""

    def __init__(self, instances, age, load, data_centres=1, choose=None):
        self.choose = choose or selection.choose_target
        self.random = random.Random(1)
        self.choices = random.Random(2)
        names = [f"target-{number}" for number in range(TARGET_COUNT)]
        zones = [f"dc-{number % data_centres}" for number in range(TARGET_COUNT)]
        self.targets = [
            builders.build_target(name, data_centre=zone)
            for name, zone in zip(names, zones, strict=True)
        ]
        speeds = [0.5 + number / (TARGET_COUNT - 1) for number in range(TARGET_COUNT)]
        self.random.shuffle(speeds)
        self.seconds = {
            name: WORK_S / speed for name, speed in zip(names, speeds, strict=True)
        }
        self.instances = [load_counts.Loads() for _ in range(instances)]
        for loads in self.instances:
            loads.typical_seconds["history"] = WORK_S
            for name in names:
                loads.get_load(name).slowness = self.seconds[name] / WORK_S
        self.data_centres = data_centres
        self.rate = load * sum(speeds) * self.targets[0].slots / WORK_S
        # Totals are counted and received at this interval, and half of `age` old then.
        self.interval = age / 2
        self.running = dict.fromkeys(names, 0)
        self.waiting = {name: [] for name in names}
        self.ends = []
        self.totals = ()

    def exchange_totals(self, now):
        """Give all instances the totals of last time, and count again."""
        sums = dict.fromkeys(self.running, 0)
        for loads in self.instances:
            loads.apply_totals(self.totals, now)
            for load in loads.collect_report():
                sums[load.target] += load.running
        self.totals = tuple(
            frames.Total(frames.hash_target_name(name), count, 1.0)
            for name, count in sums.items()
        )

    def start(self, name, sender, arrived, work, now):
        """Begin to run a request."""
        self.running[name] += 1
        end = now + self.seconds[name] * work
        heapq.heappush(self.ends, (end, name, sender, arrived))

    def run(self):
        """Return what the requests met after the first third of the time."""
        found, times, turned_away, remote = [], [], 0, 0
        next_request, next_totals = 0.0, 0.0
        while True:
            next_end = self.ends[0][0] if self.ends else DURATION_S
            now = min(next_request, next_totals, next_end)
            if now >= DURATION_S:
                break
            if now == next_totals:
                self.exchange_totals(now)
                next_totals += self.interval
            elif now == next_end:
                _, name, sender, arrived = heapq.heappop(self.ends)
                self.running[name] -= 1
                self.instances[sender].end_request(
                    "history", name, now, now - arrived, True, False, "r"
                )
                if now > DURATION_S / 3:
                    times.append(now - arrived)
                if self.waiting[name]:
                    self.start(name, *self.waiting[name].pop(0), now)
            else:
                next_request += self.random.expovariate(self.rate)
                sender = self.random.randrange(len(self.instances))
                request = sender, now, self.random.uniform(0.5, 1.5)
                zone = f"dc-{sender % self.data_centres}"
                loads = self.instances[sender]
                choice = self.choose(self.targets, loads, now, zone, 6500, self.choices)
                name = choice.target.name
                if now > DURATION_S / 3:
                    found.append(self.running[name] + len(self.waiting[name]))
                    remote += choice.target.data_centre != zone
                    turned_away += len(self.waiting[name]) >= QUEUE_LIMIT
                if len(self.waiting[name]) >= QUEUE_LIMIT:
                    continue
                loads.begin_request(name)
                if self.running[name] < choice.target.slots:
                    self.start(name, *request, now)
                else:
                    self.waiting[name].append(request)
        return Course(
            statistics.mean(found),
            turned_away / len(found),
            statistics.mean(times),
            len(times),
            remote / len(found),
        )


@pytest.mark.parametrize("load", [0.5, 0.8, 2.0])
@pytest.mark.parametrize("age", [0.05, 0.12, 0.25])
@pytest.mark.parametrize("instances", [9, 12, 62, 80])
def test_instances_with_the_same_old_totals_spread(instances, age, load):
    # Guards against all instances sending to the same few targets until the next
    # totals, where 8 to 20 requests wait although other targets are free.
    course = Fleet(instances, age, load).run()
    if load < 1:
        # Fewer than one and a half service times of work, and no queue of 16.
        assert course.found < (4 if load == 0.5 else 7)
        assert course.turned_away < 0.01
    else:
        # Half of the requests cannot be served, and no more are turned away.
        assert course.turned_away < 0.57
    cheapest = Fleet(instances, age, load, choose=choose_cheapest).run()
    if load < 1:
        assert course.completion < cheapest.completion
        assert course.turned_away <= cheapest.turned_away
    else:
        # No slot is idle that the former choice kept busy.
        assert course.served > 0.97 * cheapest.served


@pytest.mark.parametrize("load, most", [(0.5, 0.06), (0.8, 0.25)])
@pytest.mark.parametrize("instances", [12, 62])
def test_requests_stay_in_their_data_centre_while_it_has_free_slots(
    instances, load, most
):
    # Guards against paying for traffic between data centres that saves no time.
    assert Fleet(instances, 0.25, load, data_centres=3).run().remote < most


def count_remote(home_running, remote_running=0, home=1, seeds=200):
    """Return the part of requests that leave a data centre with `home` targets."""
    targets = [builders.build_target(f"near-{number}") for number in range(home)]
    targets += [
        builders.build_target(f"far-{number}", data_centre="dc-2")
        for number in range(6)
    ]
    loads = load_counts.Loads()
    totals = tuple(
        frames.Total(
            frames.hash_target_name(target.name),
            home_running if target.data_centre == "dc-1" else remote_running,
            1.0,
        )
        for target in targets
    )
    loads.set_targets({target.name for target in targets}, 0.0)
    loads.apply_totals(totals, 0.0)
    loads.apply_totals(totals, 0.12)
    chosen = [
        selection.choose_target(
            targets, loads, 0.2, "dc-1", 6_500, random.Random(seed)
        ).target
        for seed in range(seeds)
    ]
    remote = [target.name for target in chosen if target.data_centre == "dc-2"]
    return len(remote) / seeds, len(set(remote))


def test_full_data_centre_sends_elsewhere_to_several_targets():
    # Guards against a data centre with a single target of a service that keeps its
    # requests in a queue there, or sends all of them to the same target elsewhere.
    share, spread = count_remote(home_running=10)
    assert share > 0.8 and spread == 6
    assert count_remote(home_running=1)[0] == 0
    assert count_remote(home_running=10, remote_running=20)[0] < 0.3


def test_data_centre_without_targets_spreads_its_requests():
    share, spread = count_remote(0, remote_running=2, home=0)
    assert share == 1 and spread == 6


def test_requests_spread_while_the_coordinator_is_gone():
    # Guards against all instances preferring the fastest target once the totals are too
    # old to be used.
    fleet = Fleet(1, 0.12, 0.5)
    loads = fleet.instances[0]
    loads.apply_totals((), 0.0)
    chosen = {
        selection.choose_target(
            fleet.targets, loads, 5.0, "dc-0", 6_500, random.Random(seed)
        ).target.name
        for seed in range(100)
    }
    assert len(chosen) > TARGET_COUNT / 2
