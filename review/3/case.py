"""Machines are replaced by planned work; later all processes and workers are lost once.

Exits with 1 if RECOVER is broken, 0 if it holds, 2 if the case cannot run.
"""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REPLACEMENTS = int(os.environ.get("REPLACEMENTS", "6"))
LOST = int(os.environ.get("LOST", "0"))
"""Another way to the same state: machines that are lost for good at once, and that are
not replaced."""
MACHINES, WORKERS = 3, 4
RATE = 20
DOWN_S = 1.2
"""Time after which the killed processes start again, as `down_s` of the site files."""
WORKERS_DOWN_S = 3.0
RECOVER_S = 15.0
WINDOW_S = 8.0


class Traffic:
    """Requests for random keys at a steady rate, of one kind that may be repeated."""

    def __init__(self, balancer, record):
        self.balancer, self.record = balancer, record
        self.sent = []
        """Time and status of each answered request."""
        self.tasks = set()

    async def run(self):
        while True:
            task = asyncio.create_task(self.send())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / RATE)

    async def send(self):
        at = time.monotonic()
        machine = self.balancer.choose()
        key = random.randrange(65536)
        request_id, status, headers, body = await standins.send_request(
            machine, "GET", "/cars/7", "dealer.example", [("X-Shard-Key", str(key))]
        )
        served = (
            status == 200
            and "x-upstream-signature" in headers
            and body == f"bytes of {request_id}".encode()
        )
        self.sent.append((at, served))
        self.record.write(f"request {request_id} key {key} at {machine.node}: {status}")

    def measure(self, first, last):
        """Return the served share of the requests sent in a span, and their number."""
        chosen = [served for at, served in self.sent if first <= at < last]
        return (sum(chosen) / len(chosen) if chosen else 0.0), len(chosen)


async def main():
    record = standins.Record(FOLDER)
    async with standins.running(record) as (folder, machines):
        store = standins.Store("127.0.0.1", record)
        await store.start()
        rules = [standins.build_rule("r-1", "idempotent", "/cars/", "history")]
        services = [("history", True)]
        store.put("op", "config", standins.build_manifest(3, services, rules))

        async def start_worker(number):
            worker = standins.Worker("127.0.2.%d" % number, "history", store, record)
            await worker.begin()
            return worker

        workers = [await start_worker(n + 1) for n in range(WORKERS)]
        balancer = standins.Balancer()

        async def add_machine(number):
            machine = standins.Machine(
                f"edge-{number}", f"127.0.1.{number}", store, record, folder
            )
            machines.append(machine)
            await machine.start()
            balancer.machines.append(machine)
            return machine

        live = [await add_machine(n + 1) for n in range(MACHINES)]
        balancer.start()
        await standins.wait_until(
            lambda: all(item.in_rotation for item in live), 20, "ready machine"
        )
        traffic = Traffic(balancer, record)
        sending = asyncio.create_task(traffic.run())
        # Planned work: a machine is removed for good, and a new one comes at another
        # address, the new one first.
        for number in range(REPLACEMENTS):
            machine = await add_machine(MACHINES + 1 + number)
            await standins.wait_until(
                lambda: machine.in_rotation, 15, "ready machine"
            )
            leaving = live.pop(0)
            live.append(machine)
            await leaving.end()
            balancer.machines.remove(leaving)
            record.say(f"machine {leaving.node} was replaced by {machine.node}")
        for number in range(LOST):
            leaving = live.pop(0)
            leaving.signal(signal.SIGKILL)
            balancer.machines.remove(leaving)
            record.say(f"machine {leaving.node} is lost for good")
        await asyncio.sleep(WINDOW_S + 10.0 * bool(LOST))
        before, count = traffic.measure(time.monotonic() - 5.0, time.monotonic() - 1.0)
        record.say(f"before the final fault: {before:.2f} of {count} requests served")
        if before < 0.25:
            return 2
        store.put("op", "config", standins.build_manifest(4, services, rules))
        record.say("manifest 4 acknowledged")
        if TROUBLE:
            for machine in live:
                machine.signal(signal.SIGKILL)
            for worker in workers:
                worker.crash()
            await asyncio.sleep(DOWN_S)
            for machine in live:
                await machine.start()
            await asyncio.sleep(WORKERS_DOWN_S - DOWN_S)
            workers = [await start_worker(WORKERS + n + 1) for n in range(WORKERS)]
            record.say("the machines and the workers are back")
        back = time.monotonic()
        await asyncio.sleep(RECOVER_S + WINDOW_S + 3.0)
        first = back + RECOVER_S
        after, count = traffic.measure(first, first + WINDOW_S)
        record.say(f"after the recovery: {after:.2f} of {count} requests served")
        sending.cancel()
        broken = after < 0.25
        record.say("RECOVER is broken" if broken else "RECOVER holds")
        return 1 if broken else 0


if __name__ == "__main__":
    standins.run_case(main)
