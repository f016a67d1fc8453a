"""Tests of granting with lost, late and repeated orders and with two coordinators.

Fake targets record every grant. After each step, no two targets may hold the same key.
"""

import asyncio
import collections
import random

import pytest
from returns import result

from dewstep_core import clocks, errors
from dewstep_fleet import (
    adoption,
    builders,
    demands,
    directories,
    event_capture,
    grant_durations,
    grant_states,
    granting,
    model,
    outstanding,
    ranges,
    renewal,
    terms,
)

STEP = 50 * builders.MILLISECOND
TARGET_FAULTS = range(8)
"""Events of a random history that `Harness.cause_target_fault` knows."""
SETTLING_TIME = adoption.REGISTRATION_QUIET_PERIOD + 8 * STEP


class Harness:
    """Coordinators, their store and their targets."""

    def __init__(self, *names):
        self.clock = clocks.ManualClock()
        self.store = builders.FakeStore()
        self.targets = builders.FakeTargets(self.clock)
        self.rates = {}
        self.leads_without_store = False
        self.coordinators = []
        self.term = 0
        for name in names:
            self.register(builders.build_target(name))

    def register(self, target):
        content = builders.encode_target(target)
        row = self.store.put(model.TABLES.targets, target.name, content)
        for granter in self.coordinators:
            granter.directory.apply_rows([row])

    def remove(self, name):
        row = self.store.put(model.TABLES.targets, name, None)
        for granter in self.coordinators:
            granter.directory.apply_rows([row])

    def restart(self, target):
        """Restart a target under its name without any grants."""
        self.targets.restart(target.name)
        self.register(target)

    def elect(self, node):
        """Add a coordinator with a new term that earlier ones do not know of."""
        self.write_coordinator(node)
        known = builders.build_directory(self.clock)
        known.apply_rows([builders.build_row(model.TABLES.configuration, "c", 1, b"")])
        known.apply_rows(self.store.rows.values())
        granter = granting.Granter(
            known,
            builders.FakeFeeds(self.clock),
            self.store,
            self.targets,
            self.clock,
            builders.build_timing(),
            lambda: self.leads_without_store,
            lambda: granter is self.coordinators[-1],
            lambda: granter is self.coordinators[-1],
            lambda: self.leads_without_store,
            lambda service: demands.Demand(
                dict(self.rates), collections.defaultdict(lambda: 0.2), 1.5
            ),
            lambda target: 2 * STEP,
            lambda: builders.build_timing().max_grant_duration,
            lambda: None,
        )
        granter.term.record_confirmation(self.clock.monotonic())
        self.coordinators.append(granter)
        return granter

    def write_coordinator(self, node):
        """Write the row of a coordinator with a new term and return it."""
        self.term += 1
        record = directories.Leadership(node, f"{node}-{self.term}", self.term, 0)
        value = directories.encode_record(record)
        return self.store.put(model.TABLES.fleet, directories.COORDINATOR_KEY, value)

    def cause_target_fault(self, event, target, incarnations, generator):
        """Cause a random event at a target, or end one."""
        if event == 0:
            self.targets.unanswering.add(target.name)
        elif event == 1:
            self.targets.unanswering.discard(target.name)
            self.targets.down.discard(target.name)
        elif event == 2:
            self.targets.down.add(target.name)
        elif event == 3:
            incarnations[target.name] += 1
            self.targets.down.discard(target.name)
            self.restart(target._replace(life=incarnations[target.name]))
        elif event == 4:
            self.targets.delay_next = generator.randrange(1, 6)
        elif event == 5:
            self.targets.apply_delayed()
        elif event == 6:
            self.register(target._replace(leaving=True))
        elif event == 7:
            self.register(target)

    def heat_keys(self, generator):
        """Give 200 random adjacent keys most of the requests."""
        key = generator.randrange(model.KEY_SPACE_SIZE)
        self.rates = {
            item % model.KEY_SPACE_SIZE: 0.3 for item in range(key, key + 200)
        }

    async def run(self, duration):
        """Advance time, step all coordinators and check for conflicting owners."""
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            for granter in self.coordinators:
                if not granter.term.deposed:
                    granter.step()
            for _ in range(12):
                await asyncio.sleep(0)
            self.check()
            self.clock.advance(STEP)
            self.check()
        for _ in range(12):
            await asyncio.sleep(0)

    def check(self):
        """Fail if a key has two owners or a number was given to two processes."""
        assert self.targets.find_conflict() is None
        assert self.targets.find_repeated_number() is None

    def find_owners(self):
        row = self.store.rows[model.TABLES.fleet, "ranges/history"]
        decoded = ranges.decode("history", row.version, row.value)
        return {item.target for item in decoded.unwrap().holdings}

    def count_held(self):
        """Return the number of keys that are held by any target."""
        return sum(
            item.last - item.first + 1
            for target in self.targets.grants
            for item in self.targets.list_held(target)
        )

    def close(self):
        for granter in self.coordinators:
            for task in list(granter.tasks.tasks):
                task.cancel()


def run_scenario(scenario):
    """Run a scenario and cancel its tasks."""
    harnesses = []

    async def run():
        try:
            await scenario(harnesses)
        finally:
            for harness in harnesses:
                harness.close()

    asyncio.run(run())


def build_harness(harnesses, *names):
    harness = Harness(*names)
    harnesses.append(harness)
    return harness


def test_all_keys_are_granted_and_stay_granted():
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b", "c")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        assert harness.count_held() == model.KEY_SPACE_SIZE
        for _ in range(10):
            await harness.run(builders.SECOND)
            assert harness.count_held() == model.KEY_SPACE_SIZE

    run_scenario(scenario)


def test_keys_of_an_unresponsive_target_move_after_its_grants_expire():
    # Guards against two owners of a key when a target is cut off but still serves.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.targets.unanswering.add("a")
        await harness.run(grant_durations.GRANT_DURATION * 2.5)
        assert harness.find_owners() == {"b"}
        assert harness.count_held() == model.KEY_SPACE_SIZE

    run_scenario(scenario)


def test_keys_of_a_crashed_target_are_soon_granted_again():
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.targets.down.add("a")
        harness.targets.grants["a"] = []
        await harness.run(grant_durations.GRANT_DURATION + 10 * STEP)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    run_scenario(scenario)


def test_order_for_an_ended_target_is_not_accepted_by_its_successor():
    # Guards against two owners after a renewal for the previous process at an address.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.targets.replace("a", "c")
        await harness.run(renewal.RENEWAL_INTERVAL + 6 * STEP)
        assert not harness.targets.list_held("c")
        assert harness.find_owners() == {"b"}
        assert harness.count_held() == model.KEY_SPACE_SIZE

    run_scenario(scenario)


def test_unnoticed_restart_gives_no_number_to_two_processes():
    # Guards against two owners after a restart under the same name, which the
    # coordinator has not read.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME + renewal.RENEWAL_INTERVAL)
        harness.targets.restart("a")
        await harness.run(renewal.RENEWAL_INTERVAL + 6 * STEP)
        harness.register(builders.build_target("a", life=2))
        await harness.run(grant_durations.GRANT_DURATION)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    run_scenario(scenario)


def test_restarted_target_gets_its_keys_back_at_once():
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        before = harness.store.rows[model.TABLES.fleet, "ranges/history"].version
        harness.restart(builders.build_target("a", life=2))
        await harness.run(4 * STEP)
        assert harness.count_held() == model.KEY_SPACE_SIZE
        row = harness.store.rows[model.TABLES.fleet, "ranges/history"]
        assert row.version > before

    run_scenario(scenario)


def test_leaving_target_hands_its_keys_over():
    # Guards against lost hand-overs, which leave new owners with cold caches.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.register(builders.build_target("a", leaving=True))
        await harness.run(8 * STEP)
        assert harness.find_owners() == {"b"}
        assert harness.targets.handovers

    run_scenario(scenario)


def test_keys_of_an_unregistered_target_are_released():
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.remove("a")
        await harness.run(8 * STEP)
        assert harness.find_owners() == {"b"}
        assert {name for name, *_ in harness.targets.released} == {"a"}

    run_scenario(scenario)


def test_renewal_applied_late_gives_no_key_a_second_owner():
    # Guards against a late renewal that is applied after a move.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.targets.delay_next = 2
        await harness.run(renewal.RENEWAL_INTERVAL)
        harness.register(builders.build_target("a", leaving=True))
        await harness.run(8 * STEP)
        harness.targets.apply_delayed()
        await harness.run(builders.SECOND)
        assert harness.find_owners() == {"b"}

    run_scenario(scenario)


def test_expiry_includes_the_wait_for_a_connection():
    """Guards against an expiry that is computed from when an order was sent.

    The order may wait for a connection, and its duration counts from its arrival.
    """

    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME + renewal.RENEWAL_INTERVAL)
        harness.targets.connection_wait = outstanding.ORDER_TIMEOUT - STEP
        harness.targets.delay_next = 1
        while not harness.targets.delayed:
            await harness.run(STEP)
        (target, _), _, end = harness.targets.delayed[0]
        await harness.run(end - harness.clock.monotonic() - 3 * STEP)
        harness.register(builders.build_target(target, leaving=True))
        for _ in range(2):
            await harness.run(STEP)
        harness.targets.apply_delayed()
        await harness.run(builders.SECOND)
        assert target not in harness.find_owners()

    run_scenario(scenario)


def test_first_answers_of_a_term_do_not_rule_out_its_lost_orders():
    """Guards against a renewal of this term that is applied after a move.

    The first answers in a term only rule out late orders of the previous coordinator.
    """

    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME + renewal.RENEWAL_INTERVAL)
        harness.elect("n2")
        harness.targets.delay_next = 1
        while not harness.targets.delayed:
            await harness.run(STEP)
        target = harness.targets.delayed[0][0].target
        await harness.run(renewal.RENEWAL_INTERVAL)
        harness.register(builders.build_target(target, leaving=True))
        await harness.run(8 * STEP)
        harness.targets.apply_delayed()
        await harness.run(builders.SECOND)
        assert target not in harness.find_owners()

    run_scenario(scenario)


def test_unanswered_fencing_grant_delays_the_move():
    # Guards against a fencing grant that is applied after the range has a new owner.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME + renewal.RENEWAL_INTERVAL)
        harness.targets.delay_next = 1
        await harness.run(renewal.RENEWAL_INTERVAL)
        assert harness.targets.delayed
        await harness.run(6 * STEP)
        harness.targets.delay_next = 1
        harness.register(builders.build_target("a", leaving=True))
        for _ in range(100):
            await harness.run(STEP)
            if harness.find_owners() == {"b"}:
                break
        harness.targets.apply_delayed()
        await harness.run(STEP)
        assert harness.find_owners() == {"b"}

    run_scenario(scenario)


def test_deposed_coordinator_cannot_renew_moved_ranges():
    # Guards against renewals by a coordinator that does not know of its successor.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        first = harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.elect("n2")
        # The first coordinator still assumes that the store confirms its term.
        await harness.run(SETTLING_TIME)
        harness.coordinators[1].directory.apply_rows(
            [
                harness.store.put(
                    model.TABLES.targets,
                    "a",
                    builders.encode_target(builders.build_target("a", leaving=True)),
                )
            ]
        )
        await harness.run(3 * builders.SECOND)
        assert first.term.deposed
        assert harness.find_owners() == {"b"}

    run_scenario(scenario)


def test_coordinator_sends_no_orders_after_reading_a_new_term():
    # Guards against renewals by a deposed coordinator after a network partition has
    # healed and before a transaction of it fails.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        first = harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.elect("n2")
        rows = harness.store.rows
        first.directory.apply_rows(
            [rows[model.TABLES.fleet, directories.COORDINATOR_KEY]]
        )
        assert not first.term.may_send_orders()
        first.step()
        assert first.term.deposed

    run_scenario(scenario)


def test_grants_are_longer_during_a_store_outage():
    # Guards against expired grants if the coordinator fails during a store outage.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        granter = harness.elect("n1")
        await harness.run(SETTLING_TIME)
        granter.table_feeds.lost_at = harness.clock.monotonic()
        harness.leads_without_store = True
        await harness.run(grant_durations.OUTAGE_THRESHOLD + builders.SECOND)
        assert (
            granter.durations.choose_next()
            == builders.build_timing().max_grant_duration
        )
        harness.leads_without_store = False
        await harness.run(builders.SECOND)
        assert not granter.term.may_send_orders()
        await harness.run(builders.SECOND * 6)
        assert harness.count_held() == model.KEY_SPACE_SIZE

    run_scenario(scenario)


def test_long_grants_of_the_previous_coordinator_are_respected():
    # Guards against ignoring long grants that the previous coordinator sent during a
    # store outage: an unreachable target may still hold one.
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        first = harness.elect("n1")
        await harness.run(SETTLING_TIME)
        first.table_feeds.lost_at = harness.clock.monotonic()
        harness.leads_without_store = True
        await harness.run(grant_durations.OUTAGE_THRESHOLD + builders.SECOND)
        harness.leads_without_store = False
        first.term.deposed = True
        harness.elect("n2")
        await harness.run(SETTLING_TIME)
        harness.targets.down.add("a")
        await harness.run(12 * builders.SECOND)

    run_scenario(scenario)


def test_transaction_with_a_lost_answer_is_checked_by_reading():
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        for applied in (True, False):
            harness.store.apply_lost = applied
            harness.store.failures = [errors.AnswerLost("lost")]
            target = builders.build_target("a", leaving=applied)
            harness.register(target)
            harness.rates = {5: 50.0} if not applied else {}
            await harness.run(builders.SECOND)
            assert harness.count_held() == model.KEY_SPACE_SIZE

    run_scenario(scenario)


def test_move_is_retried_after_the_store_rejects_it():
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.store.failures = [errors.PlatformUnavailable("503")] * 2
        harness.register(builders.build_target("a", leaving=True))
        await harness.run(builders.SECOND)
        assert harness.find_owners() == {"b"}
        assert harness.count_held() == model.KEY_SPACE_SIZE

    run_scenario(scenario)


# Guards against releases and transactions without a pause while the store refuses all
# transactions.
@pytest.mark.parametrize("change", ["leaving", "restarted"])
def test_refused_moves_are_retried_after_a_pause(change):
    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        granter = harness.elect("n1")
        await harness.run(SETTLING_TIME)
        granter.mover.estimate_queue_wait = lambda target: 0 * STEP
        commit = harness.store.commit
        refused = []

        async def refuse(expected, writes):
            refused.extend(writes)
            return result.Failure(errors.RateExceeded("fleet"))

        harness.store.commit = refuse
        if change == "leaving":
            harness.register(builders.build_target("a", leaving=True))
        else:
            harness.restart(builders.build_target("a", life=2))
        await harness.run(builders.SECOND)
        assert 1 < len(refused) <= 1 + builders.SECOND / terms.RETRY_PAUSE
        assert len(harness.targets.released) <= len(refused)
        harness.store.commit = commit
        await harness.run(builders.SECOND)
        assert ("a" in harness.find_owners()) == (change == "restarted")
        assert harness.count_held() == model.KEY_SPACE_SIZE

    run_scenario(scenario)


@pytest.mark.parametrize("seed", range(40))
def test_no_key_has_two_owners_after_random_faults(seed):
    # Guards against conflicting owners after random sequences of faults.
    generator = random.Random(seed)

    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b", "c", "d")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        incarnations = dict.fromkeys("abcd", 1)
        for _ in range(25):
            name = generator.choice("abcd")
            target = builders.build_target(name, life=incarnations[name])
            event = generator.randrange(12)
            if event in TARGET_FAULTS:
                harness.cause_target_fault(event, target, incarnations, generator)
            elif event == 8:
                harness.remove(name)
            elif event == 11:
                # The coordinators do not read this restart.
                harness.targets.restart(name)
            elif event == 9 and len(harness.coordinators) < 4:
                for granter in harness.coordinators:
                    # The store no longer confirms the old term.
                    granter.table_feeds.lost_at = harness.clock.monotonic()
                harness.elect(f"n{len(harness.coordinators) + 1}")
            else:
                harness.heat_keys(generator)
            await harness.run(generator.choice((1, 3, 10, 30)) * STEP)

    run_scenario(scenario)


def test_only_the_first_grant_of_a_generation_is_logged(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)

    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME + 5 * builders.SECOND)
        sent = log.find("grant_sent", term=1, failure=None)
        assert {item["target"] for item in sent} == {"a", "b"} and len(sent) == 2
        assert all(item["duration"] == grant_durations.GRANT_DURATION for item in sent)
        assert all(item["grants_left"] > item["duration"] for item in sent)

    run_scenario(scenario)


def test_end_of_failures_is_logged_with_the_last_one(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)

    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.targets.down.add("a")
        await harness.run(renewal.RENEWAL_INTERVAL + 6 * STEP)
        harness.targets.down.clear()
        await harness.run(renewal.RENEWAL_INTERVAL)
        (fields,) = log.find("target_answers_again", target="a", life=1)
        assert fields["failures"] > 1
        assert fields["failing_for"] > terms.RETRY_PAUSE
        assert isinstance(fields["last_failure"], errors.TargetUnavailable)

    run_scenario(scenario)


def test_skipped_renewal_is_not_an_answer(monkeypatch):
    # Guards against a lost target that counts as alive once a range of it is moved.
    log = event_capture.EventCapture(monkeypatch)

    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        granter = harness.elect("n1")
        await harness.run(SETTLING_TIME)
        harness.targets.down.add("a")
        await harness.run(renewal.RENEWAL_INTERVAL + 2 * STEP)
        target = harness.coordinators[0].directory.targets["a"]
        (holding,) = granter.held.list_owned("history", "a")
        granter.held.mark_moving("history", [(holding.first, holding.last)])
        state = granter.grant_states.get_grant_state(
            grant_states.TargetIncarnation("a", 1)
        )
        failures = state.renewal.failures
        assert failures
        await granter.renewer.renew_holding("history", target, holding)
        assert state.renewal.failures == failures
        assert not log.find("target_answers_again")

    run_scenario(scenario)


def test_ended_ownerships_are_logged_with_their_outstanding_grants(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)

    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b", "c")
        harness.elect("n1")
        await harness.run(SETTLING_TIME + renewal.RENEWAL_INTERVAL)
        harness.register(builders.build_target("a", leaving=True))
        await harness.run(8 * STEP)
        (released,) = log.find("ownership_ended", target="a", reason="released")
        assert released["handover"] and released["fencing"] == "none"
        assert not released["waited"] and not released["unanswered_left"]
        harness.targets.unanswering.add("b")
        await harness.run(grant_durations.GRANT_DURATION * 2.5)
        assert log.find("ownership_ended", target="b", reason="expired")

    run_scenario(scenario)


def test_fencing_of_late_grants_is_logged(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)

    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME + renewal.RENEWAL_INTERVAL)
        harness.targets.delay_next = 2
        await harness.run(renewal.RENEWAL_INTERVAL)
        harness.register(builders.build_target("a", leaving=True))
        await harness.run(8 * STEP)
        (fields,) = log.find("ownership_ended", target="a")
        assert fields["fencing"] == "accepted" and fields["unanswered_left"]

    run_scenario(scenario)


@pytest.mark.parametrize("state_known", [True, False])
def test_grants_of_a_previous_incarnation_are_logged(monkeypatch, state_known):
    log = event_capture.EventCapture(monkeypatch)

    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        granter = harness.elect("n1")
        await harness.run(SETTLING_TIME)
        if not state_known:
            del granter.grant_states.states[grant_states.TargetIncarnation("a", 1)]
        harness.restart(builders.build_target("a", life=2))
        await harness.run(4 * STEP)
        (fields,) = log.find("ownership_ended", target="a", life=1, new_life=2)
        assert fields["reason"] == "new_incarnation"
        assert fields["state_known"] == state_known
        assert bool(fields["grants_left"]) == state_known

    run_scenario(scenario)


def test_each_range_of_a_previous_incarnation_is_logged_with_its_grants(monkeypatch):
    # Guards against a log in which only the first range has outstanding grants.
    log = event_capture.EventCapture(monkeypatch)

    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        granter = harness.elect("n1")
        await harness.run(SETTLING_TIME)
        (held,) = granter.held.list_owned("history", "a")
        part = ranges.Transfer(held.first, held.first + 99, "a", 1)
        assert await granter.writer.transfer("history", [part])
        harness.restart(builders.build_target("a", life=2))
        await harness.run(4 * STEP)
        ended = log.find("ownership_ended", target="a", life=1, new_life=2)
        assert len(ended) == 2
        assert all(fields["grants_left"] for fields in ended)

    run_scenario(scenario)


def test_inherited_grants_and_changes_of_the_duration_are_logged(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)

    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        first = harness.elect("n1")
        await harness.run(SETTLING_TIME)
        assert not log.find("grants_inherited")
        first.table_feeds.lost_at = harness.clock.monotonic()
        harness.leads_without_store = True
        await harness.run(grant_durations.OUTAGE_THRESHOLD + builders.SECOND)
        long_duration = builders.build_timing().max_grant_duration
        (changed,) = log.find("grant_duration_changed", term=1)
        assert changed["previous"] == grant_durations.GRANT_DURATION
        assert changed["duration"] == long_duration
        first.term.deposed = True
        harness.elect("n2")
        await harness.run(SETTLING_TIME)
        (inherited,) = log.find("grants_inherited", term=2)
        assert inherited["max_duration"] == long_duration
        assert inherited["grants_left"] > long_duration

    run_scenario(scenario)


def test_grant_that_outlasts_its_timeout_is_logged(monkeypatch):
    # The process may have been paused before the order was sent, and its term ended.
    log = event_capture.EventCapture(monkeypatch)

    async def scenario(harnesses):
        harness = build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(SETTLING_TIME)
        assert not log.find("grant_overdue")
        harness.targets.connection_wait = outstanding.ORDER_TIMEOUT * 2
        harness.targets.delay_next = 1
        await harness.run(renewal.RENEWAL_INTERVAL + builders.SECOND)
        overdue = log.find("grant_overdue", term=1)
        assert {item["target"] for item in overdue} == {"a", "b"}
        assert all(item["lasted"] >= outstanding.ORDER_TIMEOUT * 2 for item in overdue)

    run_scenario(scenario)
