"""Tests of the columns of totals, without links."""

import math
import random
import struct
import zlib

import pytest
from hypothesis import given, strategies

from dewstep_fleet import event_capture, frames
from dewstep_fleet.totals import columns, envelopes, link_states

FRAME = frames.Frame("beat", 7, "i-017", "5f3a9c1e", contact=True, members=62)
TOTALS = strategies.builds(
    frames.Total,
    strategies.integers(0, 40),
    strategies.integers(1, 80_000) | strategies.integers(1, 9),
    strategies.floats(0.1, 20.0),
    strategies.just(1.0) | strategies.floats(0.0, 1.0),
)
SERIES = strategies.lists(
    strategies.lists(TOTALS, max_size=30, unique_by=lambda total: total.target),
    min_size=1,
    max_size=8,
)


class Setting:
    """A coordinator's writer and its links to some members."""

    def __init__(self, members=1):
        self.writer = columns.ColumnWriter()
        self.sending = [link_states.LinkState() for _ in range(members)]
        self.receiving = [link_states.LinkState() for _ in range(members)]

    def send(self, totals, frame=FRAME, lost=()):
        """Return the messages sent, by content, and what each member has read."""
        self.writer.begin(frame.term, tuple(totals), len(totals))
        sent, read = {}, []
        for number, state in enumerate(self.sending):
            known = self.writer.count_known(state)
            content = envelopes.encode(frame, self.writer.encode(known))
            sent[content] = sent.get(content, 0) + 1
            self.writer.record_sent(state)
            if number not in lost:
                receiving = self.receiving[number]
                decoded = envelopes.decode(content, receiving)
                read.append(columns.read(receiving, decoded))
        return sent, read


def check_steps(read, totals):
    """Check that decoded totals equal those sent within the steps."""
    assert [item.target for item in read] == [item.target for item in totals]
    for decoded, total in zip(read, totals, strict=True):
        assert decoded.running == min(total.running, frames.MAX_UINT16)
        assert decoded.admitted == pytest.approx(total.admitted, abs=0.005001)
        assert decoded.slowness == pytest.approx(total.slowness, rel=0.01, abs=0.005)


# Guards against values that depend on an earlier message, and against wrong escapes.
@given(SERIES)
def test_series_of_messages_gives_the_totals_within_the_steps(series):
    setting = Setting()
    for totals in series:
        _, (read,) = setting.send(totals)
        numbers = setting.writer.column.numbers
        check_steps(read, sorted(totals, key=lambda item: numbers[item.target]))


# Guards against heartbeats of 62 members that differ, or exceed the wanted size.
def test_heartbeats_of_a_large_fleet_are_small_and_encoded_once():
    generator = random.Random(1)
    setting = Setting(61)
    hashes = [frames.hash_target_name(f"lookups-{number}") for number in range(177)]
    totals = [frames.Total(item, generator.randint(1, 8), 1.0) for item in hashes]
    sizes = []
    for _ in range(80):
        totals = [
            total._replace(
                running=min(24, max(1, total.running + generator.randint(-3, 3))),
                slowness=(total.slowness * math.exp(generator.gauss(0, 0.03))) ** 0.98,
            )
            for total in totals
        ]
        sent, _ = setting.send(totals)
        assert list(sent.values()) == [61]
        sizes += map(len, sent)
    assert sum(sizes[1:]) / len(sizes[1:]) < 400


TWO = (frames.Total(1, 3, 1.0), frames.Total(2, 4, 1.5, 0.5))


# Guards against totals that are assigned to the wrong targets after a lost base.
def test_totals_without_their_base_are_refused_until_they_are_complete(monkeypatch):
    log = event_capture.EventCapture(monkeypatch)
    setting = Setting(2)
    setting.send(TWO[:1], lost=(1,))
    for totals in (TWO[:1], TWO):
        _, (first, second) = setting.send(totals)
        assert first is not None and second is None
        assert setting.receiving[1].totals_refused
    assert len(log.find("totals_refused")) == 1
    setting.writer.repeat(setting.sending[1])
    _, (first, second) = setting.send(TWO)
    check_steps(second, TWO)
    assert first == second and not setting.receiving[1].totals_refused


# Guards against the same number of other targets, and against a base of another term.
def test_other_bases_are_refused():
    setting, other = Setting(), Setting()
    setting.send(TWO)
    other.send([frames.Total(8, 1, 1.0), frames.Total(9, 1, 1.0)])
    setting.receiving = other.receiving
    assert setting.send(TWO)[1] == [None]
    setting = Setting()
    setting.send(TWO)
    content = envelopes.encode(FRAME._replace(term=8), setting.writer.encode(2))
    decoded = envelopes.decode(content, setting.receiving[0])
    assert columns.read(setting.receiving[0], decoded) is None
    _, (read,) = setting.send(TWO, FRAME._replace(term=8))
    check_steps(read, TWO)


# Guards against columns that grow with each target that has ever existed.
def test_column_begins_anew_after_many_targets_have_gone():
    setting = Setting()
    for number in range(300):
        _, (read,) = setting.send([frames.Total(number, 1, 1.0)])
        assert [item.target for item in read] == [number]
        assert len(setting.writer.column.numbers) <= columns.SPARE_TARGETS + 2


def compress(values):
    compressor = zlib.compressobj(9, zlib.DEFLATED, -zlib.MAX_WBITS)
    return compressor.compress(values) + compressor.flush()


HEAD = struct.pack("<IHHH", 0, 2, 0, 2)


# Guards against hostile content that raises other errors or takes much memory.
@pytest.mark.parametrize(
    "block",
    [
        b"",
        HEAD[:-1],
        HEAD + b"\xff\xff",
        HEAD + compress(b"\x01"),
        HEAD + compress(b"\x01\xff\x68"),
        HEAD + compress(b"\x01\x01\x68\x68\x02\x00\x01"),
        HEAD + compress(b"\x01\x01\x68\x68\x00\x00\x64"),
        HEAD + compress(bytes(10**7)),
        HEAD + compress(b"\x01\x01\x68\x68") + b"more",
        struct.pack("<IHHH", 0, 2, 1, 2) + bytes(4) + compress(b"\x01\x01\x68\x68"),
        struct.pack("<IHHH", 0, 65_535, 0, 65_535) + compress(bytes(65_535)),
        struct.pack("<IHHH", 0, 0, 3, 3) + bytes(8),
    ],
)
def test_broken_blocks_are_value_errors(block):
    content = envelopes.encode(FRAME, block)
    with pytest.raises(ValueError):
        envelopes.decode(content, link_states.LinkState())
    with pytest.raises(ValueError):
        envelopes.decode(content[:4], link_states.LinkState())
