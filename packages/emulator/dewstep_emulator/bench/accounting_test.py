import os

import pytest

from dewstep_emulator.bench import accounting


def test_read_usage_returns_processor_time_and_memory():
    before = accounting.read_usage(os.getpid())
    sum(number * number for number in range(2_000_000))
    cost = accounting.compute_cost(before, accounting.read_usage(os.getpid()))
    assert cost.processor > 0 and cost.memory > 1_000_000
    assert 0 < cost.core_share <= 2


def test_read_usage_of_an_ended_process_is_none():
    assert accounting.read_usage(2**22 + 1) is None
    with pytest.raises(accounting.ProcessEnded):
        accounting.read_usages([os.getpid(), 2**22 + 1])


def test_meter_excludes_pauses(monkeypatch):
    # Guards against underestimating the core share of a load tool that idles between
    # rounds.
    readings = [
        accounting.Usage(time, used, 1, 0)
        for time, used in ((0, 0), (1, 1), (5, 1), (6, 2))
    ]
    monkeypatch.setattr(accounting, "read_usage", lambda pid: readings.pop(0))
    meter = accounting.Meter()
    meter.read([1])
    meter.read([1])
    meter.pause()
    meter.read([1])
    meter.read([1])
    assert meter.costs[1].seconds == 2 and meter.costs[1].core_share == 1
