"""Orders to one process of a target, with the answers that the platform promises.

The cases run against the simulated process and against the process stand-in of the
platform's tests, so that both agree. Times are seconds since the start of the case;
the process "a" runs at its beginning, with an exact clock unless the case says more.
"""

from collections.abc import Iterable
from typing import NamedTuple

from dewstep_emulator.ownership import target_processes

RUN, NOT_OWNED = "run", "not_owned"
"""Answers to a request."""
IN_TIME, TOO_LATE = "in_time", "too_late"
"""How a request ended, compared with the ownership of its key."""
NO_ANSWER = "no_answer"
"""A release that waits for requests, or an order that is carried out late."""


class Grant(NamedTuple):
    """A grant or the renewal of one."""

    first: int
    last: int
    generation: int
    seconds: float = 2.0
    target: str = "a"
    handover: str = ""


class LateGrant(NamedTuple):
    """A grant that arrives now and is carried out by the next `CarryOut`."""

    grant: Grant


class Release(NamedTuple):
    """The end of the ownership of a range."""

    first: int
    last: int
    generation: int
    target: str = "a"


class LateRelease(NamedTuple):
    """A release that arrives now and is carried out by the next `CarryOut`."""

    release: Release


class CarryOut(NamedTuple):
    """All late orders that have arrived are carried out, in the order of arrival."""


class Request(NamedTuple):
    """A request that is answered at once."""

    key: int


class BeginRequest(NamedTuple):
    """A request that lasts until the next `EndRequest`."""

    key: int


class EndRequest(NamedTuple):
    """The end of the request that began last."""


class Restart(NamedTuple):
    """The process ends, and the next one starts at its address."""

    name: str
    life: int


Action = (
    Grant
    | LateGrant
    | Release
    | LateRelease
    | CarryOut
    | Request
    | BeginRequest
    | EndRequest
    | Restart
)


class Step(NamedTuple):
    """An action at a time, with what is expected then."""

    at: float
    action: Action
    answer: str | None = None
    owned: tuple[tuple[int, int], ...] | None = None
    """First and last keys of the owned ranges after the action; adjacent ones are
    joined. None if they are not compared."""


class Case(NamedTuple):
    """A sequence of steps."""

    name: str
    steps: tuple[Step, ...]
    clock_slowness: float = 0.0


ACCEPTED = target_processes.ACCEPTED
SUPERSEDED = target_processes.SUPERSEDED
REPLACED = target_processes.REPLACED

CASES = (
    Case(
        "a process that starts owns no keys",
        (
            Step(0, Request(7), NOT_OWNED, ()),
            Step(0, Grant(0, 99, 5), ACCEPTED, ((0, 99),)),
            Step(0, Request(7), RUN),
            Step(0, Request(100), NOT_OWNED),
        ),
    ),
    Case(
        "a grant expires unless it is renewed",
        (
            Step(0, Grant(0, 99, 5), ACCEPTED),
            Step(1, Grant(0, 99, 5), ACCEPTED),
            Step(2.9, Request(7), RUN, ((0, 99),)),
            Step(3, Request(7), NOT_OWNED, ()),
        ),
    ),
    Case(
        "a shorter renewal shortens nothing",
        (
            Step(0, Grant(0, 99, 5, 9), ACCEPTED),
            Step(1, Grant(0, 99, 5, 1), ACCEPTED),
            Step(8.9, Request(7), RUN),
            Step(9, Request(7), NOT_OWNED),
        ),
    ),
    Case(
        "a slow clock lengthens a grant",
        (
            Step(0, Grant(0, 99, 5), ACCEPTED),
            Step(2.03, Request(7), RUN),
            Step(2.05, Request(7), NOT_OWNED),
        ),
        clock_slowness=0.02,
    ),
    Case(
        "a lower number is refused if a higher one was seen on one key",
        (
            Step(0, Grant(99, 200, 6), ACCEPTED),
            Step(0, Grant(0, 99, 5), SUPERSEDED, ((99, 200),)),
            Step(0, Grant(0, 98, 5), ACCEPTED, ((0, 200),)),
            Step(0, Grant(99, 200, 6), ACCEPTED),
            Step(0, Grant(150, 160, 7), ACCEPTED),
            Step(0, Grant(99, 200, 6), SUPERSEDED, ((0, 200),)),
        ),
    ),
    Case(
        "a lower number is refused after the higher one has expired",
        (
            Step(0, Grant(0, 99, 6), ACCEPTED),
            Step(5, Grant(0, 99, 5), SUPERSEDED, ()),
            Step(5, Grant(0, 99, 6), ACCEPTED, ((0, 99),)),
        ),
    ),
    Case(
        "a lower number is refused after a release",
        (
            Step(0, Grant(0, 99, 6), ACCEPTED),
            Step(0, Release(0, 99, 6), ACCEPTED, ()),
            Step(0, Grant(50, 59, 5), SUPERSEDED, ()),
            Step(0, Grant(50, 59, 6), ACCEPTED, ((50, 59),)),
        ),
    ),
    Case(
        "a refused grant extends nothing",
        (
            Step(0, Grant(0, 99, 5), ACCEPTED),
            Step(1, Grant(50, 99, 6, 1), ACCEPTED),
            Step(1, Grant(0, 99, 5, 9), SUPERSEDED),
            Step(2, Request(7), NOT_OWNED, ()),
        ),
    ),
    Case(
        "a part of a grant may be released, whatever the number",
        (
            Step(0, Grant(0, 99, 5), ACCEPTED),
            Step(0, Release(10, 19, 5), ACCEPTED, ((0, 9), (20, 99))),
            Step(0, Release(50, 199, 1), ACCEPTED, ((0, 9), (20, 49))),
            Step(0, Request(15), NOT_OWNED),
            Step(0, Request(20), RUN),
            Step(0, Release(0, 99, 9), ACCEPTED, ()),
            Step(0, Release(0, 99, 9), ACCEPTED, ()),
        ),
    ),
    Case(
        "a release does not count as a number that was seen",
        (
            Step(0, Release(0, 99, 9), ACCEPTED),
            Step(0, Grant(0, 99, 5), ACCEPTED, ((0, 99),)),
        ),
    ),
    Case(
        "orders for another target have no effect",
        (
            Step(0, Grant(0, 99, 5, target="b"), REPLACED, ()),
            Step(0, Grant(0, 99, 4), ACCEPTED, ((0, 99),)),
            Step(0, Release(0, 99, 4, target="b"), REPLACED, ((0, 99),)),
        ),
    ),
    Case(
        "the next process at the address refuses orders for the earlier one",
        (
            Step(0, Grant(0, 99, 5), ACCEPTED),
            Step(1, Restart("b", 2), None, ()),
            Step(1, Grant(0, 99, 5), REPLACED, ()),
            Step(1, Release(0, 99, 5), REPLACED, ()),
            Step(1, Request(7), NOT_OWNED),
            Step(1, Grant(0, 99, 4, target="b"), ACCEPTED, ((0, 99),)),
        ),
    ),
    Case(
        "a process that restarts under its name has forgotten all numbers",
        (
            Step(0, Grant(0, 99, 5), ACCEPTED),
            Step(1, Restart("a", 2), None, ()),
            Step(1, Grant(0, 99, 4), ACCEPTED, ((0, 99),)),
        ),
    ),
    Case(
        "a late grant counts from its arrival",
        (
            Step(0, LateGrant(Grant(0, 99, 5, 4)), NO_ANSWER, ()),
            Step(3, CarryOut(), None, ((0, 99),)),
            Step(3.9, Request(7), RUN),
            Step(4, Request(7), NOT_OWNED, ()),
        ),
    ),
    Case(
        "a grant that is carried out after its end still makes its number known",
        (
            Step(0, LateGrant(Grant(0, 99, 5)), NO_ANSWER),
            Step(3, CarryOut(), None, ()),
            Step(3, Grant(0, 99, 4), SUPERSEDED, ()),
        ),
    ),
    Case(
        "a late grant undoes a release that was carried out before it",
        (
            Step(0, Grant(0, 99, 5), ACCEPTED),
            Step(0.1, LateGrant(Grant(0, 99, 5, 4)), NO_ANSWER),
            Step(1, Release(0, 99, 5), ACCEPTED, ()),
            Step(2, CarryOut(), None, ((0, 99),)),
            Step(4.05, Request(7), RUN),
            Step(4.1, Request(7), NOT_OWNED),
        ),
    ),
    Case(
        "a late grant is refused after a higher number",
        (
            Step(0, LateGrant(Grant(0, 99, 5, 9)), NO_ANSWER),
            Step(1, Grant(0, 99, 6), ACCEPTED),
            Step(1, Release(0, 99, 6), ACCEPTED, ()),
            Step(2, CarryOut(), None, ()),
        ),
    ),
    Case(
        "late orders are lost with their process",
        (
            Step(0, LateGrant(Grant(0, 99, 5, 9)), NO_ANSWER),
            Step(1, Restart("a", 2), None, ()),
            Step(2, CarryOut(), None, ()),
        ),
    ),
    Case(
        "a late release ends a newer grant",
        (
            Step(0, Grant(0, 99, 5), ACCEPTED),
            Step(0, LateRelease(Release(0, 49, 5)), NO_ANSWER, ((0, 99),)),
            Step(1, Grant(0, 99, 6), ACCEPTED),
            Step(2, CarryOut(), None, ((50, 99),)),
        ),
    ),
    Case(
        "a release waits for running requests of its keys",
        (
            Step(0, Grant(0, 99, 5), ACCEPTED),
            Step(0, BeginRequest(7), RUN),
            Step(0.5, Release(0, 99, 5), NO_ANSWER, ()),
            Step(0.5, Request(7), NOT_OWNED),
            Step(0.5, Release(10, 99, 5), ACCEPTED),
            Step(1, EndRequest(), IN_TIME),
            Step(1, Release(0, 99, 5), ACCEPTED, ()),
        ),
    ),
    Case(
        "a request that outlasts the ownership fails",
        (
            Step(0, Grant(0, 99, 5), ACCEPTED),
            Step(0, BeginRequest(7), RUN),
            Step(2, EndRequest(), TOO_LATE),
        ),
    ),
    Case(
        "a renewal lets a running request last longer",
        (
            Step(0, Grant(0, 99, 5), ACCEPTED),
            Step(0, BeginRequest(7), RUN),
            Step(1, Grant(7, 7, 6), ACCEPTED),
            Step(2.9, EndRequest(), IN_TIME),
        ),
    ),
)


def join_ranges(owned: Iterable[tuple[int, int]]) -> tuple[tuple[int, int], ...]:
    """Return ranges without overlaps, in which adjacent ones are joined."""
    joined: list[tuple[int, int]] = []
    for first, last in sorted(owned):
        if joined and first <= joined[-1][1] + 1:
            joined[-1] = joined[-1][0], max(joined[-1][1], last)
        else:
            joined.append((first, last))
    return tuple(joined)
