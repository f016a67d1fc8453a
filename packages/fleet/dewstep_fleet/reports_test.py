"""Tests of what a coordinator concludes from the reports of the members."""

from dewstep_fleet import builders, frames, model, reports

NOW = 100 * builders.SECOND
MOMENT = builders.MILLISECOND


def build_report(now=NOW, **fields):
    """Return a report that is received at a time."""
    return reports.build_report(frames.Frame("report", 2, "n", "i", **fields), now)


# Guards against a majority that contains members without recent reports.
def test_old_reports_do_not_count():
    by_node = {
        "n1": build_report(NOW - reports.REPORT_MAX_AGE),
        "n2": build_report(NOW - reports.REPORT_MAX_AGE - MOMENT),
    }
    assert set(reports.list_recent(by_node, NOW)) == {"n1"}


# Guards against long grants whose announcement members have not received.
def test_members_are_informed_if_they_acknowledge_a_recent_announcement():
    now_ms = frames.to_milliseconds(NOW)
    by_node = {
        "n1": build_report(heartbeat_ms=now_ms),
        "n2": build_report(heartbeat_ms=now_ms - 10),
        "n3": build_report(),
    }
    assert reports.list_informed(by_node, now_ms, NOW) == {"n1"}
    assert reports.list_informed(by_node, now_ms - 10, NOW) == {"n1", "n2"}
    later = NOW + reports.REPORT_MAX_AGE
    assert reports.list_informed(by_node, 0, later) == {"n1"}


# Guards against deputies that fail together with the coordinator or its store access.
def test_deputies_reach_the_store_and_are_in_other_data_centres():
    members = {
        node: model.Member(node, "i", data_centre, "h", 1)
        for node, data_centre in (("n1", "a"), ("n2", "b"), ("n3", "b"), ("n4", "a"))
    }
    by_node = {node: build_report(heard=True) for node in ("n1", "n2", "n4")}
    by_node["n3"] = build_report(heard=False)
    chosen = reports.choose_deputies(by_node, list(members), members, "a")
    assert chosen == ["n2", "n1"]
    assert reports.choose_deputies({}, list(members), members, "a") == ["n2", "n3"]


# Guards against instances that send requests to targets that others keep busy.
def test_loads_of_all_members_are_added_up():
    by_node = {
        "n1": build_report(
            loads=(frames.Load("a", 2, 0, 0), frames.Load("b", 0, 1, 9))
        ),
        "n2": build_report(loads=(frames.Load("a", 3, 0, 0),)),
    }
    totals = reports.sum_loads(by_node, {"a": 1.5}, {"a": 0.5})
    assert totals == (frames.Total(frames.hash_target_name("a"), 5, 1.5, 0.5),)
