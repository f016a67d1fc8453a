"""One process of the load tool: open-loop callers with a schedule of their own.

Usage: ``python -m dewstep_emulator.bench.generator --plan FILE --control FILE --output
FILE``. It prints one line when it is ready and ends when the control file says so.

Arrival times are drawn beforehand from the clock of the schedule, and each latency
counts from them. A load tool that falls behind therefore shows its own delay in the
latencies and in `lags`, and hides none.
"""

import asyncio
import bisect
import itertools
import json
import pathlib
import random
import sys
import time
import uuid
from typing import Annotated, Any, NamedTuple

import typer
import uvloop

from dewstep_core import settings
from dewstep_emulator.bench import wires

CONTROL_INTERVAL = 0.05
"""Seconds between two looks at the control file."""
CALL_LIMIT = 15.0
MOST_TRIES = 4
LONGEST_WAIT = 1.0
LARGEST_STEP = 0.02
"""Longest sleep, so that a new rate takes effect at once."""
HOT_KEYS = 34


class CallKind(NamedTuple):
    """A kind of request in the mix."""

    service: str
    kind: str
    method: str
    path: str
    share: float
    body_bytes: int


class Plan(NamedTuple):
    """What one process sends."""

    seed: int
    rate: float
    """Requests/s at factor 1."""
    kinds: tuple[CallKind, ...]
    keys: int
    """Keys of each service."""
    skew: float
    """Exponent of the distribution of cold keys (0: all alike)."""
    hot_share: float
    """Part of the requests that go to the 34 hot keys of a service."""
    hot_exponent: float
    resend: bool


class Control(NamedTuple):
    """What changes during a run."""

    addresses: tuple[settings.Address, ...] = ()
    factor: float = 0.0
    """Of the rate; 0 pauses."""
    rotation: int = 0
    """Number of times that the hot keys have changed."""
    stop: bool = False


class Record(NamedTuple):
    """One request, with all its tries, as its caller saw it; times in seconds."""

    scheduled: float
    sent: float
    finished: float
    kind: int
    key: str
    outcome: str
    tries: int
    refusals: tuple[float, ...]
    """Time from the sending to the refusal, for each try that was refused."""


def read_plan(path: pathlib.Path) -> Plan:
    """Return the plan in a JSON file."""
    value = json.loads(path.read_text())
    kinds = tuple(CallKind(*item) for item in value.pop("kinds"))
    return Plan(kinds=kinds, **value)


def read_control(path: pathlib.Path) -> Control:
    """Return the state in a control file."""
    value = json.loads(path.read_text())
    addresses = tuple(settings.Address(*item) for item in value.pop("addresses"))
    return Control(addresses, **value)


class KeyChooser:
    """Draws keys: hot ones that change, and cold ones that stay."""

    def __init__(self, plan: Plan):
        self.plan = plan
        self.cold = accumulate_weights(plan.keys, plan.skew)
        self.hot = accumulate_weights(HOT_KEYS, plan.hot_exponent)

    def choose(self, source: random.Random, service: str, rotation: int) -> str:
        """Return the key of the next request."""
        if self.plan.hot_share and source.random() < self.plan.hot_share:
            position = bisect.bisect(self.hot, source.random() * self.hot[-1])
            return f"{service}-hot-{rotation}-{min(position, HOT_KEYS - 1)}"
        position = bisect.bisect(self.cold, source.random() * self.cold[-1])
        return f"{service}-{min(position, self.plan.keys - 1)}"

    def list_shares(self, service: str, rotation: int) -> dict[str, float]:
        """Return the part of a service's requests that each key gets."""
        hot_share = self.plan.hot_share
        shares = {}
        for names, cumulated, part in (
            (f"{service}-hot-{rotation}-", self.hot, hot_share),
            (f"{service}-", self.cold, 1 - hot_share),
        ):
            before = 0.0
            for position, total in enumerate(cumulated):
                shares[f"{names}{position}"] = part * (total - before) / cumulated[-1]
                before = total
        return shares


def accumulate_weights(count: int, exponent: float) -> list[float]:
    """Return cumulated weights, the most frequent first."""
    return list(
        itertools.accumulate(1 / (rank + 1) ** exponent for rank in range(count))
    )


class Generator:
    """Callers that send requests on schedule.

    Parameters
    ----------
    plan : Plan
    control : pathlib.Path
        Is read again and again; see `Control`.
    """

    def __init__(self, plan: Plan, control: pathlib.Path):
        self.plan = plan
        self.path = control
        self.control = Control()
        self.random = random.Random(plan.seed)
        self.keys = KeyChooser(plan)
        self.shares = [kind.share for kind in plan.kinds]
        self.pools: dict[settings.Address, wires.Pool] = {}
        self.records: list[Record] = []
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send until the control file says stop, then wait for the answers."""
        watcher = asyncio.ensure_future(self.watch())
        scheduled = time.monotonic()
        while not self.control.stop:
            if not self.control.factor or not self.control.addresses:
                await asyncio.sleep(LARGEST_STEP)
                scheduled = time.monotonic()
                continue
            scheduled += self.random.expovariate(self.plan.rate * self.control.factor)
            while (delay := scheduled - time.monotonic()) > 0:
                await asyncio.sleep(min(delay, LARGEST_STEP))
            task = asyncio.ensure_future(self.call(scheduled))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(self.tasks)
        watcher.cancel()
        for pool in self.pools.values():
            pool.close()

    async def watch(self) -> None:
        """Follow the control file."""
        while True:
            self.control = read_control(self.path)
            await asyncio.sleep(CONTROL_INTERVAL)

    async def call(self, scheduled: float) -> None:
        """Send one request until it is answered or the caller loses patience."""
        source = self.random
        number = source.choices(range(len(self.shares)), self.shares)[0]
        kind = self.plan.kinds[number]
        key = self.keys.choose(source, kind.service, self.control.rotation)
        request_id = str(uuid.UUID(int=source.getrandbits(128), version=4))
        message = render(kind, key, request_id)
        first = time.monotonic()
        refusals = []
        tries = 0
        while True:
            tries += 1
            sent = time.monotonic()
            reply = await self.choose_pool().exchange(message, CALL_LIMIT)
            finished = time.monotonic()
            if reply.outcome == wires.NOT_RUN:
                refusals.append(finished - sent)
            final = reply.outcome in (wires.ANSWERED, "bad-request")
            if final or not self.plan.resend or tries >= MOST_TRIES:
                break
            pause = min(reply.retry_after or 0.2, LONGEST_WAIT)
            await asyncio.sleep(pause * source.random())
        self.records.append(
            Record(
                scheduled,
                first,
                finished,
                number,
                key,
                reply.outcome,
                tries,
                tuple(refusals),
            )
        )

    def choose_pool(self) -> wires.Pool:
        """Return the connections to a random entry process, as a balancer does."""
        address = self.random.choice(self.control.addresses)
        if address not in self.pools:
            self.pools[address] = wires.Pool(address)
        return self.pools[address]

    def describe(self) -> dict[str, Any]:
        """Return the result of the run."""
        used = time.process_time()
        return {"records": self.records, "processor_seconds": used}


def render(kind: CallKind, key: str, request_id: str) -> bytes:
    """Return a request as bytes."""
    path = kind.path.replace("{key}", key)
    head = f"{kind.method} {path} HTTP/1.1\r\nHost: dewstep\r\n"
    head += f"Idempotency-Key: {request_id}\r\n"
    if kind.body_bytes or kind.method != "GET":
        head += f"Content-Length: {kind.body_bytes}\r\n"
    return head.encode() + b"\r\n" + bytes(kind.body_bytes)


def main(
    plan: Annotated[pathlib.Path, typer.Option()],
    control: Annotated[pathlib.Path, typer.Option()],
    output: Annotated[pathlib.Path, typer.Option()],
) -> None:
    """Send requests until the control file says stop."""
    generator = Generator(read_plan(plan), control)
    sys.stdout.write('{"ready": true}\n')
    sys.stdout.flush()
    uvloop.run(generator.run())
    output.write_text(json.dumps(generator.describe()))


if __name__ == "__main__":
    typer.run(main)
