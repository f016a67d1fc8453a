"""Tests that the checks of scenario-specific guarantees report violations."""

from dewstep_emulator import history, promises
from dewstep_emulator.history_test import build_call, build_run


def test_request_that_no_call_answered_is_unserved():
    calls = [
        build_call("r1", history.NOT_RUN, idempotent=True, failure="QueueFull"),
        build_call("r2", history.NOT_RUN, idempotent=True),
        build_call("r2", history.ANSWERED, idempotent=True),
        build_call("r3", history.UNKNOWN),
    ]
    found = promises.find_unserved(calls)
    assert found == [promises.Unserved("r1", "book", ("QueueFull",))]


def test_crashes_are_summed_over_all_targets():
    crash = build_run(key="bad-1", result="")._replace(finish=None)
    runs = [crash, crash._replace(target="t2"), crash._replace(boot="b2")]
    limit = 2
    assert promises.find_exceeded_crashes(runs, "bad", limit) == [
        promises.CrashesExceeded("bad-1", "book", 3)
    ]
    assert promises.find_exceeded_crashes(runs[:2], "bad", limit) == []
    # Requests without the marker that ended in the same crash do not count.
    assert promises.find_exceeded_crashes(runs, "other", limit) == []


def test_refusal_with_the_wrong_outcome_is_reported():
    calls = [
        build_call("r1", history.NOT_RUN, failure="Quarantined"),
        build_call("r2", history.UNKNOWN, failure="Quarantined"),
    ]
    found = promises.find_wrong_refusals(calls, "Quarantined", history.UNKNOWN)
    assert found == [promises.WrongRefusal("r1", "Quarantined", history.NOT_RUN)]
    assert len(promises.find_refused(calls, "Quarantined")) == 2
    assert promises.find_refused(calls, "QueueFull") == []
