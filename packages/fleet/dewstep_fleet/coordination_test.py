"""Instances with real links on one machine, a store in memory and fake targets."""

import asyncio
import collections
import contextlib
import random
import socket

from dewstep_core import clock as clocks
from dewstep_emulator import testing
from dewstep_fleet import (
    builders,
    coordination,
    directory as directories,
    feeds,
    frames,
    keys,
    links,
    loads as load_counts,
    model,
)

LIMIT = 6.0
SECOND = builders.SECOND


class Shop:
    """A store that single instances cannot reach."""

    def __init__(self, store, node, cut, calls):
        self.store = store
        self.node = node
        self.cut = cut
        self.calls = calls

    async def read_table(self, table):
        self.calls[self.node] += 1
        if self.node in self.cut:
            return builders.result.Failure(builders.errors.PlatformUnavailable("cut"))
        return await self.store.read_table(table)

    async def watch(self, table, after, wait):
        self.calls[self.node] += 1
        end = asyncio.get_running_loop().time() + 0.2
        while True:
            if self.node in self.cut:
                failure = builders.errors.PlatformUnavailable("cut")
                return builders.result.Failure(failure)
            outcome = await self.store.watch(table, after, wait)
            if outcome.unwrap().rows or asyncio.get_running_loop().time() > end:
                return outcome
            await asyncio.sleep(0.01)

    async def commit(self, expected, writes):
        if self.node in self.cut:
            return builders.result.Failure(builders.errors.PlatformUnavailable("cut"))
        return await self.store.commit(expected, writes)


class Running:
    """One instance and its tasks."""

    def __init__(self, stage, node):
        self.clock = clocks.SystemClock()
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        member = model.Member(node, f"{node}-x", "dc-1", "127.0.0.1", port)
        self.directory = builders.build_directory(self.clock)
        store = Shop(stage.store, node, stage.cut, stage.calls)
        generator = random.Random(node)
        self.feeds = feeds.Feeds(store, self.directory, self.clock, generator)
        self.keys = keys.KeyCounter(generator)
        self.fleet = coordination.Fleet(
            member,
            self.directory,
            self.feeds,
            store,
            stage.targets,
            self.clock,
            builders.build_timing(),
            load_counts.Loads(),
            self.keys.take,
            generator,
        )
        self.tasks = []

    async def start(self):
        await self.fleet.start()
        for work in (self.feeds.run(), self.fleet.run(), self.fleet.register()):
            self.tasks.append(asyncio.ensure_future(work))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Stage:
    """A fleet."""

    def __init__(self):
        self.store = builders.FakeStore()
        self.cut = set()
        self.calls = collections.Counter()
        self.targets = builders.FakeTargets(clocks.SystemClock())
        self.running = {}
        self.store.put(model.TABLES.configuration, "config", b"")
        for name in "ab":
            content = builders.encode_target(builders.build_target(name))
            self.store.put(model.TABLES.targets, name, content)

    def find_coordinators(self):
        return [node for node, item in self.running.items() if item.fleet.coordinating]


@contextlib.asynccontextmanager
async def running(*nodes):
    stage = Stage()
    for node in nodes:
        stage.running[node] = Running(stage, node)
        await stage.running[node].start()
    try:
        yield stage
    finally:
        for item in stage.running.values():
            await item.stop()


async def until(condition, limit=LIMIT):
    """Wait for a condition; fail if it does not come true in time."""
    async with asyncio.timeout(limit):
        while not condition():
            await asyncio.sleep(0.02)


async def await_following(stage):
    def follows():
        leaders = stage.find_coordinators()
        if len(leaders) != 1:
            return False
        terms = {item.fleet.term for item in stage.running.values()}
        live = stage.running[leaders[0]].fleet.live
        return len(terms) == 1 and live == len(stage.running)

    await until(follows)
    return stage.find_coordinators()[0]


@testing.in_loop
async def test_one_instance_coordinates_and_all_know_the_owners():
    async with running("n1", "n2", "n3") as stage:
        await await_following(stage)
        await until(
            lambda: all(
                "history" in item.directory.ownerships
                for item in stage.running.values()
            )
        )


@testing.in_loop
async def test_news_reach_all_without_a_call_of_each_to_the_store():
    # Guards against calls to the store that grow with the fleet.
    async with running("n1", "n2", "n3") as stage:
        leader = await await_following(stage)
        followers = [item for node, item in stage.running.items() if node != leader]
        tables = [item.feeds for item in followers]
        await until(
            lambda: all(feed.wanted <= coordination.DEPUTY_TABLES for feed in tables)
        )
        content = builders.encode_target(builders.build_target("new"))
        stage.store.put(model.TABLES.targets, "new", content)
        await until(lambda: all("new" in item.directory.targets for item in followers))


@testing.in_loop
async def test_start_of_a_fleet_costs_each_instance_few_calls():
    """Guards against a start at which all read what each of them registers."""
    nodes = [f"n{number}" for number in range(8)]
    async with running(*nodes) as stage:
        await await_following(stage)
        for number in range(20):
            content = builders.encode_target(builders.build_target(f"late-{number}"))
            stage.store.put(model.TABLES.targets, f"late-{number}", content)
            await asyncio.sleep(0.01)
        leader = stage.find_coordinators()[0]
        for node, item in stage.running.items():
            if node != leader and not item.fleet.deputy:
                assert stage.calls[node] <= 10, stage.calls


@testing.in_loop
async def test_lost_coordinator_is_replaced():
    # Guards against grants that lapse because nobody renews them.
    async with running("n1", "n2", "n3") as stage:
        leader = await await_following(stage)
        await stage.running.pop(leader).stop()
        await until(stage.find_coordinators, 3.0)


@testing.in_loop
async def test_coordinator_that_the_store_turns_away_is_replaced():
    async with running("n1", "n2", "n3") as stage:
        leader = await await_following(stage)
        stage.cut.add(leader)
        await until(
            lambda: any(node != leader for node in stage.find_coordinators()), 8.0
        )
        await until(lambda: not stage.running[leader].fleet.coordinating)


@testing.in_loop
async def test_news_that_the_coordinator_cannot_read_reach_all_within_a_second():
    # Guards against an old configuration in force until the coordinator is replaced.
    async with running("n1", "n2", "n3", "n4") as stage:
        leader = await await_following(stage)
        others = [item for node, item in stage.running.items() if node != leader]
        await until(lambda: sum(item.fleet.deputy for item in others) == 2)
        await asyncio.sleep(0.3)
        stage.cut.add(leader)
        content = builders.encode_target(builders.build_target("new"))
        stage.store.put(model.TABLES.targets, "new", content)
        await until(
            lambda: all(
                "new" in item.directory.targets for item in stage.running.values()
            ),
            1.0,
        )


@testing.in_loop
async def test_coordinator_stays_while_nobody_reaches_the_store():
    async with running("n1", "n2", "n3") as stage:
        leader = await await_following(stage)
        stage.cut.update(stage.running)
        await asyncio.sleep(3.5)
        assert stage.find_coordinators() == [leader]
        assert stage.running[leader].fleet.has_support()


@testing.in_loop
async def test_instance_that_others_hear_does_not_become_coordinator():
    # Guards against an instance behind a cut that deposes a good coordinator.
    async with running("n1", "n2", "n3") as stage:
        leader = await await_following(stage)
        other = next(item for node, item in stage.running.items() if node != leader)
        await until(lambda: len(other.directory.members) == 3)
        assert not await other.fleet.win_votes()


class Voters:
    """Other instances that answer a challenger as the test says."""

    def __init__(self, answers):
        stage = Stage()
        self.fleet = Running(stage, "own").fleet
        rows = [
            builders.build_row(
                model.TABLES.fleet,
                directories.MEMBER + node,
                number,
                directories.encode_record(model.Member(node, "i", "dc", "h", 1)),
            )
            for number, node in enumerate(answers, 2)
        ]
        rows.append(self.build_leadership("leader", 1))
        self.fleet.directory.take(rows)

        async def ask(member):
            return answers[member.node]

        self.fleet.ask = ask

    def build_leadership(self, node, term):
        """Return the row that names a coordinator."""
        record = directories.Leadership(node, "i", term, 0)
        value = directories.encode_record(record)
        return builders.build_row(
            model.TABLES.fleet, directories.COORDINATOR, 100 + term, value
        )


@testing.in_loop
async def test_coordinator_that_few_hear_is_replaced():
    """Guards against a coordinator on a line so full that its messages are lost."""
    answers = {"leader": None, "n1": True, "n2": False, "n3": False, "n4": False}
    assert await Voters(answers).fleet.win_votes()


@testing.in_loop
async def test_coordinator_that_answers_is_not_replaced():
    """Guards against an election while all connections are silent but new ones work."""
    answers = {"leader": True, "n1": False, "n2": False, "n3": False, "n4": False}
    assert not await Voters(answers).fleet.win_votes()


@testing.in_loop
async def test_coordinator_that_was_just_chosen_is_not_suspected():
    """Guards against a series of coordinators, each deposed before its first beat."""
    voters = Voters({"n1": False})
    fleet = voters.fleet
    fleet.feeds.in_contact = lambda limit: True
    fleet.feeds.current.add(model.TABLES.fleet)
    fleet.last_good = fleet.last_beat = fleet.clock.monotonic() - LIMIT * SECOND
    fleet.directory.take([voters.build_leadership("other", 2)])
    now = fleet.clock.monotonic()
    assert not fleet.suspects(now)
    assert fleet.suspects(now + LIMIT * SECOND)


@testing.in_loop
async def test_deposed_coordinator_does_not_begin_again():
    """Guards against a term that begins anew with each row that is read."""
    voters = Voters({"n1": False})
    fleet = voters.fleet
    record = directories.Leadership("own", fleet.own.incarnation, 2, 0)
    row = builders.build_row(
        model.TABLES.fleet,
        directories.COORDINATOR,
        500,
        directories.encode_record(record),
    )
    fleet.directory.take([row])
    assert fleet.coordinating and fleet.term == 2
    await asyncio.sleep(0)
    fleet._meet_newer(frames.Frame("tell", 3, "n1", "i"))
    target = builders.build_target("news")
    fleet.directory.take([builders.build_target_row(target, 900)])
    assert not fleet.coordinating


@testing.in_loop
async def test_challengers_of_a_large_fleet_do_not_all_come_at_once():
    """Guards against as many votes as there are pairs of instances."""
    voters = Voters({f"n{number}": False for number in range(80)})
    fleet = voters.fleet
    link = links.Link(lambda *_: None, lambda *_: None)
    waits = []
    for term in range(2, 102):
        for stopping in (False, True):
            fleet._receive_beat(
                link,
                frames.Frame("beat", term, "n1", "i", stopping=stopping),
                fleet.clock.monotonic(),
            )
        waits.append(fleet.patience - coordination.SUSPICION)
    soon = sum(wait < 100 * builders.MILLISECOND for wait in waits)
    assert soon <= 20


@testing.in_loop
async def test_votes_about_one_coordinator_do_not_depose_the_next():
    voters = Voters({"n1": False})
    fleet = voters.fleet

    async def ask(member):
        fleet.directory.take([voters.build_leadership("other", 2)])
        return False

    fleet.ask = ask
    fleet.last_good = fleet.clock.monotonic() - LIMIT * SECOND
    await fleet.challenge()
    assert not fleet.coordinating
    assert fleet.directory.leadership.node == "other"


@testing.in_loop
async def test_new_coordinator_sends_only_rows_that_a_member_lacks():
    """Guards against a change of the coordinator that fills a slow line for seconds."""
    async with running("n1", "n2") as stage:
        leader = await await_following(stage)
        running_leader = stage.running[leader]
        other = next(item for node, item in stage.running.items() if node != leader)
        known = other.directory.list_versions()
        assert running_leader.directory.list_newer(known) == ()
        newer = builders.build_target_row(builders.build_target("a"), 900)
        added = builders.build_target_row(builders.build_target("z"), 901)
        running_leader.directory.take([newer, added])
        assert set(running_leader.directory.list_newer(known)) == {newer, added}


@testing.in_loop
async def test_stopping_coordinator_is_replaced_at_once():
    async with running("n1", "n2", "n3") as stage:
        leader = await await_following(stage)
        stage.running[leader].fleet.stopping = True
        stage.running[leader].fleet.push()
        await until(
            lambda: any(node != leader for node in stage.find_coordinators()), 3.0
        )


def test_leadership_row_is_read_as_written():
    record = directories.Leadership("n", "i", 4, 0)
    row = builders.build_row("fleet", "c", 9, directories.encode_record(record))
    read = directories.decode_record(directories.Leadership, row, version=9)
    assert read.unwrap() == record._replace(version=9)


def test_frames_are_read_as_written():
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
        totals=(frames.Total(frames.shorten("t"), 1, 2.25),),
        moving=(frames.Span("s", 1, 2),),
        keys=(frames.KeyCount("s", 1, 2),),
        crashes=(frames.Crash(b"\x00\xff", 2),),
        versions=((2**63, 2**40),),
    )
    assert frames.decode(frames.encode(frame)) == frame


def test_counted_keys_are_bounded_and_keep_their_total():
    # Guards against reports that grow with the load.
    counter = keys.KeyCounter(random.Random(1))
    for number in range(5_000):
        counter.note("s", number % 3_000)
    counts = counter.take()
    assert len(counts) <= keys.MOST_KEYS
    assert 0.8 < sum(item.count for item in counts) / 5_000 < 1.2
    assert counter.take() == ()


def test_beat_of_a_large_fleet_is_small():
    """Guards against beats that cost more bytes than the requests."""
    totals = tuple(
        frames.Total(frames.shorten(f"i-{number:08x}"), number % 16, 1 + number / 300)
        for number in range(240)
    )
    frame = frames.Frame("beat", 3, "n", "i", totals=totals)
    assert len(frames.encode(frame)) < 10 * len(totals)
    assert frames.decode(frames.encode(frame)).totals[5].target == totals[5].target
