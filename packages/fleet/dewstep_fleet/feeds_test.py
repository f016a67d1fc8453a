import asyncio
import datetime
import random

from dewstep_core import clocks
from dewstep_fleet import builders, feeds, model

MILLISECOND = datetime.timedelta(milliseconds=1)


class RegisteringStore(builders.FakeStore):
    """A store in which another target registers during each watch."""

    def __init__(self):
        super().__init__()
        self.watches = 0

    async def watch(self, table, after, wait):
        if table == model.TABLES.targets:
            self.watches += 1
            target = builders.build_target(f"t{self.watches}")
            self.put(table, target.name, builders.encode_target(target))
        else:
            await asyncio.Event().wait()
        return await super().watch(table, after, wait)


async def pass_time(clock, duration, step=10 * MILLISECOND):
    for _ in range(duration // step):
        for _ in range(20):
            await asyncio.sleep(0)
        clock.advance(step)


def test_consecutive_registrations_share_store_calls():
    """Guards against store calls in proportion to the number of targets."""

    async def scenario():
        clock = clocks.ManualClock()
        store = RegisteringStore()
        directory = builders.build_directory(clock)
        table_feeds = feeds.TableFeeds(store, directory, clock, random.Random(1))
        table_feeds.follow(frozenset(model.TABLES), relays=True)
        task = asyncio.ensure_future(table_feeds.run())
        await pass_time(clock, 1000 * MILLISECOND)
        assert store.watches <= 11
        # The last registered target is nevertheless known soon.
        assert len(directory.targets) >= store.watches - 1
        task.cancel()

    asyncio.run(asyncio.wait_for(scenario(), 10))
