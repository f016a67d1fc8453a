"""Assembles, starts and stops one instance of the fleet."""

import asyncio
import datetime
import functools
import random
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

from returns import result

from dewstep_core import clocks, data, errors, events, settings, tasks
from dewstep_core.http import exchanges, routing, server
from dewstep_entry import failures
from dewstep_entry.caller import listener
from dewstep_entry.policy import stop_schedule
from dewstep_entry.targets import answering
from dewstep_fleet import (
    budgets,
    coordination,
    directories,
    dispatch,
    feeds,
    keys,
    load_counts,
    model,
    reachability,
    relaying,
    routes,
    telemetry,
)
from dewstep_fleet.regions import places

BALANCER_REMOVAL_TIME = datetime.timedelta(milliseconds=2500)
"""Time for the balancer to remove this instance: it checks each second and removes an
instance after two failed checks."""
ABORT_MARGIN = datetime.timedelta(milliseconds=300)
"""Time before the end of the grace period at which remaining requests are aborted."""
OBSERVATION_INTERVAL = datetime.timedelta(milliseconds=50)
FLUSH_INTERVAL = datetime.timedelta(milliseconds=500)
RELOAD_INTERVAL = datetime.timedelta(seconds=1)
"""Interval between reads of the settings, which may change without a signal: half of
the time within which a configuration change must be in force."""


class Instance(NamedTuple):
    """Identity, addresses and durations of an instance."""

    member: model.Member
    callers: settings.Address
    readiness: settings.Address
    """Address of the balancer's readiness checks."""
    readiness_path: str
    metrics: settings.Address | None
    metrics_path: str
    timing: model.Timing
    regions: places.Places = places.NO_PLACES


class PlatformAdapter(NamedTuple):
    """The parts that are specific to a platform."""

    store: model.Store
    grants: model.GrantChannel
    decode_routes: Any
    decode_target: Any
    header_names: model.HeaderNames
    answer_rules: answering.AnswerRules
    read_instance: Callable[[], result.Result[Instance, Any]]
    """Reads the settings again, keeping the incarnation."""


class FleetProcess:
    """One instance of the fleet.

    Parameters
    ----------
    instance : Instance
    adapter : PlatformAdapter
    clock : clocks.Clock
    writer : line_writer.LineWriter or None
        Log writer, which is flushed regularly.
    generator : random.Random, optional
        Shared by all parts, also while they are built.
    """

    def __init__(
        self,
        instance: Instance,
        adapter: PlatformAdapter,
        clock: clocks.Clock,
        writer=None,
        generator: random.Random | None = None,
    ):
        self.instance = instance
        self.read_instance = adapter.read_instance
        self.refused_settings: Any = None
        """Failure of the last read of the settings, or None."""
        self.clock = clock
        self.writer = writer
        self.started_at = clock.monotonic()
        self.random = generator or random.Random()
        self.failed = asyncio.Event()
        """Set when a task has failed, so that the process must stop."""
        self.stopping = False
        self.was_ready = False
        self.tasks = tasks.TaskOwner(self.handle_task_failure)
        self.directory = directories.Directory(
            clock, adapter.decode_routes, adapter.decode_target
        )
        self.directory.regions.set_places(instance.regions)
        self.feeds = feeds.TableFeeds(adapter.store, self.directory, clock, self.random)
        self.loads = load_counts.Loads()
        self.keys = keys.KeyCounter(self.random)
        self.participant = coordination.FleetParticipant(
            instance.member,
            self.directory,
            self.feeds,
            adapter.store,
            adapter.grants,
            clock,
            instance.timing,
            self.loads,
            self.keys.take_counts,
            self.random,
        )
        self.budgets = budgets.Budgets(clock, instance.timing)
        self.dispatcher = dispatch.Dispatcher(
            instance.member.node,
            instance.member.data_centre,
            self.directory,
            self.loads,
            self.budgets,
            self.participant,
            adapter.header_names,
            adapter.answer_rules,
            clock,
            self.random,
            self.keys.count_request,
        )
        self.participant.reachability = self.dispatcher.reachability
        self.request_id = adapter.header_names.request_id
        self.telemetry = telemetry.Telemetry()
        self.meter = telemetry.AnswerMeter(self.dispatcher, clock, self.telemetry)
        self.listener = listener.Listener(
            instance.callers,
            settings.CallerLimits(),
            self.build_request,
            self.find_body_limit,
            self.meter,
            instance.member.node,
            on_refusal=functools.partial(self.record_refusal, "callers"),
            choose_refusal=self.choose_refusal,
            prepare_parallel=self.dispatcher.planner.prepare_parallel,
        )
        self.relay_receiver = relaying.RelayReceiver(
            instance.member.node, self.dispatcher
        )
        self.relay_listener = listener.Listener(
            settings.Address(instance.member.host, instance.member.relay_port),
            relaying.INITIAL_LIMITS,
            self.build_relayed_request,
            # The other instance has limited the body, which is streamed.
            lambda request: sys.maxsize,
            self.relay_receiver,
            instance.member.node,
            on_refusal=functools.partial(self.record_refusal, "instances"),
            choose_refusal=self.relay_receiver.choose_refusal,
            render_failure=relaying.render_refusal,
        )
        self.directory.listeners.append(self.apply_caller_limits)
        self.servers: list[server.Server] = []

    # Lifecycle.

    async def start(self) -> None:
        """Listen on all ports and start all tasks."""
        instance = self.instance
        await self.participant.start()
        readiness = routing.Routes()
        readiness.add("GET", instance.readiness_path, self.answer_readiness)
        readiness.add("GET", "/dump", self.answer_dump)
        await self.start_server(readiness, instance.readiness)
        if instance.metrics is not None:
            metrics = routing.Routes()
            metrics.add("GET", instance.metrics_path, self.answer_metrics)
            try:
                await self.start_server(metrics, instance.metrics)
            except OSError as error:
                # Metrics are optional; requests are served without them.
                events.error("metrics_refused", reason=str(error))
        for item in self.list_listeners():
            await item.start()
        self.tasks.spawn(self.feeds.run())
        self.tasks.spawn(self.participant.run())
        self.tasks.spawn(self.participant.register())
        self.tasks.spawn(self.flush_periodically())
        self.tasks.spawn(self.observe_periodically())
        self.tasks.spawn(self.reload_periodically())
        events.info(
            "started",
            node=instance.member.node,
            incarnation=instance.member.incarnation,
            data_centre=instance.member.data_centre,
        )

    async def start_server(
        self, routes: routing.Routes, address: settings.Address
    ) -> None:
        """Start a server for internal calls at an address."""
        internal_server = server.Server(routes.handle)
        await internal_server.start(*address)
        self.servers.append(internal_server)

    def handle_task_failure(self, error: BaseException, task: str) -> None:
        """Signal that the process must stop because one of its tasks has failed."""
        self.failed.set()
        events.exception("task_failed", error, task=task)

    async def flush_periodically(self) -> None:
        """Flush buffered log lines at regular intervals, until cancelled."""
        while True:
            await self.clock.sleep(FLUSH_INTERVAL)
            events.log_suppressed_counts()
            if self.writer is not None:
                self.writer.flush()

    async def observe_periodically(self) -> None:
        """Note at regular intervals that the process runs, until cancelled."""
        cut_off = False
        while True:
            await self.clock.sleep(OBSERVATION_INTERVAL)
            now = self.clock.monotonic()
            self.dispatcher.reachability.observe(now)
            self.dispatcher.reachability.silence_period = (
                reachability.choose_silence_period(self.loads.typical_seconds.values())
            )
            if cut_off != self.dispatcher.is_cut_off():
                cut_off = not cut_off
                events.warning("cut_off", cut_off=cut_off)
                self.dispatcher.note_cut(cut_off)

    async def reload_periodically(self) -> None:
        """Reload the settings at regular intervals, until cancelled."""
        while True:
            await self.clock.sleep(RELOAD_INTERVAL)
            self.reload_settings()

    def reload_settings(self) -> None:
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
        # Addresses and the member row cannot change while the process runs.
        applied = [name for name in changed if name in ("timing", "regions")]
        if "regions" in applied:
            self.directory.regions.set_places(found.regions)
        if "timing" in applied:
            self.budgets.set_timing(found.timing)
            self.participant.granter.timing = found.timing
            self.participant.limits.warm_up.set_bounds(found.timing.warm_up)
        deferred = [name for name in changed if name not in applied]
        events.info("settings_changed", applied=applied, at_next_start=deferred)

    async def stop(self) -> int:
        """Finish the requests in progress; return the number of aborted connections."""
        began = self.clock.monotonic()
        abort_at = began + self.instance.timing.grace_period - ABORT_MARGIN
        schedule = stop_schedule.plan_stop(began, abort_at, BALANCER_REMOVAL_TIME)
        self.stopping = True
        self.participant.stopping = True
        self.dispatcher.stop.schedule = schedule
        self.listener.close_after_answer = True
        self.relay_listener.close_after_answer = True
        events.info("stopping", in_progress=self.dispatcher.in_progress)
        self.participant.schedule_heartbeat()
        # The balancer sends new connections until it has removed this instance.
        await self.clock.sleep(schedule.closes_at - began)
        self.tasks.spawn(self.refuse_late_requests(schedule))
        aborted = 0
        try:
            time_left = (abort_at - self.clock.monotonic()).total_seconds()
            async with asyncio.timeout(max(time_left, 0.0)):
                await asyncio.gather(*(item.stop() for item in self.list_listeners()))
                if self.dispatcher.background_tasks.tasks:
                    await asyncio.wait(self.dispatcher.background_tasks.tasks)
        except TimeoutError:
            for item in self.list_listeners():
                aborted += item.count_unanswered()
                item.abort()
        events.info("stopped", cut=aborted)
        self.tasks.cancel()
        for internal_server in self.servers:
            await internal_server.close(grace=0.0)
        return aborted

    async def refuse_late_requests(self, schedule: stop_schedule.StopSchedule) -> None:
        """Refuse what has not been started once no request is started any more.

        Requests that wait for a connection, and those that have not been read, would
        be cut when the stop ends.
        """
        await self.clock.sleep(schedule.last_start_at - self.clock.monotonic())
        self.dispatcher.refuse_waiting()
        for item in self.list_listeners():
            item.refuse_unread(errors.Stopping(self.instance.member.node))

    def list_listeners(self) -> list[listener.Listener]:
        """Return the listener for callers, and the one for other instances if any."""
        if not self.instance.member.relay_port:
            return [self.listener]
        return [self.listener, self.relay_listener]

    # Callers.

    def build_request(
        self,
        method: bytes,
        target: bytes,
        headers: data.Headers,
        body_length: int | None,
    ) -> result.Result[model.IncomingRequest, Any]:
        """Return the request that a request head describes."""
        if body_length is not None and body_length > self.find_body_limit(None):
            return result.Failure(errors.BodyTooLarge(self.find_body_limit(None)))
        return result.Success(self.parse_head(method, target, headers, body_length))

    def parse_head(
        self,
        method: bytes,
        target: bytes,
        headers: data.Headers,
        body_length: int | None,
    ) -> model.IncomingRequest:
        """Return the request of a head, whatever the size of its body."""
        target, headers = routes.resolve_target(target, headers)
        request_id = dict(headers).get(self.request_id, b"").decode("latin-1")
        return model.IncomingRequest(
            request_id,
            method.decode("latin-1"),
            target.decode("latin-1"),
            headers,
            body_length,
            data.Body(b"", None),
            self.clock.monotonic(),
        )

    def build_relayed_request(
        self,
        method: bytes,
        target: bytes,
        headers: data.Headers,
        body_length: int | None,
    ) -> result.Result[model.IncomingRequest, Any]:
        """Return the request that another instance has passed on."""
        request = self.parse_head(method, target, headers, body_length)
        attempts = relaying.read_attempts(headers)
        return result.Success(
            request._replace(
                relayed_attempts=attempts,
                relayed_regions=relaying.read_regions(headers),
            )
        )

    def find_body_limit(self, request: Any) -> int:
        """Return the maximum size of a request body in bytes."""
        table = self.directory.routes
        return table.max_body_bytes if table is not None else INITIAL_BODY_LIMIT_BYTES

    def apply_caller_limits(self, changed_rows: list[model.StoredRow]) -> None:
        """Apply the limits of the current configuration to further requests."""
        table = self.directory.routes
        if table is not None:
            self.listener.limits = table.limits
            self.relay_listener.limits = relaying.adapt_limits(table.limits)

    def choose_refusal(self, failure: Any) -> Any:
        """Return the failure to report for a request that was refused before routing.

        The built-in limits bound the memory that an instance uses before it knows the
        configuration, which may allow more. Callers do not repeat a request after 413
        or 431, so that these are given by the limits of a configuration only.
        """
        exceeded = isinstance(failure, errors.HeadersTooLarge | errors.BodyTooLarge)
        if exceeded and self.directory.routes is None:
            return errors.NotReady("configuration")
        return failure

    def record_refusal(self, port: str, failure: Any) -> None:
        """Count and log a request that was refused before routing.

        Parameters
        ----------
        port : str
            Who sends requests to the port: "callers" or "instances".
        failure : tuple
            The failure that is reported.
        """
        status = failures.find_rule(failure).status
        table = self.directory.routes
        self.telemetry.count_refusal(port, status, type(failure).__name__)
        events.info(
            "request_refused",
            port=port,
            status=status,
            failure=failure,
            configuration=table.version if table is not None else None,
        )

    # Operators.

    def is_ready(self) -> bool:
        """Whether this instance can serve requests."""
        table = self.directory.routes
        if self.stopping or table is None:
            return False
        for service in table.services.values():
            if service.keyed and service.name not in self.directory.ownerships:
                if self.directory.lacks_allowed_targets(service.name):
                    # Requests of other routes can be served all the same.
                    continue
                return False
        return True

    async def answer_readiness(self, call: routing.Call) -> exchanges.Response:
        """Answer a readiness check of the balancer."""
        ready = self.is_ready()
        if ready != self.was_ready:
            self.was_ready = ready
            events.info("readiness", ready=ready, stopping=self.stopping)
        return exchanges.Response(200 if ready else 503)

    async def answer_metrics(self, call: routing.Call) -> exchanges.Response:
        """Answer with all metrics as text."""
        text = self.telemetry.render(self)
        return exchanges.Response(
            200, text, (("Content-Type", telemetry.CONTENT_TYPE),)
        )

    async def answer_dump(self, call: routing.Call) -> exchanges.Response:
        """Answer with the state of this process."""
        return exchanges.build_json(200, telemetry.describe_state(self))


INITIAL_BODY_LIMIT_BYTES = 1024 * 1024
"""Maximum body size in bytes before any configuration is known."""
