import asyncio
import random

from returns import result

from dewstep_core import clocks, data, errors
from dewstep_core.platform import instances
from dewstep_emulator import builders
from dewstep_entry.state import instance_reader, view


def build_instance(name, role="target", state="leaving", port=1):
    return data.Instance(name, "dc1", "127.0.0.1", port, role, state)


def test_leaving_targets_are_matched_by_name_or_address():
    # Guards against ignoring an instance whose name in the platform's list differs from
    # that in the operators' records.
    targets = {
        name: builders.build_target(name=name, port=port)
        for name, port in (("a", 11), ("b", 12), ("c", 13))
    }
    configuration = data.Configuration(1, {}, targets)
    listed = (
        build_instance("a"),
        build_instance("vm-7", port=12),
        build_instance("c", state="live", port=13),
        build_instance("e1", "entry"),
    )
    found = instance_reader.select_leaving(listed, configuration)
    assert found == ({"a", "b"}, {"e1"})
    assert instance_reader.select_leaving((), None) == (frozenset(), frozenset())


def test_failed_read_changes_nothing():
    calls = []
    answers = [
        result.Failure(errors.PlatformUnavailable("down")),
        result.Success(instances.InstanceList(1, (build_instance("e1", "entry"),))),
    ]

    async def read():
        return answers.pop(0)

    reader = instance_reader.InstanceReader(
        read,
        view.ViewHolder(),
        clocks.ManualClock(),
        lambda *names: calls.append(names),
        random.Random(1),
    )
    assert not asyncio.run(reader.read_once()) and calls == []
    assert asyncio.run(reader.read_once())
    assert calls == [(frozenset(), frozenset({"e1"}))]
