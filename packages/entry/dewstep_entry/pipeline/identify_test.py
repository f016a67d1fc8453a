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


def identify_target(configuration, target, headers=(), method=b"GET", length=0):
    routes = identify.compile_routes(configuration)
    return identify.identify_request(routes, SECOND, method, target, headers, length)


def test_key_is_read_from_path_header_and_query():
    found = identify_target(build_configuration(), b"/history/a%2Fb/due").unwrap()
    assert (found.service, found.kind, found.key) == ("history", "due", "a/b")
    assert found.deadline == 3 * SECOND and found.generated_id
    by_header = build_configuration("header", "X-Vin", "/history/due")
    assert (
        identify_target(by_header, b"/history/due", ((b"x-vin", b"v1"),)).unwrap().key
        == "v1"
    )
    by_query = build_configuration("query", "vin", "/history/due")
    assert identify_target(by_query, b"/history/due?vin=v%201").unwrap().key == "v 1"


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
def test_invalid_requests_get_a_specific_failure(target, headers, expected):
    assert isinstance(
        identify_target(build_configuration(), target, headers).failure(), expected
    )


def test_repeated_key_is_refused():
    # With two keys, the entry process and the target could choose different owners.
    by_header = build_configuration("header", "X-Vin", "/history/due")
    headers = ((b"x-vin", b"1"), (b"x-vin", b"2"))
    found = identify_target(by_header, b"/history/due", headers)
    assert isinstance(found.failure(), errors.KeyRepeated)


def test_body_and_deadline_are_limited_by_the_request_kind():
    found = identify_target(build_configuration(), b"/history/1/due", length=101)
    assert found == result.Failure(errors.BodyTooLarge(100))
    headers = ((b"dewstep-deadline-ms", b"500"), (b"idempotency-key", b"id-1"))
    found = identify_target(build_configuration(), b"/history/1/due", headers).unwrap()
    assert found.deadline == 1.5 * SECOND
    assert (found.request_id, found.generated_id) == ("id-1", False)


def test_request_without_configuration_is_not_ready():
    found = identify.identify_request(identify.NO_ROUTES, SECOND, b"GET", b"/", (), 0)
    assert isinstance(found.failure(), errors.NotReady)
