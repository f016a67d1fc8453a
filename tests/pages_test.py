"""Runs what docs/callers.md and docs/security.md state against a small fleet."""

import asyncio
import json
import pathlib
import re
import socket
import time

import pytest

from dewstep_core import errors
from dewstep_core.http import client
from dewstep_emulator import deployments, fleet as fleets, launching
from dewstep_entry import failures

ROOT = pathlib.Path(__file__).parents[1]
CALLERS = (ROOT / "docs/callers.md").read_text()
GLOSSARY = (ROOT / "docs/glossary.md").read_text()
DUE = "/history/k/due"
BOOKING = "/booker/k/booking"


class World:
    def __init__(self, runner, fleet):
        self.run = runner.run
        self.fleet = fleet

    def call(self, method, path, body=b"", entry="entry-0", **headers):
        fields = tuple((k.replace("_", "-"), v) for k, v in headers.items())

        async def send():
            caller = client.Client(self.fleet.entries[entry].callers, 10.0)
            answer = await caller.call(method, path, body, headers=fields)
            await caller.close()
            return answer.unwrap()

        return self.run(send())

    def count_runs(self, request_id):
        runs = self.fleet.read_runs()
        return sum(run.request_id == request_id for run in runs)


@pytest.fixture(scope="module")
def world(tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    plan = deployments.plan_tsagaan(0.1)
    fleet = fleets.Fleet(plan, launching.FleetOptions(entries=3), folder)
    with asyncio.Runner() as runner:
        try:
            runner.run(fleet.start())
            yield World(runner, fleet)
        finally:
            runner.run(fleet.kill_all())


def check_failure(answer, status, name):
    assert answer.status == status
    assert answer.headers["dewstep-failure"] == name
    rule = errors.answer_rules.get(name)
    assert answer.headers["dewstep-outcome"] == rule.outcome
    content = answer.read_json()
    assert set(content) == {"type", "outcome", "detail", "retry_after"}
    return content


def test_the_outcomes_have_the_listed_statuses():
    rows = re.findall(r"^\| `([a-z-]+)` \| ([0-9x, ]+) \|", CALLERS, re.MULTILINE)
    listed = {outcome: set(statuses.split(", ")) for outcome, statuses in rows}
    rules = [errors.answer_rules.get(name) for name in errors.answer_rules]
    for rule in (*rules, failures.UNREGISTERED):
        statuses = listed[rule.outcome]
        assert {str(rule.status), f"{rule.status // 100}xx"} & statuses, rule


def test_wrong_requests_are_refused_with_the_documented_form(world):
    check_failure(world.call("GET", "/nowhere"), 404, "UnknownService")
    for wrong in ("a/b", "x" * 256):
        answer = world.call("POST", BOOKING, idempotency_key=wrong)
        check_failure(answer, 400, "MalformedRequest")
    answer = world.call("GET", DUE, dewstep_deadline_ms="soon")
    check_failure(answer, 400, "MalformedRequest")


def test_a_resend_gets_the_remembered_answer_and_another_request_is_refused(world):
    first = world.call("POST", BOOKING, b"one", idempotency_key="r1")
    again = world.call("POST", BOOKING, b"one", "entry-1", idempotency_key="r1")
    assert (first.status, again.status) == (200, 200)
    assert first.body == again.body
    assert world.count_runs("r1") == 1
    other = world.call("POST", BOOKING, b"two", "entry-2", idempotency_key="r1")
    check_failure(other, 422, "RequestIdReused")


def test_a_deadline_that_cannot_be_met_is_refused_at_once_and_not_run(world):
    answer = world.call("POST", BOOKING, idempotency_key="r2", dewstep_deadline_ms="0")
    assert answer.headers["dewstep-outcome"] == "not-run"
    assert answer.status == 503
    seconds = int(answer.headers["retry-after"])
    assert seconds * 1000 >= int(answer.headers["dewstep-retry-after-ms"]) > 0
    assert world.count_runs("r2") == 0


def test_the_body_is_asked_for_only_if_the_head_is_accepted(world):
    for path, expected in ((BOOKING, b"HTTP/1.1 100"), ("/nowhere", b"HTTP/1.1 404")):
        with socket.create_connection(world.fleet.entries["entry-0"].callers) as caller:
            head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
            caller.sendall(f"{head}Expect: 100-continue\r\n\r\n".encode())
            assert caller.recv(1024).startswith(expected)


def test_a_caller_cannot_present_itself_as_a_gate(world):
    # A target trusts these headers, so that only those of the gate may arrive.
    forged = {f"dewstep_{n}": "9" for n in ("kind", "term", "key", "epoch", "new")}
    answer = world.call("POST", BOOKING, idempotency_key="r3", **forged)
    assert answer.status == 200
    (run,) = [run for run in world.fleet.read_runs() if run.request_id == "r3"]
    assert (run.kind, run.key, answer.read_json()["term"]) == ("booking", "k", 1)


def test_bodies_stay_out_of_logs_dumps_and_the_table(world):
    secret = "body-that-nobody-logs"
    world.call("POST", BOOKING, secret.encode(), idempotency_key="r4")
    world.call("POST", "/nowhere", secret.encode())
    fleet = world.fleet
    for entry in fleet.entries.values():
        assert secret not in entry.process.log.read_text()
        dump = json.dumps(world.run(fleet.read_dump(entry.name)))
        assert secret not in dump
    rows = world.run(fleet.table.read_prefix("")).unwrap()
    assert any(row.key == "claim/booker/r4" for row in rows)
    assert not any(secret in json.dumps(row.value) for row in rows)


def test_a_peer_without_a_complete_hello_is_cut_off(world):
    with socket.create_connection(world.fleet.entries["entry-0"].peers) as peer:
        peer.settimeout(5)
        # The hello of the process may be lost if the link closes before it is read.
        received = peer.recv(4096)
        peer.sendall(b"GET / HTTP/1.1\r\n\r\n")
        while chunk := peer.recv(4096):
            received += chunk
    # Only the hello of the process comes back, and no state.
    assert b"entry-0" in received and b"history" not in received


def test_the_operators_port_needs_no_credentials(world):
    operators = world.fleet.entries["entry-0"].operators

    async def read():
        caller = client.Client(operators, 5.0)
        answer = await caller.call("GET", "/dump")
        await caller.close()
        return answer.unwrap().status

    assert world.run(read()) == 200


def test_the_glossary_explains_the_terms_of_the_design():
    design = (ROOT / "docs/design.md").read_text().split("## 2. Terminology")[1]
    terms = re.findall(r"^- \*\*([a-z ]+)\*\*", design.split("## 3")[0], re.MULTILINE)
    explained = set(re.findall(r"^\| ([a-z ]+) \|", GLOSSARY, re.MULTILINE))
    assert terms and set(terms) <= explained


def test_a_resend_after_the_gate_was_lost_gets_unknown_and_does_not_run(world):
    # The claim outlives the gate, and the answer that it remembered does not.
    fleet = world.fleet
    assert world.call("POST", BOOKING, b"5", idempotency_key="r5").status == 200
    (run,) = [run for run in fleet.read_runs() if run.request_id == "r5"]
    gate = world.run(fleet.read_gates())[run.target]
    world.run(fleet.entries[gate].process.kill())
    other = next(name for name in fleet.entries if name != gate)
    answer = world.call("POST", BOOKING, b"5", other, idempotency_key="r5")
    for _ in range(5):
        if answer.headers.get("dewstep-outcome") != "not-run":
            break
        time.sleep(1.0)
        answer = world.call("POST", BOOKING, b"5", other, idempotency_key="r5")
    check_failure(answer, 409, "AlreadyClaimed")
    assert world.count_runs("r5") == 1
