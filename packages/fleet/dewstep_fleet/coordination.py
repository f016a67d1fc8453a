"""Participation of one instance in the fleet, as a member or as the coordinator.

A row of the store names the coordinator. The coordinator connects to all instances and
sends each a periodic heartbeat ("beat"), which each answers with a report, and news of
changed rows ("rows") in between. A heartbeat is healthy if its sender reaches the
store. An instance that has received no healthy heartbeat for its election time-out asks
the others for a vote. If most running instances receive none either, it replaces the
row in a transaction. A coordinator that the store rejects is thus replaced too; until
then, deputies, which also follow the store, send it the rows that it cannot read.

This module puts the parts together and passes each message to those that it concerns:

- `roles`, `elections`, `candidacy`, `tenure`: who coordinates
- `votes`, `long_grants`: which grants of its predecessor a coordinator has to expect
- `quorum_writes`, `followers`: who counts, and who follows this coordinator
- `membership`, `heartbeats`, `reports`, `own_reports`: what coordinator and members
  hear of each other
- `member_links`, `news`, `registration`, `member_removal`: links, rows, and the row of
  this instance and of those that are gone
- `permit_questions`, `configuration_questions`, `loss_reports`: what instances ask and
  tell one another for their requests
"""

import datetime
import random
from collections.abc import Callable

from dewstep_core import clocks, events, tasks
from dewstep_fleet import (
    candidacy,
    configuration_checks,
    configuration_questions,
    crash_counts,
    demands,
    directories,
    feeds,
    followers,
    frames,
    granting,
    heartbeats,
    links,
    load_counts,
    long_grants,
    loss_reports,
    member_links,
    member_removal,
    membership,
    model,
    news,
    own_reports,
    permit_questions,
    quorum_writes,
    reachability,
    registration,
    request_limits,
    roles,
    selection,
    tenure,
    votes,
)
from dewstep_fleet.evacuation import relayed_rows
from dewstep_fleet.totals import columns
from dewstep_fleet.warm_up import tracking

TICK_INTERVAL = datetime.timedelta(milliseconds=50)
PAUSE_THRESHOLD = datetime.timedelta(milliseconds=400)
"""A tick that is later than this shows that the process itself was paused."""


class FleetParticipant:
    """Participation of one instance in the fleet, as a member or as the coordinator.

    Parameters
    ----------
    own_member : model.Member
        This instance.
    directory : directories.Directory
    store_feeds : feeds.TableFeeds
    store : model.Store
    channel : model.GrantChannel
    clock : clocks.Clock
    timing : model.Timing
    loads : load_counts.Loads
    take_key_counts : callable
        Returns the requests counted by key since the last call.
    generator : random.Random
    """

    def __init__(
        self,
        own_member: model.Member,
        directory: directories.Directory,
        store_feeds: feeds.TableFeeds,
        store: model.Store,
        channel: model.GrantChannel,
        clock: clocks.Clock,
        timing: model.Timing,
        loads: load_counts.Loads,
        take_key_counts: Callable[[], tuple[frames.KeyCount, ...]],
        generator: random.Random,
    ):
        self.own_member = own_member
        self.directory = directory
        self.table_feeds = store_feeds
        self.clock = clock
        self.loads = loads
        now = clock.monotonic()
        self.reachability = reachability.Reachability(now)
        """Contact of this instance to the targets; replaced by that of its
        dispatcher."""
        self.tasks = tasks.TaskOwner(self.handle_task_failure)
        self.role = roles.Role(own_member)
        self.membership = membership.Membership(now)
        self.needed_tables = followers.NeededTables(
            self.role, self.membership, store_feeds
        )
        self.demands = demands.Demands(clock)
        self.limits = request_limits.RequestLimits(
            clock,
            generator,
            lambda: self.permit_questions.schedule(),
            lambda: len(self.quorum_writer.list_members()),
            tracking.WarmUp(clock, directory, timing.warm_up),
        )
        self.quorum_writer = quorum_writes.QuorumWriter(
            self.role,
            directory,
            store_feeds,
            store,
            self.tasks,
            lambda: self.granter.adopted,
            lambda: self.granter.leadership.version,
            now,
        )
        self.followers = followers.Followers(
            self.role,
            self.quorum_writer,
            store_feeds,
            clock,
            lambda: self.granter.is_term_confirmed(),
            lambda: self.granter.reaches_targets(),
        )
        self.member_removal = member_removal.MemberRemoval(
            self.role,
            directory,
            store,
            self.quorum_writer,
            self.tasks,
            self.followers.list_nodes,
            now,
        )
        self.votes = votes.Votes(
            self.role,
            self.membership,
            self.followers,
            directory,
            clock,
            long_grants.build_unaware(now, timing.max_grant_duration),
            lambda: self.granter.timing.max_grant_duration,
            lambda: self.granter.get_long_grant_time_left(),
            self.receive,
            self.drop_link,
        )
        self.member_links = member_links.MemberLinks(
            self.role,
            directory,
            clock,
            self.tasks,
            self.receive,
            self.drop_link,
            self.forget_member,
        )
        self.losses = loss_reports.LossReports(self.role, directory, clock)
        self.news = news.News(
            self.role,
            directory,
            clock,
            self.member_links,
            self.losses,
            self.followers.is_healthy,
        )
        self.granter = granting.Granter(
            directory,
            store_feeds,
            store,
            channel,
            clock,
            timing,
            self.followers.can_lead_without_store,
            self.followers.are_majority,
            self.followers.are_half,
            self.votes.may_send_long_grants,
            lambda service: self.demands.get_demand(
                service,
                loads.get_typical_seconds(service, ""),
                self.limits.list_capacity_rates(),
            ),
            lambda target: selection.estimate_queue_wait(
                loads, target, clock.monotonic()
            ),
            self.votes.get_inherited_grant_time_left,
            self.news.schedule,
            self.followers.can_connect_without_store,
        )
        self.candidacy = candidacy.Candidacy(
            self.role,
            self.membership,
            self.votes,
            self.quorum_writer,
            directory,
            store_feeds,
            store,
            clock,
            generator,
            self.tasks,
            lambda: self.reachability.is_cut_off(),
            lambda term: self.tenure.knows_owners_of(term),
            lambda: self.tenure.start_if_elected(),
        )
        self.registration = registration.Registration(
            own_member, directory, store_feeds, store, clock, generator, self.tasks
        )
        self.permit_questions = permit_questions.PermitQuestions(
            self.role,
            self.membership,
            self.limits,
            clock,
            self.followers.get_permit_part,
        )
        self.configuration_questions = configuration_questions.ConfigurationQuestions(
            self.role,
            self.membership,
            directory,
            store_feeds,
            clock,
            self.news.apply_relayed_rows,
        )
        self.own_reports = own_reports.OwnReports(
            self.role,
            self.membership,
            self.votes,
            self.losses,
            self.limits,
            loads,
            take_key_counts,
            store_feeds,
            lambda: self.reachability.has_recent_answer(clock.monotonic()),
        )
        self.tenure = tenure.Tenure(
            self.role,
            self.membership,
            self.followers,
            self.votes,
            self.quorum_writer,
            self.member_links,
            self.news,
            self.permit_questions,
            self.granter,
            directory,
            store_feeds,
            clock,
            self.candidacy.take_claim_time,
        )
        self.heartbeats = heartbeats.Heartbeats(
            self.role,
            self.membership,
            self.followers,
            self.votes,
            self.member_links,
            self.news,
            self.losses,
            self.limits,
            loads,
            self.demands,
            directory,
            clock,
            self.own_reports.build,
            lambda: self.granter.admitted_fractions,
        )
        self.handlers: dict[str, Callable[[links.Link, frames.Frame], None]] = {
            "ask": self.votes.answer,
            "beat": self.receive_heartbeat,
            "confirm": self.configuration_questions.answer,
            "confirmed": self.configuration_questions.receive_answer,
            "greeting": self.news.receive_greeting,
            "need": self.receive_permit_question,
            "permits": self.permit_questions.receive_answer,
            "report": self.receive_report,
            "rows": self.receive_news,
            "tell": self.receive_vote,
            "versions": self.news.answer_versions,
        }
        """Handlers of messages by their kind."""
        directory.listeners.append(self.forward_rows)

    # What other parts of the process use.

    def record_crash(self, fingerprint: bytes, loss: crash_counts.Loss) -> None:
        """Record the loss of a target while a request was in progress there."""
        self.losses.record_crash(fingerprint, loss)

    def record_completion(self, fingerprint: bytes) -> None:
        """Clear a request that a target has completed of all suspicions."""
        self.losses.record_completion(fingerprint)

    @property
    def term(self) -> int:
        """The newest known term."""
        return self.role.term

    @property
    def coordinating(self) -> bool:
        """Whether this instance is the coordinator."""
        return self.role.coordinating

    @property
    def stopping(self) -> bool:
        """Whether this instance is about to stop."""
        return self.role.stopping

    @stopping.setter
    def stopping(self, stopping: bool) -> None:
        self.role.stopping = stopping

    @property
    def live_instances(self) -> int:
        """Number of live instances, as counted by the coordinator."""
        return self.membership.live_instances

    @property
    def crash_counts(self) -> crash_counts.CrashCounts:
        """The losses of targets that requests are suspected of."""
        return self.losses.crash_counts

    @property
    def configuration_checks(self) -> configuration_checks.ConfigurationChecks:
        """What this instance knows of the age of its configuration."""
        return self.configuration_questions.checks

    async def register(self) -> None:
        """Write this instance's member row, retrying until it is stored."""
        await self.registration.register()

    def schedule_heartbeat(self) -> None:
        """Schedule a heartbeat for the event loop's next iteration."""
        self.heartbeats.schedule()

    def record_departure(self, target: str, life: int) -> None:
        """Record that a target is leaving, and tell the other instances."""
        self.losses.record_departure(target, life)

    # Lifecycle.

    async def start(self) -> None:
        """Listen for connections of other instances."""
        await self.member_links.listen()

    async def run(self) -> None:
        """Participate in the fleet until cancelled."""
        try:
            last = self.clock.monotonic()
            while True:
                await self.clock.sleep(TICK_INTERVAL)
                now = self.clock.monotonic()
                if now - last > TICK_INTERVAL + PAUSE_THRESHOLD:
                    # Heartbeats received meanwhile have not been read yet.
                    self.membership.restart(now)
                    events.warning("paused", lasted=now - last)
                last = now
                self.tick(now)
        finally:
            self.tasks.cancel()
            self.tenure.cancel()
            self.member_links.close()

    def handle_task_failure(self, error: BaseException, task: str) -> None:
        """Log a failed task; a later tick retries its work."""
        events.exception("coordination_failed", error, task=task)

    def tick(self, now: datetime.timedelta) -> None:
        """Do all work that is due."""
        self.directory.apply_deferred_removals()
        self.needed_tables.follow(now)
        if (
            not self.directory.leadership.version
            and not self.directory.era_floor
            and model.TABLES.fleet in self.table_feeds.current_tables
        ):
            # There has been no coordinator that could have sent grants. A restored
            # store may only have lost its row.
            self.votes.record_first_term(now)
        self.registration.keep()
        self.limits.forget_ended(self.directory.targets)
        if self.role.coordinating:
            if self.tenure.end_if_deposed():
                return
            self.member_links.dial_members(now)
            self.quorum_writer.observe_if_due(self.followers.list_nodes, now)
            self.quorum_writer.keep(now)
            self.member_removal.remove_if_due(now)
            self.heartbeats.send_if_due(now)
        else:
            self.candidacy.stand_if_due(now)

    # Messages.

    def receive(self, link: links.Link, frame: frames.Frame) -> None:
        """Process a message of another instance."""
        handler = self.handlers.get(frame.kind)
        if handler is not None:
            handler(link, relayed_rows.exclude_assumed_removals(frame))

    def drop_link(self, link: links.Link) -> None:
        """Forget a link that has closed."""
        self.votes.forget_link(link)
        self.member_links.drop(link)

    def forget_member(self, node: str) -> None:
        """Forget what depends on the link to a member."""
        self.news.forget_member(node)
        self.followers.reports.pop(node, None)

    def receive_heartbeat(self, link: links.Link, frame: frames.Frame) -> None:
        """Follow the coordinator that sent a heartbeat, and report to it."""
        now = self.clock.monotonic()
        if not self.role.is_current(link, frame):
            return
        if self.role.coordinating:
            if frame.node == self.own_member.node or frame.term == self.role.term:
                return
            self.tenure.step_down(f"heartbeat of {frame.node} with a newer term")
        if frame.term > self.role.term:
            events.info("coordinator_heard", node=frame.node, term=frame.term)
            # The size of the fleet was not known when the time-out was last drawn.
            self.candidacy.redraw_timeout()
        self.role.term = frame.term
        self.votes.record_long_grants(frame)
        self.membership.received_heartbeat_ms = frame.heartbeat_ms
        self.membership.coordinator_link = link
        self.membership.record_message(frame, now)
        self.membership.live_instances = max(1, frame.members)
        self.role.deputy = frame.deputy
        if frame.rows:
            self.news.apply_relayed_rows(frame.rows)
        news.apply_moves(self.directory, frame)
        totals = columns.read(link.state, frame)
        if totals is not None:
            self.loads.apply_totals(totals, now.total_seconds())
        self.limits.apply_observations(frame.limits, first_hand=False)
        self.limits.warm_up.apply_observations(frame.cold)
        self.losses.receive_heartbeat(frame, now)
        self.news.record_complete(link, frame, now - self.membership.delay)
        self.own_reports.send(link)

    def receive_news(self, link: links.Link, frame: frames.Frame) -> None:
        """Apply news, which also show that the coordinator lives."""
        if not self.role.is_current(link, frame):
            return
        now = self.clock.monotonic()
        self.news.apply(link, frame)
        if not self.role.coordinating:
            news.apply_moves(self.directory, frame)
            if (
                frame.term == self.role.term
                and link is self.membership.coordinator_link
            ):
                self.membership.record_message(frame, now)
                self.news.record_complete(link, frame, now - self.membership.delay)

    def receive_report(self, link: links.Link, frame: frames.Frame) -> None:
        """Process the report of a member."""
        if frame.term > self.role.term:
            self.tenure.adopt_newer_term(frame)
        elif self.member_links.is_from_member(link, frame):
            self.heartbeats.receive_report(frame.node, frame)

    def receive_permit_question(self, link: links.Link, frame: frames.Frame) -> None:
        """Answer a member that needs permits."""
        if self.member_links.is_from_member(link, frame):
            self.permit_questions.answer(link, frame)

    def receive_vote(self, link: links.Link, frame: frames.Frame) -> None:
        """Process a vote, or the refusal of a message of an earlier term."""
        self.votes.accept_answer(link, frame)
        if frame.term > self.role.term:
            self.tenure.adopt_newer_term(frame)

    def forward_rows(self, changed_rows: list[model.StoredRow]) -> None:
        """Forward new rows to the members, or as a deputy to the coordinator."""
        if any(row.key == directories.COORDINATOR_KEY for row in changed_rows):
            self.candidacy.leadership_changed_at = self.clock.monotonic()
        if self.role.coordinating:
            self.news.add_rows(changed_rows)
            return
        self.tenure.start_if_elected()
        if not self.news.applying_relayed_rows:
            self.own_reports.send_rows(changed_rows)
