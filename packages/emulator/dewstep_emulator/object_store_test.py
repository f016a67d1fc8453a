"""Tests of the emulated object store."""

from dewstep_emulator import object_store, program, testing


@testing.run_in_event_loop
async def test_objects_are_stored_and_calls_are_rate_limited():
    store = object_store.ObjectStore(writes_per_second=1, reads_per_second=2)
    store.write_bucket.rate = store.read_bucket.rate = 1e-9
    async with program.serving(store) as address, testing.calling(address) as caller:
        for method, path, body, status in (
            ("PUT", "/objects/a/b", b"1", 200),
            ("PUT", "/objects/a/b", b"2", 429),
            ("GET", "/objects/a/b", b"", 200),
            ("GET", "/objects/c", b"", 404),
            ("GET", "/objects/a/b", b"", 429),
        ):
            assert (await caller.call(method, path, body)).unwrap().status == status
        assert store.objects == {"a/b": b"1"}
