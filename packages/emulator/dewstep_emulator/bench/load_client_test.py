import asyncio

from dewstep_core import settings
from dewstep_emulator import testing
from dewstep_emulator.bench import load_client


def parse(text):
    return load_client.parse_head(text.replace("\n", "\r\n").encode())


def test_parse_head_distinguishes_outcomes():
    reply, length, close = parse(
        "HTTP/1.1 503 x\nDewstep-Outcome: not-run\nDewstep-Retry-After-Ms: 250\n"
        "content-length: 7\nconnection: close\n"
    )
    assert reply == load_client.Reply(503, load_client.NOT_RUN, 0.25)
    assert length == 7 and close
    assert parse("HTTP/1.1 200 OK\n")[0].outcome == load_client.ANSWERED
    assert parse("HTTP/1.1 502 x\n")[0].outcome == load_client.UNKNOWN
    target_refusal = parse("HTTP/1.1 503 x\nDewstep-Refused: shed\n")[0]
    assert target_refusal.outcome == load_client.NOT_RUN


def test_pool_reads_answers_in_pieces_and_reuses_connection():
    opened = []

    async def serve(reader, writer):
        opened.append(writer)
        for _ in range(2):
            await reader.readuntil(b"\r\n\r\n")
            for piece in (
                b"HTTP/1.1 200 OK\r\nConte",
                b"nt-Length: 4\r\n\r\nab",
                b"cd",
            ):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.01)

    async def run():
        server = await testing.start_scripted_server(serve)
        address = settings.Address(*server.sockets[0].getsockname()[:2])
        pool = load_client.ConnectionPool(address)
        first = await pool.exchange(b"GET / HTTP/1.1\r\n\r\n", 2.0)
        second = await pool.exchange(b"GET / HTTP/1.1\r\n\r\n", 2.0)
        pool.close()
        server.close()
        return first, second

    first, second = asyncio.run(run())
    assert first == second == load_client.Reply(200, load_client.ANSWERED, None)
    assert len(opened) == 1


def test_pool_reports_a_refused_connection_as_not_sent():
    async def run():
        pool = load_client.ConnectionPool(settings.Address("127.0.0.1", 1))
        return await pool.exchange(b"", 1.0)

    assert asyncio.run(run()) == load_client.NOT_SENT_REPLY


def test_exchange_returns_broken_reply_after_timeout():
    # Guards against a load tool that waits forever and never records the loss.
    async def run():
        server = await testing.start_scripted_server(
            lambda reader, writer: asyncio.sleep(5)
        )
        pool = load_client.ConnectionPool(
            settings.Address(*server.sockets[0].getsockname()[:2])
        )
        reply = await pool.exchange(b"GET / HTTP/1.1\r\n\r\n", 0.05)
        server.close()
        return reply

    assert asyncio.run(run()) == load_client.BROKEN_REPLY
