import datetime
import heapq
import random

from hypothesis import given, strategies

from dewstep_core import errors
from dewstep_entry.policy import admission, limit, refusals, servicetime

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
ZERO = datetime.timedelta()


def build(slots=1, **options):
    options.setdefault("service_time", 20 * MS)
    return admission.Admission("t1", slots, random.Random(1), **options)


class Simulation:
    """One target with exponential service times, behind a policy."""

    def __init__(self, policy, slots, rate, kinds, seed, duration=30.0):
        self.policy, self.slots, self.rate, self.kinds = policy, slots, rate, kinds
        self.random, self.duration = random.Random(seed), duration
        self.events, self.tickets, self.goodput, self.most = [], {}, {}, 0
        self.refusals = []

    def run(self):
        heapq.heappush(self.events, (0.0, 0, "arrive", ""))
        number = 0
        while self.events:
            when, _, event, ticket = heapq.heappop(self.events)
            now = datetime.timedelta(seconds=when)
            if event == "arrive" and when < self.duration:
                number += 1
                gap = self.random.expovariate(self.rate)
                heapq.heappush(self.events, (when + gap, number, "arrive", ""))
                self.arrive(f"r{number}", now)
            elif event == "end":
                self.end(ticket, now)
            self.pump(now, number)
        return sum(self.goodput.values()) / self.duration

    def arrive(self, ticket, now):
        kind = self.random.choices(self.kinds, [k[0] for k in self.kinds])[0]
        _, name, weight, patience = kind
        self.tickets[ticket] = (name, weight, now + patience, now)
        decision = self.policy.offer(ticket, weight, now + patience, now)
        if isinstance(decision, admission.Admitted):
            self.start(ticket, now)

    def start(self, ticket, now):
        service = datetime.timedelta(seconds=self.random.expovariate(50))
        self.tickets[ticket] += (now,)
        end = (now + service).total_seconds()
        heapq.heappush(self.events, (end, len(self.tickets), "end", ticket))
        self.most = max(self.most, sum(1 for e in self.events if e[2] == "end"))

    def end(self, ticket, now):
        name, weight, deadline, _, started = self.tickets[ticket]
        self.policy.release(ticket, now)
        self.policy.record(limit.ANSWERED, now - started, now)
        if now <= deadline:
            self.goodput[name] = self.goodput.get(name, 0) + weight

    def pump(self, now, number):
        for ticket in self.policy.take_ready(now):
            self.start(ticket, now)
        self.refusals += [(now, t) for t, _ in self.policy.take_expired(now)]
        wake = self.policy.next_event(now)
        if wake is not None and not any(e[2] == "wake" for e in self.events):
            later = max(wake, now + MS).total_seconds()
            heapq.heappush(self.events, (later, number, "wake", ""))


class FirstComeFirstServed:
    """The policy that admission replaces: an unbounded queue in order of arrival."""

    def __init__(self, slots):
        self.slots, self.running, self.queue = slots, 0, []

    def offer(self, ticket, weight, deadline, now):
        self.queue.append(ticket)

    def take_ready(self, now):
        count = self.slots - self.running
        ready, self.queue = self.queue[:count], self.queue[count:]
        self.running += len(ready)
        return ready

    def release(self, ticket, now):
        self.running -= 1

    def record(self, outcome, service_time, now):
        pass

    def take_expired(self, now):
        return []

    def next_event(self, now):
        return None


HISTORY = [(1, "look-up", 1.0, 300 * MS)]
DIVISION = [(8, "status", 1.0, 300 * MS), (2, "dossier", 20.0, 2 * SECOND)]


def simulate(policy, slots, load, kinds, seed):
    simulation = Simulation(policy, slots, load * slots * 50, kinds, seed)
    return simulation.run(), simulation


def test_goodput_at_twice_the_load_is_95_percent_of_that_at_once_the_load():
    # Guards against a queue of requests that are all answered too late.
    for slots, kinds, seed in ((4, HISTORY, 1), (3, DIVISION, 2)):
        once, _ = simulate(build(slots), slots, 1, kinds, seed)
        twice, run = simulate(build(slots), slots, 2, kinds, seed)
        plain, _ = simulate(FirstComeFirstServed(slots), slots, 2, kinds, seed)
        print(f"slots {slots} 1x {once:.1f} 2x {twice:.1f} first come {plain:.1f}")
        assert twice >= 0.95 * once
        assert twice > plain
        assert run.most <= slots


def test_heavy_requests_go_before_light_ones_under_overload():
    # Guards against a missed dossier while a status look-up is answered.
    _, run = simulate(build(3), 3, 2, DIVISION, 3)
    heavy = sum(t[1] for t in run.tickets.values() if t[0] == "dossier")
    assert run.goodput["dossier"] >= 0.95 * heavy


def test_offer_evicts_the_lighter_request_and_refuses_it_at_once():
    # Guards against a dossier that is refused while a look-up holds its place.
    unit = build()
    assert unit.offer("a", 1, SECOND, ZERO) == admission.Admitted()
    assert unit.offer("light", 1, 60 * MS, ZERO) == admission.Queued()
    assert unit.offer("heavy", 9, 60 * MS, ZERO) == admission.Queued()
    assert unit.next_event(ZERO) == ZERO
    [(ticket, failure)] = unit.take_expired(ZERO)
    assert ticket == "light" and isinstance(failure, errors.QueueFull)
    refused = unit.offer("late", 1, 60 * MS, ZERO)
    assert isinstance(refused.failure, errors.QueueFull)
    assert failure.retry_after >= refusals.LEAST_DELAY


def test_offer_refuses_what_cannot_be_in_time_and_probes_when_idle():
    # Guards against a target that a slow spell shuts out for good.
    unit = build()
    assert unit.offer("a", 1, 5 * MS, ZERO) == admission.Admitted()
    refused = unit.offer("b", 1, 5 * MS, ZERO)
    assert isinstance(refused.failure, errors.DeadlineUnreachable)
    assert isinstance(unit.offer("c", 1, ZERO, ZERO), admission.Refused)


def test_expiry_is_announced_at_the_moment_of_decision():
    # Guards against a caller that is held although the answer is decided.
    unit = build()
    unit.offer("a", 1, SECOND, ZERO)
    unit.offer("b", 1, 100 * MS, ZERO)
    wake = unit.next_event(ZERO)
    assert unit.take_expired(wake) == [] and unit.describe().waiting == 1
    [(ticket, failure)] = unit.take_expired(wake + MS)
    assert ticket == "b" and isinstance(failure, errors.DeadlineUnreachable)
    assert unit.next_event(wake) is None


def test_record_refuses_at_once_who_is_late_by_the_new_estimate():
    unit = build()
    unit.offer("a", 1, SECOND, ZERO)
    for number in range(10):
        unit.offer(f"w{number}", 1, 300 * MS, ZERO)
    unit.record(limit.ANSWERED, 80 * MS, ZERO)
    assert 7 <= len(unit.take_expired(ZERO)) <= 9


def test_withdraw_frees_the_place_and_slots_of_zero_refuse_everything():
    # Guards against slots that leak when callers go away.
    unit = build()
    unit.offer("a", 1, SECOND, ZERO)
    unit.offer("b", 1, SECOND, ZERO)
    unit.withdraw("b", ZERO)
    unit.withdraw("a", ZERO)
    assert unit.take_ready(ZERO) == []
    unit.set_limit(0)
    assert isinstance(unit.offer("c", 1, SECOND, ZERO).failure, errors.QueueFull)


def test_limit_falls_on_sheds_and_rises_step_by_step():
    # Guards against a target that is kept at a load which it sheds.
    unit = limit.Limit(4)
    for step in range(20):
        unit.record(limit.SHED, False, 20 * MS, step * 100 * MS)
    assert unit.usable() == 1 and not unit.allows(0, 1901 * MS)
    seen = []
    for step in range(20):
        unit.record(limit.ANSWERED, False, 20 * MS, 3 * SECOND + step * MS)
        seen.append(unit.usable())
    assert seen == sorted(seen) and set(seen) == {2, 3, 4}
    for step in range(50):
        unit.record(limit.ANSWERED, True, 20 * MS, (9 + step) * SECOND)
    assert unit.usable() == 2


def test_estimate_reports_slowness_against_its_baseline():
    unit = servicetime.Estimate()
    assert not any([unit.add(20 * MS) for _ in range(50)])
    assert any([unit.add(100 * MS) for _ in range(50)])
    assert 90 * MS < unit.likely() < 180 * MS


def test_spread_keeps_returning_callers_below_the_service_rate():
    # Guards against all refused callers returning in the same second.
    unit = refusals.Spread(random.Random(1))
    delays = [unit.choose(10 * MS, 0, ZERO) for _ in range(1000)]
    busiest = max(
        sum(1 for d in delays if second * SECOND <= d < (second + 1) * SECOND)
        for second in range(2, 12)
    )
    assert busiest <= 2 * 100


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["offer", "release", "withdraw", "shed", "slots"]),
            strategies.integers(1, 9),
            strategies.integers(0, 200),
        ),
        max_size=60,
    )
)
def test_no_ticket_is_lost_or_decided_twice_and_slots_hold(steps):
    # Guards against double answers, leaks and more in progress than the slots.
    unit, now, decided, offered, running = build(3, waiting_limit=5), ZERO, [], [], []
    for number, (action, weight, span) in enumerate(steps):
        now += span * MS / 10
        name = f"r{number}"
        if action == "offer":
            offered.append(name)
            decision = unit.offer(name, weight, now + span * MS, now)
            if isinstance(decision, admission.Refused):
                decided.append(name)
            elif isinstance(decision, admission.Admitted):
                running.append(name)
        elif action == "release" and running:
            unit.release(running.pop(0), now)
            unit.record(limit.ANSWERED, span * MS, now)
        elif action == "withdraw" and offered:
            name = offered[weight % len(offered)]
            if name in unit.waiting:
                unit.withdraw(name, now)
                decided.append(name)
        elif action == "shed":
            unit.record(limit.SHED, ZERO, now)
        elif action == "slots":
            unit.set_limit(weight % 4)
        before = len(running)
        running += unit.take_ready(now)
        assert len(running) == before or len(running) <= unit.limit.slots
        decided += [ticket for ticket, _ in unit.take_expired(now)]
        assert len(unit.queue) <= 5
        wake = unit.next_event(now)
        assert (wake is None) == (not unit.queue) and (wake is None or wake >= now)
    finished = unit.counts["admitted"]
    assert len(decided) == len(set(decided)) and not set(decided) & set(running)
    assert len(offered) == finished + len(decided) + len(unit.queue)
