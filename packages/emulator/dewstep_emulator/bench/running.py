"""Runs one benchmark scenario and builds its report."""

import asyncio
import collections
import pathlib
from collections.abc import Callable
from typing import Any

from dewstep_emulator import deployments, history
from dewstep_emulator.bench import (
    accounting,
    benchmark_run,
    generator,
    load_processes,
    measures,
    plans,
)

COOL_DOWN_SECONDS = 0.5
FAULT_MARK = "fault"
"""Name of the mark from which the restoration time is measured."""


async def run(
    name: str,
    seed: int,
    folder: pathlib.Path,
    capacity: float = plans.CAPACITY_PER_SECOND,
    print_line: Callable[[str], None] = lambda text: None,
    relays: bool = False,
) -> dict[str, Any]:
    """Run the scenario `<deployment>-<scenario>` and return its report.

    Raises
    ------
    LookupError
        If there is no such scenario.
    """
    deployment_name, _, scenario_name = name.partition("-")
    plan = deployments.deployments.get(deployment_name)
    scenario = plans.scenarios.get(scenario_name)
    if plan is None or scenario is None:
        raise LookupError(f"unknown benchmark {name!r}")
    deployment = plans.scale_service_times(plan(), capacity)
    benchmark = benchmark_run.BenchmarkRun(
        deployment, scenario, seed, folder, capacity, print_line, relays
    )
    try:
        await benchmark.start()
        metering = asyncio.ensure_future(benchmark.meter_costs_until_cancelled())
        await scenario.script(benchmark)
        benchmark.add_mark("end")
        metering.cancel()
        benchmark.meter.read(benchmark.list_entry_pids())
        load_result = await benchmark.load_tool.stop()
        benchmark.after = await benchmark.read_snapshot()
        await asyncio.sleep(COOL_DOWN_SECONDS)
        runs = benchmark.fleet.read_runs()
        await benchmark.fleet.stop()
    finally:
        await benchmark.load_tool.kill()
        await benchmark.fleet.kill_all()
    label = f"{name} (relays)" if relays else name
    return build_report(label, seed, capacity, benchmark, load_result, runs)


def build_report(
    name: str,
    seed: int,
    capacity: float,
    benchmark: benchmark_run.BenchmarkRun,
    load_result: load_processes.LoadResult,
    runs: tuple[history.Run, ...],
) -> dict[str, Any]:
    """Return all measures of a run as JSON values."""
    begin, end = benchmark.get_mark_time("begin"), benchmark.get_mark_time("end")
    records = [item for item in load_result.records if begin <= item.scheduled < end]
    weights = [
        call.kind.weight for call in deployments.plan_calls(benchmark.deployment)
    ]
    services = [kind.service for kind in benchmark.load_tool.plan.kinds]
    answered = measures.select_answered(records)
    refusals = [time for record in records for time in record.refusals]
    started = sum(begin <= get_start_seconds(run) < end for run in runs)
    groups = measures.group_by_owner(records, benchmark.before.owners, services)
    faults = [mark.time for mark in benchmark.marks if mark.name == FAULT_MARK]
    return {
        "name": name,
        "seed": seed,
        "capacity": capacity,
        "machine_load": max(benchmark.machine_load, default=0.0),
        "seconds": end - begin,
        "load_tool": {
            "processes": load_result.processes,
            "busiest_core": load_result.busiest,
            "lag_p99_ms": load_result.lag * 1000,
            "kept_up": load_result.kept_up,
        },
        "answered": measures.compute_answered(records, weights),
        "outcomes": dict(collections.Counter(item.outcome for item in records)),
        "latency_ms": measures.compute_percentiles(measures.get_latencies(answered)),
        "refusal_ms": {
            "count": len(refusals),
            **measures.compute_percentiles(refusals),
        },
        "retries": measures.compute_retries(records, started),
        "unavailable": measures.compute_unavailability(groups, (*faults, begin)[0]),
        "imbalance": describe_imbalance(benchmark),
        "churn": describe_churn(benchmark, records),
        "control_writes": {
            prefix.strip("/"): count - benchmark.before.versions[prefix]
            for prefix, count in benchmark.after.versions.items()
        },
        "entry_tier": describe_costs(benchmark.meter, len(answered)),
        "phases": describe_phases(benchmark, records),
        "marks": [(mark.name, mark.time - begin) for mark in benchmark.marks],
        "notes": benchmark.notes,
    }


def get_start_seconds(run: history.Run) -> float:
    """Return the start of a run as monotonic seconds."""
    return (run.start - history.parse_time(0.0)).total_seconds()


def describe_phases(
    benchmark: benchmark_run.BenchmarkRun, records: list
) -> list[dict[str, Any]]:
    """Return throughput and latency between consecutive marks."""
    phases = []
    for mark, next_mark in zip(benchmark.marks, benchmark.marks[1:], strict=False):
        span = next_mark.time - mark.time
        phase_records = [item for item in records if mark.time <= item.scheduled]
        phase_records = [
            item for item in phase_records if item.scheduled < next_mark.time
        ]
        answered = measures.select_answered(phase_records)
        phases.append(
            {
                "from": mark.name,
                "seconds": span,
                "offered_per_s": len(phase_records) / span,
                "answered_per_s": len(answered) / span,
                "latency_ms": measures.compute_percentiles(
                    measures.get_latencies(answered)
                ),
            }
        )
    return phases


def describe_imbalance(benchmark: benchmark_run.BenchmarkRun) -> dict[str, Any]:
    """Return the imbalance by service for the initial and the final owners.

    It is computed from the planned shares of the keys, since counts over a few seconds
    would add noise to the load of the busiest target.
    """
    chooser = generator.KeyChooser(benchmark.load_tool.plan)
    imbalances = {}
    for plan in benchmark.deployment.services:
        name = plan.service.name
        keys = chooser.compute_key_shares(name, benchmark.load_tool.control.rotation)
        imbalances[name] = {
            label: measures.compute_imbalance(
                measures.compute_loads(
                    keys, snapshot.owners[name], snapshot.overrides[name]
                ),
                keys,
                plan.targets,
            )._asdict()
            for label, snapshot in (
                ("static", benchmark.before),
                ("moved", benchmark.after),
            )
        }
    return imbalances


def describe_churn(
    benchmark: benchmark_run.BenchmarkRun, records: list
) -> dict[str, Any]:
    """Return the churn by service."""
    return {
        name: measures.compute_churn(
            before,
            benchmark.after.owners[name],
            [item.key for item in records if item.key.startswith(f"{name}-")],
            benchmark.min_moves.get(name, 0),
        )._asdict()
        for name, before in benchmark.before.owners.items()
    }


def describe_costs(meter: accounting.Meter, answered: int) -> dict[str, float]:
    """Return the resource usage of the entry tier."""
    costs = list(meter.costs.values())
    processor = sum(cost.processor for cost in costs)
    return {
        "processes": len(costs),
        "processor_us_per_request": processor / answered * 1e6 if answered else 0.0,
        "busiest_core": max((cost.core_share for cost in costs), default=0.0),
        "largest_memory_mb": max((cost.memory for cost in costs), default=0)
        / accounting.BYTES_PER_MEBIBYTE,
        "moved_bytes_per_request": sum(cost.moved for cost in costs) / answered
        if answered
        else 0.0,
    }
