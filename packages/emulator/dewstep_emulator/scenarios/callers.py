"""Callers that are slow, go away, or send oversized or broken input."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from dewstep_core import registry, settings
from dewstep_emulator import history, promises
from dewstep_emulator.scenarios import measures, raw, staging

SECONDS = 6.0
EACH = 3
"""Bad callers of each sort at one time."""
TRIES = 1
"""Good requests must be answered at the first attempt."""
HUGE = 200_000
UNAVAILABLE = frozenset({0, 502, 503, 504})
"""Statuses that are right as well where entry processes stop, end or pause."""
FAULTS_PAUSE = 0.3
"""Seconds between two bad requests of one sort beside other faults."""

Abuse = Callable[[settings.Address, str], Awaitable[int]]


class WrongStatus(NamedTuple):
    """Bad input got another answer than a refusal."""

    abuse: str
    status: int


class BadCaller(NamedTuple):
    """A sort of bad caller and the answers that it may get; 0 is a closed line."""

    abuse: Abuse
    statuses: frozenset[int]


bad_callers: registry.Registry[BadCaller] = registry.Registry("bad caller")


def bad_caller(name: str, *statuses: int) -> Callable[[Abuse], Abuse]:
    """Register the decorated sort of caller."""

    def enter(abuse: Abuse) -> Abuse:
        bad_callers.register(name)(BadCaller(abuse, frozenset(statuses)))
        return abuse

    return enter


@bad_caller("slow head", 0, 408)
async def drip_head(address: settings.Address, request_id: str) -> int:
    """Send a head one byte at a time."""
    head = raw.build_head("GET", "/history/slow/due", request_id)
    return await raw.converse(address, [head[i : i + 1] for i in range(40)], 0.15)


@bad_caller("slow body", 0, 200, 408, 502, 503, 504)
async def drip_body(address: settings.Address, request_id: str) -> int:
    """Send a body one byte at a time, and never all of it."""
    head = raw.build_head("PUT", "/intake/slow/bundle", request_id, 1000)
    return await raw.converse(address, [head] + [b"x"] * 40, 0.15)


@bad_caller("goes away", 0)
async def go_away(address: settings.Address, request_id: str) -> int:
    """Send a request and leave before the answer."""
    head = raw.build_head("GET", "/history/away/due", request_id)
    return await raw.converse(address, [head], wait=False)


@bad_caller("goes away in the body", 0)
async def go_away_in_body(address: settings.Address, request_id: str) -> int:
    """Leave in the middle of a body."""
    head = raw.build_head("PUT", "/intake/away/bundle", request_id, HUGE)
    return await raw.converse(address, [head, bytes(HUGE // 2)], 0.05, wait=False)


@bad_caller("large head", 0, 400, 413, 431)
async def send_large_head(address: settings.Address, request_id: str) -> int:
    """Send a head beyond the limit."""
    extra = f"X-Large: {'x' * HUGE}\r\n"
    head = raw.build_head("GET", "/history/large/due", request_id, extra=extra)
    return await raw.converse(address, [head])


@bad_caller("large body", 0, 413)
async def send_large_body(address: settings.Address, request_id: str) -> int:
    """Announce a body beyond the limit of its kind."""
    head = raw.build_head("POST", "/booker/large/booking", request_id, HUGE)
    return await raw.converse(address, [head, bytes(HUGE)])


@bad_caller("large chunked body", 0, 413)
async def send_large_chunks(address: settings.Address, request_id: str) -> int:
    """Send a body beyond the limit of its kind without announcing it."""
    extra = "Transfer-Encoding: chunked\r\n"
    head = raw.build_head("POST", "/booker/large/booking", request_id, extra=extra)
    chunk = b"%x\r\n%b\r\n" % (50_000, bytes(50_000))
    return await raw.converse(address, [head, *[chunk] * 4, b"0\r\n\r\n"], 0.02)


@bad_caller("garbage", 0, 400)
async def send_garbage(address: settings.Address, request_id: str) -> int:
    """Send what is not HTTP."""
    return await raw.converse(address, [b"\x16\x03\x01\x00\xa5\x01\x00\x00" * 40])


@bad_caller("broken chunk", 0, 400)
async def break_chunk(address: settings.Address, request_id: str) -> int:
    """Send a chunk whose size is not a number."""
    extra = "Transfer-Encoding: chunked\r\n"
    head = raw.build_head("PUT", "/intake/broken/bundle", request_id, extra=extra)
    return await raw.converse(address, [head, b"zz\r\nabc\r\n"])


@bad_caller("two lengths", 0, 400)
async def send_two_lengths(address: settings.Address, request_id: str) -> int:
    """Announce two lengths, as in an attempt to smuggle a second request."""
    extra = "Content-Length: 5\r\nContent-Length: 50\r\n"
    head = raw.build_head("POST", "/booker/two/booking", request_id, extra=extra)
    return await raw.converse(address, [head, b"GET /history/x/due HTTP/1.1\r\n\r\n"])


@bad_caller("unknown service", 404)
async def ask_unknown(address: settings.Address, request_id: str) -> int:
    """Ask for a path that no service has."""
    head = raw.build_head("GET", "/nowhere", request_id)
    return await raw.converse(address, [head])


async def abuse_once(
    stage: staging.Stage, name: str, also: frozenset[int] = frozenset()
) -> None:
    """Be one bad caller once; `also` holds more statuses that are right."""
    chosen = bad_callers.get(name)
    entry = stage.random.choice(measures.list_serving(stage))
    request_id = f"bad-{stage.random.getrandbits(64):x}"
    status = await chosen.abuse(entry.callers, request_id)
    stage.measures[f"bad: {name}: {status}"] = (
        stage.measures.get(f"bad: {name}: {status}", 0) + 1
    )
    if status not in chosen.statuses | also:
        stage.violations.append(WrongStatus(name, status))


async def abuse_repeatedly(stage: staging.Stage, name: str, until: float) -> None:
    """Be one bad caller for a time."""
    while asyncio.get_running_loop().time() < until:
        await abuse_once(stage, name)
        await asyncio.sleep(0.05)


async def abuse_beside_faults(stage: staging.Stage, name: str) -> None:
    """Be one bad caller until cancelled, while entry processes end and start."""
    while True:
        with contextlib.suppress(OSError):
            await abuse_once(stage, name, UNAVAILABLE)
        await asyncio.sleep(FAULTS_PAUSE)


@staging.scenario("bad-callers", planned=True, tries=TRIES, rate=100)
async def abuse(stage: staging.Stage) -> None:
    """Let bad callers of all sorts work beside good ones, who must not suffer."""

    def check(calls, runs):
        yield from promises.find_unserved(calls, lambda call: True)
        stage.measures["good requests"] = sum(
            call.outcome == history.ANSWERED for call in calls
        )

    stage.checks.append(check)
    until = asyncio.get_running_loop().time() + SECONDS
    await asyncio.gather(
        *(
            abuse_repeatedly(stage, name, until)
            for name in bad_callers
            for _ in range(EACH)
        )
    )
