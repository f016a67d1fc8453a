"""Pools of connections to a target that resets those beyond what it accepts.

The target runs in threads: its kernel completes each connection, and its process resets
it 2 ms later.
"""

import asyncio
import contextlib
import datetime
import socket
import threading
import time

import h11

from dewstep_core import clocks, data, errors, settings
from dewstep_core.http import transports
from dewstep_emulator import testing
from dewstep_entry.targets import acceptance, answering, connection_pool

RULES = answering.AnswerRules(
    b"x-id", b"x-not-run", None, frozenset({421}), has_request_id=True, buffered=True
)
SERVICE_SECONDS = 0.1


class Target:
    """A target that accepts a number of connections and resets the others."""

    def __init__(self, room):
        self.room = room
        self.resets = 0
        self.answered = 0
        self.threads = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = settings.Address(*self.listener.getsockname())

    def run(self):
        with contextlib.suppress(OSError):
            while True:
                accepted, _ = self.listener.accept()
                if len(self.threads) < self.room:
                    thread = threading.Thread(target=self.serve, args=(accepted,))
                    self.threads.append(thread)
                    thread.start()
                    continue
                time.sleep(0.002)
                self.resets += 1
                accepted.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, transports.RESET_ON_CLOSE
                )
                accepted.close()

    def serve(self, accepted):
        with accepted, contextlib.suppress(OSError):
            while accepted.recv(65_536):
                time.sleep(SERVICE_SECONDS)
                self.answered += 1
                accepted.sendall(b"HTTP/1.1 204 Done\r\nX-Id: a\r\n\r\n")


@contextlib.asynccontextmanager
async def run_target(room, **state):
    """Run a target; yield it and a pool of connections to it."""
    target = Target(room)
    thread = threading.Thread(target=target.run)
    thread.start()
    accepts = acceptance.Acceptance("t", acceptance.ServiceResets())
    for name, value in state.items():
        setattr(accepts, name, value)
    pool = connection_pool.ConnectionPool(
        "t",
        target.address,
        clocks.SystemClock(),
        6,
        rules=RULES,
        reuse_delay=datetime.timedelta(),
        accepts=accepts,
    )
    try:
        yield target, pool
    finally:
        await pool.close()
        target.listener.shutdown(socket.SHUT_RDWR)
        target.listener.close()
        for started in (thread, *target.threads):
            await asyncio.to_thread(started.join)


async def send(pool, seconds=3.0):
    head = h11.Request(method="POST", target="/", headers=[("host", "h")])
    deadline = pool.clock.monotonic() + datetime.timedelta(seconds=seconds)
    return await pool.send(head, data.Body(b"", None), deadline, b"a")


# Guards against 502 for requests that a full target cannot have run.
@testing.run_in_event_loop
async def test_request_waits_for_a_busy_connection_after_a_reset():
    async with run_target(1, expects_reset=True) as (target, pool):
        first = asyncio.ensure_future(send(pool))
        await asyncio.sleep(0.03)
        second = await send(pool)
        assert ((await first).unwrap().status, second.unwrap().status) == (204, 204)
        assert (target.resets, target.answered) == (1, 2)
        assert pool.accepts.resets.counts == {"unused": 1}


# Guards against taking a full target for an unreachable one, to which nothing is sent
# for a second.
@testing.run_in_event_loop
async def test_request_that_waits_in_vain_at_a_full_target_finds_it_full():
    async with run_target(1, expects_reset=True) as (_, pool):
        first = asyncio.ensure_future(send(pool))
        await asyncio.sleep(0.03)
        assert testing.fails(await send(pool, 0.03), errors.QueueFull)
        assert (await first).unwrap().status == 204


# Guards against resets by each further request of a burst at a full target.
@testing.run_in_event_loop
async def test_requests_to_a_target_without_room_are_refused_as_not_run():
    async with run_target(0, expects_reset=True) as (target, pool):
        outcomes = [await send(pool) for _ in range(20)]
        refused = [outcome.failure() for outcome in outcomes]
        assert all(isinstance(failure, errors.QueueFull) for failure in refused)
        assert refused[0].retry_after <= acceptance.MIN_PAUSE
        assert target.resets == 1
        # The target is tried again after the pause.
        target.room = 1
        await asyncio.sleep(acceptance.MIN_PAUSE.total_seconds())
        assert (await send(pool)).unwrap().status == 204


# Guards against a wrong "not run" where no reset was expected and the request was sent,
# and against losing the next request in the same way.
@testing.run_in_event_loop
async def test_unexpected_reset_of_a_used_connection_leaves_the_outcome_open():
    async with run_target(0) as (target, pool):
        assert testing.fails(await send(pool), errors.ConnectionLost)
        await asyncio.sleep(acceptance.MIN_PAUSE.total_seconds())
        assert testing.fails(await send(pool), errors.QueueFull)
        assert pool.accepts.resets.counts == {"used": 1, "unused": 1}


# Guards against unused connections that keep a full target's other callers out.
@testing.run_in_event_loop
async def test_idle_connections_above_the_lowered_number_are_closed():
    async with run_target(4) as (target, pool):
        for outcome in await asyncio.gather(*(send(pool) for _ in range(4))):
            assert outcome.unwrap().status == 204
        pool.accepts.expects_reset = True
        await asyncio.gather(*(send(pool) for _ in range(5)))
        assert target.resets == 1
        assert len(pool.open_connections) == 2


# Guards against a changed pace of requests to targets that reset no connection.
@testing.run_in_event_loop
async def test_connections_of_a_target_with_room_are_opened_at_once():
    async with run_target(9) as (target, pool):
        began = time.monotonic()
        outcomes = await asyncio.gather(*(send(pool) for _ in range(6)))
        assert [outcome.unwrap().status for outcome in outcomes] == [204] * 6
        assert time.monotonic() - began < 2 * SERVICE_SECONDS
        assert len(pool.open_connections) == 6 and pool.accepts.limit is None
