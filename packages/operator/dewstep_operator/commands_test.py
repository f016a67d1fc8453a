import datetime
import json

import pytest
from returns import result

from dewstep_core import errors, records
from dewstep_operator import builders, failures, listings, propagation, rows


@pytest.fixture
def world(tmp_path):
    world = builders.World()
    path = tmp_path / "records.toml"
    path.write_text(builders.TWO_TARGETS)
    assert world.run("apply", str(path)).exit_code == 0
    world.put_fleet()
    return world


def run_json(world, *arguments, code=0):
    outcome = world.run("--json", *arguments)
    assert outcome.exit_code == code, outcome.output
    return json.loads(outcome.stdout)


def test_listings_agree_with_the_rows(world):
    (service,) = run_json(world, "services")
    assert (service["targets"], service["slots"], service["overrides"]) == (2, 8, 1)
    assert [
        (t["shards"], t["keys"], t["gate"]) for t in run_json(world, "targets")
    ] == [
        (3, 0, "ub1-a"),
        (1, 1, "ub1-b"),
    ]
    owned = [
        (item["target"], item["shard_count"], item["shards"], item["keys"])
        for item in run_json(world, "owners")
    ]
    assert owned == [("h1", 3, "0-2", []), ("h2", 1, "3", ["7"])]
    assert listings.format_shards([0, 2, 3, 4, 9]) == "0, 2-4, 9"
    run_json(world, "owners", "story", code=2)
    first, second = run_json(world, "entries")
    assert (first["entry"], first["revision"], first["gates"]) == ("ub1-a", 1, 1)
    assert second["reachable"]


def test_tables_for_people_keep_names_whole(world):
    for command in ("services", "targets", "owners", "show"):
        assert "history" in world.run(command).stdout
    assert "127.0.0.1:9002" in world.run("entries").stdout


def test_an_entry_process_that_only_a_gate_row_names_is_listed(world):
    # Without this, a process that no seed knows would be missing from --wait.
    world.entries.documents.clear()
    assert [item["reachable"] for item in run_json(world, "entries")] == [False, False]


def test_dump_tells_an_unknown_name_from_an_unreachable_process(world):
    assert run_json(world, "dump", "ub1-b")["gates"]["h2"]["running"] == 0
    run_json(world, "dump", "ub1-x", code=2)
    del world.entries.documents[builders.ADDRESS_B, "/dump"]
    run_json(world, "dump", "ub1-b", code=3)


def test_drain_ends_only_when_nothing_is_owned_and_nothing_runs(world):
    key = "assignment/history"
    world.put_dump(builders.ADDRESS_A, 2, "h1", 2)
    world.clock.events = [
        lambda: world.put(key, {"owners": ["h2"] * 4, "overrides": {}}),
        lambda: world.put_dump(builders.ADDRESS_A, 2, "h1", 0),
    ]
    outcome = world.run("drain", "h1")
    assert outcome.exit_code == 0, outcome.output
    assert outcome.stderr.splitlines() == [
        "target h1: 3 shards, 0 single keys, 2 requests running",
        "target h1: 0 shards, 0 single keys, 2 requests running",
        "target h1: 0 shards, 0 single keys, 0 requests running",
    ]
    assert world.run("drain", "h1", "--undo").exit_code == 0
    held = records.decode_configuration(world.get("configuration")).unwrap()
    assert (held.revision, held.targets["h1"].draining) == (3, False)


def test_a_table_that_fails_during_a_wait_does_not_hide_that_the_write_is_done(
    world, tmp_path
):
    # Code 3 would say that nothing was written.
    def stop():
        world.table.down = True

    world.clock.events = [stop]
    assert world.run("drain", "h1", "--limit", "5s").exit_code == 4
    world.table.down = False
    world.clock.events = [stop]
    path = tmp_path / "records.toml"
    path.write_text(builders.TWO_TARGETS.replace("slots = 4", "slots = 5"))
    assert world.run("apply", str(path), "--wait").exit_code == 4
    world.table.down = False
    assert run_json(world, "show")["revision"] == 3


def test_wait_leaves_out_only_processes_that_are_dead_and_silent(world):
    # A dead process would otherwise hold up every change until the limit.
    members = world.entries.documents[builders.ADDRESS_A, "/members"]["members"]
    dump = world.entries.documents.pop((builders.ADDRESS_B, "/dump"))
    session = world.open_session()
    wait = propagation.wait_in_force(session, 1, datetime.timedelta(seconds=1))
    outcome = builders.run_now(wait)
    assert outcome.failure().pending == ("ub1-b",)
    members[1]["alive"] = False
    wait = propagation.wait_in_force(session, 1, datetime.timedelta(seconds=1))
    assert isinstance(builders.run_now(wait), result.Success)
    world.entries.documents[builders.ADDRESS_B, "/dump"] = {**dump, "revision": 0}
    wait = propagation.wait_in_force(session, 1, datetime.timedelta(seconds=1))
    assert builders.run_now(wait).failure().pending == ("ub1-b",)


def test_drain_does_not_take_silence_of_the_gate_for_idleness(world):
    world.put("assignment/history", {"owners": ["h2"] * 4, "overrides": {}})
    del world.entries.documents[builders.ADDRESS_A, "/dump"]
    assert world.run("drain", "h1", "--limit", "5s").exit_code == 4
    assert world.run("drain", "h9").exit_code == 2


def test_a_second_drain_writes_no_revision(world):
    for _ in range(2):
        drained = run_json(world, "drain", "h1", "--no-wait")
        assert drained == {"target": "h1", "draining": True, "revision": 2}


def test_a_read_whose_answer_is_lost_has_a_known_outcome():
    # Code 4 would send the operator looking for a write that never was.
    lost = result.Failure(errors.AnswerLost("reset"))
    failure = rows.settle_read(lost).failure()
    assert isinstance(failure, errors.PlatformUnavailable)


def test_move_sends_the_order_to_the_gate_of_the_present_owner(world):
    moved = run_json(world, "move", "history", "h1", "--key", "7")
    assert (moved["before"], moved["after"]) == ("h2", "h1")
    run_json(world, "move", "history", "h2", "--shard", "0")
    assert world.entries.orders == [
        (builders.ADDRESS_B, {"service": "history", "key": "7", "target": "h1"}),
        (builders.ADDRESS_A, {"service": "history", "shard": 0, "target": "h2"}),
    ]


@pytest.mark.parametrize(
    "arguments",
    [("h1",), ("h1", "--shard", "1", "--key", "7"), ("h1", "--shard", "4"),
     ("h9", "--shard", "1"), ("h1", "--shard", "-1")],
)  # fmt: skip
def test_move_sends_no_order_that_makes_no_sense(world, arguments):
    assert world.run("move", "history", *arguments).exit_code == 2
    assert world.entries.orders == []


def test_move_gives_nothing_to_a_target_that_is_draining(world):
    world.run("drain", "h1", "--no-wait")
    assert world.run("move", "history", "h1", "--shard", "3").exit_code == 1
    assert world.entries.orders == []


def test_move_settles_a_lost_answer_by_the_assignment(world):
    def lose(order):
        return result.Failure(failures.EntryAnswerLost("a", "reset"))

    def move_and_lose(order):
        world.put("assignment/history", {"owners": ["h2"] * 4, "overrides": {}})
        return lose(order)

    arguments = ("move", "history", "h2", "--shard", "0")
    world.entries.on_order = lose
    assert world.run(*arguments).exit_code == 4
    world.entries.on_order = move_and_lose
    assert world.run(*arguments).exit_code == 0
    world.entries.on_order = lambda order: result.Failure(
        failures.OrderRefused("a", 409, "busy")
    )
    assert world.run("move", "history", "h1", "--shard", "0").exit_code == 1


def test_explain_names_each_step_from_key_to_gate(world):
    route = run_json(world, "explain", "history", "7")
    assert (route["override"], route["owner"], route["term"]) == ("h2", "h2", 2)
    assert route["gate_alive"] is True
    text = world.run("explain", "history", "8").stdout
    assert "shard" in text and "its peers hear ub1-" in text
    run_json(world, "explain", "story", "7", code=2)


def test_explain_notices_a_gate_that_restarted(world):
    members = world.entries.documents[builders.ADDRESS_A, "/members"]["members"]
    members[1]["incarnation"] = "i2"
    assert "now runs as incarnation i2" in world.run("explain", "history", "7").stdout
    world.put("gate/h2", None)
    assert "has no gate" in world.run("explain", "history", "7").stdout
    world.put("assignment/history", None)
    assert world.run("explain", "history", "7").exit_code == 1


def test_declare_dead_needs_the_name_and_states_the_consequence(world):
    world.answers = ["h1"]
    outcome = world.run("declare-dead", "h2")
    assert outcome.exit_code == 1
    assert "owns 1 shards" in outcome.stderr and "run twice" in outcome.stderr
    assert world.get("declared-dead/h2") is None
    assert world.run("declare-dead", "h2", "--yes", "h1").exit_code == 1
    world.answers = ["h2"]
    assert world.run("declare-dead", "h2").exit_code == 0
    row = world.get("declared-dead/h2")
    assert (row["operator"], row["term"]) == ("ana@desk", 2)


def test_declare_dead_does_not_apply_to_a_gate_that_the_operator_has_not_seen(world):
    async def succeed():
        gate = world.get("gate/h2")
        world.put("gate/h2", {**gate, "term": 3})

    world.table.before_commit = succeed
    assert world.run("declare-dead", "h2", "--yes", "h2").exit_code == 1
    assert world.get("declared-dead/h2") is None


def test_quarantine_release_deletes_only_the_row_that_was_seen(world):
    key = "quarantine/history/f1"
    world.put(key, {"crashes": 2, "state": "quarantined"})
    (item,) = run_json(world, "quarantine", "list")
    assert (item["service"], item["fingerprint"], item["crashes"]) == (
        "history",
        "f1",
        2,
    )

    async def crash_again():
        world.put(key, {"crashes": 3, "state": "quarantined"})

    world.table.before_commit = crash_again
    run_json(world, "quarantine", "release", "history", "f1", code=1)
    run_json(world, "quarantine", "release", "history", "f1")
    assert run_json(world, "quarantine", "list", "history") == []
    run_json(world, "quarantine", "release", "history", "f1", code=2)


def test_every_command_reports_a_table_that_is_down(world):
    world.table.down = True
    for arguments in (
        ("show",), ("services",), ("owners",), ("targets",), ("entries",),
        ("dump", "ub1-a"), ("drain", "h1"), ("explain", "history", "7"),
        ("move", "history", "h1", "--shard", "3"), ("declare-dead", "h1"),
        ("quarantine", "list"), ("quarantine", "release", "history", "f1"),
    ):  # fmt: skip
        assert world.run(*arguments).exit_code == 3, arguments


def test_a_row_of_another_form_is_reported_and_not_guessed(world):
    world.put("assignment/history", {"owners": []})
    assert world.run("owners").exit_code == 1
    world.put("gate/h1", {"entry": "ub1-a"})
    assert world.run("entries").exit_code == 1
