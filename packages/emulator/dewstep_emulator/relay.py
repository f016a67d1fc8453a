"""A minimal HTTP relay with static hashing, the baseline of overhead measurements.

Usage: ``python -m dewstep_emulator.relay --routes FILE --number 0 --port 0``.

The relay uses asyncio and h11. A request takes as many hops as in dewstep: the relay
that received it forwards it to the relay responsible for the target, which forwards it
to the target. There are no queues, deadlines, retries, grants or membership. Bodies
are buffered completely before they are forwarded.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys
from collections.abc import Callable
from typing import Annotated, NamedTuple

import h11
import typer
import uvloop

from dewstep_core import hashing, settings

HOP_BY_HOP_HEADERS = frozenset({b"connection", b"keep-alive", b"transfer-encoding"})
TARGET_UNREACHABLE = (503, [(b"dewstep-refused", b"unreachable")], b"")
ANSWER_LOST = (502, [], b"")

Answer = tuple[int, list, bytes]


class Routes(NamedTuple):
    """The static routing table, the same for all relays."""

    relays: tuple[settings.Address, ...]
    targets: dict[str, settings.Address]
    owners: dict[str, tuple[str, ...]]
    """Target of each shard, by service."""
    relay_of: dict[str, int]
    """Number of the relay responsible for each target."""


def read_routes(path: pathlib.Path) -> Routes:
    """Read the routes from a JSON file."""
    value = json.loads(path.read_text())
    return Routes(
        tuple(settings.Address(*item) for item in value["relays"]),
        {name: settings.Address(*item) for name, item in value["targets"].items()},
        {name: tuple(owners) for name, owners in value["owners"].items()},
        value["relay_of"],
    )


def choose_next_hop(routes: Routes, number: int, path: str) -> settings.Address | None:
    """Return the next hop of a request at relay `number`, None without a route."""
    parts = path.split("/")
    owners = routes.owners.get(parts[1]) if len(parts) > 2 else None
    if owners is None:
        return None
    owner = owners[hashing.compute_shard(parts[2], len(owners))]
    responsible = routes.relay_of[owner]
    if responsible == number:
        return routes.targets[owner]
    return routes.relays[responsible]


def select_forwarded_headers(
    headers, host: bytes | None = None
) -> list[tuple[bytes, bytes]]:
    """Return the headers without hop-by-hop headers, optionally with another host."""
    return [
        (name, host if host is not None and name == b"host" else value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS
    ]


class UpstreamConnection(asyncio.Protocol):
    """A connection to the next hop, with at most one request at a time.

    Parameters
    ----------
    idle : list of UpstreamConnection
        Idle connections to the same address; contains this one between requests.
    """

    def __init__(self, idle: list["UpstreamConnection"]):
        self.idle = idle
        self.http = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.on_answer: Callable[[Answer], None] | None = None
        self.head: h11.Response | None = None
        self.chunks: list[bytes] = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Answer the request in progress with a failure."""
        if self in self.idle:
            self.idle.remove(self)
        self.finish(ANSWER_LOST)

    def send(
        self, head: h11.Request, body: bytes, on_answer: Callable[[Answer], None]
    ) -> None:
        """Send a request; `on_answer` is called with the answer or a failure."""
        self.on_answer = on_answer
        pieces = [self.http.send(head)]
        if body:
            pieces.append(self.http.send(h11.Data(data=body)))
        pieces.append(self.http.send(h11.EndOfMessage()))
        self.transport.write(b"".join(pieces))

    def data_received(self, chunk: bytes) -> None:
        """Parse received bytes of an answer."""
        try:
            self.http.receive_data(chunk)
            while True:
                event = self.http.next_event()
                kind = type(event)
                if kind is h11.Response:
                    self.head = event
                elif kind is h11.Data:
                    self.chunks.append(event.data)
                elif kind is h11.EndOfMessage:
                    self.complete()
                    return
                else:
                    return
        except h11.RemoteProtocolError:
            self.transport.abort()

    def complete(self) -> None:
        """Deliver the answer and make the connection idle, or close it."""
        answer = (
            self.head.status_code,
            select_forwarded_headers(self.head.headers),
            b"".join(self.chunks),
        )
        self.chunks.clear()
        http = self.http
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
            self.idle.append(self)
        else:
            self.transport.abort()
        self.finish(answer)

    def finish(self, answer: Answer) -> None:
        """Deliver an answer to the request in progress, if any."""
        deliver, self.on_answer = self.on_answer, None
        if deliver is not None:
            deliver(answer)


class DownstreamConnection(asyncio.Protocol):
    """A connection from a caller or another relay."""

    def __init__(self, relay: "Relay"):
        self.relay = relay
        self.http = h11.Connection(h11.SERVER)
        self.transport: asyncio.Transport | None = None
        self.head: h11.Request | None = None
        self.chunks: list[bytes] = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, chunk: bytes) -> None:
        """Parse received bytes of requests."""
        self.http.receive_data(chunk)
        self.advance()

    def advance(self) -> None:
        """Parse up to the end of the next request."""
        try:
            while True:
                event = self.http.next_event()
                kind = type(event)
                if kind is h11.Request:
                    self.head = event
                elif kind is h11.Data:
                    self.chunks.append(bytes(event.data))
                elif kind is h11.EndOfMessage:
                    self.forward()
                    return
                else:
                    return
        except h11.RemoteProtocolError:
            self.transport.abort()

    def forward(self) -> None:
        """Send the request to the next hop."""
        body = b"".join(self.chunks)
        self.chunks.clear()
        self.relay.send(self.head, body, self.receive_answer)

    def receive_answer(self, answer: Answer) -> None:
        """Send the answer and continue with the next request."""
        if self.transport.is_closing():
            return
        status, headers, body = answer
        # An answer without a body needs an explicit length on a keep-alive connection.
        if not headers or body == b"":
            headers = [item for item in headers if item[0] != b"content-length"]
            headers.append((b"content-length", b"0"))
        send = self.http.send
        pieces = [send(h11.Response(status_code=status, headers=headers))]
        if body:
            pieces.append(send(h11.Data(data=body)))
        pieces.append(send(h11.EndOfMessage()))
        self.transport.write(b"".join(pieces))
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self.advance()
        else:
            self.transport.close()


class Relay:
    """One relay with its connections to other relays and targets.

    Parameters
    ----------
    routes : Routes
    number : int
        Position of this relay in `routes.relays`.
    """

    def __init__(self, routes: Routes, number: int):
        self.routes = routes
        self.number = number
        self.idle: dict[settings.Address, list[UpstreamConnection]] = {}
        self.tasks: set[asyncio.Task] = set()

    def send(
        self, head: h11.Request, body: bytes, on_answer: Callable[[Answer], None]
    ) -> None:
        """Forward a request on an idle or new connection to the next hop."""
        address = choose_next_hop(
            self.routes, self.number, head.target.decode("latin-1")
        )
        if address is None:
            on_answer((404, [], b""))
            return
        host = f"{address.host}:{address.port}".encode()
        forwarded_request = h11.Request(
            method=head.method,
            target=head.target,
            headers=select_forwarded_headers(head.headers, host),
        )
        idle = self.idle.setdefault(address, [])
        if idle:
            idle.pop().send(forwarded_request, body, on_answer)
            return
        task = asyncio.ensure_future(
            self.open(address, idle, forwarded_request, body, on_answer)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open(self, address, idle, forwarded_request, body, on_answer) -> None:
        """Open a connection and send a request on it."""
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: UpstreamConnection(idle), *address
            )
        except OSError:
            on_answer(TARGET_UNREACHABLE)
            return
        connection.send(forwarded_request, body, on_answer)


async def serve(routes: Routes, number: int, host: str, port: int) -> None:
    """Run a relay until SIGTERM."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    relay = Relay(routes, number)
    server = await loop.create_server(
        lambda: DownstreamConnection(relay), host, port, backlog=1_024
    )
    line = {
        "host": host,
        "port": server.sockets[0].getsockname()[1],
        "pid": os.getpid(),
    }
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()
    await stopped.wait()
    server.close()


def main(
    routes: Annotated[pathlib.Path, typer.Option(help="JSON file of `Routes`.")],
    number: Annotated[int, typer.Option(help="Position among the relays.")] = 0,
    host: str = "127.0.0.1",
    port: int = 0,
) -> None:
    """Run a relay."""
    uvloop.run(serve(read_routes(routes), number, host, port))


if __name__ == "__main__":
    typer.run(main)
