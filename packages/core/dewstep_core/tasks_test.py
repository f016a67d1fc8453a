import asyncio

from dewstep_core import events, tasks


def test_failed_task_is_logged_and_told_and_the_others_run_on(monkeypatch):
    """Guards against a part of a process that ends without a trace."""
    logged = []
    monkeypatch.setattr(
        events, "exception", lambda name, error, **fields: logged.append((name, fields))
    )
    told = []

    async def fail():
        raise KeyError("x")

    async def scenario():
        owner = tasks.TaskOwner("part_failed", lambda error: told.append(error))
        owner.spawn(fail())
        other = owner.spawn(asyncio.sleep(60))
        await asyncio.sleep(0.01)
        assert not other.done()
        owner.cancel()
        await asyncio.wait([other])
        await asyncio.sleep(0)
        assert owner.tasks == set()

    asyncio.run(scenario())
    assert [type(error) for error in told] == [KeyError]
    assert [name for name, _ in logged] == ["part_failed"]
    assert logged[0][1]["task"].endswith("fail")


def test_expected_failure_is_not_logged(monkeypatch):
    logged = []
    monkeypatch.setattr(
        events, "exception", lambda name, error, **fields: logged.append(name)
    )

    async def fail():
        raise KeyError("x")

    async def scenario():
        owner = tasks.TaskOwner("part_failed", lambda error: True)
        await asyncio.wait([owner.spawn(fail())])
        await asyncio.sleep(0)

    asyncio.run(scenario())
    assert logged == []
