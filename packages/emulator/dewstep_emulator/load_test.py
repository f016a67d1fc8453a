"""Tests of the load tool's request ids and records of answers."""

import datetime
import json

from returns import result

from dewstep_core.http import client
from dewstep_emulator import deployments, load
from dewstep_entry.gate import deduplication


def test_time_ordered_id_is_read_by_the_router_as_the_time_it_was_made_from():
    for bits in (0, (1 << 74) - 1, 0x155555555555555555):
        made = load.make_time_ordered_id(1_700_000_000_123, bits)
        time = deduplication.read_uuid_time(made)
        assert time == datetime.datetime.fromtimestamp(1_700_000_000.123, datetime.UTC)


def test_body_that_the_target_did_not_get_is_noted():
    """A router that cuts or mixes up request bodies must not pass as clean."""
    plan = deployments.plan_calls(deployments.plan_tsagaan(0.1))[0]
    form = {"request_id": "r1", "key": "k1", "body_sha256": "0"}
    answer = result.Success(client.Response(200, {}, json.dumps(form).encode()))
    zero = datetime.timedelta()
    call = load.describe_call(plan, "k1", "r1", zero, zero, answer, b"sent")
    assert not call.body_kept
