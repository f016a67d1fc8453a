"""Which targets and instances may get a request, and which targets may own keys.

The newest known configuration decides, also for requests that were planned by an
earlier one. Without any route that names regions, each question on the way of a request
ends with its first check, before any further call.
"""

from collections.abc import Collection, Iterable
from typing import Any

from dewstep_core import errors, events
from dewstep_fleet import model, routes
from dewstep_fleet.regions import places

UNREACHED_FAILURES = errors.TargetUnavailable | errors.NotReady | errors.RelayRefused
"""Failures after which no allowed target could be reached."""


class RegionRules:
    """The regions that the configuration allows for routes and services."""

    def __init__(self):
        self.places = places.NO_PLACES
        self.index = routes.EMPTY_INDEX
        """All routes, if one of them names regions."""
        self.restricted = False
        """Whether a route names regions."""
        self.service_regions: dict[str, frozenset[str]] = {}
        """Allowed regions of the keyed services whose routes all name the same ones."""

    def set_places(self, known: places.Places) -> None:
        """Apply what the settings say about regions."""
        self.places = known

    def apply_table(self, table: model.RouteTable) -> None:
        """Apply a new configuration."""
        self.restricted = any(route.permitted_regions for route in table.routes)
        self.index = routes.EMPTY_INDEX
        self.service_regions = {}
        if not self.restricted:
            return
        self.index = routes.build_index(table)
        for name, found in routes.group_by_service(table).items():
            allowed = {frozenset(route.permitted_regions) for route in found}
            service = table.services.get(name)
            if service is not None and service.keyed and len(allowed) == 1:
                self.service_regions[name] = allowed.pop()
        self.service_regions = {
            name: allowed for name, allowed in self.service_regions.items() if allowed
        }
        if not self.places.by_data_centre:
            events.error("regions_unknown", configuration=table.version)

    # Requests.

    def list_bounds(
        self, request: model.IncomingRequest, route: model.Route
    ) -> tuple[tuple[str, ...], ...]:
        """Return the lists of regions that bound a request; a region must be in each.

        Parameters
        ----------
        request : model.IncomingRequest
        route : model.Route
            Route by which the request was planned. It decides if the newest
            configuration has no route for the request.
        """
        if not self.restricted and not request.relayed_regions:
            return ()
        allowed: tuple[str, ...] = ()
        if self.restricted:
            host = dict(request.headers).get(b"host", b"").decode("latin-1")
            current = routes.find_route(self.index, host, request.path)
            allowed = (route if current is None else current).permitted_regions
        return tuple(item for item in (allowed, request.relayed_regions) if item)

    def is_restricted(self, request: model.IncomingRequest, route: model.Route) -> bool:
        """Whether a request must stay in certain regions."""
        return bool(self.list_bounds(request, route))

    def select_targets(
        self,
        request: model.IncomingRequest,
        route: model.Route,
        targets: tuple[model.Target, ...],
    ) -> tuple[model.Target, ...]:
        """Return the targets that may get a request."""
        if not (self.restricted or request.relayed_regions):
            return targets
        bounds = self.list_bounds(request, route)
        if not bounds:
            return targets
        return tuple(target for target in targets if self._is_inside(bounds, target))

    def _is_inside(
        self, bounds: Iterable[Collection[str]], target: model.Target
    ) -> bool:
        region = self.places.find_region(target.data_centre)
        return bool(region) and all(region in allowed for allowed in bounds)

    def allows_member(
        self, request: model.IncomingRequest, route: model.Route, member: model.Member
    ) -> bool:
        """Whether a request may be passed on to another instance."""
        bounds = self.list_bounds(request, route)
        if not bounds:
            return True
        region = self.places.find_member_region(member)
        if not region:
            return False
        return region == self.places.own or all(region in item for item in bounds)

    def list_sent_regions(
        self, request: model.IncomingRequest, route: model.Route
    ) -> tuple[str, ...]:
        """Return the allowed regions to send along with a request that is passed on."""
        bounds = self.list_bounds(request, route)
        return bounds[0] if bounds else ()

    # Failures.

    def build_failure(
        self,
        request: model.IncomingRequest,
        route: model.Route,
        service: str,
        reason: str,
    ) -> errors.RegionUnavailable:
        """Return the failure of a request for which there is no allowed target."""
        bounds = self.list_bounds(request, route)
        names = sorted({name for allowed in bounds for name in allowed})
        return errors.RegionUnavailable(service, ",".join(names), reason)

    def refuse_target(
        self, request: model.IncomingRequest, route: model.Route, target: model.Target
    ) -> errors.RegionUnavailable | None:
        """Return the failure of a request that a target must not get, or None."""
        if not (self.restricted or request.relayed_regions):
            return None
        bounds = self.list_bounds(request, route)
        if not bounds or self._is_inside(bounds, target):
            return None
        region = self.places.find_region(target.data_centre) or "an unknown region"
        reason = f"{target.name} in {target.data_centre} is in {region}"
        return self.build_failure(request, route, target.service, reason)

    def choose_failure(
        self,
        request: model.IncomingRequest,
        route: model.Route,
        service: str,
        failure: Any,
    ) -> Any:
        """Return the failure to report to a caller that no allowed target could serve.

        Instances that pass on requests are told the original one, which says whether
        to try the next instance.
        """
        if not isinstance(failure, UNREACHED_FAILURES):
            return failure
        if request.relayed_attempts is not None:
            return failure
        if not self.is_restricted(request, route):
            return failure
        reason = f"{type(failure).__name__}: {failure[-1]}"
        return self.build_failure(request, route, service, reason)

    # Keys.

    def may_own(self, target: model.Target) -> bool:
        """Whether a target may own keys of its service."""
        allowed = self.service_regions.get(target.service)
        return allowed is None or self._is_inside((allowed,), target)

    # Operators.

    def log_attempt(
        self, request: model.IncomingRequest, route: model.Route, target: model.Target
    ) -> None:
        """Log the regions of an attempt to send a request that must stay in some."""
        if not (self.restricted or request.relayed_regions):
            return
        bounds = self.list_bounds(request, route)
        if bounds:
            events.info(
                "region_checked",
                request_id=request.request_id,
                target=target.name,
                region=self.places.find_region(target.data_centre),
                permitted_regions=",".join(bounds[0]),
            )

    def describe(self, table: model.RouteTable | None) -> dict[str, Any]:
        """Return what is known of regions and their rules, for operators."""
        return {
            "own": self.places.own,
            "data_centres": dict(self.places.by_data_centre),
            "routes": {
                route.name: list(route.permitted_regions)
                for route in (table.routes if table is not None else ())
                if route.permitted_regions
            },
            "keyed_services": {
                name: sorted(allowed) for name, allowed in self.service_regions.items()
            },
        }
