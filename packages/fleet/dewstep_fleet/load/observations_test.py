"""Tests of the loads that targets report in their answers."""

import datetime
import random

from dewstep_entry.targets import answering
from dewstep_fleet import builders, dispatch_test, frames, load_counts, selection

NOW = 100.0


def build_loads(**running):
    """Return loads with totals from 0.1 s ago."""
    totals = tuple(
        frames.Total(frames.hash_target_name(name), number, 1.0)
        for name, number in running.items()
    )
    loads = load_counts.Loads()
    loads.set_targets(running, NOW)
    loads.apply_totals(totals, NOW - 0.2)
    loads.apply_totals(totals, NOW - 0.1)
    return loads


def choose(loads, now=NOW):
    targets = [builders.build_target(name) for name in loads.by_target]
    generator = random.Random(1)
    return selection.choose_target(
        targets, loads, now, "dc-1", 0, generator
    ).target.name


def test_report_is_newer_than_totals():
    # Guards against sending to a target whose queue has grown since the totals, and
    # against waiting for one whose queue has gone.
    loads = build_loads(a=1, b=9)
    assert choose(loads) == "a"
    loads.observe("a", NOW, 16, 1.0)
    loads.observe("b", NOW, 0, 1.0)
    assert choose(loads) == "b"
    assert loads.estimate("history", "b", NOW).age == 0


def test_own_requests_since_the_report_are_added():
    loads = build_loads(a=1)
    loads.observe("a", NOW, 3, 1.0)
    for _ in range(2):
        loads.begin_request("a")
    estimate = loads.estimate("history", "a", NOW + 0.05)
    assert (estimate.running, estimate.others) == (5, 3)


def test_pace_scales_the_service_time_for_as_long_as_the_report_counts():
    loads = build_loads(a=1)
    usual = loads.estimate("history", "a", NOW).service
    loads.observe("a", NOW, 1, 3.0)
    assert loads.estimate("history", "a", NOW + 0.05).service == usual * 3
    loads.apply_totals((), NOW + 0.1)
    loads.apply_totals((), NOW + 0.2)
    estimate = loads.estimate("history", "a", NOW + 0.25)
    assert (estimate.service, estimate.running) == (usual, 0)


def test_report_of_an_earlier_incarnation_is_dropped():
    # Guards against a queue that a restarted target does not have.
    harness = dispatch_test.Harness(targets="a")
    load = answering.ReportedLoad(19, 1.0)
    notice = answering.Notice(False, datetime.timedelta(), load=load)

    def count():
        now = harness.clock.monotonic().total_seconds()
        return harness.counts.estimate("history", "a", now).running

    pools = harness.dispatcher.pools
    pools.receive_notice(builders.build_target("a"), notice)
    assert count() == 19
    restarted = builders.build_target("a", life=2)
    harness.directory.apply_rows([builders.build_target_row(restarted, 8)])
    assert count() == 0
    pools.receive_notice(builders.build_target("a"), notice)
    assert count() == 0
