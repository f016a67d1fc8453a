"""Tests of the simulated network."""

import asyncio
import random

import pytest

from dewstep_emulator.ownership import event_loop, network

PORT = 7000


class Recorder(asyncio.Protocol):
    """Keeps what it receives."""

    def __init__(self):
        self.transport = None
        self.content = b""
        self.lost = []

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.content += data

    def connection_lost(self, error):
        self.lost.append(error)


class Harness:
    """Two processes; the server's connections are in `accepted`."""

    def __init__(self, loop):
        self.loop = loop
        self.network = network.Network(loop, random.Random(1))
        self.client = event_loop.Process("client", "a", loop.now)
        self.server = event_loop.Process("server", "b", loop.now)
        self.accepted = []

    def accept(self):
        self.accepted.append(Recorder())
        return self.accepted[-1]

    async def listen(self):
        work = self.loop.create_server(self.accept, "b", PORT)
        return await self.loop.spawn(self.server, work)

    async def connect(self, timeout=0.4):
        async def work():
            async with asyncio.timeout(timeout):
                return await self.loop.create_connection(Recorder, "b", PORT)

        _, recorder = await self.loop.spawn(self.client, work())
        return recorder

    async def connect_both(self):
        await self.listen()
        recorder = await self.connect()
        await asyncio.sleep(0.01)
        return recorder, self.accepted[-1]

    def write(self, recorder, content):
        process = recorder.transport.process
        process.context.run(recorder.transport.write, content)


async def write_nothing(harness):
    recorder, accepted = await harness.connect_both()
    received = []
    accepted.data_received = received.append
    harness.write(recorder, b"")
    harness.write(recorder, b"x")
    await asyncio.sleep(0.01)
    assert received == [b"x"]


def run_scenario(scenario):
    async def main(loop):
        await scenario(Harness(loop))
        assert loop.failures == []

    event_loop.run(main)


# Guards against bytes that overtake each other.
def test_bytes_arrive_in_order():
    async def scenario(harness):
        client, server = await harness.connect_both()
        conditions = network.Conditions(loss=0.3)
        harness.network.set_conditions("a", "b", conditions)
        for number in range(200):
            harness.write(client, bytes([number]))
            await asyncio.sleep(0.001)
        await asyncio.sleep(30)
        assert server.content == bytes(range(200))

    run_scenario(scenario)


# Guards against bytes that pass a cut, or that never arrive.
def test_bytes_sent_during_a_cut_arrive_after_it():
    async def scenario(harness):
        client, server = await harness.connect_both()
        harness.network.cut("a", "b")
        harness.write(client, b"x")
        harness.write(server, b"y")
        await asyncio.sleep(5)
        assert (server.content, client.content) == (b"", b"y")
        harness.network.heal("a", "b")
        await asyncio.sleep(0.0001)
        harness.write(client, b"z")
        await asyncio.sleep(network.MAX_RETRANSMISSION_SECONDS + 0.1)
        assert server.content == b"xz"

    run_scenario(scenario)


# Guards against connections that are opened across a cut in either direction.
@pytest.mark.parametrize("path", [("a", "b"), ("b", "a")])
def test_connecting_to_a_cut_host_hangs(path):
    async def scenario(harness):
        await harness.listen()
        harness.network.cut(*path)
        began = harness.loop.now
        with pytest.raises(TimeoutError):
            await harness.connect()
        assert harness.loop.now - began == pytest.approx(0.4)
        harness.network.heal(*path)
        await harness.connect()

    run_scenario(scenario)


# Guards against waiting for a process that has ended.
def test_connecting_to_a_killed_process_is_refused():
    async def scenario(harness):
        await harness.listen()
        harness.loop.end(harness.server)
        harness.network.end(harness.server)
        with pytest.raises(ConnectionRefusedError):
            await harness.connect()

    run_scenario(scenario)


# Guards against peers that keep the connections of a killed process.
def test_kill_closes_connections_at_the_peers():
    async def scenario(harness):
        client, server = await harness.connect_both()
        harness.write(server, b"last")
        harness.loop.end(harness.server)
        harness.network.end(harness.server)
        await asyncio.sleep(0.1)
        assert client.content == b"last"
        assert client.lost == [None]
        assert server.lost == []

    run_scenario(scenario)


# Guards against a lost host whose peers learn of it at once, or never.
def test_peer_of_a_lost_host_notices_when_it_sends():
    async def scenario(harness):
        client, _ = await harness.connect_both()
        harness.loop.end(harness.server)
        harness.network.end(harness.server, host_lost=True)
        await asyncio.sleep(1)
        assert client.lost == []
        harness.write(client, b"x")
        await asyncio.sleep(0.1)
        assert [type(error) for error in client.lost] == [ConnectionResetError]

    run_scenario(scenario)


# Guards against the loss of what was written before the connection was closed.
def test_close_sends_what_was_written():
    async def scenario(harness):
        client, server = await harness.connect_both()
        harness.write(client, b"x" * 10)
        client.transport.process.context.run(client.transport.abort)
        await asyncio.sleep(0.1)
        assert server.content == b"x" * 10
        assert (server.lost, client.lost) == ([None], [None])

    run_scenario(scenario)


# Guards against a frozen process that refuses connections or loses bytes.
def test_host_of_a_frozen_process_accepts_connections():
    async def scenario(harness):
        await harness.listen()
        harness.loop.freeze(harness.server)
        client = await harness.connect()
        harness.write(client, b"x")
        await asyncio.sleep(5)
        assert harness.accepted == []
        harness.loop.resume(harness.server)
        await asyncio.sleep(0.1)
        assert harness.accepted[0].content == b"x"

    run_scenario(scenario)


# Guards against a buffer that never fills, so that a stuck link is not closed.
def test_unsent_bytes_count_while_the_path_is_cut():
    async def scenario(harness):
        client, _ = await harness.connect_both()
        harness.network.cut("a", "b")
        harness.write(client, bytes(network.SOCKET_BUFFER_BYTES + 5))
        await asyncio.sleep(1)
        assert client.transport.get_write_buffer_size() == 5
        harness.network.heal("a", "b")
        await asyncio.sleep(3)
        assert client.transport.get_write_buffer_size() == 0

    run_scenario(scenario)


# Guards against two causes of a cut of which the first ends both.
def test_path_heals_when_all_causes_have_ended():
    async def scenario(harness):
        harness.network.cut("a", "b")
        harness.network.cut("a", "b")
        harness.network.heal("a", "b")
        assert harness.network.is_cut("b", "a")
        harness.network.heal("a", "b")
        assert not harness.network.is_cut("b", "a")

    run_scenario(scenario)


# Guards against messages to the platform that pass a cut.
def test_message_to_the_platform_is_lost_in_a_long_cut():
    async def scenario(harness):
        link = network.Link(harness.network, "a", "store", 0.4)
        await link.pass_through()
        harness.network.cut("store", "a")
        began = harness.loop.now
        with pytest.raises(ConnectionResetError):
            await link.pass_through()
        assert 0.4 <= harness.loop.now - began < 0.7

    run_scenario(scenario)


# Guards against the end of a streamed body, for which nothing is written, that ends the
# connection: a parser takes empty input for the end of file.
def test_writing_nothing_sends_nothing():
    run_scenario(write_nothing)
