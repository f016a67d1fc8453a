import asyncio

from dewstep_core.http import client
from dewstep_emulator import object_store, program


def test_objects_are_kept_within_the_rate():
    async def main():
        store = object_store.ObjectStore(writes_per_second=1, reads_per_second=2)
        store.write_bucket.rate = store.read_bucket.rate = 1e-9
        async with program.serving(store) as address:
            caller = client.Client(address, 1)
            statuses = [
                (await caller.call(method, path, body)).unwrap().status
                for method, path, body in (
                    ("PUT", "/objects/a/b", b"1"),
                    ("PUT", "/objects/a/b", b"2"),
                    ("GET", "/objects/a/b", b""),
                    ("GET", "/objects/c", b""),
                    ("GET", "/objects/a/b", b""),
                )
            ]
            assert statuses == [200, 429, 200, 404, 429]
            assert store.objects == {"a/b": b"1"}
            await caller.close()

    asyncio.run(main())
