"""Measures the cost of each decision of the policies at one fleet size, without I/O."""

import datetime
import gc
import json
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, NamedTuple

from dewstep_core import data, errors, placement, rebalancing
from dewstep_emulator import hot_key_model, queueing
from dewstep_entry.policy import (
    admission,
    hotkeys,
    limit,
    outliers,
    retries,
    shardloads,
)

SECOND = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)

REQUESTS = 20_000
"""Repetitions of decisions that are made once per request."""
KEY_BYTES = 16
HOTTEST_KEY_RATIO = 2.0
"""Rate of the hottest key divided by the mean rate of a target's cold keys."""
SERVICE_RATE_PER_SLOT = 50.0
"""Requests/s."""
PLAN_COUNT = 12
"""Rebalancing plans, one per `hot_key_model.PLAN_INTERVAL` of 10 s: two minutes."""


class Size(NamedTuple):
    """A fleet size."""

    name: str
    targets: int
    slots: int
    shards: int
    entries: int
    """Number of entry processes."""


class Cost(NamedTuple):
    """The cost of one decision at one fleet size."""

    size: str
    decision: str
    microseconds: float
    state_bytes: int | None
    """Memory of the state that the decision needs, if any."""
    shared_bytes: int | None
    """Bytes stored or sent, if any."""
    result: dict[str, Any]
    """Other results of the run."""


class Timing(NamedTuple):
    """Mean processor time of a call, and its last return value."""

    microseconds: float
    value: Any


def time_call(call: Callable[[], Any], repetitions: int = 1) -> Timing:
    """Return the mean processor time of `call` and its last return value."""
    gc.collect()
    start = time.process_time_ns()
    for _ in range(repetitions):
        value = call()
    elapsed = time.process_time_ns() - start
    return Timing(elapsed / 1_000 / repetitions, value)


def measure_memory(build: Callable[[], Any]) -> int:
    """Return the bytes that the return value of `build` occupies."""
    gc.collect()
    tracemalloc.start()
    # The reference keeps the value alive until the memory is read.
    value = build()
    gc.collect()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del value
    return kept


def measure_json(value: Any) -> int:
    """Return the size of a value as compact JSON, the format of the table service."""
    return len(json.dumps(value, separators=(",", ":")).encode())


def build_keys(generator: random.Random, count: int) -> list[str]:
    """Return random keys of `KEY_BYTES` characters."""
    return [
        f"{generator.getrandbits(4 * KEY_BYTES):0{KEY_BYTES}x}" for _ in range(count)
    ]


def measure_admission(size: Size, seed: int) -> list[Cost]:
    """Return the costs of admission at half and twice the capacity of a target.

    A model of the target produces the calls of the policy. Their time is measured in a
    replay, so that it doesn't include the time of the model.
    """
    kind = queueing.Kind("look-up", 1, 1.0, 300 * MILLISECOND)
    costs = []
    for load in (0.5, 2.0):

        def build() -> admission.Admission:
            return admission.Admission("t0", size.slots, random.Random(seed))

        recorder = AdmissionRecorder(build())
        rate = load * size.slots * SERVICE_RATE_PER_SLOT
        duration = REQUESTS / rate * SECOND
        model = queueing.Model(recorder, [kind], rate, SERVICE_RATE_PER_SLOT, seed)
        outcome = model.run(duration)
        policy = build()
        calls = [(getattr(policy, name), given) for name, given in recorder.calls]

        def replay(calls=calls) -> None:
            for call, given in calls:
                call(*given)

        offers = sum(name == "offer" for name, _ in recorder.calls)
        costs.append(
            Cost(
                size.name,
                f"admission of a request at {load} x the load",
                time_call(replay).microseconds / offers,
                measure_memory(lambda: fill_queue(build())),
                None,
                {"goodput_per_second": round(outcome.total(), 1)},
            )
        )
    return costs


class AdmissionRecorder:
    """Forwards calls to an admission policy and records them."""

    def __init__(self, policy: admission.Admission):
        self.policy = policy
        self.estimate = policy.estimate
        self.calls: list[tuple[str, tuple]] = []

    def __getattr__(self, name: str) -> Callable[..., Any]:
        method = getattr(self.policy, name)

        def call(*arguments):
            self.calls.append((name, arguments))
            return method(*arguments)

        return call


def fill_queue(policy: admission.Admission) -> admission.Admission:
    """Return the policy after filling its queue of waiting requests."""
    for number in range(admission.WAITING_LIMIT + policy.limit.slots):
        policy.offer(f"request-{number}", 1.0, (60 + number) * SECOND, 0 * SECOND)
    return policy


def measure_retries(size: Size, seed: int) -> Cost:
    """Return the cost of the retry decision for one failed request."""
    policy = retries.Retries(random.Random(seed))
    failure = errors.TargetUnavailable("t0", "refused")
    attempt = retries.Attempt(1, True, failure, 10 * SECOND, 20 * MILLISECOND)

    def decide() -> None:
        policy.add_first_attempt("history", "dc1")
        policy.decide("history", "dc1", attempt, SECOND)

    timing = time_call(decide, REQUESTS)
    state = measure_memory(lambda: retries.Retries(random.Random(seed)))
    return Cost(size.name, "retry of a request", timing.microseconds, state, None, {})


def measure_key_counting(size: Size, seed: int) -> list[Cost]:
    """Return the costs of counting hot keys and shard loads."""
    generator = random.Random(seed)
    keys = build_keys(generator, REQUESTS)
    hot = build_keys(generator, hot_key_model.HOT_KEY_COUNT)
    stream = [
        generator.choice(hot) if generator.random() < 0.3 else key for key in keys
    ]
    shards = [generator.randrange(size.shards) for _ in stream]

    def build_sketch() -> hotkeys.Sketch:
        policy = hotkeys.Sketch()
        for number, key in enumerate(stream):
            policy.add(key, number * MILLISECOND)
        return policy

    def build_loads() -> shardloads.ShardLoads:
        policy = shardloads.ShardLoads(size.shards)
        for number, shard in enumerate(shards):
            policy.add(shard, number * MILLISECOND)
        return policy

    now = REQUESTS * MILLISECOND
    counted, loads = time_call(build_sketch), time_call(build_loads)
    min_rate = rebalancing.MINIMUM_LIFT_LOAD_RATIO * SERVICE_RATE_PER_SLOT * size.slots
    summary = time_call(lambda: counted.value.summarize(now, min_rate=min_rate), 20)
    # Each hot key of the service is counted by one entry process.
    hottest = summary.value.keys
    parts = [
        summary.value._replace(keys=hottest[number :: size.entries])
        for number in range(size.entries)
    ]
    merged = time_call(lambda: hotkeys.merge(parts))
    rates = time_call(lambda: loads.value.compute_rates(now))
    encoded = len(hotkeys.encode(summary.value))
    name = size.name
    per_key, per_shard = (timing.microseconds / REQUESTS for timing in (counted, loads))
    return [
        Cost(name, "count of a key", per_key, measure_memory(build_sketch), None, {}),
        Cost(
            name, "count of a shard", per_shard, measure_memory(build_loads), None, {}
        ),
        Cost(
            name, "rates of all shards", rates.microseconds, None, 8 * size.shards, {}
        ),
        Cost(name, "summary of hot keys", summary.microseconds, None, encoded, {}),
        Cost(
            name,
            "merge of all processes' hot keys",
            merged.microseconds,
            None,
            sum(len(hotkeys.encode(part)) for part in parts),
            {"summaries": size.entries},
        ),
    ]


def measure_outliers(size: Size, seed: int) -> list[Cost]:
    """Return the costs of outlier detection: recording answers and the judgement."""
    generator = random.Random(seed)
    names = [
        target.name for target in hot_key_model.build_targets(size.targets, size.slots)
    ]
    own = names[: max(1, size.targets // size.entries)]
    samples = [
        generator.expovariate(SERVICE_RATE_PER_SLOT) * SECOND for _ in range(1000)
    ]

    def build(watched: list[str]) -> outliers.OutlierDetector:
        policy = outliers.OutlierDetector()
        for name in watched:
            policy.add_target(name, 0 * SECOND, cold=False)
            for sample in samples[:50]:
                policy.record(name, limit.ANSWERED, sample, SECOND)
        return policy

    policy, others = build(own), build(names).summarize(SECOND)

    def record() -> None:
        for sample in samples:
            policy.record(own[0], limit.ANSWERED, sample, SECOND)

    recorded = time_call(record, 20).microseconds / len(samples)
    judged = time_call(lambda: policy.update(others, SECOND), 3).microseconds
    # Per target: name, answers, failures, service time, step and a flag for cold.
    shared = sum(len(name) + 2 + 3 * 4 + 2 for name in own)
    state = measure_memory(lambda: build(own))
    return [
        Cost(size.name, "record of an answer", recorded, state, None, {}),
        Cost(size.name, "judgement of all targets", judged, None, shared, {}),
    ]


def measure_assignment_plans(size: Size) -> list[Cost]:
    """Return the costs of the first assignment and of a target's loss and joining."""
    targets = hot_key_model.build_targets(size.targets, size.slots)
    first = time_call(lambda: hot_key_model.build_first(targets, size.shards))
    held: data.Assignment = first.value
    lost = {targets[0].name}
    evacuated = time_call(lambda: placement.plan_evacuation(held, lost, targets))
    smaller = hot_key_model.build_assignment(*evacuated.value)
    joined = time_call(lambda: placement.plan_join(smaller, targets[0].name, targets))
    least = size.shards / size.targets
    row = measure_json(held._asdict())
    # Size of a row with 2-byte target indices and a list of the target names.
    indices = 2 * size.shards + sum(len(target.name) + 1 for target in targets)
    state = measure_memory(lambda: hot_key_model.build_first(targets, size.shards))
    moved = sum(a != b for a, b in zip(held.owners, smaller.owners, strict=True))
    name = size.name
    return [
        Cost(
            name,
            "first plan",
            first.microseconds,
            state,
            row,
            {"row_with_indices_bytes": indices},
        ),
        Cost(
            name,
            "evacuation of a target",
            evacuated.microseconds,
            None,
            row,
            {"moved": moved, "churn": round(moved / least, 3)},
        ),
        Cost(
            name,
            "join of a target",
            joined.microseconds,
            None,
            measure_json(joined.value),
            {
                "moved": len(joined.value),
                "churn": round(len(joined.value) / least, 3),
            },
        ),
    ]


def measure_plans(size: Size, seed: int) -> list[Cost]:
    """Return the costs of the rebalancing plans after a change of the hot keys.

    The costs of the slowest plan and of the last one, which finds a balanced load, are
    reported.
    """
    elapsed: list[float] = []
    moved: list[int] = []

    def planner(*arguments):
        timing = time_call(lambda: placement.plan_moves(*arguments))
        elapsed.append(timing.microseconds)
        moved.append(measure_json(timing.value))
        return timing.value

    model = hot_key_model.HotKeyModel(
        planner,
        seed,
        hot_key_model.Size(size.targets, size.slots, size.shards),
        HOTTEST_KEY_RATIO,
    )
    model.change_hot_keys()
    before = model.measure()
    model.run(PLAN_COUNT * hot_key_model.PLAN_INTERVAL)
    after = model.measure()
    result = {
        "over_bound_before": round(before.over_bound, 3),
        "over_bound_after": round(after.over_bound, 3),
        "over_mean_after": round(after.over_mean, 3),
        "moved": dict(model.moved),
    }
    name = size.name
    return [
        Cost(name, "plan in the rush, slowest", max(elapsed), None, max(moved), result),
        Cost(name, "plan in the rush, last", elapsed[-1], None, moved[-1], {}),
    ]


def measure_size(size: Size, seed: int) -> list[Cost]:
    """Return the costs of all decisions at one fleet size."""
    return [
        *measure_admission(size, seed),
        measure_retries(size, seed),
        *measure_key_counting(size, seed),
        *measure_outliers(size, seed),
        *measure_assignment_plans(size),
        *measure_plans(size, seed),
    ]
