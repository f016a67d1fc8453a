"""Dispatch of HTTP requests to handlers by method and path, for small calls."""

import json
import re
import urllib.parse
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

from dewstep_core.http import exchanges


class Call(NamedTuple):
    """A complete request, as passed to the handlers of `Routes`."""

    exchange: exchanges.Exchange
    parameter: str
    """Text that matched the parameter of the route's template, "" without one."""
    query: Mapping[str, str]
    body: bytes

    def read_json(self) -> Any:
        """Return the decoded body, or None if it is not valid JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


RouteHandler = Callable[[Call], Awaitable[exchanges.Response]]


class Route(NamedTuple):
    """A handler with the method and the paths for which it is registered."""

    method: str
    pattern: re.Pattern
    handler: RouteHandler


class Routes:
    """Handlers by method and path; `handle` is the `Handler` for a `Server`.

    Parameters
    ----------
    body_limit : int, optional
        Maximum size of a request body in bytes.
    """

    def __init__(self, body_limit: int = exchanges.MAXIMUM_BODY_BYTES):
        self.body_limit = body_limit
        self.routes: list[Route] = []

    def add(self, method: str, template: str, handler: RouteHandler) -> None:
        """Register a handler.

        Parameters
        ----------
        method : str
            HTTP method.
        template : str
            Path. A `{name}` at its end matches the rest of the path, slashes included.
        handler : RouteHandler
            Returns the response to a `Call`.
        """
        fixed, brace, _ = template.partition("{")
        pattern = re.compile(re.escape(fixed) + ("(.+)" if brace else "()"), re.DOTALL)
        self.routes.append(Route(method, pattern, handler))

    def find_handler(
        self, method: str, path: str
    ) -> tuple[RouteHandler | None, str, bool]:
        """Return the handler, its parameter, and whether the path has any handler."""
        path_known = False
        for route in self.routes:
            if match := route.pattern.fullmatch(path):
                if route.method == method:
                    return route.handler, match[1], True
                path_known = True
        return None, "", path_known

    async def answer(self, exchange: exchanges.Exchange) -> exchanges.Response:
        """Return the response to a request without sending it."""
        handler, parameter, path_known = self.find_handler(
            exchange.method, exchange.path
        )
        if handler is None:
            return exchanges.build_json(
                405 if path_known else 404, {"error": "no such route"}
            )
        try:
            body = await exchange.read_body(self.body_limit)
        except exchanges.BodyTooLong:
            return exchanges.build_json(413, {"error": "body too long"})
        query = dict(urllib.parse.parse_qsl(exchange.query, keep_blank_values=True))
        return await handler(Call(exchange, parameter, query, body))

    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Answer a request."""
        exchange.respond(await self.answer(exchange))
