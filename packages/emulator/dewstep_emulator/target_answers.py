"""Answers of the stand-in of a target, with the faults that spoil them."""

from dewstep_core.http import exchanges
from dewstep_emulator import target_options, uploads

SURPLUS = b"surplus-surplus-"
"""Bytes that follow an answer that is longer than it announced."""


def send_small(
    exchange: exchanges.Exchange,
    response: exchanges.Response,
    active: target_options.TargetFaults,
) -> None:
    """Send an answer from memory."""
    rendered = exchange.render(response)
    if active.answer_cut.fires():
        exchange.write(rendered[: -(len(response.body) + 1) // 2])
        exchange.close()
        return
    exchange.write(rendered)
    if active.answer_long.fires():
        exchange.write(SURPLUS)
    if active.answer_twice.fires():
        exchange.write(rendered)


async def send_echo(
    exchange: exchanges.Exchange,
    headers: tuple,
    upload: uploads.Upload,
    active: target_options.TargetFaults,
) -> None:
    """Send the request body back."""
    upload.content.seek(0)
    if upload.size <= uploads.SPOOL_BYTES:
        response = exchanges.Response(200, upload.content.read(), headers)
        send_small(exchange, response, active)
        return
    if active.answer_cut.fires():
        exchange.write(exchange.render_head(200, headers, upload.size))
        for chunk in uploads.read_chunks(upload.content, upload.size // 2):
            exchange.write(chunk)
            await exchange.connection.drain()
        exchange.close()
        return
    chunks = uploads.read_chunks(upload.content, upload.size)
    await exchange.respond_stream(200, headers, upload.size, chunks)
    if active.answer_long.fires():
        exchange.write(SURPLUS)
