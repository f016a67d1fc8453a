import json
import os

from dewstep_core import events, lines


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    content = b""
    try:
        while piece := os.read(descriptor, 65_536):
            content += piece
    except BlockingIOError:
        pass
    return content


def test_reader_that_stops_costs_lines_and_never_waits():
    # Guards against a full pipe that holds up requests.
    reader, writer = os.pipe()
    output = lines.LineWriter(writer, limit=10_000)
    for number in range(20_000):
        output.write(f"line {number}")
    assert output.dropped and output.size <= 10_000
    seen = b""
    while output.waiting or output.dropped:
        seen += read_all(reader)
        output.flush()
    seen += read_all(reader)
    whole = seen.decode().splitlines()
    assert whole[0] == "line 0"
    assert json.loads(whole[-1])["event"] == "lines_dropped"
    assert len(whole) - 1 + json.loads(whole[-1])["count"] == 20_000
    os.close(reader)
    os.close(writer)


def test_reader_that_is_gone_ends_nothing():
    reader, writer = os.pipe()
    os.close(reader)
    output = lines.LineWriter(writer)
    output.write("x")
    assert not output.waiting
    os.close(writer)


def test_events_are_written_as_json_objects():
    written = []
    events.use_json(written.append)
    try:
        failure = events.json.JSONDecodeError("x", "y", 0)
        events.info("lines_test_event", number=3, failure=failure, items={"a"})
    finally:
        events.use_json(None)
    content = json.loads(written[0])
    assert content["event"] == "lines_test_event" and content["number"] == 3
    assert content["level"] == "info" and content["items"] == ["a"]
