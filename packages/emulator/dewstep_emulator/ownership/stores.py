"""The platform's store in memory, with the faults that its interface allows.

Each view acts like one instance's `dewstep_platform.store.StoreClient`: it knows the
era of the last answers, includes it in all versions, and reports each failure as the
client does. The store itself assigns versions without eras.

All changes are kept in a log, from which the store answers outdated reads and returns
to an older copy.
"""

import asyncio
import bisect
import datetime
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

from returns import result

from dewstep_core import clocks, errors
from dewstep_emulator.ownership import deadlines
from dewstep_fleet import model

CALL_TIMEOUT = datetime.timedelta(milliseconds=600)
CHECK_TIMEOUT = datetime.timedelta(milliseconds=1500)
"""Both as `dewstep_platform.store`."""
WATCH_MARGIN = datetime.timedelta(milliseconds=600)
READ_TIME = datetime.timedelta(milliseconds=4)
COMMIT_TIME = datetime.timedelta(milliseconds=8)
REWRITE_TIME = datetime.timedelta(seconds=2)
"""Time within which operators and targets write again what a restore has lost."""

READ, WATCH, COMMIT = "read", "watch", "commit"
CALLS = (READ, WATCH, COMMIT)
NO_TABLE = ""
"""Table of the log entries of transactions that write no rows."""
UNAVAILABLE, RATE_EXCEEDED, RESET, SILENT = (
    "unavailable",
    "rate_exceeded",
    "reset",
    "silent",
)
"""Ways to refuse a call: status 503, status 429, a reset connection, no answer."""


class Refusal(NamedTuple):
    """Calls that the store refuses without any effect."""

    how: str
    calls: tuple[str, ...] = CALLS
    nodes: tuple[str, ...] = ()
    """Instances whose calls are refused; all of them if empty."""


class CommitFaults(NamedTuple):
    """Shares of the transactions that fail in some way."""

    lost_answers: float = 0.0
    """Transactions that are performed and not answered."""
    late: float = 0.0
    """Transactions that are not answered and are performed late, if their condition
    still holds."""
    max_lateness: datetime.timedelta = datetime.timedelta(seconds=3)


class Change(NamedTuple):
    """A row that was written, or removed if `value` is None."""

    at: datetime.timedelta
    version: int
    table: str
    key: str
    value: bytes | None


class Answer(NamedTuple):
    """What the store answers to a successful call."""

    era: int
    version: int
    rows: tuple[Change, ...] = ()


def get_time(change: Change) -> datetime.timedelta:
    """Return the sort key for the time of a change."""
    return change.at


def get_version(change: Change) -> int:
    """Return the sort key for the version of a change."""
    return change.version


class Refused(Exception):
    """The store answers with the failure `args[0]`."""


class SimulatedStore:
    """The store, which several instances call.

    Parameters
    ----------
    clock : clocks.Clock
    generator : random.Random
    """

    def __init__(self, clock: clocks.Clock, generator: random.Random):
        self.clock = clock
        self.generator = generator
        self.tasks = deadlines.Tasks()
        self.era = 0
        self.version = 0
        self.oldest_version = 0
        """Oldest version from which a watch can continue."""
        self.log: list[Change] = []
        """All changes in the order of their versions."""
        self.rows: dict[tuple[str, str], Change] = {}
        """The newest change of each row."""
        self.written_outside: dict[tuple[str, str], bytes | None] = {}
        """What operators and targets wrote last to each of their rows."""
        self.refusals: list[Refusal] = []
        """The first one that applies to a call decides how it is refused."""
        self.commit_faults = CommitFaults()
        self.slowness = 1.0
        """Factor by which all calls take longer."""
        self.read_age = datetime.timedelta()
        """How old the rows are that reads and watches return."""
        self.watchers: dict[asyncio.Future, None] = {}
        """Futures of the waiting watches, in the order of their start."""

    def view(self, node: str, link: deadlines.Link) -> "StoreView":
        """Return one instance's access to the store."""
        return StoreView(self, node, link)

    def close(self) -> None:
        """Cancel all calls in progress and all late writes."""
        self.tasks.close()

    # Writes of operators and targets, and faults.

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write or remove a row as an operator or a target; return the version."""
        self.version += 1
        if table != model.TABLES.fleet:
            self.written_outside[table, key] = value
        self._append(table, key, value)
        return self.version

    def get(self, table: str, key: str) -> Change | None:
        """Return the newest change of a row, or None if there is no such row."""
        change = self.rows.get((table, key))
        return change if change is not None and change.value is not None else None

    def is_up(self) -> bool:
        """Whether the store accepts writes of operators and targets."""
        return not any(
            COMMIT in refusal.calls and not refusal.nodes for refusal in self.refusals
        )

    def drop_history(self) -> None:
        """Forget the changes, so that watches have to begin with a new read."""
        self.oldest_version = self.version
        self._wake_watchers()

    def restore(self, age: datetime.timedelta) -> None:
        """Begin a new era with a copy that is `age` old.

        Operators and targets write again what they wrote since, within `REWRITE_TIME`.
        """
        copied_at = self.clock.monotonic() - age
        kept = [change for change in self.log if change.at <= copied_at]
        self.era += 1
        self.log = kept
        self.rows = {(change.table, change.key): change for change in kept}
        self.version = kept[-1].version if kept else 0
        self.oldest_version = min(self.oldest_version, self.version)
        for table, key in self.written_outside:
            if not self._is_intact(table, key):
                self.tasks.start(self._write_again(table, key))
        self._wake_watchers()

    async def _write_again(self, table: str, key: str) -> None:
        """Write a row of operators or targets that was lost."""
        await self.clock.sleep(REWRITE_TIME * self.generator.random())
        while not self.is_up():
            await self.clock.sleep(REWRITE_TIME * self.generator.random())
        if not self._is_intact(table, key):
            self.put(table, key, self.written_outside[table, key])

    def _is_intact(self, table: str, key: str) -> bool:
        """Whether a row is as operators or targets wrote it last."""
        change = self.get(table, key)
        value = change.value if change is not None else None
        return value == self.written_outside[table, key]

    def _append(self, table: str, key: str, value: bytes | None) -> None:
        change = Change(self.clock.monotonic(), self.version, table, key, value)
        self.log.append(change)
        self.rows[table, key] = change
        self._wake_watchers()
        if self.read_age:
            self.tasks.start(self._wake_later(self.read_age))

    async def _wake_later(self, duration: datetime.timedelta) -> None:
        await self.clock.sleep(duration)
        self._wake_watchers()

    def _wake_watchers(self) -> None:
        watchers, self.watchers = self.watchers, {}
        for future in watchers:
            if not future.done():
                future.set_result(None)

    # Calls.

    def list_visible(self) -> list[Change]:
        """Return the changes that reads return now, in order."""
        if not self.read_age:
            return self.log
        newest = self.clock.monotonic() - self.read_age
        return self.log[: bisect.bisect_right(self.log, newest, key=get_time)]

    async def read(self, node: str, table: str) -> Answer:
        """Return the rows of a table."""
        await self._admit(READ, node, READ_TIME)
        visible = self.list_visible()
        rows = {change.key: change for change in visible if change.table == table}
        existing = (rows[key] for key in sorted(rows))
        return Answer(
            self.era,
            self._get_visible_version(visible),
            tuple(change for change in existing if change.value is not None),
        )

    async def watch(
        self, node: str, table: str, after: int, wait: datetime.timedelta
    ) -> Answer:
        """Return the rows that changed after a version, in the order of change."""
        await self._admit(WATCH, node, READ_TIME)
        deadline = self.clock.monotonic() + wait
        while True:
            if not self.oldest_version <= after <= self.version:
                raise Refused(model.HistoryGone(table))
            visible = self.list_visible()
            rows: dict[str, Change] = {}
            first = bisect.bisect_right(visible, after, key=get_version)
            for change in visible[first:]:
                if change.table == table:
                    rows.pop(change.key, None)
                    rows[change.key] = change
            left = deadline - self.clock.monotonic()
            if rows or left <= datetime.timedelta():
                version = self._get_visible_version(visible)
                await self._refuse(WATCH, node)
                return Answer(self.era, version, tuple(rows.values()))
            future = asyncio.get_running_loop().create_future()
            self.watchers[future] = None
            try:
                await deadlines.wait_for(self.clock, future, left)
            except TimeoutError:
                self.watchers.pop(future, None)

    async def commit(
        self,
        node: str,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes | None],
    ) -> Answer:
        """Write rows of the fleet's table if the expected versions are current."""
        await self._admit(COMMIT, node, COMMIT_TIME)
        faults = self.commit_faults
        if self.generator.random() < faults.late:
            await self.clock.sleep(faults.max_lateness * self.generator.random())
            if self.is_up():
                self._apply(expected, writes)
            await self._be_silent()
        if self.generator.random() < faults.lost_answers:
            self._apply(expected, writes)
            raise ConnectionResetError
        self._apply(expected, writes)
        return Answer(self.era, self.version)

    def _apply(
        self, expected: Mapping[str, int], writes: Mapping[str, bytes | None]
    ) -> None:
        table = model.TABLES.fleet
        for key, version in expected.items():
            change = self.get(table, key)
            if (change.version if change is not None else 0) != version:
                raise Refused(errors.Conflict(tuple(expected)))
        self.version += 1
        for key, value in writes.items():
            self._append(table, key, value)
        if not writes:
            # Keeps the version in the log, for outdated reads and restores.
            self._append(NO_TABLE, "", None)

    def _get_visible_version(self, visible: list[Change]) -> int:
        return visible[-1].version if visible else 0

    async def _admit(self, call: str, node: str, duration: datetime.timedelta) -> None:
        """Let a call take its time, or refuse it."""
        await self._refuse(call, node)
        await self.clock.sleep(duration * self.slowness)

    async def _refuse(self, call: str, node: str) -> None:
        """Refuse a call if the store refuses such calls now."""
        for refusal in self.refusals:
            if call not in refusal.calls or (
                refusal.nodes and node not in refusal.nodes
            ):
                continue
            if refusal.how == UNAVAILABLE:
                raise Refused(errors.PlatformUnavailable("store: status 503"))
            if refusal.how == RATE_EXCEEDED:
                raise Refused(errors.RateExceeded("store"))
            if refusal.how == RESET:
                raise ConnectionResetError
            await self._be_silent()

    async def _be_silent(self) -> None:
        """Never answer; ends when the store is closed."""
        await asyncio.get_running_loop().create_future()


class StoreView:
    """One instance's access to the store; implements `model.Store`.

    Parameters
    ----------
    store : SimulatedStore
    node : str
        Name of the instance, for refusals of some instances.
    link : deadlines.Link
    """

    def __init__(self, store: SimulatedStore, node: str, link: deadlines.Link):
        self.store = store
        self.node = node
        self.link = link
        self.era = 0
        """Highest era in an answer so far."""
        self.connected = False

    async def read_table(self, table: str) -> result.Result[model.TableState, Any]:
        """Return all rows of a table."""

        def call() -> Awaitable[Answer]:
            return self.store.read(self.node, table)

        outcome = await self._call(call, CALL_TIMEOUT)
        return outcome.map(build_state)

    async def watch(
        self, table: str, after: int, wait: datetime.timedelta
    ) -> result.Result[model.TableState, Any]:
        """Return the rows changed since a version, or `HistoryGone`."""
        era, version = divmod(after, model.VERSIONS_PER_ERA)
        if era != self.era:
            return result.Failure(model.HistoryGone(table))

        def call() -> Awaitable[Answer]:
            return self.store.watch(self.node, table, version, wait)

        outcome = await self._call(call, wait + WATCH_MARGIN)
        if isinstance(outcome, result.Success) and outcome.unwrap().era != era:
            return result.Failure(model.HistoryGone(table))
        return outcome.map(build_state)

    async def commit(
        self, expected: Mapping[str, int], writes: Mapping[str, bytes | None]
    ) -> result.Result[int, Any]:
        """Write rows of the fleet's table; return their version."""
        era = self.era
        if any(
            version and version // model.VERSIONS_PER_ERA != era
            for version in expected.values()
        ):
            return result.Failure(errors.Conflict(tuple(expected)))
        sent = {
            key: version % model.VERSIONS_PER_ERA for key, version in expected.items()
        }
        copied = dict(writes)

        def call() -> Awaitable[Answer]:
            return self.store.commit(self.node, sent, copied)

        outcome = await self._call(call, CALL_TIMEOUT if writes else CHECK_TIMEOUT)
        if isinstance(outcome, result.Failure):
            return outcome
        answer = outcome.unwrap()
        if answer.era != era:
            lost = errors.AnswerLost(f"store restored: era {answer.era}")
            return result.Failure(lost)
        return result.Success(build_version(answer.era, answer.version))

    async def _call(
        self, call: Callable[[], Awaitable[Answer]], timeout: datetime.timedelta
    ) -> result.Result[Answer, Any]:
        """Send a call and return its answer.

        The store may perform a call whose sender has given up.
        """
        clock = self.store.clock
        deadline = clock.monotonic() + timeout
        tasks = self.store.tasks
        try:
            if not self.connected:
                opening = tasks.start(self.link.pass_through())
                await deadlines.wait_for(clock, opening, timeout)
                self.connected = True
        except (ConnectionResetError, TimeoutError) as error:
            return result.Failure(errors.PlatformUnavailable(f"store: {error!r}"))
        try:
            exchange = tasks.start(self._exchange(call))
            left = deadline - clock.monotonic()
            answer = await deadlines.wait_for(clock, exchange, left)
        except Refused as refused:
            return result.Failure(refused.args[0])
        except (ConnectionResetError, TimeoutError) as error:
            self.connected = False
            return result.Failure(errors.AnswerLost(f"store: {error!r}"))
        self.era = max(self.era, answer.era)
        if answer.era < self.era:
            lost = errors.AnswerLost(f"answer of era {answer.era}, now {self.era}")
            return result.Failure(lost)
        return result.Success(answer)

    async def _exchange(self, call: Callable[[], Awaitable[Answer]]) -> Answer:
        await self.link.pass_through()
        try:
            answer = await call()
        except Refused:
            await self.link.pass_through()
            raise
        await self.link.pass_through()
        return answer


def build_state(answer: Answer) -> model.TableState:
    """Return the rows of an answer, with versions that include its era."""
    rows = tuple(
        model.StoredRow(
            change.table,
            change.key,
            build_version(answer.era, change.version),
            change.value,
        )
        for change in answer.rows
    )
    return model.TableState(rows, build_version(answer.era, answer.version))


def build_version(era: int, version: int) -> int:
    """Return a version that includes the era of the store."""
    return era * model.VERSIONS_PER_ERA + version
