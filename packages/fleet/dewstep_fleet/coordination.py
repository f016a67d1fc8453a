"""Coordinator election and the messages between the instances of a fleet.

A row of the store names the coordinator. The coordinator connects to all instances and
sends each a periodic heartbeat ("beat"), which each answers with a report, and news of
changed rows ("rows") in between. A heartbeat is healthy if its sender reaches the
store. An instance that has received no healthy heartbeat for its election time-out asks
the others for a vote. If most running instances receive none either, it replaces the
row in a transaction. A
coordinator that the store rejects is thus replaced too; until then, deputies, which
also follow the store, send it the rows that it cannot read.
"""

import asyncio
import datetime
import math
import random
from collections.abc import Callable, Iterable, Set

from returns import result

from dewstep_core import clocks, errors, events, tasks
from dewstep_fleet import (
    configuration_checks,
    crash_counts,
    demands,
    directories,
    feeds,
    frames,
    granting,
    links,
    load_counts,
    message_delays,
    model,
    move_changes,
    outstanding,
    permits,
    quorums,
    ranges,
    reachability,
    request_limits,
    row_changes,
    selection,
    terms,
)

HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=100)
NEWS_INTERVAL_PER_MEMBER = datetime.timedelta(microseconds=100)
"""Minimum interval between news in proportion to the members, to each of which news are
sent: 20 ms with 200. Changes in between are sent together."""
NEWS_PAUSE = datetime.timedelta(milliseconds=20)
"""Time after which it is checked again whether links have sent the last news."""
MAX_NEWS_PAUSE = datetime.timedelta(milliseconds=500)
"""Longest time without news because of links that send slowly or not at all."""
HEARTBEAT_INTERVAL_PER_MEMBER = datetime.timedelta(milliseconds=2)
"""Increases the interval in larger fleets, which limits the reports to 500/s with up to
150 members; decoding one takes 80 us."""
MAX_HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=300)
"""Half of `DIRECT_READ_TIMEOUT` less 50 ms of transit, so that one late heartbeat
starts no direct reads."""
DIRECT_READ_TIMEOUT = datetime.timedelta(milliseconds=700)
"""Without a heartbeat for this long, an instance reads the store itself."""
HEARTBEAT_TIMEOUT = datetime.timedelta(milliseconds=1000)
"""Without a healthy heartbeat for this long, the coordinator counts as failed."""
STORE_LOSS_TIMEOUT = datetime.timedelta(milliseconds=500)
"""Time-out for a coordinator that reports that it does not reach the store. It only has
to rule out a short failure of the store."""
ELECTION_JITTER = datetime.timedelta(milliseconds=300)
"""Elections start randomly within this time, so that one ends before others begin."""
ELECTION_JITTER_PER_MEMBER = datetime.timedelta(milliseconds=15)
"""Widens the jitter in a large fleet; an election takes 50 to 150 ms."""
WEAK_INSTANCE_DELAY = datetime.timedelta(milliseconds=500)
"""Additional election time-out of the weakest instances. A coordinator has a link to
each member, so strong instances should start elections first."""
MINORITY_ELECTION_TIMEOUT = datetime.timedelta(seconds=8)
"""Without a healthy heartbeat for this long, a minority may elect a coordinator."""
VOTE_VALIDITY = outstanding.TERM_CONFIRMATION_MAX_AGE
"""Time after a vote request for which its answer counts as the bound of long grants. A
coordinator that the store does not confirm sends no orders after this long. Meanwhile,
the voter acknowledges no announcement of further long grants."""
VOTE_TIMEOUT = datetime.timedelta(milliseconds=500)
RECONNECT_PAUSE = datetime.timedelta(milliseconds=300)
TICK_INTERVAL = datetime.timedelta(milliseconds=50)
PAUSE_THRESHOLD = datetime.timedelta(milliseconds=400)
"""A tick that is later than this shows that the process itself was paused."""
STORE_ANSWER_MAX_AGE = datetime.timedelta(milliseconds=2300)
"""Maximum age of the store's last answer for an instance that reaches the store; a
watch of the fleet's table lasts 1 s."""
DEPUTY_COUNT = 2
"""Number of instances besides the coordinator that follow the configuration and the
targets in the store. The store may reject one in three instances at the same time, and
a change must be in force within 2 s, which is less than a coordinator change takes."""
DEPUTY_TABLES = frozenset({model.TABLES.configuration, model.TABLES.targets})
STORE_FAILURE_THRESHOLD = datetime.timedelta(milliseconds=500)
"""The store counts as failed after this long, which one lost call does not reach."""
REPORT_MAX_AGE = datetime.timedelta(milliseconds=1000)
"""Maximum age of the last report of a member that counts as live."""


class Report:
    """A member's last report to the coordinator."""

    __slots__ = (
        "heartbeat_ms",
        "loads",
        "reaches_store",
        "reaches_targets",
        "received_at",
        "store_healthy",
    )

    def __init__(
        self,
        received_at,
        reaches_store,
        store_healthy,
        loads,
        heartbeat_ms,
        reaches_targets,
    ):
        self.received_at = received_at
        self.reaches_store = reaches_store
        self.store_healthy = store_healthy
        self.loads = loads
        self.heartbeat_ms = heartbeat_ms
        """When the heartbeat was sent that the member has acknowledged."""
        self.reaches_targets = reaches_targets


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
        self.store = store
        self.clock = clock
        self.loads = loads
        self.take_key_counts = take_key_counts
        self.random = generator
        self.demands = demands.Demands(clock)
        self.limits = request_limits.RequestLimits(
            clock, generator, self.schedule_question, lambda: len(self.list_members())
        )
        self.permit_issuer = permits.PermitIssuer()
        self.question_scheduled = False
        self.granter = granting.Granter(
            directory,
            store_feeds,
            store,
            channel,
            clock,
            timing,
            self.can_lead_without_store,
            self.is_followed,
            self.is_adopted,
            self.may_send_long_grants,
            lambda service: self.demands.get_demand(
                service,
                loads.get_typical_seconds(service, ""),
                self.limits.list_rates(),
            ),
            self.estimate_queue_wait,
            self.get_inherited_grant_time_left,
            self.schedule_news,
            self.can_connect_without_store,
        )
        self.configuration_checks = configuration_checks.ConfigurationChecks(
            clock,
            directory,
            lambda: store_feeds.complete_at.get(model.TABLES.configuration),
            self._ask_for_confirmation,
        )
        self.crash_counts = crash_counts.CrashCounts()
        self.unsent_losses: dict[tuple[bytes, str, int], crash_counts.Loss] = {}
        """Losses for the next report, by request, target and incarnation."""
        self.unsent_counts: dict[bytes, int] = {}
        """Changed counts of losses for the next heartbeat, by request; 0 also for the
        next report."""
        self.unsent_departures: list[frames.Departure] = []
        """Departures of targets for the next heartbeat or report."""
        now = clock.monotonic()
        self.reachability = reachability.Reachability(now)
        """Contact of this instance to the targets; replaced by that of its
        dispatcher."""
        self.term = 0
        self.initial_read_done = False
        """Whether all tables have been read at least once."""
        self.coordinating = False
        self.stopping = False
        self.registered = False
        """Whether this instance has written its member row."""
        self.started_at = now
        self.last_heartbeat_at = now
        """When a heartbeat was last received, or sent by this instance."""
        self.last_healthy_heartbeat_at = now
        self.long_grants_until = now
        """Until then, long grants that the coordinator reported may be valid."""
        self.unaware_until = now + self.get_max_long_grant_time()
        """Until then, long grants sent before the start of this process may be
        valid."""
        self.informants: dict[str, datetime.timedelta] = {}
        """Members whose votes told of all long grants, and until when this counts."""
        self.announcing_since: int | None = None
        """`heartbeat_ms` of the first heartbeat of this coordinator that announced long
        grants, or None if the last one did not."""
        self.message_delays = message_delays.Delays()
        """How late the coordinator's messages arrive."""
        self.received_heartbeat_ms = 0
        """`heartbeat_ms` of the last heartbeat received."""
        self.voted_at = now
        """When this instance, or perhaps its previous process, last answered a vote
        request."""
        self.leadership_changed_at = now
        """When this instance last received a new coordinator row."""
        self.coordinator_healthy = True
        """Whether the last heartbeat was healthy."""
        self.election_timeout = self.draw_election_timeout()
        self.live_instances = 1
        """Number of live instances, as counted by the coordinator."""
        self.electing = False
        self.server: asyncio.Server | None = None
        self.accepted_links: set[links.Link] = set()
        self.coordinator_link: links.Link | None = None
        """Link on which the last heartbeat was received."""
        self.links: dict[str, links.Link] = {}
        """Links of this coordinator to the members."""
        self.synchronised: dict[str, bool] = {}
        """Members that have received all rows of before, and whether they accept
        changes of rows."""
        self.news: dict[tuple[str, str], model.StoredRow] = {}
        """Changed rows for the next news, by table and key."""
        self.announced: dict[tuple[str, str], model.StoredRow] = {}
        """Rows as of the last news."""
        self.announced_moves: frozenset[frames.Span] = frozenset()
        """Ranges that were being moved as of the last news."""
        self.accepting_moves: set[str] = set()
        """Members that accept changes of moves."""
        self.next_dial_at: dict[str, datetime.timedelta] = {}
        self.reports: dict[str, Report] = {}
        self.pending_votes: dict[links.Link, asyncio.Future] = {}
        self.granter_task: asyncio.Task | None = None
        self.claimed_at: datetime.timedelta | None = None
        """When the last answered claim of a term was sent, until the term begins."""
        self.proposed_quorum: frozenset[str] | None = None
        """Members of a quorum that this coordinator has perhaps written."""
        self.writing_quorum = False
        self.next_quorum_write = now
        self.tasks = tasks.TaskOwner(self.handle_task_failure)
        self.last_heartbeat_sent_at = now
        self.last_question_at = -request_limits.MAX_QUESTION_INTERVAL
        self.heartbeat_scheduled = False
        self.last_news_at = now
        self.news_scheduled = False
        self.deputy = False
        self.applying_relayed_rows = False
        """Whether the rows being applied came from the coordinator."""
        self.rows_for_coordinator: list[model.StoredRow] = []
        """Changed rows that a deputy sends to the coordinator with its next report."""
        directory.listeners.append(self.forward_rows)

    def draw_election_timeout(self) -> datetime.timedelta:
        """Return a random time without a healthy heartbeat until the next election."""
        weakness = max(0.0, 1.0 - self.own_member.strength)
        jitter = max(
            ELECTION_JITTER, ELECTION_JITTER_PER_MEMBER * len(self.directory.members)
        )
        return (
            HEARTBEAT_TIMEOUT
            + WEAK_INSTANCE_DELAY * weakness
            + jitter * self.random.random()
        )

    # Lifecycle.

    async def start(self) -> None:
        """Listen for connections of other instances."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._accept, self.own_member.host, self.own_member.port
        )

    async def run(self) -> None:
        """Participate in the fleet until cancelled."""
        try:
            last = self.clock.monotonic()
            while True:
                await self.clock.sleep(TICK_INTERVAL)
                now = self.clock.monotonic()
                if now - last > TICK_INTERVAL + PAUSE_THRESHOLD:
                    # Heartbeats received meanwhile have not been read yet.
                    self.last_heartbeat_at = self.last_healthy_heartbeat_at = now
                    events.warning("paused", lasted=now - last)
                last = now
                self.tick(now)
        finally:
            self.tasks.cancel()
            if self.granter_task is not None:
                self.granter_task.cancel()
            for link in [*self.links.values(), *self.accepted_links]:
                link.close()
            if self.server is not None:
                self.server.close()

    def handle_task_failure(self, error: BaseException, task: str) -> None:
        """Log a failed task; a later tick retries its work."""
        events.exception("coordination_failed", error, task=task)

    def tick(self, now: datetime.timedelta) -> None:
        """Do all work that is due."""
        self.directory.apply_deferred_removals()
        self.follow_needed_tables(now)
        if (
            not self.directory.leadership.version
            and not self.directory.era_floor
            and model.TABLES.fleet in self.table_feeds.current_tables
        ):
            # There has been no coordinator that could have sent grants. A restored
            # store may only have lost its row.
            self.unaware_until = min(self.unaware_until, now)
        self.keep_registered()
        self.limits.forget_ended(self.directory.targets)
        if self.coordinating:
            if self.granter_task.done():
                self.finish_granting()
                return
            self.dial_members(now)
            self.keep_quorum(now)
            if now - self.last_heartbeat_sent_at >= self.choose_heartbeat_interval():
                self.send_heartbeat(now)
        elif (
            not self.electing and not self.stopping and self.should_start_election(now)
        ):
            self.electing = True
            self.tasks.spawn(self.run_election())

    def follow_needed_tables(self, now: datetime.timedelta) -> None:
        """Follow the tables whose changes no other instance sends."""
        if self.coordinating or now - self.last_heartbeat_at > DIRECT_READ_TIMEOUT:
            tables = frozenset(model.TABLES)
        elif (
            not self.coordinator_healthy
            or now - self.last_healthy_heartbeat_at > DIRECT_READ_TIMEOUT
        ):
            tables = frozenset({model.TABLES.fleet})
        else:
            tables = frozenset()
        if self.deputy:
            tables |= DEPUTY_TABLES
        if not self.initial_read_done:
            # Afterwards, a live coordinator sends the changes as soon as it has read
            # the row of this instance.
            self.initial_read_done = self.table_feeds.is_current()
            tables = frozenset(model.TABLES)
        elif not self.term:
            tables |= {model.TABLES.fleet}
        self.table_feeds.follow(tables, self.coordinating or self.deputy)

    # Election.

    def should_start_election(self, now: datetime.timedelta) -> bool:
        """Whether this instance should start an election."""
        if not self.table_feeds.has_recent_answer(STORE_ANSWER_MAX_AGE):
            return False
        if model.TABLES.fleet not in self.table_feeds.current_tables:
            return False
        if self.reachability.is_cut_off():
            # As a coordinator, it could grant no keys.
            return False
        leadership = self.directory.leadership
        if self.lost_own_row():
            return True
        if not leadership.version:
            # All instances may be starting now; the strongest start elections first.
            weakness = max(0.0, 2.0 - self.own_member.strength)
            return (
                now - self.started_at
                >= self.election_timeout
                - HEARTBEAT_TIMEOUT
                + weakness * ELECTION_JITTER
            )
        if leadership.node == self.own_member.node:
            # An earlier incarnation of this instance was the coordinator.
            if leadership.incarnation != self.own_member.incarnation:
                return True
            # This instance ended its term, and the row of its successor may be lost.
            return now - self.last_healthy_heartbeat_at > self.election_timeout
        # A newly elected coordinator needs time for its first heartbeats.
        since = max(self.last_healthy_heartbeat_at, self.leadership_changed_at)
        if (
            now - self.last_heartbeat_at < DIRECT_READ_TIMEOUT
            and not self.coordinator_healthy
        ):
            return (
                now - since
                > self.election_timeout - HEARTBEAT_TIMEOUT + STORE_LOSS_TIMEOUT
            )
        return now - since > self.election_timeout

    def lost_own_row(self) -> bool:
        """Whether the row of this instance's term was lost in a restore.

        Any other instance would have to wait for the grants of this term.
        """
        return (
            self.directory.leadership.term < self.term == self.granter.leadership.term
            and self.granter.knows_owners()
        )

    async def run_election(self) -> None:
        """Become the coordinator if most instances receive no healthy heartbeat."""
        try:
            leadership = self.directory.leadership
            vacant = (
                not leadership.version
                or leadership.node == self.own_member.node
                or self.lost_own_row()
            )
            if not vacant and not await self.collect_votes():
                return
            if not vacant and self.has_healthy_coordinator():
                return
            if leadership != self.directory.leadership:
                # Another instance was elected meanwhile; the votes do not concern it.
                return
            await self.claim_leadership(leadership)
        finally:
            self.election_timeout = self.draw_election_timeout()
            self.electing = False

    def has_healthy_coordinator(self) -> bool:
        """Whether this instance recently received a healthy heartbeat."""
        since_heartbeat = self.clock.monotonic() - self.last_healthy_heartbeat_at
        return self.coordinator_healthy and since_heartbeat <= HEARTBEAT_TIMEOUT

    async def collect_votes(self) -> bool:
        """Ask all other instances for a vote; return whether they elect this one."""
        others = [
            member
            for member in self.directory.members.values()
            if member.node != self.own_member.node
        ]
        self.informants.clear()
        votes = await asyncio.gather(*(self.request_vote(member) for member in others))
        unanswered = votes.count(None)
        in_favour = votes.count(False)
        against = votes.count(True)
        # Instances that refuse connections are not running and do not count.
        voters = 1 + unanswered + in_favour + against
        # Established links may be broken while new connections reach the coordinator.
        coordinator = self.directory.leadership.node
        alive = any(
            vote is True and member.node == coordinator
            for member, vote in zip(others, votes, strict=True)
        )
        events.info(
            "votes", missing=in_favour, heard=against, silent=unanswered, alive=alive
        )
        if alive:
            return False
        if 2 * (in_favour + 1) > voters:
            return True
        return (
            self.clock.monotonic() - self.last_healthy_heartbeat_at
            > MINORITY_ELECTION_TIMEOUT
        )

    async def request_vote(self, member: model.Member) -> bool | None | str:
        """Ask one instance whether it receives healthy heartbeats.

        Returns
        -------
        bool, None or str
            Its answer; None if it did not answer, "down" if it is not running.
        """
        link = None
        asked_at = self.clock.monotonic()
        try:
            async with asyncio.timeout(VOTE_TIMEOUT.total_seconds()):
                link = await links.connect(
                    member.host, member.port, self._receive, self._drop_link
                )
                answer = asyncio.get_running_loop().create_future()
                self.pending_votes[link] = answer
                link.send(self.build_frame("ask"))
                frame = await answer
        except ConnectionRefusedError:
            return "down"
        except OSError:
            return None
        finally:
            if link is not None:
                self.pending_votes.pop(link, None)
                link.close()
        if frame is None or frame.node != member.node:
            # Another instance now has this address.
            return None
        self.record_long_grants(frame)
        if frame.holds_known:
            self.informants[member.node] = asked_at + VOTE_VALIDITY
        leadership = self.directory.leadership
        if (
            member.node == leadership.node
            and frame.incarnation != leadership.incarnation
        ):
            # The coordinator has ended; a process that has just started assumes that
            # there is one.
            return False
        return frame.heard

    async def claim_leadership(self, leadership: directories.Leadership) -> None:
        """Replace the coordinator's row if it has not changed."""
        # A restored store may have lost the row of a later term.
        term = max(leadership.term, self.term) + 1
        record = directories.Leadership(
            self.own_member.node, self.own_member.incarnation, term, 0
        )
        value = directories.encode_record(record)
        quorum = self.directory.quorum
        writes = {directories.COORDINATOR_KEY: value}
        if not quorum.stored:
            writes[directories.QUORUM_KEY] = quorums.encode(
                quorum.nodes or self.list_members(), quorum.number + 1
            )
        began = self.clock.monotonic()
        outcome = await self.store.commit(
            {
                directories.COORDINATOR_KEY: leadership.version,
                directories.QUORUM_KEY: quorum.version,
            },
            writes,
        )
        if isinstance(outcome, result.Success):
            self.claimed_at = began
            # The term begins when the coordinator's row is applied.
            for key, written in reversed(writes.items()):
                self.directory.apply_written_row(key, outcome.unwrap(), written)
        else:
            events.info("claim_failed", failure=outcome.failure())
            if not await feeds.read_fleet_table(self.store, self.directory):
                return
        self.start_if_elected()

    def start_if_elected(self) -> None:
        """Start to coordinate if the row names this incarnation."""
        current = self.directory.leadership
        is_named = current.incarnation == self.own_member.incarnation
        if (
            not is_named
            or self.coordinating
            or current.term < self.term
            or self.stopping
        ):
            return
        heartbeat_age = self.clock.monotonic() - self.last_heartbeat_at
        self.term = current.term
        self.coordinating = True
        self.deputy = False
        self.last_heartbeat_at = self.last_healthy_heartbeat_at = self.clock.monotonic()
        self.reports.clear()
        self.permit_issuer = permits.PermitIssuer()
        self.proposed_quorum = None
        self.coordinator_link = None
        self.announced = dict(self.directory.rows)
        self.announced_moves = frozenset(self.list_moving())
        self.table_feeds.follow(frozenset(model.TABLES), relays=True)
        claimed_at, self.claimed_at = self.claimed_at, None
        self.granter_task = asyncio.ensure_future(self.granter.run(claimed_at))
        events.info(
            "coordinating",
            term=self.term,
            informants=len(self.informants),
            heartbeat_age=heartbeat_age,
            long_grants_left=self.get_inherited_grant_time_left(),
        )

    def finish_granting(self) -> None:
        """Step down after the granter has returned or failed."""
        error = self.granter_task.exception()
        if error is not None:
            task = self.granter_task.get_coro().__qualname__
            events.exception("granting_failed", error, task=task)
        self.step_down("deposed" if error is None else type(error).__name__)

    def step_down(self, reason: str) -> None:
        """Stop coordinating."""
        now = self.clock.monotonic()
        self.long_grants_until = now + self.get_long_grant_time_left()
        self.announcing_since = None
        self.coordinating = False
        self.granter_task.cancel()
        self.last_heartbeat_at = self.last_healthy_heartbeat_at = now
        for link in list(self.links.values()):
            link.close()
        self.links.clear()
        self.synchronised.clear()
        self.accepting_moves.clear()
        self.news.clear()
        self.announced.clear()
        self.informants.clear()
        self.live_instances = max(1, len(self.directory.members))
        events.warning("coordination_ended", term=self.term, reason=reason)

    def is_store_healthy(self) -> bool:
        """Whether the store answers, and confirms the term of a coordinator."""
        if self.coordinating and not self.granter.is_term_confirmed():
            return False
        failing = self.table_feeds.failing_since
        if (
            failing is not None
            and self.clock.monotonic() - failing > STORE_FAILURE_THRESHOLD
        ):
            return False
        return self.table_feeds.has_recent_answer(STORE_ANSWER_MAX_AGE)

    def is_healthy(self) -> bool:
        """Whether this coordinator should keep its term."""
        return self.is_store_healthy() and not self.should_yield()

    def should_yield(self) -> bool:
        """Whether targets answer other instances, but no order of this coordinator."""
        return not self.granter.reaches_targets() and any(
            report.reaches_targets
            for node, report in self.list_recent_reports().items()
            if node != self.own_member.node
        )

    def list_recent_reports(self) -> dict[str, Report]:
        """Return the reports that have just been received, by node."""
        oldest = self.clock.monotonic() - REPORT_MAX_AGE
        return {
            node: report
            for node, report in self.reports.items()
            if report.received_at >= oldest
        }

    def list_followers(self) -> set[str]:
        """Return the nodes that report to this coordinator, including its own."""
        return {*self.list_recent_reports(), self.own_member.node}

    def is_followed(self) -> bool:
        """Whether this instance is the coordinator and most instances report to it."""
        return self.coordinating and self.is_majority(self.list_followers())

    def is_adopted(self) -> bool:
        """Whether at least half of the members have adopted this coordinator's term.

        They reject an earlier coordinator, which the others alone do not let lead.
        """
        followers = self.list_followers()
        return all(
            quorums.is_half(followers, members) for members in self.list_quorums()
        )

    def can_lead_without_store(self) -> bool:
        """Whether most instances send reports and none of them reaches the store."""
        return self.is_followed() and not any(
            report.reaches_store for report in self.list_recent_reports().values()
        )

    def can_connect_without_store(self) -> bool:
        """Whether all members send reports and none of them reaches the store.

        Members that send none may have elected another coordinator, also as a minority.
        """
        members = self.list_members().union(*self.list_quorums())
        return self.can_lead_without_store() and self.list_followers() >= members

    def may_send_long_grants(self) -> bool:
        """Whether most members know of long grants sent now.

        They have acknowledged a recent heartbeat that announced such grants. The next
        coordinator asks most members, at least one of which is among them.
        """
        if self.announcing_since is None or not self.can_lead_without_store():
            return False
        oldest = to_milliseconds(self.clock.monotonic() - REPORT_MAX_AGE)
        oldest = max(oldest, self.announcing_since)
        informed = {
            node for node, item in self.reports.items() if item.heartbeat_ms >= oldest
        }
        return self.is_majority({*informed, self.own_member.node})

    def is_majority(self, nodes: Set[str]) -> bool:
        """Whether nodes include more than half of the members that count."""
        return all(
            quorums.is_majority(nodes, members) for members in self.list_quorums()
        )

    # Quorum.

    def list_members(self) -> frozenset[str]:
        """Return the nodes of all known members, including this one."""
        return frozenset({*self.directory.members, self.own_member.node})

    def list_quorums(self) -> list[frozenset[str]]:
        """Return each set of members of which a majority is needed.

        There are two while the outcome of the last change is unknown.
        """
        known = self.directory.quorum.nodes or self.list_members()
        if self.proposed_quorum is None:
            return [known]
        return [known, self.proposed_quorum]

    def keep_quorum(self, now: datetime.timedelta) -> None:
        """Write the quorum if it is not the known members.

        Until half of the previous one has adopted this term, an earlier coordinator may
        lead by a majority of it.
        """
        quorum = self.directory.quorum
        if quorum.stored and self.proposed_quorum == quorum.nodes:
            self.proposed_quorum = None
        if (
            self.writing_quorum
            or now < self.next_quorum_write
            or not self.granter.adopted
            or not self.table_feeds.is_current()
            or (quorum.stored and self.list_members() == quorum.nodes)
        ):
            return
        self.writing_quorum = True
        self.next_quorum_write = now + terms.TERM_CONFIRMATION_INTERVAL
        self.tasks.spawn(self.write_quorum())

    async def write_quorum(self) -> None:
        """Let all known members count in majorities.

        After an unknown outcome, the same members are written again, since majorities
        of more than two sets would be needed otherwise.
        """
        try:
            quorum = self.directory.quorum
            nodes = self.proposed_quorum or self.list_members()
            self.proposed_quorum = nodes
            value = quorums.encode(nodes, quorum.number + 1)
            outcome = await self.store.commit(
                {
                    directories.COORDINATOR_KEY: self.granter.leadership.version,
                    directories.QUORUM_KEY: quorum.version,
                },
                {directories.QUORUM_KEY: value},
            )
            if isinstance(outcome, result.Failure):
                events.warning("quorum_unwritten", failure=outcome.failure())
                return
            self.directory.apply_written_row(
                directories.QUORUM_KEY, outcome.unwrap(), value
            )
            events.info("quorum_changed", term=self.term, members=len(nodes))
        finally:
            self.writing_quorum = False

    # Links.

    def _accept(self) -> links.Link:
        link = links.Link(self._receive, self._drop_link)
        self.accepted_links.add(link)
        return link

    def _drop_link(self, link: links.Link) -> None:
        self.accepted_links.discard(link)
        answer = self.pending_votes.pop(link, None)
        if answer is not None and not answer.done():
            answer.set_result(None)
        for node, known in list(self.links.items()):
            if known is link:
                del self.links[node]
                self.synchronised.pop(node, None)
                self.accepting_moves.discard(node)
                self.reports.pop(node, None)
                events.info("member_lost", node=node)

    def dial_members(self, now: datetime.timedelta) -> None:
        """Connect to all members without a link."""
        for node, member in self.directory.members.items():
            if node == self.own_member.node or node in self.links:
                continue
            if now < self.next_dial_at.get(node, now):
                continue
            self.next_dial_at[node] = now + RECONNECT_PAUSE + links.CONNECT_TIMEOUT
            self.tasks.spawn(self.dial(member))

    async def dial(self, member: model.Member) -> None:
        """Connect to one member and start to synchronise its rows."""
        try:
            link = await links.connect(
                member.host, member.port, self._receive, self._drop_link
            )
        except OSError as error:
            events.info("dial_failed", node=member.node, error=type(error).__name__)
            return
        finally:
            self.next_dial_at[member.node] = self.clock.monotonic() + RECONNECT_PAUSE
        if not self.coordinating or member.node in self.links:
            link.close()
            return
        self.links[member.node] = link
        # Sending all rows to all members would saturate a slow link for seconds.
        if not link.send(self.build_frame("greeting")):
            self._drop_link(link)

    # Messages.

    def build_frame(self, kind: str, **fields) -> frames.Frame:
        """Return a message from this instance."""
        return frames.Frame(
            kind, self.term, self.own_member.node, self.own_member.incarnation, **fields
        )

    def choose_heartbeat_interval(self) -> datetime.timedelta:
        """Return the interval between heartbeats."""
        return min(
            max(HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL_PER_MEMBER * len(self.links)),
            MAX_HEARTBEAT_INTERVAL,
        )

    def forward_rows(self, changed_rows: list[model.StoredRow]) -> None:
        """Forward new rows to the members, or as a deputy to the coordinator."""
        if any(row.key == directories.COORDINATOR_KEY for row in changed_rows):
            self.leadership_changed_at = self.clock.monotonic()
        if not self.coordinating:
            self.start_if_elected()
            if (
                self.deputy
                and not self.applying_relayed_rows
                and self.coordinator_link is not None
            ):
                self.rows_for_coordinator.extend(changed_rows)
                self.coordinator_link.send(self.build_report())
            return
        self.news.update({(row.table, row.key): row for row in changed_rows})
        self.schedule_news()

    def schedule_news(self) -> None:
        """Schedule news for the event loop's next iteration, or a little later."""
        if not self.coordinating or self.news_scheduled:
            return
        self.news_scheduled = True
        next_at = self.last_news_at + NEWS_INTERVAL_PER_MEMBER * len(self.links)
        wait_s = (next_at - self.clock.monotonic()).total_seconds()
        asyncio.get_running_loop().call_later(max(wait_s, 0.0), self._send_news)

    def _send_news(self) -> None:
        """Send the changed rows and the moves to all members."""
        self.news_scheduled = False
        if not self.coordinating:
            return
        now = self.clock.monotonic()
        if self.has_unsent_news() and now - self.last_news_at < MAX_NEWS_PAUSE:
            # Changes that are sent together take fewer bytes.
            self.news_scheduled = True
            asyncio.get_running_loop().call_later(
                NEWS_PAUSE.total_seconds(), self._send_news
            )
            return
        self.last_news_at = now
        rows, changes = self.take_news()
        moves = move_changes.compare(self.announced_moves, self.directory.moving)
        self.announced_moves = frozenset(self.list_moving())
        encoded: dict[tuple[bool, bool], bytes] = {}
        for node, link in list(self.links.items()):
            # Other members still ask for all rows, and get the newest ones.
            if node not in self.synchronised:
                continue
            accepted = self.synchronised[node], node in self.accepting_moves
            if accepted not in encoded:
                # Most members get the same message.
                frame = self.build_accepted_news(rows, changes, moves, *accepted)
                encoded[accepted] = frames.encode(frame)
            if not link.send_encoded(encoded[accepted]):
                self._drop_link(link)

    def has_unsent_news(self) -> bool:
        """Whether most links have not sent the last news yet."""
        waiting = sum(link.has_unsent_bytes() for link in self.links.values())
        return 2 * waiting > len(self.links)

    def build_accepted_news(
        self,
        rows: tuple[model.StoredRow, ...],
        changes: tuple[row_changes.RowChange, ...],
        moves: move_changes.MoveChanges,
        accepts_changes: bool,
        accepts_moves: bool,
    ) -> frames.Frame:
        """Return news as a member accepts them; earlier versions need whole values."""
        if not accepts_changes:
            changed = tuple(self.announced[item.table, item.key] for item in changes)
            rows, changes = pack_rows((*rows, *changed)), ()
        frame = self.build_news(rows, changes)
        if not accepts_moves:
            return frame
        return frame._replace(
            moves_kept=True, moving=(), begun=moves.begun, ended=moves.ended
        )

    def take_news(
        self,
    ) -> tuple[tuple[model.StoredRow, ...], tuple[row_changes.RowChange, ...]]:
        """Return the rows of the next news, some of them as changes."""
        rows, changes = [], []
        for row_key, row in self.news.items():
            base = self.announced.get(row_key)
            change = row_changes.build_change(base, row) if base is not None else None
            if change is None:
                rows.append(row)
            else:
                changes.append(change)
            self.announced[row_key] = row
        self.news.clear()
        return tuple(rows), tuple(changes)

    def build_news(
        self,
        rows: tuple[model.StoredRow, ...],
        changes: tuple[row_changes.RowChange, ...] = (),
    ) -> frames.Frame:
        """Return a message with changed rows and the ranges that are being moved."""
        return self.build_frame(
            "rows",
            contact=self.is_healthy(),
            stopping=self.stopping,
            rows=rows,
            changes=changes,
            moving=self.list_moving(),
            heartbeat_ms=to_milliseconds(self.clock.monotonic()),
        )

    def list_moving(self) -> tuple[frames.Span, ...]:
        """Return all ranges that are being moved."""
        return move_changes.list_spans(self.directory.moving)

    def schedule_heartbeat(self) -> None:
        """Schedule a heartbeat for the event loop's next iteration."""
        if self.coordinating and not self.heartbeat_scheduled:
            self.heartbeat_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_scheduled_heartbeat)

    def _send_scheduled_heartbeat(self) -> None:
        self.heartbeat_scheduled = False
        if self.coordinating:
            self.send_heartbeat(self.clock.monotonic())

    def send_heartbeat(self, now: datetime.timedelta) -> None:
        """Send a heartbeat to all members."""
        self.last_heartbeat_sent_at = now
        self.last_heartbeat_at = now
        self.receive_report(self.own_member.node, self.build_report())
        if not self.can_lead_without_store():
            self.announcing_since = None
        elif self.announcing_since is None:
            self.announcing_since = to_milliseconds(now)
        self.live_instances = len(self.list_followers())
        totals = self.sum_loads()
        self.loads.apply_totals(totals, now.total_seconds())
        crashes, departures = self.take_unsent()
        if move_changes.compare(self.announced_moves, self.directory.moving) != (
            move_changes.MoveChanges()
        ):
            self.schedule_news()
        deputies = set(self.choose_deputies())
        encoded: dict[tuple[bool, bool], bytes] = {}
        for node, link in list(self.links.items()):
            report_age = (
                now - self.reports[node].received_at if node in self.reports else None
            )
            if report_age is not None and report_age > HEARTBEAT_TIMEOUT * 2:
                # The connection may be broken permanently.
                link.close()
                self._drop_link(link)
                continue
            kind = node in deputies, node in self.accepting_moves
            if kind not in encoded:
                # Most members get the same message.
                deputy, accepts_moves = kind
                frame = self.build_heartbeat(deputy, totals, crashes, departures)
                if accepts_moves:
                    frame = frame._replace(moves_kept=True, moving=())
                encoded[kind] = frames.encode(frame)
            if not link.send_encoded(encoded[kind]):
                self._drop_link(link)

    def build_heartbeat(
        self,
        deputy: bool,
        totals: tuple[frames.Total, ...] = (),
        crashes: tuple[frames.Crash, ...] = (),
        departures: tuple[frames.Departure, ...] = (),
    ) -> frames.Frame:
        """Return a heartbeat message."""
        return self.build_frame(
            "beat",
            contact=self.is_healthy(),
            members=self.live_instances,
            totals=totals,
            moving=self.list_moving(),
            crashes=crashes,
            departures=departures,
            limits=self.limits.list_all(),
            stopping=self.stopping,
            deputy=deputy,
            holds_ms=to_milliseconds(self.get_long_grant_time_left()),
            heartbeat_ms=to_milliseconds(self.last_heartbeat_sent_at),
        )

    def choose_deputies(self) -> list[str]:
        """Return the members that should follow the store as deputies.

        Prefers those that reach the store, then those in other data centres.
        """
        known = self.directory.members

        def rank(node: str) -> tuple[bool, bool, str]:
            report = self.reports.get(node)
            same_data_centre = (
                node in known and known[node].data_centre == self.own_member.data_centre
            )
            return report is None or not report.store_healthy, same_data_centre, node

        return sorted(self.links, key=rank)[:DEPUTY_COUNT]

    def build_report(self) -> frames.Frame:
        """Return a report of what this instance counted since the last one."""
        rows, self.rows_for_coordinator = tuple(self.rows_for_coordinator), []
        # A coordinator sends these with its next heartbeat.
        crashes, departures = ((), ()) if self.coordinating else self.take_unsent()
        return self.build_frame(
            "report",
            contact=self.table_feeds.has_recent_answer(STORE_ANSWER_MAX_AGE),
            heard=self.table_feeds.failing_since is None,
            rows=rows,
            loads=self.loads.collect_report(),
            keys=self.take_key_counts(),
            crashes=crashes,
            departures=departures,
            limits=self.limits.list_own(),
            reaches_targets=self.reachability.has_recent_answer(self.clock.monotonic()),
            stopping=self.stopping,
            heartbeat_ms=0 if self.has_voted_recently() else self.received_heartbeat_ms,
        )

    def has_voted_recently(self) -> bool:
        """Whether a successor may still rely on a vote of this instance."""
        return self.clock.monotonic() - self.voted_at <= VOTE_VALIDITY

    def take_unsent(
        self,
    ) -> tuple[tuple[frames.Crash, ...], tuple[frames.Departure, ...]]:
        """Return the crashes and departures that have not been sent, as sent."""
        crashes = self._take_crashes()
        departures, self.unsent_departures = tuple(self.unsent_departures), []
        return crashes, departures

    def get_max_long_grant_time(self) -> datetime.timedelta:
        """Return the maximum time from the announcement of a long grant to its end."""
        duration = self.granter.timing.max_grant_duration
        return (
            REPORT_MAX_AGE
            + outstanding.ORDER_TIMEOUT
            + outstanding.get_max_validity(duration)
        )

    def get_inherited_grant_time_left(self) -> datetime.timedelta:
        """Return the longest duration of the previous coordinators' grants from now on.

        Unless most members told of them in the election, this is the longest duration
        of a grant, since only the members that received its heartbeats know of a
        coordinator's long grants.
        """
        now = self.clock.monotonic()
        informants = {node for node, until in self.informants.items() if until >= now}
        if self.unaware_until <= now:
            informants.add(self.own_member.node)
        max_duration = self.granter.timing.max_grant_duration
        if not self.is_majority(informants):
            return max_duration
        time_left = max(self.long_grants_until - now, datetime.timedelta())
        return min(time_left, max_duration)

    def get_long_grant_time_left(self) -> datetime.timedelta:
        """Return the longest remaining time of the long grants known or announced."""
        time_left = self.long_grants_until - self.clock.monotonic()
        if self.coordinating:
            time_left = max(time_left, self.granter.get_long_grant_time_left())
        if self.announcing_since is not None:
            time_left = max(time_left, self.get_max_long_grant_time())
        return max(time_left, datetime.timedelta())

    def record_long_grants(self, frame: frames.Frame) -> None:
        """Record the remaining time of long grants that the sender reports."""
        now = self.clock.monotonic()
        time_left = datetime.timedelta(milliseconds=frame.holds_ms)
        if time_left and self.long_grants_until <= now:
            events.info(
                "long_grants_reported",
                node=frame.node,
                term=frame.term,
                time_left=time_left,
            )
        self.long_grants_until = max(self.long_grants_until, now + time_left)

    def estimate_queue_wait(self, target: model.Target) -> datetime.timedelta:
        """Return the expected queueing time at a target."""
        now = self.clock.monotonic().total_seconds()
        estimate = self.loads.estimate(target.service, target.name, now, target.slots)
        wait = selection.estimate_wait(estimate, target.slots)
        return datetime.timedelta(seconds=wait)

    def record_crash(self, fingerprint: bytes, loss: crash_counts.Loss) -> None:
        """Record the loss of a target while a request was in progress there."""
        self.unsent_losses[fingerprint, loss.target, loss.life] = loss
        self._count_loss(fingerprint, loss)

    def record_completion(self, fingerprint: bytes) -> None:
        """Clear a request that a target has completed of all suspicions."""
        if self.crash_counts.clear(fingerprint, self.clock.monotonic()):
            events.info("crash_cleared", fingerprint=fingerprint.hex())
            self.unsent_counts[fingerprint] = 0

    def _receive_crash(self, crash: frames.Crash) -> None:
        """Count a loss that a member reports, or clear a request."""
        if not crash.count:
            self.record_completion(crash.fingerprint)
            return
        now = self.clock.monotonic()
        loss = crash_counts.Loss(
            crash.target,
            crash.life,
            now - datetime.timedelta(milliseconds=crash.sent_age_ms),
            now - datetime.timedelta(milliseconds=crash.lost_age_ms),
        )
        self._count_loss(crash.fingerprint, loss)

    def _count_loss(self, fingerprint: bytes, loss: crash_counts.Loss) -> None:
        now = self.clock.monotonic()
        if not self.crash_counts.add(fingerprint, loss, now):
            return
        count = self.crash_counts.get(fingerprint, now)
        events.info(
            "crash_counted",
            fingerprint=fingerprint.hex(),
            target=loss.target,
            life=loss.life,
            count=count,
        )
        if self.coordinating:
            self.unsent_counts[fingerprint] = count

    def _take_crashes(self) -> tuple[frames.Crash, ...]:
        """Return the counts or the losses that have not been sent, as sent.

        A coordinator sends counts, a member the losses that it has seen itself, and
        which requests have been completed.
        """
        now = self.clock.monotonic()
        counts, self.unsent_counts = self.unsent_counts, {}
        losses, self.unsent_losses = self.unsent_losses, {}
        if self.coordinating:
            return tuple(frames.Crash(*item) for item in counts.items())
        cleared = [frames.Crash(item, 0) for item, count in counts.items() if not count]
        reports = [
            frames.Crash(
                fingerprint,
                1,
                loss.target,
                loss.life,
                to_milliseconds(now - loss.sent_at),
                to_milliseconds(now - loss.lost_at),
            )
            for (fingerprint, _, _), loss in losses.items()
        ]
        # A request that was completed after its losses were seen is cleared of them.
        return (*reports, *cleared)

    def record_departure(self, target: str, life: int) -> None:
        """Record that a target is leaving, and tell the other instances."""
        if self.directory.record_departure(target, life):
            self.unsent_departures.append(frames.Departure(target, life))

    def sum_loads(self) -> tuple[frames.Total, ...]:
        """Return the requests in progress at each target, and its slowness."""
        running: dict[str, int] = {}
        for report in self.reports.values():
            for load in report.loads:
                running[load.target] = running.get(load.target, 0) + load.running
        slowness = self.demands.slowness
        return tuple(
            frames.Total(
                frames.hash_target_name(target),
                count,
                slowness.get(target, 1.0),
                self.granter.admitted_fractions.get(target, 1.0),
            )
            for target, count in running.items()
            if count
        )

    def receive_report(self, node: str, frame: frames.Frame) -> None:
        """Process a report of a member or of this instance itself."""
        self.reports[node] = Report(
            self.clock.monotonic(),
            frame.contact,
            frame.heard,
            frame.loads,
            frame.heartbeat_ms,
            frame.reaches_targets,
        )
        if frame.rows:
            self.directory.apply_rows(frame.rows, apply_removals=True)
        self.demands.add_report(frame.keys, frame.loads)
        self.limits.apply_observations(frame.limits, first_hand=True)
        for crash in frame.crashes:
            self._receive_crash(crash)
        for departure in frame.departures:
            self.record_departure(*departure)

    def _receive(self, link: links.Link, frame: frames.Frame) -> None:
        now = self.clock.monotonic()
        if frame.kind == "beat":
            self._receive_heartbeat(link, frame, now)
        elif frame.kind == "greeting":
            if self._is_current(link, frame):
                self.request_rows(link)
        elif frame.kind == "versions":
            if self.coordinating and self.links.get(frame.node) is link:
                self.synchronised[frame.node] = frame.accepts_changes
                if frame.accepts_moves:
                    self.accepting_moves.add(frame.node)
                rows = self.directory.list_newer(frame.versions)
                if not frame.accepts_changes:
                    rows = pack_rows(rows)
                # The next changes of moves are relative to the last news.
                moving = tuple(sorted(self.announced_moves))
                link.send(self.build_news(rows)._replace(moving=moving))
        elif frame.kind == "rows":
            if self._is_current(link, frame):
                self._apply_news(link, frame)
                if not self.coordinating:
                    self._apply_moves(frame)
                    if frame.term == self.term and link is self.coordinator_link:
                        self._record_contact(frame, now)
        elif frame.kind == "report":
            if frame.term > self.term:
                self._adopt_newer_term(frame)
            elif self.coordinating and self.links.get(frame.node) is link:
                self.receive_report(frame.node, frame)
        elif frame.kind == "need":
            if self.coordinating and self.links.get(frame.node) is link:
                self.limits.apply_observations(frame.limits, first_hand=False)
                issued = self.issue_permits(frame.wanted)
                link.send(
                    self.build_frame("permits", permits=issued, asked_ms=frame.asked_ms)
                )
        elif frame.kind == "permits":
            if link is self.coordinator_link and self._is_current(link, frame):
                self.limits.apply_answer(frame.asked_ms, frame.permits)
        elif frame.kind == "confirm":
            self._answer_confirmation(link, frame)
        elif frame.kind == "confirmed":
            self._apply_relayed_rows(frame.rows)
            self.configuration_checks.apply_answer(
                datetime.timedelta(milliseconds=frame.asked_ms),
                datetime.timedelta(milliseconds=frame.age_ms),
            )
        elif frame.kind == "ask":
            leading = not self.stopping and self.coordinating
            if self.coordinating:
                healthy = leading and self.is_healthy()
            else:
                healthy = self.has_healthy_coordinator()
            time_left = self.get_long_grant_time_left()
            self.voted_at = now
            link.send(
                self.build_frame(
                    "tell",
                    heard=healthy,
                    holds_ms=to_milliseconds(time_left),
                    holds_known=self.unaware_until <= now,
                )
            )
        elif frame.kind == "tell":
            answer = self.pending_votes.get(link)
            if answer is not None and not answer.done():
                answer.set_result(frame)
            if frame.term > self.term:
                self._adopt_newer_term(frame)

    def _adopt_newer_term(self, frame: frames.Frame) -> None:
        """Record a newer term, and step down if coordinating."""
        if self.coordinating:
            self.step_down(f"term {frame.term} of another coordinator")
        # The newest known coordinator row may still be that of this instance's own
        # term.
        self.term = frame.term

    def _is_current(self, link: links.Link, frame: frames.Frame) -> bool:
        """Whether a message is not from an earlier term; if it is, close its link."""
        if frame.term >= self.term:
            return True
        link.send(self.build_frame("tell", heard=False))
        link.close()
        return False

    def request_rows(self, link: links.Link) -> None:
        """Ask the coordinator for all rows that are newer than the known ones."""
        versions = self.directory.list_versions()
        link.send(
            self.build_frame(
                "versions", versions=versions, accepts_changes=True, accepts_moves=True
            )
        )

    def _apply_news(self, link: links.Link, frame: frames.Frame) -> None:
        """Apply changed rows; ask for the rows that a change does not fit."""
        rows = list(frame.rows)
        misfits = []
        for change in frame.changes:
            known = self.directory.rows.get((change.table, change.key))
            if known is not None and known.version >= change.version:
                continue
            row = row_changes.apply_change(known, change)
            if row is None:
                misfits.append(change.key)
            else:
                rows.append(row)
        self._apply_relayed_rows(tuple(rows))
        if misfits:
            events.info("rows_requested", node=frame.node, rows=misfits)
            self.request_rows(link)

    def _apply_relayed_rows(self, rows: tuple[model.StoredRow, ...]) -> None:
        """Apply rows received from the coordinator."""
        self.applying_relayed_rows = True
        self.directory.apply_rows(rows, apply_removals=True)
        self.applying_relayed_rows = False

    def _apply_moves(self, frame: frames.Frame) -> None:
        """Apply the ranges that the coordinator is moving, or their changes."""
        if frame.moves_kept:
            changes = move_changes.MoveChanges(frame.begun, frame.ended)
            moving = move_changes.apply(self.directory.moving, changes)
        else:
            moving = move_changes.group_spans(frame.moving)
        if moving != self.directory.moving:
            self.directory.moving = moving
            self.directory.notify_waiters()

    def _record_contact(self, frame: frames.Frame, now: datetime.timedelta) -> None:
        """Record what a message of the coordinator says about its state.

        News count as well, since the heartbeats of a busy coordinator may be late. A
        message that has waited in a buffer counts as of its sending. Only direct reads
        depend on this: another coordinator would have the same load.
        """
        sent_at = datetime.timedelta(milliseconds=frame.heartbeat_ms)
        delay = datetime.timedelta()
        if sent_at:
            self.message_delays, delay = message_delays.record_message(
                self.message_delays, frame.incarnation, sent_at, now
            )
        self.last_heartbeat_at = max(self.last_heartbeat_at, now - delay)
        if frame.stopping:
            # Elections may start at once; their jitter still applies.
            self.last_healthy_heartbeat_at = now - HEARTBEAT_TIMEOUT
        elif frame.contact:
            self.last_healthy_heartbeat_at = now
        self.coordinator_healthy = frame.contact and not frame.stopping

    def _receive_heartbeat(
        self, link: links.Link, frame: frames.Frame, now: datetime.timedelta
    ) -> None:
        if not self._is_current(link, frame):
            return
        if self.coordinating:
            if frame.node == self.own_member.node or frame.term == self.term:
                return
            self.step_down(f"heartbeat of {frame.node} with a newer term")
        if frame.term > self.term:
            events.info("coordinator_heard", node=frame.node, term=frame.term)
            # The size of the fleet was not known when the time-out was last drawn.
            self.election_timeout = self.draw_election_timeout()
        self.term = frame.term
        self.record_long_grants(frame)
        self.received_heartbeat_ms = frame.heartbeat_ms
        self.coordinator_link = link
        self._record_contact(frame, now)
        self.live_instances = max(1, frame.members)
        self.deputy = frame.deputy
        if frame.rows:
            self._apply_relayed_rows(frame.rows)
        self._apply_moves(frame)
        self.loads.apply_totals(frame.totals, now.total_seconds())
        self.limits.apply_observations(frame.limits, first_hand=False)
        for crash in frame.crashes:
            self.crash_counts.apply(crash.fingerprint, crash.count, now)
        for departure in frame.departures:
            self.directory.record_departure(*departure)
        link.send(self.build_report())

    # Permits of requests to targets with a limit.

    def schedule_question(self) -> None:
        """Schedule a question for permits, unless one is scheduled."""
        if self.question_scheduled:
            return
        self.question_scheduled = True
        next_at = self.last_question_at + self.limits.get_question_interval()
        wait_s = (next_at - self.clock.monotonic()).total_seconds()
        asyncio.get_running_loop().call_later(max(wait_s, 0.0), self._send_question)

    def _send_question(self) -> None:
        self.question_scheduled = False
        question = self.limits.build_question()
        if question is None:
            return
        self.last_question_at = self.clock.monotonic()
        if self.coordinating:
            issued = self.issue_permits(question.wanted)
            self.limits.apply_answer(question.asked_ms, issued)
        elif self.coordinator_link is not None:
            self.coordinator_link.send(
                self.build_frame(
                    "need",
                    limits=self.limits.list_all(),
                    wanted=question.wanted,
                    asked_ms=question.asked_ms,
                )
            )

    def issue_permits(
        self, wanted: Iterable[frames.PermitRequest]
    ) -> tuple[frames.Permits, ...]:
        """Return the permits that an instance gets."""
        now = self.clock.monotonic()
        rates = self.limits.list_rates()
        part = self.get_permit_part()
        issued = []
        for item in wanted:
            rate = rates.get(item.target, math.inf) * part
            issue = self.permit_issuer.issue(
                item.target, item.life, rate, item.count, now
            )
            issued.append(
                frames.Permits(item.target, issue.count, round_up(issue.wait))
            )
        return tuple(issued)

    def get_permit_part(self) -> float:
        """Return the part of each limit that this coordinator may use.

        It is the whole, unless the other instances may follow another coordinator.
        """
        if self.is_followed():
            return 1.0
        return len(self.list_followers()) / len(self.list_members())

    # Confirmation of the configuration.

    def _ask_for_confirmation(self) -> None:
        """Ask the coordinator whether the known configuration is the newest."""
        if self.coordinating or self.coordinator_link is None:
            return
        versions = tuple(
            (frames.hash_row_key(row), row.version)
            for row in self.directory.list_table(model.TABLES.configuration)
        )
        now = self.clock.monotonic()
        self.coordinator_link.send(
            self.build_frame(
                "confirm", versions=versions, asked_ms=to_milliseconds(now)
            )
        )

    def _answer_confirmation(self, link: links.Link, frame: frames.Frame) -> None:
        """Answer with newer rows, unless it is not known what the newest are."""
        age = self.configuration_checks.get_age()
        if age is None:
            return
        versions = dict(frame.versions)
        rows = tuple(
            row
            for row in self.directory.list_table(model.TABLES.configuration)
            if versions.get(frames.hash_row_key(row), -1) < row.version
        )
        link.send(
            self.build_frame(
                "confirmed", rows=rows, asked_ms=frame.asked_ms, age_ms=round_up(age)
            )
        )

    # Registration.

    def keep_registered(self) -> None:
        """Register again if a restored store has lost this instance's row."""
        key = directories.MEMBER_PREFIX + self.own_member.node
        row = self.directory.rows.get((model.TABLES.fleet, key))
        if self.registered and row is not None and row.value is None:
            self.registered = False
            self.tasks.spawn(self.register())

    async def register(self) -> None:
        """Write this instance's member row, retrying until it is stored."""
        await self._write_member_row()
        self.registered = True

    async def _write_member_row(self) -> None:
        key = directories.MEMBER_PREFIX + self.own_member.node
        value = directories.encode_record(self.own_member)
        while True:
            row = self.directory.rows.get((model.TABLES.fleet, key))
            known = (
                row is not None or model.TABLES.fleet in self.table_feeds.current_tables
            )
            if known and (row is None or row.value != value):
                version = row.version if row is not None and row.value else 0
                outcome = await self.store.commit({key: version}, {key: value})
                if isinstance(outcome, result.Success):
                    self.directory.apply_written_row(key, outcome.unwrap(), value)
                    return
                events.warning("register_failed", failure=outcome.failure())
                if isinstance(outcome.failure(), errors.Conflict | errors.AnswerLost):
                    await feeds.read_fleet_table(self.store, self.directory)
                await self.clock.sleep(terms.RETRY_PAUSE * (1 + self.random.random()))
                continue
            if row is not None and row.value == value:
                return
            await self.directory.wait_change(self.directory.change_count, 0.05)


def pack_rows(rows: Iterable[model.StoredRow]) -> tuple[model.StoredRow, ...]:
    """Return rows as the store contains them, which earlier versions expect."""
    return tuple(
        row._replace(value=ranges.pack(row.value))
        if row.key.startswith(directories.RANGES_PREFIX) and row.value is not None
        else row
        for row in rows
    )


def to_milliseconds(duration: datetime.timedelta) -> int:
    """Return a duration in whole milliseconds, at least 0."""
    return max(0, duration // datetime.timedelta(milliseconds=1))


def round_up(duration: datetime.timedelta) -> int:
    """Return a duration in whole milliseconds, rounded up."""
    return -(-duration // datetime.timedelta(milliseconds=1))
