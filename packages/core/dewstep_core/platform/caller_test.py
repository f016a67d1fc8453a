import asyncio

import pytest

from dewstep_core import errors, settings
from dewstep_core.http import server
from dewstep_core.platform import caller

REFUSED = settings.Address("127.0.0.1", 1)


def run(statuses, repeatable, extra=()):
    """Call two servers with these statuses (0: no answer); return outcome, calls."""
    calls = []

    async def main():
        def build(status):
            async def handle(exchange):
                calls.append((status, exchange.get_header("Dewstep-Data-Centre")))
                if status:
                    exchange.respond(server.Response(status))
                else:
                    exchange.abort()

            return server.Server(handle)

        servers = [build(status) for status in statuses]
        addresses = [await item.start("127.0.0.1", 0) for item in servers]
        client = caller.PlatformCaller("test", (*extra, *addresses), "e1", "dc1", 1)
        outcome = await client.call("GET", "/", repeatable=repeatable)
        await client.close()
        for item in servers:
            await item.close()
        return outcome

    return asyncio.run(main()), calls


def test_next_address_is_asked_after_a_refusal():
    outcome, calls = run((503, 200), repeatable=False, extra=(REFUSED,))
    assert outcome.unwrap().status == 200
    assert calls == [(503, "dc1"), (200, "dc1")]


@pytest.mark.parametrize(
    ("statuses", "repeatable", "failure", "count"),
    [
        ((0, 200), False, errors.AnswerLost, 1),
        ((500, 200), False, errors.AnswerLost, 1),
        # A refusal by the second address must not hide the first one's lost answer.
        ((0, 503), True, errors.AnswerLost, 2),
        ((429, 200), True, errors.RateExceeded, 1),
        ((503, 503), True, errors.PlatformUnavailable, 2),
    ],
)
def test_failures_say_whether_the_call_may_have_had_effect(
    statuses, repeatable, failure, count
):
    outcome, calls = run(statuses, repeatable)
    assert isinstance(outcome.failure(), failure)
    assert len(calls) == count


def test_repeatable_call_is_sent_again_after_a_lost_answer():
    outcome, _ = run((0, 200), repeatable=True)
    assert outcome.unwrap().status == 200
