"""Checks a history of concurrent requests against the promises of the design page.

The checker knows nothing of the router. It works from what callers saw (`Call`), what
targets ran (`Run`) and which targets were told to leave (`Departure`). All times are
readings of CLOCK_MONOTONIC of the one machine that the processes of a test share.
Keys of different services must differ.
"""

import datetime
import itertools
import json
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
BAD_REQUEST = "bad-request"
BROKEN = "broken"
"""The connection ended before the answer was whole."""
NOT_SENT = "not-sent"
"""The entry process accepted no connection; a balancer would choose another."""

LEAVING_LIMIT = datetime.timedelta(seconds=2)


class Call(NamedTuple):
    """One request as its caller saw it; a resend is a call of its own."""

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
    """Request id that the target wrote into the answer's body, "" if there is none."""
    answered_key: str
    body_kept: bool = True
    """Whether the target received the body that the caller sent."""


class Run(NamedTuple):
    """One run of a request at a target."""

    request_id: str
    key: str
    kind: str
    target: str
    boot: str
    epoch: int
    term: int
    start: datetime.datetime
    finish: datetime.datetime | None
    """None if the log ends before the run does."""
    result: str
    """"end" if it took effect, "abort", "cancel" or "" if it has no last event."""


class Departure(NamedTuple):
    """A target that was told to leave, as acknowledged to the operator."""

    target: str
    time: datetime.datetime


class Doubled(NamedTuple):
    """A request that must run at most once took effect more than once."""

    request_id: str
    targets: tuple[str, ...]


class FalseRefusal(NamedTuple):
    """All answers to a request said "not run", but it ran."""

    request_id: str
    target: str


class Lost(NamedTuple):
    """A caller got an answer to a request that no target ran."""

    request_id: str


class Crossed(NamedTuple):
    """A caller got the answer to another request."""

    request_id: str
    answered_id: str


class TwoOwners(NamedTuple):
    """Two targets ran requests for one key in a way that one owner could not."""

    key: str
    first: Run
    second: Run


class TermWentBack(NamedTuple):
    """A request of an older gate took effect after one of a newer gate had begun."""

    target: str
    first: Run
    second: Run


class BodyChanged(NamedTuple):
    """A target received another body than the caller sent."""

    request_id: str


class SlotsExceeded(NamedTuple):
    """A target ran more requests at the same time than it has slots."""

    target: str
    runs: int
    slots: int


class WorkAfterDeparture(NamedTuple):
    """A target started a request more than two seconds after it was told to leave."""

    request_id: str
    target: str
    delay: datetime.timedelta


class CutOff(NamedTuple):
    """A caller's connection broke although only planned stops had happened."""

    request_id: str


class UnknownOutcome(NamedTuple):
    """A request was cut although only planned stops had happened."""

    request_id: str
    failure: str


class Summary(NamedTuple):
    """Counts of a history."""

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
    """Return the runs in the lines of targets' logs, one target's lines in order."""
    open_runs: dict[tuple, list[Run]] = defaultdict(list)
    runs: list[Run] = []
    for line in lines:
        try:
            event = json.loads(line)
        except json.JSONDecodeError:
            # A killed target may leave half a line at the end of its log.
            continue
        if "event" not in event or "request_id" not in event:
            continue
        place = (event["target"], event["boot"], event["request_id"])
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
            open_runs[place].append(run)
        elif open_runs[place]:
            run = open_runs[place].pop(0)
            runs.append(run._replace(finish=time, result=event["event"]))
    runs.extend(itertools.chain.from_iterable(open_runs.values()))
    return tuple(sorted(runs, key=lambda run: run.start))


def parse_time(value) -> datetime.datetime:
    """Return a time given as seconds since the epoch or in ISO 8601 form."""
    if isinstance(value, str):
        return datetime.datetime.fromisoformat(value)
    return datetime.datetime.fromtimestamp(value, datetime.UTC)


def find_doubled(calls: Iterable[Call], runs: Iterable[Run]) -> list[Doubled]:
    """Return the at-most-once requests that took effect twice."""
    guarded = {call.request_id for call in calls if not call.idempotent}
    effects: dict[str, list[str]] = defaultdict(list)
    for run in runs:
        if run.result == "end" and run.request_id in guarded:
            effects[run.request_id].append(run.target)
    return [
        Doubled(request_id, tuple(targets))
        for request_id, targets in effects.items()
        if len(targets) > 1
    ]


def find_false_refusals(
    calls: Iterable[Call], runs: Iterable[Run]
) -> list[FalseRefusal]:
    """Return the requests that ran although every answer said "not run".

    A run whose target ended meanwhile counts: parts of it may have had effect.
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
    """Return the requests that were answered but took effect nowhere."""
    effective = {run.request_id for run in runs if run.result == "end"}
    answered = {call.request_id for call in calls if call.outcome == ANSWERED}
    return [Lost(request_id) for request_id in sorted(answered - effective)]


def find_crossed(calls: Iterable[Call]) -> list[Crossed]:
    """Return the answers that belong to another request or key."""
    return [
        Crossed(call.request_id, call.answered_id)
        for call in calls
        if call.outcome == ANSWERED
        and (call.answered_id, call.answered_key) != (call.request_id, call.key)
    ]


def find_two_owners(runs: Iterable[Run]) -> list[TwoOwners]:
    """Return pairs of runs for one key at two targets that overlap or go back.

    Runs that overlap have two owners at one moment. A run that takes effect under an
    older assignment than an earlier run at another target goes back to a past owner.
    """
    by_key: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        if run.result == "end":
            by_key[run.key].append(run)
    found = []
    for key, effects in by_key.items():
        effects.sort(key=lambda run: run.finish)
        latest: dict[str, Run] = {}
        for run in effects:
            for target, earlier in latest.items():
                if target == run.target:
                    continue
                if run.start < earlier.finish or run.epoch < earlier.epoch:
                    found.append(TwoOwners(key, earlier, run))
            latest[run.target] = run
    return found


def find_terms_back(runs: Iterable[Run]) -> list[TermWentBack]:
    """Return the runs that took effect after one of a newer term had begun.

    One boot of a target must see the terms of its gates rise: otherwise two gates
    sent to it at one time.
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
    """Return the answered requests whose body the target did not get as it was sent."""
    return [
        BodyChanged(call.request_id)
        for call in calls
        if call.outcome == ANSWERED and not call.body_kept
    ]


def find_exceeded_slots(
    runs: Iterable[Run], slots: Mapping[str, int]
) -> list[SlotsExceeded]:
    """Return the targets that ran more requests at once than they have slots."""
    changes: dict[str, list[tuple[datetime.datetime, int]]] = defaultdict(list)
    for run in runs:
        if run.finish is not None:
            # A finish sorts before a start at the same time.
            changes[run.target] += [(run.start, 1), (run.finish, -1)]
    found = []
    for target, steps in changes.items():
        steps.sort()
        most = max(itertools.accumulate(step for _, step in steps))
        if target in slots and most > slots[target]:
            found.append(SlotsExceeded(target, most, slots[target]))
    return found


def find_work_after_departure(
    runs: Iterable[Run], departures: Iterable[Departure]
) -> list[WorkAfterDeparture]:
    """Return the runs that started more than two seconds after a departure."""
    left = {departure.target: departure.time for departure in departures}
    return [
        WorkAfterDeparture(run.request_id, run.target, run.start - left[run.target])
        for run in runs
        if run.target in left and run.start - left[run.target] > LEAVING_LIMIT
    ]


def find_cut_off(calls: Iterable[Call]) -> list[CutOff]:
    """Return the calls whose connection broke, for runs with planned stops only."""
    return [CutOff(call.request_id) for call in calls if call.outcome == BROKEN]


def find_unknown(calls: Iterable[Call]) -> list[UnknownOutcome]:
    """Return the calls with an unknown outcome, for runs with planned stops only."""
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
    """Return all violations of the promises in a history."""
    calls, runs = tuple(calls), tuple(runs)
    return (
        *find_doubled(calls, runs),
        *find_false_refusals(calls, runs),
        *find_lost(calls, runs),
        *find_crossed(calls),
        *find_two_owners(runs),
        *find_terms_back(runs),
        *find_changed_bodies(calls),
        *find_exceeded_slots(runs, slots),
        *find_work_after_departure(runs, departures),
    )


def summarize(calls: Iterable[Call], runs: Iterable[Run]) -> Summary:
    """Return the counts of a history."""
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
        doubled=len(find_doubled(calls, runs)),
        lost=len(find_lost(calls, runs)),
        crossed=len(find_crossed(calls)),
        two_owners=len(find_two_owners(runs)),
        false_refusals=len(find_false_refusals(calls, runs)),
    )
