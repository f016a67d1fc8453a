"""The heartbeats of the coordinator, and the reports that answer them.

A heartbeat tells all members that the coordinator lives, and what it has added up from
their reports. A coordinator also reports to itself, so that its own requests count.
"""

import asyncio
import datetime
from collections.abc import Callable

from dewstep_core import clocks
from dewstep_fleet import (
    demands,
    directories,
    followers,
    frames,
    links,
    load_counts,
    loss_reports,
    member_links,
    membership,
    move_changes,
    news,
    reports,
    request_limits,
    roles,
    totals,
    votes,
)
from dewstep_fleet.totals import columns, envelopes

HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=100)
HEARTBEAT_INTERVAL_PER_MEMBER = datetime.timedelta(milliseconds=2)
"""Increases the interval in larger fleets, which limits the reports to 500/s with up to
150 members; decoding one takes 80 us."""
MAX_HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=300)
"""Half of `DIRECT_READ_TIMEOUT` less 50 ms of transit, so that one late heartbeat
starts no direct reads."""


def choose_interval(member_count: int) -> datetime.timedelta:
    """Return the interval between heartbeats to this number of members."""
    return min(
        max(HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL_PER_MEMBER * member_count),
        MAX_HEARTBEAT_INTERVAL,
    )


def is_silent(
    link: links.Link, report: reports.Report | None, now: datetime.timedelta
) -> bool:
    """Whether a link to a member should have brought a newer report, or a first one."""
    if report is not None:
        return now - report.received_at > membership.HEARTBEAT_TIMEOUT * 2
    opened_at = link.opened_at
    return opened_at is not None and now - opened_at > links.FIRST_FRAME_TIMEOUT


class Heartbeats:
    """Sends heartbeats to the members and takes their reports.

    Parameters
    ----------
    role : roles.Role
    own_membership : membership.Membership
    own_followers : followers.Followers
    own_votes : votes.Votes
    members : member_links.MemberLinks
    own_news : news.News
    losses : loss_reports.LossReports
    limits : request_limits.RequestLimits
    loads : load_counts.Loads
    reported_demands : demands.Demands
    directory : directories.Directory
    clock : clocks.Clock
    build_own_report : callable
        Returns a message with what this instance counted since the last one.
    get_admitted_fractions : callable
        Returns the fraction of its requests that each overloaded target can serve.
    """

    def __init__(
        self,
        role: roles.Role,
        own_membership: membership.Membership,
        own_followers: followers.Followers,
        own_votes: votes.Votes,
        members: member_links.MemberLinks,
        own_news: news.News,
        losses: loss_reports.LossReports,
        limits: request_limits.RequestLimits,
        loads: load_counts.Loads,
        reported_demands: demands.Demands,
        directory: directories.Directory,
        clock: clocks.Clock,
        build_own_report: Callable[[], frames.Frame],
        get_admitted_fractions: Callable[[], dict[str, float]],
    ):
        self.role = role
        self.membership = own_membership
        self.followers = own_followers
        self.votes = own_votes
        self.members = members
        self.news = own_news
        self.losses = losses
        self.limits = limits
        self.loads = loads
        self.demands = reported_demands
        self.directory = directory
        self.clock = clock
        self.build_own_report = build_own_report
        self.get_admitted_fractions = get_admitted_fractions
        self.last_sent_at = clock.monotonic()
        self.scheduled = False
        self.columns = columns.ColumnWriter()

    def send_if_due(self, now: datetime.timedelta) -> None:
        """Send a heartbeat if the interval since the last one has passed."""
        if now - self.last_sent_at >= choose_interval(len(self.members.links)):
            self.send(now)

    def schedule(self) -> None:
        """Schedule a heartbeat for the event loop's next iteration."""
        if self.role.coordinating and not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_soon(self._send_scheduled)

    def _send_scheduled(self) -> None:
        self.scheduled = False
        if self.role.coordinating:
            self.send(self.clock.monotonic())

    def send(self, now: datetime.timedelta) -> None:
        """Send a heartbeat to all members."""
        self.last_sent_at = now
        self.membership.contact = self.membership.contact._replace(heartbeat_at=now)
        self.receive_report(self.role.own_member.node, self.build_own_report())
        self.votes.announce_long_grants(now)
        self.membership.live_instances = len(self.followers.list_nodes())
        summed = reports.sum_loads(
            self.followers.reports,
            self.demands.slowness,
            self.get_admitted_fractions(),
        )
        self.loads.apply_totals(summed, now.total_seconds())
        crashes, departures = self.losses.take_unsent()
        deputies = set(self.choose_deputies())
        if self.news.has_unannounced_moves():
            self.news.schedule()
        large = self.membership.live_instances >= totals.MIN_MEMBERS
        if large:
            registered = len(self.directory.targets)
            self.columns.begin(self.role.term, summed, registered)
        encoded: dict[tuple[bool, bool, int | None], bytes] = {}
        for node, link in list(self.members.links.items()):
            report = self.followers.reports.get(node)
            if is_silent(link, report, now):
                # The connection may be broken permanently.
                link.close()
                self.members.drop(link)
                continue
            known = None
            if large and report is not None and report.accepts_compact:
                known = self.columns.count_known(link.state)
            kind = node in deputies, node in self.news.accepting_moves, known
            if kind not in encoded:
                # Most members get the same message.
                deputy, accepts_moves, _ = kind
                frame = self.build(deputy, summed, crashes, departures)
                if accepts_moves:
                    frame = frame._replace(moves_kept=True, moving=())
                encoded[kind] = self.encode(frame, known)
            if known is not None:
                self.columns.record_sent(link.state)
            if not link.send_encoded(encoded[kind], "beat"):
                self.members.drop(link)

    def encode(self, frame: frames.Frame, known: int | None) -> bytes:
        """Encode a heartbeat for members that have received some of the targets.

        They get the earlier form if `known` is None.
        """
        if known is None:
            return frames.encode(frame)
        return envelopes.encode(frame, self.columns.encode(known))

    def build(
        self,
        deputy: bool,
        summed: tuple[frames.Total, ...] = (),
        crashes: tuple[frames.Crash, ...] = (),
        departures: tuple[frames.Departure, ...] = (),
    ) -> frames.Frame:
        """Return a heartbeat message."""
        time_left = self.votes.get_long_grant_time_left()
        return self.role.build_frame(
            "beat",
            contact=self.followers.is_healthy(),
            members=self.membership.live_instances,
            totals=summed,
            moving=move_changes.list_spans(self.directory.moving),
            crashes=crashes,
            departures=departures,
            limits=self.limits.list_all(),
            cold=self.limits.warm_up.list_all(),
            stopping=self.role.stopping,
            deputy=deputy,
            holds_ms=frames.to_milliseconds(time_left),
            heartbeat_ms=frames.to_milliseconds(self.last_sent_at),
        )

    def choose_deputies(self) -> list[str]:
        """Return the members that should follow the store as deputies."""
        return reports.choose_deputies(
            self.followers.reports,
            self.members.links,
            self.directory.members,
            self.role.own_member.data_centre,
        )

    def receive_report(self, node: str, frame: frames.Frame) -> None:
        """Process a report of a member or of this instance itself."""
        self.followers.reports[node] = reports.build_report(
            frame, self.clock.monotonic()
        )
        if frame.rows:
            self.directory.apply_rows(frame.rows, apply_removals=True)
        self.demands.add_report(frame.keys, frame.loads)
        self.limits.apply_observations(frame.limits, first_hand=True)
        if node != self.role.own_member.node:
            self.limits.warm_up.apply_report(node, frame.cold)
        self.losses.receive_report(frame)
        link = self.members.links.get(node)
        if frame.wants_totals and link is not None:
            self.columns.repeat(link.state)
