"""Sends the answers of an emulated target, altered by the injected faults."""

from dewstep_core.http import exchanges
from dewstep_emulator import target_options, uploads

SURPLUS_BYTES = b"surplus-surplus-"
"""Extra bytes after an answer with the fault `answer_long`."""


def send_from_memory(
    exchange: exchanges.Exchange,
    response: exchanges.Response,
    faults: target_options.TargetFaults,
) -> None:
    """Send an answer that is held in memory."""
    rendered = exchange.render(response)
    if faults.answer_cut.fires():
        exchange.write(rendered[: -(len(response.body) + 1) // 2])
        exchange.close()
        return
    exchange.write(rendered)
    if faults.answer_long.fires():
        exchange.write(SURPLUS_BYTES)
    if faults.answer_twice.fires():
        exchange.write(rendered)


async def send_echo(
    exchange: exchanges.Exchange,
    headers: tuple,
    upload: uploads.Upload,
    faults: target_options.TargetFaults,
) -> None:
    """Send an answer whose body is the request body."""
    upload.content.seek(0)
    if upload.size <= uploads.SPOOL_BYTES:
        response = exchanges.Response(200, upload.content.read(), headers)
        send_from_memory(exchange, response, faults)
        return
    if faults.answer_cut.fires():
        exchange.write(exchange.render_head(200, headers, upload.size))
        for chunk in uploads.read_chunks(upload.content, upload.size // 2):
            exchange.write(chunk)
            await exchange.connection.drain()
        exchange.close()
        return
    chunks = uploads.read_chunks(upload.content, upload.size)
    await exchange.respond_stream(200, headers, upload.size, chunks)
    if faults.answer_long.fires():
        exchange.write(SURPLUS_BYTES)
