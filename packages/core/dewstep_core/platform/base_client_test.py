import asyncio
import datetime

import pytest

from dewstep_core import errors
from dewstep_core.http import exchanges, server
from dewstep_core.platform import base_client
from dewstep_emulator import testing


async def call(statuses, repeatable, extra=()):
    """Call servers that answer with `statuses`; return the outcome and the calls.

    A status of 0 stands for a closed connection without an answer. The addresses in
    `extra` are called first.
    """
    calls = []

    async def handle(exchange):
        status = statuses[addresses.index(exchange.get_header("Host"))]
        calls.append((status, exchange.get_header("Dewstep-Data-Centre")))
        if status:
            exchange.respond(exchanges.Response(status))
        else:
            exchange.abort()

    servers = [server.Server(handle) for _ in statuses]
    bound = [await item.start("127.0.0.1", 0) for item in servers]
    addresses = [f"{item.host}:{item.port}" for item in bound]
    limit = datetime.timedelta(seconds=1)
    client = base_client.PlatformClient("test", (*extra, *bound), "e1", "dc1", limit)
    # Concurrent calls must not switch each other away from the live address.
    concurrent_calls = (
        client.call("GET", "/", repeatable=repeatable) for _ in range(2)
    )
    outcome, other_outcome = await asyncio.gather(*concurrent_calls)
    assert type(outcome) is type(other_outcome)
    await client.close()
    for item in servers:
        await item.close()
    return outcome, calls


@testing.run_in_event_loop
async def test_call_is_sent_to_the_next_address_if_that_is_safe():
    outcome, calls = await call((503, 200), repeatable=False, extra=(testing.REFUSED,))
    assert outcome.unwrap().status == 200
    assert sorted(calls) == [(200, "dc1")] * 2 + [(503, "dc1")] * 2
    outcome, calls = await call((0, 200), repeatable=True)
    assert outcome.unwrap().status == 200


@pytest.mark.parametrize(
    ("statuses", "repeatable", "failure", "count"),
    [
        ((0, 200), False, errors.AnswerLost, 1),
        ((500, 200), False, errors.AnswerLost, 1),
        # A refusal by the second address must not hide that the first answer was lost.
        ((0, 503), True, errors.AnswerLost, 2),
        ((429, 200), True, errors.RateExceeded, 1),
        ((503, 503), True, errors.PlatformUnavailable, 2),
    ],
)
@testing.run_in_event_loop
async def test_failures_state_whether_the_call_may_have_taken_effect(
    statuses, repeatable, failure, count
):
    outcome, calls = await call(statuses, repeatable)
    assert isinstance(outcome.failure(), failure)
    assert len(calls) == 2 * count
