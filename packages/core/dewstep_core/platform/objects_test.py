from dewstep_core import errors
from dewstep_core.platform import objects
from dewstep_emulator import faults, object_store, program, testing


@testing.run_in_event_loop
async def test_write_and_read():
    served = object_store.ObjectStore()
    async with program.serving(served) as address:
        client = objects.ObjectClient((address,), "e1", "dc1")
        assert (await client.read("dumps/1 a")).unwrap() is None
        # A write whose answer is lost succeeds if the content can be read back.
        served.faults = served.faults._replace(lose_answers=faults.Trigger(1, 1))
        assert (await client.write("dumps/1 a", b"\0x")).unwrap() is None
        assert (await client.read("dumps/1 a")).unwrap() == b"\0x"
        served.faults = served.faults._replace(down="503")
        for outcome in (await client.read("a"), await client.write("a", b"")):
            assert isinstance(outcome.failure(), errors.PlatformUnavailable)
        await client.close()
