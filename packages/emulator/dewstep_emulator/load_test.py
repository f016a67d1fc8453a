"""Tests of the load generator's request ids and of its records of calls."""

import datetime
import json

from returns import result

from dewstep_core.http import client
from dewstep_emulator import deployments, load
from dewstep_entry.gate import deduplication


def test_router_reads_the_creation_time_from_a_time_ordered_id():
    for bits in (0, (1 << 74) - 1, 0x155555555555555555):
        made = load.make_time_ordered_id(1_700_000_000_123, bits)
        time = deduplication.read_uuid_time(made)
        assert time == datetime.datetime.fromtimestamp(1_700_000_000.123, datetime.UTC)


def test_body_that_differs_from_the_sent_one_is_recorded():
    """Guards against missing a router that truncates or confuses request bodies."""
    plan = deployments.plan_calls(deployments.plan_tsagaan(0.1))[0]
    form = {"request_id": "r1", "key": "k1", "body_sha256": "0"}
    answer = result.Success(client.Response(200, {}, json.dumps(form).encode()))
    zero = datetime.timedelta()
    call = load.describe_call(plan, "k1", "r1", zero, zero, answer, b"sent")
    assert not call.body_unchanged
