"""Callers that are slow, disconnect, or send oversized or malformed requests."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from dewstep_core import registry, settings
from dewstep_emulator import history, promises
from dewstep_emulator.scenarios import measures, raw_http, scenario_runs

DURATION_SECONDS = 6.0
CALLERS_PER_BEHAVIOUR = 3
"""Concurrent bad callers per behaviour."""
MAX_ATTEMPTS = 1
"""Well-formed requests must be answered at the first attempt."""
OVERSIZED_BYTES = 200_000
UNAVAILABLE_STATUSES = frozenset({0, 502, 503, 504})
"""Also accepted while entry processes stop, end or pause; 0 is a closed connection."""
BACKGROUND_PAUSE_SECONDS = 0.3
"""Between two bad requests of one behaviour while other faults run."""

Behaviour = Callable[[settings.Address, str], Awaitable[int]]


class WrongStatus(NamedTuple):
    """A bad request was answered with a status it may not get."""

    behaviour: str
    status: int


class BadCaller(NamedTuple):
    """A bad behaviour and the statuses it may get; 0 is a closed connection."""

    send_request: Behaviour
    statuses: frozenset[int]


bad_callers: registry.Registry[BadCaller] = registry.Registry("bad caller")


def bad_caller(name: str, *statuses: int) -> Callable[[Behaviour], Behaviour]:
    """Register the decorated behaviour with the statuses it may get."""

    def decorate(behaviour: Behaviour) -> Behaviour:
        bad_callers.register(name)(BadCaller(behaviour, frozenset(statuses)))
        return behaviour

    return decorate


@bad_caller("slow head", 0, 408)
async def send_head_slowly(address: settings.Address, request_id: str) -> int:
    """Send the request head one byte at a time."""
    head = raw_http.build_head("GET", "/history/slow/due", request_id)
    return await raw_http.exchange_bytes(
        address, [head[i : i + 1] for i in range(40)], 0.15
    )


@bad_caller("slow body", 0, 200, 408, 502, 503, 504)
async def send_body_slowly(address: settings.Address, request_id: str) -> int:
    """Send a body one byte at a time and never complete it."""
    head = raw_http.build_head("PUT", "/intake/slow/bundle", request_id, 1000)
    return await raw_http.exchange_bytes(address, [head] + [b"x"] * 40, 0.15)


@bad_caller("goes away", 0)
async def disconnect_before_answer(address: settings.Address, request_id: str) -> int:
    """Send a request and disconnect before the answer."""
    head = raw_http.build_head("GET", "/history/away/due", request_id)
    return await raw_http.exchange_bytes(address, [head], wait_for_answer=False)


@bad_caller("goes away in the body", 0)
async def disconnect_in_body(address: settings.Address, request_id: str) -> int:
    """Disconnect in the middle of the body."""
    head = raw_http.build_head(
        "PUT", "/intake/away/bundle", request_id, OVERSIZED_BYTES
    )
    return await raw_http.exchange_bytes(
        address, [head, bytes(OVERSIZED_BYTES // 2)], 0.05, wait_for_answer=False
    )


@bad_caller("large head", 0, 400, 413, 431)
async def send_large_head(address: settings.Address, request_id: str) -> int:
    """Send a request head that exceeds the limit."""
    extra = f"X-Large: {'x' * OVERSIZED_BYTES}\r\n"
    head = raw_http.build_head("GET", "/history/large/due", request_id, extra=extra)
    return await raw_http.exchange_bytes(address, [head])


@bad_caller("large body", 0, 413)
async def send_large_body(address: settings.Address, request_id: str) -> int:
    """Send a Content-Length that exceeds the body limit of the request kind."""
    head = raw_http.build_head(
        "POST", "/booker/large/booking", request_id, OVERSIZED_BYTES
    )
    return await raw_http.exchange_bytes(address, [head, bytes(OVERSIZED_BYTES)])


@bad_caller("large chunked body", 0, 413)
async def send_large_chunks(address: settings.Address, request_id: str) -> int:
    """Send a chunked body that exceeds the body limit of the request kind."""
    extra = "Transfer-Encoding: chunked\r\n"
    head = raw_http.build_head("POST", "/booker/large/booking", request_id, extra=extra)
    chunk = b"%x\r\n%b\r\n" % (50_000, bytes(50_000))
    return await raw_http.exchange_bytes(
        address, [head, *[chunk] * 4, b"0\r\n\r\n"], 0.02
    )


@bad_caller("garbage", 0, 400)
async def send_garbage(address: settings.Address, request_id: str) -> int:
    """Send bytes that are not HTTP: the start of TLS records."""
    return await raw_http.exchange_bytes(
        address, [b"\x16\x03\x01\x00\xa5\x01\x00\x00" * 40]
    )


@bad_caller("broken chunk", 0, 400)
async def send_invalid_chunk_size(address: settings.Address, request_id: str) -> int:
    """Send a chunk with an invalid size."""
    extra = "Transfer-Encoding: chunked\r\n"
    head = raw_http.build_head("PUT", "/intake/broken/bundle", request_id, extra=extra)
    return await raw_http.exchange_bytes(address, [head, b"zz\r\nabc\r\n"])


@bad_caller("two lengths", 0, 400)
async def send_two_lengths(address: settings.Address, request_id: str) -> int:
    """Send two Content-Length headers, as in request smuggling."""
    extra = "Content-Length: 5\r\nContent-Length: 50\r\n"
    head = raw_http.build_head("POST", "/booker/two/booking", request_id, extra=extra)
    return await raw_http.exchange_bytes(
        address, [head, b"GET /history/x/due HTTP/1.1\r\n\r\n"]
    )


@bad_caller("unknown service", 404)
async def request_unknown_path(address: settings.Address, request_id: str) -> int:
    """Request a path that no service has."""
    head = raw_http.build_head("GET", "/nowhere", request_id)
    return await raw_http.exchange_bytes(address, [head])


async def send_bad_request(
    scenario_run: scenario_runs.ScenarioRun,
    name: str,
    additional_statuses: frozenset[int] = frozenset(),
) -> None:
    """Send one bad request and check its status.

    Parameters
    ----------
    additional_statuses : frozenset of int
        Statuses to accept besides those registered.
    """
    chosen = bad_callers.get(name)
    entry = scenario_run.random.choice(measures.list_serving_entries(scenario_run))
    request_id = f"bad-{scenario_run.random.getrandbits(64):x}"
    status = await chosen.send_request(entry.callers, request_id)
    scenario_run.measures[f"bad: {name}: {status}"] = (
        scenario_run.measures.get(f"bad: {name}: {status}", 0) + 1
    )
    if status not in chosen.statuses | additional_statuses:
        scenario_run.violations.append(WrongStatus(name, status))


async def send_bad_requests_until(
    scenario_run: scenario_runs.ScenarioRun, name: str, until: float
) -> None:
    """Send bad requests of one behaviour until the event loop time `until`."""
    while asyncio.get_running_loop().time() < until:
        await send_bad_request(scenario_run, name)
        await asyncio.sleep(0.05)


async def send_bad_requests_until_cancelled(
    scenario_run: scenario_runs.ScenarioRun, name: str
) -> None:
    """Send bad requests until cancelled while entry processes stop and start."""
    while True:
        with contextlib.suppress(OSError):
            await send_bad_request(scenario_run, name, UNAVAILABLE_STATUSES)
        await asyncio.sleep(BACKGROUND_PAUSE_SECONDS)


@scenario_runs.scenario(
    "bad-callers", forbid_unknown_outcomes=True, tries=MAX_ATTEMPTS, rate=100
)
async def run_bad_callers(scenario_run: scenario_runs.ScenarioRun) -> None:
    """Run all bad behaviours; well-formed requests must still be answered."""

    def check(calls, runs):
        yield from promises.find_unserved(calls, lambda call: True)
        scenario_run.measures["good requests"] = sum(
            call.outcome == history.ANSWERED for call in calls
        )

    scenario_run.checks.append(check)
    until = asyncio.get_running_loop().time() + DURATION_SECONDS
    await asyncio.gather(
        *(
            send_bad_requests_until(scenario_run, name, until)
            for name in bad_callers
            for _ in range(CALLERS_PER_BEHAVIOUR)
        )
    )
