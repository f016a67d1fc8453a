"""Tests that the history checker reports violations and accepts correct histories."""

import datetime
import json

from dewstep_emulator import history

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def time_at(seconds):
    return START + datetime.timedelta(seconds=seconds)


def build_call(request_id="r1", outcome=history.ANSWERED, **fields):
    call = history.Call(
        request_id,
        "booker",
        "book",
        "k1",
        False,
        time_at(0),
        time_at(5),
        outcome,
        200,
        "",
        request_id,
        "k1",
    )
    return call._replace(**fields)


def build_run(request_id="r1", target="t1", start=1, finish=2, **fields):
    run = history.Run(
        request_id,
        "k1",
        "book",
        target,
        "b1",
        1,
        1,
        time_at(start),
        time_at(finish),
        "end",
    )
    return run._replace(**fields)


def find_violations(calls, runs, **fields):
    return history.check_history(calls, runs, {"t1": 1, "t2": 1}, **fields)


def test_a_correct_history_has_no_violation():
    calls = [build_call(), build_call("r2", history.NOT_RUN)]
    assert find_violations(calls, [build_run()]) == ()


def test_find_doubled():
    runs = [build_run(), build_run(target="t2", start=3, finish=4, epoch=2)]
    assert find_violations([build_call()], runs) == (
        history.Duplicated("r1", ("t1", "t2")),
    )
    # An idempotent request may take effect more than once.
    assert find_violations([build_call(idempotent=True)], runs) == ()


def test_an_aborted_run_does_not_count_as_an_effect():
    runs = [build_run(result="abort"), build_run(start=3, finish=4)]
    assert find_violations([build_call()], runs) == ()


def test_find_false_refusals():
    calls = [build_call(outcome=history.NOT_RUN)]
    assert find_violations(calls, [build_run()]) == (history.FalseRefusal("r1", "t1"),)
    # A run is allowed if another call with the same id had an unknown outcome.
    calls.append(build_call(outcome=history.UNKNOWN))
    assert find_violations(calls, [build_run()]) == ()


def test_find_lost():
    assert find_violations([build_call()], []) == (history.Lost("r1"),)
    assert find_violations([build_call()], [build_run(result="abort")]) == (
        history.Lost("r1"),
    )


def test_find_crossed():
    calls = [build_call(answered_id="r2")]
    assert find_violations(calls, [build_run()]) == (history.Misdelivered("r1", "r2"),)
    calls = [build_call(answered_key="k2")]
    assert find_violations(calls, [build_run()]) == (history.Misdelivered("r1", "r1"),)


def test_find_two_owners_with_overlapping_runs():
    runs = [
        build_run("r1", "t1", 1, 4),
        build_run("r2", "t2", 3, 5, epoch=2),
    ]
    found = history.find_two_owners(runs)
    assert found == [history.TwoOwners("k1", runs[0], runs[1])]


def test_find_two_owners_when_a_previous_owner_runs_again():
    runs = [
        build_run("r1", "t2", 1, 2, epoch=2),
        build_run("r2", "t1", 3, 4, epoch=1),
    ]
    assert history.find_two_owners(runs) == [history.TwoOwners("k1", *runs)]
    # A later assignment may return the key to the first target.
    runs[1] = runs[1]._replace(epoch=3)
    assert history.find_two_owners(runs) == []


def test_find_exceeded_slots():
    runs = [build_run("r1"), build_run("r2", start=1.5, finish=3)]
    found = history.find_exceeded_slots(runs, {"t1": 1})
    assert found == [history.SlotsExceeded("t1", 2, 1)]
    runs[1] = build_run("r2", start=2, finish=3)
    assert history.find_exceeded_slots(runs, {"t1": 1}) == []


def test_find_work_after_departure():
    departures = [history.Departure("t1", time_at(0))]
    runs = [build_run("r1", start=1.9), build_run("r2", start=2.1)]
    found = history.find_work_after_departure(runs, departures)
    delay = datetime.timedelta(seconds=2.1)
    assert found == [history.WorkAfterDeparture("r2", "t1", delay)]


def test_find_cut_off():
    calls = [build_call(), build_call("r2", history.BROKEN)]
    assert history.find_broken_connections(calls) == [history.ConnectionBroken("r2")]


def test_find_unknown():
    calls = [build_call(), build_call("r2", history.UNKNOWN, failure="ConnectionLost")]
    expected = [history.UnknownOutcome("r2", "ConnectionLost")]
    assert history.find_unknown(calls) == expected


def test_read_runs_pairs_events_and_keeps_unfinished_runs():
    base = {
        "request_id": "r1",
        "key": "k1",
        "kind": "book",
        "epoch": 1,
        "term": 2,
        "target": "t1",
        "boot": "b1",
    }
    events = [
        {**base, "event": "start", "time": time_at(1).timestamp()},
        {**base, "event": "end", "time": time_at(2).isoformat()},
        {**base, "event": "start", "time": time_at(3).timestamp()},
    ]
    lines = [json.dumps(event) for event in events] + ['{"event": "sta']
    first, second = history.read_runs(lines)
    assert (first.start, first.finish, first.result) == (time_at(1), time_at(2), "end")
    assert (second.finish, second.result) == (None, "")


def test_summarize():
    calls = [build_call(), build_call("r2", history.UNKNOWN)]
    found = history.summarize(calls, [build_run()])
    assert (found.sent, found.answered, found.unknown, found.lost) == (2, 1, 1, 0)


def test_run_of_an_older_gate_after_a_newer_one_is_reported():
    old = build_run("r1", start=3, finish=4, term=1)
    new = build_run("r2", start=1, finish=2, term=2)
    assert history.find_term_regressions([old, new]) == [
        history.TermWentBack("t1", new, old)
    ]
    # A run that started before the change of gate must not take effect after it.
    slow = build_run("r3", start=0, finish=9, term=1)
    assert history.find_term_regressions([slow, new]) == [
        history.TermWentBack("t1", new, slow)
    ]
    assert history.find_term_regressions([slow._replace(result="abort"), new]) == []
    # A restarted target has lost its highest term.
    assert history.find_term_regressions([new, old._replace(boot="b2")]) == []


def test_body_that_was_changed_in_transit_is_reported():
    call = build_call(body_unchanged=False)
    assert history.find_changed_bodies([call]) == [history.BodyChanged("r1")]


def test_unfinished_run_of_a_request_refused_as_not_run_is_reported():
    run = build_run(result="")._replace(finish=None)
    assert find_violations([build_call(outcome=history.NOT_RUN)], [run]) == (
        history.FalseRefusal("r1", "t1"),
    )
