import json
import os

from dewstep_core import events, line_writer


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    content = b""
    try:
        while piece := os.read(descriptor, 65_536):
            content += piece
    except BlockingIOError:
        pass
    return content


def test_lines_are_dropped_while_the_reader_does_not_read():
    # Guards against a full pipe delaying requests.
    reader, writer = os.pipe()
    output = line_writer.LineWriter(writer, limit=10_000)
    for number in range(20_000):
        output.write(f"line {number}")
    assert output.dropped_lines and output.waiting_bytes <= 10_000
    received = b""
    while output.waiting or output.dropped_lines:
        received += read_all(reader)
        output.flush()
    received += read_all(reader)
    received_lines = received.decode().splitlines()
    assert received_lines[0] == "line 0"
    assert json.loads(received_lines[-1])["event"] == "lines_dropped"
    assert len(received_lines) - 1 + json.loads(received_lines[-1])["count"] == 20_000
    os.close(reader)
    os.close(writer)


def test_write_to_a_closed_pipe_does_not_raise():
    reader, writer = os.pipe()
    os.close(reader)
    output = line_writer.LineWriter(writer)
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
