import http.server
import json
import threading

import pytest

from dewstep_core import settings
from dewstep_operator import builders, entries, failures


class Handler(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        status, text = self.server.answer
        if status == 0:
            self.close_connection = True
            return
        self.send_response(status)
        self.end_headers()
        self.wfile.write(text)

    do_POST = do_GET

    def log_message(self, *arguments):
        pass


@pytest.fixture
def server():
    with http.server.HTTPServer(("127.0.0.1", 0), Handler) as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        yield server
        server.shutdown()
        thread.join()


def post_order(server, status, text=b"{}"):
    server.answer = (status, text)
    address = settings.Address("127.0.0.1", server.server_port)
    return builders.run_coroutine(entries.HttpEntryClient().post(address, "/x", {}))


def test_an_order_is_refused_only_if_it_had_no_effect(server):
    assert post_order(server, 200, b'{"a": 1}').unwrap() == {"a": 1}
    assert isinstance(post_order(server, 409).failure(), failures.OrderRefused)
    for status, text in ((0, b""), (500, b""), (200, b"{")):
        lost = post_order(server, status, text).failure()
        assert isinstance(lost, failures.EntryAnswerLost)


def test_a_closed_port_is_unreachable():
    with http.server.HTTPServer(("127.0.0.1", 0), Handler) as closed:
        address = settings.Address("127.0.0.1", closed.server_port)
    outcome = builders.run_coroutine(entries.HttpEntryClient().get(address, "/dump"))
    assert isinstance(outcome.failure(), failures.EntryUnreachable)


@pytest.mark.parametrize(
    "document", [None, [], {"members": 3}, {"members": [3, {}, {"entry": 1}]}]
)
def test_malformed_member_lists_contain_no_entries(document):
    assert entries.read_members(document) == ()


def test_a_member_is_alive_if_any_peer_receives_its_heartbeats():
    client = builders.FakeEntryClient()
    for address, alive in ((builders.ADDRESS_A, False), (builders.ADDRESS_B, True)):
        item = {"entry": "e", "alive": alive, "operator_address": "127.0.0.1:1"}
        client.documents[address, "/members"] = json.loads(json.dumps([item]))
    seeds = (builders.ADDRESS_A, builders.ADDRESS_B)
    found = builders.run_coroutine(entries.find_entries(client, seeds, {}))
    assert found["e"].alive
    found = builders.run_coroutine(entries.find_entries(client, seeds[::-1], {}))
    assert found["e"].alive
