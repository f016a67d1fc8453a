import datetime

from dewstep_core import errors, events


def test_ambiguous_values_are_quoted():
    line = events.render_line(
        "moved",
        target="history-0",
        wait=datetime.timedelta(milliseconds=600),
        detail='no "answer"\nat all',
        names={"b", "a"},
        empty="",
    )
    assert line == (
        "event=moved target=history-0 wait=600ms "
        'detail="no \\"answer\\"\\nat all" names=a,b empty=""'
    )
    failure = errors.NotTheGate("t1", 3)
    assert "\n" not in events.render_line("failed", failure=failure)


def test_a_frequent_event_is_limited_and_suppressed_lines_are_counted(monkeypatch):
    # Guards against the log growing in proportion to the rate of failing requests.
    now = [0.0]
    event_log = events.EventLog(lambda: now[0])
    limiter = event_log.limiter
    assert (
        sum(limiter.admit_line("request_failed") for _ in range(1_000))
        == events.BURST_LINES
    )
    assert limiter.admit_line("gate_taken")
    assert limiter.pop_suppressed_counts() == {
        "request_failed": 1_000 - events.BURST_LINES
    }
    now[0] = 1.0
    admitted = sum(limiter.admit_line("request_failed") for _ in range(100))
    assert admitted == events.LINES_PER_SECOND
    monkeypatch.setattr(events, "event_log", event_log)
    lines = []
    monkeypatch.setattr(
        events.logging, "warning", lambda template, line: lines.append(line)
    )
    events.log_suppressed_counts()
    assert lines == ["event=lines_left_out name=request_failed count=90"]


def test_an_exception_is_logged_without_its_message(monkeypatch):
    # Guards against bodies in the log, since parsers include the rejected bytes.
    lines = []
    monkeypatch.setattr(events.logging, "log", lambda *parts: lines.append(parts[-1]))
    try:
        raise ValueError("illegal chunk: secret")
    except ValueError as error:
        events.exception("handler_failed", error, request_id="r1")
    assert lines[0].startswith("event=handler_failed request_id=r1 error=ValueError")
    assert "secret" not in lines[0] and "events_test.py:" in lines[0]


def test_the_most_recent_failures_of_each_event_are_kept(monkeypatch):
    # Guards against a frequent event displacing the others from the state dump.
    now = [0.0]
    monkeypatch.setattr(events, "event_log", events.EventLog(lambda: now[0]))
    events.error("row_refused", failure="old")
    now[0] = 1.0
    for number in range(20):
        events.warning("request_failed", request_id=number)
    events.info("started")
    recent = events.event_log.list_recent()
    assert len(recent) == events.KEPT_LINES_PER_EVENT + 1
    assert recent[0] == (0.0, "event=request_failed request_id=19")
    assert recent[-1] == (1.0, "event=row_refused failure=old")
    assert events.event_log.counts["request_failed"] == 20
