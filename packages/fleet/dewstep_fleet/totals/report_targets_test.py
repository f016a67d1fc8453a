"""Tests of compact reports, without links."""

import random

import pytest
from hypothesis import given, strategies

from dewstep_fleet import frames
from dewstep_fleet.totals import (
    envelopes,
    link_states,
    report_blocks,
    report_targets,
)

FRAME = frames.Frame("report", 7, "i-017", "5f3a9c1e", contact=True, heard=True)
LOADS = strategies.builds(
    frames.Load,
    strategies.sampled_from(["a", "b", "c-\u00e4", "d" * 200]),
    strategies.integers(0, 70_000),
    strategies.integers(0, 300),
    strategies.integers(0, 10**7) | strategies.integers(0, 1500),
    strategies.integers(0, 10**7) | strategies.integers(0, 1500),
).map(
    # Only ended requests have times.
    lambda load: load if load.ended else frames.Load(*load[:2], 0, 0, 0)
)
KEYS = strategies.builds(
    frames.KeyCount,
    strategies.sampled_from(["lookups", "reports"]),
    strategies.integers(0, 65_535),
    strategies.integers(1, 9_000),
)
SERIES = strategies.lists(
    strategies.tuples(
        strategies.lists(LOADS, max_size=4, unique_by=lambda load: load.target),
        strategies.lists(KEYS, max_size=5),
    ),
    max_size=8,
)


class Setting:
    """A member's writer and its link to the coordinator."""

    def __init__(self):
        self.writer = report_targets.ReportWriter()
        self.connect()

    def connect(self):
        """Replace the link."""
        self.sending, self.receiving = link_states.LinkState(), link_states.LinkState()

    def send(self, loads, keys=()):
        """Return a report as received, and its size."""
        frame = FRAME._replace(loads=tuple(loads), keys=tuple(keys))
        block = self.writer.encode(self.sending, frame)
        content = envelopes.encode(frame, block)
        return envelopes.decode(content, self.receiving), len(content)


# Guards against lost or repeated times, requests and keys, also over a new link.
@given(SERIES, strategies.integers(0, 8))
def test_series_of_reports_loses_nothing(series, broken_at):
    setting = Setting()
    sent, received = {}, {}
    for number, (loads, keys) in enumerate(series):
        if number == broken_at:
            setting.connect()
        frame, _ = setting.send(loads, keys)
        assert sorted(frame.keys) == sorted(keys)
        assert [item[:2] for item in frame.loads] == [item[:2] for item in loads]
        for counted, items in ((sent, loads), (received, frame.loads)):
            for load in items:
                known = counted.get(load.target, (0, 0, 0))
                counted[load.target] = [
                    sum(pair) for pair in zip(known, load[2:], strict=True)
                ]
    for target, totals in sent.items():
        kept = setting.writer.remainders.get(target, report_targets.Remainder())
        told = zip(totals, received[target], kept, strict=True)
        assert all(total == got + left for total, got, left in told)
        assert kept.expected < 1000 and (kept.busy < 1000 or kept.ended)


# Guards against reports above the wanted size.
def test_report_of_many_targets_is_small():
    generator = random.Random(1)
    loads = [
        frames.Load(f"lookups-{number}", 3, 2, *generator.choices(range(400_000), k=2))
        for number in range(25)
    ]
    keys = [frames.KeyCount("lookups", key, 2) for key in (7, 30_000, 65_535)]
    setting = Setting()
    setting.send(loads, keys)
    assert setting.send(loads, keys)[1] < 350


LOAD = frames.Load("a", 1, 1, 2_000, 2_000)


# Guards against loads that are added to another target.
def test_report_that_does_not_continue_its_link_is_refused():
    for other in ([], [LOAD._replace(target="b")]):
        setting, earlier = Setting(), Setting()
        setting.send([LOAD])
        earlier.send(other)
        setting.receiving = earlier.receiving
        with pytest.raises(ValueError):
            setting.send([LOAD])


# Guards against links that cannot report once they have numbered very many targets.
def test_numbers_begin_anew_after_very_many_targets():
    setting = Setting()
    for number in range(0, 9_000, 1_000):
        loads = [LOAD._replace(target=str(number + add)) for add in range(1_000)]
        frame, _ = setting.send(loads)
        assert [load.target for load in frame.loads] == [load.target for load in loads]
    assert (
        setting.writer.encode(
            setting.sending, FRAME._replace(loads=(LOAD._replace(target="x" * 2_000),))
        )
        is None
    )


# Guards against hostile content that raises other errors or takes much memory.
@pytest.mark.parametrize(
    "block",
    [
        b"",
        bytes(4),
        bytes(4) + b"\x00\x01\x02\xff\xff\x00",
        bytes(4) + b"\x00\x00\x01\x00\x01\x01\x01\x01",
        bytes(4) + b"\x00\x01\x01a\x01\x00\x01\x01\x01",
        bytes(4) + b"\x00\x00" + b"\xff" * 12,
        bytes(4) + b"\x00\xff\xff\x7f",
        bytes(4) + b"\x00\x00\x00\x01s\x02\x01\x01\x01",
        bytes(4) + b"\x00\x01\x01a\x00",
    ],
)
def test_broken_reports_are_value_errors(block):
    with pytest.raises(ValueError):
        envelopes.decode(envelopes.encode(FRAME, block), link_states.LinkState())


def test_integers_of_any_size_are_restored():
    """Guards against a wrong boundary between lengths."""
    for value in (0, 127, 128, 16_383, 16_384, 2**63 - 1):
        reader = report_blocks.Reader(report_blocks.encode_varint(value))
        assert reader.take_varint() == value
