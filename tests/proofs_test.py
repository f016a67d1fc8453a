"""Tests of the guarantees in docs/design.md under faults, with real processes.

Each test runs one scenario of `dewstep_emulator.scenarios` with a fixed seed, which it
prints. docs/PROOFS.md lists the guarantee that each scenario tests. Several scenarios
run concurrently. `pytest -m "not proofs"` skips these tests.
"""

import concurrent.futures
import os
import sys

import pytest

from dewstep_emulator import command_runner

pytestmark = pytest.mark.proofs

WORKERS = max(1, min(4, (os.cpu_count() or 1) // 2))
"""Scenarios that run concurrently; each keeps about one processor busy."""
SCENARIO_TIMEOUT_SECONDS = 120

SCENARIOS = {
    "gate-paused-with-requests": 1,
    "answers-overdue": 1,
    "crashing-request": 1,
    "target-restarted-old-gate-cut-off": 1,
    "unfenced-gate-killed": 1,
    "unfenced-gate-paused": 1,
    "answers-lost": 1,
    "bad-callers": 1,
    "connections-reset": 1,
    "data-centre-cut-off": 1,
    "data-centre-lost": 1,
    "entries-replaced": 1,
    "entry-frozen-across-revisions": 1,
    "entry-started-by-lagging-peer": 1,
    "gate-and-target-killed": 1,
    "gate-frozen": 1,
    "gate-killed": 1,
    "gate-killed-before-answer-memory": 1,
    "gate-killed-before-answer-table": 1,
    "large-bodies-target-killed": 1,
    "late-and-wrong-answers": 1,
    "no-fault": 1,
    "operators-race": 1,
    "operators-race-answers-lost": 1,
    "revisions-in-quick-succession": 1,
    "schema-versions-mixed": 1,
    "second-signal": 1,
    "shards-moved": 1,
    "shards-moved-answers-lost": 1,
    "short-horizon": 1,
    "table-down": 1,
    "table-down-new-entry": 1,
    "table-slow": 1,
    "target-drained": 1,
    "target-frozen": 1,
    "target-killed": 1,
    "target-leaving-by-list": 1,
    "target-out-of-reach": 1,
    "target-paused-table-slow": 1,
    "target-paused-with-requests": 1,
    "two-gates-killed": 1,
    "unfenced-gate-declared-dead": 1,
    "unfenced-gate-released": 1,
    "upload-across-pause": 1,
}
"""Seeds by scenario. The longest scenarios come first, which shortens the test run."""


def run_scenario(name, folder):
    """Run a scenario and return the completed process."""
    command = [sys.executable, "-m", "dewstep_emulator.scenarios", name]
    command += [f"--seed={SCENARIOS[name]}", f"--folder={folder}"]
    return command_runner.run_with_time_limit(command, SCENARIO_TIMEOUT_SECONDS)


@pytest.fixture(scope="module")
def runs(request, tmp_path_factory):
    """Run the scenarios of all selected tests, `WORKERS` at a time; yield futures."""
    selected = [
        item.callspec.params["name"]
        for item in request.session.items
        if item.module is request.module and hasattr(item, "callspec")
    ]
    folder = tmp_path_factory.mktemp("proofs")
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        started = {name: pool.submit(run_scenario, name, folder) for name in selected}
        yield started
        for run in started.values():
            run.cancel()


@pytest.mark.parametrize("name", SCENARIOS)
def test_promises_hold(runs, name):
    """Guards against every violation that the checks of the scenario report."""
    print(f"scenario {name} seed {SCENARIOS[name]}")
    completed = runs[name].result()
    print(completed.stdout)
    assert completed.returncode == 0, completed.stdout
