"""Tests with real links between instances, a store in memory and fake targets."""

import asyncio
import collections
import contextlib
import random
import socket

from returns import result

from dewstep_core import clocks
from dewstep_emulator import testing
from dewstep_fleet import (
    builders,
    coordination,
    crash_counts,
    directories,
    event_capture,
    feeds,
    followers,
    frames,
    grant_durations,
    grant_states,
    heartbeats,
    keys,
    links,
    load_counts,
    long_grants,
    membership,
    model,
    outstanding,
    registrations,
    reports,
)
from dewstep_fleet.totals import link_states

TIMEOUT_S = 6.0
SECOND = builders.SECOND


class InterruptibleStore:
    """One instance's access to the store, which the test can interrupt."""

    def __init__(self, store, node, unreachable, calls):
        self.store = store
        self.node = node
        self.unreachable = unreachable
        self.calls = calls

    async def read_table(self, table):
        self.calls[self.node] += 1
        if self.node in self.unreachable:
            return builders.result.Failure(builders.errors.PlatformUnavailable("cut"))
        return await self.store.read_table(table)

    async def watch(self, table, after, wait):
        self.calls[self.node] += 1
        end = asyncio.get_running_loop().time() + 0.2
        while True:
            if self.node in self.unreachable:
                failure = builders.errors.PlatformUnavailable("cut")
                return builders.result.Failure(failure)
            outcome = await self.store.watch(table, after, wait)
            if isinstance(outcome, builders.result.Failure):
                return outcome
            if outcome.unwrap().rows or asyncio.get_running_loop().time() > end:
                return outcome
            await asyncio.sleep(0.01)

    async def commit(self, expected, writes):
        if self.node in self.unreachable:
            return builders.result.Failure(builders.errors.PlatformUnavailable("cut"))
        return await self.store.commit(expected, writes)


class RunningInstance:
    """One instance and its tasks."""

    def __init__(self, harness, node, clock=None):
        self.clock = clock or clocks.SystemClock()
        if node not in harness.ports:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                harness.ports[node] = probe.getsockname()[1]
        port = harness.ports[node]
        harness.starts += 1
        incarnation = f"{node}-{harness.starts}"
        member = model.Member(node, incarnation, "dc-1", "127.0.0.1", port)
        self.directory = builders.build_directory(self.clock)
        store = InterruptibleStore(
            harness.store, node, harness.unreachable, harness.calls
        )
        generator = random.Random(node)
        self.feeds = feeds.TableFeeds(store, self.directory, self.clock, generator)
        self.keys = keys.KeyCounter(generator)
        self.participant = coordination.FleetParticipant(
            member,
            self.directory,
            self.feeds,
            store,
            harness.targets,
            self.clock,
            builders.build_timing(),
            load_counts.Loads(),
            self.keys.take_counts,
            generator,
        )
        self.tasks = []

    async def start(self):
        await self.participant.start()
        for work in (
            self.feeds.run(),
            self.participant.run(),
            self.participant.register(),
        ):
            self.tasks.append(asyncio.ensure_future(work))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Harness:
    """A fleet with its store and targets."""

    def __init__(self):
        self.store = builders.FakeStore()
        self.unreachable = set()
        self.calls = collections.Counter()
        self.ports = {}
        """Port of each instance, which it keeps when it restarts."""
        self.starts = 0
        """Number of instances started so far."""
        self.targets = builders.FakeTargets(clocks.SystemClock())
        self.running = {}
        self.store.put(model.TABLES.configuration, "config", b"")
        for name in "ab":
            content = builders.encode_target(builders.build_target(name))
            self.store.put(model.TABLES.targets, name, content)

    def find_coordinators(self):
        return [
            node for node, item in self.running.items() if item.participant.coordinating
        ]


@contextlib.asynccontextmanager
async def run_fleet(*nodes):
    harness = Harness()
    for node in nodes:
        harness.running[node] = RunningInstance(harness, node)
        await harness.running[node].start()
    try:
        yield harness
    finally:
        for item in harness.running.values():
            await item.stop()


async def wait_until(condition, limit=TIMEOUT_S):
    """Wait for a condition; fail if it does not come true in time."""
    async with asyncio.timeout(limit):
        while not condition():
            await asyncio.sleep(0.02)


async def wait_coordinator(harness):
    def has_settled():
        leaders = harness.find_coordinators()
        if len(leaders) != 1:
            return False
        terms = {item.participant.term for item in harness.running.values()}
        live = harness.running[leaders[0]].participant.live_instances
        return len(terms) == 1 and live == len(harness.running)

    await wait_until(has_settled)
    return harness.find_coordinators()[0]


@testing.run_in_event_loop
async def test_one_instance_coordinates_and_all_receive_the_owners():
    async with run_fleet("n1", "n2", "n3") as harness:
        await wait_coordinator(harness)
        await wait_until(
            lambda: all(
                "history" in item.directory.ownerships
                for item in harness.running.values()
            )
        )


@testing.run_in_event_loop
async def test_changes_reach_instances_that_do_not_read_the_store():
    # Guards against store calls in proportion to the number of instances.
    async with run_fleet("n1", "n2", "n3") as harness:
        leader = await wait_coordinator(harness)
        followers = [item for node, item in harness.running.items() if node != leader]
        tables = [item.feeds for item in followers]
        await wait_until(
            lambda: all(
                feed.followed_tables <= membership.DEPUTY_TABLES for feed in tables
            )
        )
        content = builders.encode_target(builders.build_target("new"))
        harness.store.put(model.TABLES.targets, "new", content)
        await wait_until(
            lambda: all("new" in item.directory.targets for item in followers)
        )


# Guards against a coordinator of many instances that receives a report of each of them
# for each row that changes, and sends all loads with it.
@testing.run_in_event_loop
async def test_changes_cause_no_reports():
    async with run_fleet("n1", "n2", "n3", "n4", "n5") as harness:
        leader = await wait_coordinator(harness)
        participant = harness.running[leader].participant
        reports = collections.Counter()
        receive = participant.heartbeats.receive_report

        def count_report(node, frame):
            reports[node] += 1
            receive(node, frame)

        participant.heartbeats.receive_report = count_report
        began = asyncio.get_running_loop().time()
        for number in range(50):
            content = builders.encode_target(builders.build_target(f"late-{number}"))
            harness.store.put(model.TABLES.targets, f"late-{number}", content)
            await asyncio.sleep(0.02)
        elapsed = asyncio.get_running_loop().time() - began
        rounds = elapsed / heartbeats.HEARTBEAT_INTERVAL.total_seconds()
        for node, item in harness.running.items():
            # Deputies also report the changes that they read.
            assert item.participant.role.deputy or reports[node] <= rounds + 2
        followers = [item for node, item in harness.running.items() if node != leader]
        await wait_until(
            lambda: all("late-49" in item.directory.targets for item in followers)
        )


# Guards against instances that all read the store, and elect another coordinator, while
# the heartbeats of a busy coordinator are late and its news arrive.
@testing.run_in_event_loop
async def test_news_show_that_the_coordinator_lives():
    async with run_fleet("n1", "n2", "n3", "n4", "n5") as harness:
        leader = await wait_coordinator(harness)
        participant = harness.running[leader].participant
        term = participant.term
        await wait_until(lambda: len(participant.news.synchronised) == 4)
        participant.heartbeats.last_sent_at += 2 * SECOND
        followers = [
            item.participant for node, item in harness.running.items() if node != leader
        ]
        for _ in range(30):
            participant.news.schedule()
            await asyncio.sleep(0.05)
            now = participant.clock.monotonic()
            for follower in followers:
                heard = now - follower.membership.contact.heartbeat_at
                assert heard < membership.DIRECT_READ_TIMEOUT
        assert harness.find_coordinators() == [leader]
        assert participant.term == term


# Guards against owners that stay wrong at an instance whose row a change does not fit,
# and at one of an earlier version, which knows no changes.
@testing.run_in_event_loop
async def test_owners_reach_instances_that_cannot_apply_a_change():
    async with run_fleet("n1", "n2", "n3") as harness:
        for number in range(60):
            content = builders.encode_target(builders.build_target(f"t-{number}"))
            harness.store.put(model.TABLES.targets, f"t-{number}", content)
        leader = await wait_coordinator(harness)
        participant = harness.running[leader].participant
        misfit, earlier = (
            item for node, item in harness.running.items() if node != leader
        )
        row_key = (model.TABLES.fleet, "ranges/history")

        def have_same_owners():
            owners = [
                item.directory.ownerships.get("history")
                for item in (participant, misfit, earlier)
            ]
            return owners[0] is not None and owners[1:] == owners[:1] * 2

        await wait_until(have_same_owners)
        row = misfit.directory.rows[row_key]
        misfit.directory.rows[row_key] = row._replace(value=b"x" * 700)
        participant.news.synchronised[earlier.participant.own_member.node] = False
        participant.record_departure("t-7", 1)
        ownerships = participant.directory.ownerships
        await wait_until(
            lambda: (
                "t-7" not in {item.target for item in ownerships["history"].holdings}
            )
        )
        await wait_until(have_same_owners)


# Guards against a leaving target that receives requests from other instances, or keeps
# its keys, until its registration says that it is leaving.
@testing.run_in_event_loop
async def test_departure_that_one_instance_sees_reaches_all():
    async with run_fleet("n1", "n2", "n3") as harness:
        leader = await wait_coordinator(harness)
        running = [item for item in harness.running.values()]
        await wait_until(
            lambda: all("history" in item.directory.ownerships for item in running)
        )
        observer = next(
            item for node, item in harness.running.items() if node != leader
        )
        observer.participant.record_departure("a", 1)

        def has_moved(item):
            holdings = item.directory.ownerships["history"].holdings
            owners = {holding.target for holding in holdings}
            return item.directory.targets["a"].leaving and owners == {"b"}

        await wait_until(lambda: all(has_moved(item) for item in running))


# Guards against requests to a target that has announced its departure before an
# instance started, while its registration still says that it is ready.
@testing.run_in_event_loop
async def test_departure_reaches_an_instance_that_starts_later():
    async with run_fleet("n1", "n2") as harness:
        await wait_coordinator(harness)
        for item in harness.running.values():
            await wait_until(lambda item=item: "b" in item.directory.targets)
            item.participant.record_departure("b", 1)
        harness.running["n3"] = RunningInstance(harness, "n3")
        await harness.running["n3"].start()
        started = harness.running["n3"].directory
        await wait_until(
            lambda: "b" in started.targets and started.targets["b"].leaving
        )
        age = started.get_time_since_departure(started.targets["b"])
        assert age >= registrations.UNKNOWN_DEPARTURE_AGE


# Guards against a request that crashes its targets and is sent again by an instance
# that has started since.
@testing.run_in_event_loop
async def test_counts_of_losses_reach_an_instance_that_starts_later():
    async with run_fleet("n1", "n2") as harness:
        leader = harness.running[await wait_coordinator(harness)]
        for number in range(3):
            lost_at = leader.clock.monotonic() - (3 - number) * 2 * builders.SECOND
            loss = crash_counts.Loss(f"t{number}", 1, lost_at, lost_at)
            leader.participant.record_crash(b"request", loss)

        def is_known():
            now = leader.clock.monotonic()
            return all(
                item.participant.crash_counts.is_quarantined(b"request", now)
                for item in harness.running.values()
            )

        await wait_until(is_known)
        harness.running["n3"] = RunningInstance(harness, "n3")
        await harness.running["n3"].start()
        await wait_until(is_known)


@testing.run_in_event_loop
async def test_instances_make_few_store_calls_at_start():
    """Guards against a start where each instance reads every registration."""
    nodes = [f"n{number}" for number in range(8)]
    async with run_fleet(*nodes) as harness:
        await wait_coordinator(harness)
        for number in range(20):
            content = builders.encode_target(builders.build_target(f"late-{number}"))
            harness.store.put(model.TABLES.targets, f"late-{number}", content)
            await asyncio.sleep(0.01)
        leader = harness.find_coordinators()[0]
        for node, item in harness.running.items():
            if node != leader and not item.participant.role.deputy:
                assert harness.calls[node] <= 10, harness.calls


@testing.run_in_event_loop
async def test_lost_coordinator_is_replaced():
    # Guards against grants that expire because no coordinator renews them.
    async with run_fleet("n1", "n2", "n3") as harness:
        leader = await wait_coordinator(harness)
        await harness.running.pop(leader).stop()
        await wait_until(harness.find_coordinators, 3.0)


@testing.run_in_event_loop
async def test_coordinator_without_the_store_is_replaced():
    async with run_fleet("n1", "n2", "n3") as harness:
        leader = await wait_coordinator(harness)
        harness.unreachable.add(leader)
        await wait_until(
            lambda: any(node != leader for node in harness.find_coordinators()), 8.0
        )
        await wait_until(lambda: not harness.running[leader].participant.coordinating)


@testing.run_in_event_loop
async def test_changes_reach_all_while_the_coordinator_cannot_read_them():
    # Guards against an outdated configuration until the coordinator is replaced.
    async with run_fleet("n1", "n2", "n3", "n4") as harness:
        leader = await wait_coordinator(harness)
        others = [item for node, item in harness.running.items() if node != leader]
        await wait_until(
            lambda: sum(item.participant.role.deputy for item in others) == 2
        )
        await asyncio.sleep(0.3)
        harness.unreachable.add(leader)
        content = builders.encode_target(builders.build_target("new"))
        harness.store.put(model.TABLES.targets, "new", content)
        await wait_until(
            lambda: all(
                "new" in item.directory.targets for item in harness.running.values()
            ),
            1.0,
        )


@testing.run_in_event_loop
async def test_coordinator_stays_while_no_instance_reaches_the_store():
    async with run_fleet("n1", "n2", "n3") as harness:
        leader = await wait_coordinator(harness)
        harness.unreachable.update(harness.running)
        await asyncio.sleep(3.5)
        assert harness.find_coordinators() == [leader]
        assert harness.running[leader].participant.followers.can_lead_without_store()


@testing.run_in_event_loop
async def test_coordinator_without_store_and_majority_does_not_lead():
    """Guards against counting the coordinator's own report as that of a member.

    A coordinator that reaches neither the store nor the others would renew its grants
    while they elect another one.
    """
    async with run_fleet("n1", "n2", "n3") as harness:
        leader = await wait_coordinator(harness)
        running_leader = harness.running[leader]
        for node, item in harness.running.items():
            if node != leader:
                await item.stop()
        harness.unreachable.add(leader)
        participant = running_leader.participant
        await wait_until(
            lambda: (
                not participant.table_feeds.has_recent_answer(
                    followers.STORE_ANSWER_MAX_AGE
                )
            )
        )
        await asyncio.sleep(reports.REPORT_MAX_AGE.total_seconds())
        assert participant.coordinating
        assert not participant.followers.can_lead_without_store()
        assert not participant.granter.term.may_send_orders()


@testing.run_in_event_loop
async def test_instance_loses_the_vote_if_others_receive_heartbeats():
    # Guards against a partitioned instance that deposes a healthy coordinator.
    async with run_fleet("n1", "n2", "n3") as harness:
        leader = await wait_coordinator(harness)
        other = next(item for node, item in harness.running.items() if node != leader)
        await wait_until(lambda: len(other.directory.members) == 3)
        assert not await other.participant.candidacy.collect_votes()


async def restart(harness, node):
    """Replace the process of an instance."""
    await harness.running.pop(node).stop()
    harness.running[node] = RunningInstance(harness, node)
    await harness.running[node].start()


def get_inherited(harness):
    """Return the bound of the grants that the only coordinator inherits."""
    (leader,) = harness.find_coordinators()
    return harness.running[leader].participant.votes.get_inherited_grant_time_left()


MAX_DURATION = builders.build_timing().max_grant_duration


@testing.run_in_event_loop
async def test_restarted_instances_do_not_rule_out_long_grants():
    """Guards against grants that were sent before the start of all voters."""
    async with run_fleet("n1", "n2", "n3") as harness:
        leader = await wait_coordinator(harness)
        for node in list(harness.running):
            if node != leader:
                await restart(harness, node)
        await wait_coordinator(harness)
        await harness.running.pop(leader).stop()
        await wait_until(harness.find_coordinators, 4.0)
        assert get_inherited(harness) == MAX_DURATION


@testing.run_in_event_loop
async def test_a_minority_does_not_rule_out_long_grants():
    """Guards against long grants of which only instances that failed were told."""
    async with run_fleet("n1", "n2", "n3") as harness:
        leader = await wait_coordinator(harness)
        successor = next(node for node in harness.running if node != leader)
        for node in list(harness.running):
            if node != successor:
                await harness.running.pop(node).stop()
        await wait_until(harness.find_coordinators, 4.0)
        assert get_inherited(harness) == MAX_DURATION


@testing.run_in_event_loop
async def test_votes_of_most_members_rule_out_long_grants():
    """Guards against waiting for long grants after each loss of a coordinator."""
    async with run_fleet("n1", "n2", "n3") as harness:
        leader = await wait_coordinator(harness)
        await harness.running.pop(leader).stop()
        await wait_until(harness.find_coordinators, 4.0)
        assert get_inherited(harness) == 0 * SECOND


@testing.run_in_event_loop
async def test_long_grants_are_announced_to_most_members():
    """Guards against a coordinator that fails between a grant and its heartbeat."""
    async with run_fleet("n1", "n2", "n3") as harness:
        leader = await wait_coordinator(harness)
        participant = harness.running[leader].participant
        assert not participant.votes.may_send_long_grants()
        harness.unreachable.update(harness.running)
        await wait_until(participant.votes.may_send_long_grants)
        until = participant.clock.monotonic() + MAX_DURATION
        informed = [
            node
            for node, item in harness.running.items()
            if node != leader and item.participant.votes.known.until > until
        ]
        assert informed


@testing.run_in_event_loop
async def test_restarted_coordinator_is_not_taken_for_the_lost_one():
    """Guards against a coordinator that counts as live since its address answers."""
    async with run_fleet("n1", "n2", "n3") as harness:
        leader = await wait_coordinator(harness)
        other = next(item for node, item in harness.running.items() if node != leader)
        # Without the store, the new process does not follow its predecessor.
        harness.unreachable.add(leader)
        await restart(harness, leader)
        member = other.directory.members[leader]
        assert other.directory.leadership.incarnation == member.incarnation
        assert await other.participant.votes.request(member) is False


@testing.run_in_event_loop
async def test_votes_of_another_instance_at_an_address_do_not_count():
    """Guards against counting an instance twice that has replaced a member."""
    async with run_fleet("n1", "n2", "n3") as harness:
        leader = await wait_coordinator(harness)
        nodes = [node for node in harness.running if node != leader]
        asking, replacing = (harness.running[node].participant for node in nodes)
        replaced = replacing.own_member._replace(node="n4", incarnation="n4-1")
        assert await asking.votes.request(replacing.own_member) is True
        assert await asking.votes.request(replaced) is None


def record_informed(harness, leader):
    """Return a list that gets, for each long grant, how many others know of it."""
    counts = []
    connect = harness.targets.connect

    async def connect_recording(target):
        connection = (await connect(target)).unwrap()
        send = connection.grant

        async def grant(holding, duration, handover):
            if duration > grant_durations.GRANT_DURATION:
                until = clocks.SystemClock().monotonic() + duration
                counts.append(
                    sum(
                        item.participant.votes.known.until >= until
                        for node, item in harness.running.items()
                        if node != leader
                    )
                )
            return await send(holding, duration, handover)

        connection.grant = grant
        return result.Success(connection)

    harness.targets.connect = connect_recording
    return counts


@testing.run_in_event_loop
async def test_most_members_know_of_long_grants_before_they_are_sent():
    """Guards against a coordinator that fails between a grant and its heartbeat."""
    async with run_fleet("n1", "n2", "n3") as harness:
        leader = await wait_coordinator(harness)
        counts = record_informed(harness, leader)
        await wait_until(lambda: harness.targets.list_held("a"))
        harness.unreachable.update(harness.running)
        await wait_until(lambda: counts, 8.0)
        assert counts[0] >= 1


class VoteHarness:
    """An instance whose vote requests get the answers that the test sets."""

    def __init__(self, answers):
        harness = Harness()
        self.participant = RunningInstance(harness, "own").participant
        rows = [
            builders.build_row(
                model.TABLES.fleet,
                directories.MEMBER_PREFIX + node,
                number,
                directories.encode_record(model.Member(node, "i", "dc", "h", 1)),
            )
            for number, node in enumerate(answers, 2)
        ]
        rows.append(self.build_leadership("leader", 1))
        self.participant.directory.apply_rows(rows)

        async def request_vote(member):
            return answers[member.node]

        self.participant.votes.request = request_vote

    def build_leadership(self, node, term):
        """Return a coordinator row."""
        record = directories.Leadership(node, "i", term, 0)
        value = directories.encode_record(record)
        return builders.build_row(
            model.TABLES.fleet, directories.COORDINATOR_KEY, 100 + term, value
        )


@testing.run_in_event_loop
async def test_coordinator_is_replaced_if_most_receive_no_heartbeats():
    """Guards against keeping a coordinator whose saturated link loses messages."""
    answers = {"leader": None, "n1": True, "n2": False, "n3": False, "n4": False}
    assert await VoteHarness(answers).participant.candidacy.collect_votes()


@testing.run_in_event_loop
async def test_coordinator_that_answers_the_vote_is_not_replaced():
    """Guards against electing another one while only established links are broken."""
    answers = {"leader": True, "n1": False, "n2": False, "n3": False, "n4": False}
    assert not await VoteHarness(answers).participant.candidacy.collect_votes()


@testing.run_in_event_loop
async def test_no_election_against_a_newly_elected_coordinator():
    """Guards against deposing each new coordinator before its first heartbeat."""
    election = VoteHarness({"n1": False})
    participant = election.participant
    participant.table_feeds.has_recent_answer = lambda max_age: True
    participant.table_feeds.current_tables.add(model.TABLES.fleet)
    past = participant.clock.monotonic() - TIMEOUT_S * SECOND
    participant.membership.contact = membership.Contact(past, past)
    participant.directory.apply_rows([election.build_leadership("other", 2)])
    now = participant.clock.monotonic()
    assert not participant.candidacy.should_start(now)
    assert participant.candidacy.should_start(now + TIMEOUT_S * SECOND)


@testing.run_in_event_loop
async def test_deposed_coordinator_does_not_restart():
    """Guards against restarting an old term with each row that is read."""
    election = VoteHarness({"n1": False})
    participant = election.participant
    record = directories.Leadership("own", participant.own_member.incarnation, 2, 0)
    row = builders.build_row(
        model.TABLES.fleet,
        directories.COORDINATOR_KEY,
        500,
        directories.encode_record(record),
    )
    participant.directory.apply_rows([row])
    assert participant.coordinating and participant.term == 2
    await asyncio.sleep(0)
    participant.tenure.adopt_newer_term(frames.Frame("tell", 3, "n1", "i"))
    target = builders.build_target("new")
    participant.directory.apply_rows([builders.build_target_row(target, 900)])
    assert not participant.coordinating


class RecordingLink:
    """A link that keeps the frames sent on it."""

    def __init__(self):
        self.sent = []
        self.state = link_states.LinkState()

    def send(self, frame):
        self.sent.append(frame)
        return True

    def close(self):
        """Do nothing; there is no connection."""


class SilentLink(RecordingLink):
    """A link whose other end receives nothing and does not answer."""

    def __init__(self):
        super().__init__()
        self.closed = False

    def send_encoded(self, content, kind):
        """Return that the bytes were taken."""
        return True

    def close(self):
        """Record the end of the link."""
        self.closed = True


# Guards against a member that hears of no changes for as long as its link is kept,
# which went silent before the first report.
@testing.run_in_event_loop
async def test_link_without_a_first_report_is_replaced(monkeypatch):
    election = VoteHarness({"n1": False})
    participant = election.participant
    start_coordinating(election, 2)
    link = SilentLink()

    async def connect(host, port, on_frame, on_close):
        return link

    monkeypatch.setattr(links, "connect", connect)
    await participant.member_links.dial(participant.directory.members["n1"])
    now = participant.clock.monotonic()
    participant.heartbeats.send(now + links.FIRST_FRAME_TIMEOUT / 2)
    assert not link.closed
    participant.heartbeats.send(now + links.FIRST_FRAME_TIMEOUT + SECOND)
    assert link.closed and "n1" not in participant.member_links.links


def ask(participant):
    """Return an instance's answer to a vote request."""
    link = RecordingLink()
    participant.receive(link, frames.Frame("ask", 1, "n1", "i"))
    return link.sent[-1]


def start_coordinating(election, term):
    """Elect the instance of a `VoteHarness`."""
    participant = election.participant
    record = directories.Leadership("own", participant.own_member.incarnation, term, 0)
    value = directories.encode_record(record)
    row = builders.build_row(
        model.TABLES.fleet, directories.COORDINATOR_KEY, 500 + term, value
    )
    participant.directory.apply_rows([row])
    assert participant.coordinating


@testing.run_in_event_loop
async def test_coordinator_tells_of_its_own_long_grants():
    """Guards against a successor that asks the coordinator whose grants it inherits."""
    election = VoteHarness({"n1": False})
    participant = election.participant
    start_coordinating(election, 2)
    await asyncio.sleep(0)
    incarnation = grant_states.TargetIncarnation("a", 1)
    orders = participant.granter.grant_states.get_grant_state(incarnation).orders
    orders.outstanding = outstanding.record_answer(
        orders.outstanding, participant.clock.monotonic(), MAX_DURATION
    )
    assert ask(participant).holds_ms > 9_000
    participant.tenure.adopt_newer_term(frames.Frame("tell", 3, "n1", "i"))
    assert not participant.coordinating
    assert ask(participant).holds_ms > 9_000


def build_report(heartbeat_ms):
    return frames.Frame("report", 2, "n1", "i", heartbeat_ms=heartbeat_ms)


# Guards against orders to the next process of a target beside a coordinator that was
# elected by a minority, which does not report to its predecessor.
@testing.run_in_event_loop
async def test_connections_without_the_store_need_reports_of_all_members():
    election = VoteHarness({"n1": False, "n2": False})
    participant = election.participant
    start_coordinating(election, 2)
    participant.heartbeats.receive_report("n1", build_report(0))
    assert participant.followers.can_lead_without_store()
    assert not participant.followers.can_connect_without_store()
    participant.heartbeats.receive_report("n2", build_report(0))
    assert participant.followers.can_connect_without_store()


@testing.run_in_event_loop
async def test_long_grants_need_recent_acknowledgements():
    """Guards against long grants announced only in heartbeats that were not received.

    Reports that were sent before the announcement or arrive late do not count.
    """
    election = VoteHarness({"n1": False, "n2": False})
    participant = election.participant
    start_coordinating(election, 2)
    participant.heartbeats.receive_report("n1", build_report(0))
    participant.heartbeats.receive_report("n2", build_report(0))
    assert participant.followers.can_lead_without_store()
    assert not participant.votes.may_send_long_grants()
    now = participant.clock.monotonic()
    participant.heartbeats.send(now)
    announced_ms = frames.to_milliseconds(now)
    participant.heartbeats.receive_report("n1", build_report(announced_ms - 1))
    assert not participant.votes.may_send_long_grants()
    participant.heartbeats.receive_report("n1", build_report(announced_ms))
    assert participant.votes.may_send_long_grants()
    past_max_age = reports.REPORT_MAX_AGE + 10 * builders.MILLISECOND
    await asyncio.sleep(past_max_age.total_seconds())
    participant.heartbeats.receive_report("n1", build_report(announced_ms))
    assert participant.followers.can_lead_without_store()
    assert not participant.votes.may_send_long_grants()


def answer_heartbeat(participant, heartbeat_ms):
    """Return which heartbeat an instance acknowledges after it received this one."""
    link = RecordingLink()
    frame = frames.Frame("beat", 2, "n1", "i", heartbeat_ms=heartbeat_ms)
    participant.receive_heartbeat(link, frame)
    return link.sent[-1].heartbeat_ms


def outlast_vote(participant):
    """Let the last vote of an instance have been given long ago."""
    known = participant.votes.known
    voted_at = known.voted_at - (long_grants.VOTE_VALIDITY + SECOND)
    participant.votes.known = known._replace(voted_at=voted_at)


@testing.run_in_event_loop
async def test_voters_acknowledge_no_further_long_grants():
    """Guards against long grants that begin after the votes for a successor."""
    participant = VoteHarness({"n1": False}).participant
    outlast_vote(participant)
    assert answer_heartbeat(participant, 5) == 5
    ask(participant)
    assert answer_heartbeat(participant, 6) == 0


@testing.run_in_event_loop
async def test_restarted_voter_acknowledges_no_further_long_grants():
    """Guards against long grants that a voter's next process acknowledges, while the
    successor still relies on the vote."""
    participant = VoteHarness({"n1": False}).participant
    assert answer_heartbeat(participant, 5) == 0
    outlast_vote(participant)
    assert answer_heartbeat(participant, 6) == 6


@testing.run_in_event_loop
async def test_elections_in_a_large_fleet_are_spread_over_time():
    """Guards against simultaneous elections, whose votes grow quadratically."""
    election = VoteHarness({f"n{number}": False for number in range(80)})
    participant = election.participant
    link = links.Link(lambda *_: None, lambda *_: None)
    waits = []
    for term in range(2, 102):
        for stopping in (False, True):
            participant.receive_heartbeat(
                link,
                frames.Frame("beat", term, "n1", "i", stopping=stopping),
            )
        waits.append(
            participant.candidacy.election_timeout - membership.HEARTBEAT_TIMEOUT
        )
    early_elections = sum(wait < 100 * builders.MILLISECOND for wait in waits)
    assert early_elections <= 20


@testing.run_in_event_loop
async def test_votes_against_a_coordinator_do_not_depose_its_successor():
    election = VoteHarness({"n1": False})
    participant = election.participant

    async def request_vote(member):
        participant.directory.apply_rows([election.build_leadership("other", 2)])
        return False

    participant.votes.request = request_vote
    past = participant.clock.monotonic() - TIMEOUT_S * SECOND
    contact = participant.membership.contact
    participant.membership.contact = contact._replace(healthy_heartbeat_at=past)
    await participant.candidacy.run()
    assert not participant.coordinating
    assert participant.directory.leadership.node == "other"


@testing.run_in_event_loop
async def test_new_coordinator_sends_only_missing_rows():
    """Guards against a coordinator change that saturates a slow link for seconds."""
    async with run_fleet("n1", "n2") as harness:
        leader = await wait_coordinator(harness)
        running_leader = harness.running[leader]
        other = next(item for node, item in harness.running.items() if node != leader)
        known = other.directory.list_versions()
        assert running_leader.directory.list_newer(known) == ()
        newer = builders.build_target_row(builders.build_target("a"), 900)
        added = builders.build_target_row(builders.build_target("z"), 901)
        running_leader.directory.apply_rows([newer, added])
        assert set(running_leader.directory.list_newer(known)) == {newer, added}


@testing.run_in_event_loop
async def test_stopping_coordinator_is_replaced_at_once():
    async with run_fleet("n1", "n2", "n3") as harness:
        leader = await wait_coordinator(harness)
        harness.running[leader].participant.stopping = True
        harness.running[leader].participant.schedule_heartbeat()
        await wait_until(
            lambda: any(node != leader for node in harness.find_coordinators()), 3.0
        )


def test_leadership_row_round_trip():
    record = directories.Leadership("n", "i", 4, 0)
    row = builders.build_row("fleet", "c", 9, directories.encode_record(record))
    read = directories.decode_record(directories.Leadership, row, version=9)
    assert read.unwrap() == record._replace(version=9)


def test_frame_round_trip():
    frame = frames.Frame(
        "beat",
        3,
        "n",
        "i",
        contact=True,
        members=2,
        rows=(
            model.StoredRow("t", "k", 7, b"v"),
            model.StoredRow("t", "l", 8, None),
            model.StoredRow("t", "m", 8, b""),
        ),
        loads=(frames.Load("t", 1, 2, 3),),
        totals=(frames.Total(frames.hash_target_name("t"), 1, 2.25),),
        moving=(frames.Span("s", 1, 2),),
        keys=(frames.KeyCount("s", 1, 2),),
        crashes=(frames.Crash(b"\x00\xff", 2), frames.Crash(b"f", 1, "t", 2**40, 7, 8)),
        versions=((2**63, 2**40),),
        holds_ms=3,
        holds_known=True,
        heartbeat_ms=2**40,
        age_ms=4,
        moves_kept=True,
        begun=(frames.Span("s", 3, 4),),
        ended=(frames.Span("s", 5, 6),),
        accepts_moves=True,
    )
    assert frames.decode(frames.encode(frame)) == frame


def build_loss(participant, life=1):
    """Return the loss of a target that has just received a request."""
    now = participant.clock.monotonic()
    return crash_counts.Loss("a", life, now, now)


def count_losses(running):
    """Return the number of losses that each instance suspects a request of."""
    return [item.crash_counts.get(b"f", item.clock.monotonic()) for item in running]


# Guards against DENIED: one loss counted as many crashes as instances reported it.
@testing.run_in_event_loop
async def test_loss_that_several_instances_report_counts_once():
    async with run_fleet("n1", "n2", "n3", "n4") as harness:
        await wait_coordinator(harness)
        running = [item.participant for item in harness.running.values()]
        for participant in running:
            participant.record_crash(b"f", build_loss(participant))
        await asyncio.sleep(0.5)
        assert count_losses(running) == [1] * 4
        running[0].record_completion(b"f")
        await wait_until(lambda: not any(count_losses(running)))


@testing.run_in_event_loop
async def test_separate_losses_quarantine_a_request_at_all_instances():
    # Guards against a request that crashes a target through another instance each time.
    async with run_fleet("n1", "n2", "n3", "n4") as harness:
        await wait_coordinator(harness)
        running = [item.participant for item in harness.running.values()]
        for life, participant in enumerate(running[:3]):
            participant.record_crash(b"f", build_loss(participant, life))
            await asyncio.sleep(4 * crash_counts.MIN_SEPARATION.total_seconds())
        await wait_until(lambda: count_losses(running) == [3] * 4)


@testing.run_in_event_loop
async def test_coordinator_confirms_the_configuration_of_a_member():
    # Guards against DENIED: a member cannot tell whether its configuration is current.
    async with run_fleet("n1", "n2", "n3", "n4", "n5") as harness:
        leader = await wait_coordinator(harness)
        member = next(
            item
            for node, item in harness.running.items()
            if node != leader and not item.participant.role.deputy
        )
        participant = member.participant
        checks = participant.configuration_checks
        # News do not arrive, but answers do.
        participant.news.apply = lambda link, frame: None
        version = member.directory.rows[model.TABLES.configuration, "config"].version
        harness.store.put(model.TABLES.configuration, "config", b"x")
        now = participant.clock.monotonic()

        async def wait_confirmation():
            while not checks.is_confirmed(now):
                await checks.wait(SECOND)

        await asyncio.wait_for(wait_confirmation(), TIMEOUT_S)
        row = member.directory.rows[model.TABLES.configuration, "config"]
        assert row.version > version


def test_key_counts_are_bounded_and_keep_their_total():
    # Guards against reports whose size grows with the load.
    counter = keys.KeyCounter(random.Random(1))
    for number in range(5_000):
        counter.count_request("s", number % 3_000)
    counts = counter.take_counts()
    assert len(counts) <= keys.MAX_SAMPLES
    assert 0.8 < sum(item.count for item in counts) / 5_000 < 1.2
    assert counter.take_counts() == ()


def test_heartbeat_of_a_large_fleet_is_small():
    """Guards against heartbeats that need more bandwidth than the requests."""
    totals = tuple(
        frames.Total(
            frames.hash_target_name(f"i-{number:08x}"), number % 16, 1 + number / 300
        )
        for number in range(240)
    )
    frame = frames.Frame("beat", 3, "n", "i", totals=totals)
    assert len(frames.encode(frame)) < 10 * len(totals)
    assert frames.decode(frames.encode(frame)).totals[5].target == totals[5].target


@testing.run_in_event_loop
async def test_reported_long_grants_and_the_term_that_relies_on_them_are_logged(
    monkeypatch,
):
    # Whether a coordinator knows of its predecessor's long grants decides how long it
    # waits for them.
    log = event_capture.EventCapture(monkeypatch)
    async with run_fleet("n1", "n2") as harness:
        await wait_coordinator(harness)
        (fields,) = log.find("coordinating")
        assert fields["informants"] == 0
        participant = harness.running["n1"].participant
        frame = frames.Frame("beat", 1, "n2", "n2-x", holds_ms=5000)
        participant.votes.record_long_grants(frame)
        participant.votes.record_long_grants(frame)
        (fields,) = log.find("long_grants_reported")
        assert fields["node"] == "n2" and fields["time_left"] == 5 * SECOND
