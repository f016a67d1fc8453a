"""Puts the parts of an instance of the fleet together, starts and stops them."""

import asyncio
import datetime
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from returns import result

from dewstep_core import clock as clocks, data, errors, events, settings, tasks
from dewstep_core.http import exchanges, routing, server
from dewstep_entry.caller import listener
from dewstep_entry.targets import answering
from dewstep_fleet import (
    budgets,
    coordination,
    directory as directories,
    dispatch,
    feeds,
    keys,
    loads as load_counts,
    model,
    telemetry,
)

OUT_OF_ROTATION = datetime.timedelta(milliseconds=2500)
"""A balancer that asks each second takes an instance out after two refusals."""
LAST_MOMENT = datetime.timedelta(milliseconds=300)
"""Time before the end of the grace at which what still runs is cut."""
FLUSH_INTERVAL = datetime.timedelta(milliseconds=500)
RELOAD_INTERVAL = datetime.timedelta(seconds=1)
"""Time between two looks at the settings, which may change without a signal: half of
the time in which operators expect a change of the configuration in force."""


class Instance(NamedTuple):
    """Where an instance is and how it is reached."""

    member: model.Member
    callers: settings.Address
    readiness: settings.Address
    """Where the balancer asks whether the instance takes requests."""
    readiness_path: str
    metrics: settings.Address | None
    metrics_path: str
    timing: model.Timing


class Adapter(NamedTuple):
    """What connects the fleet to one platform."""

    store: model.Store
    grants: model.GrantChannel
    decode_routes: Any
    decode_target: Any
    dialect: model.Dialect
    rules: answering.AnswerRules
    read_instance: Callable[[], result.Result[Instance, Any]]
    """Reads the settings again, for the same run of the process."""


class FleetProcess:
    """One instance of the fleet.

    Parameters
    ----------
    instance : Instance
    adapter : Adapter
    clock : clocks.Clock
    writer : lines.LineWriter or None
        Flushed regularly.
    """

    def __init__(
        self, instance: Instance, adapter: Adapter, clock: clocks.Clock, writer=None
    ):
        self.instance = instance
        self.read_instance = adapter.read_instance
        self.refused_settings: Any = None
        """Why the settings could not be read the last time."""
        self.clock = clock
        self.writer = writer
        self.started = clock.monotonic()
        self.random = random.Random()
        self.failed = asyncio.Event()
        self.stopping = False
        self.was_ready = False
        self.tasks = tasks.TaskOwner(self.receive_failure)
        self.directory = directories.Directory(
            clock, adapter.decode_routes, adapter.decode_target
        )
        self.feeds = feeds.Feeds(adapter.store, self.directory, clock, self.random)
        self.loads = load_counts.Loads()
        self.keys = keys.KeyCounter(self.random)
        self.fleet = coordination.Fleet(
            instance.member,
            self.directory,
            self.feeds,
            adapter.store,
            adapter.grants,
            clock,
            instance.timing,
            self.loads,
            self.keys.take,
            self.random,
        )
        self.budgets = budgets.Budgets(clock, instance.timing)
        self.dispatcher = dispatch.Dispatcher(
            instance.member.node,
            instance.member.data_centre,
            self.directory,
            self.loads,
            self.budgets,
            self.fleet,
            adapter.dialect,
            adapter.rules,
            clock,
            self.random,
            self.keys.note,
        )
        self.request_id = adapter.dialect.request_id
        self.telemetry = telemetry.Telemetry()
        self.meter = telemetry.Meter(self.dispatcher, clock, self.telemetry)
        self.listener = listener.Listener(
            instance.callers,
            settings.CallerLimits(),
            self.identify,
            self.find_body_limit,
            self.meter,
            instance.member.node,
            note_refusal=self.note_refusal,
        )
        self.directory.listeners.append(self.apply_limits)
        self.servers: list[server.Server] = []

    # Life.

    async def start(self) -> None:
        """Listen on all ports and start all tasks."""
        instance = self.instance
        await self.fleet.start()
        readiness = routing.Routes()
        readiness.add("GET", instance.readiness_path, self.answer_readiness)
        readiness.add("GET", "/dump", self.answer_dump)
        await self.serve(readiness, instance.readiness)
        if instance.metrics is not None:
            metrics = routing.Routes()
            metrics.add("GET", instance.metrics_path, self.answer_metrics)
            try:
                await self.serve(metrics, instance.metrics)
            except OSError as error:
                # Requests are worth more than their counts.
                events.error("metrics_refused", reason=str(error))
        await self.listener.start()
        self.tasks.spawn(self.feeds.run())
        self.tasks.spawn(self.fleet.run())
        self.tasks.spawn(self.fleet.register())
        self.tasks.spawn(self.flush())
        self.tasks.spawn(self.follow_settings())
        events.info(
            "started",
            node=instance.member.node,
            incarnation=instance.member.incarnation,
            data_centre=instance.member.data_centre,
        )

    async def serve(self, routes: routing.Routes, address: settings.Address) -> None:
        """Serve some calls at an address."""
        port = server.Server(routes.handle)
        await port.start(*address)
        self.servers.append(port)

    def receive_failure(self, error: BaseException, task: str) -> None:
        """Ask for a stop if a task has failed: the process is no longer whole."""
        self.failed.set()
        events.exception("task_failed", error, task=task)

    async def flush(self) -> None:
        """Write log lines that waited for their reader, until cancelled."""
        while True:
            await self.clock.sleep(FLUSH_INTERVAL)
            events.report_left_out()
            if self.writer is not None:
                self.writer.flush()

    async def follow_settings(self) -> None:
        """Read the settings again and again, until cancelled."""
        while True:
            await self.clock.sleep(RELOAD_INTERVAL)
            self.reload()

    def reload(self) -> None:
        """Apply the settings that have changed, and log which."""
        outcome = self.read_instance()
        if isinstance(outcome, result.Failure):
            if outcome.failure() != self.refused_settings:
                self.refused_settings = outcome.failure()
                events.error("settings_refused", failure=outcome.failure())
            return
        self.refused_settings = None
        known, found = self.instance, outcome.unwrap()
        if found == known:
            return
        self.instance = found
        changed = [
            name
            for name, before, now in zip(known._fields, known, found, strict=True)
            if before != now
        ]
        # Addresses and the member's row hold until this process ends.
        applied = [name for name in changed if name == "timing"]
        if applied:
            self.budgets.set_timing(found.timing)
            self.fleet.granter.timing = found.timing
        waiting = [name for name in changed if name not in applied]
        events.info("settings_changed", applied=applied, at_next_start=waiting)

    async def stop(self) -> int:
        """Finish what runs; return how many connections had to be cut."""
        began = self.clock.monotonic()
        self.stopping = True
        self.fleet.stopping = True
        self.listener.last_answers = True
        events.info("stopping", in_progress=self.dispatcher.in_progress)
        self.fleet.push()
        # Until the balancer has noticed, it still sends new connections here.
        await self.clock.sleep(OUT_OF_ROTATION)
        end = began + self.instance.timing.grace - LAST_MOMENT
        cut = 0
        try:
            left = (end - self.clock.monotonic()).total_seconds()
            async with asyncio.timeout(max(left, 0.0)):
                await self.listener.stop()
                if self.dispatcher.background.tasks:
                    await asyncio.wait(self.dispatcher.background.tasks)
        except TimeoutError:
            cut = len(self.listener.connections)
            self.listener.abort()
        events.info("stopped", cut=cut)
        self.tasks.cancel()
        for port in self.servers:
            await port.close(grace=0.0)
        return cut

    # Callers.

    def identify(
        self,
        method: bytes,
        target: bytes,
        headers: data.Headers,
        body_length: int | None,
    ) -> result.Result[model.Arrival, Any]:
        """Return the request that a head announces."""
        if body_length is not None and body_length > self.find_body_limit(None):
            return result.Failure(errors.BodyTooLarge(self.find_body_limit(None)))
        request_id = dict(headers).get(self.request_id, b"").decode("latin-1")
        return result.Success(
            model.Arrival(
                request_id,
                method.decode("latin-1"),
                target.decode("latin-1"),
                headers,
                body_length,
                data.Body(b"", None),
                self.clock.monotonic(),
            )
        )

    def find_body_limit(self, arrival: Any) -> int:
        """Return the most bytes of a request's body."""
        routes = self.directory.routes
        return routes.body_bytes if routes is not None else UNKNOWN_BODY_LIMIT

    def apply_limits(self, news: list[model.StoredRow]) -> None:
        """Apply the limits of a new configuration to new connections."""
        routes = self.directory.routes
        if routes is not None:
            self.listener.limits = routes.limits

    def note_refusal(self, failure: Any) -> None:
        """Log a request that reached no route."""
        events.info("request_refused", failure=failure)

    # Operators.

    def is_ready(self) -> bool:
        """Whether this instance can serve what callers send."""
        routes = self.directory.routes
        if self.stopping or routes is None:
            return False
        for service in routes.services.values():
            if service.keyed and service.name not in self.directory.ownerships:
                return False
        return True

    async def answer_readiness(self, call: routing.Call) -> exchanges.Response:
        """Answer the balancer."""
        ready = self.is_ready()
        if ready != self.was_ready:
            self.was_ready = ready
            events.info("readiness", ready=ready, stopping=self.stopping)
        return exchanges.Response(200 if ready else 503)

    async def answer_metrics(self, call: routing.Call) -> exchanges.Response:
        """Answer with counters and histograms as text."""
        text = self.telemetry.render(self)
        return exchanges.Response(
            200, text, (("Content-Type", telemetry.CONTENT_TYPE),)
        )

    async def answer_dump(self, call: routing.Call) -> exchanges.Response:
        """Answer with the state of this process."""
        return exchanges.build_json(200, telemetry.describe(self))


UNKNOWN_BODY_LIMIT = 1024 * 1024
"""Most bytes of a body before any configuration is known."""
