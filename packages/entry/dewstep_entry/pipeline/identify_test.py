import datetime

import pytest
from returns import result

from dewstep_core import data, errors
from dewstep_entry.pipeline import identify

SECOND = datetime.timedelta(seconds=1)


def build_configuration(source="path", name="key", path="/history/{key}/due"):
    kind = data.RequestKind("due", "GET", path, True, 1.0, 2 * SECOND, 100, "none")
    service = data.Service(
        "history", 2, data.KeyPart(source, name), 8, 64, 3600 * SECOND, (kind,)
    )
    return data.Configuration(1, {"history": service}, {})


def call(configuration, target, headers=(), method=b"GET", length=0):
    routes = identify.compile_routes(configuration)
    return identify.identify(routes, SECOND, method, target, headers, length)


def test_identify_takes_key_from_each_part():
    found = call(build_configuration(), b"/history/a%2Fb/due").unwrap()
    assert (found.service, found.kind, found.key) == ("history", "due", "a/b")
    assert found.deadline == 3 * SECOND and found.generated_id
    by_header = build_configuration("header", "X-Vin", "/history/due")
    assert call(by_header, b"/history/due", ((b"x-vin", b"v1"),)).unwrap().key == "v1"
    by_query = build_configuration("query", "vin", "/history/due")
    assert call(by_query, b"/history/due?vin=v%201").unwrap().key == "v 1"


@pytest.mark.parametrize(
    "target, headers, expected",
    [
        (b"/other/1/due", (), errors.UnknownService),
        (b"/history//due", (), errors.KeyMissing),
        (b"/history/123456789/due", (), errors.KeyTooLong),
        (b"/history/1/due", ((b"idempotency-key", b""),), errors.MalformedRequest),
        (
            b"/history/1/due",
            ((b"idempotency-key", b"a"), (b"idempotency-key", b"b")),
            errors.MalformedRequest,
        ),
        (
            b"/history/1/due",
            ((b"dewstep-deadline-ms", b"-1"),),
            errors.MalformedRequest,
        ),
    ],
)
def test_identify_names_what_is_wrong(target, headers, expected):
    assert isinstance(call(build_configuration(), target, headers).failure(), expected)


def test_identify_refuses_a_key_that_stands_twice():
    # Two keys would let caller and target disagree about the owner.
    by_header = build_configuration("header", "X-Vin", "/history/due")
    headers = ((b"x-vin", b"1"), (b"x-vin", b"2"))
    found = call(by_header, b"/history/due", headers)
    assert isinstance(found.failure(), errors.KeyRepeated)


def test_identify_limits_body_and_deadline():
    found = call(build_configuration(), b"/history/1/due", length=101)
    assert found == result.Failure(errors.BodyTooLarge(100))
    headers = ((b"dewstep-deadline-ms", b"500"), (b"idempotency-key", b"id-1"))
    found = call(build_configuration(), b"/history/1/due", headers).unwrap()
    assert found.deadline == 1.5 * SECOND
    assert (found.request_id, found.generated_id) == ("id-1", False)


def test_identify_without_configuration_is_not_ready():
    found = identify.identify(identify.EMPTY, SECOND, b"GET", b"/", (), 0)
    assert isinstance(found.failure(), errors.NotReady)
