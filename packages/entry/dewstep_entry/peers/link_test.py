import asyncio
import contextlib
import datetime

import pytest
from returns import result

from dewstep_core import clocks, data, errors
from dewstep_emulator import testing
from dewstep_entry import bodies, failures
from dewstep_entry.peers import link, messages, wire

SYSTEM = clocks.SystemClock()
HELLO_DEADLINE_SECONDS = 0.2


def build_request(start=b"", rest=None, seconds=5.0):
    deadline = SYSTEM.monotonic() + datetime.timedelta(seconds=seconds)
    fields = ("booker", "book", "k", "id", False, "POST", "/book", ())
    return data.Request(*fields, None, data.Body(start, rest), deadline)


def build_answer(start=b"", rest=None):
    return result.Success(data.Answer(200, (), None, data.Body(start, rest), ""))


def build_member(entry, incarnation="i1", port=0):
    return data.Member(entry, incarnation, "dc-" + entry, "127.0.0.1", port)


async def generate_chunks(size, piece=50_000):
    for _ in range(size // piece):
        yield b"x" * piece


class RecordingPeer:
    """A peer network that uses a given request handler and records its events."""

    def __init__(self, entry, handle=None, incarnation="i1", port=0):
        self.handle = handle
        self.changes = []
        self.received = []
        member = build_member(entry, incarnation, port)
        self.network = link.PeerNetwork(member, SYSTEM, self, self, self.notify)

    def notify(self, member, change):
        self.changes.append((member.entry, change))

    async def receive(self, sender, message):
        self.received.append((sender.entry, message))


@contextlib.asynccontextmanager
async def run_peers(*peers):
    for peer in peers:
        await peer.network.start()
    try:
        yield
    finally:
        for peer in peers:
            await peer.network.stop()


@contextlib.asynccontextmanager
async def run_scripted_peer(script):
    """Run a peer that sends hello and then runs `script` on the connection."""
    member = build_member("b")

    async def accept(reader, writer):
        writer.write(wire.encode(messages.Hello(wire.PROTOCOL_VERSION, member)))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await script(reader, writer)

    server = await testing.start_scripted_server(accept)
    yield member._replace(port=server.sockets[0].getsockname()[1])
    server.close()


async def read_frame(reader):
    length = int.from_bytes(await reader.readexactly(4), "big")
    return wire.decode(await reader.readexactly(length))


def test_stalled_large_body_does_not_block_other_streams():
    async def handle(request):
        if request.body.rest is None:
            return build_answer(request.body.start)
        return build_answer(b"", generate_chunks(5_000_000))

    async def scenario():
        a, b = RecordingPeer("a"), RecordingPeer("b", handle)
        async with run_peers(a, b):
            member = b.network.member
            outcome = await a.network.exchange(
                member, build_request(b"", generate_chunks(1_000_000))
            )
            stalled = outcome.unwrap()
            for number in range(50):
                outcome = await a.network.exchange(
                    member, build_request(b"%d" % number)
                )
                assert outcome.unwrap().body.start == b"%d" % number
            assert stalled.body.rest.size <= 262_144
            size = 0
            async for chunk in stalled.body.rest:
                size += len(chunk)
            assert size == 5_000_000

    asyncio.run(scenario())


def test_body_deadline_and_failure_are_transferred():
    refusal = errors.QueueFull("t", datetime.timedelta(seconds=0.5))
    received = []

    async def handle(request):
        remaining = (request.deadline - SYSTEM.monotonic()).total_seconds()
        size = 0
        async for chunk in request.body.rest:
            size += len(chunk)
        received.append((size, remaining))
        return result.Failure(refusal)

    async def scenario():
        a, b = RecordingPeer("a"), RecordingPeer("b", handle)
        async with run_peers(a, b):
            request = build_request(b"", generate_chunks(2_000_000))
            outcome = await a.network.exchange(b.network.member, request)
            assert failures.restore_failure(outcome.unwrap()) == refusal

    asyncio.run(scenario())
    assert received[0][0] == 2_000_000 and 4.0 < received[0][1] <= 5.0


def test_failure_of_a_body_at_the_peer_is_raised_to_its_reader():
    async def fail_midway():
        yield b"part"
        raise bodies.BodyFailure(errors.AnswerInvalid("t", "cut"))

    async def handle(request):
        return build_answer(b"", fail_midway())

    async def scenario():
        a, b = RecordingPeer("a"), RecordingPeer("b", handle)
        async with run_peers(a, b):
            outcome = await a.network.exchange(b.network.member, build_request())
            with pytest.raises(bodies.BodyFailure) as caught:
                async for _ in outcome.unwrap().body.rest:
                    pass
            assert caught.value.failure == errors.AnswerInvalid("t", "cut")

    asyncio.run(scenario())


def test_refused_connection_is_reported_and_the_request_not_run():
    async def scenario():
        a = RecordingPeer("a")
        outcome = await a.network.exchange(build_member("b", port=1), build_request())
        assert outcome.failure() == errors.PeerUnreachable("b")
        assert a.changes == [("b", link.ConnectionChange.REFUSED)]

    asyncio.run(scenario())


def test_outcome_after_a_reset_is_unknown_if_the_request_was_sent():
    async def script(reader, writer):
        await read_frame(reader)
        await read_frame(reader)
        writer.transport.abort()

    async def scenario():
        a = RecordingPeer("a")
        async with run_scripted_peer(script) as member:
            outcome = await a.network.exchange(member, build_request())
            assert outcome.failure() == errors.ConnectionLost("b")
            assert a.changes == [
                ("b", link.ConnectionChange.UP),
                ("b", link.ConnectionChange.RESET),
            ]
            await a.network.stop()

    asyncio.run(scenario())


def test_request_is_not_run_if_hello_is_missing():
    async def accept(reader, writer):
        await asyncio.sleep(5)

    async def scenario():
        a = RecordingPeer("a")
        server = await testing.start_scripted_server(accept)
        port = server.sockets[0].getsockname()[1]
        request = build_request(seconds=HELLO_DEADLINE_SECONDS)
        outcome = await a.network.exchange(build_member("b", port=port), request)
        assert outcome.failure() == errors.PeerUnreachable("b")
        await asyncio.sleep(HELLO_DEADLINE_SECONDS)
        assert a.changes == [("b", link.ConnectionChange.TIMED_OUT)]
        server.close()

    asyncio.run(scenario())


def test_late_answer_to_a_cancelled_stream_is_dropped():
    numbers = []

    async def script(reader, writer):
        await read_frame(reader)
        late = (await read_frame(reader)).stream
        assert await read_frame(reader) == wire.Cancel(late)
        number = (await read_frame(reader)).stream
        for stream, start in ((late, b"late"), (number, b"own")):
            answer = build_answer(start).unwrap()
            writer.write(wire.encode(wire.AnswerHead(stream, answer, True)))
        numbers.extend((late, number))
        await reader.read()

    async def scenario():
        a = RecordingPeer("a")
        async with run_scripted_peer(script) as member:
            first = asyncio.ensure_future(a.network.exchange(member, build_request()))
            await asyncio.sleep(0.05)
            first.cancel()
            await asyncio.wait([first])
            outcome = await a.network.exchange(member, build_request())
            assert outcome.unwrap().body.start == b"own"
            await a.network.stop()

    asyncio.run(scenario())
    assert numbers[0] < numbers[1]


def test_cancellation_is_passed_to_the_handler():
    ended = []

    async def handle(request):
        try:
            await asyncio.sleep(5)
        except asyncio.CancelledError:
            ended.append(request.key)
            raise

    async def scenario():
        a, b = RecordingPeer("a"), RecordingPeer("b", handle)
        async with run_peers(a, b):
            call = a.network.exchange(b.network.member, build_request())
            task = asyncio.ensure_future(call)
            await asyncio.sleep(0.05)
            task.cancel()
            await asyncio.sleep(0.05)
            assert ended == ["k"]
            outcome = await a.network.exchange(
                b.network.member, build_request(seconds=0.05)
            )
            assert outcome.failure() == errors.DeadlineExceeded("b")
            await asyncio.sleep(0.05)
            assert ended == ["k", "k"]

    asyncio.run(scenario())


def test_each_incarnation_of_a_peer_gets_its_own_link():
    # A restarted peer does not have the streams of its previous incarnation.
    async def handle(request):
        return build_answer(b"ok")

    async def scenario():
        a, b = RecordingPeer("a"), RecordingPeer("b", handle, incarnation="i2")
        async with run_peers(a, b):
            member = b.network.member
            old = member._replace(incarnation="i1")
            outcome = await a.network.exchange(old, build_request())
            assert outcome.failure() == errors.PeerUnreachable("b")
            outcome = await a.network.exchange(member, build_request())
            assert outcome.unwrap().body.start == b"ok"
            assert len(a.network.links) == 1

    asyncio.run(scenario())


def test_process_found_at_the_address_of_an_earlier_one_is_reported():
    # Guards against a restarted peer that stays a suspect although probes reach it.
    async def scenario():
        a, b = RecordingPeer("a"), RecordingPeer("b", incarnation="i2")
        changes = []
        a.network.notify_change = lambda *change: changes.append(change)
        async with run_peers(a, b):
            member = b.network.member
            old = member._replace(incarnation="i1")
            a.network.send(old, messages.Alive())
            await asyncio.sleep(0.05)
            assert changes == [
                (member, link.ConnectionChange.UP),
                (old, link.ConnectionChange.REFUSED),
            ]
            assert b.received == []

    asyncio.run(scenario())


def test_frozen_peer_uses_bounded_memory_and_delays_no_other_peer():
    async def script(reader, writer):
        await asyncio.sleep(5)

    async def handle(request):
        return build_answer(b"ok")

    async def scenario():
        a, c = RecordingPeer("a"), RecordingPeer("c", handle)
        async with run_peers(a, c), run_scripted_peer(script) as frozen:
            calls = [
                a.network.exchange(frozen, build_request(b"x" * 60_000, None, 2.0))
                for _ in range(300)
            ]
            task = asyncio.gather(*calls)
            # Wait until the kernel's buffers are full too.
            await asyncio.sleep(1)
            outcome = await a.network.exchange(c.network.member, build_request())
            assert outcome.unwrap().body.start == b"ok"
            (session,) = [s for s in a.network.links_by_session if s.peer.entry == "b"]
            assert session.transport.get_write_buffer_size() < 1_000_000
            assert not a.network.send(frozen, messages.Fetch("assignment", "x"))
            kinds = {type(outcome.failure()) for outcome in await task}
            assert kinds == {errors.PeerUnreachable, errors.DeadlineExceeded}

    asyncio.run(scenario())


def test_partition_drops_frames_until_it_is_removed():
    handled = []

    async def handle(request):
        handled.append(request)
        return build_answer(b"ok")

    async def scenario():
        a, b = RecordingPeer("a"), RecordingPeer("b", handle)
        async with run_peers(a, b):
            member = b.network.member
            fetch = messages.Fetch("assignment", "x")
            assert a.network.send(member, fetch)
            (await a.network.exchange(member, build_request())).unwrap()
            assert b.received == [("a", fetch)]
            for side, names in ((a, {"dc-b"}), (b, {"a"})):
                side.network.set_partition(names)
                a.network.send(member, fetch)
                outcome = await a.network.exchange(member, build_request(seconds=0.1))
                assert outcome.failure() == errors.DeadlineExceeded("b")
                assert len(b.received) == len(handled) == 1
                # Frames were dropped, so the old connection must be closed.
                side.network.set_partition(())
                assert (
                    not side.network.links_by_session
                    and not side.network.incoming_links
                )
                await asyncio.sleep(0.05)
                (await a.network.exchange(member, build_request())).unwrap()
                handled.pop()
            a.network.set_partition({"b"})
            other = member._replace(incarnation="i9")
            outcome = await a.network.exchange(other, build_request())
            assert outcome.failure() == errors.PeerUnreachable("b")

    asyncio.run(scenario())


def test_disconnect_fails_streams_before_their_deadline():
    async def handle(request):
        await asyncio.sleep(5)

    async def scenario():
        a, b = RecordingPeer("a"), RecordingPeer("b", handle)
        async with run_peers(a, b):
            call = a.network.exchange(b.network.member, build_request())
            task = asyncio.ensure_future(call)
            await asyncio.sleep(0.05)
            a.network.disconnect(b.network.member)
            assert (await task).failure() == errors.ConnectionLost("b")

    asyncio.run(scenario())


def test_all_kinds_of_messages_are_received_in_order():
    """Guards against a kind of message that is sent but dropped by the receiver."""

    async def scenario():
        a, b = RecordingPeer("a"), RecordingPeer("b")
        sent = [
            messages.Alive(),
            messages.Heartbeat(7, {"history": 3}, None, (), ()),
            messages.Fetch("assignment", "x"),
            messages.Value("assignment", "x", 3, b"payload"),
        ]
        async with run_peers(a, b):
            for message in sent:
                assert a.network.send(b.network.member, message)
            await asyncio.sleep(0.05)
            assert b.received == [("a", message) for message in sent]

    asyncio.run(scenario())
