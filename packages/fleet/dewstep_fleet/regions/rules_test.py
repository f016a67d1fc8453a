"""Tests of requests and key ranges that must stay in certain regions."""

import asyncio
import functools

import pytest

from dewstep_fleet import (
    builders,
    directories,
    dispatch_test,
    granting_test,
    model,
    relaying,
    relaying_test,
)
from dewstep_fleet.regions import places

PLACES = places.Places("north", {"dc-1": "north", "dc-2": "south", "dc-3": ""})
OTHER_ROUTE = builders.build_route(prefix="/b/", permitted_regions=("south",))
MEMBER = model.Member("n2", "i", "dc-1", "h", 1)


def restrict(directory, *regions, version=2, keyed=False, others=()):
    """Put a configuration in force that allows regions for the requests of a route."""
    route = builders.build_route(permitted_regions=regions)
    table = builders.build_table(route, *others, version=version, keyed=keyed)
    directory.regions.set_places(PLACES)
    directory.decode_routes = lambda content: builders.result.Success(table)
    row = builders.build_row(model.TABLES.configuration, "c", 20 + version, b"")
    directory.apply_rows([row])


def build_harness(*outcomes, regions=("south",), keyed=False):
    """Return a dispatcher with targets in four data centres."""
    harness = dispatch_test.Harness(*outcomes, keyed=keyed, targets="")
    for number, name in enumerate("abcd", 1):
        target = builders.build_target(name, data_centre=f"dc-{number}")
        harness.directory.apply_rows([builders.build_target_row(target, 2)])
    restrict(harness.directory, *regions, keyed=keyed)
    return harness


# Guards against requests that leave their regions, also with their key's owner or for
# want of a target there, and against a 502 or a refusal without a time to return.
@pytest.mark.parametrize(
    ("regions", "keyed", "sent"),
    [("south", False, ["b", "b"]), ("west", False, []), ("south", True, [])],
)
def test_request_reaches_no_target_outside(regions, keyed, sent):
    harness = build_harness(
        200, dispatch_test.unreachable, regions=(regions, ""), keyed=keyed
    )
    answers = [harness.send(headers=((b"x-key", b"7"),)) for _ in range(4)]
    assert [target for target, *_ in harness.sent] == sent
    for answer in answers[1:]:
        assert (answer.status, answer.failure) == (503, "RegionUnavailable")
        assert b"retry-after" in dict(answer.headers)


# Guards against a rule that comes into force while a request waits for a connection.
def test_regions_are_checked_right_before_sending():
    harness = build_harness(200, regions=())
    expect_load = harness.dispatcher.pools.expect_load

    def change_configuration(*arguments):
        restrict(harness.directory, "south", version=3)
        expect_load(*arguments)

    harness.dispatcher.pools.expect_load = change_configuration
    assert harness.send().status == 200
    assert [target for target, *_ in harness.sent] == ["b"]


# Guards against an instance that passes a body on to another region, or to an earlier
# build, which would send it anywhere, and against a rule that is not passed on.
def test_request_is_passed_on_within_its_regions():
    harness = build_harness(dispatch_test.unreachable)
    relaying_test.cut_off(harness)
    allowed = []

    async def send(build_head, body, due_at, request_id, find_refusal, may_receive):
        assert relaying.read_regions(tuple(build_head().headers)) == ("south",)
        for name in ("north", "south", "west", ""):
            member = MEMBER._replace(region=name)
            moved = member._replace(data_centre="dc-2")
            allowed.append((may_receive(member), may_receive(moved)))
        refuses = functools.partial(relaying.find_member_refusal, MEMBER, find_refusal)
        assert refuses(lambda item: True) is None
        return relaying.RelayOutcome(None, refuses(may_receive))

    harness.dispatcher.relay.send = send
    # After the refusal of the other instance, the instance tries its own targets.
    assert harness.send().failure == "RegionUnavailable"
    # Those that may not receive it take no place in the list of instances.
    harness.directory.members["n2"] = MEMBER._replace(relay_port=1)
    peers = harness.dispatcher.relay.list_peers
    assert peers() and not peers(lambda item: False)
    # By the settings, dc-1 is in the north and dc-2 in the south.
    assert allowed[:4] == [(True, False), (False, True), (False,) * 2, (False,) * 2]


# Guards against an instance with an older configuration, which knows of no rule, and
# against names that a header cannot contain.
@pytest.mark.parametrize(("sent", "reached"), [("south", "b"), ("a,\u1820 b", "")])
def test_regions_of_another_instance_bind(sent, reached):
    harness = build_harness(200, regions=())
    read = relaying.read_regions(tuple(relaying.add_attempts((), 1, (sent,))))
    assert read == (sent,)
    request = harness.build_request()
    request = request._replace(relayed_attempts=1, relayed_regions=read)
    answer = asyncio.run(harness.dispatcher.handle(request)).unwrap()
    assert [target for target, *_ in harness.sent] == list(reached)
    # The sender tries the next instance after this failure.
    assert answer.failure == ("" if reached else "NotReady")


# Guards against ranges of owners who may get no request, and against rows and requests
# between instances that differ without a rule.
def test_ranges_go_only_to_targets_in_the_regions():
    async def scenario(harnesses):
        harness = granting_test.build_harness(harnesses, "a", "b")
        for name in "cd":
            harness.register(builders.build_target(name, data_centre="dc-2"))
        granter = harness.elect("n1")
        await harness.run(granting_test.SETTLING_TIME)
        restrict(granter.directory, "north", keyed=True, others=(OTHER_ROUTE,))
        await harness.run(4 * builders.SECOND)
        assert harness.find_owners() == set("abcd")
        # The idle targets outside would be preferred.
        for name in "ab":
            harness.rates[granter.held.list_owned("history", name)[0].first] = 5.0
        count = len(harness.targets.accepted)
        restrict(granter.directory, "north", keyed=True, version=3)
        await harness.run(8 * builders.SECOND)
        accepted = harness.targets.accepted[count:]
        assert {grant.process.target for grant in accepted} == set("ab")
        assert harness.find_owners() == set("ab")
        assert harness.count_held() == model.KEY_SPACE_SIZE
        assert not granter.directory.lacks_allowed_targets("history")
        restrict(granter.directory, "west", keyed=True, version=4)
        assert granter.directory.lacks_allowed_targets("history")

    granting_test.run_scenario(scenario)
    assert b"region" not in directories.encode_record(MEMBER)
    assert len(relaying.add_attempts((), 1)) == 1
