"""Runs one scenario: fleet, load, watcher, script, checks, report."""

import asyncio
import datetime
import pathlib
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any, NamedTuple

from dewstep_core import clock as clocks, registry
from dewstep_emulator import (
    deployments,
    fleet as fleets,
    history,
    launching,
    load,
    watch,
)

SETTLE_SECONDS = 1.5
"""Load that goes on after the last fault has ended."""

Check = Callable[[list[history.Call], tuple[history.Run, ...]], Iterable[NamedTuple]]
"""Returns the violations of a promise in what callers saw and targets ran."""


class Stage(NamedTuple):
    """What a scenario works on."""

    fleet: fleets.Fleet
    random: random.Random
    say: Callable[[str], None]
    caller: load.Caller
    watcher: watch.Watcher
    seconds: float
    """Duration, for scenarios that have no fixed one."""
    measures: dict[str, float]
    problems: list[str]
    """What went wrong beside the promises that the history checker knows."""
    violations: list[NamedTuple]
    """Broken promises that the script has found itself."""
    checks: list[Check]
    """More checks of the finished history."""
    expected_codes: dict[str, int]
    """Exit codes other than 0 that a script provokes, by entry process."""


Script = Callable[[Stage], Awaitable[None]]
Plan = Callable[[deployments.Deployment], deployments.Deployment]


class Scenario(NamedTuple):
    """A script and the fleet that it needs."""

    name: str
    script: Script
    rate: float
    entries: int
    scale: float
    planned: bool
    """Whether it holds planned stops only, so that no connection may break."""
    tries: int
    """Times that a caller sends one request at most."""
    plan: Plan
    """Changes the deployment."""
    options: Mapping[str, Any]
    """More `FleetOptions`."""


class Report(NamedTuple):
    """What one run of a scenario showed."""

    name: str
    seed: int
    summary: history.Summary
    violations: tuple
    problems: tuple[str, ...]
    measures: Mapping[str, float]
    exit_codes: Mapping[str, int | None]
    kinds: Mapping[str, history.Summary]
    """Counts by kind of request."""

    def is_clean(self) -> bool:
        """Return whether no promise was broken."""
        return not self.violations and not self.problems


TRACE_CHARACTERS = 3_000
TASK_FAILED = 1
"""Exit code of an entry process that stopped because of its own fault."""

scenarios: registry.Registry[Scenario] = registry.Registry("scenario")


def keep_plan(deployment: deployments.Deployment) -> deployments.Deployment:
    """Return the deployment as it is."""
    return deployment


def scenario(
    name: str,
    rate: float = 150.0,
    entries: int = 6,
    scale: float = 0.15,
    planned: bool = False,
    tries: int = load.MOST_TRIES,
    plan: Plan = keep_plan,
    **options: Any,
) -> Callable[[Script], Script]:
    """Register the decorated script."""

    def enter(script: Script) -> Script:
        scenarios.register(name)(
            Scenario(name, script, rate, entries, scale, planned, tries, plan, options)
        )
        return script

    return enter


async def run_scenario(
    name: str,
    seed: int,
    folder: pathlib.Path,
    say: Callable[[str], None] = lambda text: None,
    seconds: float = 20.0,
) -> Report:
    """Run a scenario under load and check its history."""
    chosen = scenarios.get(name)
    options = launching.FleetOptions(chosen.entries, seed, **chosen.options)
    deployment = chosen.plan(deployments.plan_tsagaan(chosen.scale))
    fleet = fleets.Fleet(deployment, options, folder)
    caller = load.Caller(fleet.list_callers, clocks.SystemClock(), seed)
    watcher = watch.Watcher(fleet)
    stage = Stage(
        fleet, random.Random(seed), say, caller, watcher, seconds, {}, [], [], [], {}
    )
    try:
        await fleet.start()
        watcher.start()
        running = asyncio.ensure_future(caller.run(build_mix(chosen, deployment)))
        await asyncio.sleep(1.0)
        await chosen.script(stage)
        await asyncio.sleep(SETTLE_SECONDS)
        caller.stop()
        await running
        await caller.close()
        await check_invariants(stage)
        check_running(stage)
        await watcher.stop()
        codes = await fleet.stop()
    finally:
        await fleet.kill_all()
    return build_report(chosen, seed, stage, codes)


def build_mix(chosen: Scenario, deployment: deployments.Deployment) -> load.Mix:
    """Return what the callers ask for while the script runs."""
    return load.Mix(
        deployments.plan_calls(deployment),
        chosen.rate,
        datetime.timedelta(hours=1),
        keys=100,
        skew=0.8,
        resend=True,
        tries=chosen.tries,
    )


def build_report(
    chosen: Scenario, seed: int, stage: Stage, codes: Mapping[str, int | None]
) -> Report:
    """Return the report of a finished run."""
    calls, runs = stage.caller.calls, stage.fleet.read_runs()
    violations = [
        *history.check_history(
            calls, runs, stage.fleet.list_slots(), stage.fleet.departures
        ),
        *stage.watcher.found,
        *stage.violations,
    ]
    for check in stage.checks:
        violations += check(calls, runs)
    if chosen.planned:
        violations += history.find_cut_off(calls)
        violations += history.find_unknown(calls)
    if stage.caller.failures:
        count = len(stage.caller.failures)
        stage.problems.append(f"{count} calls failed: {stage.caller.failures[0]}")
    for name, code in codes.items():
        if code != stage.expected_codes.get(name, 0):
            stage.problems.append(f"{name} ended with exit code {code}")
    summary = history.summarize(calls, runs)
    if not summary.answered:
        # A history without answers breaks no promise and proves nothing.
        stage.problems.append("no request was answered")
    for name, entry in stage.fleet.entries.items():
        if entry.process.child.returncode == TASK_FAILED:
            trace = find_trace(entry.process.log.read_text(errors="replace"))
            stage.problems.append(f"{name} ended because of its own fault: {trace}")
    return Report(
        chosen.name,
        seed,
        summary,
        tuple(violations),
        tuple(stage.problems),
        stage.measures,
        codes,
        summarize_kinds(calls, runs),
    )


def find_trace(log: str) -> str:
    """Return the part of a process's log that tells what failed first.

    That is the end of the log if the process ended by an exception outside its tasks.
    """
    start = log.find("task_failed")
    if start < 0:
        return log[-TRACE_CHARACTERS:]
    return log[start : start + TRACE_CHARACTERS]


def summarize_kinds(
    calls: list[history.Call], runs: tuple[history.Run, ...]
) -> dict[str, history.Summary]:
    """Return the counts by kind of request."""
    summaries = {}
    for kind in sorted({call.kind for call in calls}):
        chosen = [call for call in calls if call.kind == kind]
        ids = {call.request_id for call in chosen}
        summaries[kind] = history.summarize(
            chosen, [run for run in runs if run.request_id in ids]
        )
    return summaries


def check_running(stage: Stage) -> None:
    """Note the entry processes that ended by themselves, in this or an earlier run."""
    fleet = stage.fleet
    current = [entry.process for entry in fleet.entries.values()]
    for process in (*current, *fleet.ended):
        if process.name in fleet.entries and process.has_failed():
            code = process.child.returncode
            stage.problems.append(f"{process.name} ended by itself with code {code}")


async def check_invariants(stage: Stage) -> None:
    """Note the invariants that the entry processes found broken in themselves."""
    for name, entry in stage.fleet.entries.items():
        if not entry.process.is_running():
            continue
        dump = await stage.fleet.read_dump(name)
        for invariant, count in (dump or {}).get("broken_invariants", {}).items():
            stage.problems.append(f"{name}: invariant {invariant} broken {count}×")
