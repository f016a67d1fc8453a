"""Parses a request head into service, kind, key, request id and deadline.

The routes of a configuration are compiled once per revision. Routes are looked up by
method and number of path segments and then compared segment by segment, so that the
cost of a request does not grow with the number of services.
"""

import datetime
import secrets
import urllib.parse
from collections.abc import Mapping
from typing import NamedTuple

from returns import result

from dewstep_core import data, errors
from dewstep_entry import interfaces

KEY_SEGMENT = "{key}"
MAXIMUM_ID_BYTES = 255
MAXIMUM_DEADLINE_DIGITS = 9
GENERATED_ID_BYTES = 16
ID_HEADER = b"idempotency-key"
DEADLINE_HEADER = b"dewstep-deadline-ms"


class Route(NamedTuple):
    """A request kind with its path template, split into segments."""

    service: data.Service
    kind: data.RequestKind
    segments: tuple[str, ...]
    key_position: int | None
    """Index of the path segment that holds the key; None if the path has no key."""


class RouteTable(NamedTuple):
    """Routes of one configuration revision, by method and number of path segments."""

    revision: int
    routes: Mapping[tuple[str, int], tuple[Route, ...]]


NO_ROUTES = RouteTable(0, {})


def compile_routes(configuration: data.Configuration) -> RouteTable:
    """Return the routes of all request kinds of `configuration`."""
    routes: dict[tuple[str, int], list[Route]] = {}
    for service in configuration.services.values():
        for kind in service.kinds:
            segments = tuple(kind.path.strip("/").split("/"))
            key_position = (
                segments.index(KEY_SEGMENT) if KEY_SEGMENT in segments else None
            )
            route = Route(service, kind, segments, key_position)
            routes.setdefault((kind.method, len(segments)), []).append(route)
    return RouteTable(
        configuration.revision, {key: tuple(found) for key, found in routes.items()}
    )


def match_route(routes: RouteTable, method: str, path: str) -> Route | None:
    """Return the route whose template matches `path`, or None."""
    segments = path.strip("/").split("/")
    for route in routes.routes.get((method, len(segments)), ()):
        if all(
            expected in (KEY_SEGMENT, found)
            for expected, found in zip(route.segments, segments, strict=True)
        ):
            return route
    return None


def list_header_values(headers: data.Headers, name: bytes) -> list[bytes]:
    """Return the values of all headers named `name` (in lower case)."""
    return [value for header, value in headers if header == name]


def list_key_values(
    route: Route, path: str, query: str, headers: data.Headers
) -> list[str]:
    """Return all values in the request of the part that contains the service's key."""
    part = route.service.key_part
    if part.source == "header":
        name = part.name.lower().encode()
        return [
            value.decode("utf-8", "replace").strip()
            for value in list_header_values(headers, name)
        ]
    if part.source == "query":
        pairs = urllib.parse.parse_qsl(query, keep_blank_values=True)
        return [value for name, value in pairs if name == part.name]
    if route.key_position is None:
        return []
    segment = path.strip("/").split("/")[route.key_position]
    return [urllib.parse.unquote(segment)]


def extract_key(
    route: Route, path: str, query: str, headers: data.Headers
) -> result.Result[str, interfaces.Failure]:
    """Return the key of a request, or the failure if there is not one valid key."""
    service = route.service
    values = list_key_values(route, path, query, headers)
    part = f"{service.key_part.source}:{service.key_part.name}"
    if len(values) > 1:
        return result.Failure(errors.KeyRepeated(service.name, part))
    if not values or not values[0]:
        return result.Failure(errors.KeyMissing(service.name, part))
    size = len(values[0].encode())
    if size > service.maximum_key_bytes:
        limit = service.maximum_key_bytes
        return result.Failure(errors.KeyTooLong(service.name, size, limit))
    return result.Success(values[0])


def extract_request_id(
    headers: data.Headers,
) -> result.Result[tuple[str, bool], interfaces.Failure]:
    """Return the request id and whether it was generated here."""
    values = list_header_values(headers, ID_HEADER)
    if not values:
        return result.Success((secrets.token_hex(GENERATED_ID_BYTES), True))
    if len(values) > 1:
        return result.Failure(
            errors.MalformedRequest(
                f"Idempotency-Key is given {len(values)} times, at most 1 is allowed"
            )
        )
    text = values[0].decode("latin-1")
    if not text or len(text) > MAXIMUM_ID_BYTES or not text.isascii():
        detail = (
            f"Idempotency-Key must have 1 to {MAXIMUM_ID_BYTES} characters, all ASCII; "
            f"got {len(text)} characters"
        )
        return result.Failure(errors.MalformedRequest(detail))
    if not text.isprintable() or "/" in text:
        detail = "Idempotency-Key must be printable and must not contain '/'"
        return result.Failure(errors.MalformedRequest(detail))
    return result.Success((text, False))


def extract_time_limit(
    headers: data.Headers, kind: data.RequestKind
) -> result.Result[datetime.timedelta, interfaces.Failure]:
    """Return the time limit that the caller set, at most that of the request kind."""
    values = list_header_values(headers, DEADLINE_HEADER)
    if not values:
        return result.Success(kind.deadline)
    text = values[0].decode("latin-1")
    digits = text.isascii() and text.isdigit()
    if len(values) > 1 or not digits or len(text) > MAXIMUM_DEADLINE_DIGITS:
        detail = (
            "Dewstep-Deadline-Ms must be one whole number of milliseconds with at most "
            f"{MAXIMUM_DEADLINE_DIGITS} digits"
        )
        return result.Failure(errors.MalformedRequest(detail))
    return result.Success(
        min(datetime.timedelta(milliseconds=int(text)), kind.deadline)
    )


def identify_request(
    routes: RouteTable,
    now: datetime.timedelta,
    method: bytes,
    target: bytes,
    headers: data.Headers,
    body_length: int | None,
) -> result.Result[data.Request, interfaces.Failure]:
    """Return the request that a message head describes, without its body.

    Parameters
    ----------
    routes : RouteTable
        Routes of the current configuration.
    now : datetime.timedelta
        Current monotonic time, from which the deadline is counted.
    method, target : bytes
        Method and target of the request line.
    headers : data.Headers
        Headers with names in lower case.
    body_length : int or None
        Announced length in bytes, or None for a chunked body.
    """
    if not routes.routes:
        return result.Failure(errors.NotReady("configuration"))
    method_text = method.decode("latin-1")
    target_text = target.decode("latin-1")
    path, _, query = target_text.partition("?")
    route = match_route(routes, method_text, path)
    if route is None:
        return result.Failure(errors.UnknownService(method_text, path))
    if body_length is not None and body_length > route.kind.maximum_body_bytes:
        return result.Failure(errors.BodyTooLarge(route.kind.maximum_body_bytes))
    return result.Result.do(
        data.Request(
            service=route.service.name,
            kind=route.kind.name,
            key=key,
            request_id=request_id,
            generated_id=generated,
            method=method_text,
            path=target_text,
            headers=headers,
            body_length=body_length,
            body=data.Body(b"", None),
            deadline=now + time_limit,
        )
        for key in extract_key(route, path, query, headers)
        for request_id, generated in extract_request_id(headers)
        for time_limit in extract_time_limit(headers, route.kind)
    )
