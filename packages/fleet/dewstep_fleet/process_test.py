"""Tests of a complete instance with a caller, a target and a store in memory."""

import asyncio
import contextlib
import datetime
import json

from returns import result

from dewstep_core import clocks, errors, settings
from dewstep_core.http import client, exchanges, server
from dewstep_emulator import testing
from dewstep_entry.targets import answering
from dewstep_fleet import builders, model, process, relaying
from dewstep_fleet.regions import places

HEADER_NAMES = model.HeaderNames(b"x-id", b"x-deadline", b"x-target", b"x-key", b"x-n")
RULES = answering.AnswerRules(b"x-id", b"x-n", None, has_request_id=True, buffered=True)
ANY_PORT = settings.Address("127.0.0.1", 0)
SECOND = datetime.timedelta(seconds=1)
LATE_REQUEST = (
    b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Id: late\r\nX-Key: 7\r\n"
    b"X-Deadline: 30000\r\nContent-Length: 4\r\n\r\nbod"
)


class Harness:
    """An instance and a target that records its requests."""

    def __init__(self, keyed=False, configured=True):
        self.requests = []
        self.delay = 0.0
        self.target = server.Server(self.answer)
        self.store = builders.FakeStore()
        self.table = builders.build_table(
            builders.build_route(idempotent=False), keyed=keyed
        )
        if configured:
            self.configure()

    def configure(self, **changes):
        """Write the first or the next version of the configuration."""
        version = self.table.version + 1
        self.table = self.table._replace(version=version, **changes)
        self.store.put(model.TABLES.configuration, "config", b"")

    async def wait_configured(self):
        while self.process.directory.routes != self.table:
            await asyncio.sleep(0.01)

    async def answer(self, exchange):
        body = await exchange.read_body()
        self.requests.append((exchange.method, exchange.path, body))
        await asyncio.sleep(self.delay)
        request_id = exchange.get_header("X-Id")
        exchange.respond(
            exchanges.Response(201, b"done " + body, (("X-Id", request_id),))
        )

    async def start(self):
        address = await self.target.start("127.0.0.1", 0)
        target = builders.build_target("t", host=address.host, port=address.port)
        store = self.store
        store.put(model.TABLES.targets, "t", builders.encode_target(target))
        clock = clocks.SystemClock()
        adapter = process.PlatformAdapter(
            store,
            builders.FakeTargets(clock),
            lambda content: result.Success(self.table),
            builders.decode_target,
            HEADER_NAMES,
            RULES,
            lambda: self.settings,
        )
        member = model.Member("n1", "n1-x", "dc-1", "127.0.0.1", 0)
        instance = process.Instance(
            member,
            ANY_PORT,
            ANY_PORT,
            "/ready",
            ANY_PORT,
            "/metrics",
            builders.build_timing(grace_period=4 * SECOND),
        )
        self.settings = result.Success(instance)
        self.process = process.FleetProcess(instance, adapter, clock)
        await self.process.start()
        self.caller = client.Client(self.process.listener.address, 5.0)
        self.operator = client.Client(self.process.servers[0].address, 5.0)

    async def get_readiness(self):
        return (await self.operator.call("GET", "/ready")).unwrap().status

    async def send(self, path="/a/x", body=b"hello", **headers):
        given = {"Host": "h.example", "X-Id": "id-1", "X-Key": "7", **headers}
        call = self.caller.call("POST", path, body, headers=tuple(given.items()))
        return (await call).unwrap()


@contextlib.asynccontextmanager
async def run_instance(configured=True, **options):
    harness = Harness(configured=configured, **options)
    await harness.start()
    harness.caller.headers = ()
    try:
        async with asyncio.timeout(5):
            while configured and await harness.get_readiness() != 200:
                await asyncio.sleep(0.02)
        yield harness
    finally:
        await harness.caller.close()
        await harness.operator.close()
        if not harness.process.stopping:
            harness.process.instance = harness.process.instance._replace(
                timing=builders.build_timing(grace_period=SECOND / 2)
            )
            await harness.process.stop()
        await harness.target.close(grace=0.1)


@testing.run_in_event_loop
async def test_request_and_answer_are_passed_on():
    async with run_instance() as harness:
        response = await harness.send()
        assert (response.status, response.body) == (201, b"done hello")
        assert harness.requests == [("POST", "/a/x", b"hello")]


@testing.run_in_event_loop
async def test_large_body_is_streamed():
    body = b"x" * 300_000
    async with run_instance() as harness:
        response = await harness.send(body=body)
        assert response.status == 201 and harness.requests[0][2] == body


@testing.run_in_event_loop
async def test_body_beyond_the_limit_is_refused():
    async with run_instance() as harness:
        response = await harness.send(body=b"x" * 1_100_000)
        assert response.status == 413 and not harness.requests


@testing.run_in_event_loop
async def test_instance_is_ready_once_all_keys_have_owners():
    async with run_instance(keyed=True) as harness:
        assert (await harness.send()).status == 201


@testing.run_in_event_loop
async def test_stop_finishes_requests_in_progress_and_accepts_late_ones():
    # Guards against requests that are aborted by a planned stop.
    async with run_instance() as harness:
        harness.delay = 0.5
        sending = asyncio.ensure_future(harness.send())
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(harness.process.stop())
        await asyncio.sleep(0.05)
        assert await harness.get_readiness() == 503
        late = await harness.send()
        assert late.status == 201 and late.headers["connection"] == "close"
        assert (await sending).status == 201
        assert await stopping == 0


# Guards against a request that is passed on when the grace period is nearly over, and
# is cut at its end.
@testing.run_in_event_loop
async def test_request_that_is_incomplete_late_is_refused():
    async with run_instance() as harness:
        address = harness.process.listener.address
        reader, writer = await asyncio.open_connection(*address)
        writer.write(LATE_REQUEST)
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(harness.process.stop())
        async with asyncio.timeout(5):
            head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"dewstep-failure: Stopping" in head and b"connection: close" in head
        assert await stopping == 0
        assert not harness.requests


@testing.run_in_event_loop
async def test_metrics_and_dump_are_served():
    async with run_instance() as harness:
        await harness.send()
        metrics = client.Client(harness.process.servers[1].address, 2.0)
        text = (await metrics.call("GET", "/metrics")).unwrap().body.decode()
        await metrics.close()
        assert 'dewstep_answers_total{failure="",status="201"} 1.0' in text
        assert "dewstep_answer_seconds_bucket" in text
        dump = (await harness.operator.call("GET", "/dump")).unwrap().body
        assert json.loads(dump)["targets"]["t"]["slots"] == 4
        numbers = json.loads(dump)["numbers"]
        sent = numbers["target_bytes_sent_near"] + numbers["target_bytes_sent_far"]
        assert sent > len("hello") and numbers["passed_on_bytes_sent"] == 0
        assert 'dewstep_state{name="report_bytes_sent"}' in text


@testing.run_in_event_loop
async def test_settings_that_change_without_a_signal_are_applied():
    """Guards against retry budgets and grant durations from outdated settings."""
    async with run_instance() as harness:
        running_process = harness.process
        before = running_process.instance
        timing = builders.build_timing(retry_slack=5.0, max_grant_duration=SECOND)
        harness.settings = result.Success(before._replace(timing=timing))
        running_process.reload_settings()
        budget = running_process.budgets.get("history")
        assert budget.timing.retry_slack == 5.0
        assert running_process.participant.granter.timing.max_grant_duration == SECOND
        # Unreadable settings change nothing.
        harness.settings = result.Failure(errors.RowInvalid("settings", "unreadable"))
        running_process.reload_settings()
        assert running_process.instance.timing == timing


# Guards against answers of the listener that no counter shows.
@testing.run_in_event_loop
async def test_refusals_of_the_listener_are_counted():
    async with run_instance() as harness:
        assert (await harness.send(body=b"x" * 1_100_000)).status == 413
        text = harness.process.telemetry.render(harness.process).decode()
        labels = 'failure="BodyTooLarge",status="413"'
        assert f"dewstep_answers_total{{{labels}}} 1.0" in text
        labels = 'failure="BodyTooLarge",port="callers",status="413"'
        assert f"dewstep_refusals_total{{{labels}}} 1.0" in text


# Guards against requests with large headers that only the instance of their caller
# accepts.
@testing.run_in_event_loop
async def test_relayed_requests_may_have_larger_heads():
    async with run_instance() as harness:
        process_limits = harness.process.listener.limits
        relay_limits = harness.process.relay_listener.limits
        assert relay_limits.head_bytes > process_limits.head_bytes
        table = harness.process.directory.routes
        larger = process_limits._replace(head_bytes=90_000)
        harness.process.directory.routes = table._replace(limits=larger)
        harness.process.apply_caller_limits([])
        assert harness.process.relay_listener.limits.head_bytes > 90_000


# Guards against regions that are lost between instances or apply only after a restart.
@testing.run_in_event_loop
async def test_regions_of_settings_and_other_instances_are_applied():
    async with run_instance() as harness:
        instance = harness.process
        known = places.Places("north", {"dc-1": "north"})
        harness.settings = result.Success(instance.instance._replace(regions=known))
        instance.reload_settings()
        headers = tuple(relaying.add_attempts((), 1, ("south",)))
        relayed = instance.build_relayed_request(b"GET", b"/a/x", headers, 0).unwrap()
        called = instance.build_request(b"GET", b"/a/x", headers, 0).unwrap()
        assert (relayed.relayed_regions, called.relayed_regions) == (("south",), ())
        dump = (await harness.operator.call("GET", "/dump")).unwrap()
        assert json.loads(dump.body)["regions"]["data_centres"] == {"dc-1": "north"}
