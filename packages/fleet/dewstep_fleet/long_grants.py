"""Which bound of long grants an instance may rely on.

A coordinator announces grants that are longer than usual before it sends them, and
sends them once most members have acknowledged the announcement. Its successor asks most
members in the election, at least one of which knows of them. A voter acknowledges no
further announcement for as long as the successor relies on its vote.
"""

import datetime
from collections.abc import Callable, Mapping, Set
from types import MappingProxyType
from typing import NamedTuple

from dewstep_fleet import frames, outstanding, reports

VOTE_VALIDITY = outstanding.TERM_CONFIRMATION_MAX_AGE
"""Time after a vote request for which its answer counts as the bound of long grants. A
coordinator that the store does not confirm sends no orders after this long. Meanwhile,
the voter acknowledges no announcement of further long grants."""


class LongGrants(NamedTuple):
    """What one instance knows of long grants."""

    until: datetime.timedelta
    """Until then, long grants that the coordinator reported may be valid."""
    unaware_until: datetime.timedelta
    """Until then, long grants sent before the start of this process may be valid."""
    voted_at: datetime.timedelta
    """When this instance, or perhaps its previous process, last answered a vote
    request."""
    informants: Mapping[str, datetime.timedelta] = MappingProxyType({})
    """Members whose votes told of all long grants, and until when this counts."""
    announcing_since: int | None = None
    """`heartbeat_ms` of the first heartbeat of this coordinator that announced long
    grants, or None if the last one did not."""


def get_max_time(max_duration: datetime.timedelta) -> datetime.timedelta:
    """Return the maximum time from the announcement of a long grant to its end."""
    return (
        reports.REPORT_MAX_AGE
        + outstanding.ORDER_TIMEOUT
        + outstanding.get_max_validity(max_duration)
    )


def build_unaware(
    now: datetime.timedelta, max_duration: datetime.timedelta
) -> LongGrants:
    """Return the knowledge of a process that starts now."""
    return LongGrants(now, now + get_max_time(max_duration), now)


def record_first_term(known: LongGrants, now: datetime.timedelta) -> LongGrants:
    """Return the knowledge if no coordinator can have sent grants yet."""
    return known._replace(unaware_until=min(known.unaware_until, now))


def record_told(
    known: LongGrants, time_left: datetime.timedelta, now: datetime.timedelta
) -> LongGrants:
    """Return the knowledge after another instance reported this remaining time."""
    return known._replace(until=max(known.until, now + time_left))


def record_informant(
    known: LongGrants, node: str, asked_at: datetime.timedelta
) -> LongGrants:
    """Return the knowledge after a vote that told of all long grants."""
    until = asked_at + VOTE_VALIDITY
    return known._replace(informants={**known.informants, node: until})


def forget_informants(known: LongGrants) -> LongGrants:
    """Return the knowledge without the votes of earlier elections."""
    return known._replace(informants=MappingProxyType({}))


def has_voted_recently(known: LongGrants, now: datetime.timedelta) -> bool:
    """Whether a successor may still rely on a vote of this instance."""
    return now - known.voted_at <= VOTE_VALIDITY


def announce(known: LongGrants, announces: bool, now: datetime.timedelta) -> LongGrants:
    """Return the knowledge with a heartbeat that announces long grants or does not."""
    if not announces:
        return known._replace(announcing_since=None)
    if known.announcing_since is not None:
        return known
    return known._replace(announcing_since=frames.to_milliseconds(now))


def get_time_left(
    known: LongGrants,
    own_time_left: datetime.timedelta,
    max_duration: datetime.timedelta,
    now: datetime.timedelta,
) -> datetime.timedelta:
    """Return the longest remaining time of the long grants known or announced.

    Parameters
    ----------
    known : LongGrants
    own_time_left : datetime.timedelta
        Remaining time of the long grants that this instance has sent.
    max_duration : datetime.timedelta
        Maximum duration of a grant.
    now : datetime.timedelta
    """
    time_left = max(known.until - now, own_time_left, datetime.timedelta())
    if known.announcing_since is None:
        return time_left
    return max(time_left, get_max_time(max_duration))


def get_inherited_time_left(
    known: LongGrants,
    own_node: str,
    is_majority: Callable[[Set[str]], bool],
    max_duration: datetime.timedelta,
    now: datetime.timedelta,
) -> datetime.timedelta:
    """Return the longest duration of the previous coordinators' grants from now on.

    Unless most members told of them in the election, this is the longest duration of a
    grant, since only the members that received its heartbeats know of a coordinator's
    long grants.
    """
    informants = {node for node, until in known.informants.items() if until >= now}
    if known.unaware_until <= now:
        informants.add(own_node)
    if not is_majority(informants):
        return max_duration
    time_left = max(known.until - now, datetime.timedelta())
    return min(time_left, max_duration)
