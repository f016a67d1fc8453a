"""Tests that the builders' records are consistent with each other."""

import collections
import datetime

import pytest

from dewstep_emulator import builders


def test_configuration_has_the_sizes_of_the_first_deployment():
    configuration = builders.build_configuration()
    targets = configuration.targets.values()
    counts = collections.Counter(target.service for target in targets)
    assert counts == builders.TARGET_COUNTS
    assert len({(target.host, target.port) for target in targets}) == 32
    for service in configuration.services.values():
        for kind in service.kinds:
            assert (kind.deduplication == "none") == kind.idempotent
    assert builders.build_service("other", shard_count=8).shard_count == 8


def test_assignment_is_even_and_names_existing_targets():
    targets = builders.build_targets("booker")
    assignment = builders.build_assignment(targets, 32, version=5)
    counts = collections.Counter(assignment.owners)
    assert set(counts) == {target.name for target in targets}
    assert max(counts.values()) - min(counts.values()) <= 1
    assert (assignment.service, assignment.version) == ("booker", 5)


@pytest.mark.parametrize("service", list(builders.KINDS))
def test_request_matches_its_kind(service):
    now = datetime.timedelta(seconds=100)
    for number, kind in enumerate(builders.KINDS[service]):
        request = builders.build_request(service, "k1", number, now, b"body")
        assert (request.kind, request.method) == (kind.name, kind.method)
        assert request.deadline == now + kind.deadline
        key_in_path = "k1" in request.path.split("/")
        assert key_in_path != ((b"dealer", b"k1") in request.headers)
        assert request.body_length == len(request.body.start) == 4


def test_related_records_refer_to_each_other():
    target, member = builders.build_target(3, "intake"), builders.build_member(2)
    row = builders.build_gate_row(target, member, term=9)
    assert (row.target, row.entry, row.term) == ("intake-3", "entry-2", 9)
    instance = builders.build_instance(target, state="leaving")
    assert (instance.port, instance.state) == (target.port, "leaving")
    reading, grant = builders.build_clock_reading(), builders.build_grant()
    stamp = builders.build_stamp()
    assert reading.boot == grant.boot == stamp.boot
    assert (grant.term, reading.clock < grant.expires) == (stamp.term, True)
    assert builders.build_kind("booker", weight=2.0).weight == 2.0
    assert builders.build_answer(b"abc").body_length == 3
    transaction = builders.build_transaction("a", 4)
    assert (transaction.checks[0].version, transaction.writes[0].key) == (4, "a")
