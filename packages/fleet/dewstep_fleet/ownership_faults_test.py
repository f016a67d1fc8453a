"""Tests of orders around restarts, stale reads and slow confirmations of the term."""

import asyncio
import itertools
import random

import pytest
from returns import result

from dewstep_core import clocks
from dewstep_emulator import testing
from dewstep_fleet import (
    builders,
    followers,
    grant_durations,
    grant_states,
    granting_test,
    model,
    numbering,
    planning,
    ranges,
    renewal,
    target_orders,
)

STEP = granting_test.STEP


# Guards against two owners after a restarted process accepted a grant that was recorded
# for the previous incarnation and cannot be reached once it is registered.
def test_grant_received_before_registration_delays_the_move():
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(granting_test.SETTLING_TIME)
        harness.targets.restart("a")
        await harness.run(2 * renewal.RENEWAL_INTERVAL)
        assert harness.targets.list_held("a")
        harness.targets.down.add("a")
        harness.register(builders.build_target("a", life=2))
        await harness.run(2 * grant_durations.GRANT_DURATION)

    granting_test.run_scenario(scenario)


# Guards against two owners after a registration that lacks its start time.
def test_registration_without_a_start_time_does_not_end_grants():
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        harness.elect("n1")
        await harness.run(granting_test.SETTLING_TIME)
        harness.targets.down.add("a")
        harness.register(builders.build_target("a", life=0))
        await harness.run(2 * grant_durations.GRANT_DURATION)

    granting_test.run_scenario(scenario)


def refuse_confirmations(granter):
    """Let the store confirm a coordinator's term no more."""

    async def refuse():
        granter.term.confirmation = None
        return False

    granter.term.check_term = refuse


class StaleStore:
    """Store whose reads return the rows of an earlier time."""

    def __init__(self, store):
        self.store = store
        self.rows = tuple(store.rows.values())
        self.version = store.version

    async def read_table(self, table):
        await asyncio.sleep(0)
        rows = tuple(
            row for row in self.rows if row.table == table and row.value is not None
        )
        return result.Success(model.TableState(rows, self.version))

    async def commit(self, expected, writes):
        return await self.store.commit(expected, writes)


# Guards against a deposed coordinator whose term an outdated read confirms.
def test_stale_read_does_not_confirm_the_term():
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        deposed = harness.elect("n1")
        await harness.run(granting_test.SETTLING_TIME)
        deposed.term.store = StaleStore(harness.store)
        # Its next transaction would depose it.
        deposed.term.next_confirmation = (
            harness.clock.monotonic() + 60 * builders.SECOND
        )
        harness.elect("n2")
        process = harness.targets.get_process("a")
        for _ in range(20):
            await harness.run(STEP)
            numbers = [
                item.holding.generation
                for item in harness.targets.accepted
                if item.process == process
            ]
            if len(numbers) > 1:
                break
        assert len(numbers) == 2
        assert not deposed.term.deposed
        # The process ends before it rejects an order of the deposed coordinator.
        harness.targets.restart("a")
        await harness.run(2 * renewal.RENEWAL_INTERVAL)

    granting_test.run_scenario(scenario)


# Guards against a release without a fencing grant of a range that was not granted in
# this term, while another range of its owner was.
def test_range_moved_before_its_first_renewal_is_fenced():
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        first = harness.elect("n1")
        await harness.run(granting_test.SETTLING_TIME)
        # Give "a" a second range with a number of its own.
        (held,) = first.held.list_owned("history", "a")
        middle = (held.first + held.last + 1) // 2
        change = ranges.Transfer(middle, held.last, "a", 1)
        assert await first.writer.transfer("history", [change])
        await harness.run(2 * renewal.RENEWAL_INTERVAL)
        (_, moved) = first.held.list_owned("history", "a")
        # The last renewal of the second range is unanswered, and applied late.
        process = harness.targets.get_process("a")
        end = harness.clock.monotonic() + grant_durations.GRANT_DURATION
        harness.targets.delayed = [(process, moved, end)]
        first.term.deposed = True
        second = harness.elect("n2")
        for _ in range(50):
            if "history" in second.adoption.managed_services:
                break
            second.step()
            await asyncio.sleep(0)
        # Both in one step, as when a move is planned in the first step of a term.
        second.step()
        target = next(
            holding.target
            for holding in second.directory.ownerships["history"].holdings
            if holding.target != "a"
        )
        begun = planning.Move(moved.first, moved.last, "a", target)
        second.mover.begin_move("history", begun, release=True)
        for _ in range(20):
            await harness.run(STEP)
            if any(
                item.process.target == "b" and item.holding.first == middle
                for item in harness.targets.accepted
            ):
                break
        harness.targets.apply_delayed()
        harness.check()

    granting_test.run_scenario(scenario)


# Guards against keys without an owner when connections break as an outage of the store
# begins, before the coordinator may lead without it.
def test_keys_stay_owned_when_connections_break_as_an_outage_begins():
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        granter = harness.elect("n1")
        await harness.run(granting_test.SETTLING_TIME)

        refuse_confirmations(granter)
        began = harness.clock.monotonic()
        granter.table_feeds.lost_at = began
        await harness.run(2 * STEP)
        for state in granter.grant_states.states.values():
            state.orders.connection.closed = True
        unowned = 0
        for _ in range(200):
            # As `FleetParticipant.can_lead_without_store`.
            lasted = harness.clock.monotonic() - began
            harness.leads_without_store = lasted > followers.STORE_ANSWER_MAX_AGE
            await harness.run(STEP)
            unowned += harness.count_held() < model.KEY_SPACE_SIZE
        assert unowned == 0

    granting_test.run_scenario(scenario)


# Guards against two owners after a failed confirmation of the term, which shows nothing
# about the grants of a process that started under the same name.
def test_unconfirmed_term_does_not_end_grants():
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        granter = harness.elect("n1")
        await harness.run(granting_test.SETTLING_TIME)
        harness.targets.restart("a")
        await harness.run(2 * renewal.RENEWAL_INTERVAL)

        refuse_confirmations(granter)
        harness.register(builders.build_target("a", life=2))
        await harness.run(2 * grant_durations.GRANT_DURATION)

    granting_test.run_scenario(scenario)


# Guards against a failed confirmation that counts as a failure of the target.
def test_unconfirmed_term_is_no_failure_of_the_target():
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        granter = harness.elect("n1")
        await harness.run(granting_test.SETTLING_TIME)

        refuse_confirmations(granter)
        for state in granter.grant_states.states.values():
            state.orders.close()
        await harness.run(renewal.RENEWAL_INTERVAL + 5 * STEP)
        assert [
            state.renewal.failures for state in granter.grant_states.states.values()
        ] == [0, 0]

    granting_test.run_scenario(scenario)


# Guards against an order over an open connection after the term has ended.
@testing.run_in_event_loop
async def test_open_connection_is_not_used_after_the_term():
    clock = clocks.ManualClock()
    targets = builders.FakeTargets(clock)
    may_send = True

    async def confirm_term(since):
        return True

    orders = target_orders.TargetOrders(
        targets, clock, 1, lambda: may_send, confirm_term, lambda: builders.SECOND
    )
    target = builders.build_target("a")
    holding = model.Holding(0, 99, "a", 1, 1_000)
    assert (await orders.grant(target, holding, "")).unwrap() is None
    may_send = False
    other = model.Holding(100, 199, "a", 1, 2_000)
    assert testing.fails(await orders.grant(target, other, ""), model.TermUnconfirmed)
    assert [item.holding for item in targets.accepted] == [holding]


# Guards against a connection that stays open after its order was cancelled.
@testing.run_in_event_loop
async def test_cancelled_order_closes_its_new_connection():
    clock = clocks.ManualClock()
    targets = builders.FakeTargets(clock)
    opened = []
    connect = targets.connect

    async def record(target):
        outcome = await connect(target)
        opened.append(outcome.unwrap())
        return outcome

    targets.connect = record

    async def wait_forever(since):
        await asyncio.Event().wait()

    orders = target_orders.TargetOrders(
        targets, clock, 1, lambda: True, wait_forever, lambda: builders.SECOND
    )
    holding = model.Holding(0, 99, "a", 1, 1_000)
    task = asyncio.ensure_future(orders.grant(builders.build_target("a"), holding, ""))
    for _ in range(5):
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait((task,))
    orders.close()
    assert [connection.closed for connection in opened] == [True]


# Guards against a range that is never granted again once its numbers are used up.
def test_range_without_a_free_number_is_renumbered():
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        granter = harness.elect("n1")
        await harness.run(granting_test.SETTLING_TIME)
        (held,) = granter.held.list_owned("history", "a")
        orders = granter.grant_states.states[
            grant_states.TargetIncarnation("a", 1)
        ].orders
        last_number = held.generation + numbering.RESERVED_NUMBERS
        orders.numbering.sent[held.generation] = (
            orders.numbering.connection,
            last_number,
        )
        orders.close()
        await harness.run(2 * renewal.RENEWAL_INTERVAL)
        (renumbered,) = granter.held.list_owned("history", "a")
        assert renumbered.generation > last_number
        assert renumbered.generation in {
            item.generation for item in harness.targets.list_held("a")
        }

    granting_test.run_scenario(scenario)


class History:
    """A random sequence of faults of four targets and up to four coordinators."""

    def __init__(self, harness, generator, kinds):
        self.harness = harness
        self.generator = generator
        self.faults = [
            getattr(self, f"cause_{fault}") for kind in kinds for fault in FAULTS[kind]
        ]
        self.lives = dict.fromkeys("abcd", 1)
        self.names = dict(zip("abcd", "abcd", strict=True))
        """Name of the latest process at each address."""
        self.refusing = False

    def get_target(self, place):
        name = self.names[place]
        return builders.build_target(name, life=self.lives[place])

    async def run(self, count):
        self.elect()
        await self.harness.run(granting_test.SETTLING_TIME)
        for _ in range(count):
            self.generator.choice(self.faults)(self.generator.choice("abcd"))
            await self.harness.run(self.generator.choice((1, 3, 10, 30)) * STEP)

    async def recover(self):
        """End all faults and wait until all keys can be owned again."""
        self.refusing = False
        self.harness.targets.down.clear()
        self.harness.targets.unanswering.clear()
        self.harness.targets.delay_next = 0
        for place in "abcd":
            self.harness.register(self.get_target(place))
        await self.harness.run(20 * builders.SECOND)

    def elect(self):
        for granter in self.harness.coordinators:
            granter.table_feeds.lost_at = self.harness.clock.monotonic()
        granter = self.harness.elect(f"n{len(self.harness.coordinators) + 1}")
        check_term = granter.term.check_term

        async def check_unless_refused():
            if not self.refusing:
                return await check_term()
            granter.term.confirmation = None
            return False

        granter.term.check_term = check_unless_refused

    def cause_silence(self, place):
        self.harness.targets.unanswering.add(self.names[place])

    def cause_cut(self, place):
        self.harness.targets.down.add(self.names[place])

    def cause_healing(self, place):
        self.harness.targets.unanswering.discard(self.names[place])
        self.harness.targets.down.discard(self.names[place])

    def cause_late_orders(self, place):
        self.harness.targets.delay_next = self.generator.randrange(1, 6)

    def cause_late_arrivals(self, place):
        self.harness.targets.apply_delayed()

    def cause_leaving(self, place):
        self.harness.register(self.get_target(place)._replace(leaving=True))

    def cause_registration(self, place):
        self.harness.register(self.get_target(place))

    def cause_removal(self, place):
        self.harness.remove(self.names[place])

    def cause_hot_keys(self, place):
        self.harness.heat_keys(self.generator)

    def cause_read_restart(self, place):
        self.lives[place] += 1
        self.harness.targets.down.discard(self.names[place])
        self.harness.restart(self.get_target(place))

    def cause_unread_restart(self, place):
        self.harness.targets.restart(self.names[place])

    def cause_restart_read_later(self, place):
        self.lives[place] += 1
        self.harness.targets.restart(self.names[place])

    def cause_missing_start(self, place):
        self.harness.register(self.get_target(place)._replace(life=0))

    def cause_replacement(self, place):
        name = self.names[place]
        self.names[place] = f"{name}{place}"
        self.lives[place] = 1
        self.harness.targets.replace(name, self.names[place])

    def cause_replacement_read(self, place):
        for name in [item for item in self.harness.targets.tenants]:
            self.harness.remove(name)
        self.harness.register(self.get_target(place))

    def cause_reset(self, place):
        for granter in self.harness.coordinators:
            for state in granter.grant_states.states.values():
                if state.orders.connection is not None:
                    state.orders.connection.closed = True

    def cause_refusals(self, place):
        self.refusing = not self.refusing

    def cause_election(self, place):
        if len(self.harness.coordinators) < 4:
            self.elect()


FAULTS = {
    "orders": (
        "silence",
        "cut",
        "healing",
        "healing",
        "late_orders",
        "late_arrivals",
        "leaving",
        "registration",
        "removal",
        "hot_keys",
    ),
    "restarts": ("read_restart", "unread_restart"),
    "late_registrations": ("restart_read_later", "registration"),
    "missing_starts": ("missing_start", "registration"),
    "replacements": ("replacement", "replacement_read", "replacement_read"),
    "connections": ("reset", "refusals"),
    "elections": ("election",),
}


def run_history(seed, kinds):
    generator = random.Random(seed)

    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, *"abcd")
        history = History(harness, generator, kinds)
        await history.run(40)
        await history.recover()
        assert harness.count_held() == model.KEY_SPACE_SIZE

    granting_test.run_scenario(scenario)


# Guards against conflicting owners, and against keys that stay without an owner, after
# random sequences of faults.
@pytest.mark.parametrize(
    ("kinds", "seed"),
    [
        *itertools.product(
            (
                ("orders", "restarts", "elections", "connections"),
                ("orders", "restarts", "elections", "replacements"),
            ),
            range(4),
        ),
        # A grant reached a restarted process before its registration was read.
        (("orders", "late_registrations"), 19),
        # A range was moved in the first step of a term, before its first renewal.
        (("orders", "restarts", "late_registrations", "elections", "connections"), 3),
        (("orders", "restarts", "late_registrations", "elections", "connections"), 18),
        # A registration without its start time was taken for a restart.
        (("orders", "missing_starts"), 19),
        (("orders", "missing_starts"), 37),
        (("orders", "missing_starts"), 50),
    ],
    ids=lambda value: "-".join(value) if isinstance(value, tuple) else str(value),
)
def test_ownership_survives_random_faults(kinds, seed):
    run_history(seed, kinds)
