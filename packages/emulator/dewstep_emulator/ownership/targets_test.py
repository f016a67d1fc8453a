import asyncio
import random

from returns import result

from dewstep_core import clocks, errors
from dewstep_emulator import testing
from dewstep_emulator.ownership import builders, checks, stores, targets
from dewstep_fleet import builders as fleet_builders, model, outstanding

SECOND = builders.SECOND
MILLISECOND = builders.MILLISECOND
HOST = "10.0.0.1"


class Setting:
    """Targets with a store, a check and one view; process "a" runs at `HOST`."""

    def __init__(self, seed=1):
        self.clock = clocks.ManualClock()
        generator = random.Random(seed)
        self.store = stores.SimulatedStore(self.clock, generator)
        self.check = checks.OwnershipCheck()
        self.unowned = checks.UnownedCheck()
        self.targets = targets.SimulatedTargets(
            self.clock, generator, self.store, (self.check, self.unowned)
        )
        self.link = builders.TestLink(self.clock, MILLISECOND)
        self.view = self.targets.view("n1", lambda target: self.link)
        self.running = self.targets.start("a", HOST, clock_slowness=0)

    def set_faults(self, **faults):
        self.targets.order_faults = targets.OrderFaults(**faults)

    async def finish(self, work):
        return await builders.finish(self.clock, work)

    async def run(self, duration):
        await builders.run_for(self.clock, duration)

    async def connect(self, target):
        return await self.finish(self.view.connect(target))

    async def release(self, holding):
        return await self.finish(self.view.release(TARGET, holding))

    def list_owned(self, running=None):
        owned = (running or self.running).state.list_owned(self.clock.monotonic())
        return [(item.first, item.last) for item in owned]

    def list_registered(self):
        return [
            name
            for (table, name), change in self.store.rows.items()
            if table == model.TABLES.targets and change.value is not None
        ]

    def read_registration(self, name):
        change = self.store.get(model.TABLES.targets, name)
        return fleet_builders.decode_target(name, change.value).unwrap()

    def close(self):
        self.targets.close()
        self.store.close()


TARGET = fleet_builders.build_target("a", host=HOST)


def build_holding(generation=5, first=0, last=99, name="a"):
    return model.Holding(first, last, name, 1, generation)


def run_with_setting(test):
    """Run a test in an event loop with a setting, and end its tasks."""

    @testing.run_in_event_loop
    async def run():
        setting = Setting()
        try:
            await test(setting)
        finally:
            setting.close()

    return run


async def send_grant(setting, connection, holding=None, duration=2 * SECOND):
    holding = holding or build_holding()
    return await setting.finish(connection.grant(holding, duration, ""))


@run_with_setting
async def test_accepted_orders_are_answered_and_recorded(setting):
    connection = (await setting.connect(TARGET)).unwrap()
    assert (await send_grant(setting, connection)).unwrap() is None
    assert setting.list_owned() == [(0, 99)]
    outcome = await send_grant(setting, connection, build_holding(4))
    assert testing.fails(outcome, model.Superseded)
    assert connection.is_usable()
    released = await setting.release(build_holding(first=50))
    assert released.unwrap() == "a-50-5"
    assert setting.list_owned() == [(0, 49)]
    (run, *_) = setting.check.owners["history"].list_runs()
    assert (run.last, run.value[0].process.name) == (49, "a")


# Guards against orders that reach the next process at an address.
@run_with_setting
async def test_orders_for_an_ended_target_are_refused_by_its_successor(setting):
    connection = (await setting.connect(TARGET)).unwrap()
    setting.targets.crash(setting.running)
    assert testing.fails(await setting.connect(TARGET), errors.TargetUnavailable)
    outcome = await setting.release(build_holding())
    assert testing.fails(outcome, errors.TargetUnavailable)
    successor = setting.targets.start("b", HOST, service="ledger", life=2)
    assert testing.fails(await send_grant(setting, connection), errors.ConnectionLost)
    assert not connection.is_usable()
    connection = (await setting.connect(TARGET)).unwrap()
    assert testing.fails(await send_grant(setting, connection), model.TargetReplaced)
    assert connection.is_usable()
    assert testing.fails(await setting.release(build_holding()), model.TargetReplaced)
    assert setting.list_owned(successor) == []


# Guards against a restart under the same name, which nobody is told of.
@run_with_setting
async def test_connection_does_not_reach_a_later_process_of_the_same_name(setting):
    connection = (await setting.connect(TARGET)).unwrap()
    setting.targets.crash(setting.running)
    successor = setting.targets.start("a", HOST, life=2)
    assert testing.fails(await send_grant(setting, connection), errors.ConnectionLost)
    connection = (await setting.connect(TARGET)).unwrap()
    assert (await send_grant(setting, connection)).unwrap() is None
    assert setting.list_owned(successor) == [(0, 99)]


@run_with_setting
async def test_end_of_a_process_is_noticed_unless_the_link_is_cut(setting):
    noticed = (await setting.connect(TARGET)).unwrap()
    setting.targets.crash(setting.running)
    await setting.run(SECOND)
    assert not noticed.is_usable()
    running = setting.targets.start("a", HOST, life=2)
    unnoticed = (await setting.connect(TARGET)).unwrap()
    setting.link.passes_before_reset = 0
    setting.targets.crash(running)
    await setting.run(SECOND)
    assert unnoticed.is_usable()


# Guards against a caller that takes an unanswered grant for a failed one.
@run_with_setting
async def test_grant_with_a_lost_answer_is_carried_out(setting):
    setting.set_faults(lost_answers=1)
    connection = (await setting.connect(TARGET)).unwrap()
    assert testing.fails(await send_grant(setting, connection), errors.ConnectionLost)
    assert not connection.is_usable()
    assert setting.list_owned() == [(0, 99)]


# Guards against a release that counts as the end of an earlier, late grant.
@run_with_setting
async def test_late_grant_is_carried_out_after_a_release(setting):
    connection = (await setting.connect(TARGET)).unwrap()
    setting.set_faults(late_grants=1, max_lateness=5 * SECOND)
    began = setting.clock.monotonic()
    outcome = await send_grant(setting, connection, duration=9 * SECOND)
    assert testing.fails(outcome, errors.ConnectionLost)
    assert setting.clock.monotonic() - began >= outstanding.ORDER_TIMEOUT
    await setting.release(build_holding())
    assert setting.list_owned() == []
    await setting.run(5 * SECOND)
    assert setting.list_owned() == [(0, 99)]
    # The time counts from the arrival.
    await setting.run(4 * SECOND)
    assert setting.list_owned() == []


@run_with_setting
async def test_late_grant_is_lost_with_its_process(setting):
    connection = (await setting.connect(TARGET)).unwrap()
    setting.set_faults(late_grants=1)
    await send_grant(setting, connection, duration=9 * SECOND)
    setting.targets.crash(setting.running)
    successor = setting.targets.start("a", HOST, life=2)
    await setting.run(6 * SECOND)
    assert setting.list_owned(successor) == setting.list_owned() == []


@run_with_setting
async def test_late_release_is_unanswered_and_carried_out(setting):
    connection = (await setting.connect(TARGET)).unwrap()
    await send_grant(setting, connection, duration=9 * SECOND)
    setting.set_faults(late_releases=1, max_lateness=4 * SECOND)
    outcome = await setting.release(build_holding(last=49))
    assert testing.fails(outcome, errors.ConnectionLost)
    await setting.run(2 * SECOND)
    assert setting.list_owned() == [(50, 99)]


# Guards against an order that arrives after its sender relied on its loss.
@run_with_setting
async def test_nothing_arrives_long_after_a_connection_was_closed(setting):
    connection = (await setting.connect(TARGET)).unwrap()
    other = (await setting.connect(TARGET)).unwrap()
    setting.link.delay = outstanding.ORDER_TIMEOUT + outstanding.MAX_TRANSIT / 2
    outcome = await send_grant(setting, other, duration=9 * SECOND)
    assert testing.fails(outcome, errors.ConnectionLost)
    await setting.run(SECOND)
    # Sent before the reset, and on its way no longer than a message may be.
    assert setting.list_owned() == [(0, 99)]
    setting.link.delay = outstanding.ORDER_TIMEOUT + 2 * outstanding.MAX_TRANSIT
    later = build_holding(first=200, last=299)
    outcome = await send_grant(setting, connection, later, duration=9 * SECOND)
    assert testing.fails(outcome, errors.ConnectionLost)
    await setting.run(SECOND)
    assert setting.list_owned() == [(0, 99)]


@run_with_setting
async def test_release_is_answered_when_requests_have_ended(setting):
    connection = (await setting.connect(TARGET)).unwrap()
    await send_grant(setting, connection, duration=9 * SECOND)
    request = setting.running.state.begin_request(7, setting.clock.monotonic())
    outcome = await setting.release(build_holding())
    assert testing.fails(outcome, errors.ConnectionLost)
    assert setting.list_owned() == []
    setting.running.state.end_request(request, setting.clock.monotonic())
    assert isinstance(await setting.release(build_holding()), result.Success)
    # Requests of random duration, which the check is told of.
    setting.set_faults(max_request_time=SECOND)
    await send_grant(setting, connection, build_holding(6), duration=9 * SECOND)
    began = setting.clock.monotonic()
    await setting.release(build_holding(6))
    assert setting.clock.monotonic() - began > 10 * MILLISECOND


@run_with_setting
async def test_reset_connection_loses_the_answer_and_later_orders(setting):
    connection = (await setting.connect(TARGET)).unwrap()
    work = connection.grant(build_holding(), 2 * SECOND, "")
    sending = asyncio.ensure_future(work)
    await setting.run(1.5 * MILLISECOND)
    setting.targets.reset_connections(setting.running)
    assert testing.fails(await setting.finish(sending), errors.ConnectionLost)
    assert setting.list_owned() == [(0, 99)]
    assert not connection.is_usable()


@run_with_setting
async def test_target_closes_connections_after_an_answer(setting):
    connection = (await setting.connect(TARGET)).unwrap()
    setting.set_faults(closed_connections=1)
    assert (await send_grant(setting, connection)).unwrap() is None
    assert not connection.is_usable()


# Registrations.


@run_with_setting
async def test_process_is_registered_some_time_after_its_start(setting):
    assert setting.list_registered() == []
    await setting.run(SECOND)
    assert setting.list_registered() == ["a"]
    assert setting.read_registration("a") == TARGET
    setting.targets.crash(setting.running)
    successor = setting.targets.start("b", HOST, service="ledger", states_life=False)
    await setting.run(0.9 * SECOND)
    # The row of the ended process is still there.
    assert setting.list_registered() == ["a", "b"]
    assert setting.read_registration("b").life == 0
    await setting.run(4 * SECOND)
    assert setting.list_registered() == ["b"]
    assert successor.registered


# Guards against the removal of the row of the next process of the same name.
@run_with_setting
async def test_row_of_a_later_process_of_the_same_name_stays(setting):
    await setting.run(SECOND)
    setting.targets.crash(setting.running)
    setting.targets.start("a", HOST, life=2)
    await setting.run(8 * SECOND)
    assert setting.read_registration("a").life == 2


@run_with_setting
async def test_leaving_process_serves_for_its_drain_time(setting):
    await setting.run(SECOND)
    setting.targets.leave(setting.running)
    await setting.run(1.9 * SECOND)
    assert setting.read_registration("a").leaving
    assert setting.running.running
    await setting.run(10 * SECOND)
    assert not setting.running.running
    assert setting.list_registered() == []


@run_with_setting
async def test_unannounced_leaving_removes_the_row_first(setting):
    await setting.run(SECOND)
    setting.targets.leave(setting.running, announced=False)
    await setting.run(1.5 * SECOND)
    assert setting.list_registered() == []
    assert setting.running.running
    await setting.run(8 * SECOND)
    assert not setting.running.running


# Guards against processes that are taken for ended after an outage of the store.
@run_with_setting
async def test_row_that_expired_in_an_outage_is_back_soon_after(setting):
    await setting.run(SECOND)
    setting.running.reaches_store = False
    await setting.run(5 * SECOND)
    assert setting.list_registered() == []
    setting.running.reaches_store = True
    await setting.run(2 * SECOND)
    assert setting.list_registered() == ["a"]


@run_with_setting
async def test_registrations_are_written_and_removed_again_after_a_restore(setting):
    await setting.run(2 * SECOND)
    setting.targets.start("b", "10.0.0.2")
    setting.targets.crash(setting.running)
    await setting.run(4 * SECOND)
    assert setting.list_registered() == ["b"]
    setting.store.restore(4.9 * SECOND)
    assert setting.list_registered() == ["a"]
    await setting.run(2 * SECOND)
    assert setting.list_registered() == ["b"]


@run_with_setting
async def test_unowned_time_begins_when_grants_are_not_renewed(setting):
    connection = (await setting.connect(TARGET)).unwrap()
    await send_grant(setting, connection)
    await setting.run(3 * SECOND)
    await send_grant(setting, connection)
    (gap,) = setting.unowned.gaps
    assert (gap.first, gap.last, gap.released) == (0, 99, False)
    assert 1 < (gap.ended - gap.began) / SECOND < 1.1


# Guards against runs that cannot be repeated.
def test_same_seed_gives_the_same_run():
    async def run(seed):
        setting = Setting(seed)
        setting.set_faults(lost_answers=0.2, late_grants=0.3, late_releases=0.3)
        outcomes = []
        for number in range(30):
            opened = await setting.connect(TARGET)
            sent = await send_grant(setting, opened.unwrap(), build_holding(number))
            released = await setting.release(build_holding(number, last=number))
            outcomes += [str(sent), str(released), setting.list_owned()]
            await setting.run(SECOND / 10)
        setting.close()
        return outcomes, setting.store.log

    first = asyncio.run(run(3))
    assert first == asyncio.run(run(3))
    assert first != asyncio.run(run(4))
