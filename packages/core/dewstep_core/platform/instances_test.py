import pytest

from dewstep_core import data, errors
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
        served.list.visible.instances["i1"] = {"instance": "i1"}
        assert isinstance((await client.read()).failure(), errors.RowInvalid)
        await client.close()


@pytest.mark.parametrize("address", ["nowhere", "host:x", 80])
def test_parse_instance_rejects_an_invalid_address(address):
    with pytest.raises((AttributeError, ValueError)):
        instances.parse_instance({**INSTANCE_JSON, "address": address})
