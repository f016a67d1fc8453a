import asyncio

from dewstep_core import tasks


def test_failed_task_is_told_and_the_others_run_on():
    """Guards against a part of a process that ends without a trace."""
    told = []

    async def fail():
        raise KeyError("x")

    async def scenario():
        owner = tasks.TaskOwner(lambda error, name: told.append((error, name)))
        owner.spawn(fail())
        other = owner.spawn(asyncio.sleep(60))
        await asyncio.sleep(0.01)
        assert not other.done()
        owner.cancel()
        await asyncio.wait([other])
        await asyncio.sleep(0)
        assert owner.tasks == set()

    asyncio.run(scenario())
    assert len(told) == 1
    assert isinstance(told[0][0], KeyError) and told[0][1].endswith("fail")
