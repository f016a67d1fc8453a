"""Tests of the emulated services' base classes: faults, ports and signals."""

import asyncio
import contextlib
import json
import signal
import subprocess
import sys
import urllib.request

import pytest

from dewstep_core import errors
from dewstep_emulator import program, testing


class EffectService(program.PlatformService):
    def __init__(self):
        super().__init__()
        self.effects = 0
        self.add_route("POST", "/effects", self.act)

    async def act(self, call):
        self.effects += 1
        return program.exchanges.build_json(200, self.effects)


@contextlib.asynccontextmanager
async def serve_with_clients():
    """Yield a service and clients of its main and its control port."""
    service = EffectService()
    headers = (("Dewstep-Data-Centre", "dc1"), ("Dewstep-Entry", "e1"))
    async with (
        program.serving(service) as address,
        testing.calling(address, headers=headers) as caller,
        testing.calling(service.control.address) as control,
    ):
        yield service, caller, control


@testing.run_in_event_loop
async def test_control_port_ends_the_refusal_of_connections():
    async with serve_with_clients() as (service, caller, control):
        await caller.call("POST", "/effects")
        await control.call_json("POST", "/faults", {"down": "refuse"})
        # Wait for the reset of the idle connection; a call sent before it arrives
        # would have an unknown outcome.
        await asyncio.sleep(0.05)
        failure = (await caller.call("POST", "/effects")).failure()
        assert isinstance(failure, errors.PlatformUnavailable)
        answer = await control.call_json("POST", "/faults", {"down": None})
        assert answer.unwrap().read_json()["down"] == ""
        assert (await caller.call("POST", "/effects")).unwrap().read_json() == 2


@testing.run_in_event_loop
async def test_cut_delays_calls_until_it_ends():
    # Guards against cuts during which calls from the other side take effect.
    async with serve_with_clients() as (service, caller, control):
        await control.call_json("POST", "/faults", {"cut": {"data_centres": ["dc1"]}})
        held = asyncio.ensure_future(caller.call("POST", "/effects"))
        assert (await control.call("GET", "/effects")).unwrap().status == 404
        await asyncio.sleep(0.05)
        assert service.effects == 0
        await control.call_json("POST", "/faults", {"cut": None})
        assert (await held).unwrap().read_json() == 1
        cut = {"entries": ["e1"], "mode": "close"}
        await control.call_json("POST", "/faults", {"cut": cut})
        assert testing.fails(await caller.call("POST", "/effects"), errors.AnswerLost)
        assert service.effects == 1


@testing.run_in_event_loop
async def test_calls_take_effect_despite_lost_answers_and_delays():
    async with serve_with_clients() as (service, caller, control):
        lose = {"lose_answers": {"count": 1}}
        answer = await caller.call_json("POST", "/faults", lose)
        assert answer.unwrap().status == 200
        assert testing.fails(await caller.call("POST", "/effects"), errors.AnswerLost)
        assert service.effects == 1
        # The call takes effect although the caller has closed the connection.
        await caller.call_json("POST", "/faults", {"delay": 0.1})
        await caller.call("POST", "/effects", timeout=0.02)
        await asyncio.sleep(0.15)
        assert service.effects == 2
        answer = await caller.call_json("POST", "/faults", {"slowness": 1})
        assert answer.unwrap().status == 400


@pytest.mark.parametrize("module", ["table_service", "object_store", "instance_list"])
def test_programs_print_their_ports_and_stop_on_sigterm(module):
    command = [sys.executable, "-m", f"dewstep_emulator.{module}"]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            line = json.loads(process.stdout.readline())
            for port in (line["port"], line["control_port"]):
                url = f"http://{line['host']}:{port}/faults"
                with urllib.request.urlopen(url, timeout=2) as answer:
                    assert json.load(answer)["down"] == ""
            process.send_signal(signal.SIGTERM)
            assert process.wait(5) == 0
        finally:
            process.kill()
