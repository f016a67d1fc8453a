"""Tests of handing over all gates at a planned stop."""

import asyncio
import types

from dewstep_entry.gate import releases


def test_a_takeover_that_ends_as_the_stop_begins_does_not_fail_the_stop():
    """Guards against a KeyError that ended a stopping process with exit code 1."""

    async def stop():
        manager = types.SimpleNamespace(gates={}, takeovers={})
        taking = asyncio.get_running_loop().create_future()
        manager.takeovers["t1"] = taking
        taking.add_done_callback(lambda done: manager.takeovers.pop("t1"))
        # Its callback runs before the first step of the hand-over.
        taking.set_result(None)
        await releases.Releases(manager).hand_over_all()
        assert not manager.takeovers

    asyncio.run(stop())
