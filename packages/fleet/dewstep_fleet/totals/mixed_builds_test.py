"""Tests of a coordinator and its members over links in memory."""

import asyncio

import pytest

from dewstep_emulator import testing
from dewstep_fleet import (
    coordination_test,
    event_capture,
    frames,
    links,
    totals,
)
from dewstep_fleet.totals import envelopes

EARLIER_REPORT = "101b50051201010101000211453a114512114512000e3f7265706f7274016e0169"
"""The encoded frame of the build without the compact form."""


class MemoryTransport(asyncio.Transport):
    """Passes what one link writes to the other one, and keeps the frames."""

    def __init__(self):
        super().__init__()
        self.peer = None
        self.frames = []

    def write(self, content):
        self.frames.append(content[links.LENGTH_PREFIX_BYTES :])
        self.peer.data_received(content)

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return 0

    def abort(self):
        """Do nothing; the link knows that it is closed."""


class EarlierLink(links.Link):
    """A link of the build before the compact form."""

    def data_received(self, content):
        frames.decode(content[links.LENGTH_PREFIX_BYTES :])
        super().data_received(content)

    def send(self, frame):
        return super().send(frame._replace(accepts_compact=False, wants_totals=False))


class Pair:
    """A coordinator and one member in a fleet that counts as large."""

    def __init__(self, monkeypatch, earlier_coordinator=False, earlier_member=False):
        monkeypatch.setattr(totals, "MIN_MEMBERS", 2)
        election = coordination_test.VoteHarness({"m1": None})
        coordination_test.start_coordinating(election, 2)
        self.coordinator = election.participant
        harness = coordination_test.Harness()
        self.member = coordination_test.RunningInstance(harness, "m1").participant
        self.earlier = earlier_coordinator, earlier_member
        for participant in (self.coordinator, self.member):
            for target in "ab":
                participant.loads.get_load(target)
        self.connect()

    def connect(self):
        """Replace the link, as after a failure."""
        self.sent = []
        ends = []
        for participant, earlier in zip(
            (self.coordinator, self.member), self.earlier, strict=True
        ):
            link_type = EarlierLink if earlier else links.Link
            link = link_type(participant.receive, participant.drop_link, False)
            link.connection_made(MemoryTransport())
            ends.append(link)
        ends[0].transport.peer, ends[1].transport.peer = ends[1], ends[0]
        self.link, self.member_link = ends
        self.coordinator.member_links.links["m1"] = self.link
        self.coordinator.followers.reports.pop("m1", None)

    def exchange(self):
        """Send a heartbeat; return whether it and the report were compact."""
        self.coordinator.heartbeats.send(self.coordinator.clock.monotonic())
        ends = self.link, self.member_link
        assert not any(link.closed for link in ends)
        return tuple(end.transport.frames[-1][0] == envelopes.MARK for end in ends)

    def count_others(self, target):
        """Return the requests of others at a target, as the member knows them."""
        return self.member.loads.get_load(target).others_running


# Guards against a compact message that the other side did not say it understands.
@testing.run_in_event_loop
async def test_compact_form_begins_once_the_member_accepts_it(monkeypatch):
    pair = Pair(monkeypatch)
    pair.coordinator.loads.begin_request("a")
    forms = [pair.exchange() for _ in range(4)]
    assert forms == [(False, False)] * 2 + [(True, True)] * 2
    pair.member.loads.begin_request("b")
    pair.exchange()
    report = pair.coordinator.followers.reports["m1"]
    assert [load[:2] for load in report.loads] == [("b", 1)]
    for link, kind in ((pair.link, "beat"), (pair.member_link, "report")):
        sizes = [
            links.LENGTH_PREFIX_BYTES + len(item) for item in link.transport.frames
        ]
        assert link.sent_bytes == {kind: sum(sizes)}
    assert pair.count_others("a") == 1
    pair.connect()
    assert [pair.exchange()[0] for _ in range(3)] == [False, False, True]
    pair.coordinator.loads.begin_request("b")
    pair.exchange()
    assert (pair.count_others("a"), pair.count_others("b")) == (1, 1)


# Guards against a closed link, or totals that are lost, beside an earlier build.
@pytest.mark.parametrize("earlier", [(True, False), (False, True)])
@testing.run_in_event_loop
async def test_earlier_builds_get_and_send_the_earlier_form(monkeypatch, earlier):
    pair = Pair(monkeypatch, *earlier)
    if earlier[0]:
        monkeypatch.setattr(
            pair.coordinator.heartbeats, "encode", lambda frame, _: frames.encode(frame)
        )
    pair.coordinator.loads.begin_request("a")
    for _ in range(5):
        assert pair.exchange() == (False, False)
    assert pair.count_others("a") == 1


# Guards against frames of small fleets that differ from those of the earlier build.
@testing.run_in_event_loop
async def test_small_fleets_keep_the_earlier_form(monkeypatch):
    pair = Pair(monkeypatch)
    monkeypatch.setattr(totals, "MIN_MEMBERS", 3)
    for _ in range(5):
        assert pair.exchange() == (False, False)
    for link in (pair.link, pair.member_link):
        frame = frames.decode(link.transport.frames[-1])
        assert not frame.accepts_compact and not frame.wants_totals
    encoded = frames.encode(frames.Frame("report", 1, "n", "i", heard=True))
    assert encoded.hex() == EARLIER_REPORT


# Guards against wrong totals, or none for long, after a lost base.
@testing.run_in_event_loop
async def test_member_that_lost_its_base_gets_complete_totals(monkeypatch):
    pair = Pair(monkeypatch)
    log = event_capture.EventCapture(monkeypatch)
    pair.coordinator.loads.begin_request("a")
    for _ in range(4):
        pair.exchange()
    pair.member_link.state.received_hashes = ()
    pair.coordinator.loads.begin_request("a")
    pair.exchange()
    assert pair.count_others("a") == 1 and len(log.find("totals_refused")) == 1
    pair.exchange()
    assert pair.count_others("a") == 2
    assert len(log.find("totals_refused")) == 1
