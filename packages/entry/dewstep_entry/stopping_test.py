"""Tests of requests that come late in the planned stop of an entry process.

They run on a virtual clock, with the usual limit of 20 s for a stop.
"""

import asyncio
import contextlib

import pytest
from returns import result

from dewstep_core import data, errors, settings
from dewstep_emulator import builders
from dewstep_emulator.ownership import event_loop, network
from dewstep_entry import process

ADDRESS = settings.Address("entry", 80)
OWNER = "intake-0"
HEAD = b"PUT /intake/k/photos HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n"
"""Head of a request whose kind has a deadline of 30 s."""


class Gates:
    """The gates of a process, with a target that works for some seconds."""

    def __init__(self, service_seconds):
        self.service_seconds = service_seconds
        self.began = []
        self.bodies = []
        self.outcomes = []
        """Failures of the next attempts, or None for an answer of the target."""

    async def handle(self, request):
        failure = self.outcomes.pop(0) if self.outcomes else None
        if failure is not None:
            return result.Failure(failure)
        self.began.append(asyncio.get_running_loop().now)
        if request.body.rest is not None:
            async for _ in request.body.rest:
                pass
            self.bodies.append(asyncio.get_running_loop().now)
        await asyncio.sleep(self.service_seconds)
        return result.Success(data.Answer(200, (), 0, data.Body(b"", None), ""))

    async def hand_over(self):
        """Hand all gates over at once."""
        return ()


class Setting:
    """An entry process that is the gate of all keys, and one caller."""

    def __init__(self, loop, service_seconds):
        self.loop = loop
        self.network = network.Network(loop, loop.random)
        self.gates = Gates(service_seconds)
        self.began_at = 0.0

    async def start(self):
        self.owner = event_loop.Process("entry", ADDRESS.host, self.loop.now)
        await self.loop.spawn(self.owner, self._start())
        caller = event_loop.Process("caller", "caller", self.loop.now)
        opening = asyncio.open_connection(*ADDRESS)
        self.reader, self.writer = await self.loop.spawn(caller, opening)

    async def _start(self):
        clock = event_loop.LoopClock(self.loop)
        own = settings.Settings("e1", "ub1", ADDRESS, ADDRESS, ADDRESS, (ADDRESS,))
        self.process = process.EntryProcess(own, clock)
        holder = self.process.holder
        holder.offer_configuration(builders.build_configuration())
        owners = data.Assignment("intake", 1, (OWNER,) * 4, {}, ())
        holder.offer_assignment(owners)
        holder.offer_gate(data.GateRow(OWNER, "e1", "i1", "h", 1, 1, 1))
        self.process.router.gates = self.gates
        self.process.gates.stop = self.gates.hand_over
        await self.process.listener.start()

    def begin_stop(self):
        self.began_at = self.loop.now
        self.stopping = self.loop.spawn(self.owner, self.process.stop())

    async def wait_until(self, seconds):
        await asyncio.sleep(self.began_at + seconds - self.loop.now)

    async def read_answer(self):
        """Return the head of the answer, or what came of it."""
        with contextlib.suppress(asyncio.IncompleteReadError):
            return await self.reader.readuntil(b"\r\n\r\n")
        return b""


def run(scenario, service_seconds=15.0):
    async def run_in(loop):
        setting = Setting(loop, service_seconds)
        await setting.start()
        await scenario(setting)

    event_loop.run(run_in)


def check_refusal(answer):
    assert answer, "the connection ended without an answer"
    fields = answer.lower().split(b"\r\n")
    assert fields[0].startswith(b"http/1.1 503")
    assert b"dewstep-failure: stopping" in fields
    assert b"dewstep-outcome: not-run" in fields and b"connection: close" in fields
    assert any(field.startswith(b"retry-after: ") for field in fields)


# Guards against a request whose body was slow, which is passed on late in a stop and is
# cut without an answer when the stop ends.
@pytest.mark.parametrize("complete_at", [12.0, 18.5, 19.5])
def test_request_that_is_complete_late_is_refused(complete_at):
    async def scenario(setting):
        size = 20_000
        setting.writer.write(HEAD % size + b"\r\n")
        # As fast as the limits of callers require.
        setting.writer.write(b"x" * (size - 1))
        await asyncio.sleep(0.1)
        setting.begin_stop()
        await setting.wait_until(complete_at)
        setting.writer.write(b"x")
        check_refusal(await setting.read_answer())
        setting.writer.close()
        assert await setting.stopping == ()
        assert not setting.gates.began

    run(scenario)


# Guards against a large body that is complete when a stop is nearly over.
def test_large_body_that_is_incomplete_late_is_not_passed_on():
    async def scenario(setting):
        size = 100_000
        setting.writer.write(HEAD % size + b"\r\n" + b"x" * (size - 1))
        await asyncio.sleep(0.1)
        setting.begin_stop()
        await setting.wait_until(19.5)
        setting.writer.write(b"x")
        assert (await setting.read_answer()).startswith(b"HTTP/1.1 5")
        setting.writer.close()
        assert await setting.stopping == ()
        assert not setting.gates.bodies

    run(scenario)


# Guards against an attempt that begins late, and is cut when a stop ends.
def test_attempt_is_not_repeated_late():
    async def scenario(setting):
        setting.gates.outcomes = [errors.ShardMoving("intake", 1)] * 2
        size = 20_000
        setting.writer.write(HEAD % size + b"\r\n" + b"x" * (size - 1))
        await asyncio.sleep(0.1)
        setting.begin_stop()
        # The pauses between attempts last at least 15 ms together.
        await setting.wait_until(9.99)
        setting.writer.write(b"x")
        check_refusal(await setting.read_answer())
        setting.writer.close()
        assert await setting.stopping == ()
        assert not setting.gates.began

    run(scenario)


# Guards against refusing what can be served before a stop ends.
@pytest.mark.parametrize(
    ("deadline_ms", "complete_at"), [(30_000, 5.0), (15_000, 12.0)]
)
def test_request_that_can_end_in_time_is_served(deadline_ms, complete_at):
    async def scenario(setting):
        deadline = b"Dewstep-Deadline-Ms: %d\r\n" % deadline_ms
        size = 20_000
        setting.writer.write(HEAD % size + deadline + b"\r\n" + b"x" * (size - 1))
        await asyncio.sleep(0.1)
        setting.begin_stop()
        await setting.wait_until(complete_at)
        setting.writer.write(b"x")
        assert (await setting.read_answer()).startswith(b"HTTP/1.1 200")
        setting.writer.close()
        assert await setting.stopping == ()

    run(scenario, service_seconds=2.0)
