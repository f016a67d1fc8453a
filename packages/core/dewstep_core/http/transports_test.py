import asyncio

import uvloop

from dewstep_core.http import transports

MAXIMUM_WRITES = 1_000


def test_write_to_a_connection_that_the_peer_resets_does_not_raise():
    # Guards against a process ending because it writes to a closed connection.
    async def run():
        accepted = asyncio.get_running_loop().create_future()

        class Peer(asyncio.Protocol):
            def connection_made(self, transport):
                accepted.set_result(transport)

        loop = asyncio.get_running_loop()
        server = await loop.create_server(Peer, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        transport, _ = await loop.create_connection(asyncio.Protocol, *address)
        assert transports.write(transport, b"x")
        (await accepted).abort()
        for _ in range(MAXIMUM_WRITES):
            if not transports.write(transport, b"x"):
                break
            await asyncio.sleep(0)
        assert not transports.write(transport, b"x")
        server.close()

    uvloop.run(run())
