"""The votes of the instances, which also tell of long grants.

A vote says whether an instance receives healthy heartbeats, for how long grants may be
valid that are longer than usual, and whether the instance knows of all of them. What
follows from that is in `elections` and `long_grants`.
"""

import asyncio
import datetime
from collections.abc import Callable

from dewstep_core import clocks, events
from dewstep_fleet import (
    directories,
    elections,
    followers,
    frames,
    links,
    long_grants,
    membership,
    model,
    roles,
)

VOTE_TIMEOUT = datetime.timedelta(milliseconds=500)


class Votes:
    """The votes that this instance gives and requests.

    Parameters
    ----------
    role : roles.Role
    own_membership : membership.Membership
    own_followers : followers.Followers
    directory : directories.Directory
    clock : clocks.Clock
    known : long_grants.LongGrants
        What is known of long grants at the start.
    get_max_duration : callable
        Returns the maximum duration of a grant.
    get_own_time_left : callable
        Returns the remaining time of the long grants that this coordinator has sent.
    receive : callable
        Called with a link and each message received on it.
    drop_link : callable
        Called with a link after it has closed.
    """

    def __init__(
        self,
        role: roles.Role,
        own_membership: membership.Membership,
        own_followers: followers.Followers,
        directory: directories.Directory,
        clock: clocks.Clock,
        known: long_grants.LongGrants,
        get_max_duration: Callable[[], datetime.timedelta],
        get_own_time_left: Callable[[], datetime.timedelta],
        receive: Callable[[links.Link, frames.Frame], None],
        drop_link: Callable[[links.Link], None],
    ):
        self.role = role
        self.membership = own_membership
        self.followers = own_followers
        self.directory = directory
        self.clock = clock
        self.get_max_duration = get_max_duration
        self.get_own_time_left = get_own_time_left
        self.receive = receive
        self.drop_link = drop_link
        self.known = known
        self.pending: dict[links.Link, asyncio.Future] = {}
        """Future answers by the link of the request."""

    # Votes of this instance.

    def answer(self, link: links.Link, frame: frames.Frame) -> None:
        """Answer a vote request."""
        now = self.clock.monotonic()
        if self.role.coordinating:
            healthy = not self.role.stopping and self.followers.is_healthy()
        else:
            healthy = membership.has_healthy_coordinator(self.membership.contact, now)
        time_left = self.get_long_grant_time_left()
        self.known = self.known._replace(voted_at=now)
        link.send(
            self.role.build_frame(
                "tell",
                heard=healthy,
                holds_ms=frames.to_milliseconds(time_left),
                holds_known=self.known.unaware_until <= now,
            )
        )

    def choose_acknowledged(self) -> int:
        """Return the `heartbeat_ms` that this instance acknowledges in a report."""
        if long_grants.has_voted_recently(self.known, self.clock.monotonic()):
            return 0
        return self.membership.received_heartbeat_ms

    # Votes of others.

    def begin_election(self) -> None:
        """Forget the votes of earlier elections."""
        self.known = long_grants.forget_informants(self.known)

    async def request(self, member: model.Member) -> elections.Vote:
        """Ask one instance whether it receives healthy heartbeats."""
        link = None
        asked_at = self.clock.monotonic()
        try:
            async with asyncio.timeout(VOTE_TIMEOUT.total_seconds()):
                link = await links.connect(
                    member.host, member.port, self.receive, self.drop_link
                )
                answer = asyncio.get_running_loop().create_future()
                self.pending[link] = answer
                link.send(self.role.build_frame("ask"))
                frame = await answer
        except ConnectionRefusedError:
            return "down"
        except OSError:
            return None
        finally:
            if link is not None:
                self.pending.pop(link, None)
                link.close()
        if frame is None or frame.node != member.node:
            # Another instance now has this address.
            return None
        self.record_long_grants(frame)
        if frame.holds_known:
            self.known = long_grants.record_informant(self.known, member.node, asked_at)
        leadership = self.directory.leadership
        if (
            member.node == leadership.node
            and frame.incarnation != leadership.incarnation
        ):
            # The coordinator has ended; a process that has just started assumes that
            # there is one.
            return False
        return frame.heard

    def accept_answer(self, link: links.Link, frame: frames.Frame | None) -> None:
        """Pass on the answer to a request, or None if its link has closed."""
        answer = self.pending.get(link)
        if answer is not None and not answer.done():
            answer.set_result(frame)

    def forget_link(self, link: links.Link) -> None:
        """End the request on a link that has closed."""
        self.accept_answer(link, None)
        self.pending.pop(link, None)

    # Long grants.

    def record_long_grants(self, frame: frames.Frame) -> None:
        """Record the remaining time of long grants that the sender reports."""
        now = self.clock.monotonic()
        time_left = datetime.timedelta(milliseconds=frame.holds_ms)
        if time_left and self.known.until <= now:
            events.info(
                "long_grants_reported",
                node=frame.node,
                term=frame.term,
                time_left=time_left,
            )
        self.known = long_grants.record_told(self.known, time_left, now)

    def announce_long_grants(self, now: datetime.timedelta) -> None:
        """Announce long grants with the next heartbeat if the store is lost."""
        announces = self.followers.can_lead_without_store()
        self.known = long_grants.announce(self.known, announces, now)

    def may_send_long_grants(self) -> bool:
        """Whether most members know of long grants sent now."""
        return self.followers.know_of_long_grants(self.known.announcing_since)

    def get_inherited_grant_time_left(self) -> datetime.timedelta:
        """Return the longest duration of the previous coordinators' grants."""
        return long_grants.get_inherited_time_left(
            self.known,
            self.role.own_member.node,
            self.followers.quorum_writer.is_majority,
            self.get_max_duration(),
            self.clock.monotonic(),
        )

    def get_long_grant_time_left(self) -> datetime.timedelta:
        """Return the longest remaining time of the long grants known or announced."""
        own = (
            self.get_own_time_left() if self.role.coordinating else datetime.timedelta()
        )
        return long_grants.get_time_left(
            self.known, own, self.get_max_duration(), self.clock.monotonic()
        )

    def record_first_term(self, now: datetime.timedelta) -> None:
        """Record that no coordinator can have sent grants yet."""
        self.known = long_grants.record_first_term(self.known, now)

    def end_term(self, now: datetime.timedelta) -> None:
        """Keep what this coordinator knows of its own long grants."""
        until = now + self.get_long_grant_time_left()
        self.known = long_grants.forget_informants(self.known)._replace(
            until=until, announcing_since=None
        )
