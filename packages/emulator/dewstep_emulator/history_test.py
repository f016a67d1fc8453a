import datetime
import json

from dewstep_emulator import history

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def at(seconds):
    return START + datetime.timedelta(seconds=seconds)


def build_call(request_id="r1", outcome=history.ANSWERED, **fields):
    call = history.Call(
        request_id,
        "booker",
        "book",
        "k1",
        False,
        at(0),
        at(5),
        outcome,
        200,
        "",
        request_id,
        "k1",
    )
    return call._replace(**fields)


def build_run(request_id="r1", target="t1", start=1, finish=2, **fields):
    run = history.Run(
        request_id, "k1", "book", target, "b1", 1, 1, at(start), at(finish), "end"
    )
    return run._replace(**fields)


def check(calls, runs, **fields):
    return history.check_history(calls, runs, {"t1": 1, "t2": 1}, **fields)


def test_a_correct_history_has_no_violation():
    calls = [build_call(), build_call("r2", history.NOT_RUN)]
    assert check(calls, [build_run()]) == ()


def test_find_doubled():
    runs = [build_run(), build_run(target="t2", start=3, finish=4, epoch=2)]
    assert check([build_call()], runs) == (history.Doubled("r1", ("t1", "t2")),)
    # An idempotent request may run twice.
    assert check([build_call(idempotent=True)], runs) == ()


def test_an_aborted_run_took_no_effect():
    runs = [build_run(result="abort"), build_run(start=3, finish=4)]
    assert check([build_call()], runs) == ()


def test_find_false_refusals():
    calls = [build_call(outcome=history.NOT_RUN)]
    assert check(calls, [build_run()]) == (history.FalseRefusal("r1", "t1"),)
    # Another call with the same id had an unknown outcome, so a run is allowed.
    calls.append(build_call(outcome=history.UNKNOWN))
    assert check(calls, [build_run()]) == ()


def test_find_lost():
    assert check([build_call()], []) == (history.Lost("r1"),)
    assert check([build_call()], [build_run(result="abort")]) == (history.Lost("r1"),)


def test_find_crossed():
    calls = [build_call(answered_id="r2")]
    assert check(calls, [build_run()]) == (history.Crossed("r1", "r2"),)
    calls = [build_call(answered_key="k2")]
    assert check(calls, [build_run()]) == (history.Crossed("r1", "r1"),)


def test_find_two_owners_that_overlap():
    runs = [
        build_run("r1", "t1", 1, 4),
        build_run("r2", "t2", 3, 5, epoch=2),
    ]
    found = history.find_two_owners(runs)
    assert found == [history.TwoOwners("k1", runs[0], runs[1])]


def test_find_two_owners_when_a_past_owner_runs_again():
    runs = [
        build_run("r1", "t2", 1, 2, epoch=2),
        build_run("r2", "t1", 3, 4, epoch=1),
    ]
    assert history.find_two_owners(runs) == [history.TwoOwners("k1", *runs)]
    # A later assignment may name the first target again.
    runs[1] = runs[1]._replace(epoch=3)
    assert history.find_two_owners(runs) == []


def test_find_exceeded_slots():
    runs = [build_run("r1"), build_run("r2", start=1.5, finish=3)]
    found = history.find_exceeded_slots(runs, {"t1": 1})
    assert found == [history.SlotsExceeded("t1", 2, 1)]
    runs[1] = build_run("r2", start=2, finish=3)
    assert history.find_exceeded_slots(runs, {"t1": 1}) == []


def test_find_work_after_departure():
    departures = [history.Departure("t1", at(0))]
    runs = [build_run("r1", start=1.9), build_run("r2", start=2.1)]
    found = history.find_work_after_departure(runs, departures)
    delay = datetime.timedelta(seconds=2.1)
    assert found == [history.WorkAfterDeparture("r2", "t1", delay)]


def test_find_cut_off():
    calls = [build_call(), build_call("r2", history.BROKEN)]
    assert history.find_cut_off(calls) == [history.CutOff("r2")]


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
        {**base, "event": "start", "time": at(1).timestamp()},
        {**base, "event": "end", "time": at(2).isoformat()},
        {**base, "event": "start", "time": at(3).timestamp()},
    ]
    lines = [json.dumps(event) for event in events] + ['{"event": "sta']
    first, second = history.read_runs(lines)
    assert (first.start, first.finish, first.result) == (at(1), at(2), "end")
    assert (second.finish, second.result) == (None, "")


def test_summarize():
    calls = [build_call(), build_call("r2", history.UNKNOWN)]
    found = history.summarize(calls, [build_run()])
    assert (found.sent, found.answered, found.unknown, found.lost) == (2, 1, 1, 0)


def test_run_of_an_older_gate_after_a_newer_one_is_reported():
    old = build_run("r1", start=3, finish=4, term=1)
    new = build_run("r2", start=1, finish=2, term=2)
    assert history.find_terms_back([old, new]) == [history.TermWentBack("t1", new, old)]
    # The effect counts: a run that began before the change of gate is no exception.
    slow = build_run("r3", start=0, finish=9, term=1)
    assert history.find_terms_back([slow, new]) == [
        history.TermWentBack("t1", new, slow)
    ]
    assert history.find_terms_back([slow._replace(result="abort"), new]) == []
    # After a restart a target has forgotten the terms that it saw.
    assert history.find_terms_back([new, old._replace(boot="b2")]) == []


def test_body_that_changed_on_the_way_is_reported():
    call = build_call(body_kept=False)
    assert history.find_changed_bodies([call]) == [history.BodyChanged("r1")]


def test_run_that_its_target_did_not_finish_contradicts_not_run():
    run = build_run(result="")._replace(finish=None)
    assert check([build_call(outcome=history.NOT_RUN)], [run]) == (
        history.FalseRefusal("r1", "t1"),
    )
