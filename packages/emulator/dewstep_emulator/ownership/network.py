"""Connections between simulated processes, with the behaviour of TCP.

Bytes arrive in order. A lost packet only delays them, as do packets that are sent while
the path between two hosts is cut: they arrive some time after it has healed. A process
that ends closes its connections, unless its whole host is lost; the peer then notices
once its bytes reach the host again. While a process is frozen, its host accepts
connections and keeps what arrives.

Each direction of a connection draws its delays from a generator of its own, so that
they do not depend on the order in which a process closes its connections.
"""

import asyncio
import os
import random
from collections.abc import Callable
from typing import NamedTuple

from dewstep_emulator.ownership import event_loop

RETRANSMISSION_SECONDS = 0.2
MAX_RETRANSMISSION_SECONDS = 2.0
CONNECT_RETRY_SECONDS = 1.0
EPHEMERAL_PORTS = range(49152, 65536)
SOCKET_BUFFER_BYTES = 256 * 1024
"""Unacknowledged bytes that the kernel takes from a process."""


class Conditions(NamedTuple):
    """Delays of packets from one host to another."""

    min_delay: float = 0.0003
    """Seconds."""
    max_delay: float = 0.002
    loss: float = 0.0
    """Probability that a packet is lost and sent again."""


USUAL = Conditions()


class Path:
    """State of the path from one host to another."""

    def __init__(self):
        self.conditions = USUAL
        self.cuts = 0
        """Number of causes for which the path is cut."""
        self.cut_at = 0.0
        self.healed_at: float | None = None
        self.waiting: list[Stream] = []
        """Streams with bytes that reached no host during the cut."""


class Stream:
    """One direction of a connection.

    Parameters
    ----------
    network : Network
    path : Path
    receiver : Endpoint
    generator : random.Random
    """

    def __init__(self, network, path, receiver, generator):
        self.network = network
        self.path = path
        self.receiver = receiver
        self.random = generator
        self.last_arrival = 0.0
        self.unacknowledged = 0
        """Number of bytes that are on their way."""
        self.held: list[tuple[Callable, tuple]] = []
        """Packets that wait for the end of a cut."""

    def send(self, receive: Callable, *arguments) -> None:
        """Call `receive` outside of all processes when a packet arrives."""
        if self.held:
            self.held.append((receive, arguments))
            return
        self._schedule(
            draw_delay(self.random, self.path.conditions), receive, arguments
        )

    def _schedule(self, delay: float, receive: Callable, arguments: tuple) -> None:
        loop = self.network.loop
        # A packet that follows another at once must not overtake it.
        arrival = max(loop.now + delay, self.last_arrival + 1e-9)
        self.last_arrival = arrival
        loop.call_outside(arrival - loop.now, self._arrive, receive, arguments)

    def _arrive(self, receive: Callable, arguments: tuple) -> None:
        if self.path.cuts or self.held:
            if not self.held:
                self.path.waiting.append(self)
            self.held.append((receive, arguments))
            return
        receive(*arguments)

    def resume(self) -> None:
        """Send the held packets again after the path has healed."""
        held, self.held = self.held, []
        longest = min(
            max(self.path.healed_at - self.path.cut_at, RETRANSMISSION_SECONDS),
            MAX_RETRANSMISSION_SECONDS,
        )
        delay = longest * self.random.random()
        for receive, arguments in held:
            self._schedule(delay, receive, arguments)


def draw_delay(generator: random.Random, conditions: Conditions) -> float:
    """Return the seconds until a packet arrives."""
    spread = conditions.max_delay - conditions.min_delay
    delay = conditions.min_delay + spread * generator.random()
    if conditions.loss:
        timeout = RETRANSMISSION_SECONDS
        while generator.random() < conditions.loss:
            delay += timeout
            timeout = min(2 * timeout, MAX_RETRANSMISSION_SECONDS)
    return delay


class SilentSocket:
    """Stands for the socket of each endpoint; it never has input.

    A process gets its input as soon as it runs, so that none waits in a socket.
    """

    def __init__(self):
        self.descriptor = os.eventfd(0)

    def __del__(self):
        os.close(self.descriptor)

    def fileno(self) -> int:
        """Return a descriptor that is never readable."""
        return self.descriptor

    def setsockopt(self, *arguments) -> None:
        """Do nothing; each close of an endpoint sends what was written."""


class Endpoint(asyncio.Transport):
    """One end of a connection; the transport of the process there."""

    def __init__(self, network: "Network", process: event_loop.Process, port: int):
        super().__init__()
        self.network = network
        self.process = process
        self.port = port
        self.protocol: asyncio.Protocol | None = None
        self.peer: Endpoint | None = None
        self.outgoing: Stream | None = None
        self.closed = False
        """Whether the process has closed the connection."""
        self.unread: list[bytes] = []
        """What arrived before the process accepted the connection."""

    # Interface of asyncio.

    def write(self, data: bytes) -> None:
        """Send bytes to the peer."""
        if not data or self.closed or self.process.ended:
            return
        self.outgoing.unacknowledged += len(data)
        self.outgoing.send(self.peer.receive, bytes(data))

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the kernel has not taken."""
        return max(0, self.outgoing.unacknowledged - SOCKET_BUFFER_BYTES)

    def is_closing(self) -> bool:
        """Whether the connection is closed."""
        return self.closed

    def abort(self) -> None:
        """Close the connection; the kernel still sends what was written."""
        if self.process.ended:
            return
        self.close_socket()

    def close(self) -> None:
        """Close the connection."""
        self.abort()

    def get_extra_info(self, name, default=None):
        """Return what stands for the socket; there is no other information."""
        return self.network.socket if name == "socket" else default

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Do nothing, since the network takes all bytes at once."""

    def pause_reading(self) -> None:
        """Do nothing; the bytes that simulated processes exchange are few."""

    def resume_reading(self) -> None:
        """Do nothing."""

    def write_eof(self) -> None:
        """Tell the peer that no more bytes follow."""
        self.outgoing.send(self.peer.receive_end)

    # Events of the network.

    def call_protocol(self, name: str, *arguments) -> None:
        """Call a method of the protocol in its process."""
        self.network.loop.call_soon(
            self._call, name, arguments, context=self.process.context
        )

    def _call(self, name: str, arguments: tuple) -> None:
        if self.protocol is not None:
            getattr(self.protocol, name)(*arguments)

    def receive(self, content: bytes) -> None:
        """Pass on bytes that have arrived."""
        self.peer.outgoing.unacknowledged -= len(content)
        if self.closed or self.process.ended:
            self.send_reset()
            return
        self.network.loop.call_soon(self._read, content, context=self.process.context)

    def _read(self, content: bytes) -> None:
        if self.protocol is None:
            self.unread.append(content)
        elif not self.closed:
            self.protocol.data_received(content)

    def receive_end(self) -> None:
        """Close the connection because the peer has closed it."""
        if not self.closed and not self.process.ended:
            self.network.loop.call_soon(self._read_end, context=self.process.context)

    def _read_end(self) -> None:
        if not self.closed:
            self.close_socket()

    def send_reset(self) -> None:
        """Send a reset, which is not repeated if it is lost."""
        path = self.outgoing.path
        if not path.cuts:
            self.outgoing.send(self.peer.receive_reset)

    def receive_reset(self) -> None:
        """Close the connection because the peer no longer knows it."""
        if not self.closed and not self.process.ended:
            self.network.loop.call_soon(self._read_reset, context=self.process.context)

    def _read_reset(self) -> None:
        if not self.closed:
            self.closed = True
            self.network.remove(self)
            self._call("connection_lost", (ConnectionResetError(),))

    def reset(self) -> None:
        """Close this end as if a device on the path had sent a reset."""
        if not self.closed and not self.process.ended:
            self.network.loop.call_soon(self._read_reset, context=self.process.context)

    def close_socket(self) -> None:
        """Close this end, and tell the peer after all bytes that were written."""
        if self.closed:
            return
        self.closed = True
        self.network.remove(self)
        self.outgoing.send(self.peer.receive_end)
        if not self.process.ended:
            self.call_protocol("connection_lost", None)


class Server(asyncio.AbstractServer):
    """A port at which a process accepts connections."""

    def __init__(self, network, process, port, protocol_factory):
        self.network = network
        self.process = process
        self.port = port
        self.protocol_factory = protocol_factory

    @property
    def sockets(self) -> tuple["Server", ...]:
        """What stands for the sockets of the port."""
        return (self,)

    def getsockname(self) -> tuple[str, int]:
        """Return the address of the port."""
        return self.process.host, self.port

    def close(self) -> None:
        """Accept no more connections."""
        address = self.process.host, self.port
        if self.network.servers.get(address) is self:
            del self.network.servers[address]

    def is_serving(self) -> bool:
        """Whether connections are accepted."""
        address = self.process.host, self.port
        return self.network.servers.get(address) is self

    async def wait_closed(self) -> None:
        """Return at once."""


class Network:
    """All hosts and the paths between them.

    Parameters
    ----------
    loop : event_loop.EventLoop
        Its connections are opened here from now on.
    generator : random.Random
    """

    def __init__(self, loop: event_loop.EventLoop, generator: random.Random):
        self.loop = loop
        self.random = generator
        self.seed = generator.getrandbits(32)
        self.connections = 0
        self.paths: dict[tuple[str, str], Path] = {}
        self.servers: dict[tuple[str, int], Server] = {}
        self.endpoints: dict[event_loop.Process, dict[Endpoint, None]] = {}
        """Open connections of each process, in the order of their start."""
        self.socket = SilentSocket()
        self.refused: set[tuple[str, str]] = set()
        """Pairs of hosts between which new connections are refused."""
        loop.network = self

    # Paths.

    def get_path(self, source: str, destination: str) -> Path:
        """Return the path from one host to another."""
        path = self.paths.get((source, destination))
        if path is None:
            path = self.paths[source, destination] = Path()
        return path

    def cut(self, source: str, destination: str) -> None:
        """Let no packet pass from one host to another."""
        path = self.get_path(source, destination)
        if not path.cuts:
            path.cut_at = self.loop.now
        path.cuts += 1

    def heal(self, source: str, destination: str) -> None:
        """End one cause of a cut."""
        path = self.get_path(source, destination)
        path.cuts -= 1
        if path.cuts:
            return
        path.healed_at = self.loop.now
        waiting, path.waiting = path.waiting, []
        for stream in waiting:
            stream.resume()

    def refuse(self, source: str, destination: str) -> None:
        """Refuse new connections from one host to another; open ones live on."""
        self.refused.add((source, destination))

    def accept(self, source: str, destination: str) -> None:
        """Accept new connections again."""
        self.refused.discard((source, destination))

    def reset_connections(self, source: str, destination: str) -> None:
        """Reset the open connections from one host to another at both ends."""
        for process, endpoints in self.endpoints.items():
            if process.host != source:
                continue
            for endpoint in list(endpoints):
                if endpoint.peer.process.host == destination:
                    endpoint.reset()
                    endpoint.peer.reset()

    def set_conditions(
        self, source: str, destination: str, conditions: Conditions
    ) -> None:
        """Set the delays of packets that are sent from now on."""
        self.get_path(source, destination).conditions = conditions

    def is_cut(self, first: str, second: str) -> bool:
        """Whether one direction between two hosts is cut."""
        return bool(
            self.get_path(first, second).cuts or self.get_path(second, first).cuts
        )

    # Processes.

    def end(self, process: event_loop.Process, host_lost: bool = False) -> None:
        """Close the connections of a process that has ended.

        With `host_lost`, its peers are not told.
        """
        for address, server in list(self.servers.items()):
            if server.process is process:
                del self.servers[address]
        for endpoint in list(self.endpoints.pop(process, ())):
            if host_lost:
                endpoint.closed = True
            else:
                endpoint.close_socket()

    def remove(self, endpoint: Endpoint) -> None:
        """Forget a closed connection."""
        self.endpoints.get(endpoint.process, {}).pop(endpoint, None)

    # Connections.

    def listen(self, protocol_factory, host: str, port: int) -> Server:
        """Accept connections of the current process; port 0 stands for a free one.

        Raises
        ------
        OSError
            If the port is in use.
        """
        process = event_loop.current_process.get()
        if port == 0:
            port = next(
                free for free in EPHEMERAL_PORTS if (host, free) not in self.servers
            )
        if (host, port) in self.servers:
            raise OSError(f"{host}:{port} is in use")
        server = Server(self, process, port, protocol_factory)
        self.servers[host, port] = server
        return server

    async def connect(
        self, protocol_factory, host: str, port: int
    ) -> tuple[Endpoint, asyncio.Protocol]:
        """Open a connection of the current process.

        Raises
        ------
        ConnectionRefusedError
            If no process listens there.
        """
        process = event_loop.current_process.get()
        self.connections += 1
        generator = random.Random(f"{self.seed}/{self.connections}")
        established = self.loop.create_future()
        own = Endpoint(self, process, port)
        self._send_request(own, host, port, generator, established)
        try:
            await established
        except asyncio.CancelledError:
            if own.peer is not None:
                own.close_socket()
            own.closed = True
            raise
        own.protocol = protocol_factory()
        own.protocol.connection_made(own)
        if own.unread:
            self._read_all(own)
        return own, own.protocol

    def _send_request(self, own, host, port, generator, established) -> None:
        """Ask a host for a connection, again and again while the path is cut."""
        if established.done() or own.process.ended:
            return
        there = self.get_path(own.process.host, host)
        arguments = own, host, port, generator, established
        if self.is_cut(own.process.host, host):
            self.loop.call_outside(
                CONNECT_RETRY_SECONDS, self._send_request, *arguments
            )
            return
        delay = draw_delay(generator, there.conditions)
        self.loop.call_outside(delay, self._receive_request, *arguments)

    def _receive_request(self, own, host, port, generator, established) -> None:
        if own.process.ended:
            return
        if self.is_cut(own.process.host, host):
            self._send_request(own, host, port, generator, established)
            return
        there = self.get_path(own.process.host, host)
        back = self.get_path(host, own.process.host)
        delay = draw_delay(generator, back.conditions)
        server = self.servers.get((host, port))
        if server is None or (own.process.host, host) in self.refused:
            error = ConnectionRefusedError(f"{host}:{port}")
            self.loop.call_outside(delay, set_error, established, error)
            return
        peer = Endpoint(self, server.process, port)
        own.peer, peer.peer = peer, own
        seeds = generator.getrandbits(32), generator.getrandbits(32)
        own.outgoing = Stream(self, there, peer, random.Random(seeds[0]))
        peer.outgoing = Stream(self, back, own, random.Random(seeds[1]))
        self.endpoints.setdefault(own.process, {})[own] = None
        self.endpoints.setdefault(peer.process, {})[peer] = None
        self.loop.call_soon(self._accept, server, peer, context=server.process.context)
        # The answer is the first packet, so that no later one overtakes it.
        peer.outgoing.send(event_loop.set_unless_done, established)
        if own.closed:
            own.closed = False
            own.close_socket()

    def _accept(self, server: Server, endpoint: Endpoint) -> None:
        if not server.is_serving():
            endpoint.close_socket()
            return
        endpoint.protocol = server.protocol_factory()
        endpoint.protocol.connection_made(endpoint)
        self._read_all(endpoint)

    def _read_all(self, endpoint: Endpoint) -> None:
        unread, endpoint.unread = endpoint.unread, []
        for content in unread:
            endpoint.protocol.data_received(content)


def set_error(waiter: asyncio.Future, error: Exception) -> None:
    """Fail a future that may have been cancelled."""
    if not waiter.done():
        waiter.set_exception(error)


class Link:
    """Path of the messages between a host and a service of the platform.

    Parameters
    ----------
    network : Network
    first, second : str
        Hosts at both ends.
    timeout : float
        Seconds for which a message waits for the end of a cut.
    """

    def __init__(self, network: Network, first: str, second: str, timeout: float):
        self.network = network
        self.there = network.get_path(first, second)
        self.back = network.get_path(second, first)
        self.timeout = timeout

    async def pass_through(self) -> None:
        """Wait until a message has passed to the service or back.

        A cut in either direction stops both, since each needs acknowledgements.

        Raises
        ------
        ConnectionResetError
            If the path is cut for longer than the time-out.
        """
        delay = draw_delay(self.network.random, self.there.conditions)
        await self.network.loop.sleep_outside(delay)
        waited = 0.0
        while self.there.cuts or self.back.cuts:
            if waited >= self.timeout:
                raise ConnectionResetError
            await self.network.loop.sleep_outside(RETRANSMISSION_SECONDS)
            waited += RETRANSMISSION_SECONDS
