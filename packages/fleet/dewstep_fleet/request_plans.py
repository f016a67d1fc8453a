"""Finds the route, service, key and time limits of a request."""

import datetime
import hashlib
from collections.abc import Callable
from typing import Any, NamedTuple

from returns import result

from dewstep_core import clocks, errors
from dewstep_entry import failures
from dewstep_fleet import (
    budgets,
    configuration_checks,
    directories,
    load_counts,
    model,
    routes,
)
from dewstep_fleet.admission import first_sends, return_order

DEFAULT_DEADLINE = datetime.timedelta(seconds=30)
"""For requests without a deadline whose route has no time-out."""
MAX_START_WAIT = datetime.timedelta(milliseconds=300)
"""Maximum wait for the first or the newest configuration."""
MAX_CONFIGURATION_AGE = 0.75
"""Part of the time within which a configuration must be in force, for which a refusal
may rest on one that was the newest. The rest is for the caller's way to us."""
MAX_KEY_DIGITS = 5
"""Number of digits of the last key."""


class PlannedRequest(NamedTuple):
    """A request with its route, service, key and time limits."""

    request: model.IncomingRequest
    route: model.Route
    service: model.Service
    key: int | None
    deadline: datetime.timedelta
    """The caller's deadline."""
    due_at: datetime.timedelta
    """When an answer is due: the earlier of the deadline and the route's time-out."""
    due_by_timeout: bool
    """Whether `due_at` is the route's time-out."""
    fingerprint: bytes
    max_attempts: int
    """Maximum number of attempts in which a target may have run the request."""
    first_sent_at: datetime.timedelta
    """When the caller sent the request for the first time, as far as is known."""

    def is_relayed(self) -> bool:
        """Whether another instance has passed the request on."""
        return self.request.relayed_attempts is not None


class Planner:
    """Plans requests by the newest known configuration.

    Parameters
    ----------
    directory : directories.Directory
    loads : load_counts.Loads
        Told which routes there are.
    retry_budgets : budgets.Budgets
        Told of each request of a caller.
    get_checks : callable
        Returns what is known of the age of the configuration.
    header_names : model.HeaderNames
    clock : clocks.Clock
    count_key : callable
        Called with the service and key of each request for a keyed service.
    """

    def __init__(
        self,
        directory: directories.Directory,
        loads: load_counts.Loads,
        retry_budgets: budgets.Budgets,
        get_checks: Callable[[], configuration_checks.ConfigurationChecks],
        header_names: model.HeaderNames,
        clock: clocks.Clock,
        count_key: Callable[[str, int], None],
    ):
        self.directory = directory
        self.loads = loads
        self.retry_budgets = retry_budgets
        self.get_checks = get_checks
        self.header_names = header_names
        self.clock = clock
        self.count_key = count_key
        self.route_index = routes.EMPTY_INDEX
        self.routes_by_service: dict[str, list[model.Route]] = {}
        self.splitter = routes.Splitter()
        self.first_deadlines = first_sends.FirstDeadlines()
        self.return_shares = return_order.ReturnShares()

    def prepare_parallel(
        self, request: model.IncomingRequest
    ) -> model.IncomingRequest | None:
        """Return a request that may run beside others of its connection, or None."""
        table = self.directory.routes
        if table is None or table.version != self.route_index.version:
            return None
        host = dict(request.headers).get(b"host", b"").decode("latin-1")
        route = routes.find_route(self.route_index, host, request.path)
        if route is None or not route.idempotent:
            return None
        return request._replace(parallel=True)

    async def plan(
        self, request: model.IncomingRequest
    ) -> result.Result[PlannedRequest, Any]:
        """Find the route, service, key and time limits of a request.

        A configuration that may have been replaced does not justify a refusal that
        callers do not repeat, so the newest one is awaited before such a refusal.
        """
        end: datetime.timedelta | None = None
        max_age = self.retry_budgets.timing.apply_time * MAX_CONFIGURATION_AGE
        checks = self.get_checks()
        while True:
            located = self.locate(request)
            if isinstance(located, result.Success):
                return result.Success(self.build_plan(request, *located.unwrap()))
            missing = "configuration"
            if self.directory.routes is not None:
                rule = failures.find_rule(located.failure())
                if rule.outcome != errors.BAD_REQUEST:
                    return located
                if checks.is_confirmed(request.arrived_at - max_age):
                    return located
                missing = "newest configuration"
            now = self.clock.monotonic()
            if end is None:
                end = now + MAX_START_WAIT
            if now >= end:
                return result.Failure(errors.NotReady(missing))
            await checks.wait(end - now)

    def locate(
        self, request: model.IncomingRequest
    ) -> result.Result[tuple[model.Route, model.Service, int | None], Any]:
        """Return the route, service and key of a request by the known configuration."""
        table = self.directory.routes
        if table is None:
            return result.Failure(errors.NotReady("configuration"))
        if table.version != self.route_index.version:
            self.route_index = routes.build_index(table)
            self.routes_by_service = routes.group_by_service(table)
            names = {route.name for route in table.routes}
            self.loads.keep_routes(names)
            self.first_deadlines.keep_routes(names)
            self.return_shares.keep_routes(names)
        headers = dict(request.headers)
        host = headers.get(b"host", b"").decode("latin-1")
        route = routes.find_route(self.route_index, host, request.path)
        if route is None:
            return result.Failure(errors.UnknownService(request.method, request.path))
        name = self.splitter.choose_service(route)
        service = table.services.get(name)
        if service is None:
            return result.Failure(errors.NotReady(name))
        if not service.keyed:
            return result.Success((route, service, None))
        key = read_key(headers.get(self.header_names.key))
        if key is None:
            part = self.header_names.key.decode()
            return result.Failure(errors.KeyMissing(name, part))
        return result.Success((route, service, key))

    def build_plan(
        self,
        request: model.IncomingRequest,
        route: model.Route,
        service: model.Service,
        key: int | None,
    ) -> PlannedRequest:
        """Return a request with its time limits, and count it."""
        headers = dict(request.headers)
        host = headers.get(b"host", b"").decode("latin-1")
        if key is not None and request.relayed_attempts is None:
            self.count_key(service.name, key)
        now = request.arrived_at
        given = read_milliseconds(headers.get(self.header_names.deadline))
        timeout = route.timeout
        deadline = now + (given or timeout or DEFAULT_DEADLINE)
        due_by_timeout = timeout is not None and now + timeout < deadline
        due_at = now + timeout if due_by_timeout else deadline
        max_attempts = route.max_attempts
        if request.relayed_attempts is None:
            self.retry_budgets.get(service.name).add_request()
        else:
            max_attempts = min(max_attempts, request.relayed_attempts)
        fingerprint = compute_fingerprint(request, host)
        return PlannedRequest(
            request,
            route,
            service,
            key,
            deadline,
            due_at,
            due_by_timeout,
            fingerprint,
            max_attempts,
            now - self.estimate_elapsed(request, route, given),
        )

    def estimate_elapsed(
        self,
        request: model.IncomingRequest,
        route: model.Route,
        given: datetime.timedelta | None,
    ) -> datetime.timedelta:
        """Return the time since a caller first sent a request, as far as is known."""
        if given is None:
            return datetime.timedelta()
        deadline_ms = given // datetime.timedelta(milliseconds=1)
        if request.relayed_attempts is None:
            self.first_deadlines.observe(route.name, deadline_ms)
        elapsed_ms = self.first_deadlines.estimate_elapsed(route.name, deadline_ms)
        return datetime.timedelta(milliseconds=elapsed_ms)


def compute_fingerprint(request: model.IncomingRequest, host: str) -> bytes:
    """Return a hash that is equal for equal requests of any caller.

    The part of a large body that has not been read is represented by the body's length.
    """
    digest = hashlib.blake2b(digest_size=16)
    head = f"{request.method}\n{host}\n{request.path}\n{request.body_length}\n"
    digest.update(head.encode("latin-1"))
    digest.update(request.body.start)
    return digest.digest()


def read_key(value: bytes | None) -> int | None:
    """Return the key in a header value, or None if it is invalid."""
    if value is None or not value.isdigit():
        return None
    # `int` refuses numbers of thousands of digits.
    digits = value.lstrip(b"0") or b"0"
    if len(digits) > MAX_KEY_DIGITS:
        return None
    key = int(digits)
    return key if key < model.KEY_SPACE_SIZE else None


def read_milliseconds(value: bytes | None) -> datetime.timedelta | None:
    """Return the duration in a header value, or None if it is invalid."""
    if value is None or not value.isdigit() or len(value) > 9:
        return None
    return datetime.timedelta(milliseconds=int(value))
