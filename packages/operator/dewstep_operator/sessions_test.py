import pytest
from returns import result
from typer import testing

from dewstep_core import settings
from dewstep_operator import main, sessions

OPTIONS = sessions.Options(None, (), None, False, None)


def build_address(port):
    return settings.Address("127.0.0.1", port)


def test_options_take_precedence_over_the_environment_and_the_settings_file(tmp_path):
    path = tmp_path / "operator.toml"
    path.write_text('table_addresses = ["127.0.0.1:1"]\nentry_addresses = []\n')
    options = OPTIONS._replace(settings_file=str(path))
    resolved = sessions.resolve_addresses(options, None).unwrap()
    assert resolved.table == (build_address(1),)
    resolved = sessions.resolve_addresses(options, "127.0.0.1:2").unwrap()
    assert resolved.table == (build_address(2),)
    options = options._replace(table="127.0.0.1:3, 127.0.0.1:4", entries=("[::1]:5",))
    resolved = sessions.resolve_addresses(options, "127.0.0.1:2").unwrap()
    assert resolved.table == (build_address(3), build_address(4))
    assert resolved.entries == (settings.Address("::1", 5),)


def test_all_invalid_addresses_are_reported(tmp_path):
    path = tmp_path / "operator.toml"
    path.write_text("table_address = []\n")
    options = OPTIONS._replace(table="host", entries=("x",), settings_file=str(path))
    problems = sessions.resolve_addresses(options, None).failure()
    assert {item.place for item in problems} == {
        "--entry", "--table", "table_addresses", "table_address",
    }  # fmt: skip
    assert isinstance(sessions.resolve_addresses(OPTIONS, None), result.Failure)


def test_a_command_without_a_table_address_exits_with_2(monkeypatch):
    monkeypatch.delenv(sessions.TABLE_VARIABLE, raising=False)
    outcome = testing.CliRunner().invoke(main.app, ["show"])
    assert outcome.exit_code == 2
    assert sessions.TABLE_VARIABLE in outcome.stderr


def test_an_invalid_limit_exits_with_2():
    outcome = testing.CliRunner().invoke(main.app, ["drain", "h1", "--limit", "10"])
    assert outcome.exit_code == 2


def test_an_unhandled_exception_exits_with_the_code_for_an_unknown_outcome(monkeypatch):
    def fail():
        raise RuntimeError("fault")

    monkeypatch.setattr(main, "app", fail)
    with pytest.raises(SystemExit) as exit_info:
        main.run()
    assert exit_info.value.code == 4


def test_every_command_has_help_with_the_exit_codes():
    for command in main.app.registered_commands:
        name = command.name or command.callback.__name__
        outcome = testing.CliRunner().invoke(main.app, [name, "--help"])
        assert outcome.exit_code == 0
        assert "4 outcome not known" in " ".join(outcome.stdout.split())
