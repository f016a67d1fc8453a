import datetime

import pytest

from dewstep_core import settings, settings_file

TEXT = """
entry = "ub1-a"
data_centre = "ub1"
caller_address = "127.0.0.1:8000"
peer_address = "[::1]:8001"
operator_address = "127.0.0.1:8002"
table_addresses = ["127.0.0.1:9000"]
stop_limit = "5s"
[grants]
lifetime = "800ms"
"""


def test_parse_settings_fills_in_the_defaults():
    loaded = settings_file.parse_settings("s.toml", TEXT).unwrap()
    assert loaded.peer_address == settings.Address("::1", 8001)
    assert loaded.stop_limit == datetime.timedelta(seconds=5)
    assert loaded.grants.lifetime == datetime.timedelta(milliseconds=800)
    assert loaded.grants.interval == settings.GrantSettings().interval
    assert loaded.caller_limits == settings.CallerLimits()
    assert loaded.seeds == ()


def test_all_invalid_settings_are_reported_at_once():
    text = TEXT.replace('entry = "ub1-a"', "").replace('"5s"', "5")
    text = text.replace("127.0.0.1:9000", "table:9000").replace("800ms", "100ms")
    text += "speed = 1\n[peers]\nsuspect_after = 0\n"
    problems = settings_file.parse_settings("s.toml", text).failure()
    assert [problem.place for problem in problems] == [
        "entry",
        "table_addresses",
        "stop_limit",
        "grants.speed",
        "peers.suspect_after",
        "grants.interval",
    ]


def test_every_field_of_the_settings_tuples_has_a_check():
    # Guards against a new setting whose type has no check, which would otherwise be
    # noticed only when an entry process starts.
    loaded = settings_file.parse_settings("s.toml", "")
    # The six fields without a default are reported as missing.
    assert len(loaded.failure()) == 6


def test_load_or_exit_exits_with_code_2(tmp_path, capsys):
    path = tmp_path / "s.toml"
    path.write_text(TEXT)
    assert settings_file.load_or_exit(str(path)).entry == "ub1-a"
    path.write_text(TEXT.replace('entry = "ub1-a"', ""))
    with pytest.raises(SystemExit) as exit_info:
        settings_file.load_or_exit(str(path))
    assert exit_info.value.code == 2
    assert "entry: expected a name" in capsys.readouterr().err
