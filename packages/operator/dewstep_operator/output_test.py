import datetime
import json

from dewstep_core import errors
from dewstep_operator import entries, failures, fleet, output


def test_convert_to_json_keeps_the_names_of_fields():
    entry = entries.Entry("e", None, "i", None, True)
    converted = output.convert_to_json(
        {1: [entry], "t": datetime.timedelta(seconds=90), "p": ("a", 1.5)}
    )
    assert json.loads(json.dumps(converted)) == converted
    assert converted["1"][0]["incarnation"] == "i"
    assert (converted["t"], converted["p"]) == ("90s", ["a", 1.5])


def test_keys_are_not_interpreted_as_markup(capsys):
    # Guards against rich removing "[b]" from a key, or raising an error for "[/b]".
    table = output.Table("T", ("key",), (("[b]x[/b]",), (None,), (False,)))
    output.TextOutput().show_report(output.Report({}, ("[/x] line",), (table,)))
    printed = capsys.readouterr().out
    assert "[b]x[/b]" in printed and "[/x] line" in printed and "no" in printed


def test_json_output_contains_every_field_of_a_failure(capsys):
    output.JsonOutput().show_failures([failures.LostRace(3, "bat", "today")])
    (item,) = json.loads(capsys.readouterr().out)["failures"]
    assert (item["type"], item["revision"], item["author"]) == ("LostRace", 3, "bat")


def test_progress_skips_repeated_lines(capsys):
    lines = output.ProgressWriter()
    for text in ("a", "a", "b"):
        lines.show_progress(text)
    assert capsys.readouterr().err == "a\nb\n"


def test_every_failure_has_an_exit_code_and_a_description():
    for name in failures.exit_rules:
        kind = getattr(failures, name, None) or getattr(errors, name)
        fields = {field: "x" for field in kind._fields}
        fields |= {"limit": datetime.timedelta(seconds=1)} if "limit" in fields else {}
        failure = kind(**fields)
        assert failures.get_exit_code(failure) in range(1, 5)
        assert failures.describe_failure(failure) != str(failure)
    # An unregistered failure must not have the exit code of a refusal.
    assert failures.get_exit_code(errors.Stopping("e")) == failures.UNKNOWN
    assert "e" in failures.describe_failure(errors.Stopping("e"))


def test_dumps_of_unexpected_format_have_no_revision_and_no_gate_state():
    assert fleet.get_revision({"configuration": {"revision": 4}}) == 4
    for dump in ({}, {"revision": "4"}, {"gates": []}, {"gates": {"t": 1}}):
        assert fleet.get_revision(dump) is None
        assert fleet.get_gate_state(dump, "t") is None
    assert fleet.get_running_count({"running": "3"}) is None
