"""What all stand-ins have in common: their ports, fault switch, start and stop."""

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
"""Longest time that a stand-in takes to finish its work after SIGTERM."""


class ListenOptions(NamedTuple):
    """Addresses and limits that a stand-in is started with."""

    host: str = "127.0.0.1"
    port: int = 0
    control_port: int = 0
    maximum_connections: int = 0
    accept_delay: float = 0.0


ANY_PORTS = ListenOptions()


class StandIn:
    """A service with faults; the base of all stand-ins.

    It serves on two ports. The control port knows only `/faults` and is not subject
    to faults, so that a fault that closes the main port can be ended.

    Parameters
    ----------
    initial : NamedTuple
        The faults, all switched off.
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
        """Answer a request on the main port; for subclasses."""
        raise NotImplementedError

    async def finish_work(self) -> None:
        """Finish the work in progress before a stop; for subclasses."""

    def describe(self) -> dict[str, Any]:
        """Return more members for the line on stdout; for subclasses."""
        return {}

    def refuses_connections(self) -> bool:
        """Return whether the faults close the main port; for subclasses."""
        return False

    def apply_faults(self) -> None:
        """Bring the main port in line with the faults."""
        if self.refuses_connections():
            self.server.stop_listening()

    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Answer a request: the fault switch itself, or `serve`."""
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
        # Wakes calls that a cut holds back, so that they look at the cut again.
        self.faults_changed.set()
        self.faults_changed = asyncio.Event()
        return await self.show_faults(call)

    async def wait_while_cut_off(self, exchange: exchanges.Exchange) -> bool:
        """Return once the caller is not cut off; False if it was turned away."""
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
        """Return the JSON line that tells the bound addresses."""
        address: settings.Address = self.server.address
        line = {
            "host": address.host,
            "port": address.port,
            "control_port": self.control.address.port,
            "pid": os.getpid(),
            **self.describe(),
        }
        return json.dumps(line)


class PlatformFaults(NamedTuple):
    """Faults of a platform service."""

    down: str = ""
    """"refuse": connections are refused and open ones closed; any other text: calls
    get status 503."""
    delay: faults.Delay = faults.Delay()
    """Wait before a call takes effect, even if its caller has left by then."""
    lose_answers: faults.Trigger = faults.Trigger()
    """Writes that take effect while the connection closes unanswered."""
    cut: faults.Cut = faults.Cut()


NO_FAULTS = PlatformFaults()


class PlatformService(StandIn):
    """A stand-in for a service of the platform: routes behind the common faults.

    Parameters
    ----------
    initial : NamedTuple, optional
        `PlatformFaults`, or a tuple that has the same members and more.
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
        """Register a handler that is subject to the fault `delay`."""

        async def answer(call: routing.Call) -> exchanges.Response:
            if seconds := self.faults.delay.get_seconds():
                # A service that has received a call carries it out although the
                # caller has closed the connection, so cancelling has no effect here.
                return await asyncio.shield(answer_later(seconds, handler, call))
            return await handler(call)

        self.routes.add(method, template, answer)

    def refuses_connections(self) -> bool:
        """Return whether the service is down like a process that has ended."""
        return self.faults.down == REFUSE_CONNECTIONS

    def apply_faults(self) -> None:
        """Close the port and its connections while the service is down."""
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
    """Return the handler's response after a wait."""
    await asyncio.sleep(seconds)
    return await handler(call)


@contextlib.asynccontextmanager
async def serving(
    stand_in: StandIn, listening: ListenOptions = ANY_PORTS
) -> AsyncIterator[settings.Address]:
    """Run a stand-in inside the caller's event loop; yields the main address."""
    await stand_in.start(listening)
    try:
        yield stand_in.server.address
    finally:
        await stand_in.stop()


async def serve_until_stopped(stand_in: StandIn, listening: ListenOptions) -> None:
    """Run a stand-in until SIGTERM or SIGINT and finish its work."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stand_in.start(listening)
    sys.stdout.write(stand_in.format_ready_line() + "\n")
    sys.stdout.flush()
    await stopped.wait()
    await stand_in.stop()


def run(build: Any, listening: ListenOptions) -> None:
    """Run the stand-in that `build` returns, as the main program.

    Parameters
    ----------
    build : callable
        Returns the `StandIn`; called inside the event loop.
    listening : ListenOptions
        Where to listen.
    """

    async def main():
        await serve_until_stopped(build(), listening)

    uvloop.run(main())
