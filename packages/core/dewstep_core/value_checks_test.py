import contextlib
import socket

import pytest
from hypothesis import given, strategies

from dewstep_core import value_checks

SURROGATE = "\ud800"


def test_integers_are_checked_with_their_range():
    assert value_checks.is_integer(3, 3, 3)
    for value in (True, 3.0, "3", 10**4000, -(10**4000), float("nan")):
        assert not value_checks.is_integer(value, 0, value_checks.MAX_UINT64)


def test_numbers_without_a_finite_value_are_refused():
    assert value_checks.is_finite(1.5) and value_checks.is_finite(-2)
    for value in (float("nan"), float("inf"), 10**400, "1"):
        assert not value_checks.is_finite(value)


def test_text_that_cannot_be_encoded_or_is_too_long_is_refused():
    assert value_checks.is_text("é") and value_checks.is_text("")
    limit = value_checks.MAX_TEXT_BYTES
    for value in (SURROGATE, "x" * (limit + 1), "é" * limit, 1, None):
        assert not value_checks.is_text(value)


@pytest.mark.parametrize("text", ["1", "65535", "080"])
def test_ports_are_parsed(text):
    assert value_checks.parse_port(text) == int(text)


@pytest.mark.parametrize("text", ["", "0", "65536", "²", "٨٠", "1" * 5000, "+1", "1 "])
def test_invalid_ports_are_refused(text):
    assert value_checks.parse_port(text) is None


@pytest.mark.parametrize("host", ["10.0.0.1", "::1", "fe80::1%eth0", "localhost", "a."])
def test_hosts_are_accepted(host):
    assert value_checks.is_host(host)


@pytest.mark.parametrize(
    "host",
    [
        "",
        ".",
        "a..b",
        "a\0b",
        SURROGATE,
        "x" * 64,
        "fe80::1%\0",
        "é",
        "a b",
        "x." * 127,
    ],
)
def test_hosts_that_cannot_be_looked_up_are_refused(host):
    assert not value_checks.is_host(host)


@given(strategies.text(max_size=70) | strategies.from_regex(r"[a-z.:%]{1,70}"))
def test_look_up_of_an_accepted_host_raises_nothing_but_os_errors(host):
    # Guards against a task that ends with the UnicodeError of a look-up.
    if value_checks.is_host(host):
        with contextlib.suppress(OSError):
            # With this flag, no name server is asked.
            socket.getaddrinfo(host, 80, flags=socket.AI_NUMERICHOST)
