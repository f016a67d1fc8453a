"""Checks of guarantees that apply only in some scenarios.

As in `history`, the inputs are the calls of the callers and the runs of the targets.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from dewstep_emulator import history


class Unserved(NamedTuple):
    """A request that must be served in the scenario was never answered."""

    request_id: str
    kind: str
    outcomes: tuple[str, ...]


class CrashesExceeded(NamedTuple):
    """A request ended more target processes than the limit allows."""

    key: str
    kind: str
    crashes: int


class WrongRefusal(NamedTuple):
    """A request was refused with a failure or outcome that must not occur."""

    request_id: str
    failure: str
    outcome: str


class ServedLate(NamedTuple):
    """A key was not served again within the time limit after a fault."""

    fault: str
    seconds: float
    limit: float


class InForceLate(NamedTuple):
    """A configuration revision did not reach all entry processes within the limit."""

    revision: int
    seconds: float
    behind: tuple[str, ...]
    """Entry processes that still use an older revision."""


class WrongExit(NamedTuple):
    """A process ended with an unexpected exit code, or too late."""

    process: str
    code: int | None
    seconds: float


class OrderRefused(NamedTuple):
    """A valid order of an operator was refused."""

    order: str
    code: int


class ConditionNotReached(NamedTuple):
    """A scenario did not reach the condition that it tests, so it proves nothing."""

    detail: str


def find_unserved(
    calls: Iterable[history.Call],
    is_relevant: Callable[[history.Call], bool] = lambda call: call.idempotent,
) -> list[Unserved]:
    """Return the requests that `is_relevant` selects and that were never answered."""
    outcomes: dict[tuple[str, str], list[str]] = defaultdict(list)
    for call in calls:
        if is_relevant(call):
            outcomes[call.request_id, call.kind].append(call.failure or call.outcome)
    return [
        Unserved(request_id, kind, tuple(found))
        for (request_id, kind), found in outcomes.items()
        if history.ANSWERED not in found
    ]


def count_crashes(runs: Iterable[history.Run], marker: str) -> Counter:
    """Return how often each request with the marker in its key crashed a target."""
    return Counter(
        (run.key, run.kind) for run in runs if marker in run.key and not run.result
    )


def find_exceeded_crashes(
    runs: Iterable[history.Run], marker: str, limit: int
) -> list[CrashesExceeded]:
    """Return the requests that crashed more than `limit` targets."""
    return [
        CrashesExceeded(key, kind, count)
        for (key, kind), count in count_crashes(runs, marker).items()
        if count > limit
    ]


def find_wrong_refusals(
    calls: Iterable[history.Call], failure: str, outcome: str
) -> list[WrongRefusal]:
    """Return the refusals with `failure` whose outcome is not `outcome`."""
    return [
        WrongRefusal(call.request_id, call.failure, call.outcome)
        for call in calls
        if call.failure == failure and call.outcome != outcome
    ]


def find_refused(calls: Iterable[history.Call], failure: str) -> list[WrongRefusal]:
    """Return the refusals with a `failure` that must not occur."""
    return [
        WrongRefusal(call.request_id, call.failure, call.outcome)
        for call in calls
        if call.failure == failure
    ]
