"""Tests statements of docs/callers.md and docs/security.md against a small fleet."""

import asyncio
import json
import pathlib
import re
import socket
import time

import pytest

from dewstep_core import errors
from dewstep_core.http import client
from dewstep_emulator import deployments, fleets, launching
from dewstep_entry import failures

ROOT = pathlib.Path(__file__).parents[1]
CALLERS = (ROOT / "docs/callers.md").read_text()
GLOSSARY = (ROOT / "docs/glossary.md").read_text()
DUE = "/history/k/due"
BOOKING = "/booker/k/booking"


class FleetHarness:
    """A fleet and the event loop in which it runs."""

    def __init__(self, runner, local_fleet):
        self.run = runner.run
        self.fleet = local_fleet

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
def harness(tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    plan = deployments.plan_tsagaan(0.1)
    local_fleet = fleets.Fleet(plan, launching.FleetOptions(entries=3), folder)
    with asyncio.Runner() as runner:
        try:
            runner.run(local_fleet.start())
            yield FleetHarness(runner, local_fleet)
        finally:
            runner.run(local_fleet.kill_all())


def check_failure(answer, status, name):
    assert answer.status == status
    assert answer.headers["dewstep-failure"] == name
    rule = errors.answer_rules.get(name)
    assert answer.headers["dewstep-outcome"] == rule.outcome
    content = answer.read_json()
    assert set(content) == {"type", "outcome", "detail", "retry_after"}
    return content


def test_outcomes_have_the_documented_statuses():
    rows = re.findall(r"^\| `([a-z-]+)` \| ([0-9x, ]+) \|", CALLERS, re.MULTILINE)
    listed = {outcome: set(statuses.split(", ")) for outcome, statuses in rows}
    rules = [errors.answer_rules.get(name) for name in errors.answer_rules]
    for rule in (*rules, failures.DEFAULT_RULE):
        statuses = listed[rule.outcome]
        assert {str(rule.status), f"{rule.status // 100}xx"} & statuses, rule


def test_invalid_requests_are_refused_in_the_documented_form(harness):
    check_failure(harness.call("GET", "/nowhere"), 404, "UnknownService")
    for wrong in ("a/b", "x" * 256):
        answer = harness.call("POST", BOOKING, idempotency_key=wrong)
        check_failure(answer, 400, "MalformedRequest")
    answer = harness.call("GET", DUE, dewstep_deadline_ms="soon")
    check_failure(answer, 400, "MalformedRequest")


def test_resend_gets_the_stored_answer_and_a_different_request_is_refused(harness):
    first = harness.call("POST", BOOKING, b"one", idempotency_key="r1")
    again = harness.call("POST", BOOKING, b"one", "entry-1", idempotency_key="r1")
    assert (first.status, again.status) == (200, 200)
    assert first.body == again.body
    assert harness.count_runs("r1") == 1
    other = harness.call("POST", BOOKING, b"two", "entry-2", idempotency_key="r1")
    check_failure(other, 422, "RequestIdReused")


def test_request_with_an_unreachable_deadline_is_refused_and_not_run(harness):
    answer = harness.call(
        "POST", BOOKING, idempotency_key="r2", dewstep_deadline_ms="0"
    )
    assert answer.headers["dewstep-outcome"] == "not-run"
    assert answer.status == 503
    seconds = int(answer.headers["retry-after"])
    assert seconds * 1000 >= int(answer.headers["dewstep-retry-after-ms"]) > 0
    assert harness.count_runs("r2") == 0


def test_continue_is_sent_only_if_the_request_head_is_accepted(harness):
    for path, expected in ((BOOKING, b"HTTP/1.1 100"), ("/nowhere", b"HTTP/1.1 404")):
        with socket.create_connection(
            harness.fleet.entries["entry-0"].callers
        ) as caller:
            head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
            caller.sendall(f"{head}Expect: 100-continue\r\n\r\n".encode())
            assert caller.recv(1024).startswith(expected)


def test_forged_gate_headers_do_not_reach_the_target(harness):
    # A target trusts these headers, so that only the gate may set them.
    forged = {f"dewstep_{n}": "9" for n in ("kind", "term", "key", "epoch", "new")}
    answer = harness.call("POST", BOOKING, idempotency_key="r3", **forged)
    assert answer.status == 200
    (run,) = [run for run in harness.fleet.read_runs() if run.request_id == "r3"]
    assert (run.kind, run.key, answer.read_json()["term"]) == ("booking", "k", 1)


def test_logs_dumps_and_the_table_contain_no_bodies(harness):
    secret = "body-that-nobody-logs"
    harness.call("POST", BOOKING, secret.encode(), idempotency_key="r4")
    harness.call("POST", "/nowhere", secret.encode())
    local_fleet = harness.fleet
    for entry in local_fleet.entries.values():
        assert secret not in entry.process.log.read_text()
        dump = json.dumps(harness.run(local_fleet.read_dump(entry.name)))
        assert secret not in dump
    rows = harness.run(local_fleet.table.read_prefix("")).unwrap()
    assert any(row.key == "claim/booker/r4" for row in rows)
    assert not any(secret in json.dumps(row.value) for row in rows)


def test_connection_of_a_peer_without_a_valid_hello_is_closed(harness):
    with socket.create_connection(harness.fleet.entries["entry-0"].peers) as peer:
        peer.settimeout(5)
        # Read the hello of the process first; it could be lost when the link closes.
        received = peer.recv(4096)
        peer.sendall(b"GET / HTTP/1.1\r\n\r\n")
        while chunk := peer.recv(4096):
            received += chunk
    # The peer receives only the hello of the process, and no state.
    assert b"entry-0" in received and b"history" not in received


def test_operators_port_needs_no_credentials(harness):
    operators = harness.fleet.entries["entry-0"].operators

    async def read():
        caller = client.Client(operators, 5.0)
        answer = await caller.call("GET", "/dump")
        await caller.close()
        return answer.unwrap().status

    assert harness.run(read()) == 200


def test_glossary_contains_the_terms_of_the_design():
    design = (ROOT / "docs/design.md").read_text().split("## 2. Terminology")[1]
    terms = re.findall(r"^- \*\*([a-z ]+)\*\*", design.split("## 3")[0], re.MULTILINE)
    explained = set(re.findall(r"^\| ([a-z ]+) \|", GLOSSARY, re.MULTILINE))
    assert terms and set(terms) <= explained


def test_resend_after_the_loss_of_the_gate_is_not_run_again(harness):
    # The claim is in the table and outlives the gate; the stored answer does not.
    local_fleet = harness.fleet
    assert harness.call("POST", BOOKING, b"5", idempotency_key="r5").status == 200
    (run,) = [run for run in local_fleet.read_runs() if run.request_id == "r5"]
    gate = harness.run(local_fleet.read_gates())[run.target]
    harness.run(local_fleet.entries[gate].process.kill())
    other = next(name for name in local_fleet.entries if name != gate)
    answer = harness.call("POST", BOOKING, b"5", other, idempotency_key="r5")
    for _ in range(5):
        if answer.headers.get("dewstep-outcome") != "not-run":
            break
        time.sleep(1.0)
        answer = harness.call("POST", BOOKING, b"5", other, idempotency_key="r5")
    check_failure(answer, 409, "AlreadyClaimed")
    assert harness.count_runs("r5") == 1
