"""Tests of the helpers of other tests."""

import asyncio
import gc
import sys
import time

from dewstep_emulator import testing

EARLIER_OBJECT = []


# Guards against an error in a later test, in whose time the stream is collected.
def test_scripted_server_leaves_no_open_stream(monkeypatch):
    failures = []
    monkeypatch.setattr(sys, "unraisablehook", failures.append)

    async def run():
        async def script(reader, writer):
            writer.write(b"x")

        server = await testing.start_scripted_server(script)
        address = server.sockets[0].getsockname()[:2]
        reader, writer = await asyncio.open_connection(*address)
        assert await reader.readexactly(1) == b"x"
        writer.close()
        server.close()

    asyncio.run(run())
    gc.collect()
    assert not failures


# Guards against counting a collection over the whole suite, 0.1 s of processor time, as
# the work of the test in whose time it happens.
def test_objects_that_existed_before_a_test_are_not_collected_during_it():
    own = []
    gc.collect()
    collected = {id(item) for item in gc.get_objects()}
    assert id(own) in collected
    assert id(EARLIER_OBJECT) not in collected


# Guards against a time-out because a busy machine runs the event loop late.
@testing.run_in_virtual_time
async def test_calls_in_virtual_time_do_not_end_while_the_event_loop_is_late():
    async def script(reader, writer):
        time.sleep(0.1)
        writer.write(b"x")

    server = await testing.start_scripted_server(script)
    async with asyncio.timeout(0.05):
        address = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        assert await reader.readexactly(1) == b"x"
    writer.close()
    server.close()


@testing.run_in_virtual_time
async def test_servers_of_a_test_in_virtual_time_have_ports_of_their_own():
    async def script(reader, writer):
        await reader.read()

    first = await testing.start_scripted_server(script)
    second = await testing.start_scripted_server(script)
    assert first.getsockname() != second.getsockname()
