"""The reports of this instance to the coordinator, also if it is that itself.

A report contains what this instance counted since the last one. A deputy adds the rows
that it has read from the store, which the coordinator may not reach.
"""

from collections.abc import Callable, Iterable

from dewstep_fleet import (
    feeds,
    followers,
    frames,
    links,
    load_counts,
    loss_reports,
    membership,
    model,
    request_limits,
    roles,
    votes,
)
from dewstep_fleet.totals import envelopes, report_targets


class OwnReports:
    """Builds the reports of this instance.

    Parameters
    ----------
    role : roles.Role
    own_membership : membership.Membership
    own_votes : votes.Votes
    losses : loss_reports.LossReports
    limits : request_limits.RequestLimits
    loads : load_counts.Loads
    take_key_counts : callable
        Returns the requests counted by key since the last call.
    table_feeds : feeds.TableFeeds
    reaches_targets : callable
        Whether a target has recently answered this instance.
    """

    def __init__(
        self,
        role: roles.Role,
        own_membership: membership.Membership,
        own_votes: votes.Votes,
        losses: loss_reports.LossReports,
        limits: request_limits.RequestLimits,
        loads: load_counts.Loads,
        take_key_counts: Callable[[], tuple[frames.KeyCount, ...]],
        table_feeds: feeds.TableFeeds,
        reaches_targets: Callable[[], bool],
    ):
        self.role = role
        self.membership = own_membership
        self.votes = own_votes
        self.losses = losses
        self.limits = limits
        self.loads = loads
        self.take_key_counts = take_key_counts
        self.table_feeds = table_feeds
        self.reaches_targets = reaches_targets
        self.rows: list[model.StoredRow] = []
        """Changed rows that a deputy sends to the coordinator with its next report."""
        self.writer = report_targets.ReportWriter()

    def build(self) -> frames.Frame:
        """Return a report of what this instance counted since the last one."""
        rows, self.rows = tuple(self.rows), []
        # A coordinator sends these with its next heartbeat.
        crashes, departures = (
            ((), ()) if self.role.coordinating else self.losses.take_unsent()
        )
        return self.role.build_frame(
            "report",
            contact=self.table_feeds.has_recent_answer(followers.STORE_ANSWER_MAX_AGE),
            heard=self.table_feeds.failing_since is None,
            rows=rows,
            loads=self.loads.collect_report(),
            keys=self.take_key_counts(),
            crashes=crashes,
            departures=departures,
            limits=self.limits.list_own(),
            cold=self.limits.warm_up.list_own(),
            reaches_targets=self.reaches_targets(),
            stopping=self.role.stopping,
            heartbeat_ms=self.votes.choose_acknowledged(),
        )

    def send_rows(self, rows: Iterable[model.StoredRow]) -> None:
        """Send rows that this deputy has read to the coordinator."""
        link = self.membership.coordinator_link
        if self.role.deputy and link is not None:
            self.rows.extend(rows)
            self.send(link)

    def send(self, link: links.Link) -> None:
        """Send a report to the coordinator in the form that it accepts."""
        frame = self.build()._replace(
            accepts_compact=link.state.accepts_compact,
            wants_totals=link.state.totals_refused,
        )
        block = None
        if link.state.reports_compact:
            block = self.writer.encode(link.state, frame)
        if block is None:
            link.send(frame)
        else:
            link.send_encoded(envelopes.encode(frame, block), frame.kind)
