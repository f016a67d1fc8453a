"""Base classes of the emulated services: ports, fault injection, start and stop."""

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import uvloop
from absl import logging
from returns import result

from dewstep_core import settings
from dewstep_core.http import exchanges, routing, server
from dewstep_emulator import faults

REFUSE_CONNECTIONS = "refuse"
STOP_TIMEOUT_SECONDS = 20.0
"""Longest time that an emulated service waits for its work to end after SIGTERM."""


class ListenOptions(NamedTuple):
    """Addresses and connection limits of an emulated service."""

    host: str = "127.0.0.1"
    port: int = 0
    """0 chooses a free port, also for `control_port`."""
    control_port: int = 0
    maximum_connections: int = 0
    """0 means no limit."""
    accept_delay: float = 0.0
    """Seconds between accepting a connection and reading from it."""


DEFAULT_LISTEN_OPTIONS = ListenOptions()


class EmulatedService:
    """Base class of the emulated services, with fault injection.

    A service listens on two ports. The control port serves `/faults` and is not
    affected by faults, so that a fault which closes the main port can be ended.

    Parameters
    ----------
    initial : NamedTuple
        The faults, all turned off.
    """

    def __init__(self, initial: NamedTuple):
        self.faults = initial
        self.faults_changed = asyncio.Event()
        self.server: server.Server | None = None
        self.control: server.Server | None = None
        self.control_routes = routing.Routes()
        self.control_routes.add("GET", "/faults", self.show_faults)
        self.control_routes.add("POST", "/faults", self.change_faults)

    async def serve(self, exchange: exchanges.Exchange) -> None:
        """Answer a request on the main port; implemented by subclasses."""
        raise NotImplementedError

    async def finish_work(self) -> None:
        """Finish the work in progress before a stop; overridden by subclasses."""

    def get_ready_fields(self) -> dict[str, Any]:
        """Return additional members of the JSON line on stdout, for subclasses."""
        return {}

    def refuses_connections(self) -> bool:
        """Return whether a fault closes the main port; overridden by subclasses."""
        return False

    def apply_faults(self) -> None:
        """Close the main port if a fault requires it."""
        if self.refuses_connections():
            self.server.stop_listening()

    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Answer a request for `/faults`, or pass it to `serve`."""
        if exchange.path == "/faults":
            await self.control_routes.handle(exchange)
        else:
            await self.serve(exchange)

    async def show_faults(self, call: routing.Call) -> exchanges.Response:
        """Answer `GET /faults`."""
        return exchanges.build_json(200, faults.describe_faults(self.faults))

    async def change_faults(self, call: routing.Call) -> exchanges.Response:
        """Answer `POST /faults`."""
        outcome = faults.change_faults(self.faults, call.read_json())
        if not isinstance(outcome, result.Success):
            failure = outcome.failure()
            return exchanges.build_json(400, {"error": failure._asdict()})
        self.faults = outcome.unwrap()
        if not self.refuses_connections():
            await self.server.resume_listening()
        self.apply_faults()
        # Wakes calls that wait for the end of a cut, so that they check it again.
        self.faults_changed.set()
        self.faults_changed = asyncio.Event()
        return await self.show_faults(call)

    async def wait_while_cut_off(self, exchange: exchanges.Exchange) -> bool:
        """Wait until the caller is not cut off; return False if the call is aborted."""
        while self.faults.cut.matches(exchange):
            if self.faults.cut.mode == faults.CLOSE:
                exchange.abort()
                return False
            await self.faults_changed.wait()
        return True

    async def start(self, listening: ListenOptions) -> None:
        """Listen on both ports."""
        self.server = server.Server(
            self.handle, listening.maximum_connections, listening.accept_delay
        )
        self.control = server.Server(self.control_routes.handle)
        await self.server.start(listening.host, listening.port)
        await self.control.start(listening.host, listening.control_port)

    async def stop(self) -> None:
        """Finish the work in progress and close both ports."""
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                await self.finish_work()
        except TimeoutError:
            logging.warning("event=stop_timeout seconds=%s", STOP_TIMEOUT_SECONDS)
        await self.server.close(grace=1.0)
        await self.control.close(grace=1.0)

    def format_ready_line(self) -> str:
        """Return the JSON line with the bound addresses, printed after the start."""
        address: settings.Address = self.server.address
        line = {
            "host": address.host,
            "port": address.port,
            "control_port": self.control.address.port,
            "pid": os.getpid(),
            **self.get_ready_fields(),
        }
        return json.dumps(line)


class PlatformFaults(NamedTuple):
    """Faults of a platform service."""

    down: str = ""
    """"refuse": new connections are refused and open ones closed; any other text:
    calls get status 503."""
    delay: faults.Delay = faults.Delay()
    """Delay before a call takes effect, even if its caller has disconnected by then."""
    lose_answers: faults.Trigger = faults.Trigger()
    """Closes the connection instead of answering a write that took effect."""
    cut: faults.Cut = faults.Cut()


NO_FAULTS = PlatformFaults()


class PlatformService(EmulatedService):
    """Base class of the emulated platform services: routes with the common faults.

    Parameters
    ----------
    initial : NamedTuple, optional
        `PlatformFaults`, or a tuple with additional fields.
    body_limit : int, optional
        Largest request body in bytes.
    """

    def __init__(
        self,
        initial: NamedTuple = NO_FAULTS,
        body_limit: int = exchanges.MAXIMUM_BODY_BYTES,
    ):
        super().__init__(initial)
        self.routes = routing.Routes(body_limit)

    def add_route(
        self, method: str, template: str, handler: routing.RouteHandler
    ) -> None:
        """Register a handler that the fault `delay` applies to."""

        async def answer(call: routing.Call) -> exchanges.Response:
            if seconds := self.faults.delay.get_seconds():
                # A real service executes a received call even if the caller closes
                # the connection, so the handler is protected from cancellation.
                return await asyncio.shield(answer_later(seconds, handler, call))
            return await handler(call)

        self.routes.add(method, template, answer)

    def refuses_connections(self) -> bool:
        """Return whether the service is down and refuses connections."""
        return self.faults.down == REFUSE_CONNECTIONS

    def apply_faults(self) -> None:
        """Close the port and its connections if the service refuses connections."""
        super().apply_faults()
        if self.refuses_connections():
            self.server.abort_connections()

    async def serve(self, exchange: exchanges.Exchange) -> None:
        """Answer a call unless a fault prevents it."""
        if not await self.wait_while_cut_off(exchange):
            return
        if self.faults.down:
            exchange.respond(exchanges.build_json(503, {"error": "down"}))
            return
        response = await self.routes.answer(exchange)
        written = exchange.method != "GET" and response.status == 200
        if written and self.faults.lose_answers.fires():
            exchange.abort()
            return
        exchange.respond(response)


async def answer_later(
    seconds: float, handler: routing.RouteHandler, call: routing.Call
) -> exchanges.Response:
    """Call the handler after a delay and return its response."""
    await asyncio.sleep(seconds)
    return await handler(call)


@contextlib.asynccontextmanager
async def serving(
    service: EmulatedService, listening: ListenOptions = DEFAULT_LISTEN_OPTIONS
) -> AsyncIterator[settings.Address]:
    """Run an emulated service in the current event loop; yield its main address."""
    await service.start(listening)
    try:
        yield service.server.address
    finally:
        await service.stop()


async def serve_until_stopped(
    service: EmulatedService, listening: ListenOptions
) -> None:
    """Run an emulated service until SIGTERM or SIGINT, then stop it."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await service.start(listening)
    sys.stdout.write(service.format_ready_line() + "\n")
    sys.stdout.flush()
    await stopped.wait()
    await service.stop()


def run(build: Any, listening: ListenOptions) -> None:
    """Run the emulated service that `build` returns, as the main program.

    Parameters
    ----------
    build : callable
        Returns the `EmulatedService`; called inside the event loop.
    listening : ListenOptions
    """

    async def main():
        await serve_until_stopped(build(), listening)

    uvloop.run(main())
