"""Runs one scenario and turns what was seen into a report."""

import asyncio
import collections
import pathlib
from collections.abc import Callable
from typing import Any

from dewstep_emulator import deployments, history
from dewstep_emulator.bench import (
    accounting,
    generator,
    loads,
    measures,
    plans,
    stage as stages,
)

COOL_SECONDS = 0.5
FAULT = "fault"
"""Name of the mark from which the restoration counts."""


async def run(
    name: str,
    seed: int,
    folder: pathlib.Path,
    capacity: float = plans.CAPACITY,
    say: Callable[[str], None] = lambda text: None,
    relays: bool = False,
) -> dict[str, Any]:
    """Run the scenario `<deployment>-<scenario>` and return its report.

    Raises
    ------
    LookupError
        If there is no such scenario.
    """
    user, _, kind = name.partition("-")
    plan = deployments.deployments.get(user)
    scenario = plans.scenarios.get(kind)
    if plan is None or scenario is None:
        raise LookupError(name)
    deployment = plans.fit_capacity(plan(), capacity)
    stage = stages.Stage(deployment, scenario, seed, folder, capacity, say, relays)
    try:
        await stage.start()
        watching = asyncio.ensure_future(stage.watch_costs())
        await scenario.script(stage)
        stage.mark("end")
        watching.cancel()
        stage.meter.read(stage.list_entry_pids())
        load = await stage.load.stop()
        stage.after = await stage.take_snapshot()
        await asyncio.sleep(COOL_SECONDS)
        runs = stage.fleet.read_runs()
        await stage.fleet.stop()
    finally:
        await stage.load.kill()
        await stage.fleet.kill_all()
    label = f"{name} (relays)" if relays else name
    return build_report(label, seed, capacity, stage, load, runs)


def build_report(
    name: str,
    seed: int,
    capacity: float,
    stage: stages.Stage,
    load: loads.Load,
    runs: tuple[history.Run, ...],
) -> dict[str, Any]:
    """Return all measures of a run, as JSON values."""
    begin, end = stage.get_time("begin"), stage.get_time("end")
    records = [item for item in load.records if begin <= item.scheduled < end]
    weights = [call.kind.weight for call in deployments.plan_calls(stage.deployment)]
    services = [kind.service for kind in stage.load.plan.kinds]
    answered = measures.select_answered(records)
    refusals = [time for record in records for time in record.refusals]
    started = sum(begin <= read_time(run) < end for run in runs)
    groups = measures.find_groups(records, stage.before.owners, services)
    faults = [mark.time for mark in stage.marks if mark.name == FAULT]
    return {
        "name": name,
        "seed": seed,
        "capacity": capacity,
        "machine_load": max(stage.machine_load, default=0.0),
        "seconds": end - begin,
        "load_tool": {
            "processes": load.processes,
            "busiest_core": load.busiest,
            "lag_p99_ms": load.lag * 1000,
            "kept_up": load.kept_up,
        },
        "answered": measures.compute_answered(records, weights),
        "outcomes": dict(collections.Counter(item.outcome for item in records)),
        "latency_ms": measures.compute_percentiles(measures.get_latencies(answered)),
        "refusal_ms": {
            "count": len(refusals),
            **measures.compute_percentiles(refusals),
        },
        "retries": measures.compute_retries(records, started),
        "unavailable": measures.compute_unavailable(groups, (*faults, begin)[0]),
        "imbalance": describe_imbalance(stage),
        "churn": describe_churn(stage, records),
        "control_writes": {
            prefix.strip("/"): count - stage.before.versions[prefix]
            for prefix, count in stage.after.versions.items()
        },
        "entry_tier": describe_costs(stage.meter, len(answered)),
        "phases": describe_phases(stage, records),
        "marks": [(mark.name, mark.time - begin) for mark in stage.marks],
        "notes": stage.notes,
    }


def read_time(run: history.Run) -> float:
    """Return the start of a run as monotonic seconds."""
    return (run.start - history.parse_time(0.0)).total_seconds()


def describe_phases(stage: stages.Stage, records: list) -> list[dict[str, Any]]:
    """Return goodput and latency between each two events."""
    phases = []
    for mark, following in zip(stage.marks, stage.marks[1:], strict=False):
        span = following.time - mark.time
        part = [item for item in records if mark.time <= item.scheduled]
        part = [item for item in part if item.scheduled < following.time]
        answered = measures.select_answered(part)
        phases.append(
            {
                "from": mark.name,
                "seconds": span,
                "offered_per_s": len(part) / span,
                "answered_per_s": len(answered) / span,
                "latency_ms": measures.compute_percentiles(
                    measures.get_latencies(answered)
                ),
            }
        )
    return phases


def describe_imbalance(stage: stages.Stage) -> dict[str, Any]:
    """Return the imbalance by service at the end, with and without the moves.

    It is computed from the true shares of the keys: counts of a few seconds would add
    their own noise to the busiest target.
    """
    chooser = generator.KeyChooser(stage.load.plan)
    found = {}
    for plan in stage.deployment.services:
        name = plan.service.name
        keys = chooser.list_shares(name, stage.load.control.rotation)
        found[name] = {
            label: measures.compute_imbalance(
                measures.compute_loads(
                    keys, snapshot.owners[name], snapshot.overrides[name]
                ),
                keys,
                plan.targets,
            )._asdict()
            for label, snapshot in (("static", stage.before), ("moved", stage.after))
        }
    return found


def describe_churn(stage: stages.Stage, records: list) -> dict[str, Any]:
    """Return the churn by service."""
    return {
        name: measures.compute_churn(
            before,
            stage.after.owners[name],
            [item.key for item in records if item.key.startswith(f"{name}-")],
            stage.least_moves.get(name, 0),
        )._asdict()
        for name, before in stage.before.owners.items()
    }


def describe_costs(meter: accounting.Meter, answered: int) -> dict[str, float]:
    """Return what the entry tier used."""
    costs = list(meter.costs.values())
    processor = sum(cost.processor for cost in costs)
    return {
        "processes": len(costs),
        "processor_us_per_request": processor / answered * 1e6 if answered else 0.0,
        "busiest_core": max((cost.share for cost in costs), default=0.0),
        "largest_memory_mb": max((cost.memory for cost in costs), default=0)
        / accounting.MEBIBYTE,
        "moved_bytes_per_request": sum(cost.moved for cost in costs) / answered
        if answered
        else 0.0,
    }
