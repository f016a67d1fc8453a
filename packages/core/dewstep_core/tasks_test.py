import asyncio

from dewstep_core import tasks


def test_failed_task_is_reported_and_the_others_continue():
    """Guards against a background task that fails without being logged."""
    failures = []

    async def fail():
        raise KeyError("x")

    async def scenario():
        owner = tasks.TaskOwner(lambda error, name: failures.append((error, name)))
        owner.spawn(fail())
        other = owner.spawn(asyncio.sleep(60))
        await asyncio.sleep(0.01)
        assert not other.done()
        owner.cancel()
        await asyncio.wait([other])
        await asyncio.sleep(0)
        assert owner.tasks == set()

    asyncio.run(scenario())
    assert len(failures) == 1
    assert isinstance(failures[0][0], KeyError) and failures[0][1].endswith("fail")
