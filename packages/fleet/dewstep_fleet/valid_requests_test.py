"""Tests that valid requests pass from a listener to a target, however they are written.

The bytes of a caller go through the listener and the dispatcher of a complete instance
to a scripted target, whose own HTTP parser checks what it receives.
"""

import hypothesis
from hypothesis import strategies

from dewstep_emulator import testing
from dewstep_fleet import caller_limits_test, process_test, request_builders

BATCHES = 4
REQUESTS_PER_BATCH = 60


async def send(harness, written):
    """Return status and body of the answer to a request on a connection of its own."""
    async with caller_limits_test.connect(harness) as (reader, writer):
        writer.write(written.content)
        answer = await caller_limits_test.read_answer(reader)
        if answer[0] == 100:
            answer = await caller_limits_test.read_answer(reader)
        return answer[0], answer[2]


# Guards against 400, 404, 413 and 431 of an instance, after which callers give up, for
# requests that are valid and within the limits.
@hypothesis.given(
    strategies.lists(
        request_builders.build_request(),
        min_size=REQUESTS_PER_BATCH,
        max_size=REQUESTS_PER_BATCH,
    )
)
@hypothesis.settings(
    max_examples=BATCHES,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
    phases=[hypothesis.Phase.generate],
)
def test_valid_requests_reach_the_target(requests):
    @testing.run_in_event_loop
    async def check():
        async with process_test.run_instance() as harness:
            failed = []
            for written in requests:
                harness.requests.clear()
                status, body = await send(harness, written)
                passed_on = [(path[:3], body) for _, path, body in harness.requests]
                if status != 201 or passed_on != [("/a/", written.body)]:
                    failed.append((status, body[:200], written))
            assert not failed

    check()
