"""Stand-in for a target: slots, grants, service times, a log of runs, and faults.

Usage: ``python -m dewstep_emulator.target --name t1 --service history``. The protocol
is in docs/platform.md.

The log is the ground truth of what ran: an event is written after the check that
permits it and carries the time of that check.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import random
import secrets
import tempfile
import time
from collections.abc import Callable, Iterator
from typing import Annotated, Any, BinaryIO, NamedTuple

import typer

from dewstep_core.http import server
from dewstep_emulator import faults, fencing, program, service_times

CRASH_STATUS = 70
"""Exit status after a request with the crash marker (EX_SOFTWARE)."""
SPOOL_BYTES = 256 * 1024
"""Body bytes kept in memory for an echo; longer bodies go to a temporary file."""
CHUNK_BYTES = 64 * 1024
SURPLUS = b"surplus-surplus-"
"""Bytes that follow an answer that is longer than it announced."""
CLOCK_OFFSET_SECONDS = 100_000.0
"""Largest random offset of the target's clock. Different offsets show mistakes that
compare the clocks of two machines, which one test machine would otherwise hide."""

FENCED = "fenced"
SHED = "shed"
DRAINING = "draining"
LIVE = "live"
STATUSES = {FENCED: 409, SHED: 503, DRAINING: 503}


class TargetOptions(NamedTuple):
    """How a target behaves; times in seconds."""

    name: str = "target"
    service: str = "history"
    slots: int = 4
    fenced: bool = True
    echo: bool = False
    service_time: float = 0.005
    distribution: str = "constant"
    seed: int = 0
    cold_start: float = 0.0
    cold_factor: float = 5.0
    load_lag: float = 1.0


class TargetFaults(NamedTuple):
    """Faults of a target."""

    shed: faults.Trigger = faults.Trigger()
    slow_factor: float = 1.0
    drain: bool = False
    load: faults.Load = faults.Load()
    answer_delay: faults.Delay = faults.Delay()
    answer_twice: faults.Trigger = faults.Trigger()
    answer_cut: faults.Trigger = faults.Trigger()
    answer_long: faults.Trigger = faults.Trigger()
    crash: str = ""
    refuse: bool = False
    cut: faults.Cut = faults.Cut()


class Run(NamedTuple):
    """A request as the log and the fence see it."""

    request_id: str
    key: str
    kind: str
    epoch: int
    term: int
    boot: str
    deadline: float | None
    method: str
    path: str


class Upload(NamedTuple):
    """A request body that was read to its end."""

    size: int
    digest: str
    marked: bool
    """Whether the body contains the crash marker."""
    content: BinaryIO | None
    """For an echo."""


class RunLog:
    """Appends events to a file, one JSON line each, without buffering.

    Parameters
    ----------
    path : pathlib.Path or None
        Of the file; None drops the events.
    target, boot : str
        Members of each line.
    """

    def __init__(self, path: pathlib.Path | None, target: str, boot: str):
        self.file = None if path is None else path.open("ab", buffering=0)
        self.target = target
        self.boot = boot

    def write(self, event: str, run: Run, now: float) -> None:
        """Write one event; `now` is CLOCK_MONOTONIC without the target's offset."""
        if self.file is None:
            return
        line = {
            "event": event,
            "request_id": run.request_id,
            "key": run.key,
            "kind": run.kind,
            "epoch": run.epoch,
            "term": run.term,
            "time": now,
            "target": self.target,
            "boot": self.boot,
            "method": run.method,
            "path": run.path,
        }
        self.file.write(json.dumps(line, separators=(",", ":")).encode() + b"\n")


class Target(program.StandIn):
    """A target behind HTTP.

    Parameters
    ----------
    options : TargetOptions
        Its behaviour.
    log : pathlib.Path or None
        File for the events of runs.
    monotonic : callable, optional
        Returns seconds of CLOCK_MONOTONIC.
    """

    def __init__(
        self,
        options: TargetOptions,
        log: pathlib.Path | None = None,
        monotonic: Callable[[], float] = time.monotonic,
    ):
        super().__init__(TargetFaults())
        self.options = options
        self.monotonic = monotonic
        self.started = monotonic()
        self.offset = random.uniform(0, CLOCK_OFFSET_SECONDS)
        self.fence = fencing.Fence(secrets.token_hex(8))
        self.log = RunLog(log, options.name, self.fence.boot)
        # With the seed alone, all targets of a fleet would be slow at the same time.
        self.random = random.Random(f"{options.seed}/{options.name}")
        self.draw = service_times.distributions.get(options.distribution)
        self.stopping = False
        self.running = 0
        self.active = 0
        self.inactive = asyncio.Event()
        self.inactive.set()
        self.load = {"state": LIVE, "load": 0.0}
        self.sampler: asyncio.Task | None = None
        self.routes = server.Routes()
        self.routes.add("GET", "/control/clock", self.show_clock)
        self.routes.add("PUT", "/control/grant", self.take_grant)
        self.routes.add("GET", "/control/load", self.show_load)

    # Life.

    async def start(self, listening: program.Listening) -> None:
        """Listen, and begin to sample the load."""
        await super().start(listening)
        self.sampler = asyncio.create_task(self.sample_load())

    async def finish(self) -> None:
        """Refuse new requests and wait for those in progress."""
        self.stopping = True
        await self.inactive.wait()
        self.sampler.cancel()

    def describe(self) -> dict[str, Any]:
        """Return more members for the line on stdout."""
        options = self.options
        return {
            "target": options.name,
            "service": options.service,
            "boot": self.fence.boot,
        }

    def refuses_connections(self) -> bool:
        """Return whether new connections are refused; open ones stay."""
        return self.faults.refuse

    async def sample_load(self) -> None:
        """Refresh what the load endpoint shows, once per lag."""
        while True:
            state = DRAINING if self.is_draining() else LIVE
            load = self.running / self.options.slots
            self.load = {"state": state, "load": load}
            await asyncio.sleep(self.options.load_lag)

    def is_draining(self) -> bool:
        """Return whether new requests are refused."""
        return self.stopping or self.faults.drain

    def read_clock(self) -> float:
        """Return the target's clock in seconds."""
        return self.monotonic() + self.offset

    # Control calls.

    async def show_clock(self, call: server.Call) -> server.Response:
        """Answer `GET /control/clock`."""
        return server.build_json(200, self.describe_clock())

    async def take_grant(self, call: server.Call) -> server.Response:
        """Answer `PUT /control/grant`."""
        if not self.options.fenced:
            return server.build_json(404, {"error": "takes no grants"})
        grant = fencing.parse_grant(call.read_json())
        if grant is None:
            return server.build_json(400, {"error": "not a grant"})
        refusal = self.fence.accept(*grant, self.read_clock())
        answer = self.describe_clock()
        if refusal:
            return server.build_json(409, {**answer, "reason": refusal})
        return server.build_json(200, answer)

    def describe_clock(self) -> dict[str, Any]:
        """Return the boot id, clock and highest term."""
        fence = self.fence
        return {"boot": fence.boot, "clock": self.read_clock(), "term": fence.term}

    async def show_load(self, call: server.Call) -> server.Response:
        """Answer `GET /control/load`, truthfully or not."""
        return server.build_json(200, self.faults.load.describe() or self.load)

    # Requests.

    async def serve(self, exchange: server.Exchange) -> None:
        """Answer a control call, or run a request."""
        if not await self.pass_cut(exchange):
            return
        if exchange.path.startswith("/control/"):
            await self.routes.handle(exchange)
            return
        self.active += 1
        self.inactive.clear()
        try:
            await self.handle_request(exchange)
        finally:
            self.active -= 1
            if self.active == 0:
                self.inactive.set()

    async def handle_request(self, exchange: server.Exchange) -> None:
        """Run a request in a slot and answer it, or refuse it."""
        run = parse_run(exchange)
        if run is None:
            exchange.respond(server.build_json(400, {"error": "wrong header"}))
            return
        refusal = self.find_refusal(run)
        if refusal:
            self.refuse(exchange, *refusal)
            return
        self.running += 1
        try:
            upload = await self.receive(exchange)
            refusal = await self.execute(run, upload)
        finally:
            self.running -= 1
        if refusal:
            self.refuse(exchange, FENCED, refusal)
        else:
            await self.answer(exchange, run, upload)

    def find_refusal(self, run: Run) -> tuple[str, str] | None:
        """Return the name and detail of a refusal, or None to take the request."""
        if self.is_draining():
            return DRAINING, ""
        if self.running >= self.options.slots:
            return SHED, "slots"
        if self.faults.shed.fires():
            return SHED, "fault"
        reason = self.check_start(run, self.monotonic())
        return (FENCED, reason) if reason else None

    def check_start(self, run: Run, now: float) -> str:
        """Return why a run must not start, or ""; unfenced targets check nothing."""
        if not self.options.fenced:
            return ""
        clock = now + self.offset
        if run.deadline is not None and run.deadline <= clock:
            return "deadline"
        return self.fence.check(run.boot, run.term, clock)

    def check_effect(self, run: Run, now: float) -> str:
        """Return why a run must not take effect, or ""."""
        if not self.options.fenced:
            return ""
        return self.fence.check(run.boot, run.term, now + self.offset)

    async def receive(self, exchange: server.Exchange) -> Upload:
        """Read the request body without keeping it, unless it is echoed."""
        marker = self.faults.crash.encode()
        content = (
            tempfile.SpooledTemporaryFile(SPOOL_BYTES) if self.options.echo else None
        )
        digest = hashlib.sha256()
        size = 0
        tail = b""
        marked = False
        while chunk := await exchange.read_chunk():
            size += len(chunk)
            digest.update(chunk)
            if content is not None:
                content.write(chunk)
            if marker:
                # The marker may lie across the border of two chunks.
                marked = marked or marker in tail + chunk
                tail = (tail + chunk)[1 - len(marker) :] if len(marker) > 1 else b""
        return Upload(size, digest.hexdigest(), marked, content)

    async def execute(self, run: Run, upload: Upload) -> str:
        """Run a request; return "" if it took effect, or why not."""
        now = self.monotonic()
        if reason := self.check_start(run, now):
            return reason
        self.log.write("start", run, now)
        if self.faults.crash and (upload.marked or self.faults.crash in run.key):
            os._exit(CRASH_STATUS)
        try:
            await asyncio.sleep(self.draw_service_time(now))
        except asyncio.CancelledError:
            self.log.write("cancel", run, self.monotonic())
            raise
        # The process may have been stopped (SIGSTOP) meanwhile: a new reading.
        now = self.monotonic()
        if reason := self.check_effect(run, now):
            self.log.write("abort", run, now)
            return reason
        self.log.write("end", run, now)
        return ""

    def draw_service_time(self, now: float) -> float:
        """Return the seconds that a run takes."""
        options = self.options
        age = now - self.started
        factor = service_times.find_cold_factor(
            age, options.cold_start, options.cold_factor
        )
        seconds = self.draw(self.random, options.service_time)
        return seconds * factor * self.faults.slow_factor

    # Answers.

    def refuse(self, exchange: server.Exchange, refusal: str, detail: str) -> None:
        """Answer that the request has had no effect."""
        form = {
            "refused": refusal,
            "detail": detail,
            "target": self.options.name,
            "boot": self.fence.boot,
        }
        headers = (("Dewstep-Refused", refusal), *self.build_headers(exchange))
        exchange.respond(server.build_json(STATUSES[refusal], form, headers))

    def build_headers(self, exchange: server.Exchange) -> tuple[tuple[str, Any], ...]:
        """Return the headers that name the request and this target."""
        request_id = exchange.headers.get(b"dewstep-request-id", b"")
        return (
            ("Dewstep-Request-Id", request_id),
            ("Dewstep-Target", self.options.name),
            ("Dewstep-Boot", self.fence.boot),
        )

    async def answer(self, exchange: server.Exchange, run: Run, upload: Upload) -> None:
        """Send the answer of a run, with the faults of answers."""
        if seconds := self.faults.answer_delay.get_seconds():
            await asyncio.sleep(seconds)
        headers = (
            *self.build_headers(exchange),
            ("Dewstep-Body-Bytes", str(upload.size)),
            ("Dewstep-Body-Sha256", upload.digest),
        )
        if upload.content is not None:
            with upload.content:
                await self.send_echo(exchange, headers, upload)
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
        self.send_small(exchange, server.build_json(200, form, headers))

    def send_small(self, exchange: server.Exchange, response: server.Response) -> None:
        """Send an answer from memory."""
        rendered = exchange.render(response)
        if self.faults.answer_cut.fires():
            exchange.write(rendered[: -(len(response.body) + 1) // 2])
            exchange.close()
            return
        exchange.write(rendered)
        if self.faults.answer_long.fires():
            exchange.write(SURPLUS)
        if self.faults.answer_twice.fires():
            exchange.write(rendered)

    async def send_echo(
        self, exchange: server.Exchange, headers: tuple, upload: Upload
    ) -> None:
        """Send the request body back."""
        upload.content.seek(0)
        if upload.size <= SPOOL_BYTES:
            response = server.Response(200, upload.content.read(), headers)
            self.send_small(exchange, response)
            return
        if self.faults.answer_cut.fires():
            exchange.write(exchange.render_head(200, headers, upload.size))
            for chunk in read_chunks(upload.content, upload.size // 2):
                exchange.write(chunk)
                await exchange.connection.drain()
            exchange.close()
            return
        chunks = read_chunks(upload.content, upload.size)
        await exchange.respond_stream(200, headers, upload.size, chunks)
        if self.faults.answer_long.fires():
            exchange.write(SURPLUS)


def read_chunks(content: BinaryIO, size: int) -> Iterator[bytes]:
    """Yield the first `size` bytes of a file in parts."""
    while size > 0 and (chunk := content.read(min(size, CHUNK_BYTES))):
        size -= len(chunk)
        yield chunk


def parse_run(exchange: server.Exchange) -> Run | None:
    """Return the run that a request's headers describe, or None if one is wrong."""
    get = exchange.get_header
    try:
        deadline = get("Dewstep-Deadline")
        return Run(
            get("Dewstep-Request-Id"),
            get("Dewstep-Key"),
            get("Dewstep-Kind"),
            int(get("Dewstep-Epoch") or 0),
            int(get("Dewstep-Term") or 0),
            get("Dewstep-Boot"),
            float(deadline) if deadline else None,
            exchange.method,
            exchange.path,
        )
    except ValueError:
        return None


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
        raise typer.BadParameter(f"distribution {distribution!r}")
    options = TargetOptions(
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
        program.Listening(
            host, port, control_port, connections, connect_delay_ms / 1000
        ),
    )


if __name__ == "__main__":
    typer.run(main)
