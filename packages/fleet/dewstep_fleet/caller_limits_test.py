"""Tests of the limits on callers' requests as configurations become known."""

import asyncio
import contextlib

import pytest

from dewstep_core import settings
from dewstep_emulator import testing
from dewstep_fleet import process, process_test

BUILT_IN = settings.CallerLimits()
LONG_HEADER = b"X: " + b"x" * BUILT_IN.head_bytes + b"\r\n"
LONG_BODY_BYTES = process.INITIAL_BODY_LIMIT_BYTES + 1
HEAD = b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Id: id-1\r\n"


def build_request(body=b"", extra=b""):
    """Return a request with a body of known length."""
    return HEAD + extra + b"Content-Length: %d\r\n\r\n" % len(body) + body


def build_chunked(body):
    """Return a request with a chunked body."""
    return (
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body)
        + body
        + b"\r\n0\r\n\r\n"
    )


async def read_answer(reader):
    """Return status, headers and body of an answer."""
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
    lines = head.decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(lines[0].split()[1]), headers, body


@contextlib.asynccontextmanager
async def connect(harness):
    """Open a connection of a caller."""
    reader, writer = await asyncio.open_connection(*harness.process.listener.address)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


# Guards against 413 and 431, after which callers give up, for requests that the
# configuration allows, by an instance that does not know the configuration yet.
@pytest.mark.parametrize(
    "request_bytes",
    [
        build_request(extra=LONG_HEADER),
        HEAD + LONG_HEADER,
        build_request(b"x" * LONG_BODY_BYTES),
        build_chunked(b"x" * LONG_BODY_BYTES),
    ],
    ids=["head", "incomplete head", "length", "chunks"],
)
@testing.run_in_event_loop
async def test_built_in_limits_give_no_final_answer(request_bytes):
    async with (
        process_test.run_instance(configured=False) as harness,
        connect(harness) as (reader, writer),
    ):
        writer.write(request_bytes)
        status, headers, body = await read_answer(reader)
        assert (status, headers["dewstep-outcome"]) == (503, "not-run")
        assert b"NotReady" in body and "retry-after" in headers


# Guards against an instance that reads endless input before it knows its limits.
@testing.run_in_event_loop
async def test_input_is_bounded_before_the_first_configuration():
    async with (
        process_test.run_instance(configured=False) as harness,
        connect(harness) as (reader, writer),
    ):
        writer.write(HEAD + LONG_HEADER)
        await read_answer(reader)
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(3):
                while True:
                    writer.write(b"x" * 65_536)
                    await writer.drain()
                    await asyncio.sleep(0)
        assert not harness.process.listener.connections


@contextlib.asynccontextmanager
async def connect_as_instance(harness):
    """Open a connection of another instance to the port for requests passed on."""
    member = harness.process.instance.member._replace(relay_port=1)
    harness.process.instance = harness.process.instance._replace(member=member)
    await harness.process.relay_listener.start()
    address = harness.process.relay_listener.address
    reader, writer = await asyncio.open_connection(*address)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


# Guards against limits between instances that refuse what the instance of the caller
# has accepted by a configuration that this one does not know yet.
@pytest.mark.parametrize("configured", [True, False])
@pytest.mark.parametrize(
    ("request_bytes", "size"),
    [
        (build_request(b"abc", LONG_HEADER * 4), 3),
        (build_request(b"x" * LONG_BODY_BYTES), LONG_BODY_BYTES),
        (build_chunked(b"x" * LONG_BODY_BYTES), LONG_BODY_BYTES),
    ],
    ids=["head", "length", "chunks"],
)
@testing.run_in_event_loop
async def test_requests_of_other_instances_exceed_the_own_limits(
    request_bytes, size, configured
):
    async with (
        process_test.run_instance(configured=configured) as harness,
        connect_as_instance(harness) as (reader, writer),
    ):
        writer.write(request_bytes)
        status, headers, body = await read_answer(reader)
        if configured:
            assert status == 201 and len(harness.requests[0][2]) == size
        else:
            # The sender tries the next instance.
            assert status == 503
            assert headers["dewstep-relay-failure"] in ("notready", "relayrefused")


# Guards against a listener for other instances whose refusals end a caller's request.
@pytest.mark.parametrize(
    "request_bytes", [b"x\r\n\r\n", HEAD + b"X: " + b"x" * 300_000]
)
@testing.run_in_event_loop
async def test_refusals_between_instances_are_marked(request_bytes):
    async with (
        process_test.run_instance() as harness,
        connect_as_instance(harness) as (reader, writer),
    ):
        writer.write(request_bytes)
        status, headers, _ = await read_answer(reader)
        assert status == 503 and headers["dewstep-relay-failure"] == "relayrefused"
