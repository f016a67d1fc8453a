"""Tests of the control connection over real sockets."""

import asyncio
import datetime

import pytest

from dewstep_core import data, errors
from dewstep_emulator import testing
from dewstep_entry.targets import control, target_pool_test

BODY = b'{"boot": "b", "clock": 1.5, "term": 4}'
CLOCK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)


def test_control_requests_have_only_the_necessary_headers():
    """The limit of control traffic is 2 KB/s, at one request per target and second."""
    heads = []

    async def script(reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            heads.append(head.lower())
            if head.startswith(b"PUT"):
                heads.append(await reader.readuntil(b"}"))
            writer.write(CLOCK_ANSWER)

    async def scenario():
        async with target_pool_test.run_target(script) as (channel, _):
            await channel.read_clock()
            await channel.send_grant(data.Grant("b", 3, datetime.timedelta(seconds=2)))

    asyncio.run(scenario())
    clock_request, grant_request, body = heads
    assert clock_request.split(b"\r\n")[1:] == grant_request.split(b"\r\n")[1:3] + [
        b"",
        b"",
    ]
    assert b"content-length" not in clock_request and b"content-length" in grant_request
    assert body == b'{"boot":"b","term":3,"expires":2.0}'


@pytest.mark.parametrize("answers", [1, 2])
def test_close_by_the_target_is_reported_immediately(answers):
    """Guards against noticing a stopped target only at the next clock reading."""
    reports = []

    async def scenario():
        script = target_pool_test.answer_with(
            CLOCK_ANSWER, requests=answers, then_close=True
        )
        async with target_pool_test.run_target(script) as (channel, _):
            channel.on_control_close(lambda: reports.append(True))
            for _ in range(answers):
                (await channel.read_clock()).unwrap()
            await asyncio.sleep(0.05)
            assert reports == [True]
            # The next request reconnects; closing the channel itself is not reported.
            (await channel.read_clock()).unwrap()
            reports.clear()
        await asyncio.sleep(0.05)
        assert reports == []

    asyncio.run(scenario())


def test_failed_or_cancelled_request_is_not_reported_as_a_close():
    """Guards against an extra clock reading after each failed request."""
    reports = []

    async def hold(reader, writer):
        await asyncio.sleep(60)

    async def scenario():
        async with target_pool_test.run_target(hold) as (channel, _):
            channel.on_control_close(lambda: reports.append(True))
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(channel.read_clock(), 0.05)
        assert reports == []

    asyncio.run(scenario())


def test_answer_nested_too_deeply_is_invalid():
    # Guards against an exception that ends the renewal of grants.
    body = data.Body(b"[" * 60_000, None)
    answer = data.Answer(200, (), None, body, "")
    moment = datetime.timedelta()
    outcome = control.parse_reading("t", answer, moment, moment)
    assert testing.fails(outcome, errors.AnswerInvalid)
