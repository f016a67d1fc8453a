import contextlib

import pytest
from returns import result

from dewstep_core import data, errors, events
from dewstep_core.http import exchanges, server
from dewstep_core.platform import instances
from dewstep_emulator import instance_list, program, testing

INSTANCE_JSON = {
    "instance": "i1",
    "data_centre": "dc1",
    "role": "target",
    "state": "leaving",
}
INSTANCE_JSON["address"] = "[::1]:80"


@testing.run_in_event_loop
async def test_read_returns_the_list_or_a_typed_failure():
    served = instance_list.InstanceList(0.0, [INSTANCE_JSON])
    async with program.serving(served) as address:
        client = instances.InstanceClient((address,), "e1", "dc1")
        instance = data.Instance("i1", "dc1", "::1", 80, "target", "leaving")
        expected = instances.InstanceList(1, (instance,))
        assert (await client.read()).unwrap() == expected
        await client.close()


@testing.run_in_event_loop
async def test_odd_instance_does_not_hide_the_others(monkeypatch):
    # Guards against one odd entry that ends the reading of the list, or hides it.
    logged = []
    monkeypatch.setattr(events, "log", lambda level, name, **_: logged.append(name))
    served = instance_list.InstanceList(0.0, [INSTANCE_JSON])
    async with program.serving(served) as address:
        client = instances.InstanceClient((address,), "e1", "dc1")
        odd = {"instance": "i2"}
        for added in ({}, {"data_centre": "d", "role": "target", "address": 80}):
            served.list.visible.instances["i2"] = {**odd, **added}
            found = (await client.read()).unwrap().instances
            assert [item.instance for item in found] == ["i1"]
        assert logged == ["instance_refused"]
        await client.close()


@pytest.mark.parametrize("content", [[], {"instances": {}}, {"instances": []}])
@testing.run_in_event_loop
async def test_answer_that_is_no_list_is_a_typed_failure(content):
    # Guards against an unreadable list that counts as an empty one.
    async def handle(exchange):
        exchange.respond(exchanges.build_json(200, content))

    async with serving(handle) as client:
        assert isinstance((await client.read()).failure(), errors.RowInvalid)


@testing.run_in_event_loop
async def test_infinite_revision_is_a_typed_failure():
    # Guards against an OverflowError.
    async def handle(exchange):
        content = b'{"instances": [], "revision": 1e999}'
        exchange.respond(exchanges.Response(200, body=content))

    async with serving(handle) as client:
        assert isinstance((await client.read()).failure(), errors.RowInvalid)


@contextlib.asynccontextmanager
async def serving(handle):
    running = server.Server(handle)
    client = instances.InstanceClient(
        (await running.start("127.0.0.1", 0),), "e1", "dc1"
    )
    yield client
    await client.close()
    await running.close(grace=0.1)


@pytest.mark.parametrize(
    "address",
    ["nowhere", "host:x", 80, "host:99999", "h:²", "a..b:80", "\ud800:80", [], None],
)
def test_parse_instance_rejects_an_invalid_address(address):
    item = {**INSTANCE_JSON, "address": address}
    assert isinstance(instances.parse_instance(item), result.Failure)
