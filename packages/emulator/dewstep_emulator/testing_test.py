"""Tests of the helpers of other tests."""

import asyncio
import gc
import sys

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
