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
    "a wrong record": builders.RECORDS.replace("slots = 4", "slots = 0"),
}


@pytest.fixture
def world():
    return builders.World()


@pytest.fixture
def write_file(tmp_path):
    def write(what):
        path = tmp_path / f"{what.replace(' ', '-')}.toml"
        path.write_text(TEXTS[what])
        return str(path)

    return write


@pytest_bdd.given(parsers.re("(?P<what>one target|two targets) is in force"))
def put_in_force(world, write_file, what):
    assert world.run("apply", write_file(what)).exit_code == 0


@pytest_bdd.given("Bat applies two targets while Ana's command is about to write")
def race(world, write_file):
    bat = world.open_session("bat@desk")

    async def apply():
        applied = await applying.apply_files(bat, [write_file("two targets")])
        assert applied.unwrap().document["revision"] == 2

    world.table.before_commit = apply


@pytest_bdd.given("the next answer of the table is lost")
def lose_answer(world):
    world.table.lose_next_answer = True


@pytest_bdd.given("the next request to the table is lost")
def lose_request(world):
    world.table.lose_next_request = True


@pytest_bdd.given("the next answer of the table is lost and the table goes down")
def lose_answer_for_good(world):
    world.table.lose_next_answer = True
    world.table.down_after_loss = True


@pytest_bdd.given("Bat applies two targets right after the loss")
def write_after_loss(world, write_file):
    # The first read back fails, so that Bat's write comes before the second.
    world.table.down_after_loss = True

    async def write():
        world.table.down = world.table.down_after_loss = False
        bat = world.open_session("bat@desk")
        applied = await applying.apply_files(bat, [write_file("two targets")])
        assert applied.unwrap().document["revision"] == 2

    world.clock.events = [write]


@pytest_bdd.given("the table is down")
def stop_table(world):
    world.table.down = True


@pytest_bdd.given("h1 is draining")
def drain(world):
    assert world.run("drain", "h1", "--no-wait").exit_code == 0


@pytest_bdd.given("the fleet is running")
def start_fleet(world):
    world.put_fleet()


@pytest_bdd.given("h2 owns nothing until Ana's command is about to write")
def move_late(world):
    key = "assignment/history"
    world.put(key, {"owners": ["h1"] * 4, "overrides": {}})

    async def move():
        world.put(key, {"owners": ["h2"] * 4, "overrides": {}})

    world.table.before_commit = move


@pytest_bdd.given("the entry processes take over revision 2 one after the other")
def take_over(world):
    world.clock.events = [
        lambda: world.put_dump(builders.ADDRESS_A, 2, "h1", 0),
        lambda: world.put_dump(builders.ADDRESS_B, 2, "h2", 0),
    ]


@pytest_bdd.when(
    parsers.re(
        "Ana applies (?P<what>no target|one target|two targets|more shards|"
        "a wrong record)(?: with (?P<option>.+))?"
    ),
    target_fixture="outcome",
)
def apply(world, write_file, what, option):
    options = option.split() if option else []
    return world.run("apply", write_file(what), *options)


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
def check_table(world, revision, names):
    held = records.decode_configuration(world.get("configuration")).unwrap()
    assert (held.revision, sorted(held.targets)) == (revision, names.split())


@pytest_bdd.then("nothing is in the table")
def check_empty(world):
    assert world.table.values == {}


@pytest_bdd.then("h1 is still draining")
def check_draining(world):
    held = records.decode_configuration(world.get("configuration")).unwrap()
    assert held.targets["h1"].draining


@pytest_bdd.then("progress goes from 0 to 1 to 2 entry processes")
def check_progress(outcome):
    counts = [line.split(" in force in ")[1] for line in outcome.stderr.splitlines()]
    assert counts == [f"{number} of 2 entry processes" for number in range(3)]


def test_check_reports_every_problem_of_every_file(world, write_file, tmp_path):
    good, bad = write_file("one target"), write_file("a wrong record")
    assert world.run("check", good).exit_code == 0
    outcome = world.run("--json", "check", bad, str(tmp_path / "missing"))
    assert outcome.exit_code == 2
    assert outcome.stdout.count('"type": "FieldWrong"') == 2


def test_diff_shows_changes_and_writes_nothing(world, write_file):
    world.run("apply", write_file("one target"))
    before = dict(world.table.versions)
    outcome = world.run("--json", "diff", write_file("two targets"))
    assert '{"change": "added", "record": "target", "name": "h2"}' in outcome.stdout
    assert world.table.versions == before


def test_show_names_who_applied_the_revision(world, write_file):
    assert world.run("show").exit_code == 1
    world.run("apply", write_file("one target"))
    assert "revision 1, applied by ana@desk" in world.run("show").stdout
    assert '"deadline_ms": 1500' in world.run("--json", "show").stdout


def test_a_damaged_row_is_never_overwritten(world, write_file):
    world.put("configuration", {"revision": 1, "records": {"service": 3}})
    assert world.run("apply", write_file("one target")).exit_code == 1
    assert world.table.get_row("configuration").version == 1


def test_keep_draining_lets_records_end_a_drain_by_name():
    parsed = records.parse_texts(
        [("", builders.RECORDS + "draining = false\n")]
    ).unwrap()
    targets = {"h1": parsed.targets["h1"]._replace(draining=True)}
    current = data.Configuration(1, parsed.services, targets)
    assert not applying.keep_draining(parsed, current).targets["h1"].draining


def test_a_target_that_owns_keys_is_not_given_to_another_service(world, tmp_path):
    service = builders.RECORDS[: builders.RECORDS.index("[[target]]")]
    both = builders.TWO_TARGETS + service.replace("history", "story")
    path = tmp_path / "records.toml"
    path.write_text(both)
    assert world.run("apply", str(path)).exit_code == 0
    world.put_fleet()
    path.write_text(both.replace('service = "history"', 'service = "story"', 1))
    outcome = world.run("apply", str(path))
    assert (outcome.exit_code, "h1 still owns" in outcome.stderr) == (1, True)
