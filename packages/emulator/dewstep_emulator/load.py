"""Generates load as callers do and records the result of each call.

The load is open loop: a slow answer does not delay the next request. A caller resends
a request with the same id if it was refused as not run or if its outcome is unknown.
Each attempt goes to a random entry process, as through a load balancer.
"""

import asyncio
import bisect
import datetime
import hashlib
import itertools
import json
import random
import uuid
from collections.abc import Callable, Sequence
from typing import NamedTuple

from hdrh import histogram
from returns import result

from dewstep_core import clocks, data, errors, settings
from dewstep_core.http import client
from dewstep_emulator import deployments, history

CONNECTIONS_PER_ENTRY = 200
CALL_TIMEOUT_SECONDS = 15.0
"""Longer than every deadline, so that dewstep answers before the call times out."""
MAXIMUM_ATTEMPTS = 4
"""Attempts that a caller makes for one request at most."""
TIME_ORDERED_DEDUPLICATION = "memory"
"""Deduplication method that requires time-ordered request ids."""
MAXIMUM_RETRY_WAIT_SECONDS = 1.0
"""Longest time that a caller waits before it resends a request."""
FIRST_SERVER_ERROR_STATUS = 500
MAXIMUM_LATENCY_MICROSECONDS = 60_000_000
"""Upper limit of the latency histogram; longer latencies are recorded as this value."""


class LoadPlan(NamedTuple):
    """The request kinds, rate and keys of a load."""

    calls: tuple[deployments.CallPlan, ...]
    rate: float
    """Requests/s."""
    duration: datetime.timedelta
    keys: int
    """Number of keys of each service."""
    skew: float
    """Exponent of the Zipf distribution of keys (0: uniform)."""
    resend: bool
    """Whether callers resend after a refusal or an unknown outcome."""
    tries: int = MAXIMUM_ATTEMPTS
    """Largest number of attempts for one request if `resend` is true."""


class LoadGenerator:
    """The load generator; it acts as all callers of one deployment.

    Parameters
    ----------
    list_addresses : callable
        Returns the addresses of the entry processes that currently receive requests.
    time_source : clocks.Clock
    seed : int
        Seed of keys, kinds, request ids, arrival times and entry processes.
    """

    def __init__(
        self,
        list_addresses: Callable[[], Sequence[settings.Address]],
        time_source: clocks.Clock,
        seed: int,
    ):
        self.list_addresses = list_addresses
        self.time_source = time_source
        self.random = random.Random(seed)
        self.clients: dict[settings.Address, client.Client] = {}
        self.calls: list[history.Call] = []
        self.latencies = histogram.HdrHistogram(1, MAXIMUM_LATENCY_MICROSECONDS, 3)
        self.stopped = False
        self.failures: list[str] = []
        """Exceptions of the load generator itself."""

    def choose_entry(self, address: settings.Address | None = None) -> client.Client:
        """Return the client of `address`, by default of a random entry process."""
        if address is None:
            address = self.random.choice(self.list_addresses())
        if address not in self.clients:
            self.clients[address] = client.Client(
                address, CALL_TIMEOUT_SECONDS, connections=CONNECTIONS_PER_ENTRY
            )
        return self.clients[address]

    async def run(self, load_plan: LoadPlan) -> None:
        """Send all requests of `load_plan` and wait for their answers."""
        shares = [plan.share for plan in load_plan.calls]
        weights = build_key_weights(load_plan.keys, load_plan.skew)
        loop = asyncio.get_running_loop()
        begin = loop.time()
        tasks = set()
        elapsed = 0.0
        self.stopped = False
        while elapsed < load_plan.duration.total_seconds() and not self.stopped:
            elapsed += self.random.expovariate(load_plan.rate)
            delay = begin + elapsed - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            plan = self.random.choices(load_plan.calls, shares)[0]
            position = bisect.bisect(weights, self.random.random() * weights[-1])
            key = f"{plan.service}-{min(position, load_plan.keys - 1)}"
            tries = load_plan.tries if load_plan.resend else 1
            task = asyncio.ensure_future(self.send_until_final(plan, key, tries))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            task.add_done_callback(self.record_task_failure)
        if tasks:
            await asyncio.wait(tasks)

    def record_task_failure(self, task: asyncio.Task) -> None:
        """Record an exception of the load generator, which is not an answer."""
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(repr(task.exception()))

    def stop(self) -> None:
        """Send no more new requests; `run` returns after the last answer."""
        self.stopped = True

    async def send_until_final(
        self,
        plan: deployments.CallPlan,
        key: str,
        tries: int = MAXIMUM_ATTEMPTS,
        request_id: str = "",
        body: bytes | None = None,
    ) -> history.Call:
        """Send one request until it has a final outcome or no attempts are left."""
        request_id = request_id or self.make_request_id(plan.kind)
        while True:
            call, pause = await self.send_attempt(plan, key, request_id, body)
            tries -= 1
            final = call.outcome in (history.ANSWERED, history.BAD_REQUEST)
            if final or tries <= 0:
                return call
            await asyncio.sleep(
                min(pause, MAXIMUM_RETRY_WAIT_SECONDS) * self.random.random()
            )

    def make_request_id(self, kind: data.RequestKind) -> str:
        """Return a new request id, time-ordered if the kind requires it."""
        if kind.deduplication != TIME_ORDERED_DEDUPLICATION:
            return str(uuid.UUID(int=self.random.getrandbits(128), version=4))
        milliseconds = int(self.time_source.now().timestamp() * 1000)
        return make_time_ordered_id(milliseconds, self.random.getrandbits(74))

    async def send_attempt(
        self,
        plan: deployments.CallPlan,
        key: str,
        request_id: str,
        body: bytes | None = None,
        address: settings.Address | None = None,
    ) -> tuple[history.Call, float]:
        """Send a request once; return the call and the seconds to wait before a resend.

        Parameters
        ----------
        body : bytes, optional
            Request body; by default zeros of the length in the plan.
        address : settings.Address, optional
            Address of the entry process; by default a random one.
        """
        entry = self.choose_entry(address)
        path = plan.kind.path.replace("{key}", key)
        body = bytes(plan.body_bytes) if body is None else body
        started = self.time_source.monotonic()
        answer = await call_with_id(entry, plan.kind.method, path, body, request_id)
        ended = self.time_source.monotonic()
        call = describe_call(plan, key, request_id, started, ended, answer, body)
        self.calls.append(call)
        if call.outcome == history.ANSWERED:
            microseconds = (ended - started) // datetime.timedelta(microseconds=1)
            self.latencies.record_value(
                min(max(microseconds, 1), MAXIMUM_LATENCY_MICROSECONDS)
            )
        return call, read_retry_after(answer)

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(*(entry.close() for entry in self.clients.values()))


async def call_with_id(
    entry: client.Client, method: str, path: str, body: bytes, request_id: str
) -> result.Result[client.Response, object]:
    """Send a request that carries a request id."""
    headers = (("Idempotency-Key", request_id),)
    return await entry.call(method, path, body, headers=headers)


def make_time_ordered_id(milliseconds: int, bits: int) -> str:
    """Return a UUID of version 7 (RFC 9562).

    Parameters
    ----------
    milliseconds : int
        Since the epoch.
    bits : int
        74 random bits.
    """
    high, low = bits >> 62, bits & ((1 << 62) - 1)
    value = (milliseconds << 80) | (7 << 76) | (high << 64) | (2 << 62) | low
    return str(uuid.UUID(int=value))


def build_key_weights(count: int, skew: float) -> list[float]:
    """Return the cumulative weights of `count` keys, the most frequent first."""
    return list(itertools.accumulate(1 / (rank + 1) ** skew for rank in range(count)))


def read_retry_after(answer: result.Result[client.Response, object]) -> float:
    """Return the seconds after which an answer allows the caller to resend."""
    response = answer.value_or(None)
    if response is None:
        return MAXIMUM_RETRY_WAIT_SECONDS
    milliseconds = response.headers.get("dewstep-retry-after-ms", "")
    return (
        int(milliseconds) / 1000
        if milliseconds.isdigit()
        else MAXIMUM_RETRY_WAIT_SECONDS
    )


def describe_call(
    plan: deployments.CallPlan,
    key: str,
    request_id: str,
    sent: datetime.timedelta,
    received: datetime.timedelta,
    answer: result.Result[client.Response, object],
    body: bytes = b"",
) -> history.Call:
    """Return the record of one call for the history checker."""
    body_unchanged = True
    response = answer.value_or(None)
    outcome, status, failure = history.BROKEN, 0, ""
    if isinstance(answer, result.Failure):
        if isinstance(answer.failure(), errors.PlatformUnavailable):
            outcome = history.NOT_SENT
    answered_id = answered_key = ""
    if response is not None:
        status = response.status
        outcome = response.headers.get("dewstep-outcome", "")
        failure = response.headers.get("dewstep-failure", "")
        if not outcome and status >= FIRST_SERVER_ERROR_STATUS:
            outcome = history.UNKNOWN
        elif not outcome:
            outcome = history.ANSWERED
            answered_id, answered_key, digest = read_answer(response.body)
            body_unchanged = digest == hashlib.sha256(body).hexdigest()
    return history.Call(
        request_id,
        plan.service,
        plan.kind.name,
        key,
        plan.kind.idempotent,
        history.parse_time(sent.total_seconds()),
        history.parse_time(received.total_seconds()),
        outcome,
        status,
        failure,
        answered_id,
        answered_key,
        body_unchanged,
    )


def read_answer(body: bytes) -> tuple[str, str, str]:
    """Return the request id, key and body digest in a target's answer."""
    try:
        value = json.loads(body)
        return str(value["request_id"]), str(value["key"]), str(value["body_sha256"])
    except (ValueError, KeyError, TypeError):
        return "", "", ""
