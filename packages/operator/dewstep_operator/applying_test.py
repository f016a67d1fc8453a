import pytest
import pytest_bdd
from pytest_bdd import parsers

from dewstep_core import data, records
from dewstep_operator import applying, builders

pytest_bdd.scenarios("applying.feature")

TEXTS = {
    "no target": builders.RECORDS[: builders.RECORDS.index("[[target]]")],
    "one target": builders.RECORDS,
    "two targets": builders.TWO_TARGETS,
    "more shards": builders.RECORDS.replace("shard_count = 4", "shard_count = 8"),
    "an invalid record": builders.RECORDS.replace("slots = 4", "slots = 0"),
}


@pytest.fixture
def deployment():
    return builders.FakeDeployment()


@pytest.fixture
def write_file(tmp_path):
    def write(what):
        path = tmp_path / f"{what.replace(' ', '-')}.toml"
        path.write_text(TEXTS[what])
        return str(path)

    return write


@pytest_bdd.given(parsers.re("(?P<what>one target|two targets) (?:is|are) in force"))
def put_in_force(deployment, write_file, what):
    assert deployment.run("apply", write_file(what)).exit_code == 0


@pytest_bdd.given("Bat applies two targets while Ana's command is about to write")
def write_before_commit(deployment, write_file):
    bat = deployment.open_session("bat@desk")

    async def apply():
        applied = await applying.apply_files(bat, [write_file("two targets")])
        assert applied.unwrap().document["revision"] == 2

    deployment.table.before_commit = apply


@pytest_bdd.given("the next answer of the table is lost")
def lose_answer(deployment):
    deployment.table.lose_next_answer = True


@pytest_bdd.given("the next request to the table is lost")
def lose_request(deployment):
    deployment.table.lose_next_request = True


@pytest_bdd.given("the next answer of the table is lost and the table goes down")
def lose_answer_and_stop_table(deployment):
    deployment.table.lose_next_answer = True
    deployment.table.down_after_loss = True


@pytest_bdd.given("Bat applies two targets right after the loss")
def write_after_loss(deployment, write_file):
    # The first attempt to read the row back fails; Bat writes before the second one.
    deployment.table.down_after_loss = True

    async def write():
        deployment.table.down = deployment.table.down_after_loss = False
        bat = deployment.open_session("bat@desk")
        applied = await applying.apply_files(bat, [write_file("two targets")])
        assert applied.unwrap().document["revision"] == 2

    deployment.clock.sleep_callbacks = [write]


@pytest_bdd.given("the table is down")
def stop_table(deployment):
    deployment.table.down = True


@pytest_bdd.given("h1 is draining")
def drain(deployment):
    assert deployment.run("drain", "h1", "--no-wait").exit_code == 0


@pytest_bdd.given("the fleet is running")
def start_fleet(deployment):
    deployment.put_fleet()


@pytest_bdd.given("h2 owns nothing until Ana's command is about to write")
def move_before_commit(deployment):
    key = "assignment/history"
    deployment.put_row(key, {"owners": ["h1"] * 4, "overrides": {}})

    async def move():
        deployment.put_row(key, {"owners": ["h2"] * 4, "overrides": {}})

    deployment.table.before_commit = move


@pytest_bdd.given("the entry processes load revision 2 one after the other")
def load_revision_one_after_the_other(deployment):
    deployment.clock.sleep_callbacks = [
        lambda: deployment.put_dump(builders.ADDRESS_A, 2, "h1", 0),
        lambda: deployment.put_dump(builders.ADDRESS_B, 2, "h2", 0),
    ]


@pytest_bdd.when(
    parsers.re(
        "Ana applies (?P<what>no target|one target|two targets|more shards|"
        "an invalid record)(?: with (?P<option>.+))?"
    ),
    target_fixture="outcome",
)
def apply(deployment, write_file, what, option):
    options = option.split() if option else []
    return deployment.run("apply", write_file(what), *options)


@pytest_bdd.then(parsers.parse("the command exits with {code:d}"))
def check_code(outcome, code):
    assert outcome.exit_code == code, outcome.output


@pytest_bdd.then(
    parsers.parse("the message names revision {revision:d}, {author} and {day}")
)
def check_message(outcome, revision, author, day):
    assert (
        f"lost to revision {revision}, applied by {author} at {day}" in outcome.stderr
    )


@pytest_bdd.then(
    parsers.parse("revision {revision:d} with targets {names} is in the table")
)
def check_table(deployment, revision, names):
    configuration = records.decode_configuration(
        deployment.get_value("configuration")
    ).unwrap()
    assert (configuration.revision, sorted(configuration.targets)) == (
        revision,
        names.split(),
    )


@pytest_bdd.then("nothing is in the table")
def check_empty(deployment):
    assert deployment.table.values == {}


@pytest_bdd.then("h1 is still draining")
def check_draining(deployment):
    configuration = records.decode_configuration(
        deployment.get_value("configuration")
    ).unwrap()
    assert configuration.targets["h1"].draining


@pytest_bdd.then("progress goes from 0 to 1 to 2 entry processes")
def check_progress(outcome):
    counts = [line.split(" in force in ")[1] for line in outcome.stderr.splitlines()]
    assert counts == [f"{number} of 2 entry processes" for number in range(3)]


def test_check_reports_every_problem_of_every_file(deployment, write_file, tmp_path):
    good, bad = write_file("one target"), write_file("an invalid record")
    assert deployment.run("check", good).exit_code == 0
    outcome = deployment.run("--json", "check", bad, str(tmp_path / "missing"))
    assert outcome.exit_code == 2
    assert outcome.stdout.count('"type": "FieldWrong"') == 2


def test_diff_shows_changes_and_writes_nothing(deployment, write_file):
    deployment.run("apply", write_file("one target"))
    before = dict(deployment.table.versions)
    outcome = deployment.run("--json", "diff", write_file("two targets"))
    assert '{"change": "added", "record": "target", "name": "h2"}' in outcome.stdout
    assert deployment.table.versions == before


def test_show_names_who_applied_the_revision(deployment, write_file):
    assert deployment.run("show").exit_code == 1
    deployment.run("apply", write_file("one target"))
    assert "revision 1, applied by ana@desk" in deployment.run("show").stdout
    assert '"deadline_ms": 1500' in deployment.run("--json", "show").stdout


def test_a_malformed_row_is_never_overwritten(deployment, write_file):
    deployment.put_row("configuration", {"revision": 1, "records": {"service": 3}})
    assert deployment.run("apply", write_file("one target")).exit_code == 1
    assert deployment.table.get_row("configuration").version == 1


def test_keep_draining_allows_records_to_end_a_drain_explicitly():
    parsed = records.parse_texts(
        [("", builders.RECORDS + "draining = false\n")]
    ).unwrap()
    targets = {"h1": parsed.targets["h1"]._replace(draining=True)}
    current = data.Configuration(1, parsed.services, targets)
    assert not applying.keep_draining(parsed, current).targets["h1"].draining


def test_a_target_that_owns_keys_cannot_change_its_service(deployment, tmp_path):
    service = builders.RECORDS[: builders.RECORDS.index("[[target]]")]
    both = builders.TWO_TARGETS + service.replace("history", "story")
    path = tmp_path / "records.toml"
    path.write_text(both)
    assert deployment.run("apply", str(path)).exit_code == 0
    deployment.put_fleet()
    path.write_text(both.replace('service = "history"', 'service = "story"', 1))
    outcome = deployment.run("apply", str(path))
    assert (outcome.exit_code, "h1 still owns" in outcome.stderr) == (1, True)
