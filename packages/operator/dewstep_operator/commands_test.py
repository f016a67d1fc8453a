import datetime
import json

import pytest
from returns import result

from dewstep_core import errors, records
from dewstep_operator import builders, failures, listings, propagation, rows


@pytest.fixture
def deployment(tmp_path):
    deployment = builders.FakeDeployment()
    path = tmp_path / "records.toml"
    path.write_text(builders.TWO_TARGETS)
    assert deployment.run("apply", str(path)).exit_code == 0
    deployment.put_fleet()
    return deployment


def run_json(deployment, *arguments, code=0):
    outcome = deployment.run("--json", *arguments)
    assert outcome.exit_code == code, outcome.output
    return json.loads(outcome.stdout)


def test_listings_agree_with_the_rows(deployment):
    (service,) = run_json(deployment, "services")
    assert (service["targets"], service["slots"], service["overrides"]) == (2, 8, 1)
    assert [
        (t["shards"], t["keys"], t["gate"]) for t in run_json(deployment, "targets")
    ] == [
        (3, 0, "ub1-a"),
        (1, 1, "ub1-b"),
    ]
    owned = [
        (item["target"], item["shard_count"], item["shards"], item["keys"])
        for item in run_json(deployment, "owners")
    ]
    assert owned == [("h1", 3, "0-2", []), ("h2", 1, "3", ["7"])]
    assert listings.format_shards([0, 2, 3, 4, 9]) == "0, 2-4, 9"
    run_json(deployment, "owners", "story", code=2)
    first, second = run_json(deployment, "entries")
    assert (first["entry"], first["revision"], first["gates"]) == ("ub1-a", 1, 1)
    assert second["reachable"]


def test_tables_do_not_wrap_names(deployment):
    for command in ("services", "targets", "owners", "show"):
        assert "history" in deployment.run(command).stdout
    assert "127.0.0.1:9002" in deployment.run("entries").stdout


def test_an_entry_process_that_only_a_gate_row_names_is_listed(deployment):
    # Guards against --wait ignoring an entry process that no seed lists.
    deployment.entry_client.documents.clear()
    assert [item["reachable"] for item in run_json(deployment, "entries")] == [
        False,
        False,
    ]


def test_dump_distinguishes_an_unknown_name_from_an_unreachable_process(deployment):
    assert run_json(deployment, "dump", "ub1-b")["gates"]["h2"]["running"] == 0
    run_json(deployment, "dump", "ub1-x", code=2)
    del deployment.entry_client.documents[builders.ADDRESS_B, "/dump"]
    run_json(deployment, "dump", "ub1-b", code=3)


def test_drain_ends_only_when_nothing_is_owned_and_nothing_runs(deployment):
    key = "assignment/history"
    deployment.put_dump(builders.ADDRESS_A, 2, "h1", 2)
    deployment.clock.sleep_callbacks = [
        lambda: deployment.put_row(key, {"owners": ["h2"] * 4, "overrides": {}}),
        lambda: deployment.put_dump(builders.ADDRESS_A, 2, "h1", 0),
    ]
    outcome = deployment.run("drain", "h1")
    assert outcome.exit_code == 0, outcome.output
    assert outcome.stderr.splitlines() == [
        "target h1: 3 shards, 0 single keys, 2 requests running",
        "target h1: 0 shards, 0 single keys, 2 requests running",
        "target h1: 0 shards, 0 single keys, 0 requests running",
    ]
    assert deployment.run("drain", "h1", "--undo").exit_code == 0
    configuration = records.decode_configuration(
        deployment.get_value("configuration")
    ).unwrap()
    assert (configuration.revision, configuration.targets["h1"].draining) == (3, False)


def test_a_table_failure_during_a_wait_is_reported_as_an_unknown_outcome(
    deployment, tmp_path
):
    # Guards against exit code 3, which would mean that nothing was written.
    def stop_table():
        deployment.table.down = True

    deployment.clock.sleep_callbacks = [stop_table]
    assert deployment.run("drain", "h1", "--limit", "5s").exit_code == 4
    deployment.table.down = False
    deployment.clock.sleep_callbacks = [stop_table]
    path = tmp_path / "records.toml"
    path.write_text(builders.TWO_TARGETS.replace("slots = 4", "slots = 5"))
    assert deployment.run("apply", str(path), "--wait").exit_code == 4
    deployment.table.down = False
    assert run_json(deployment, "show")["revision"] == 3


def test_wait_ignores_only_processes_that_are_dead_and_do_not_answer(deployment):
    # Guards against a dead process delaying every change until the limit.
    members = deployment.entry_client.documents[builders.ADDRESS_A, "/members"][
        "members"
    ]
    dump = deployment.entry_client.documents.pop((builders.ADDRESS_B, "/dump"))
    session = deployment.open_session()
    wait = propagation.wait_until_in_force(session, 1, datetime.timedelta(seconds=1))
    outcome = builders.run_coroutine(wait)
    assert outcome.failure().pending == ("ub1-b",)
    members[1]["alive"] = False
    wait = propagation.wait_until_in_force(session, 1, datetime.timedelta(seconds=1))
    assert isinstance(builders.run_coroutine(wait), result.Success)
    deployment.entry_client.documents[builders.ADDRESS_B, "/dump"] = {
        **dump,
        "revision": 0,
    }
    wait = propagation.wait_until_in_force(session, 1, datetime.timedelta(seconds=1))
    assert builders.run_coroutine(wait).failure().pending == ("ub1-b",)


def test_drain_does_not_assume_an_idle_target_if_its_gate_does_not_answer(deployment):
    deployment.put_row("assignment/history", {"owners": ["h2"] * 4, "overrides": {}})
    del deployment.entry_client.documents[builders.ADDRESS_A, "/dump"]
    assert deployment.run("drain", "h1", "--limit", "5s").exit_code == 4
    assert deployment.run("drain", "h9").exit_code == 2


def test_a_second_drain_writes_no_revision(deployment):
    for _ in range(2):
        drained = run_json(deployment, "drain", "h1", "--no-wait")
        assert drained == {"target": "h1", "draining": True, "revision": 2}


def test_a_read_whose_answer_is_lost_has_a_known_outcome():
    # Guards against exit code 4, which would mean that something may have been written.
    lost = result.Failure(errors.AnswerLost("reset"))
    failure = rows.convert_lost_read(lost).failure()
    assert isinstance(failure, errors.PlatformUnavailable)


def test_move_sends_the_order_to_the_gate_of_the_present_owner(deployment):
    report = run_json(deployment, "move", "history", "h1", "--key", "7")
    assert (report["before"], report["after"]) == ("h2", "h1")
    run_json(deployment, "move", "history", "h2", "--shard", "0")
    assert deployment.entry_client.orders == [
        (builders.ADDRESS_B, {"service": "history", "key": "7", "target": "h1"}),
        (builders.ADDRESS_A, {"service": "history", "shard": 0, "target": "h2"}),
    ]


@pytest.mark.parametrize(
    "arguments",
    [("h1",), ("h1", "--shard", "1", "--key", "7"), ("h1", "--shard", "4"),
     ("h9", "--shard", "1"), ("h1", "--shard", "-1")],
)  # fmt: skip
def test_move_sends_no_invalid_order(deployment, arguments):
    assert deployment.run("move", "history", *arguments).exit_code == 2
    assert deployment.entry_client.orders == []


def test_move_sends_no_order_for_a_draining_target(deployment):
    deployment.run("drain", "h1", "--no-wait")
    assert deployment.run("move", "history", "h1", "--shard", "3").exit_code == 1
    assert deployment.entry_client.orders == []


def test_move_determines_the_outcome_of_a_lost_answer_from_the_assignment(deployment):
    def lose_answer(order):
        return result.Failure(failures.EntryAnswerLost("a", "reset"))

    def move_and_lose_answer(order):
        deployment.put_row(
            "assignment/history", {"owners": ["h2"] * 4, "overrides": {}}
        )
        return lose_answer(order)

    arguments = ("move", "history", "h2", "--shard", "0")
    deployment.entry_client.on_order = lose_answer
    assert deployment.run(*arguments).exit_code == 4
    deployment.entry_client.on_order = move_and_lose_answer
    assert deployment.run(*arguments).exit_code == 0
    deployment.entry_client.on_order = lambda order: result.Failure(
        failures.OrderRefused("a", 409, "busy")
    )
    assert deployment.run("move", "history", "h1", "--shard", "0").exit_code == 1


def test_explain_shows_each_step_from_key_to_gate(deployment):
    route = run_json(deployment, "explain", "history", "7")
    assert (route["override"], route["owner"], route["term"]) == ("h2", "h2", 2)
    assert route["gate_alive"] is True
    text = deployment.run("explain", "history", "8").stdout
    assert "shard" in text and "its peers hear ub1-" in text
    run_json(deployment, "explain", "story", "7", code=2)


def test_explain_detects_a_restarted_gate(deployment):
    members = deployment.entry_client.documents[builders.ADDRESS_A, "/members"][
        "members"
    ]
    members[1]["incarnation"] = "i2"
    assert (
        "now runs as incarnation i2" in deployment.run("explain", "history", "7").stdout
    )
    deployment.put_row("gate/h2", None)
    assert "has no gate" in deployment.run("explain", "history", "7").stdout
    deployment.put_row("assignment/history", None)
    assert deployment.run("explain", "history", "7").exit_code == 1


def test_declare_dead_needs_the_name_and_states_the_consequence(deployment):
    deployment.prompt_answers = ["h1"]
    outcome = deployment.run("declare-dead", "h2")
    assert outcome.exit_code == 1
    assert "owns 1 shards" in outcome.stderr and "run twice" in outcome.stderr
    assert deployment.get_value("declared-dead/h2") is None
    assert deployment.run("declare-dead", "h2", "--yes", "h1").exit_code == 1
    deployment.prompt_answers = ["h2"]
    assert deployment.run("declare-dead", "h2").exit_code == 0
    row = deployment.get_value("declared-dead/h2")
    assert (row["operator"], row["term"]) == ("ana@desk", 2)


def test_declare_dead_does_not_apply_to_a_later_gate(deployment):
    async def replace_gate():
        gate = deployment.get_value("gate/h2")
        deployment.put_row("gate/h2", {**gate, "term": 3})

    deployment.table.before_commit = replace_gate
    assert deployment.run("declare-dead", "h2", "--yes", "h2").exit_code == 1
    assert deployment.get_value("declared-dead/h2") is None


def test_quarantine_release_deletes_only_the_version_that_was_read(deployment):
    key = "quarantine/history/f1"
    deployment.put_row(key, {"crashes": 2, "state": "quarantined"})
    (item,) = run_json(deployment, "quarantine", "list")
    assert (item["service"], item["fingerprint"], item["crashes"]) == (
        "history",
        "f1",
        2,
    )

    async def crash_again():
        deployment.put_row(key, {"crashes": 3, "state": "quarantined"})

    deployment.table.before_commit = crash_again
    run_json(deployment, "quarantine", "release", "history", "f1", code=1)
    run_json(deployment, "quarantine", "release", "history", "f1")
    assert run_json(deployment, "quarantine", "list", "history") == []
    run_json(deployment, "quarantine", "release", "history", "f1", code=2)


def test_every_command_reports_a_table_that_is_down(deployment):
    deployment.table.down = True
    for arguments in (
        ("show",), ("services",), ("owners",), ("targets",), ("entries",),
        ("dump", "ub1-a"), ("drain", "h1"), ("explain", "history", "7"),
        ("move", "history", "h1", "--shard", "3"), ("declare-dead", "h1"),
        ("quarantine", "list"), ("quarantine", "release", "history", "f1"),
    ):  # fmt: skip
        assert deployment.run(*arguments).exit_code == 3, arguments


def test_a_row_of_unexpected_format_is_reported(deployment):
    deployment.put_row("assignment/history", {"owners": []})
    assert deployment.run("owners").exit_code == 1
    deployment.put_row("gate/h1", {"entry": "ub1-a"})
    assert deployment.run("entries").exit_code == 1
