"""Tests that the cost report is complete and covers the required sizes."""

import json

from dewstep_emulator import costs, simulate


def test_report_has_every_decision_and_churn_within_the_objective(
    tmp_path, monkeypatch, capsys
):
    # Guards against published figures that cannot be reproduced.
    monkeypatch.setattr(costs, "REQUESTS", 500)
    monkeypatch.setattr(simulate, "SIZES", (costs.Size("small", 10, 3, 512, 5),))
    simulate.main(seed=2, json_file=str(tmp_path / "out.json"))
    report = json.loads((tmp_path / "out.json").read_text())
    assert report["seed"] == 2 and report["sizes"][0]["keys"] == 6_000_000
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 1 + len(report["costs"])
    assert all(cost["microseconds"] > 0 for cost in report["costs"])
    found = {cost["decision"]: cost for cost in report["costs"]}
    assert len(found) == 15
    assert found["join of a target"]["result"]["churn"] <= 1.2
    assert found["summary of hot keys"]["shared_bytes"] <= 2_000


def test_largest_size_is_the_required_one():
    # Guards against figures for a fleet that is smaller than the one to be supported.
    largest = simulate.SIZES[-1]
    assert len(simulate.SIZES) >= 3 and largest.targets == 1_600
    assert largest.targets * simulate.KEYS_PER_TARGET == 960_000_000
