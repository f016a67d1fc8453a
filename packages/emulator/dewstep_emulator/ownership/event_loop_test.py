"""Tests of the event loop with a virtual clock."""

import asyncio
import datetime
import random
import subprocess
import sys
import time

import pytest

from dewstep_emulator.ownership import event_loop

SECOND = datetime.timedelta(seconds=1)


def build_process(loop, name="p", **options):
    return event_loop.Process(name, f"host-{name}", loop.now, **options)


# Guards against a simulation that takes as long as the time that it simulates.
def test_time_advances_without_waiting():
    async def main(loop):
        await event_loop.LoopClock(loop).sleep(3600 * SECOND)
        return loop.now

    began = time.monotonic()
    assert event_loop.run(main) == pytest.approx(3600)
    assert time.monotonic() - began < 5


# Guards against time-outs that do not end a wait.
def test_timeout_ends_a_wait():
    async def main(loop):
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(2.5):
                await loop.create_future()
        return loop.now

    assert event_loop.run(main) == pytest.approx(2.5)


# Guards against a test that hangs instead of failing.
def test_wait_without_timers_is_an_error():
    async def main(loop):
        await loop.create_future()

    with pytest.raises(RuntimeError):
        event_loop.run(main)


def record_order(seed):
    async def main(loop):
        order = []

        async def note(number):
            await asyncio.sleep(1)
            order.append(number)

        await asyncio.gather(*(note(number) for number in range(8)))
        return order

    return event_loop.run(main, seed)


# Guards against schedules that are never tried, and against unrepeatable ones.
def test_seed_orders_timers_that_are_due_together():
    orders = [record_order(seed) for seed in range(5)]
    assert orders == [record_order(seed) for seed in range(5)]
    assert len({tuple(order) for order in orders}) > 1


# Guards against another order of ready callbacks than that of asyncio.
def test_ready_callbacks_run_in_their_order():
    async def main(loop):
        order = []
        for number in range(8):
            loop.call_soon(order.append, number)
        await asyncio.sleep(0)
        return order

    assert event_loop.run(main) == list(range(8))


# Guards against sets of futures and tasks that are ordered by address.
def test_sets_of_futures_and_tasks_have_a_repeatable_order():
    async def main(loop):
        waiters = [loop.create_future() for _ in range(20)]
        tasks = [asyncio.ensure_future(asyncio.sleep(0)) for _ in range(20)]
        numbers = {item: position for position, item in enumerate([*waiters, *tasks])}
        await asyncio.gather(*tasks)
        return [numbers[item] for item in set(waiters) | set(tasks)]

    # The objects between the runs change the addresses.
    first = event_loop.run(main)
    kept = [object() for _ in range(random.Random(1).randrange(1000))]
    assert event_loop.run(main) == first
    assert kept


# Guards against a frozen process that does some of its work.
def test_frozen_process_runs_nothing_until_it_resumes():
    async def main(loop):
        times = []

        async def tick():
            while True:
                await asyncio.sleep(1)
                times.append(loop.now)

        process = build_process(loop)
        loop.spawn(process, tick())
        await asyncio.sleep(2.5)
        loop.freeze(process)
        await asyncio.sleep(4)
        loop.resume(process)
        await asyncio.sleep(1.2)
        return times

    assert event_loop.run(main) == pytest.approx([1, 2, 6.5, 7.5])


# Guards against processes that only freeze when they are idle.
def test_process_freezes_between_two_callbacks():
    async def main(loop):
        steps = []

        async def work():
            for number in range(5):
                steps.append(number)
                await asyncio.sleep(0)

        process = build_process(loop)
        loop.spawn(process, work())
        loop.freeze(process, 2)
        await asyncio.sleep(1)
        frozen_after = len(steps)
        loop.resume(process)
        await asyncio.sleep(1)
        return frozen_after, len(steps)

    assert event_loop.run(main) == (2, 5)


# Guards against a resumed process that sees its time-outs before its messages.
def test_messages_are_received_before_timers_after_a_freeze():
    async def main(loop):
        order = []
        process = build_process(loop)
        process.context.run(loop.call_later, 1, order.append, "timer")
        loop.freeze(process)
        await asyncio.sleep(2)
        loop.call_soon(order.append, "message", context=process.context)
        await asyncio.sleep(1)
        loop.resume(process)
        await asyncio.sleep(1)
        return order

    assert event_loop.run(main) == ["message", "timer"]


# Guards against a killed process that still acts.
def test_ended_process_runs_nothing():
    async def main(loop):
        steps = []

        async def work():
            try:
                await asyncio.sleep(1)
            finally:
                steps.append("ended")

        process = build_process(loop)
        loop.spawn(process, work())
        await asyncio.sleep(0.5)
        loop.end(process)
        await asyncio.sleep(2)
        return list(steps)

    assert event_loop.run(main) == []


# Guards against clocks that all run alike.
def test_clock_of_a_process_drifts():
    async def main(loop):
        clock = event_loop.LoopClock(loop)

        async def work():
            began = clock.monotonic()
            await clock.sleep(10 * SECOND)
            return clock.monotonic() - began, loop.now

        process = build_process(loop, clock_rate=1.02, clock_start=500)
        return await loop.spawn(process, work())

    lasted, ended_at = event_loop.run(main)
    assert lasted / SECOND == pytest.approx(10)
    assert ended_at == pytest.approx(10 / 1.02)


# Guards against tasks of a process that escape into another one.
def test_tasks_inherit_their_process():
    async def main(loop):
        async def nested():
            return event_loop.current_process.get()

        async def work():
            return await asyncio.ensure_future(nested())

        process = build_process(loop)
        assert event_loop.current_process.get() is None
        return await loop.spawn(process, work()) is process

    assert event_loop.run(main)


# Guards against lost errors.
def test_error_of_a_callback_is_kept():
    async def main(loop):
        loop.call_soon(int, "x")
        await asyncio.sleep(1)
        return [type(item["exception"]) for item in loop.failures]

    assert event_loop.run(main) == [ValueError]


# Guards against warnings about killed processes after a run.
def test_closing_is_silent():
    code = """
import asyncio
from dewstep_emulator.ownership import event_loop

async def main(loop):
    process = event_loop.Process("p", "h", loop.now)
    loop.spawn(process, asyncio.sleep(1))
    loop.end(process)
    loop.spawn(event_loop.Process("q", "h", loop.now), asyncio.sleep(9))
    await asyncio.sleep(0.5)

event_loop.run(main)
"""
    outcome = subprocess.run(
        [sys.executable, "-X", "dev", "-c", code], capture_output=True, timeout=60
    )
    assert (outcome.returncode, outcome.stderr) == (0, b"")
