"""Tests of ending ownerships that a restored store does not know of."""

import asyncio

from dewstep_emulator import testing
from dewstep_fleet import (
    builders,
    event_capture,
    granting_test,
    model,
)


def build_owners(*names):
    """Return a coordinator that knows these targets, and its unknown owners."""
    harness = granting_test.Harness(*names)
    granter = harness.elect("n1")
    return harness, granter.adoption.unknown_owners


@testing.run_in_event_loop
async def test_all_targets_release_all_keys():
    harness, owners = build_owners("a", "b")
    until = harness.clock.monotonic() + builders.SECOND
    assert await owners.release_all("history", until)
    last = model.KEY_SPACE_SIZE - 1
    assert sorted(harness.targets.released) == [("a", 0, last), ("b", 0, last)]


# Guards against waiting for a target that has ended, whose address another one has.
@testing.run_in_event_loop
async def test_target_that_was_replaced_holds_nothing():
    harness, owners = build_owners("a", "b")
    harness.targets.replace("a", "c")
    until = harness.clock.monotonic() + builders.SECOND
    assert await owners.release_all("history", until)


# Guards against granting the keys of a target that registered during the releases.
@testing.run_in_event_loop
async def test_target_that_registers_meanwhile_releases_too(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)
    harness, owners = build_owners("a")
    harness.targets.down.add("a")
    until = harness.clock.monotonic() + 10 * builders.SECOND
    releasing = asyncio.ensure_future(owners.release_all("history", until))
    while not log.find("release_failed", target="a"):
        await asyncio.sleep(0)
    harness.register(builders.build_target("b"))
    harness.targets.down.discard("a")
    while not releasing.done():
        harness.clock.advance(builders.SECOND)
        await asyncio.sleep(0)
    assert releasing.result()
    assert {name for name, *_ in harness.targets.released} == {"a", "b"}


@testing.run_in_event_loop
async def test_unreachable_target_ends_the_releases_at_the_given_time():
    harness, owners = build_owners("a")
    harness.targets.down.add("a")
    until = harness.clock.monotonic() + builders.SECOND
    releasing = asyncio.ensure_future(owners.release_all("history", until))
    while not releasing.done():
        harness.clock.advance(builders.SECOND / 10)
        await asyncio.sleep(0)
    assert not releasing.result()
    assert harness.clock.monotonic() >= until
