"""Checks a history of concurrent requests against the guarantees in docs/design.md.

The checker does not use any code of the router. Its inputs are the calls that callers
recorded (`Call`), the runs that targets logged (`Run`) and the drains that operators
ordered (`Departure`). All times are readings of CLOCK_MONOTONIC, which all processes
of a test share because they run on one machine. Keys of different services must
differ.
"""

import datetime
import itertools
import json
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

# Outcomes of a call: from the header Dewstep-Outcome, or as observed by the caller.

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
BAD_REQUEST = "bad-request"
BROKEN = "broken"
"""The connection ended before the answer was complete."""
NOT_SENT = "not-sent"
"""The entry process accepted no connection; a load balancer would try another one."""

DEPARTURE_GRACE = datetime.timedelta(seconds=2)
"""Time after a departure within which a target may still start requests."""


class Call(NamedTuple):
    """One attempt of a caller; each resend of a request is a separate call."""

    request_id: str
    service: str
    kind: str
    key: str
    idempotent: bool
    sent: datetime.datetime
    received: datetime.datetime
    outcome: str
    status: int
    failure: str
    answered_id: str
    """Request id in the body of the answer, "" if there is none."""
    answered_key: str
    body_unchanged: bool = True
    """Whether the target received the body that the caller sent."""


class Run(NamedTuple):
    """One execution of a request by a target."""

    request_id: str
    key: str
    kind: str
    target: str
    boot: str
    epoch: int
    term: int
    start: datetime.datetime
    finish: datetime.datetime | None
    """None if the log has no final event of the run."""
    result: str
    """"end" if the run took effect, "abort", "cancel", or "" without a final event."""


class Departure(NamedTuple):
    """A drain of a target, with the time at which the order was confirmed."""

    target: str
    time: datetime.datetime


class Duplicated(NamedTuple):
    """A request that must run at most once took effect more than once."""

    request_id: str
    targets: tuple[str, ...]


class FalseRefusal(NamedTuple):
    """A request ran although all its answers had the outcome "not-run"."""

    request_id: str
    target: str


class Lost(NamedTuple):
    """A request was answered although it took effect at no target."""

    request_id: str


class Misdelivered(NamedTuple):
    """A caller received the answer to another request."""

    request_id: str
    answered_id: str


class TwoOwners(NamedTuple):
    """Runs of one key at two targets overlap or follow a superseded assignment."""

    key: str
    first: Run
    second: Run


class TermWentBack(NamedTuple):
    """A run of an older term took effect after a run of a newer term had started."""

    target: str
    first: Run
    second: Run


class BodyChanged(NamedTuple):
    """A target received a body that differs from the one the caller sent."""

    request_id: str


class SlotsExceeded(NamedTuple):
    """A target ran more requests concurrently than it has slots."""

    target: str
    runs: int
    slots: int


class WorkAfterDeparture(NamedTuple):
    """A target started a request later than `DEPARTURE_GRACE` after its drain."""

    request_id: str
    target: str
    delay: datetime.timedelta


class ConnectionBroken(NamedTuple):
    """A caller's connection broke in a test that contains only planned stops."""

    request_id: str


class UnknownOutcome(NamedTuple):
    """A call had an unknown outcome in a test that contains only planned stops."""

    request_id: str
    failure: str


class Summary(NamedTuple):
    """Counts of calls by outcome, and of violations by type."""

    sent: int
    answered: int
    not_run: int
    unknown: int
    bad_request: int
    broken: int
    not_sent: int
    doubled: int
    lost: int
    crossed: int
    two_owners: int
    false_refusals: int


def read_runs(lines: Iterable[str]) -> tuple[Run, ...]:
    """Return the runs in log lines of targets; each target's lines must be in order."""
    unfinished_runs: dict[tuple, list[Run]] = defaultdict(list)
    runs: list[Run] = []
    for line in lines:
        try:
            event = json.loads(line)
        except json.JSONDecodeError:
            # A killed target may leave an incomplete line at the end of its log.
            continue
        if "event" not in event or "request_id" not in event:
            continue
        run_key = (event["target"], event["boot"], event["request_id"])
        time = parse_time(event["time"])
        if event["event"] == "start":
            run = Run(
                event["request_id"],
                event["key"],
                event["kind"],
                event["target"],
                event["boot"],
                int(event["epoch"]),
                int(event["term"]),
                time,
                None,
                "",
            )
            unfinished_runs[run_key].append(run)
        elif unfinished_runs[run_key]:
            run = unfinished_runs[run_key].pop(0)
            runs.append(run._replace(finish=time, result=event["event"]))
    runs.extend(itertools.chain.from_iterable(unfinished_runs.values()))
    return tuple(sorted(runs, key=lambda run: run.start))


def parse_time(value) -> datetime.datetime:
    """Return the time given as a number of seconds or as an ISO 8601 string.

    Numbers are readings of CLOCK_MONOTONIC; they become times since the epoch, so that
    only differences between them are meaningful.
    """
    if isinstance(value, str):
        return datetime.datetime.fromisoformat(value)
    return datetime.datetime.fromtimestamp(value, datetime.UTC)


def find_duplicated(calls: Iterable[Call], runs: Iterable[Run]) -> list[Duplicated]:
    """Return the at-most-once requests that took effect more than once."""
    at_most_once_ids = {call.request_id for call in calls if not call.idempotent}
    effects: dict[str, list[str]] = defaultdict(list)
    for run in runs:
        if run.result == "end" and run.request_id in at_most_once_ids:
            effects[run.request_id].append(run.target)
    return [
        Duplicated(request_id, tuple(targets))
        for request_id, targets in effects.items()
        if len(targets) > 1
    ]


def find_false_refusals(
    calls: Iterable[Call], runs: Iterable[Run]
) -> list[FalseRefusal]:
    """Return the requests that ran although every call was refused as not run.

    A run without a final event counts, because its target may have ended after the
    run had taken effect in part.
    """
    outcomes: dict[str, set[str]] = defaultdict(set)
    for call in calls:
        outcomes[call.request_id].add(call.outcome)
    refused = {
        request_id
        for request_id, found in outcomes.items()
        if found <= {NOT_RUN, BAD_REQUEST, NOT_SENT}
    }
    return [
        FalseRefusal(run.request_id, run.target)
        for run in runs
        if run.result in ("end", "") and run.request_id in refused
    ]


def find_lost(calls: Iterable[Call], runs: Iterable[Run]) -> list[Lost]:
    """Return the requests that were answered but took effect at no target."""
    effective = {run.request_id for run in runs if run.result == "end"}
    answered = {call.request_id for call in calls if call.outcome == ANSWERED}
    return [Lost(request_id) for request_id in sorted(answered - effective)]


def find_misdelivered(calls: Iterable[Call]) -> list[Misdelivered]:
    """Return the answers that belong to another request or key."""
    return [
        Misdelivered(call.request_id, call.answered_id)
        for call in calls
        if call.outcome == ANSWERED
        and (call.answered_id, call.answered_key) != (call.request_id, call.key)
    ]


def find_two_owners(runs: Iterable[Run]) -> list[TwoOwners]:
    """Return the pairs of runs that show two owners of one key.

    If two runs overlap, the key had two owners at the same time. If a run has an older
    assignment version (epoch) than an earlier run at another target, a previous owner
    ran the request after the key had moved.
    """
    by_key: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        if run.result == "end":
            by_key[run.key].append(run)
    found = []
    for key, effects in by_key.items():
        effects.sort(key=lambda run: run.finish)
        last_effects: dict[str, Run] = {}
        for run in effects:
            for target, earlier in last_effects.items():
                if target == run.target:
                    continue
                if run.start < earlier.finish or run.epoch < earlier.epoch:
                    found.append(TwoOwners(key, earlier, run))
            last_effects[run.target] = run
    return found


def find_term_regressions(runs: Iterable[Run]) -> list[TermWentBack]:
    """Return the runs that took effect after a run of a newer term had started.

    Within one boot of a target, terms must not decrease; otherwise two gates sent
    requests to the target at the same time.
    """
    by_boot: dict[tuple[str, str], list[Run]] = defaultdict(list)
    for run in runs:
        by_boot[run.target, run.boot].append(run)
    found = []
    for group in by_boot.values():
        starts = [(run.start, 0, run) for run in group]
        effects = [(run.finish, 1, run) for run in group if run.result == "end"]
        newest = group[0]
        for _, effect, run in sorted(starts + effects, key=lambda item: item[:2]):
            if effect and run.term < newest.term:
                found.append(TermWentBack(run.target, newest, run))
            elif not effect and run.term > newest.term:
                newest = run
    return found


def find_changed_bodies(calls: Iterable[Call]) -> list[BodyChanged]:
    """Return the answered requests whose body did not reach the target unchanged."""
    return [
        BodyChanged(call.request_id)
        for call in calls
        if call.outcome == ANSWERED and not call.body_unchanged
    ]


def find_exceeded_slots(
    runs: Iterable[Run], slots: Mapping[str, int]
) -> list[SlotsExceeded]:
    """Return the targets that ran more requests concurrently than they have slots."""
    changes: dict[str, list[tuple[datetime.datetime, int]]] = defaultdict(list)
    for run in runs:
        if run.finish is not None:
            # (time, -1) sorts before (time, 1): a slot that becomes free can be
            # reused at the same time.
            changes[run.target] += [(run.start, 1), (run.finish, -1)]
    found = []
    for target, target_changes in changes.items():
        target_changes.sort()
        peak = max(itertools.accumulate(step for _, step in target_changes))
        if target in slots and peak > slots[target]:
            found.append(SlotsExceeded(target, peak, slots[target]))
    return found


def find_work_after_departure(
    runs: Iterable[Run], departures: Iterable[Departure]
) -> list[WorkAfterDeparture]:
    """Return the runs that started later than `DEPARTURE_GRACE` after a departure."""
    departed_at = {departure.target: departure.time for departure in departures}
    return [
        WorkAfterDeparture(
            run.request_id, run.target, run.start - departed_at[run.target]
        )
        for run in runs
        if run.target in departed_at
        and run.start - departed_at[run.target] > DEPARTURE_GRACE
    ]


def find_broken_connections(calls: Iterable[Call]) -> list[ConnectionBroken]:
    """Return the calls whose connection broke, for tests with planned stops only."""
    return [
        ConnectionBroken(call.request_id) for call in calls if call.outcome == BROKEN
    ]


def find_unknown(calls: Iterable[Call]) -> list[UnknownOutcome]:
    """Return the calls with an unknown outcome, for tests with planned stops only."""
    return [
        UnknownOutcome(call.request_id, call.failure)
        for call in calls
        if call.outcome == UNKNOWN
    ]


def check_history(
    calls: Iterable[Call],
    runs: Iterable[Run],
    slots: Mapping[str, int],
    departures: Iterable[Departure] = (),
) -> tuple:
    """Return all violations of the guarantees in a history."""
    calls, runs = tuple(calls), tuple(runs)
    return (
        *find_duplicated(calls, runs),
        *find_false_refusals(calls, runs),
        *find_lost(calls, runs),
        *find_misdelivered(calls),
        *find_two_owners(runs),
        *find_term_regressions(runs),
        *find_changed_bodies(calls),
        *find_exceeded_slots(runs, slots),
        *find_work_after_departure(runs, departures),
    )


def summarize(calls: Iterable[Call], runs: Iterable[Run]) -> Summary:
    """Return the counts of calls and violations in a history."""
    calls, runs = tuple(calls), tuple(runs)
    outcomes = [call.outcome for call in calls]
    return Summary(
        sent=len(calls),
        answered=outcomes.count(ANSWERED),
        not_run=outcomes.count(NOT_RUN),
        unknown=outcomes.count(UNKNOWN),
        bad_request=outcomes.count(BAD_REQUEST),
        broken=outcomes.count(BROKEN),
        not_sent=outcomes.count(NOT_SENT),
        doubled=len(find_duplicated(calls, runs)),
        lost=len(find_lost(calls, runs)),
        crossed=len(find_misdelivered(calls)),
        two_owners=len(find_two_owners(runs)),
        false_refusals=len(find_false_refusals(calls, runs)),
    )
