"""Tests of the emulated instance list: delayed visibility and malformed changes."""

import pytest

from dewstep_emulator import instance_list, program, testing


def build(name, state="live"):
    place = {"data_centre": "dc1", "address": "127.0.0.1:1", "role": "target"}
    return {"instance": name, "state": state, **place}


def test_changes_become_visible_after_the_lag_in_order():
    listed = instance_list.LaggingList([build("a")])
    listed.change({"update": [build("b")]}, 10.0)
    listed.change({"update": [build("a", "leaving")], "remove": ["b"]}, 11.0)
    shown = [listed.show(now, 3.0).instances for now in (12.9, 13.0, 14.0)]
    assert [sorted(item) for item in shown] == [["a"], ["a", "b"], ["a"]]
    assert shown[2]["a"]["state"] == "leaving"
    assert listed.change({"instances": []}, 20.0).revision == 4
    assert listed.get_newest().instances == {}


@pytest.mark.parametrize(
    "change",
    [None, {}, {"add": []}, {"update": [{}]}, {"update": [build("a", "dead")]}],
)
def test_find_form_error_reports_malformed_changes(change):
    assert instance_list.find_form_error(change)
    assert not instance_list.find_form_error({"instances": [build("a")]})


@testing.run_in_event_loop
async def test_list_can_be_frozen_and_changed_while_down():
    service = instance_list.InstanceList(0.0, [])
    async with (
        program.serving(service) as address,
        testing.calling(address) as caller,
        testing.calling(service.control.address) as control,
    ):

        async def count():
            answer = (await caller.call("GET", "/instances")).unwrap()
            return answer.status, len(answer.read_json().get("instances", ()))

        await control.call_json("POST", "/faults", {"frozen": True, "down": "503"})
        change = {"update": [build("a")]}
        answer = await control.call_json("POST", "/instances", change)
        assert answer.unwrap().read_json() == {"revision": 2}
        assert await count() == (503, 0)
        await control.call_json("POST", "/faults", {"down": None})
        assert await count() == (200, 0)
        await control.call_json("POST", "/faults", {"frozen": False})
        assert await count() == (200, 1)
