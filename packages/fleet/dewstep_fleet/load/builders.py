"""A loop over targets and instances that know the targets' loads from old totals."""

import heapq
import random
import statistics
from typing import NamedTuple

from dewstep_fleet import builders, frames, load_counts, selection

WORK_S = 0.16
OBJECTIVE_S = 0.508
QUEUE_LIMIT = 16
TARGET_COUNT = 12
DURATION_S = 2.4


class Course(NamedTuple):
    """What the requests of a run met."""

    found: float
    """Mean number of requests that were at the chosen target."""
    turned_away: float
    """Fraction of all requests that found a full queue."""
    completion: float
    """Mean time of the served requests in seconds."""
    served: int
    """Number of requests that ended."""
    in_time: float
    """Fraction of the served requests that met the latency objective."""
    remote: float
    """Fraction of requests sent to another data centre."""


class Fleet:
    """Instances that choose from the same totals, and targets with a queue.

    Parameters
    ----------
    instances : int
    age : float
        Age of the totals in seconds, just before the next ones.
    load : float
        Demand relative to the capacity.
    data_centres : int, optional
    choose : callable, optional
        Takes the place of `selection.choose_target`.
    admit : callable, optional
        Returns whether a request with this choice is sent.
    admitted : float or None, optional
        For a keyed service with the same demand at each target, the fraction that the
        coordinator finds.
    """

    def __init__(
        self,
        instances,
        age,
        load,
        data_centres=1,
        choose=None,
        admit=None,
        admitted=None,
    ):
        self.choose = choose or selection.choose_target
        self.admit = admit or (lambda choice, loads, generator: True)
        self.admitted = admitted
        self.measured = False
        """Whether instances measure the service times, or know them."""
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
        self.speeds = speeds
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
            frames.Total(frames.hash_target_name(name), count, 1.0, self.admitted or 1)
            for name, count in sums.items()
        )

    def start(self, name, sender, arrived, work, now):
        """Begin to run a request."""
        self.running[name] += 1
        end = now + self.seconds[name] * work
        heapq.heappush(self.ends, (end, name, sender, arrived))

    def run(self):
        """Return what the requests met after the first third of the time."""
        found, times, turned_away, remote, offered = [], [], 0, 0, 0
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
                    "history",
                    name,
                    now,
                    now - arrived,
                    True,
                    self.measured,
                    "r",
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
                targets = self.targets
                if self.admitted is not None:
                    targets = self.random.choices(targets, self.speeds)
                choice = self.choose(targets, loads, now, zone, 6500, self.choices)
                name = choice.target.name
                offered += now > DURATION_S / 3
                if not self.admit(choice, loads, self.choices):
                    continue
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
            turned_away / offered,
            statistics.mean(times),
            len(times),
            sum(item <= OBJECTIVE_S for item in times) / max(1, len(times)),
            remote / len(found),
        )
