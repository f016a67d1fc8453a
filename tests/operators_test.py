"""Runs the operators' commands against a fleet of real processes."""

import asyncio
import contextlib
import datetime
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time

import pytest

from dewstep_core import clocks, hashing
from dewstep_core.http import client
from dewstep_emulator import (
    addresses,
    deployments,
    fleets,
    history,
    launching,
    load,
    processes,
    toml_text,
)
from dewstep_entry import dump

REQUESTS_PER_SECOND = 80.0
CRASH_MARKER = "crashes-its-target"
STOP_LIMIT_SECONDS = 8.0


METRIC_PATTERN = r"dewstep\.entry-[0-9]\.([^:]+):([0-9.]+)\|([cg])"
METRICS_WAIT_SECONDS = 1.5
"""Longer than the interval at which the entry processes send metrics."""
PAGE = pathlib.Path(__file__).parents[1] / "docs/OPERATIONS.md"


def get_groups(match):
    return match.groups()


class OperatorHarness:
    """A fleet, the event loop in which it runs, and the operators' command."""

    def __init__(self, runner, local_fleet, statsd):
        self.run = runner.run
        self.statsd = statsd
        self.fleet = local_fleet
        self.file = local_fleet.folder / "records.toml"
        table = addresses.format_address(local_fleet.table_process.addresses)
        self.environment = {**os.environ, "DEWSTEP_TABLE": table}

    def start_command(self, *arguments):
        return subprocess.Popen(
            [sys.executable, "-m", "dewstep_operator.main", "--json", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env=self.environment,
        )

    def run_command(self, *arguments, code=0):
        command = self.start_command(*arguments)
        output, progress = command.communicate(timeout=30)
        assert command.returncode == code, (arguments, output, progress)
        return json.loads(output), progress

    def write_records(self, **slots):
        """Write the fleet's records, with other numbers of slots for some targets."""
        built = self.fleet.build_configuration(1)
        targets = {
            name: target._replace(slots=slots.get(name, target.slots))
            for name, target in built.targets.items()
        }
        self.file.write_text(toml_text.format_records(built._replace(targets=targets)))

    def get_rows(self, command, name):
        return {row[name]: row for row in self.run_command(command)[0]}

    def find_key(self, service, target):
        owners = self.run(self.fleet.read_owners(service))
        return next(
            f"key-{number}"
            for number in range(10_000)
            if owners[hashing.compute_shard(f"key-{number}", len(owners))] == target
        )

    async def call_entry(self, name, method, path, body=b"", request_id="id"):
        caller = client.Client(self.fleet.entries[name].callers, 10.0)
        answer = await load.call_with_id(caller, method, path, body, request_id)
        await caller.close()
        return answer.value_or(None)

    def read_metrics(self):
        """Return the metrics since the previous call as tuples (name, value, type)."""
        lines = []
        with contextlib.suppress(BlockingIOError):
            while True:
                lines += self.statsd.recv(65_536).decode().split("\n")
        matches = (re.fullmatch(METRIC_PATTERN, line) for line in lines)
        return [
            (name, float(value), kind) for name, value, kind in map(get_groups, matches)
        ]

    def run_under_load(self, seed, work):
        """Run `work` while callers send requests; fail if one of them is cut.

        Each call needs a different seed, because the seed determines the request ids.
        """
        local_fleet = self.fleet
        caller = load.LoadGenerator(
            local_fleet.list_balanced_addresses, clocks.SystemClock(), seed
        )
        plans = deployments.plan_calls(local_fleet.deployment)
        hour = datetime.timedelta(hours=1)
        load_plan = load.LoadPlan(
            plans, REQUESTS_PER_SECOND, hour, 50, 0.5, resend=True
        )

        async def run():
            sending = asyncio.ensure_future(caller.run(load_plan))
            await asyncio.sleep(0.5)
            outcome = await work()
            await asyncio.sleep(0.7)
            caller.stop()
            await sending
            await caller.close()
            return outcome

        outcome = self.run(run())
        slots = dict.fromkeys(local_fleet.targets, local_fleet.deployment.slots)
        assert not history.check_history(caller.calls, local_fleet.read_runs(), slots)
        assert not history.find_broken_connections(caller.calls)
        assert not history.find_unknown(caller.calls)
        self.answered = sum(c.outcome == history.ANSWERED for c in caller.calls)
        assert self.answered > 50
        return outcome


@pytest.fixture(scope="module")
def harness(tmp_path_factory):
    statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    statsd.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    statsd.bind((addresses.HOST, 0))
    statsd.setblocking(False)
    options = launching.FleetOptions(
        entries=6,
        crash_marker=CRASH_MARKER,
        entry_settings={
            "stop_limit": f"{STOP_LIMIT_SECONDS:.0f}s",
            "statsd_address": f"{addresses.HOST}:{statsd.getsockname()[1]}",
        },
    )
    local_fleet = fleets.Fleet(
        deployments.plan_tsagaan(0.15), options, tmp_path_factory.mktemp("fleet")
    )
    with asyncio.Runner() as runner:
        try:
            runner.run(local_fleet.start())
            yield OperatorHarness(runner, local_fleet, statsd)
        finally:
            runner.run(local_fleet.kill_all())
            statsd.close()


def test_configuration_is_checked_compared_and_applied(harness):
    harness.write_records()
    assert harness.run_command("check", str(harness.file))[0]
    before = harness.run_command("show")[0]["revision"]
    assert harness.run_command("diff", str(harness.file))[0]["changes"] == []
    harness.write_records(**{"history-0": 3})
    (change,) = harness.run_command("diff", str(harness.file))[0]["changes"]
    assert (change["name"], change["field"]) == ("history-0", "slots")
    document, progress = harness.run_command("apply", "--wait", str(harness.file))
    assert document["revision"] == before + 1
    assert "in force in 6 of 6 entry processes" in progress
    revisions = {row["revision"] for row in harness.run_command("entries")[0]}
    assert revisions == {before + 1}


def test_one_of_two_concurrent_applies_is_refused(harness):
    # Guards against a lost update: both commands start from the same revision.
    revision = harness.run_command("show")[0]["revision"]
    commands = []
    for slots in (2, 1):
        harness.write_records(**{"history-0": slots})
        file = harness.file.with_name(f"race-{slots}.toml")
        file.write_text(harness.file.read_text())
        commands.append(
            harness.start_command("apply", "--revision", str(revision), str(file))
        )
    outputs = [json.loads(command.communicate(timeout=30)[0]) for command in commands]
    assert sorted(command.returncode for command in commands) == [0, 1]
    winner, loser = sorted(zip(commands, outputs, strict=True), key=rank_outcome)
    assert winner[1]["revision"] == revision + 1
    assert f"revision {revision + 1}" in loser[1]["failures"][0]["detail"]
    slots = harness.get_rows("targets", "target")["history-0"]["slots"]
    assert slots == 2 - commands.index(winner[0])
    assert harness.run_command("show")[0]["revision"] == revision + 1


def rank_outcome(pair):
    return pair[0].returncode


def test_listings_find_the_whole_fleet_without_an_entry_address(harness):
    # The command finds the entry processes through the gate rows in the table.
    entries = harness.get_rows("entries", "entry")
    assert sorted(entries) == [f"entry-{number}" for number in range(6)]
    assert all(row["alive"] and row["reachable"] for row in entries.values())
    targets = harness.get_rows("targets", "target")
    assert set(targets) == set(harness.fleet.targets)
    assert {row["gate"] for row in targets.values()} <= set(entries)
    services = harness.get_rows("services", "service")
    assert services["history"]["targets"] == 3
    owners = harness.run_command("owners", "history")[0]
    assert {row["target"] for row in owners} == {f"history-{n}" for n in range(3)}
    state_dump = harness.run_command("dump", "entry-3")[0]
    assert state_dump["entry"] == "entry-3"
    assert state_dump["revision"] == harness.run_command("show")[0]["revision"]
    assert set(state_dump) == set(dump.Dump.__annotations__)
    for gate in state_dump["gates"].values():
        assert set(gate) == set(dump.GateDump.__annotations__)
    assert state_dump["counts"]["events.started"] == 1


def test_shards_and_keys_are_moved_and_explained(harness):
    key = harness.find_key("history", "history-1")
    shard = harness.run_command("explain", "history", key)[0]["shard"]
    moved = harness.run_command("move", "history", "history-2", "--shard", str(shard))[
        0
    ]
    assert (moved["before"], moved["after"]) == ("history-1", "history-2")
    moved = harness.run_command("move", "history", "history-0", "--key", key)[0]
    assert (moved["before"], moved["after"]) == ("history-2", "history-0")
    route = harness.run_command("explain", "history", key)[0]
    assert route["shard_owner"] == "history-2"
    assert route["override"] == route["owner"] == "history-0"
    assert route["gate_alive"] is True
    answer = harness.run(harness.call_entry("entry-5", "GET", f"/history/{key}/due"))
    assert answer.read_json()["target"] == "history-0"


def test_drain_waits_for_an_empty_target_and_can_be_undone(harness):
    # Guards against drains that cut requests or are reported as done too early.
    name = "booker-0"

    async def drain():
        return await asyncio.to_thread(harness.run_command, "drain", name)

    document, progress = harness.run_under_load(1, drain)
    assert document["empty"] is True
    assert f"target {name}: 0 shards, 0 single keys, 0 requests running" in progress
    row = harness.get_rows("targets", "target")[name]
    assert (row["draining"], row["shards"], row["keys"]) == (True, 0, 0)
    harness.run_command("drain", name, "--undo")
    assert harness.get_rows("targets", "target")[name]["draining"] is False


def test_metrics_have_documented_names_and_complete_counts(harness):
    # Guards against alarms on metrics that do not exist, and against lost counts.
    time.sleep(METRICS_WAIT_SECONDS)
    harness.read_metrics()
    harness.run_under_load(3, lambda: asyncio.sleep(0.5))
    time.sleep(METRICS_WAIT_SECONDS)
    received = harness.read_metrics()
    counts = [item for item in received if item[2] == "c"]
    answered = [v for name, v, _ in counts if re.match("requests.*answered$", name)]
    assert sum(answered) == harness.answered
    timed = [v for n, v, _ in counts if re.match(r"latency\..*\.(to|above)_", n)]
    assert sum(timed) >= harness.answered
    section = PAGE.read_text().split("\n## Metrics\n")[1].split("\n## ")[0]
    listed = re.findall(r"^\| `([^`]+)`", section, re.MULTILINE)
    patterns = [re.sub(r"[A-Z]{2,}", "[^.]+", re.escape(name)) for name in listed]
    names = {name for name, _, _ in received}
    unlisted = {n for n in names if not any(re.fullmatch(p, n) for p in patterns)}
    assert not unlisted
    gauges = {name for name, _, kind in received if kind == "g"}
    assert {"gates", "members.alive", "revision", "table.contact_age_s"} <= gauges
    assert {"targets.history-0.waiting", "targets.history-0.limit"} <= gauges
    assert "claims.written" in names and "table.reads" in names


def test_quarantined_request_is_listed_and_released(harness):
    path = "/booker/quarantined/booking"

    async def send(number):
        answer = await harness.call_entry(
            "entry-0", "POST", path, CRASH_MARKER.encode(), f"crash-{number}"
        )
        for name, process in list(harness.fleet.targets.items()):
            if not process.is_running():
                await harness.fleet.restart_target(name)
        await harness.fleet.wait_ready()
        return answer.headers.get("dewstep-failure")

    for number in range(6):
        if harness.run(send(number)) == "Quarantined":
            break
    (item,) = harness.run_command("quarantine", "list", "booker")[0]
    assert item["state"] == "quarantined"
    harness.run_command("quarantine", "release", "booker", item["fingerprint"])
    assert harness.run_command("quarantine", "list")[0] == []
    harness.run_command("quarantine", "release", "booker", item["fingerprint"], code=2)


def test_target_lost_together_with_its_gate_is_declared_dead(harness):
    name = "history-2"
    local_fleet = harness.fleet
    harness.run_command("declare-dead", name, "--yes", "history-1", code=1)
    gate = local_fleet.entries[harness.get_rows("targets", "target")[name]["gate"]]

    async def lose():
        await asyncio.gather(local_fleet.targets[name].kill(), gate.process.kill())

    async def wait_owns_nothing():
        async with asyncio.timeout(10):
            while name in await local_fleet.read_owners("history"):
                await asyncio.sleep(0.1)

    harness.run(lose())
    wait_until(lambda: harness.get_rows("targets", "target")[name]["gate"] != gate.name)
    assert harness.get_rows("targets", "target")[name]["shards"] > 0
    harness.run_command("declare-dead", name, "--yes", name)
    harness.run(wait_owns_nothing())
    row = harness.get_rows("entries", "entry")[gate.name]
    assert (row["alive"], row["reachable"]) == (False, False)
    harness.run(local_fleet.start_entry(int(gate.name.removeprefix("entry-"))))
    harness.run(local_fleet.restart_target(name))
    harness.run(local_fleet.wait_ready())


def wait_until(is_true, limit=10.0):
    end = time.monotonic() + limit
    while not is_true():
        assert time.monotonic() < end
        time.sleep(0.2)


def test_planned_stop_under_load_cuts_no_request(harness):
    local_fleet = harness.fleet

    async def stop():
        entry = local_fleet.entries["entry-1"]
        local_fleet.remove_from_balancer(entry.name)
        codes = [await entry.process.terminate(STOP_LIMIT_SECONDS)]
        codes.append(
            await local_fleet.targets["history-1"].terminate(STOP_LIMIT_SECONDS)
        )
        return codes

    assert harness.run_under_load(2, stop) == [0, 0]


def test_second_sigterm_ends_the_process_at_once(harness):
    # Guards against a stop that an operator cannot shorten.
    local_fleet = harness.fleet
    entry = local_fleet.entries["entry-4"]

    async def stop_twice():
        for name in ("booker-0", "booker-1"):
            await local_fleet.set_faults(
                local_fleet.targets[name], {"answer_delay": 3.5}
            )
        path = "/booker/slow/booking"
        slow = asyncio.ensure_future(harness.call_entry("entry-4", "POST", path))
        await asyncio.sleep(0.4)
        entry.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert entry.process.is_running()
        since = time.monotonic()
        entry.process.send_signal(signal.SIGTERM)
        code = await entry.process.child.wait()
        took = time.monotonic() - since
        assert await slow is None
        return code, took

    code, took = harness.run(stop_twice())
    assert code == 3
    assert took < 1.0
    log = entry.process.read_log_end()
    assert "event=stop_cut" in log
    assert "second signal" in log


def test_all_invalid_settings_are_reported_together(tmp_path):
    file = tmp_path / "entry.toml"
    file.write_text(
        'entry = "e1"\ndata_centre = "ub1"\ncaller_address = "nowhere"\n'
        'peer_address = "127.0.0.1:20002"\noperator_address = 7\n'
        'table_addresses = []\nstop_limitt = "3s"\n[grants]\nlifetime = "never"\n'
    )
    ended = subprocess.run(
        [sys.executable, "-m", "dewstep_entry.main", f"--settings={file}"],
        capture_output=True,
        text=True,
        timeout=processes.START_TIMEOUT_SECONDS,
    )
    assert ended.returncode == 2
    lines = ended.stderr.splitlines()
    wrong = ("caller_address", "operator_address", "table_addresses", "stop_limitt")
    for place in (*wrong, "grants.lifetime"):
        assert any(str(file) in line and place in line for line in lines), place
    assert len(lines) == 5
