"""Emulates a target with slots, grants, service times, a run log and fault injection.

Usage: ``python -m dewstep_emulator.target --name t1 --service history``. The protocol
is described in docs/platform.md.
"""

import asyncio
import os
import pathlib
import random
import secrets
import time
from collections.abc import Callable
from typing import Annotated, Any

import typer

from dewstep_core.http import exchanges, routing
from dewstep_emulator import (
    fencing,
    program,
    run_log,
    service_times,
    target_answers,
    target_options,
    uploads,
)

CRASH_EXIT_STATUS = 70
"""Exit status after a request with the crash marker (EX_SOFTWARE of sysexits.h)."""
MAXIMUM_CLOCK_OFFSET_SECONDS = 100_000.0
"""Largest random offset of the target's clock. The offset exposes code that compares
the clocks of two machines, which would work by chance on a single test machine."""

FENCED = "fenced"
SHED = "shed"
DRAINING = "draining"
LIVE = "live"
REFUSAL_STATUSES = {FENCED: 409, SHED: 503, DRAINING: 503}


class Target(program.EmulatedService):
    """An emulated target with an HTTP server.

    Parameters
    ----------
    options : target_options.TargetOptions
    log : pathlib.Path or None
        File for the run log.
    monotonic : callable, optional
        Returns seconds of CLOCK_MONOTONIC.
    """

    def __init__(
        self,
        options: target_options.TargetOptions,
        log: pathlib.Path | None = None,
        monotonic: Callable[[], float] = time.monotonic,
    ):
        super().__init__(target_options.TargetFaults())
        self.options = options
        self.monotonic = monotonic
        self.started = monotonic()
        self.clock_offset = random.uniform(0, MAXIMUM_CLOCK_OFFSET_SECONDS)
        self.fence = fencing.Fence(secrets.token_hex(8))
        self.log = run_log.RunLog(log, options.name, self.fence.boot)
        # With the seed alone, all targets of a fleet would draw the same service times.
        self.random = random.Random(f"{options.seed}/{options.name}")
        self.draw_time = service_times.distributions.get(options.distribution)
        self.stopping = False
        self.running = 0
        self.in_progress = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.load = {"state": LIVE, "load": 0.0}
        self.load_task: asyncio.Task | None = None
        self.routes = routing.Routes()
        self.routes.add("GET", "/control/clock", self.show_clock)
        self.routes.add("PUT", "/control/grant", self.receive_grant)
        self.routes.add("GET", "/control/load", self.show_load)

    # Start and stop.

    async def start(self, listening: program.ListenOptions) -> None:
        """Start the servers and the sampling of the load."""
        await super().start(listening)
        self.load_task = asyncio.create_task(self.sample_load())

    async def finish_work(self) -> None:
        """Refuse new requests and wait until those in progress have ended."""
        self.stopping = True
        await self.idle.wait()
        self.load_task.cancel()

    def get_ready_fields(self) -> dict[str, Any]:
        """Return the additional members of the JSON line on stdout."""
        options = self.options
        return {
            "target": options.name,
            "service": options.service,
            "boot": self.fence.boot,
        }

    def refuses_connections(self) -> bool:
        """Return whether new connections are refused; open ones stay open."""
        return self.faults.refuse

    async def sample_load(self) -> None:
        """Update the load that the load endpoint reports, every `load_lag` seconds."""
        while True:
            state = DRAINING if self.is_draining() else LIVE
            load = self.running / self.options.slots
            self.load = {"state": state, "load": load}
            await asyncio.sleep(self.options.load_lag)

    def is_draining(self) -> bool:
        """Return whether new requests are refused."""
        return self.stopping or self.faults.drain

    def read_clock(self) -> float:
        """Return the target's clock in seconds, which has a random offset."""
        return self.monotonic() + self.clock_offset

    # Control calls.

    async def show_clock(self, call: routing.Call) -> exchanges.Response:
        """Answer `GET /control/clock`."""
        return exchanges.build_json(200, self.describe_clock())

    async def receive_grant(self, call: routing.Call) -> exchanges.Response:
        """Answer `PUT /control/grant`."""
        if not self.options.fenced:
            return exchanges.build_json(404, {"error": "target does not use grants"})
        grant = fencing.parse_grant(call.read_json())
        if grant is None:
            return exchanges.build_json(400, {"error": "malformed grant"})
        refusal = self.fence.accept(*grant, self.read_clock())
        answer = self.describe_clock()
        if refusal:
            return exchanges.build_json(409, {**answer, "reason": refusal})
        return exchanges.build_json(200, answer)

    def describe_clock(self) -> dict[str, Any]:
        """Return the boot id, the clock and the highest accepted term."""
        fence = self.fence
        return {"boot": fence.boot, "clock": self.read_clock(), "term": fence.term}

    async def show_load(self, call: routing.Call) -> exchanges.Response:
        """Answer `GET /control/load` with the sampled or an injected load."""
        return exchanges.build_json(200, self.faults.load.describe() or self.load)

    # Requests.

    async def serve(self, exchange: exchanges.Exchange) -> None:
        """Answer a control call or run a request."""
        if not await self.wait_while_cut_off(exchange):
            return
        if exchange.path.startswith("/control/"):
            await self.routes.handle(exchange)
            return
        self.in_progress += 1
        self.idle.clear()
        try:
            await self.handle_request(exchange)
        finally:
            self.in_progress -= 1
            if self.in_progress == 0:
                self.idle.set()

    async def handle_request(self, exchange: exchanges.Exchange) -> None:
        """Run a request in a free slot and answer it, or refuse it."""
        run = run_log.parse_run(exchange)
        if run is None:
            exchange.respond(exchanges.build_json(400, {"error": "malformed header"}))
            return
        refusal = self.find_refusal(run)
        if refusal:
            self.refuse(exchange, *refusal)
            return
        self.running += 1
        try:
            marker = self.faults.crash.encode()
            upload = await uploads.receive_upload(exchange, marker, self.options.echo)
            refusal = await self.execute(run, upload)
        finally:
            self.running -= 1
        if refusal:
            self.refuse(exchange, FENCED, refusal)
        else:
            await self.answer(exchange, run, upload)

    def find_refusal(self, run: run_log.Run) -> tuple[str, str] | None:
        """Return the name and detail of a refusal, or None if the request can run."""
        if self.is_draining():
            return DRAINING, ""
        if self.running >= self.options.slots:
            return SHED, "slots"
        if self.faults.shed.fires():
            return SHED, "fault"
        reason = self.check_start(run, self.monotonic())
        return (FENCED, reason) if reason else None

    def check_start(self, run: run_log.Run, now: float) -> str:
        """Return why a run must not start, or ""; an unfenced target checks nothing."""
        if not self.options.fenced:
            return ""
        clock = now + self.clock_offset
        if run.deadline is not None and run.deadline <= clock:
            return "deadline"
        return self.fence.check(run.boot, run.term, clock)

    def check_effect(self, run: run_log.Run, now: float) -> str:
        """Return why a run must not take effect, or "" if it may."""
        if not self.options.fenced:
            return ""
        return self.fence.check(run.boot, run.term, now + self.clock_offset)

    async def execute(self, run: run_log.Run, upload: uploads.Upload) -> str:
        """Run a request; return "" if it took effect, else the reason."""
        now = self.monotonic()
        if reason := self.check_start(run, now):
            return reason
        self.log.write("start", run, now)
        if self.faults.crash and (upload.has_marker or self.faults.crash in run.key):
            os._exit(CRASH_EXIT_STATUS)
        try:
            await asyncio.sleep(self.draw_service_time(now))
        except asyncio.CancelledError:
            self.log.write("cancel", run, self.monotonic())
            raise
        # Read the clock again: the process may have been suspended by SIGSTOP.
        now = self.monotonic()
        if reason := self.check_effect(run, now):
            self.log.write("abort", run, now)
            return reason
        self.log.write("end", run, now)
        return ""

    def draw_service_time(self, now: float) -> float:
        """Return a random duration of a run in seconds."""
        options = self.options
        age = now - self.started
        factor = service_times.compute_cold_factor(
            age, options.cold_start, options.cold_factor
        )
        seconds = self.draw_time(self.random, options.service_time)
        return seconds * factor * self.faults.slow_factor

    # Answers.

    def refuse(self, exchange: exchanges.Exchange, refusal: str, detail: str) -> None:
        """Send a refusal, which means that the request had no effect."""
        form = {
            "refused": refusal,
            "detail": detail,
            "target": self.options.name,
            "boot": self.fence.boot,
        }
        headers = (("Dewstep-Refused", refusal), *self.build_headers(exchange))
        exchange.respond(exchanges.build_json(REFUSAL_STATUSES[refusal], form, headers))

    def build_headers(
        self, exchange: exchanges.Exchange
    ) -> tuple[tuple[str, Any], ...]:
        """Return the headers that name the request and this target."""
        request_id = exchange.headers.get(b"dewstep-request-id", b"")
        return (
            ("Dewstep-Request-Id", request_id),
            ("Dewstep-Target", self.options.name),
            ("Dewstep-Boot", self.fence.boot),
        )

    async def answer(
        self, exchange: exchanges.Exchange, run: run_log.Run, upload: uploads.Upload
    ) -> None:
        """Send the answer to a run, altered by the active answer faults."""
        if seconds := self.faults.answer_delay.get_seconds(run.key):
            await asyncio.sleep(seconds)
        headers = (
            *self.build_headers(exchange),
            ("Dewstep-Body-Bytes", str(upload.size)),
            ("Dewstep-Body-Sha256", upload.digest),
        )
        if upload.content is not None:
            with upload.content:
                await target_answers.send_echo(exchange, headers, upload, self.faults)
            return
        form = {
            "request_id": run.request_id,
            "key": run.key,
            "target": self.options.name,
            "boot": self.fence.boot,
            "epoch": run.epoch,
            "term": run.term,
            "body_bytes": upload.size,
            "body_sha256": upload.digest,
        }
        response = exchanges.build_json(200, form, headers)
        target_answers.send_from_memory(exchange, response, self.faults)


def main(
    name: Annotated[str, typer.Option(help="Name of the target.")],
    service: str = "history",
    host: str = "127.0.0.1",
    port: int = 0,
    control_port: int = 0,
    slots: int = 4,
    connections: Annotated[int, typer.Option(help="Connections accepted.")] = 110,
    connect_delay_ms: float = 1.0,
    service_time_ms: Annotated[float, typer.Option(help="Mean.")] = 5.0,
    distribution: Annotated[
        str, typer.Option(help=", ".join(service_times.distributions))
    ] = "constant",
    seed: int = 0,
    cold_start: Annotated[float, typer.Option(help="Seconds until warm.")] = 0.0,
    cold_factor: Annotated[float, typer.Option(help="Slowness at first.")] = 5.0,
    load_lag: Annotated[float, typer.Option(help="Seconds.")] = 1.0,
    fenced: Annotated[bool, typer.Option(help="Whether it checks grants.")] = True,
    echo: Annotated[bool, typer.Option(help="Answer with the body.")] = False,
    log: Annotated[pathlib.Path | None, typer.Option(help="JSON lines.")] = None,
) -> None:
    """Run a target."""
    if service_times.distributions.get(distribution) is None:
        raise typer.BadParameter(f"unknown distribution {distribution!r}")
    options = target_options.TargetOptions(
        name,
        service,
        slots,
        fenced,
        echo,
        service_time_ms / 1000,
        distribution,
        seed,
        cold_start,
        cold_factor,
        load_lag,
    )
    program.run(
        lambda: Target(options, log),
        program.ListenOptions(
            host, port, control_port, connections, connect_delay_ms / 1000
        ),
    )


if __name__ == "__main__":
    typer.run(main)
