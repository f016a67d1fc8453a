import asyncio
import random

from returns import result

from dewstep_core import clocks, errors
from dewstep_emulator import testing
from dewstep_emulator.ownership import builders, stores
from dewstep_fleet import model

FLEET, TARGETS = model.TABLES.fleet, model.TABLES.targets
CONFIGURATION = model.TABLES.configuration
ERA = model.VERSIONS_PER_ERA
SECOND = builders.SECOND


class Setting:
    """A store with one view of it."""

    def __init__(self, seed=1):
        self.clock = clocks.ManualClock()
        self.store = stores.SimulatedStore(self.clock, random.Random(seed))
        self.link = builders.TestLink(self.clock, builders.MILLISECOND)
        self.view = self.store.view("n1", self.link)

    async def finish(self, work):
        return await builders.finish(self.clock, work)

    async def commit(self, expected=None, view=None, **writes):
        view = view or self.view
        return await self.finish(view.commit(expected or {}, writes))

    async def read(self, table=FLEET):
        return await self.finish(self.view.read_table(table))

    async def list_values(self, table=FLEET):
        state = (await self.read(table)).unwrap()
        return {row.key: row.value for row in state.rows}

    async def watch(self, after, wait=SECOND, table=FLEET):
        return await self.finish(self.view.watch(table, after, wait))

    async def run(self, duration):
        await builders.run_for(self.clock, duration)


def run_with_setting(test):
    """Run a test in an event loop with a setting, and close its store."""

    @testing.run_in_event_loop
    async def run():
        setting = Setting()
        try:
            await test(setting)
        finally:
            setting.store.close()

    return run


@run_with_setting
async def test_commit_checks_the_expected_versions(setting):
    first = (await setting.commit(a=b"1")).unwrap()
    assert testing.fails(await setting.commit({"a": 0}, a=b"2"), errors.Conflict)
    second = (await setting.commit({"a": first, "b": 0}, a=None, b=b"1")).unwrap()
    assert second > first
    # A removed row has version 0.
    assert (await setting.commit({"a": 0}, c=b"1")).unwrap() > second
    assert await setting.list_values() == {"b": b"1", "c": b"1"}


@run_with_setting
async def test_watch_returns_changes_in_order_as_soon_as_there_are_any(setting):
    version = (await setting.commit(a=b"1", b=b"1")).unwrap()
    watching = asyncio.ensure_future(setting.view.watch(FLEET, version, 9 * SECOND))
    await setting.run(SECOND)
    assert not watching.done()
    setting.store.put(TARGETS, "t", b"1")
    setting.store.put(FLEET, "b", None)
    await setting.run(SECOND / 100)
    state = watching.result().unwrap()
    assert [(row.key, row.value) for row in state.rows] == [("b", None)]
    assert state.version == version + 2
    began = setting.clock.monotonic()
    assert (await setting.watch(state.version)).unwrap().rows == ()
    assert setting.clock.monotonic() - began >= SECOND


# Guards against a watch that skips changes that the store no longer keeps.
@run_with_setting
async def test_watch_fails_after_its_history_was_dropped(setting):
    version = (await setting.commit(a=b"1")).unwrap()
    await setting.commit(a=b"2")
    setting.store.drop_history()
    assert testing.fails(await setting.watch(version), model.HistoryGone)
    assert testing.fails(await setting.watch(version + 9), model.HistoryGone)
    assert (await setting.watch(version + 1)).unwrap().rows == ()


@run_with_setting
async def test_outdated_reads_return_the_rows_of_an_earlier_time(setting):
    version = (await setting.commit(a=b"1")).unwrap()
    await setting.run(4 * SECOND)
    setting.store.read_age = 3 * SECOND
    await setting.commit(a=b"2")
    state = (await setting.read()).unwrap()
    assert (state.rows[0].value, state.version) == (b"1", version)
    began = setting.clock.monotonic()
    state = (await setting.watch(version, 9 * SECOND)).unwrap()
    assert state.rows[0].value == b"2"
    assert 2.9 * SECOND < setting.clock.monotonic() - began < 3.1 * SECOND


# Guards against a caller that takes a lost answer for a failed transaction.
@run_with_setting
async def test_transaction_without_an_answer_is_performed(setting):
    setting.store.commit_faults = stores.CommitFaults(lost_answers=1)
    assert testing.fails(await setting.commit(a=b"1"), errors.AnswerLost)
    assert await setting.list_values() == {"a": b"1"}


@run_with_setting
async def test_late_transaction_is_performed_if_its_condition_holds(setting):
    setting.store.commit_faults = stores.CommitFaults(late=1)
    assert testing.fails(await setting.commit({"a": 0}, a=b"1"), errors.AnswerLost)
    assert testing.fails(await setting.commit({"b": 0}, b=b"1"), errors.AnswerLost)
    setting.store.put(FLEET, "b", b"2")
    await setting.run(4 * SECOND)
    assert await setting.list_values() == {"a": b"1", "b": b"2"}


@run_with_setting
async def test_refusals_fail_in_their_way_without_any_effect(setting):
    for how, failure in (
        (stores.UNAVAILABLE, errors.PlatformUnavailable),
        (stores.RATE_EXCEEDED, errors.RateExceeded),
        (stores.RESET, errors.AnswerLost),
        (stores.SILENT, errors.AnswerLost),
    ):
        setting.store.refusals = [stores.Refusal(how)]
        assert testing.fails(await setting.commit(a=b"1"), failure)
        assert testing.fails(await setting.read(), failure)
        assert not setting.store.is_up()
    setting.store.refusals = []
    assert await setting.list_values() == {}


# Guards against a fleet that is served in part.
@run_with_setting
async def test_refusal_concerns_the_named_instances_and_calls_only(setting):
    refusal = stores.Refusal(stores.UNAVAILABLE, (stores.COMMIT,), ("n1",))
    setting.store.refusals = [refusal]
    assert testing.fails(await setting.commit(a=b"1"), errors.PlatformUnavailable)
    assert isinstance(await setting.read(), result.Success)
    other = setting.store.view("n2", setting.link)
    assert isinstance(await setting.commit(view=other, a=b"1"), result.Success)
    assert setting.store.is_up()


@run_with_setting
async def test_lost_message_may_have_been_performed_unless_nothing_was_sent(setting):
    setting.link.passes_before_reset = 0
    assert testing.fails(await setting.commit(a=b"1"), errors.PlatformUnavailable)
    # Opening the connection and sending the call.
    setting.link.passes_before_reset = 2
    assert testing.fails(await setting.commit(a=b"1"), errors.AnswerLost)
    setting.link.passes_before_reset = None
    assert await setting.list_values() == {"a": b"1"}


@run_with_setting
async def test_slow_store_performs_calls_whose_callers_have_given_up(setting):
    setting.store.slowness = 100
    assert testing.fails(await setting.commit(a=b"1"), errors.AnswerLost)
    await setting.run(SECOND)
    setting.store.slowness = 1
    assert await setting.list_values() == {"a": b"1"}


# Restores.


async def restore_lost_second(setting):
    """Write rows, keep them for a second, write others and restore the copy."""
    setting.store.put(TARGETS, "kept", b"1")
    setting.store.put(TARGETS, "removed", b"1")
    version = (await setting.commit(a=b"1")).unwrap()
    await setting.run(SECOND)
    setting.store.put(TARGETS, "removed", None)
    setting.store.put(TARGETS, "lost", b"1")
    setting.store.put(CONFIGURATION, "config", b"1")
    lost = (await setting.commit({"a": version}, a=b"2", b=b"1")).unwrap()
    setting.store.restore(SECOND / 2)
    return version, lost


@run_with_setting
async def test_restore_loses_what_instances_wrote_and_nothing_else(setting):
    await restore_lost_second(setting)
    assert await setting.list_values() == {"a": b"1"}
    assert await setting.list_values(TARGETS) == {"kept": b"1", "removed": b"1"}
    await setting.run(stores.REWRITE_TIME)
    assert await setting.list_values() == {"a": b"1"}
    assert await setting.list_values(TARGETS) == {"kept": b"1", "lost": b"1"}
    assert await setting.list_values(CONFIGURATION) == {"config": b"1"}


# Guards against an older registration that replaces a newer one after a restore.
@run_with_setting
async def test_lost_row_is_not_written_over_a_newer_one(setting):
    await restore_lost_second(setting)
    setting.store.put(TARGETS, "lost", b"2")
    await setting.run(stores.REWRITE_TIME)
    assert (await setting.list_values(TARGETS))["lost"] == b"2"


@run_with_setting
async def test_versions_of_a_new_era_are_above_all_earlier_ones(setting):
    version, lost = await restore_lost_second(setting)
    # The view does not know of the restore; its expected version is a row's again.
    outcome = await setting.commit({"a": version}, a=b"3")
    assert testing.fails(outcome, errors.AnswerLost)
    state = (await setting.read()).unwrap()
    assert state.rows[0].value == b"3"
    assert state.version > lost
    assert state.version // ERA == 1
    assert testing.fails(await setting.commit({"a": lost}, a=b"4"), errors.Conflict)
    assert testing.fails(await setting.watch(lost), model.HistoryGone)
    assert (await setting.commit({"a": state.rows[0].version}, a=b"4")).unwrap() > lost


# Guards against a watch that goes on with versions that are assigned again.
@run_with_setting
async def test_open_watch_ends_when_the_store_is_restored(setting):
    version = (await setting.commit(a=b"1")).unwrap()
    await setting.run(SECOND)
    later = (await setting.commit(a=b"2")).unwrap()
    watches = [
        asyncio.ensure_future(setting.view.watch(FLEET, after, 9 * SECOND))
        for after in (later, version)
    ]
    await setting.run(SECOND / 100)
    assert watches[1].result().unwrap().rows[0].value == b"2"
    setting.store.restore(SECOND / 2)
    await setting.run(SECOND / 100)
    assert testing.fails(watches[0].result(), model.HistoryGone)


@run_with_setting
async def test_watch_that_spans_a_restore_reports_that_its_history_is_gone(setting):
    version = (await setting.commit(a=b"1")).unwrap()
    await setting.run(SECOND)
    watch = asyncio.ensure_future(setting.view.watch(FLEET, version, 9 * SECOND))
    await setting.run(SECOND / 100)
    setting.store.restore(SECOND / 2)
    await setting.run(SECOND / 100)
    assert not watch.done()
    setting.store.put(FLEET, "a", b"2")
    await setting.run(SECOND / 100)
    assert testing.fails(watch.result(), model.HistoryGone)
    assert (await setting.read()).unwrap().rows[0].version // ERA == 1


# Guards against runs that cannot be repeated.
def test_same_seed_gives_the_same_run():
    async def run(seed):
        setting = Setting(seed)
        setting.store.commit_faults = stores.CommitFaults(0.3, 0.3)
        for number in range(40):
            await setting.commit(**{f"k{number % 5}": b"%d" % number})
        setting.store.restore(3 * SECOND)
        await setting.run(3 * SECOND)
        setting.store.close()
        return setting.store.log

    assert asyncio.run(run(5)) == asyncio.run(run(5))
    assert asyncio.run(run(5)) != asyncio.run(run(6))
