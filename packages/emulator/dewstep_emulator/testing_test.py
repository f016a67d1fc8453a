"""Tests of the helpers of other tests."""

import asyncio
import gc
import sys

from dewstep_emulator import testing


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
