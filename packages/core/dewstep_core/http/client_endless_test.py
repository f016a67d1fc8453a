"""Servers whose answers to calls never end."""

import asyncio
import time

import pytest

from dewstep_core import errors
from dewstep_core.http import client
from dewstep_emulator import endless_answers, testing

CALL_SECONDS = 3.0
PROMPT_SECONDS = 1.0
MAXIMUM_TURN_SECONDS = 0.12
SOCKET_BUFFER_BYTES = 8_000_000


@pytest.mark.parametrize("name", endless_answers.INVALID_PATTERNS)
@testing.run_in_event_loop
async def test_bytes_that_are_no_answer_end_the_call_before_its_timeout(name):
    pattern = endless_answers.INVALID_PATTERNS[name]
    async with (
        endless_answers.running(pattern) as server,
        testing.calling(server.address, CALL_SECONDS) as caller,
        endless_answers.LoopMonitor() as monitor,
    ):
        began = time.monotonic()
        assert testing.fails(await caller.call("GET", "/"), errors.AnswerLost)
        assert time.monotonic() - began < PROMPT_SECONDS
        assert await server.wait_closed(PROMPT_SECONDS)
        assert server.sent_bytes < SOCKET_BUFFER_BYTES
        assert monitor.longest_seconds < MAXIMUM_TURN_SECONDS


@pytest.mark.parametrize("name", ["no-http", "no-http-lines"])
@testing.run_in_event_loop
async def test_bytes_that_start_no_answer_are_recognized_by_their_first(name):
    pattern = endless_answers.INVALID_PATTERNS[name]
    async with (
        endless_answers.running(pattern, interval=0.02) as server,
        testing.calling(server.address, CALL_SECONDS) as caller,
    ):
        began = time.monotonic()
        assert testing.fails(await caller.call("GET", "/"), errors.AnswerLost)
        assert time.monotonic() - began < PROMPT_SECONDS


@pytest.mark.parametrize("name", endless_answers.UNENDING_BODIES)
@testing.run_in_event_loop
async def test_body_without_end_ends_the_call_by_its_limit_or_timeout(name):
    pattern = endless_answers.UNENDING_BODIES[name]
    async with (
        endless_answers.running(pattern) as server,
        testing.calling(server.address, 1.0) as caller,
        endless_answers.LoopMonitor() as monitor,
    ):
        began = time.monotonic()
        assert testing.fails(await caller.call("GET", "/"), errors.AnswerLost)
        assert time.monotonic() - began < 1.0 + PROMPT_SECONDS
        assert await server.wait_closed(PROMPT_SECONDS)
        limit = client.MAXIMUM_ANSWER_BODY_BYTES + SOCKET_BUFFER_BYTES
        assert server.sent_bytes < limit
        assert monitor.longest_seconds < MAXIMUM_TURN_SECONDS


@testing.run_in_event_loop
async def test_announced_length_above_the_limit_ends_the_call_at_once():
    head = endless_answers.build_head(b"Content-Length: 99999999999")
    async with (
        endless_answers.running(endless_answers.Pattern(head, b"x")) as server,
        testing.calling(server.address, CALL_SECONDS) as caller,
    ):
        assert testing.fails(await caller.call("GET", "/"), errors.AnswerLost)
        assert await server.wait_closed(PROMPT_SECONDS)
        assert server.sent_bytes < SOCKET_BUFFER_BYTES


@pytest.mark.parametrize("name", endless_answers.SURPLUS_PATTERNS)
@pytest.mark.parametrize("delay", [0.0, 0.1])
@testing.run_in_event_loop
async def test_bytes_without_end_after_an_answer_close_the_connection(name, delay):
    # Guards against buffering them without limit while no call is in progress.
    pattern = endless_answers.SURPLUS_PATTERNS[name]
    async with (
        endless_answers.running(pattern, surplus_delay=delay) as server,
        testing.calling(server.address, CALL_SECONDS) as caller,
        endless_answers.LoopMonitor() as monitor,
    ):
        assert (await caller.call("GET", "/")).unwrap().body == b"ok"
        assert await server.wait_closed(PROMPT_SECONDS)
        assert server.sent_bytes < SOCKET_BUFFER_BYTES
        assert monitor.longest_seconds < MAXIMUM_TURN_SECONDS
        assert (await caller.call("GET", "/")).unwrap().body == b"ok"


@testing.run_in_event_loop
async def test_cancelled_call_closes_the_connection():
    pattern = endless_answers.UNENDING_BODIES["small-chunks"]
    async with (
        endless_answers.running(pattern) as server,
        testing.calling(server.address, CALL_SECONDS) as caller,
    ):
        calling = asyncio.ensure_future(caller.call("GET", "/"))
        await asyncio.sleep(0.2)
        calling.cancel()
        assert await server.wait_closed(PROMPT_SECONDS)


@testing.run_in_event_loop
async def test_large_answer_within_the_limits_is_accepted():
    head = endless_answers.build_head(
        b"Content-Length: 3000000", b"X-A: " + b"y" * 50_000
    )
    start = endless_answers.INFORMATIONAL * 10 + head
    async with (
        endless_answers.running(endless_answers.Pattern(start, b"x")) as server,
        testing.calling(server.address, CALL_SECONDS) as caller,
    ):
        response = (await caller.call("GET", "/")).unwrap()
        assert response.body == b"x" * 3_000_000
