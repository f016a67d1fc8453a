import collections

import pytest

from dewstep_fleet import builders, model, routes


def build_index():
    return routes.build_index(
        builders.build_table(
            builders.build_route(name="short", prefix="/a/"),
            builders.build_route(name="long", prefix="/a/b/"),
            builders.build_route(name="other", host="i.example", prefix="/"),
        )
    )


def find_name(host, path):
    found = routes.find_route(build_index(), host, path)
    return found and found.name


def test_longest_prefix_wins():
    assert find_name("h.example", "/a/b/c") == "long"
    assert find_name("h.example", "/a/bc") == "short"
    assert find_name("h.example", "/a/?q=/b/") == "short"


def test_prefix_is_a_whole_segment():
    assert find_name("h.example", "/a") is None
    assert find_name("h.example", "/ab/") is None


def test_host_matches_in_any_case_and_with_any_port():
    assert find_name("I.Example:80", "/a/") == "other"
    assert find_name("j.example", "/a/") is None


def test_services_get_their_weight_in_any_sequence():
    # Guards against temporary deviations from the weights.
    weighted_services = (
        model.WeightedService("x", 90.0),
        model.WeightedService("y", 10.0),
    )
    route = builders.build_route(weighted_services=weighted_services)
    splitter = routes.Splitter()
    for _ in range(20):
        counts = collections.Counter(splitter.choose_service(route) for _ in range(20))
        assert counts["y"] == 2


def test_service_without_weight_gets_no_requests():
    weighted_services = (
        model.WeightedService("x", 1.0),
        model.WeightedService("y", 0.0),
    )
    route = builders.build_route(weighted_services=weighted_services)
    splitter = routes.Splitter()
    assert {splitter.choose_service(route) for _ in range(50)} == {"x"}


# Guards against 404 for a request whose target is a complete URI.
@pytest.mark.parametrize(
    ("target", "path", "host"),
    [
        (b"/a/x?u=http://b/c", b"/a/x?u=http://b/c", b"h"),
        (b"http://h.example/a/x?q", b"/a/x?q", b"h.example"),
        (b"HTTPS://h.example:80/a/", b"/a/", b"h.example:80"),
        (b"http://h.example", b"/", b"h.example"),
        (b"http://h.example?q=/", b"/?q=/", b"h.example"),
        (b"*", b"*", b"h"),
    ],
)
def test_target_may_be_a_complete_uri(target, path, host):
    headers = ((b"a", b"1"), (b"host", b"h"))
    found, changed = routes.resolve_target(target, headers)
    assert (found, dict(changed)) == (path, {b"a": b"1", b"host": host})
