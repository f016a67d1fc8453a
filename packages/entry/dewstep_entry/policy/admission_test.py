import datetime
import random

import pytest
from hypothesis import given, strategies

from dewstep_core import errors
from dewstep_emulator import queueing
from dewstep_entry.policy import admission, limit, refusals, servicetime

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
ZERO = datetime.timedelta()


def build(slots=1, **options):
    options.setdefault("service_time", 20 * MS)
    return admission.Admission("t1", slots, random.Random(1), **options)


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


LOOK_UP = queueing.Kind("look-up", 1, 1.0, 300 * MS)
STATUS = queueing.Kind("status", 8, 1.0, 300 * MS)
DOSSIER = queueing.Kind("dossier", 2, 20.0, 2 * SECOND)


def simulate(policies, slots, load, kinds, capacity=None):
    """Run targets of 20 ms at a multiple of what their slots can answer."""
    return [
        queueing.Model(
            policy, kinds, load * slots * 50, 50, seed, capacity=capacity
        ).run(6 * SECOND)
        for seed, policy in enumerate(policies)
    ]


@pytest.mark.parametrize(
    "slots, kinds, count",
    ((4, [LOOK_UP], 20), (3, [STATUS, DOSSIER], 20), (16, [STATUS, DOSSIER], 2)),
    ids=("history", "status", "many slots"),
)
def test_goodput_of_targets_at_twice_the_load(slots, kinds, count):
    # Guards against a queue of requests that are all answered too late, heavy
    # requests missed for light ones, and callers held although they are refused.
    once = simulate([build(slots) for _ in range(count)], slots, 1, kinds)
    twice = simulate([build(slots) for _ in range(count)], slots, 2, kinds)
    plain = [FirstComeFirstServed(slots) for _ in range(count)]
    plain = simulate(plain, slots, 2, kinds)
    goodput = [sum(run.total() for run in runs) for runs in (once, twice, plain)]
    print(
        "weighted goodput at 1x, 2x, first come at 2x:", [f"{g:.0f}" for g in goodput]
    )
    assert goodput[1] >= 0.95 * goodput[0] and goodput[1] > goodput[2]
    assert max(run.most_in_progress for run in twice) <= slots
    heavy = kinds[-1].name
    if heavy == "dossier":
        offered = sum(run.offered[heavy] for run in twice)
        answered = sum(run.goodput[heavy] for run in twice)
        print(f"dossiers in time at 2x: {answered / offered:.4f}")
        assert answered >= 0.95 * offered
    late = sorted(time for run in twice for time in run.late_refusals)
    print(f"refusals of waiting ones: {len(late)}, 99%: {late[len(late) * 99 // 100]}")
    assert late[len(late) * 99 // 100] <= 10 * MS


def test_limit_finds_what_a_target_can_do():
    # Guards against a target that says four slots, sheds from the third request on,
    # and is sent four all the same.
    units = [build(4) for _ in range(20)]
    learned = simulate([build(4) for _ in range(20)], 4, 1, [LOOK_UP], capacity=2)
    for unit in units:
        unit.limit.record = lambda *arguments: None
    fixed = simulate(units, 4, 1, [LOOK_UP], capacity=2)
    goodput = [sum(run.total() for run in runs) for runs in (learned, fixed)]
    sheds = [sum(run.sheds for run in runs) for runs in (learned, fixed)]
    print(f"limit learned and fixed: goodput {goodput}, sheds {sheds}")
    assert goodput[0] > goodput[1] and sheds[0] < sheds[1]


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
    for step in range(200):
        unit.record(limit.ANSWERED, False, 20 * MS, 3 * SECOND + step * MS)
        seen.append(unit.usable())
    assert seen == sorted(seen) and set(seen) == {1, 2, 3, 4}
    for step in range(50):
        unit.record(limit.ANSWERED, True, 20 * MS, (9 + step) * SECOND)
    assert unit.usable() == 3


def test_estimate_reports_slowness_and_no_chance():
    # Guards against a limit that is lowered by the scatter of service times, and
    # against a slow spell that goes unnoticed.
    unit, generator = servicetime.Estimate(), random.Random(1)
    samples = [generator.expovariate(1) * 20 * MS for _ in range(5000)]
    assert not any([unit.add(sample) for sample in samples])
    assert any([unit.add(100 * MS) for _ in range(50)])
    assert 40 * MS < unit.mean < unit.likely() < 180 * MS


def test_spread_brings_callers_back_at_no_more_than_twice_the_service_rate():
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
            if name in unit.queue.by_ticket:
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


def test_late_runs_cost_no_slot():
    # Guards against a concurrency limit that falls because the queue began runs too
    # late, or because the target had not yet noticed the end of such a run.
    unit = limit.Limit(4)
    unit.record(limit.LATE, False, 300 * MS, SECOND)
    unit.record(limit.SHED, False, MS, SECOND + limit.LATE_SHED)
    assert unit.usable() == 4
    unit.record(limit.SHED, False, MS, SECOND + limit.LATE_SHED + MS)
    assert unit.usable() == 2
    unit = limit.Limit(4)
    unit.record(limit.LATE, True, 300 * MS, SECOND)
    assert unit.usable() == 3


def test_most_refusals_come_at_the_arrival():
    # Guards against a queue that is filled up to the last request that can be in time
    # by the mean: every longer service then evicts one that has waited.
    units = [build(4) for _ in range(20)]
    simulate(units, 4, 2, [LOOK_UP])
    counts = [unit.describe() for unit in units]
    arrival = sum(count.refused for count in counts)
    later = sum(count.evicted + count.expired for count in counts)
    print(f"refused at the arrival: {arrival}, from the queue: {later}")
    assert later <= 0.1 * arrival
