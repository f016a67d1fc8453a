"""The HTTP server for operators: state dump, members, orders and fault injection."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

from returns import result

from dewstep_core import settings
from dewstep_core.http import exchanges, routing, server
from dewstep_entry import failures, interfaces
from dewstep_entry.state import view


class MoveOrder(NamedTuple):
    """An operator's order to move a shard or one key to a target."""

    service: str
    shard: int | None
    key: str | None
    target: str


class InvalidOrder(NamedTuple):
    """An order that does not have the documented form."""

    expected: str


def parse_order(value: Any) -> result.Result[MoveOrder, InvalidOrder]:
    """Return the order in the body of `POST /orders/move`."""
    expected = "service, target, and either shard (integer) or key (string)"
    if not isinstance(value, Mapping):
        return result.Failure(InvalidOrder(expected))
    order = MoveOrder(
        value.get("service"), value.get("shard"), value.get("key"), value.get("target")
    )
    has_names = isinstance(order.service, str) and isinstance(order.target, str)
    by_shard = isinstance(order.shard, int) and order.key is None
    by_key = isinstance(order.key, str) and order.shard is None
    if not has_names or by_shard == by_key:
        return result.Failure(InvalidOrder(expected))
    return result.Success(order)


def build_members_answer(current: view.View) -> dict[str, Any]:
    """Return the answer to `GET /members`."""
    return {
        "members": [
            {
                "entry": state.member.entry,
                "incarnation": state.member.incarnation,
                "data_centre": state.member.data_centre,
                "operator_address": settings.format_address(
                    settings.Address(state.member.host, state.member.operator_port)
                ),
                "alive": state.alive,
            }
            for state in sorted(current.members.values(), key=lambda s: s.member.entry)
        ]
    }


class OperatorServer:
    """The HTTP server for operators.

    Parameters
    ----------
    holder : view.ViewHolder
    build_dump : callable
        Returns the state dump.
    execute_move : callable
        Executes a `MoveOrder`.
    set_partition : callable or None
        Simulates a partition from peers; None if fault injection is disabled.
    """

    def __init__(
        self,
        holder: view.ViewHolder,
        build_dump: Callable[[], Mapping[str, Any]],
        execute_move: Callable[
            [MoveOrder], Awaitable[result.Result[Any, interfaces.Failure]]
        ],
        set_partition: Callable[[list[str]], None] | None,
    ):
        self.holder = holder
        self.build_dump = build_dump
        self.execute_move = execute_move
        self.set_partition = set_partition
        routes = routing.Routes()
        routes.add("GET", "/dump", self.answer_dump)
        routes.add("GET", "/members", self.answer_members)
        routes.add("POST", "/orders/move", self.answer_move)
        if set_partition is not None:
            routes.add("POST", "/faults/cut", self.answer_partition)
        self.server = server.Server(routes.handle)

    async def start(self, address: settings.Address) -> settings.Address:
        """Listen and return the bound address."""
        return await self.server.start(*address)

    async def close(self) -> None:
        """Stop listening."""
        await self.server.close(grace=1.0)

    async def answer_dump(self, call: routing.Call) -> exchanges.Response:
        """Answer `GET /dump`."""
        return exchanges.build_json(200, self.build_dump())

    async def answer_members(self, call: routing.Call) -> exchanges.Response:
        """Answer `GET /members`."""
        return exchanges.build_json(200, build_members_answer(self.holder.current))

    async def answer_move(self, call: routing.Call) -> exchanges.Response:
        """Answer `POST /orders/move`."""
        order = parse_order(call.read_json())
        if isinstance(order, result.Failure):
            return exchanges.build_json(400, {"expected": order.failure().expected})
        outcome = await self.execute_move(order.unwrap())
        if isinstance(outcome, result.Failure):
            failure = outcome.failure()
            content = {
                "type": type(failure).__name__,
                "detail": failures.encode_fields(failure),
            }
            return exchanges.build_json(409, content)
        return exchanges.build_json(200, {"moved": True})

    async def answer_partition(self, call: routing.Call) -> exchanges.Response:
        """Answer `POST /faults/cut`."""
        value = call.read_json()
        names = value.get("names") if isinstance(value, Mapping) else None
        if not isinstance(names, list):
            return exchanges.build_json(400, {"expected": "names (list)"})
        self.set_partition([str(name) for name in names])
        return exchanges.build_json(200, {"cut": names})
