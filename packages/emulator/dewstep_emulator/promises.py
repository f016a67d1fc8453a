"""Checks of promises that only the scenarios make which set up a case for them.

Like `history`, this works only from what callers saw and what targets ran.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from dewstep_emulator import history


class Unserved(NamedTuple):
    """A request that nothing speaks against was never answered."""

    request_id: str
    kind: str
    outcomes: tuple[str, ...]


class CrashesExceeded(NamedTuple):
    """A request crashed more targets than it may."""

    key: str
    kind: str
    crashes: int


class WrongRefusal(NamedTuple):
    """A request was refused with another failure or outcome than promised."""

    request_id: str
    failure: str
    outcome: str


class ServedLate(NamedTuple):
    """A key was not served in time after a fault."""

    fault: str
    seconds: float
    limit: float


class InForceLate(NamedTuple):
    """A revision was not in force everywhere in time."""

    revision: int
    seconds: float
    behind: tuple[str, ...]


class WrongExit(NamedTuple):
    """A process ended with another exit code than promised, or too late."""

    process: str
    code: int | None
    seconds: float


class OrderRefused(NamedTuple):
    """An operator's order was refused although nothing spoke against it."""

    order: str
    code: int


class NotPressed(NamedTuple):
    """A scenario did not get into the state that it is about."""

    detail: str


def find_unserved(
    calls: Iterable[history.Call],
    concerns: Callable[[history.Call], bool] = lambda call: call.idempotent,
) -> list[Unserved]:
    """Return the requests in question that no call got an answer to."""
    outcomes: dict[tuple[str, str], list[str]] = defaultdict(list)
    for call in calls:
        if concerns(call):
            outcomes[call.request_id, call.kind].append(call.failure or call.outcome)
    return [
        Unserved(request_id, kind, tuple(found))
        for (request_id, kind), found in outcomes.items()
        if history.ANSWERED not in found
    ]


def count_crashes(runs: Iterable[history.Run], marker: str) -> Counter:
    """Return how often requests with the marker in their key ended a target."""
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
    """Return the refusals by `failure` that have another outcome than promised."""
    return [
        WrongRefusal(call.request_id, call.failure, call.outcome)
        for call in calls
        if call.failure == failure and call.outcome != outcome
    ]


def find_refused(calls: Iterable[history.Call], failure: str) -> list[WrongRefusal]:
    """Return the refusals by a `failure` that must not occur at all."""
    return [
        WrongRefusal(call.request_id, call.failure, call.outcome)
        for call in calls
        if call.failure == failure
    ]
