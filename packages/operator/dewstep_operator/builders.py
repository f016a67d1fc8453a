"""Test doubles for the commands: a small deployment in memory."""

import asyncio
import inspect
import itertools
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from returns import result
from typer import testing

from dewstep_core import clocks, data, errors, settings
from dewstep_core.platform import memory_table
from dewstep_operator import failures, main, output, sessions

RECORDS = """
[[service]]
schema = 1
name = "history"
key = "path"
shard_count = 4
[[service.kind]]
name = "due"
method = "GET"
path = "/history/{key}/due"
idempotent = true
deadline_ms = 1500
[[target]]
schema = 1
name = "h1"
service = "history"
data_centre = "ub1"
host = "127.0.0.1"
port = 7001
slots = 4
connections = 110
fenced = true
"""
SECOND_TARGET = RECORDS[RECORDS.index("[[target]]") :].replace("h1", "h2")
TWO_TARGETS = RECORDS + SECOND_TARGET
ADDRESS_A = settings.Address("127.0.0.1", 9001)
ADDRESS_B = settings.Address("127.0.0.1", 9002)


class SteppingClock(clocks.ManualClock):
    """A manual clock that each sleep advances, without taking real time.

    Each sleep first calls the next of `sleep_callbacks`, with which a test controls
    what happens while a command waits.
    """

    def __init__(self):
        super().__init__()
        self.sleep_callbacks: list[Callable[[], Any]] = []

    async def sleep(self, duration) -> None:
        """Call the next callback and advance the time by `duration`."""
        if self.sleep_callbacks:
            callback_result = self.sleep_callbacks.pop(0)()
            if inspect.isawaitable(callback_result):
                await callback_result
        self.advance(duration)


class HookedTable(memory_table.MemoryTable):
    """An in-memory table that calls `before_commit` before the next commit."""

    def __init__(self):
        super().__init__()
        self.before_commit: Callable[[], Awaitable] | None = None
        self.down_after_loss = False

    async def commit(self, transaction: data.Transaction) -> result.Result:
        """Await `before_commit` once, then apply `transaction`."""
        callback, self.before_commit = self.before_commit, None
        if callback is not None:
            await callback()
        outcome = await super().commit(transaction)
        lost = isinstance(outcome, result.Failure) and isinstance(
            outcome.failure(), errors.AnswerLost
        )
        self.down = self.down or (lost and self.down_after_loss)
        return outcome


class FakeEntryClient:
    """Operator ports of entry processes, as JSON documents by address and path."""

    def __init__(self):
        self.documents: dict[tuple[settings.Address, str], Any] = {}
        self.orders: list[tuple[settings.Address, Mapping]] = []
        self.on_order: Callable[[Mapping], result.Result] = lambda order: (
            result.Success({"moved": True})
        )

    async def get(self, address: settings.Address, path: str) -> result.Result:
        """Return the document at `path`, or `EntryUnreachable` if there is none."""
        if (address, path) in self.documents:
            return result.Success(self.documents[address, path])
        name = settings.format_address(address)
        return result.Failure(failures.EntryUnreachable(name, "refused"))

    async def post(
        self, address: settings.Address, path: str, document: Mapping
    ) -> result.Result:
        """Record the order and return the result of `on_order`."""
        self.orders.append((address, document))
        return self.on_order(document)


class FakeDeployment:
    """A table, entry processes and a clock, shared by the sessions of operators."""

    def __init__(self):
        self.table = HookedTable()
        self.entry_client = FakeEntryClient()
        self.clock = SteppingClock()
        self.operation_ids = itertools.count(1)
        self.prompt_answers: list[str] = []

    def open_session(
        self, author: str = "ana@desk", as_json: bool = False
    ) -> sessions.Session:
        """Return the session of one operator."""
        return sessions.Session(
            self.table,
            self.entry_client,
            (ADDRESS_A,),
            self.clock,
            output.JsonOutput() if as_json else output.TextOutput(),
            author,
            lambda: f"op-{next(self.operation_ids)}",
            lambda question: self.prompt_answers.pop(0),
        )

    def run(self, *arguments: str) -> testing.Result:
        """Run the command line as operator "ana@desk"."""

        def opener(options):
            return result.Success(self.open_session(as_json=options.as_json))

        return testing.CliRunner().invoke(main.app, list(arguments), obj=opener)

    def put_row(self, key: str, value: Mapping | None) -> None:
        """Write a row without checking its version."""
        write = (data.Write(key, value),)
        self.table.apply(data.Transaction("put", (), write)).unwrap()

    def get_value(self, key: str) -> Mapping | None:
        """Return the value of a row."""
        return self.table.get_row(key).value

    def put_fleet(self) -> None:
        """Write an assignment and gate rows, and add two fake entry processes."""
        owners = ["h1", "h1", "h1", "h2"]
        self.put_row("assignment/history", {"owners": owners, "overrides": {"7": "h2"}})
        members = []
        for number, (name, address) in enumerate(
            (("ub1-a", ADDRESS_A), ("ub1-b", ADDRESS_B)), 1
        ):
            gate = {"entry": name, "incarnation": "i1", "host": "127.0.0.1"}
            self.put_row(
                f"gate/h{number}", {**gate, "port": 8000 + number, "term": number}
            )
            members.append(
                {
                    "entry": name,
                    "incarnation": "i1",
                    "data_centre": "ub1",
                    "operator_address": settings.format_address(address),
                    "alive": True,
                }
            )
            self.put_dump(address, 1, f"h{number}", 0)
        self.entry_client.documents[ADDRESS_A, "/members"] = {"members": members}

    def put_dump(
        self, address: settings.Address, revision: int, target: str, running: int
    ) -> None:
        """Set the dump of one entry process."""
        self.entry_client.documents[address, "/dump"] = {
            "revision": revision,
            "gates": {target: {"term": 1, "running": running}},
        }


def run_coroutine(awaitable: Awaitable) -> Any:
    """Run a coroutine in a new event loop and return its result."""
    return asyncio.run(awaitable)
