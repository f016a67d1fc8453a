"""Tests of what the soak reports at its end."""

import asyncio
import types

from dewstep_emulator import fleet as fleets, promises
from dewstep_emulator.scenarios import soak


def test_keys_that_stay_unserved_are_reported():
    """Guards against a soak that ends with a traceback instead of a verdict."""

    async def fail(limit):
        raise fleets.NotReadyError({"entry-0": ["booker-1"]})

    fleet = types.SimpleNamespace(wait_ready=fail)
    stage = types.SimpleNamespace(fleet=fleet, violations=[])
    asyncio.run(soak.check_repaired(stage))
    assert [type(item) for item in stage.violations] == [promises.NotPressed]
