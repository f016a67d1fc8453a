import datetime
import random

import pytest
from hypothesis import given, strategies

from dewstep_core import errors
from dewstep_emulator import queueing
from dewstep_entry.policy import admission, limit, refusals, servicetime

MILLISECOND = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
ZERO = datetime.timedelta()


def build_admission(slots=1, **options):
    options.setdefault("service_time", 20 * MILLISECOND)
    return admission.Admission("t1", slots, random.Random(1), **options)


class FirstComeFirstServed:
    """Baseline for comparison: an unbounded queue in order of arrival."""

    def __init__(self, slots):
        self.slots, self.running, self.queue = slots, 0, []

    def offer(self, ticket, weight, deadline, now):
        self.queue.append(ticket)

    def start_ready(self, now):
        count = self.slots - self.running
        ready, self.queue = self.queue[:count], self.queue[count:]
        self.running += len(ready)
        return ready

    def release(self, ticket, now):
        self.running -= 1

    def record(self, outcome, service_time, now):
        pass

    def collect_refusals(self, now):
        return []

    def get_next_event_time(self, now):
        return None


LOOK_UP = queueing.Kind("look-up", 1, 1.0, 300 * MILLISECOND)
STATUS = queueing.Kind("status", 8, 1.0, 300 * MILLISECOND)
DOSSIER = queueing.Kind("dossier", 2, 20.0, 2 * SECOND)


def simulate(policies, slots, load, kinds, capacity=None):
    """Run targets with 20 ms of service time at `load` times their capacity."""
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
    # Guards against overload in which all requests are answered too late, heavy
    # requests miss their deadline because of light ones, or refusals are delayed.
    normal_load = simulate(
        [build_admission(slots) for _ in range(count)], slots, 1, kinds
    )
    double_load = simulate(
        [build_admission(slots) for _ in range(count)], slots, 2, kinds
    )
    first_come = [FirstComeFirstServed(slots) for _ in range(count)]
    first_come = simulate(first_come, slots, 2, kinds)
    goodput = [
        sum(run.total() for run in runs)
        for runs in (normal_load, double_load, first_come)
    ]
    print(
        "weighted goodput at 1x, 2x, first come at 2x:", [f"{g:.0f}" for g in goodput]
    )
    assert goodput[1] >= 0.95 * goodput[0] and goodput[1] > goodput[2]
    assert max(run.most_in_progress for run in double_load) <= slots
    heavy_kind = kinds[-1].name
    if heavy_kind == "dossier":
        offered = sum(run.offered[heavy_kind] for run in double_load)
        answered = sum(run.goodput[heavy_kind] for run in double_load)
        print(f"dossiers in time at 2x: {answered / offered:.4f}")
        assert answered >= 0.95 * offered
    delays = sorted(time for run in double_load for time in run.late_refusals)
    print(f"queue refusals: {len(delays)}, 99%: {delays[len(delays) * 99 // 100]}")
    assert delays[len(delays) * 99 // 100] <= 10 * MILLISECOND


def test_limit_converges_to_the_capacity_of_the_target():
    # Guards against sending four requests at a time to a target that is configured
    # with four slots but sheds the third and fourth.
    queues = [build_admission(4) for _ in range(20)]
    adaptive = simulate(
        [build_admission(4) for _ in range(20)], 4, 1, [LOOK_UP], capacity=2
    )
    for queue in queues:
        queue.limit.record_outcome = lambda *arguments: None
    constant = simulate(queues, 4, 1, [LOOK_UP], capacity=2)
    goodput = [sum(run.total() for run in runs) for runs in (adaptive, constant)]
    sheds = [sum(run.sheds for run in runs) for runs in (adaptive, constant)]
    print(f"adaptive and constant limit: goodput {goodput}, sheds {sheds}")
    assert goodput[0] > goodput[1] and sheds[0] < sheds[1]


def test_offer_evicts_the_lighter_request_and_refuses_it_at_once():
    # Guards against refusing a heavy request while a lighter one remains queued.
    queue = build_admission()
    assert queue.offer("a", 1, SECOND, ZERO) == admission.Admitted()
    assert queue.offer("light", 1, 60 * MILLISECOND, ZERO) == admission.Queued()
    assert queue.offer("heavy", 9, 60 * MILLISECOND, ZERO) == admission.Queued()
    assert queue.get_next_event_time(ZERO) == ZERO
    [(ticket, failure)] = queue.collect_refusals(ZERO)
    assert ticket == "light" and isinstance(failure, errors.QueueFull)
    refused = queue.offer("late", 1, 60 * MILLISECOND, ZERO)
    assert isinstance(refused.failure, errors.QueueFull)
    assert failure.retry_after >= refusals.MIN_RETRY_AFTER


def test_offer_refuses_unreachable_deadlines_and_probes_an_idle_target():
    # Guards against a target that gets no more requests after a slow period, because
    # only an answer can lower the estimate.
    queue = build_admission()
    assert queue.offer("a", 1, 5 * MILLISECOND, ZERO) == admission.Admitted()
    refused = queue.offer("b", 1, 5 * MILLISECOND, ZERO)
    assert isinstance(refused.failure, errors.DeadlineUnreachable)
    assert isinstance(queue.offer("c", 1, ZERO, ZERO), admission.Refused)


def test_next_event_is_the_time_at_which_a_waiting_request_expires():
    # Guards against callers that wait longer although their refusal is certain.
    queue = build_admission()
    queue.offer("a", 1, SECOND, ZERO)
    queue.offer("b", 1, 100 * MILLISECOND, ZERO)
    expiry_time = queue.get_next_event_time(ZERO)
    assert queue.collect_refusals(expiry_time) == [] and queue.describe().waiting == 1
    [(ticket, failure)] = queue.collect_refusals(expiry_time + MILLISECOND)
    assert ticket == "b" and isinstance(failure, errors.DeadlineUnreachable)
    assert queue.get_next_event_time(expiry_time) is None


def test_record_refuses_requests_that_are_late_by_the_new_estimate():
    queue = build_admission()
    queue.offer("a", 1, SECOND, ZERO)
    for number in range(10):
        queue.offer(f"w{number}", 1, 300 * MILLISECOND, ZERO)
    queue.record(limit.ANSWERED, 80 * MILLISECOND, ZERO)
    assert 7 <= len(queue.collect_refusals(ZERO)) <= 9


def test_withdraw_frees_the_slot_and_zero_slots_refuse_every_request():
    # Guards against slots that stay occupied after callers disconnect.
    queue = build_admission()
    queue.offer("a", 1, SECOND, ZERO)
    queue.offer("b", 1, SECOND, ZERO)
    queue.withdraw("b", ZERO)
    queue.withdraw("a", ZERO)
    assert queue.start_ready(ZERO) == []
    queue.set_limit(0)
    assert isinstance(queue.offer("c", 1, SECOND, ZERO).failure, errors.QueueFull)


def test_limit_falls_on_sheds_and_rises_by_one_slot_at_a_time():
    # Guards against a limit that stays at a level at which the target sheds.
    limiter = limit.Limit(4)
    for step in range(20):
        limiter.record_outcome(
            limit.SHED, False, 20 * MILLISECOND, step * 100 * MILLISECOND
        )
    assert limiter.compute_usable_slots() == 1 and not limiter.allows(
        0, 1901 * MILLISECOND
    )
    usable_slots = []
    for step in range(200):
        limiter.record_outcome(
            limit.ANSWERED, False, 20 * MILLISECOND, 3 * SECOND + step * MILLISECOND
        )
        usable_slots.append(limiter.compute_usable_slots())
    assert usable_slots == sorted(usable_slots) and set(usable_slots) == {1, 2, 3, 4}
    for step in range(50):
        limiter.record_outcome(
            limit.ANSWERED, True, 20 * MILLISECOND, (9 + step) * SECOND
        )
    assert limiter.compute_usable_slots() == 3


def test_estimate_reports_slowness_but_not_random_variation():
    # Guards against a limit that falls because of random service times, and against a
    # slow period that is not detected.
    estimate, generator = servicetime.Estimate(), random.Random(1)
    samples = [generator.expovariate(1) * 20 * MILLISECOND for _ in range(5000)]
    assert not any([estimate.add_sample(sample) for sample in samples])
    assert any([estimate.add_sample(100 * MILLISECOND) for _ in range(50)])
    assert (
        40 * MILLISECOND
        < estimate.mean
        < estimate.compute_planned_time()
        < 180 * MILLISECOND
    )


def test_retry_after_limits_returning_callers_to_twice_the_service_rate():
    # Guards against refused callers that all return in the same second.
    chooser = refusals.RetryAfterChooser(random.Random(1))
    delays = [
        chooser.choose_retry_after(10 * MILLISECOND, 0, ZERO) for _ in range(1000)
    ]
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
def test_each_ticket_is_decided_once_and_running_requests_fit_the_slots(steps):
    # Guards against requests that are answered twice or never, and against more
    # running requests than slots.
    tested, now, decided, offered, running = (
        build_admission(3, waiting_limit=5),
        ZERO,
        [],
        [],
        [],
    )
    for number, (action, weight, span) in enumerate(steps):
        now += span * MILLISECOND / 10
        name = f"r{number}"
        if action == "offer":
            offered.append(name)
            decision = tested.offer(name, weight, now + span * MILLISECOND, now)
            if isinstance(decision, admission.Refused):
                decided.append(name)
            elif isinstance(decision, admission.Admitted):
                running.append(name)
        elif action == "release" and running:
            tested.release(running.pop(0), now)
            tested.record(limit.ANSWERED, span * MILLISECOND, now)
        elif action == "withdraw" and offered:
            name = offered[weight % len(offered)]
            if name in tested.queue.by_ticket:
                tested.withdraw(name, now)
                decided.append(name)
        elif action == "shed":
            tested.record(limit.SHED, ZERO, now)
        elif action == "slots":
            tested.set_limit(weight % 4)
        running_before = len(running)
        running += tested.start_ready(now)
        assert len(running) == running_before or len(running) <= tested.limit.slots
        decided += [ticket for ticket, _ in tested.collect_refusals(now)]
        assert len(tested.queue) <= 5
        next_time = tested.get_next_event_time(now)
        assert (next_time is None) == (not tested.queue) and (
            next_time is None or next_time >= now
        )
    admitted_count = tested.counts["admitted"]
    assert len(decided) == len(set(decided)) and not set(decided) & set(running)
    assert len(offered) == admitted_count + len(decided) + len(tested.queue)


def test_late_runs_do_not_lower_the_limit():
    # Guards against a concurrency limit that falls because the queue started runs too
    # late, or because the target had not yet noticed the end of such a run.
    limiter = limit.Limit(4)
    limiter.record_outcome(limit.LATE, False, 300 * MILLISECOND, SECOND)
    limiter.record_outcome(
        limit.SHED, False, MILLISECOND, SECOND + limit.LATE_RUN_SHED_WINDOW
    )
    assert limiter.compute_usable_slots() == 4
    limiter.record_outcome(
        limit.SHED,
        False,
        MILLISECOND,
        SECOND + limit.LATE_RUN_SHED_WINDOW + MILLISECOND,
    )
    assert limiter.compute_usable_slots() == 2
    limiter = limit.Limit(4)
    limiter.record_outcome(limit.LATE, True, 300 * MILLISECOND, SECOND)
    assert limiter.compute_usable_slots() == 3


def test_most_requests_are_refused_on_arrival():
    # Guards against a queue without a margin for longer services, each of which then
    # evicts a request that has already waited.
    queues = [build_admission(4) for _ in range(20)]
    simulate(queues, 4, 2, [LOOK_UP])
    counts = [queue.describe() for queue in queues]
    arrival = sum(count.refused for count in counts)
    later = sum(count.evicted + count.expired for count in counts)
    print(f"refused on arrival: {arrival}, from the queue: {later}")
    assert later <= 0.1 * arrival
