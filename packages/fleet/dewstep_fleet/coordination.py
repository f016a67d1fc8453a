"""Who coordinates the fleet, and what its instances tell each other.

One row of the store names the coordinator. The coordinator connects to all instances,
sends each a beat with what changed, and gets a report in return. An instance that has
heard no good beat for `SUSPICION` asks the others; if most of those that live hear none
either, it replaces the row in a transaction. A beat is good if its sender reaches the
store, so that a coordinator that the store turns away is replaced as well. Until then,
deputies who follow the store too send it the news that it cannot read.
"""

import asyncio
import datetime
import random
from collections.abc import Callable

from returns import result

from dewstep_core import clock as clocks, errors, events, tasks
from dewstep_fleet import (
    demands,
    directory as directories,
    feeds as feeders,
    frames,
    granting,
    links,
    loads as load_counts,
    model,
    selection,
)

BEAT = datetime.timedelta(milliseconds=100)
BEAT_PER_MEMBER = datetime.timedelta(milliseconds=2)
"""Beats are rarer in a larger fleet, so that 500 reports/s come up to 150 members; one
takes 80 us to decode."""
LONGEST_BEAT = datetime.timedelta(milliseconds=300)
"""Half of `QUIET`, less 50 ms on the way: a beat that is late starts no reading."""
QUIET = datetime.timedelta(milliseconds=700)
"""Without a beat for this long, an instance reads the store for itself."""
SUSPICION = datetime.timedelta(milliseconds=1000)
IMPATIENCE = datetime.timedelta(milliseconds=500)
"""A coordinator that says that it does not reach the store is replaced after this:
nothing but a short failure of the store has to be ruled out."""
SPREAD = datetime.timedelta(milliseconds=300)
"""Challengers are spread over this time, so that one wins before others begin."""
SPREAD_PER_MEMBER = datetime.timedelta(milliseconds=15)
"""The same in a large fleet: a challenge takes 50 to 150 ms."""
HANDICAP = datetime.timedelta(milliseconds=500)
"""Additional time of the weakest instances, so that strong ones come first: a
coordinator has a link to each member."""
LAST_RESORT = datetime.timedelta(seconds=8)
"""Without a beat for this long, a minority may choose a coordinator."""
VOTE_TIMEOUT = datetime.timedelta(milliseconds=500)
DIAL_PAUSE = datetime.timedelta(milliseconds=300)
TICK = datetime.timedelta(milliseconds=50)
PAUSE = datetime.timedelta(milliseconds=400)
"""A tick that is late by this much shows that the process itself stood still."""
CONTACT = datetime.timedelta(milliseconds=2300)
"""Age of the store's last answer up to which an instance counts as reaching it; a
watch of the fleet's table lasts 1 s."""
DEPUTIES = 2
"""Instances besides the coordinator that follow operators and targets in the store. One
in three instances may be turned away by it at the same time; a change must be in force
2 s after it was made, which is less than it takes to replace a coordinator."""
DEPUTY_TABLES = frozenset({model.TABLES.configuration, model.TABLES.targets})
FAILING = datetime.timedelta(milliseconds=500)
"""Failures of the store that last longer than this are no single lost call."""
RECENT = datetime.timedelta(milliseconds=1000)
"""Age of a report up to which its sender counts as following."""


class Report:
    """What a member last told the coordinator."""

    __slots__ = ("at", "contact", "loads", "reaches")

    def __init__(self, at, contact, reaches, loads):
        self.at = at
        self.contact = contact
        self.reaches = reaches
        self.loads = loads


class Fleet:
    """Part that one instance takes in the fleet.

    Parameters
    ----------
    own : model.Member
    directory : directories.Directory
    feed : feeders.Feeds
    store : model.Store
    channel : model.GrantChannel
    clock : clocks.Clock
    timing : model.Timing
    loads : load_counts.Loads
    take_keys : callable
        Returns the keys counted since the last call.
    generator : random.Random
    """

    def __init__(
        self,
        own: model.Member,
        directory: directories.Directory,
        feed: feeders.Feeds,
        store: model.Store,
        channel: model.GrantChannel,
        clock: clocks.Clock,
        timing: model.Timing,
        loads: load_counts.Loads,
        take_keys: Callable[[], tuple[frames.KeyCount, ...]],
        generator: random.Random,
    ):
        self.own = own
        self.directory = directory
        self.feeds = feed
        self.store = store
        self.clock = clock
        self.loads = loads
        self.take_keys = take_keys
        self.random = generator
        self.demands = demands.Demands(clock)
        self.granter = granting.Granter(
            directory,
            feed,
            store,
            channel,
            clock,
            timing,
            self.has_support,
            lambda service: self.demands.read(service, loads.expect(service, "")),
            self.read_queue,
            self.read_inherited,
            self.push,
        )
        self.crashes: dict[bytes, int] = {}
        """Requests that were at targets when these ended, and how often."""
        self.fresh_crashes: list[frames.Crash] = []
        now = clock.monotonic()
        self.term = 0
        self.oriented = False
        """Whether all tables have been read once."""
        self.coordinating = False
        self.stopping = False
        self.started = now
        self.last_beat = now
        self.last_good = now
        self.holds_until = now
        """Until then, long grants of the coordinator that is heard may go on."""
        self.heard_term = 0
        """Term of the coordinator whose beats told that."""
        self.remembers = False
        """Whether this instance, now the coordinator, heard the one before it."""
        self.chosen_at = now
        """When this instance learned of the coordinator that the store names."""
        self.good = True
        """Whether the last beat came from a coordinator that reaches the store."""
        self.patience = self.draw_patience()
        self.live = 1
        self.challenging = False
        self.server: asyncio.Server | None = None
        self.accepted: set[links.Link] = set()
        self.upstream: links.Link | None = None
        """Link on which the coordinator's last beat came."""
        self.links: dict[str, links.Link] = {}
        self.pending: dict[str, list[model.StoredRow]] = {}
        self.dialling: dict[str, datetime.timedelta] = {}
        self.reports: dict[str, Report] = {}
        self.answers: dict[links.Link, asyncio.Future] = {}
        self.granter_task: asyncio.Task | None = None
        self.tasks = tasks.TaskOwner(self.receive_failure)
        self.beat_at = now
        self.pushing = False
        self.deputy = False
        self.relayed = False
        """Whether the rows that are being taken came from the coordinator."""
        self.upward: list[model.StoredRow] = []
        """News that a deputy has for the coordinator."""
        directory.listeners.append(self.relay)

    def draw_patience(self) -> datetime.timedelta:
        """Return how long this instance waits for a good beat the next time."""
        weakness = max(0.0, 1.0 - self.own.strength)
        spread = max(SPREAD, SPREAD_PER_MEMBER * len(self.directory.members))
        return SUSPICION + HANDICAP * weakness + spread * self.random.random()

    # Life.

    async def start(self) -> None:
        """Listen for links of other instances."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._accept, self.own.host, self.own.port
        )

    async def run(self) -> None:
        """Take part until cancelled."""
        try:
            last = self.clock.monotonic()
            while True:
                await self.clock.sleep(TICK)
                now = self.clock.monotonic()
                if now - last > TICK + PAUSE:
                    # Beats that came meanwhile have not been read yet.
                    self.last_beat = self.last_good = now
                    events.warning("paused", lasted=now - last)
                last = now
                self.tick(now)
        finally:
            self.tasks.cancel()
            if self.granter_task is not None:
                self.granter_task.cancel()
            for link in [*self.links.values(), *self.accepted]:
                link.close()
            if self.server is not None:
                self.server.close()

    def receive_failure(self, error: BaseException, task: str) -> None:
        """Log a failed task; what it did is tried again."""
        events.exception("coordination_failed", error, task=task)

    def tick(self, now: datetime.timedelta) -> None:
        """Do what is due."""
        self.directory.release_held_back()
        self.choose_tables(now)
        if self.coordinating:
            if self.granter_task.done():
                self.end_granting()
                return
            self.dial_members(now)
            if now - self.beat_at >= self.choose_interval():
                self.beat(now)
        elif not self.challenging and not self.stopping and self.suspects(now):
            self.challenging = True
            self.tasks.spawn(self.challenge())

    def choose_tables(self, now: datetime.timedelta) -> None:
        """Follow the tables that nobody else follows for this instance."""
        if self.coordinating or now - self.last_beat > QUIET:
            wanted = frozenset(model.TABLES)
        elif not self.good or now - self.last_good > QUIET:
            wanted = frozenset({model.TABLES.fleet})
        else:
            wanted = frozenset()
        if self.deputy:
            wanted |= DEPUTY_TABLES
        if not self.oriented:
            # A coordinator that lives tells the rest soon after it has read the row
            # of this instance.
            self.oriented = self.feeds.is_current()
            wanted = frozenset(model.TABLES)
        elif not self.term:
            wanted |= {model.TABLES.fleet}
        self.feeds.follow(wanted, self.coordinating or self.deputy)

    # Election.

    def suspects(self, now: datetime.timedelta) -> bool:
        """Whether this instance should try to become the coordinator."""
        if not self.feeds.in_contact(CONTACT):
            return False
        if model.TABLES.fleet not in self.feeds.current:
            return False
        leadership = self.directory.leadership
        if not leadership.version:
            # All instances may be starting now; the strongest ones come first.
            weakness = max(0.0, 2.0 - self.own.strength)
            return now - self.started >= self.patience - SUSPICION + weakness * SPREAD
        if leadership.node == self.own.node:
            # An earlier run of this very process was it.
            return leadership.incarnation != self.own.incarnation
        # A coordinator that has just been chosen needs time for its first beats.
        since = max(self.last_good, self.chosen_at)
        if now - self.last_beat < QUIET and not self.good:
            return now - since > self.patience - SUSPICION + IMPATIENCE
        return now - since > self.patience

    async def challenge(self) -> None:
        """Become the coordinator if most others miss it as well."""
        try:
            leadership = self.directory.leadership
            vacant = not leadership.version or leadership.node == self.own.node
            if not vacant and not await self.win_votes():
                return
            if not vacant and self.hears_coordinator():
                return
            if leadership != self.directory.leadership:
                # Another challenger was faster; the votes were not about it.
                return
            await self.claim(leadership)
        finally:
            self.patience = self.draw_patience()
            self.challenging = False

    def hears_coordinator(self) -> bool:
        """Whether this instance hears a coordinator that reaches the store."""
        silent = self.clock.monotonic() - self.last_good
        return self.good and silent <= SUSPICION

    async def win_votes(self) -> bool:
        """Ask all others whether they hear a coordinator that reaches the store."""
        others = [
            member
            for member in self.directory.members.values()
            if member.node != self.own.node
        ]
        votes = await asyncio.gather(*(self.ask(member) for member in others))
        silent = votes.count(None)
        missing = votes.count(False)
        heard = votes.count(True)
        # Instances that refuse connections are not running and have no vote.
        voters = 1 + silent + missing + heard
        # Its links may have gone silent while new connections reach it.
        coordinator = self.directory.leadership.node
        alive = any(
            vote is True and member.node == coordinator
            for member, vote in zip(others, votes, strict=True)
        )
        events.info("votes", missing=missing, heard=heard, silent=silent, alive=alive)
        if alive:
            return False
        if 2 * (missing + 1) > voters:
            return True
        return self.clock.monotonic() - self.last_good > LAST_RESORT

    async def ask(self, member: model.Member) -> bool | None | str:
        """Ask one instance; None if it is silent, "down" if it does not run."""
        link = None
        try:
            async with asyncio.timeout(VOTE_TIMEOUT.total_seconds()):
                link = await links.connect(
                    member.host, member.port, self._receive, self._lose
                )
                answer = asyncio.get_running_loop().create_future()
                self.answers[link] = answer
                link.send(self.make_frame("ask"))
                return await answer
        except ConnectionRefusedError:
            return "down"
        except OSError:
            return None
        finally:
            if link is not None:
                self.answers.pop(link, None)
                link.close()

    async def claim(self, leadership: directories.Leadership) -> None:
        """Replace the coordinator's row, which must still say the same."""
        record = directories.Leadership(
            self.own.node, self.own.incarnation, leadership.term + 1, 0
        )
        value = directories.encode_record(record)
        outcome = await self.store.commit(
            {directories.COORDINATOR: leadership.version},
            {directories.COORDINATOR: value},
        )
        if isinstance(outcome, result.Success):
            self.directory.take_written(
                directories.COORDINATOR, outcome.unwrap(), value
            )
        else:
            events.info("claim_failed", failure=outcome.failure())
            if not await feeders.read_back(self.store, self.directory):
                return
        self.begin_if_named()

    def begin_if_named(self) -> None:
        """Begin to coordinate if the row names this run of the process."""
        current = self.directory.leadership
        named = current.incarnation == self.own.incarnation
        if not named or self.coordinating or current.term < self.term or self.stopping:
            return
        self.remembers = self.heard_term == current.term - 1
        self.term = current.term
        self.coordinating = True
        self.deputy = False
        self.last_beat = self.last_good = self.clock.monotonic()
        self.reports.clear()
        self.upstream = None
        self.feeds.follow(frozenset(model.TABLES), relays=True)
        self.granter_task = asyncio.ensure_future(self.granter.run())
        events.info("coordinating", term=self.term)

    def end_granting(self) -> None:
        """Step down after the granter has ended, by itself or by a fault."""
        error = self.granter_task.exception()
        if error is not None:
            task = self.granter_task.get_coro().__qualname__
            events.exception("granting_failed", error, task=task)
        self.step_down("deposed" if error is None else type(error).__name__)

    def step_down(self, reason: str) -> None:
        """Stop coordinating."""
        self.coordinating = False
        self.granter_task.cancel()
        self.last_beat = self.last_good = self.clock.monotonic()
        for link in list(self.links.values()):
            link.close()
        self.links.clear()
        self.pending.clear()
        self.live = max(1, len(self.directory.members))
        events.warning("coordination_ended", term=self.term, reason=reason)

    def reaches_store(self) -> bool:
        """Whether the store answered of late and has not failed since."""
        failing = self.feeds.failing_since
        if failing is not None and self.clock.monotonic() - failing > FAILING:
            return False
        return self.feeds.in_contact(CONTACT)

    def has_support(self) -> bool:
        """Whether most instances follow and none of them reaches the store."""
        if not self.coordinating:
            return False
        now = self.clock.monotonic()
        recent = [item for item in self.reports.values() if now - item.at <= RECENT]
        members = max(1, len(self.directory.members))
        if any(item.contact for item in recent):
            return False
        return 2 * (len(recent) + 1) > members

    # Links.

    def _accept(self) -> links.Link:
        link = links.Link(self._receive, self._lose)
        self.accepted.add(link)
        return link

    def _lose(self, link: links.Link) -> None:
        self.accepted.discard(link)
        answer = self.answers.pop(link, None)
        if answer is not None and not answer.done():
            answer.set_result(None)
        for node, known in list(self.links.items()):
            if known is link:
                del self.links[node]
                self.pending.pop(node, None)
                self.reports.pop(node, None)
                events.info("member_lost", node=node)

    def dial_members(self, now: datetime.timedelta) -> None:
        """Connect to the instances to which there is no link."""
        for node, member in self.directory.members.items():
            if node == self.own.node or node in self.links:
                continue
            if now < self.dialling.get(node, now):
                continue
            self.dialling[node] = now + DIAL_PAUSE + links.CONNECT_TIMEOUT
            self.tasks.spawn(self.dial(member))

    async def dial(self, member: model.Member) -> None:
        """Connect to one instance and tell it everything."""
        try:
            link = await links.connect(
                member.host, member.port, self._receive, self._lose
            )
        except OSError as error:
            events.info("dial_failed", node=member.node, error=type(error).__name__)
            return
        finally:
            self.dialling[member.node] = self.clock.monotonic() + DIAL_PAUSE
        if not self.coordinating or member.node in self.links:
            link.close()
            return
        self.links[member.node] = link
        self.pending[member.node] = []
        # All rows for all members would occupy a slow line for seconds.
        if not link.send(self.make_frame("greeting")):
            self._lose(link)

    # Messages.

    def make_frame(self, kind: str, **fields) -> frames.Frame:
        """Return a message of this instance."""
        return frames.Frame(
            kind, self.term, self.own.node, self.own.incarnation, **fields
        )

    def choose_interval(self) -> datetime.timedelta:
        """Return the time between two beats."""
        return min(max(BEAT, BEAT_PER_MEMBER * len(self.links)), LONGEST_BEAT)

    def relay(self, news: list[model.StoredRow]) -> None:
        """Pass rows on that are news to this instance."""
        if any(row.key == directories.COORDINATOR for row in news):
            self.chosen_at = self.clock.monotonic()
        if not self.coordinating:
            self.begin_if_named()
            if self.deputy and not self.relayed and self.upstream is not None:
                self.upward.extend(news)
                self.upstream.send(self.make_report())
            return
        for rows in self.pending.values():
            rows.extend(news)
        self.push()

    def push(self) -> None:
        """Send a beat to all soon, before the next one is due."""
        if self.coordinating and not self.pushing:
            self.pushing = True
            asyncio.get_running_loop().call_soon(self._push)

    def _push(self) -> None:
        self.pushing = False
        if self.coordinating:
            self.beat(self.clock.monotonic())

    def beat(self, now: datetime.timedelta) -> None:
        """Send a beat to all members."""
        self.beat_at = now
        self.last_beat = now
        self.receive_report(self.own.node, self.make_report())
        self.live = 1 + sum(now - item.at <= RECENT for item in self.reports.values())
        self.live -= self.own.node in self.reports
        totals = self.sum_loads()
        self.loads.take_totals(totals, now.total_seconds())
        crashes, self.fresh_crashes = tuple(self.fresh_crashes), []
        deputies = set(self.choose_deputies())
        encoded: dict[tuple, bytes] = {}
        for node, link in list(self.links.items()):
            silent = now - self.reports[node].at if node in self.reports else None
            if silent is not None and silent > SUSPICION * 2:
                # The connection may have gone silent for good.
                link.close()
                self._lose(link)
                continue
            rows, self.pending[node] = tuple(self.pending[node]), []
            kind = (rows, node in deputies)
            if kind not in encoded:
                # Most members get the same bytes.
                frame = self.make_beat(rows, node in deputies, totals, crashes)
                encoded[kind] = frames.encode(frame)
            if not link.send_encoded(encoded[kind]):
                self._lose(link)

    def make_beat(
        self,
        rows: tuple[model.StoredRow, ...],
        deputy: bool,
        totals: tuple[frames.Total, ...] = (),
        crashes: tuple[frames.Crash, ...] = (),
    ) -> frames.Frame:
        """Return one beat."""
        moving = tuple(
            frames.Span(service, first, last)
            for service, spans in self.directory.moving.items()
            for first, last in spans
        )
        return self.make_frame(
            "beat",
            contact=self.reaches_store(),
            members=self.live,
            rows=rows,
            totals=totals,
            moving=moving,
            crashes=crashes,
            stopping=self.stopping,
            deputy=deputy,
            holds_ms=to_milliseconds(self.granter.count_long_holds()),
        )

    def choose_deputies(self) -> list[str]:
        """Return the instances that follow the store besides this one.

        They are in other data centres, if there are any, and reach the store.
        """
        known = self.directory.members

        def rank(node: str) -> tuple[bool, bool, str]:
            report = self.reports.get(node)
            near = node in known and known[node].data_centre == self.own.data_centre
            return report is None or not report.reaches, near, node

        return sorted(self.links, key=rank)[:DEPUTIES]

    def make_report(self) -> frames.Frame:
        """Return what this instance counted since its last report."""
        rows, self.upward = tuple(self.upward), []
        return self.make_frame(
            "report",
            contact=self.feeds.in_contact(CONTACT),
            heard=self.feeds.failing_since is None,
            rows=rows,
            loads=self.loads.report(),
            keys=self.take_keys(),
            crashes=self.take_crashes(),
            stopping=self.stopping,
        )

    def take_crashes(self) -> tuple[frames.Crash, ...]:
        """Return the requests that were lost with their targets since the last call."""
        if self.coordinating:
            return ()
        crashes, self.fresh_crashes = tuple(self.fresh_crashes), []
        return crashes

    def read_inherited(self) -> datetime.timedelta:
        """Return for how long grants of the last coordinator may go on."""
        if not self.remembers:
            return self.granter.timing.longest_hold
        left = self.holds_until - self.clock.monotonic()
        return max(left, datetime.timedelta())

    def note_holds(self, frame: frames.Frame) -> None:
        """Note for how long grants may go on that the sender knows of."""
        left = datetime.timedelta(milliseconds=frame.holds_ms)
        self.holds_until = max(self.holds_until, self.clock.monotonic() + left)

    def read_queue(self, target: model.Target) -> datetime.timedelta:
        """Return how long a request would wait at a target."""
        now = self.clock.monotonic().total_seconds()
        estimate = self.loads.estimate(target.service, target.name, now, target.slots)
        wait = selection.expect_wait(estimate, target.slots)
        return datetime.timedelta(seconds=wait)

    def note_crash(self, fingerprint: bytes) -> None:
        """Note a request whose target ended while it was there."""
        self.crashes[fingerprint] = self.crashes.get(fingerprint, 0) + 1
        self.fresh_crashes.append(frames.Crash(fingerprint, 1))

    def sum_loads(self) -> tuple[frames.Total, ...]:
        """Return the requests of all instances at each target, and its speed."""
        running: dict[str, int] = {}
        for report in self.reports.values():
            for load in report.loads:
                running[load.target] = running.get(load.target, 0) + load.running
        slowness = self.demands.slowness
        return tuple(
            frames.Total(
                frames.shorten(target),
                count,
                slowness.get(target, 1.0),
                self.granter.admitted.get(target, 1.0),
            )
            for target, count in running.items()
            if count
        )

    def receive_report(self, node: str, frame: frames.Frame) -> None:
        """Take a member's report, or this instance's own."""
        self.reports[node] = Report(
            self.clock.monotonic(), frame.contact, frame.heard, frame.loads
        )
        if frame.rows:
            self.directory.take(frame.rows, settled=True)
        self.demands.add(frame.keys, frame.loads)
        for crash in frame.crashes:
            known = self.crashes.get(crash.fingerprint, 0)
            self.crashes[crash.fingerprint] = known + crash.count
            self.fresh_crashes.append(
                frames.Crash(crash.fingerprint, known + crash.count)
            )

    def _receive(self, link: links.Link, frame: frames.Frame) -> None:
        now = self.clock.monotonic()
        if frame.kind == "beat":
            self._receive_beat(link, frame, now)
        elif frame.kind == "greeting":
            if self._is_current(link, frame):
                versions = self.directory.list_versions()
                link.send(self.make_frame("versions", versions=versions))
        elif frame.kind == "versions":
            if self.coordinating and self.links.get(frame.node) is link:
                rows = self.directory.list_newer(frame.versions)
                link.send(self.make_frame("rows", rows=rows))
        elif frame.kind == "rows":
            if self._is_current(link, frame):
                self._take_relayed(frame.rows)
        elif frame.kind == "report":
            if frame.term > self.term:
                self._meet_newer(frame)
            elif self.coordinating and self.links.get(frame.node) is link:
                self.receive_report(frame.node, frame)
        elif frame.kind == "ask":
            good = not self.stopping and self.coordinating
            if self.coordinating:
                heard = good and self.reaches_store()
            else:
                heard = self.hears_coordinator()
            left = self.holds_until - now
            link.send(
                self.make_frame("tell", heard=heard, holds_ms=to_milliseconds(left))
            )
        elif frame.kind == "tell":
            answer = self.answers.get(link)
            if answer is not None and not answer.done():
                answer.set_result(frame.heard)
                self.note_holds(frame)
            if frame.term > self.term:
                self._meet_newer(frame)

    def _meet_newer(self, frame: frames.Frame) -> None:
        """Learn that there is a newer term than the one that this instance knows."""
        if self.coordinating:
            self.step_down(f"term {frame.term} of another coordinator")
        # The row of this instance's own term may still be the newest one known here.
        self.term = frame.term

    def _is_current(self, link: links.Link, frame: frames.Frame) -> bool:
        """Whether a message is not of a coordinator before the last known one."""
        if frame.term >= self.term:
            return True
        link.send(self.make_frame("tell", heard=False))
        link.close()
        return False

    def _take_relayed(self, rows: tuple[model.StoredRow, ...]) -> None:
        """Take rows from the coordinator."""
        self.relayed = True
        self.directory.take(rows, settled=True)
        self.relayed = False

    def _receive_beat(
        self, link: links.Link, frame: frames.Frame, now: datetime.timedelta
    ) -> None:
        if not self._is_current(link, frame):
            return
        if self.coordinating:
            if frame.node == self.own.node or frame.term == self.term:
                return
            self.step_down(f"beat of {frame.node}")
        if frame.term > self.term:
            events.info("coordinator_heard", node=frame.node, term=frame.term)
            # The size of the fleet was not known at the start.
            self.patience = self.draw_patience()
        self.term = self.heard_term = frame.term
        self.note_holds(frame)
        self.upstream = link
        self.last_beat = now
        if frame.stopping:
            # Its successor need not wait; the challengers are spread all the same.
            self.last_good = now - SUSPICION
        elif frame.contact:
            self.last_good = now
        self.good = frame.contact and not frame.stopping
        self.live = max(1, frame.members)
        self.deputy = frame.deputy
        if frame.rows:
            self._take_relayed(frame.rows)
        moving: dict[str, tuple[tuple[int, int], ...]] = {}
        for span in frame.moving:
            spans = moving.get(span.service, ())
            moving[span.service] = (*spans, (span.first, span.last))
        if moving != self.directory.moving:
            self.directory.moving = moving
            self.directory.publish()
        self.loads.take_totals(frame.totals, now.total_seconds())
        for crash in frame.crashes:
            known = self.crashes.get(crash.fingerprint, 0)
            self.crashes[crash.fingerprint] = max(known, crash.count)
        link.send(self.make_report())

    # Registration.

    async def register(self) -> None:
        """Write this instance's row, and again whenever it is not as it should be."""
        key = directories.MEMBER + self.own.node
        value = directories.encode_record(self.own)
        while True:
            row = self.directory.rows.get((model.TABLES.fleet, key))
            known = row is not None or model.TABLES.fleet in self.feeds.current
            if known and (row is None or row.value != value):
                version = row.version if row is not None and row.value else 0
                outcome = await self.store.commit({key: version}, {key: value})
                if isinstance(outcome, result.Success):
                    self.directory.take_written(key, outcome.unwrap(), value)
                    return
                events.warning("register_failed", failure=outcome.failure())
                if isinstance(outcome.failure(), errors.Conflict | errors.AnswerLost):
                    await feeders.read_back(self.store, self.directory)
                await self.clock.sleep(granting.RETRY * (1 + self.random.random()))
                continue
            if row is not None and row.value == value:
                return
            await self.directory.wait_change(self.directory.sequence, 0.05)


def to_milliseconds(duration: datetime.timedelta) -> int:
    """Return a duration as whole milliseconds, 0 if it is negative."""
    return max(0, duration // datetime.timedelta(milliseconds=1))
