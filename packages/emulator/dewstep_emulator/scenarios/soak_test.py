"""Tests of the final checks of the soak test."""

import asyncio
import types

from dewstep_emulator import fleets, promises
from dewstep_emulator.scenarios import soak


def test_keys_unserved_after_repair_are_reported_as_violation():
    """Guards against a soak run that ends with a traceback instead of a report."""

    async def fail(limit):
        raise fleets.NotReadyError({"entry-0": ["booker-1"]})

    fleet = types.SimpleNamespace(wait_ready=fail)
    scenario_run = types.SimpleNamespace(fleet=fleet, violations=[])
    asyncio.run(soak.check_repaired(scenario_run))
    assert [type(item) for item in scenario_run.violations] == [
        promises.ConditionNotReached
    ]
