"""One process of the load tool: an open-loop load generator.

Usage: ``python -m dewstep_emulator.bench.generator --plan FILE --control FILE --output
FILE``. It prints one line when it is ready and exits when the control file sets `stop`.

Arrival times follow a schedule that does not depend on answers, and latencies count
from the scheduled arrival. If the generator falls behind, its own delay is therefore
included in the latencies and visible as the lag between `scheduled` and `sent`.
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
from dewstep_emulator.bench import load_client

CONTROL_POLL_SECONDS = 0.05
CALL_TIMEOUT_SECONDS = 15.0
MAX_ATTEMPTS = 4
MAX_RETRY_PAUSE_SECONDS = 1.0
MAX_SLEEP_SECONDS = 0.02
"""Short, so that a new rate takes effect promptly."""
HOT_KEYS = 34
"""Number of hot keys of each service."""


class CallKind(NamedTuple):
    """A request kind of the load."""

    service: str
    kind: str
    method: str
    path: str
    share: float
    body_bytes: int


class Plan(NamedTuple):
    """The load that one process generates."""

    seed: int
    rate: float
    """Requests/s at factor 1."""
    kinds: tuple[CallKind, ...]
    keys: int
    """Number of cold keys per service."""
    skew: float
    """Zipf exponent of the distribution of cold keys (0 is uniform)."""
    hot_share: float
    """Fraction of requests for the hot keys of a service."""
    hot_exponent: float
    resend: bool


class Control(NamedTuple):
    """Settings that change during a run."""

    addresses: tuple[settings.Address, ...] = ()
    factor: float = 0.0
    """Multiplier of the planned rate; 0 pauses the load."""
    rotation: int = 0
    """Number of times the set of hot keys has changed."""
    stop: bool = False


class Record(NamedTuple):
    """One request including its retries; times in seconds."""

    scheduled: float
    sent: float
    finished: float
    kind: int
    key: str
    outcome: str
    tries: int
    refusals: tuple[float, ...]
    """Time from sending to refusal of each refused attempt."""


def read_plan(path: pathlib.Path) -> Plan:
    """Return the plan in a JSON file."""
    value = json.loads(path.read_text())
    kinds = tuple(CallKind(*item) for item in value.pop("kinds"))
    return Plan(kinds=kinds, **value)


def read_control(path: pathlib.Path) -> Control:
    """Return the content of a control file."""
    value = json.loads(path.read_text())
    addresses = tuple(settings.Address(*item) for item in value.pop("addresses"))
    return Control(addresses, **value)


class KeyChooser:
    """Draws keys from a set of hot keys that rotates and a fixed set of cold keys."""

    def __init__(self, plan: Plan):
        self.plan = plan
        self.cold_weights = compute_cumulative_weights(plan.keys, plan.skew)
        self.hot_weights = compute_cumulative_weights(HOT_KEYS, plan.hot_exponent)

    def choose_key(
        self, random_source: random.Random, service: str, rotation: int
    ) -> str:
        """Return the key of the next request."""
        if self.plan.hot_share and random_source.random() < self.plan.hot_share:
            position = bisect.bisect(
                self.hot_weights, random_source.random() * self.hot_weights[-1]
            )
            return f"{service}-hot-{rotation}-{min(position, HOT_KEYS - 1)}"
        position = bisect.bisect(
            self.cold_weights, random_source.random() * self.cold_weights[-1]
        )
        return f"{service}-{min(position, self.plan.keys - 1)}"

    def compute_key_shares(self, service: str, rotation: int) -> dict[str, float]:
        """Return the fraction of a service's requests for each key."""
        hot_share = self.plan.hot_share
        shares = {}
        for key_prefix, cumulative_weights, class_share in (
            (f"{service}-hot-{rotation}-", self.hot_weights, hot_share),
            (f"{service}-", self.cold_weights, 1 - hot_share),
        ):
            previous_total = 0.0
            for position, total in enumerate(cumulative_weights):
                shares[f"{key_prefix}{position}"] = (
                    class_share * (total - previous_total) / cumulative_weights[-1]
                )
                previous_total = total
        return shares


def compute_cumulative_weights(count: int, exponent: float) -> list[float]:
    """Return cumulative Zipf weights, the most frequent key first."""
    return list(
        itertools.accumulate(1 / (rank + 1) ** exponent for rank in range(count))
    )


class Generator:
    """Sends requests on schedule.

    Parameters
    ----------
    plan : Plan
    control : pathlib.Path
        File with a `Control`, read every `CONTROL_POLL_SECONDS`.
    """

    def __init__(self, plan: Plan, control: pathlib.Path):
        self.plan = plan
        self.path = control
        self.control = Control()
        self.random = random.Random(plan.seed)
        self.key_chooser = KeyChooser(plan)
        self.shares = [kind.share for kind in plan.kinds]
        self.pools: dict[settings.Address, load_client.ConnectionPool] = {}
        self.records: list[Record] = []
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send requests until the control file sets `stop`, then await the answers."""
        control_follower = asyncio.ensure_future(self.follow_control_file())
        scheduled = time.monotonic()
        while not self.control.stop:
            if not self.control.factor or not self.control.addresses:
                await asyncio.sleep(MAX_SLEEP_SECONDS)
                scheduled = time.monotonic()
                continue
            scheduled += self.random.expovariate(self.plan.rate * self.control.factor)
            while (delay := scheduled - time.monotonic()) > 0:
                await asyncio.sleep(min(delay, MAX_SLEEP_SECONDS))
            task = asyncio.ensure_future(self.send_until_answered(scheduled))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(self.tasks)
        control_follower.cancel()
        for pool in self.pools.values():
            pool.close()

    async def follow_control_file(self) -> None:
        """Reread the control file until cancelled."""
        while True:
            self.control = read_control(self.path)
            await asyncio.sleep(CONTROL_POLL_SECONDS)

    async def send_until_answered(self, scheduled: float) -> None:
        """Send one request and retry it, with at most `MAX_ATTEMPTS` attempts."""
        random_source = self.random
        kind_index = random_source.choices(range(len(self.shares)), self.shares)[0]
        kind = self.plan.kinds[kind_index]
        key = self.key_chooser.choose_key(
            random_source, kind.service, self.control.rotation
        )
        request_id = str(uuid.UUID(int=random_source.getrandbits(128), version=4))
        message = render_request(kind, key, request_id)
        first_sent = time.monotonic()
        refusals = []
        tries = 0
        while True:
            tries += 1
            sent = time.monotonic()
            reply = await self.choose_pool().exchange(message, CALL_TIMEOUT_SECONDS)
            finished = time.monotonic()
            if reply.outcome == load_client.NOT_RUN:
                refusals.append(finished - sent)
            is_final = reply.outcome in (load_client.ANSWERED, "bad-request")
            if is_final or not self.plan.resend or tries >= MAX_ATTEMPTS:
                break
            retry_pause = min(reply.retry_after or 0.2, MAX_RETRY_PAUSE_SECONDS)
            await asyncio.sleep(retry_pause * random_source.random())
        self.records.append(
            Record(
                scheduled,
                first_sent,
                finished,
                kind_index,
                key,
                reply.outcome,
                tries,
                tuple(refusals),
            )
        )

    def choose_pool(self) -> load_client.ConnectionPool:
        """Return the connection pool of a random address, as a load balancer would."""
        address = self.random.choice(self.control.addresses)
        if address not in self.pools:
            self.pools[address] = load_client.ConnectionPool(address)
        return self.pools[address]

    def build_result(self) -> dict[str, Any]:
        """Return the result of the run."""
        used = time.process_time()
        return {"records": self.records, "processor_seconds": used}


def render_request(kind: CallKind, key: str, request_id: str) -> bytes:
    """Return the encoded request."""
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
    output.write_text(json.dumps(generator.build_result()))


if __name__ == "__main__":
    typer.run(main)
