"""Finds the route of a request and chooses the service that serves it."""

import re
from typing import NamedTuple

from dewstep_core import data
from dewstep_fleet import model

_AUTHORITY_END = re.compile(rb"[/?]")


class Index(NamedTuple):
    """The routes of one route table, indexed for look-ups."""

    version: int
    hosts: dict[str, dict[str, model.Route]]
    """Routes by host and prefix."""


EMPTY_INDEX = Index(-1, {})


def build_index(table: model.RouteTable) -> Index:
    """Return an index of all routes."""
    hosts: dict[str, dict[str, model.Route]] = {}
    for route in table.routes:
        hosts.setdefault(route.host.lower(), {})[route.prefix] = route
    return Index(table.version, hosts)


def find_route(index: Index, host: str, path: str) -> model.Route | None:
    """Return the route with the longest matching prefix, or None."""
    prefixes = index.hosts.get(host.lower())
    if prefixes is None:
        name, _, port = host.rpartition(":")
        if port.isdigit():
            prefixes = index.hosts.get(name.lower())
    if prefixes is None:
        return None
    path = path.partition("?")[0]
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
    return None


def resolve_target(target: bytes, headers: data.Headers) -> tuple[bytes, data.Headers]:
    """Return path and headers of a request whose target may be a complete URI.

    The host in the URI then replaces that in the headers (RFC 9112, section 3.2.2).
    """
    scheme, found, rest = target.partition(b"://")
    if not found or scheme.lower() not in (b"http", b"https"):
        return target, headers
    end = _AUTHORITY_END.search(rest)
    position = end.start() if end is not None else len(rest)
    path = rest[position:]
    if not path.startswith(b"/"):
        path = b"/" + path
    kept = tuple(item for item in headers if item[0] != b"host")
    return path, ((b"host", rest[:position]), *kept)


def group_by_service(table: model.RouteTable) -> dict[str, list[model.Route]]:
    """Return the routes to each service."""
    found: dict[str, list[model.Route]] = {}
    for route in table.routes:
        for weighted_service in route.weighted_services:
            found.setdefault(weighted_service.service, []).append(route)
    return found


class Splitter:
    """Distributes the requests of each route by smooth weighted round-robin.

    The service furthest below its share gets the next request, so the shares hold over
    any sequence of requests, not only on average.
    """

    def __init__(self):
        self.credits: dict[
            tuple[str, tuple[model.WeightedService, ...]], list[float]
        ] = {}
        """Requests that each service of a route is behind its share, by route name and
        services."""

    def choose_service(self, route: model.Route) -> str:
        """Return the service that gets the next request of `route`."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        weights = [
            max(0.0, weighted_service.weight)
            for weighted_service in route.weighted_services
        ]
        total = sum(weights)
        if total <= 0:
            return route.weighted_services[0].service
        credits = self.credits.setdefault(
            (route.name, route.weighted_services), [0.0] * len(weights)
        )
        for position, weight in enumerate(weights):
            credits[position] += weight / total
        chosen = max(range(len(weights)), key=credits.__getitem__)
        credits[chosen] -= 1
        return route.weighted_services[chosen].service
