"""Tests of the emulated target: fencing, slots, refusals and injected faults."""

import asyncio
import contextlib
import hashlib
import json
import os
import signal
import subprocess
import sys

import pytest

from dewstep_core import errors, settings
from dewstep_core.http import client
from dewstep_emulator import (
    program,
    target,
    target_answers,
    target_options,
    testing,
    uploads,
)


class TargetHarness:
    """A target and a client that sends it requests as its gate does."""

    def __init__(self, served, caller, log):
        self.served = served
        self.caller = caller
        self.log = log
        self.boot = ""
        self.term = 0

    async def call_control(self, method, path, form=None):
        body = b"" if form is None else json.dumps(form).encode()
        response = (await self.caller.call(method, path, body)).unwrap()
        return response.status, response.read_json()

    async def send_grant(self, term=1, lifetime=5.0):
        _, clock = await self.call_control("GET", "/control/clock")
        self.boot, self.term = clock["boot"], term
        form = {"boot": self.boot, "term": term, "expires": clock["clock"] + lifetime}
        return (await self.call_control("PUT", "/control/grant", form))[0]

    async def set_faults(self, **change):
        status, answer = await self.call_control("POST", "/faults", change)
        assert status == 200, answer

    def send_request(self, request_id, key="k", body=b"", timeout=3.0, **headers):
        fixed = {"Request-Id": request_id, "Key": key, "Term": str(self.term)}
        fixed |= {"Epoch": "4", "Boot": self.boot, **headers}
        stamps = [(f"Dewstep-{name}", value) for name, value in fixed.items()]
        stamped = client.Client(self.caller.address, timeout, stamps)
        return asyncio.ensure_future(stamped.call("POST", "/bookings", body))

    async def wait_for_start(self):
        async with asyncio.timeout(3):
            while not self.log.read_text():
                await asyncio.sleep(0.01)

    def read_events(self):
        lines = [json.loads(line) for line in self.log.read_text().splitlines()]
        return [(line["event"], line["request_id"]) for line in lines]


@contextlib.asynccontextmanager
async def serve_target(tmp_path, **options):
    """Run a target in this process and yield its harness."""
    log = tmp_path / "log"
    served = target.Target(target_options.TargetOptions("t1", **options), log)
    async with program.serving(served) as address, testing.calling(address) as caller:
        yield TargetHarness(served, caller, log)


@contextlib.asynccontextmanager
async def start_target_process(tmp_path, *options):
    """Start a target in its own process; yield the process and the harness."""
    log = tmp_path / "log"
    command = [sys.executable, "-m", "dewstep_emulator.target", "--name", "t1"]
    command += ["--log", str(log), *options]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            line = json.loads(process.stdout.readline())
            address = settings.Address(line["host"], line["port"])
            async with testing.calling(address) as caller:
                yield process, TargetHarness(None, caller, log)
        finally:
            process.kill()


def read_refusal(outcome):
    response = outcome.unwrap()
    return response.status, response.headers.get("dewstep-refused")


async def read_raw(harness, upload=0.0):
    """Send a request with its body `upload` seconds later; return the raw answer."""
    reader, writer = await asyncio.open_connection(*harness.caller.address)
    head = f"Dewstep-Term: {harness.term}\r\nDewstep-Boot: {harness.boot}"
    head = f"POST /a HTTP/1.1\r\nHost: t\r\nContent-Length: 1\r\n{head}\r\n\r\n"
    writer.write(head.encode())
    await asyncio.sleep(upload)
    writer.write(b"x")
    content = b""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.2):
            while part := await reader.read(65536):
                content += part
    writer.close()
    return content


@testing.run_in_event_loop
async def test_fenced_target_runs_only_under_a_grant(tmp_path):
    async with serve_target(tmp_path) as harness:
        assert read_refusal(await harness.send_request("r0")) == (409, "fenced")
        assert await harness.send_grant(term=2) == 200
        answer = (await harness.send_request("r1", body=b"abc")).unwrap()
        form = answer.read_json()
        assert (form["request_id"], form["key"], form["target"]) == ("r1", "k", "t1")
        assert form["boot"] == harness.boot == answer.headers["dewstep-boot"]
        assert form["body_sha256"] == hashlib.sha256(b"abc").hexdigest()
        assert await harness.send_grant(term=1) == 409
        assert read_refusal(await harness.send_request("r2")) == (409, "fenced")
        harness.term = 2
        assert read_refusal(await harness.send_request("r3", Boot="x")) == (
            409,
            "fenced",
        )
        assert read_refusal(await harness.send_request("r4", Deadline="0.0")) == (
            409,
            "fenced",
        )
        assert (await harness.send_request("r5", Term="x")).unwrap().status == 400
        # This grant expires while the request body is being received.
        await harness.send_grant(term=3, lifetime=0.3)
        assert b" 409 " in await read_raw(harness, upload=0.5)
        assert harness.read_events() == [("start", "r1"), ("end", "r1")]


@pytest.mark.parametrize("term", [1, 2])
@testing.run_in_event_loop
async def test_run_is_aborted_if_its_grant_ends_before_its_effect(tmp_path, term):
    # Guards against effects after the grant has expired (term 1) or after a new gate
    # has sent a grant (term 2).
    async with serve_target(tmp_path, service_time=0.6) as harness:
        await harness.send_grant(term=1, lifetime=0.4 if term == 1 else 5)
        call = harness.send_request("r1")
        await harness.wait_for_start()
        if term == 2:
            await harness.send_grant(term=2)
        assert read_refusal(await call) == (409, "fenced")
        assert harness.read_events() == [("start", "r1"), ("abort", "r1")]


@testing.run_in_event_loop
async def test_unfenced_target_checks_nothing(tmp_path):
    async with serve_target(tmp_path, fenced=False) as harness:
        assert await harness.send_grant() == 404
        assert (await harness.send_request("r1", Boot="x")).unwrap().status == 200


@testing.run_in_event_loop
async def test_requests_beyond_the_slots_are_shed(tmp_path):
    async with serve_target(tmp_path, slots=2, service_time=0.1) as harness:
        await harness.send_grant()
        outcomes = await asyncio.gather(
            *(harness.send_request(f"r{n}") for n in range(6))
        )
        statuses = sorted(read_refusal(outcome) for outcome in outcomes)
        assert statuses == [(200, None)] * 2 + [(503, "shed")] * 4
        assert len(harness.read_events()) == 4


@testing.run_in_event_loop
async def test_closed_connection_cancels_the_run(tmp_path):
    async with serve_target(tmp_path, service_time=1.0) as harness:
        await harness.send_grant()
        assert testing.fails(
            await harness.send_request("r1", timeout=0.05), errors.AnswerLost
        )
        await asyncio.sleep(0.05)
        assert harness.read_events() == [("start", "r1"), ("cancel", "r1")]
        assert harness.served.running == 0


@testing.run_in_event_loop
async def test_load_endpoint_reports_a_delayed_or_injected_load(tmp_path):
    async with serve_target(tmp_path, service_time=0.6, load_lag=0.1) as harness:
        await harness.send_grant()
        call = harness.send_request("r1")
        await asyncio.sleep(0.15)
        busy = {"state": "live", "load": 0.25}
        assert await harness.call_control("GET", "/control/load") == (200, busy)
        injected = {"state": "live", "load": 0.0}
        await harness.set_faults(drain=True, load=injected)
        assert await harness.call_control("GET", "/control/load") == (200, injected)
        assert read_refusal(await harness.send_request("r2")) == (503, "draining")
        await harness.set_faults(load=None)
        await asyncio.sleep(0.15)
        load = {"state": "draining", "load": 0.25}
        assert await harness.call_control("GET", "/control/load") == (200, load)
        await call


@testing.run_in_event_loop
async def test_answer_faults_duplicate_truncate_extend_and_delay_answers(tmp_path):
    async with serve_target(tmp_path, service_time=0.001) as harness:
        await harness.send_grant()
        plain = await read_raw(harness)
        once = {"count": 1}
        await harness.set_faults(answer_twice=once)
        assert (await read_raw(harness)).count(b"HTTP/1.1 200") == 2
        await harness.set_faults(answer_long=once)
        assert (await read_raw(harness)).endswith(target_answers.SURPLUS_BYTES)
        await harness.set_faults(answer_cut=once)
        head, _, body = (await read_raw(harness)).partition(b"\r\n\r\n")
        assert f"Content-Length: {len(body)}".encode() not in head
        assert len(body) == len(plain.partition(b"\r\n\r\n")[2]) // 2
        await harness.set_faults(answer_delay={"seconds": 0.3, "count": 1})
        assert await read_raw(harness) == b""
        assert harness.read_events().count(("end", "")) == 5
        await harness.set_faults(shed=once)
        assert read_refusal(await harness.send_request("r1")) == (503, "shed")
        assert read_refusal(await harness.send_request("r2")) == (200, None)


@testing.run_in_event_loop
async def test_faults_refuse_connections_and_cut_off_callers(tmp_path):
    async with serve_target(tmp_path) as harness:
        await harness.send_grant()
        await harness.set_faults(cut={"entries": ["e1"], "mode": "close"})
        assert testing.fails(
            await harness.send_request("r1", Entry="e1"), errors.AnswerLost
        )
        assert read_refusal(await harness.send_request("r2", Entry="e2")) == (200, None)
        await harness.set_faults(cut=None, refuse=True)
        assert testing.fails(
            await harness.send_request("r3"), errors.PlatformUnavailable
        )
        # The connection that was open before still works.
        await harness.set_faults(refuse=False)
        assert read_refusal(await harness.send_request("r4")) == (200, None)


@testing.run_in_event_loop
async def test_echo_returns_large_bodies(tmp_path):
    async with serve_target(tmp_path, echo=True) as harness:
        await harness.send_grant()
        for size in (0, 1000, 3 * uploads.SPOOL_BYTES + 1):
            body = os.urandom(size)
            answer = (await harness.send_request("r1", body=body)).unwrap()
            assert answer.body == body
            digest = hashlib.sha256(body).hexdigest()
            assert answer.headers["dewstep-body-sha256"] == digest
        await harness.set_faults(answer_cut=True)
        assert testing.fails(
            await harness.send_request("r2", body=body), errors.AnswerLost
        )


@testing.run_in_event_loop
async def test_service_time_follows_cold_start_and_slowness(tmp_path):
    async with serve_target(tmp_path, service_time=0.01, cold_start=10.0) as harness:
        served = harness.served
        await harness.set_faults(slow_factor=3)
        times = [served.draw_service_time(served.started + age) for age in (0, 5, 10)]
        assert times == pytest.approx([0.15, 0.09, 0.03])


@testing.run_in_event_loop
async def test_resumed_process_refuses_requests_of_an_expired_grant(tmp_path):
    # Guards against a target that is suspended beyond its grant and then still runs
    # requests that its gate has given up.
    options = ("--service-time-ms", "400")
    async with start_target_process(tmp_path, *options) as (process, harness):
        await harness.send_grant(lifetime=0.6)
        running = harness.send_request("r1")
        await harness.wait_for_start()
        process.send_signal(signal.SIGSTOP)
        waiting = harness.send_request("r2")
        await asyncio.sleep(0.7)
        process.send_signal(signal.SIGCONT)
        assert read_refusal(await running) == (409, "fenced")
        assert read_refusal(await waiting) == (409, "fenced")
        assert harness.read_events() == [("start", "r1"), ("abort", "r1")]


@pytest.mark.parametrize("place", ["key", "body"])
@testing.run_in_event_loop
async def test_request_with_the_crash_marker_ends_the_process(tmp_path, place):
    async with start_target_process(tmp_path) as (process, harness):
        await harness.send_grant()
        await harness.set_faults(crash="poison")
        marked = {"key": "poison"} if place == "key" else {"body": b"a poison b"}
        assert read_refusal(await harness.send_request("r1")) == (200, None)
        assert testing.fails(
            await harness.send_request("r2", **marked), errors.AnswerLost
        )
        assert process.wait(2) == target.CRASH_EXIT_STATUS
        assert harness.read_events()[-1] == ("start", "r2")


@testing.run_in_event_loop
async def test_sigterm_finishes_the_run_in_progress(tmp_path):
    options = ("--service-time-ms", "300", "--slots", "1")
    async with start_target_process(tmp_path, *options) as (process, harness):
        await harness.send_grant()
        call = harness.send_request("r1")
        await harness.wait_for_start()
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(2):
            # Before the signal arrives the request is shed, since the slot is taken.
            while read_refusal(await harness.send_request("r2")) != (503, "draining"):
                await asyncio.sleep(0.01)
        assert read_refusal(await call) == (200, None)
        assert process.wait(2) == 0
        assert harness.read_events() == [("start", "r1"), ("end", "r1")]


def test_targets_with_the_same_seed_draw_different_service_times():
    # Guards against a fleet whose targets are all slow at the same time: its capacity
    # would vary by a tenth within a run, so that its phases could not be compared.
    options = target_options.TargetOptions("t-1", "history", distribution="exponential")
    made = [
        target.Target(options._replace(name=name), None) for name in ("t-1", "t-2") * 2
    ]
    drawn = [[one.draw_time(one.random, 1.0) for _ in range(3)] for one in made]
    assert drawn[0] == drawn[2] != drawn[1] == drawn[3]
