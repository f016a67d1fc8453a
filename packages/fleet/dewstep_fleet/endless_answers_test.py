"""Requests whose target, and links whose peer, send bytes without end."""

import asyncio
import random
import time

import pytest

from dewstep_core import events
from dewstep_emulator import endless_answers, testing
from dewstep_entry import bodies
from dewstep_entry.targets import answering
from dewstep_fleet import builders, dispatch_test, frames, links, model

RULES = answering.AnswerRules(
    b"x-id", b"x-n", None, frozenset({421}), has_request_id=True, buffered=True
)
PROMPT_SECONDS = 1.0
SOCKET_BUFFER_BYTES = 8_000_000
HEALTHY = endless_answers.Pattern(
    b"HTTP/1.1 200 OK\r\nX-Id: id-1\r\nContent-Length: 2\r\n\r\nok", b"x"
)
IDEMPOTENT_PATTERNS = {
    **endless_answers.INVALID_PATTERNS,
    **{
        f"skipped-{name}": pattern
        for name, pattern in endless_answers.SKIPPED_PATTERNS.items()
    },
}


def build_pattern(pattern):
    """Return a pattern for requests with the id "id-1"."""
    return endless_answers.Pattern(
        pattern.start.replace(b"X-Id: a", b"X-Id: id-1"),
        pattern.repeated.replace(b"X-Id: a", b"X-Id: id-1"),
    )


def build_harness(*servers, **route):
    """Return a dispatcher whose targets "a", "b"... are the given servers."""
    harness = dispatch_test.Harness(
        targets="", timeout=3 * builders.SECOND, latency_objective=None, **route
    )
    del harness.dispatcher.pools.get
    harness.dispatcher.attempts.answer_rules = RULES
    harness.dispatcher.pools.answer_rules = RULES
    targets = [
        builders.build_target(name, host=server.address.host, port=server.address.port)
        for name, server in zip("ab", servers, strict=False)
    ]
    rows = [builders.build_target_row(target, 2) for target in targets]
    harness.directory.apply_rows(rows)
    return harness


async def send(harness, method="GET"):
    request = model.IncomingRequest(
        "id-1",
        method,
        "/a/x",
        ((b"host", b"h.example"), (b"x-id", b"id-1")),
        0,
        dispatch_test.data.Body(b"", None),
        harness.clock.monotonic(),
    )
    return (await harness.dispatcher.handle(request)).unwrap()


def prefer_first_target(harness):
    """Make the dispatcher choose the target "a" first."""
    harness.counts.begin_request("b")
    harness.dispatcher.search.random = random.Random(1)


@pytest.mark.parametrize("name", IDEMPOTENT_PATTERNS)
@testing.run_in_event_loop
async def test_idempotent_request_is_answered_by_another_target(name, monkeypatch):
    monkeypatch.setattr(events, "event_log", events.EventLog())
    pattern = build_pattern(IDEMPOTENT_PATTERNS[name])
    async with (
        endless_answers.running(pattern) as endless,
        endless_answers.running(HEALTHY) as healthy,
    ):
        harness = build_harness(endless, healthy)
        prefer_first_target(harness)
        began = time.monotonic()
        answer = await send(harness)
        assert (answer.status, answer.body.start) == (200, b"ok")
        assert time.monotonic() - began < PROMPT_SECONDS
        assert endless.accepted == 1
        assert events.event_log.counts["attempt_failed"] == 1
        assert harness.counts.get_load("a").failures > 0
        assert harness.counts.get_load("a").running == 0
        assert await endless.wait_closed(PROMPT_SECONDS)


@pytest.mark.parametrize("name", IDEMPOTENT_PATTERNS)
@testing.run_in_event_loop
async def test_request_is_never_reported_as_not_run(name):
    # Guards against running a booking twice.
    pattern = build_pattern(IDEMPOTENT_PATTERNS[name])
    async with endless_answers.running(pattern) as endless:
        harness = build_harness(endless, idempotent=False)
        answer = await send(harness, "POST")
        assert answer.status == 502
        assert dispatch_test.get_outcome(answer) == b"unknown"
        assert endless.accepted == 1


@testing.run_in_event_loop
async def test_streamed_answer_whose_end_is_invalid_breaks():
    start = endless_answers.CHUNKED_HEAD + b"20000\r\n" + b"x" * 0x20000 + b"\r\n"
    pattern = build_pattern(endless_answers.Pattern(start, b"z"))
    async with endless_answers.running(pattern) as endless:
        harness = build_harness(endless)
        answer = await send(harness)
        with pytest.raises(bodies.BodyFailure):
            async for _ in answer.body.rest:
                pass
        assert await endless.wait_closed(PROMPT_SECONDS)


FRAME_PATTERNS = {
    "length": endless_answers.Pattern(b"\xff\xff\xff\xff", b"x"),
    "largest-frame": endless_answers.Pattern(
        frames.MAX_FRAME_BYTES.to_bytes(links.LENGTH_PREFIX_BYTES, "big"), b"\xff"
    ),
    "empty-frames": endless_answers.Pattern(b"", b"\x00\x00\x00\x00"),
    "http": endless_answers.Pattern(b"", b"HTTP/1.1 200 OK\r\n"),
    # A packed message whose only segment has a length of 1 GiB.
    "segment-length": endless_answers.Pattern(b"\x00\x00\x00\x02\x80\x08", b"\x00\xff"),
}


@pytest.mark.parametrize("name", FRAME_PATTERNS)
@testing.run_in_event_loop
async def test_link_closes_on_bytes_that_are_no_frame(name):
    received, closed = [], []
    async with (
        endless_answers.running(
            FRAME_PATTERNS[name], wait_for_request=False
        ) as endless,
        endless_answers.LoopMonitor() as monitor,
    ):
        address = endless.address
        link = await links.connect(
            address.host,
            address.port,
            lambda _, frame: received.append(frame),
            closed.append,
        )
        assert await endless.wait_closed(PROMPT_SECONDS)
        await asyncio.sleep(0.01)
        assert closed == [link] and not received
        limit = frames.MAX_FRAME_BYTES + SOCKET_BUFFER_BYTES
        assert endless.sent_bytes < limit
        assert monitor.longest_seconds < 0.12
