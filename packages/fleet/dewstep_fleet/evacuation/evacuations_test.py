"""Tests of what an instance knows of evacuations, and of its requests."""

import asyncio

import pytest

from dewstep_fleet import (
    builders,
    dispatch_test,
    frames,
    leaving_targets_test,
    membership,
    model,
)
from dewstep_fleet.evacuation import evacuations, relayed_rows

SECOND = builders.SECOND
ALLOWED = builders.build_timing().evacuation_time
LATE = membership.DIRECT_READ_TIMEOUT + 600 * builders.MILLISECOND
KEY = leaving_targets_test.KEY
ROW = model.EVACUATION_PREFIX + "dc-1"


def build_instance(*outcomes, keyed=True):
    """Return an instance that has all rows."""
    harness = leaving_targets_test.build_instance(*outcomes, keyed=keyed)
    confirm(harness)
    return harness


def confirm(harness):
    harness.directory.evacuations.record_complete(harness.clock.monotonic())


def write(harness, version, value=b"{}"):
    """Let an instance read a row of the evacuation."""
    row = builders.build_row(model.TABLES.configuration, ROW, version, value)
    harness.directory.apply_rows([row])


# Guards against requests without a key to an evacuated data centre, and against ones
# without a retry time when no other is left.
def test_requests_without_a_key_go_elsewhere_at_once():
    harness = build_instance(200, keyed=False)
    other = builders.build_target("b", data_centre="dc-2")
    harness.directory.apply_rows([builders.build_target_row(other, 8)])
    write(harness, 9)
    assert harness.send().status == 200 and harness.sent[0][0] == "b"
    row = builders.build_row(
        model.TABLES.configuration, model.EVACUATION_PREFIX + "dc-2", 10, b"{}"
    )
    harness.directory.apply_rows([row])
    answer = harness.send()
    assert answer.status == 503 and answer.failure == "NotReady"
    assert b"retry-after" in dict(answer.headers)
    assert dispatch_test.get_outcome(answer) == b"not-run"


# Guards against requests to an owner after the allowed time, by an instance that has
# learned of the row as late as an instance in touch with the platform does.
@pytest.mark.parametrize("relayed_attempts", [None, 2])
def test_requests_for_keys_end_before_the_allowed_time(relayed_attempts):
    harness = build_instance(200, 200)
    write(harness, 9)
    assert harness.send(headers=KEY).status == 200
    harness.clock.advance(ALLOWED - LATE)
    request = harness.build_request(headers=KEY)
    request = request._replace(relayed_attempts=relayed_attempts)
    answer = asyncio.run(harness.dispatcher.handle(request)).unwrap()
    assert answer.status == 503 and len(harness.sent) == 1
    assert dispatch_test.get_outcome(answer) == b"not-run"


# Guards against a whole allowed time for a row that was written long ago, at an
# instance that has just started or had no contact.
@pytest.mark.parametrize("started", [True, False])
def test_row_of_unknown_age_ends_requests_at_once(started):
    harness = build_instance(200)
    if started:
        harness.directory.evacuations.complete_at = None
    harness.clock.advance(ALLOWED)
    write(harness, 9)
    assert harness.send(headers=KEY).status == 503 and not harness.sent


# Guards against a request that is sent after the allowed time, as it waited for a
# permit or a connection, and against one without a key that is sent at all.
@pytest.mark.parametrize("keyed", [True, False])
def test_request_that_waited_is_not_sent_after_the_allowed_time(keyed):
    harness = build_instance(200, keyed=keyed)
    make_pool = harness.dispatcher.pools.get

    def wait_for_connection(service, target):
        write(harness, 9)
        harness.clock.advance(keyed * (ALLOWED - LATE))
        return make_pool(service, target)

    harness.dispatcher.pools.get = wait_for_connection
    answer = harness.send(headers=(*KEY, (b"x-deadline", b"9000")))
    assert answer.status == 503 and not harness.sent


# Guards against an evacuation that never ends, or whose time does not count anew.
def test_time_counts_anew_after_a_removal():
    harness = build_instance(200, 200)
    ended = []
    harness.directory.evacuations.listeners.append(lambda *end: ended.append(end))
    write(harness, 9)
    harness.clock.advance(ALLOWED)
    write(harness, 10, None)
    assert ended == [("dc-1", harness.clock.monotonic(), 10)]
    assert harness.send(headers=KEY).status == 200
    confirm(harness)
    write(harness, 11)
    write(harness, 12)
    assert harness.send(headers=KEY).status == 200
    harness.clock.advance(ALLOWED)
    assert harness.send(headers=KEY).status == 503 and len(harness.sent) == 2


# Guards against an instance of an earlier version, which does not read the rows, and
# ends an evacuation as its complete table lacks one.
@pytest.mark.parametrize("reads", [True, False])
def test_removal_counts_only_from_an_instance_that_reads_the_rows(reads):
    rows = tuple(
        builders.build_row(table, ROW, 9, None)
        for table in (model.TABLES.configuration, model.TABLES.fleet)
    )
    sent = frames.Frame("report", 1, "n", "n-1", rows=rows, reads_evacuations=reads)
    received = frames.decode(frames.encode(sent))
    kept = relayed_rows.exclude_assumed_removals(received).rows
    assert kept == (rows if reads else rows[1:])


# Guards against an evacuation whose removal was not seen, as the history is gone, and
# against requests when a restored store lacks the row until it is written again.
@pytest.mark.parametrize("restored", [True, False])
def test_complete_table_without_the_row_ends_the_evacuation(restored):
    harness = build_instance(200)
    write(harness, 9)
    harness.clock.advance(ALLOWED)
    floor = model.VERSIONS_PER_ERA * restored
    table = model.TABLES.configuration
    harness.directory.apply_table(table, model.TableState((), floor + 20))
    known = harness.directory.evacuations
    assert known.is_evacuated("dc-1") is restored
    if restored:
        write(harness, floor + 21)
        harness.clock.advance(evacuations.RESTORE_GRACE)
        harness.directory.apply_deferred_removals()
        assert known.is_evacuated("dc-1")
        assert harness.send(headers=KEY).status == 503
        ended = []
        known.listeners.append(lambda *end: ended.append(end))
        harness.directory.apply_table(table, model.TableState((), 2 * floor + 9))
        harness.clock.advance(evacuations.RESTORE_GRACE)
        # Another instance reports the same at a later version.
        write(harness, 2 * floor + 10, None)
        harness.directory.apply_deferred_removals()
        assert ended == [("dc-1", harness.clock.monotonic(), 2 * floor + 10)]
    assert harness.send(headers=KEY).status == 200
