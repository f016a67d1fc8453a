"""Tests of which members a coordinator counts in majorities."""

import asyncio

from returns import result

from dewstep_core import errors
from dewstep_emulator import testing
from dewstep_fleet import (
    builders,
    coordination_test,
    directories,
    member_presence,
    model,
    quorums,
)

ERA = model.VERSIONS_PER_ERA
GONE_S = member_presence.LOSS_TIMEOUT.total_seconds()


def build_coordinator(members, quorum):
    """Return a coordinator that knows these members and the quorum in the store."""
    election = coordination_test.VoteHarness(dict.fromkeys(members))
    participant = election.participant
    row = builders.build_row(
        model.TABLES.fleet, directories.QUORUM_KEY, 400, quorums.encode(quorum, 1)
    )
    participant.directory.apply_rows([row])
    coordination_test.start_coordinating(election, 2)
    participant.table_feeds.is_current = lambda: True
    participant.granter.term.confirm_regularly = lambda now: None
    return participant


class RecordingStore:
    """A store that answers all transactions alike and records their writes."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.writes = []

    async def commit(self, expected, writes):
        self.writes.append((dict(expected), dict(writes)))
        return self.outcome


async def keep_quorum(participant):
    """Let a coordinator write the quorum if it may."""
    participant.quorum_writer.next_write = participant.clock.monotonic()
    participant.quorum_writer.keep(participant.clock.monotonic())
    await asyncio.sleep(0.01)


@testing.run_in_event_loop
async def test_quorum_follows_the_members():
    # Guards against majorities without the instances that were added.
    async with coordination_test.run_fleet("n1", "n2", "n3") as harness:
        await coordination_test.wait_coordinator(harness)
        await coordination_test.wait_until(
            lambda: all(
                item.directory.quorum.nodes == {"n1", "n2", "n3"}
                for item in harness.running.values()
            )
        )
        harness.running["n4"] = coordination_test.RunningInstance(harness, "n4")
        await harness.running["n4"].start()
        await coordination_test.wait_until(
            lambda: all(
                item.directory.quorum.nodes == {"n1", "n2", "n3", "n4"}
                for item in harness.running.values()
            )
        )


@testing.run_in_event_loop
async def test_quorum_stays_until_half_of_it_has_adopted_the_term():
    # Guards against a successor that replaces the members by whose majority an earlier
    # coordinator leads.
    participant = build_coordinator(["n1", "n4"], {"n1", "n2", "n3"})
    participant.quorum_writer.store = store = RecordingStore(result.Success(600))
    await keep_quorum(participant)
    assert store.writes == []
    participant.granter.adoption.adopted = True
    await keep_quorum(participant)
    ((expected, writes),) = store.writes
    assert expected == {directories.QUORUM_KEY: 400, directories.COORDINATOR_KEY: 502}
    assert writes == {directories.QUORUM_KEY: quorums.encode({"n1", "n4", "own"}, 2)}
    assert participant.directory.quorum.nodes == {"n1", "n4", "own"}


@testing.run_in_event_loop
async def test_majorities_of_both_are_needed_while_a_change_is_uncertain():
    # Guards against two leaders that count different members after a lost answer.
    participant = build_coordinator(["n1", "n2", "n3", "n4"], {"own", "n1", "n2"})
    participant.quorum_writer.store = RecordingStore(
        result.Failure(errors.AnswerLost("cut"))
    )
    participant.granter.adoption.adopted = True
    assert participant.quorum_writer.is_majority({"own", "n1"})
    await keep_quorum(participant)
    assert not participant.quorum_writer.is_majority({"own", "n1"})
    assert not participant.quorum_writer.is_majority({"own", "n3", "n4"})
    assert participant.quorum_writer.is_majority({"own", "n1", "n3"})


@testing.run_in_event_loop
async def test_uncertain_change_is_written_again_before_the_next():
    # Guards against a third set of members, of which no majority would be needed.
    participant = build_coordinator(["n1"], {"own"})
    participant.quorum_writer.store = store = RecordingStore(
        result.Failure(errors.AnswerLost("cut"))
    )
    participant.granter.adoption.adopted = True
    await keep_quorum(participant)
    member = model.Member("n2", "i", "dc", "h", 1)
    row = builders.build_row(
        model.TABLES.fleet,
        directories.MEMBER_PREFIX + "n2",
        700,
        directories.encode_record(member),
    )
    participant.directory.apply_rows([row])
    await keep_quorum(participant)
    store.outcome = result.Success(800)
    await keep_quorum(participant)
    store.outcome = result.Success(801)
    await keep_quorum(participant)
    values = [writes[directories.QUORUM_KEY] for _, writes in store.writes]
    first = quorums.encode({"own", "n1"}, 2)
    second = quorums.encode({"own", "n1", "n2"}, 3)
    assert values == [first, first, first, second]
    assert participant.quorum_writer.list_quorums()[0] == {"own", "n1", "n2"}


@testing.run_in_event_loop
async def test_quorum_that_a_restored_store_lost_is_written_again():
    # Guards against followers that are a majority of the few members in an old copy.
    participant = build_coordinator(["n1", "n2"], {"own", "n1", "n2"})
    participant.quorum_writer.store = store = RecordingStore(result.Success(2 * ERA))
    participant.granter.adoption.adopted = True
    row = builders.build_row(model.TABLES.fleet, directories.QUORUM_KEY, ERA, None)
    participant.directory.apply_rows([row])
    assert not participant.quorum_writer.is_majority({"own"})
    await keep_quorum(participant)
    ((expected, writes),) = store.writes
    value = quorums.encode({"own", "n1", "n2"}, 2)
    assert writes == {directories.QUORUM_KEY: value}


def observe(participant, seconds, reporting=()):
    """Let a coordinator find at a time from now which members report."""
    now = participant.clock.monotonic() + seconds * builders.SECOND
    members = participant.directory.members.values()
    participant.quorum_writer.presence.observe(members, {"own", *reporting}, now)


# Guards against majorities that need machines which were replaced.
@testing.run_in_event_loop
async def test_members_that_are_gone_leave_the_quorum():
    participant = build_coordinator(["n1", "n2"], {"own", "n1", "n2"})
    writer = participant.quorum_writer
    writer.store = store = RecordingStore(result.Success(600))
    # The granter begins its term with the first await.
    await asyncio.sleep(0.01)
    participant.granter.adoption.adopted = True
    observe(participant, 1 - GONE_S, {"n1"})
    observe(participant, 0, {"n1"})
    await keep_quorum(participant)
    assert store.writes == []
    observe(participant, -GONE_S, {"n1", "n2"})
    observe(participant, -GONE_S, {"n1"})
    await keep_quorum(participant)
    assert participant.directory.quorum.nodes == {"own", "n1"}
    store.outcome = result.Success(601)
    observe(participant, 0, {"n1", "n2"})
    await keep_quorum(participant)
    assert participant.directory.quorum.nodes == {"own", "n1", "n2"}


# Guards against a successor that leaves out the members which follow an earlier
# coordinator.
@testing.run_in_event_loop
async def test_members_that_are_gone_count_until_the_term_is_adopted():
    participant = build_coordinator(["n1", "n2"], {"own", "n1", "n2"})
    participant.quorum_writer.store = store = RecordingStore(result.Success(600))
    observe(participant, -GONE_S)
    await keep_quorum(participant)
    assert store.writes == []


@testing.run_in_event_loop
async def test_election_fails_if_the_quorum_has_changed():
    # Guards against a successor that counts members by an outdated read.
    async with coordination_test.run_fleet("n1", "n2", "n3") as harness:
        first = await coordination_test.wait_coordinator(harness)
        await coordination_test.wait_until(
            lambda: all(
                len(item.directory.quorum.nodes) == 3
                for item in harness.running.values()
            )
        )
        other = next(item for node, item in harness.running.items() if node != first)
        participant, known = other.participant, other.directory.leadership
        outdated = other.directory.quorum
        harness.store.put(
            model.TABLES.fleet, directories.QUORUM_KEY, quorums.encode({"n1"}, 9)
        )
        other.directory.quorum = outdated
        await participant.candidacy.claim_leadership(known)
        assert not participant.coordinating
