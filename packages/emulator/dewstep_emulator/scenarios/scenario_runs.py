"""Runs one scenario: starts the processes and the load, runs the script, checks."""

import asyncio
import datetime
import pathlib
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any, NamedTuple

from dewstep_core import clocks, registry
from dewstep_emulator import (
    deployments,
    fleets,
    history,
    launching,
    load,
    version_monitor,
)

SETTLE_SECONDS = 1.5
"""Duration of the load after the end of the script."""

Check = Callable[[list[history.Call], tuple[history.Run, ...]], Iterable[NamedTuple]]
"""Returns violations found in the recorded calls and runs."""


class ScenarioRun(NamedTuple):
    """The processes, load and results that a scenario script works on."""

    fleet: fleets.Fleet
    random: random.Random
    print_line: Callable[[str], None]
    caller: load.LoadGenerator
    monitor: version_monitor.VersionMonitor
    seconds: float
    """Duration of scenarios that have no fixed duration."""
    measures: dict[str, float]
    problems: list[str]
    """Failures that are not violations of a guarantee."""
    violations: list[NamedTuple]
    """Violations found by the script."""
    checks: list[Check]
    """Checks of the complete history, in addition to the standard ones."""
    expected_codes: dict[str, int]
    """Expected exit codes other than 0, by entry process."""


Script = Callable[[ScenarioRun], Awaitable[None]]
DeploymentChange = Callable[[deployments.Deployment], deployments.Deployment]


class Scenario(NamedTuple):
    """A script and the deployment and load it runs with."""

    name: str
    script: Script
    rate: float
    entries: int
    scale: float
    forbid_unknown_outcomes: bool
    """Whether no call may be cut off or have an unknown outcome.

    True for scenarios with planned stops only."""
    tries: int
    """Maximum number of attempts per request."""
    change_deployment: DeploymentChange
    """Returns the deployment to run from the default one."""
    options: Mapping[str, Any]
    """Further fields of `FleetOptions`."""


class Report(NamedTuple):
    """Result of one run of a scenario."""

    name: str
    seed: int
    summary: history.Summary
    violations: tuple
    problems: tuple[str, ...]
    measures: Mapping[str, float]
    exit_codes: Mapping[str, int | None]
    kinds: Mapping[str, history.Summary]
    """Counts by request kind."""

    def is_clean(self) -> bool:
        """Return whether there were no violations and no other failures."""
        return not self.violations and not self.problems


MAX_TRACE_CHARACTERS = 3_000
TASK_FAILED_EXIT_CODE = 1
"""Exit code of an entry process that stopped because one of its tasks failed."""

scenarios: registry.Registry[Scenario] = registry.Registry("scenario")


def keep_deployment(deployment: deployments.Deployment) -> deployments.Deployment:
    """Return the deployment unchanged."""
    return deployment


def scenario(
    name: str,
    rate: float = 150.0,
    entries: int = 6,
    scale: float = 0.15,
    forbid_unknown_outcomes: bool = False,
    tries: int = load.MAXIMUM_ATTEMPTS,
    change_deployment: DeploymentChange = keep_deployment,
    **options: Any,
) -> Callable[[Script], Script]:
    """Register the decorated script."""

    def decorate(script: Script) -> Script:
        scenarios.register(name)(
            Scenario(
                name,
                script,
                rate,
                entries,
                scale,
                forbid_unknown_outcomes,
                tries,
                change_deployment,
                options,
            )
        )
        return script

    return decorate


async def run_scenario(
    name: str,
    seed: int,
    folder: pathlib.Path,
    print_line: Callable[[str], None] = lambda text: None,
    seconds: float = 20.0,
) -> Report:
    """Run a scenario under load and check the recorded history."""
    selected = scenarios.get(name)
    options = launching.FleetOptions(selected.entries, seed, **selected.options)
    deployment = selected.change_deployment(deployments.plan_tsagaan(selected.scale))
    fleet = fleets.Fleet(deployment, options, folder)
    caller = load.LoadGenerator(
        fleet.list_balanced_addresses, clocks.SystemClock(), seed
    )
    monitor = version_monitor.VersionMonitor(fleet)
    scenario_run = ScenarioRun(
        fleet,
        random.Random(seed),
        print_line,
        caller,
        monitor,
        seconds,
        {},
        [],
        [],
        [],
        {},
    )
    try:
        await fleet.start()
        monitor.start()
        running = asyncio.ensure_future(
            caller.run(build_load_plan(selected, deployment))
        )
        await asyncio.sleep(1.0)
        await selected.script(scenario_run)
        await asyncio.sleep(SETTLE_SECONDS)
        caller.stop()
        await running
        await caller.close()
        await check_invariants(scenario_run)
        check_running(scenario_run)
        await monitor.stop()
        codes = await fleet.stop()
    finally:
        await fleet.kill_all()
    return build_report(selected, seed, scenario_run, codes)


def build_load_plan(
    selected: Scenario, deployment: deployments.Deployment
) -> load.LoadPlan:
    """Return the mix of requests that callers send while the script runs."""
    return load.LoadPlan(
        deployments.plan_calls(deployment),
        selected.rate,
        datetime.timedelta(hours=1),
        keys=100,
        skew=0.8,
        resend=True,
        tries=selected.tries,
    )


def build_report(
    selected: Scenario,
    seed: int,
    scenario_run: ScenarioRun,
    codes: Mapping[str, int | None],
) -> Report:
    """Return the report of a finished run."""
    calls, runs = scenario_run.caller.calls, scenario_run.fleet.read_runs()
    violations = [
        *history.check_history(
            calls, runs, scenario_run.fleet.list_slots(), scenario_run.fleet.departures
        ),
        *scenario_run.monitor.version_violations,
        *scenario_run.violations,
    ]
    for check in scenario_run.checks:
        violations += check(calls, runs)
    if selected.forbid_unknown_outcomes:
        violations += history.find_broken_connections(calls)
        violations += history.find_unknown(calls)
    if scenario_run.caller.failures:
        count = len(scenario_run.caller.failures)
        scenario_run.problems.append(
            f"{count} calls failed: {scenario_run.caller.failures[0]}"
        )
    for name, code in codes.items():
        if code != scenario_run.expected_codes.get(name, 0):
            scenario_run.problems.append(f"{name} ended with exit code {code}")
    summary = history.summarize(calls, runs)
    if not summary.answered:
        # Without answers no check can fail.
        scenario_run.problems.append("no request was answered")
    for name, entry in scenario_run.fleet.entries.items():
        if entry.process.child.returncode == TASK_FAILED_EXIT_CODE:
            trace = extract_failure_log(entry.process.log.read_text(errors="replace"))
            scenario_run.problems.append(f"{name} ended because a task failed: {trace}")
    return Report(
        selected.name,
        seed,
        summary,
        tuple(violations),
        tuple(scenario_run.problems),
        scenario_run.measures,
        codes,
        summarize_kinds(calls, runs),
    )


def extract_failure_log(log: str) -> str:
    """Return the part of a process's log that starts with the first failed task.

    If no task failed, the process ended by an exception at the end of the log.
    """
    start = log.find("task_failed")
    if start < 0:
        return log[-MAX_TRACE_CHARACTERS:]
    return log[start : start + MAX_TRACE_CHARACTERS]


def summarize_kinds(
    calls: list[history.Call], runs: tuple[history.Run, ...]
) -> dict[str, history.Summary]:
    """Return the counts by request kind."""
    summaries = {}
    for kind in sorted({call.kind for call in calls}):
        selected = [call for call in calls if call.kind == kind]
        ids = {call.request_id for call in selected}
        summaries[kind] = history.summarize(
            selected, [run for run in runs if run.request_id in ids]
        )
    return summaries


def check_running(scenario_run: ScenarioRun) -> None:
    """Record entry processes, current or replaced, that ended without being stopped."""
    fleet = scenario_run.fleet
    current = [entry.process for entry in fleet.entries.values()]
    for process in (*current, *fleet.ended):
        if process.name in fleet.entries and process.has_failed():
            code = process.child.returncode
            scenario_run.problems.append(
                f"{process.name} ended unexpectedly with exit code {code}"
            )


async def check_invariants(scenario_run: ScenarioRun) -> None:
    """Record the invariants that entry processes report as broken."""
    for name, entry in scenario_run.fleet.entries.items():
        if not entry.process.is_running():
            continue
        dump = await scenario_run.fleet.read_dump(name)
        for invariant, count in (dump or {}).get("broken_invariants", {}).items():
            scenario_run.problems.append(
                f"{name}: invariant {invariant} broken {count} times"
            )
