"""Every operators' command against a fleet of real processes."""

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

from dewstep_core import clock as clocks, hashing
from dewstep_core.http import client
from dewstep_emulator import (
    addresses,
    deployments,
    fleet as fleets,
    history,
    launching,
    load,
    processes,
    toml_text,
)
from dewstep_entry import dump as dumps

LOAD_RATE = 80.0
MARKER = "crashes-its-target"
STOP_LIMIT = 8.0


METRIC = r"dewstep\.entry-[0-9]\.([^:]+):([0-9.]+)\|([cg])"
METRICS_SECONDS = 1.5
"""Longer than the interval at which the entry processes send."""
PAGE = pathlib.Path(__file__).parents[1] / "docs/OPERATIONS.md"


def get_parts(match):
    return match.groups()


class World:
    """A fleet, the event loop of its processes, and the command in a shell."""

    def __init__(self, runner, fleet, statsd):
        self.run = runner.run
        self.statsd = statsd
        self.fleet = fleet
        self.file = fleet.folder / "records.toml"
        table = addresses.format_address(fleet.table_process.addresses)
        self.environment = {**os.environ, "DEWSTEP_TABLE": table}

    def start_command(self, *arguments):
        return subprocess.Popen(
            [sys.executable, "-m", "dewstep_operator.main", "--json", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env=self.environment,
        )

    def call(self, *arguments, code=0):
        command = self.start_command(*arguments)
        output, progress = command.communicate(timeout=30)
        assert command.returncode == code, (arguments, output, progress)
        return json.loads(output), progress

    def write_records(self, **slots):
        """Write the file of the fleet's records, with other slots for some targets."""
        built = self.fleet.build_configuration(1)
        targets = {
            name: target._replace(slots=slots.get(name, target.slots))
            for name, target in built.targets.items()
        }
        self.file.write_text(toml_text.format_records(built._replace(targets=targets)))

    def get_rows(self, command, name):
        return {row[name]: row for row in self.call(command)[0]}

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
        """Return the metrics received since the last call as (name, value, type)."""
        lines = []
        with contextlib.suppress(BlockingIOError):
            while True:
                lines += self.statsd.recv(65_536).decode().split("\n")
        matches = (re.fullmatch(METRIC, line) for line in lines)
        return [
            (name, float(value), kind) for name, value, kind in map(get_parts, matches)
        ]

    def run_under_load(self, seed, work):
        """Run `work` while callers send requests; fail if it cut any of them.

        Each call needs another seed, because the seed decides the request ids.
        """
        fleet = self.fleet
        caller = load.Caller(fleet.list_callers, clocks.SystemClock(), seed)
        plans = deployments.plan_calls(fleet.deployment)
        hour = datetime.timedelta(hours=1)
        mix = load.Mix(plans, LOAD_RATE, hour, 50, 0.5, resend=True)

        async def run():
            sending = asyncio.ensure_future(caller.run(mix))
            await asyncio.sleep(0.5)
            outcome = await work()
            await asyncio.sleep(0.7)
            caller.stop()
            await sending
            await caller.close()
            return outcome

        outcome = self.run(run())
        slots = dict.fromkeys(fleet.targets, fleet.deployment.slots)
        assert not history.check_history(caller.calls, fleet.read_runs(), slots)
        assert not history.find_cut_off(caller.calls)
        assert not history.find_unknown(caller.calls)
        self.answered = sum(c.outcome == history.ANSWERED for c in caller.calls)
        assert self.answered > 50
        return outcome


@pytest.fixture(scope="module")
def world(tmp_path_factory):
    statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    statsd.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    statsd.bind((addresses.HOST, 0))
    statsd.setblocking(False)
    options = launching.FleetOptions(
        entries=6,
        crash_marker=MARKER,
        entry_settings={
            "stop_limit": f"{STOP_LIMIT:.0f}s",
            "statsd_address": f"{addresses.HOST}:{statsd.getsockname()[1]}",
        },
    )
    fleet = fleets.Fleet(
        deployments.plan_tsagaan(0.15), options, tmp_path_factory.mktemp("fleet")
    )
    with asyncio.Runner() as runner:
        try:
            runner.run(fleet.start())
            yield World(runner, fleet, statsd)
        finally:
            runner.run(fleet.kill_all())
            statsd.close()


def test_configuration_is_checked_compared_and_applied_everywhere(world):
    world.write_records()
    assert world.call("check", str(world.file))[0]
    before = world.call("show")[0]["revision"]
    assert world.call("diff", str(world.file))[0]["changes"] == []
    world.write_records(**{"history-0": 3})
    (change,) = world.call("diff", str(world.file))[0]["changes"]
    assert (change["name"], change["field"]) == ("history-0", "slots")
    document, progress = world.call("apply", "--wait", str(world.file))
    assert document["revision"] == before + 1
    assert "in force in 6 of 6 entry processes" in progress
    revisions = {row["revision"] for row in world.call("entries")[0]}
    assert revisions == {before + 1}


def test_of_two_operators_who_race_one_wins(world):
    # Guards against a lost update: both start from the same revision.
    revision = world.call("show")[0]["revision"]
    commands = []
    for slots in (2, 1):
        world.write_records(**{"history-0": slots})
        file = world.file.with_name(f"race-{slots}.toml")
        file.write_text(world.file.read_text())
        commands.append(
            world.start_command("apply", "--revision", str(revision), str(file))
        )
    outputs = [json.loads(command.communicate(timeout=30)[0]) for command in commands]
    assert sorted(command.returncode for command in commands) == [0, 1]
    winner, loser = sorted(zip(commands, outputs, strict=True), key=rank_outcome)
    assert winner[1]["revision"] == revision + 1
    assert f"revision {revision + 1}" in loser[1]["failures"][0]["detail"]
    slots = world.get_rows("targets", "target")["history-0"]["slots"]
    assert slots == 2 - commands.index(winner[0])
    assert world.call("show")[0]["revision"] == revision + 1


def rank_outcome(pair):
    return pair[0].returncode


def test_listings_name_the_whole_fleet_without_an_entry_address(world):
    # The gate rows alone lead to the entry processes.
    entries = world.get_rows("entries", "entry")
    assert sorted(entries) == [f"entry-{number}" for number in range(6)]
    assert all(row["alive"] and row["reachable"] for row in entries.values())
    targets = world.get_rows("targets", "target")
    assert set(targets) == set(world.fleet.targets)
    assert {row["gate"] for row in targets.values()} <= set(entries)
    services = world.get_rows("services", "service")
    assert services["history"]["targets"] == 3
    owners = world.call("owners", "history")[0]
    assert {row["target"] for row in owners} == {f"history-{n}" for n in range(3)}
    dump = world.call("dump", "entry-3")[0]
    assert dump["entry"] == "entry-3"
    assert dump["revision"] == world.call("show")[0]["revision"]
    assert set(dump) == set(dumps.Dump.__annotations__)
    for gate in dump["gates"].values():
        assert set(gate) == set(dumps.GateDump.__annotations__)
    assert dump["counts"]["events.started"] == 1


def test_a_shard_and_a_key_are_moved_and_explained(world):
    key = world.find_key("history", "history-1")
    shard = world.call("explain", "history", key)[0]["shard"]
    moved = world.call("move", "history", "history-2", "--shard", str(shard))[0]
    assert (moved["before"], moved["after"]) == ("history-1", "history-2")
    moved = world.call("move", "history", "history-0", "--key", key)[0]
    assert (moved["before"], moved["after"]) == ("history-2", "history-0")
    route = world.call("explain", "history", key)[0]
    assert route["shard_owner"] == "history-2"
    assert route["override"] == route["owner"] == "history-0"
    assert route["gate_alive"] is True
    answer = world.run(world.call_entry("entry-5", "GET", f"/history/{key}/due"))
    assert answer.read_json()["target"] == "history-0"


def test_a_drain_is_watched_to_its_end_and_undone(world):
    # Guards against a drain that cuts requests or is reported done too early.
    name = "booker-0"

    async def drain():
        return await asyncio.to_thread(world.call, "drain", name)

    document, progress = world.run_under_load(1, drain)
    assert document["empty"] is True
    assert f"target {name}: 0 shards, 0 single keys, 0 requests running" in progress
    row = world.get_rows("targets", "target")[name]
    assert (row["draining"], row["shards"], row["keys"]) == (True, 0, 0)
    world.call("drain", name, "--undo")
    assert world.get_rows("targets", "target")[name]["draining"] is False


def test_metrics_arrive_as_sums_under_the_names_of_the_page(world):
    # Guards against alarms on names that do not exist, and counts that are lost.
    time.sleep(METRICS_SECONDS)
    world.read_metrics()
    world.run_under_load(3, lambda: asyncio.sleep(0.5))
    time.sleep(METRICS_SECONDS)
    received = world.read_metrics()
    counts = [item for item in received if item[2] == "c"]
    answered = [v for name, v, _ in counts if re.match("requests.*answered$", name)]
    assert sum(answered) == world.answered
    timed = [v for n, v, _ in counts if re.match(r"latency\..*\.(to|above)_", n)]
    assert sum(timed) >= world.answered
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


def test_a_request_that_crashes_targets_is_listed_and_released(world):
    path = "/booker/quarantined/booking"

    async def send(number):
        answer = await world.call_entry(
            "entry-0", "POST", path, MARKER.encode(), f"crash-{number}"
        )
        for name, process in list(world.fleet.targets.items()):
            if not process.is_running():
                await world.fleet.restart_target(name)
        await world.fleet.wait_ready()
        return answer.headers.get("dewstep-failure")

    for number in range(6):
        if world.run(send(number)) == "Quarantined":
            break
    (item,) = world.call("quarantine", "list", "booker")[0]
    assert item["state"] == "quarantined"
    world.call("quarantine", "release", "booker", item["fingerprint"])
    assert world.call("quarantine", "list")[0] == []
    world.call("quarantine", "release", "booker", item["fingerprint"], code=2)


def test_a_target_lost_with_its_gate_is_declared_dead(world):
    name = "history-2"
    fleet = world.fleet
    world.call("declare-dead", name, "--yes", "history-1", code=1)
    gate = fleet.entries[world.get_rows("targets", "target")[name]["gate"]]

    async def lose():
        await asyncio.gather(fleet.targets[name].kill(), gate.process.kill())

    async def wait_owns_nothing():
        async with asyncio.timeout(10):
            while name in await fleet.read_owners("history"):
                await asyncio.sleep(0.1)

    world.run(lose())
    wait_until(lambda: world.get_rows("targets", "target")[name]["gate"] != gate.name)
    assert world.get_rows("targets", "target")[name]["shards"] > 0
    world.call("declare-dead", name, "--yes", name)
    world.run(wait_owns_nothing())
    row = world.get_rows("entries", "entry")[gate.name]
    assert (row["alive"], row["reachable"]) == (False, False)
    world.run(fleet.start_entry(int(gate.name.removeprefix("entry-"))))
    world.run(fleet.restart_target(name))
    world.run(fleet.wait_ready())


def wait_until(is_true, limit=10.0):
    end = time.monotonic() + limit
    while not is_true():
        assert time.monotonic() < end
        time.sleep(0.2)


def test_a_planned_stop_under_load_cuts_nothing(world):
    fleet = world.fleet

    async def stop():
        entry = fleet.entries["entry-1"]
        fleet.remove_from_balancer(entry.name)
        codes = [await entry.process.terminate(STOP_LIMIT)]
        codes.append(await fleet.targets["history-1"].terminate(STOP_LIMIT))
        return codes

    assert world.run_under_load(2, stop) == [0, 0]


def test_a_second_signal_ends_the_process_at_once(world):
    # Guards against a stop that an operator in a hurry cannot shorten.
    fleet = world.fleet
    entry = fleet.entries["entry-4"]

    async def stop_twice():
        for name in ("booker-0", "booker-1"):
            await fleet.set_faults(fleet.targets[name], {"answer_delay": 3.5})
        path = "/booker/slow/booking"
        slow = asyncio.ensure_future(world.call_entry("entry-4", "POST", path))
        await asyncio.sleep(0.4)
        entry.process.send(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert entry.process.is_running()
        since = time.monotonic()
        entry.process.send(signal.SIGTERM)
        code = await entry.process.child.wait()
        took = time.monotonic() - since
        assert await slow is None
        return code, took

    code, took = world.run(stop_twice())
    assert code == 3
    assert took < 1.0
    log = entry.process.read_log_end()
    assert "event=stop_cut" in log
    assert "second signal" in log


def test_wrong_settings_are_all_named_in_one_go(tmp_path):
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
        timeout=processes.START_SECONDS,
    )
    assert ended.returncode == 2
    lines = ended.stderr.splitlines()
    wrong = ("caller_address", "operator_address", "table_addresses", "stop_limitt")
    for place in (*wrong, "grants.lifetime"):
        assert any(str(file) in line and place in line for line in lines), place
    assert len(lines) == 5
