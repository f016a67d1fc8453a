"""Fakes of the table service, a target and the admission queue for tests."""

import asyncio
import collections
import datetime
from typing import NamedTuple

from returns import result

from dewstep_core import clocks, data, errors, settings

MS = datetime.timedelta(milliseconds=1)
SECOND = datetime.timedelta(seconds=1)
GRANTS = settings.GrantSettings()
SETTINGS = settings.Settings(
    "e1", "dc1", *(settings.Address("127.0.0.1", port) for port in (1, 2, 3)), ()
)


class Refused(NamedTuple):
    """Refusal by the fake admission queue."""

    failure: errors.QueueFull


class Queued(NamedTuple):
    """The ticket waits."""


class Admitted(NamedTuple):
    """The ticket has a slot."""


class FifoAdmission:
    """Admission queue in order of arrival, without deadlines."""

    def __init__(self, slots: int):
        self.free = slots
        self.waiting: collections.deque[int] = collections.deque()

    def offer(self, ticket_id, weight, deadline, now):
        if self.free:
            self.free -= 1
            return Admitted()
        self.waiting.append(ticket_id)
        return Queued()

    def start_ready(self, now):
        ready = []
        while self.free and self.waiting:
            self.free -= 1
            ready.append(self.waiting.popleft())
        return ready

    def collect_refusals(self, now):
        return []

    def release(self, ticket_id, now):
        self.free += 1

    def withdraw(self, ticket_id, now):
        self.waiting.remove(ticket_id)


class FixedRetryBudget:
    """Retry budget with a fixed number of retries."""

    def __init__(self, retries: int = 100):
        self.retries = retries

    def add_first_attempt(self):
        pass

    def take_token(self):
        self.retries -= 1
        return self.retries >= 0


class Table:
    """Table service in memory.

    `faults` holds one entry for each coming commit: "lost-before" fails without effect,
    "lost-after" takes effect and loses the answer, and "" succeeds.
    """

    def __init__(self):
        self.rows: dict[str, data.Row] = {}
        self.versions: collections.Counter = collections.Counter()
        self.down = False
        self.faults: list[str] = []
        self.commits: list[data.Transaction] = []

    def put(self, key: str, value: dict | None) -> None:
        self.versions[key] += 1
        version = 0 if value is None else self.versions[key]
        self.rows[key] = data.Row(key, version, value)

    def get(self, key: str) -> data.Row:
        return self.rows.get(key, data.Row(key, 0, None))

    async def read(self, key):
        await asyncio.sleep(0)
        if self.down:
            return result.Failure(errors.PlatformUnavailable("down"))
        return result.Success(self.get(key))

    async def read_prefix(self, prefix):
        await asyncio.sleep(0)
        if self.down:
            return result.Failure(errors.PlatformUnavailable("down"))
        found = (r for k, r in self.rows.items() if k.startswith(prefix) and r.value)
        return result.Success(tuple(found))

    async def commit(self, transaction):
        await asyncio.sleep(0)
        if self.down:
            return result.Failure(errors.PlatformUnavailable("down"))
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "lost-before":
            return result.Failure(errors.AnswerLost("before"))
        checks = transaction.checks
        wrong = tuple(c.key for c in checks if self.get(c.key).version != c.version)
        if wrong:
            return result.Failure(errors.Conflict(wrong))
        self.commits.append(transaction)
        for write in transaction.writes:
            self.put(write.key, write.value)
        if fault == "lost-after":
            return result.Failure(errors.AnswerLost("after"))
        keys = (write.key for write in transaction.writes)
        return result.Success(data.Commit({k: self.get(k).version for k in keys}))


class TargetServer:
    """A target that checks grants and records runs, shared by all channels."""

    def __init__(self, clock: clocks.ManualClock):
        self.clock = clock
        self.offset = 1_000 * SECOND
        self.boot = "boot-1"
        self.term = 0
        self.expires = datetime.timedelta()
        self.reachable = True
        self.listening = True
        self.hold: asyncio.Event | None = None
        self.answers: dict[str, object] = {}
        self.runs: list[tuple[str, int]] = []
        self.running = 0
        self.maximum_running = 0
        self.on_run = lambda request: None

    def restart(self) -> None:
        self.boot = f"boot-{int(self.boot[5:]) + 1}"
        self.term, self.expires = 0, datetime.timedelta()

    def read(self, sent, received) -> data.ClockReading:
        shown = self.clock.monotonic() + self.offset
        return data.ClockReading(self.boot, shown, self.term, sent, received)

    def grant(self, grant: data.Grant) -> bool:
        now = self.clock.monotonic() + self.offset
        if grant.boot != self.boot or grant.term < self.term or grant.expires <= now:
            return False
        self.term, self.expires = grant.term, grant.expires
        return True


class Channel:
    """One gate's connections to a `TargetServer`."""

    def __init__(self, server: TargetServer, fenced: bool = True, clock=None):
        self.server = server
        self.clock = clock or server.clock
        self.fenced = fenced
        self.closed = False
        self.report_close = lambda: None
        self.calls: list[str] = []

    async def check_reachable(self):
        await asyncio.sleep(0)
        if not self.server.listening:
            return result.Failure(errors.TargetUnavailable("t1", "connection refused"))
        if not self.server.reachable:
            await asyncio.Event().wait()
        return None

    def on_control_close(self, report):
        self.report_close = report

    async def read_clock(self):
        self.calls.append("clock")
        sent = self.clock.monotonic()
        unreached = await self.check_reachable()
        reading = self.server.read(sent, self.clock.monotonic())
        return unreached or result.Success(reading)

    async def send_grant(self, grant):
        self.calls.append("grant")
        sent = self.clock.monotonic()
        unreached = await self.check_reachable()
        if unreached is not None:
            return unreached
        if not self.server.grant(grant):
            return result.Failure(errors.TargetRefused("t1", "fenced"))
        return result.Success(self.server.read(sent, self.clock.monotonic()))

    async def exchange(self, request, stamp):
        server = self.server
        unreached = await self.check_reachable()
        if unreached is not None:
            return unreached
        now = server.clock.monotonic() + server.offset
        permitted = (stamp.term, stamp.boot) == (server.term, server.boot)
        if self.fenced and not (permitted and now < server.expires):
            return result.Failure(errors.TargetRefused("t1", "fenced"))
        server.runs.append((request.request_id, stamp.term))
        server.on_run(request)
        server.running += 1
        server.maximum_running = max(server.maximum_running, server.running)
        try:
            if server.hold is not None:
                await server.hold.wait()
            answer = server.answers.get(request.request_id, b"done")
            if isinstance(answer, tuple):
                return result.Failure(answer)
            rest = None if isinstance(answer, bytes) else answer
            start = answer if isinstance(answer, bytes) else b""
            body = data.Body(start, rest)
            return result.Success(data.Answer(200, (), None, body, ""))
        finally:
            server.running -= 1

    async def close(self):
        self.closed = True


def make_request(request_id: str = "r1", **fields) -> data.Request:
    """Return a request of kind "look" for key "k1" with 30 s left."""
    request = data.Request(
        service="s",
        kind="look",
        key="k1",
        request_id=request_id,
        generated_id=False,
        method="GET",
        path="/k1",
        headers=(),
        body_length=0,
        body=data.Body(b"", None),
        deadline=30 * SECOND,
    )
    return request._replace(**fields)


def make_kind(name: str, deduplication: str) -> data.RequestKind:
    """Return a kind with this deduplication method."""
    idempotent = deduplication == "none"
    return data.RequestKind(
        name, "GET", "/{key}", idempotent, 1.0, SECOND, 99, deduplication
    )


SERVICE = data.Service(
    name="s",
    schema=2,
    key_part=data.KeyPart("path", "key"),
    maximum_key_bytes=99,
    shard_count=8,
    outage_horizon=100 * SECOND,
    kinds=(
        make_kind("look", "none"),
        make_kind("book", "table"),
        make_kind("note", "memory"),
    ),
)


def make_target(name: str = "t1", **fields) -> data.Target:
    """Return a fenced target with two slots."""
    target = data.Target(name, "s", "dc1", "127.0.0.1", 9, 2, 9, True, False)
    return target._replace(**fields)


async def run_ready_tasks(turns: int = 60) -> None:
    """Run all tasks that do not wait for the clock."""
    for _ in range(turns):
        await asyncio.sleep(0)


async def pass_time(clock: clocks.ManualClock, duration, step=10 * MS) -> None:
    """Advance the clock in steps and run the ready tasks after each."""
    end = clock.monotonic() + duration
    while clock.monotonic() < end:
        clock.advance(min(step, end - clock.monotonic()))
        await run_ready_tasks(20)
