"""Tests of ways to two owners that were found by reading the code."""

import asyncio
import time

from returns import result

from dewstep_core import errors
from dewstep_emulator import testing
from dewstep_fleet import (
    builders,
    coordination,
    coordination_test,
    granting,
    links,
    outstanding,
)


class PartialChannel:
    """Access to the targets from a place that reaches only some of them."""

    def __init__(self, targets, *unreachable):
        self.targets = targets
        self.unreachable = unreachable

    async def connect(self, target):
        if target.name in self.unreachable:
            failure = errors.TargetUnavailable(target.name, "cut")
            return result.Failure(failure)
        return await self.targets.connect(target)

    async def release(self, target, holding):
        if target.name in self.unreachable:
            failure = errors.TargetUnavailable(target.name, "cut")
            return result.Failure(failure)
        return await self.targets.release(target, holding)


def cut_off(harness, monkeypatch, nodes):
    """Leave the store only to `nodes`, and cut them off from the other instances."""
    ports = {port: node for node, port in harness.ports.items()}
    connect = links.connect

    async def connect_within_side(host, port, receive, lose):
        own_node = receive.__self__.own_member.node
        if (own_node in nodes) != (ports[port] in nodes):
            raise TimeoutError
        return await connect(host, port, receive, lose)

    monkeypatch.setattr(links, "connect", connect_within_side)
    harness.unreachable.update(set(harness.running) - nodes)
    for item in harness.running.values():
        for node, link in list(item.participant.links.items()):
            if node in nodes:
                link.close()
                item.participant._drop_link(link)


# Guards against two owners after a minority, which alone reaches the store, has elected
# a coordinator while most instances follow the previous one.
@testing.run_in_event_loop
async def test_minority_takes_no_keys_from_a_followed_coordinator(monkeypatch):
    monkeypatch.setattr(coordination, "MINORITY_ELECTION_TIMEOUT", 2 * builders.SECOND)
    timing = builders.build_timing(max_grant_duration=granting.GRANT_DURATION)
    monkeypatch.setattr(builders, "build_timing", lambda: timing)
    async with coordination_test.run_fleet("n1", "n2", "n3", "n4", "n5") as harness:
        first = await coordination_test.wait_coordinator(harness)
        await coordination_test.wait_until(
            lambda: harness.targets.list_held("a") and harness.targets.list_held("b")
        )
        minority = set(sorted(set(harness.running) - {first})[:2])
        for node in minority:
            granter = harness.running[node].participant.granter
            granter.channel = PartialChannel(harness.targets, "a")
        cut_off(harness, monkeypatch, minority)
        await coordination_test.wait_until(
            lambda: minority & set(harness.find_coordinators())
        )
        inherited = outstanding.TERM_CONFIRMATION_MAX_AGE + 2 * granting.GRANT_DURATION
        end = time.monotonic() + inherited.total_seconds() + 2.0
        while time.monotonic() < end:
            assert harness.targets.find_conflict() is None
            await asyncio.sleep(0.02)
