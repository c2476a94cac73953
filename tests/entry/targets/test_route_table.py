"""Selection of routes, compared with the definition of a prefix."""

import random

import attrs
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cairnferry.entry.targets import Services
from cairnferry.records import PathMatch, Priority, Route

HOSTS = ("one.example", "two.example")
SEGMENTS = ("", "a", "ab", "b", ".", "..", "%2F", "%2f", "a;b", "*")


def route(prefix, match=PathMatch.TEXT, host=HOSTS[0]):
    name = f"{host} {prefix}"
    return Route(
        name,
        prefix,
        "s",
        frozenset(),
        None,
        Priority.INTERACTIVE,
        host,
        path_match=match,
    )


def find(routes, path, host=HOSTS[0]):
    """Return the prefix of the selected route; None if there is none."""
    services = Services("hall", random.Random(1), lambda policy: None)
    services.install_rules(1, [], routes)
    found = services.route(path, host)
    return found and found.path_prefix


def begins(selected, path):
    """Return whether a route's prefix begins a path, by its definition."""
    prefix = selected.path_prefix
    match selected.path_match:
        case PathMatch.TEXT:
            return path.startswith(prefix)
        case PathMatch.SEGMENTS:
            segments = prefix.rstrip("/").split("/")
            return path.split("/")[: len(segments)] == segments


prefixes = st.lists(st.sampled_from(SEGMENTS), max_size=4).map(
    lambda segments: "/" + "".join(f"{segment}/" for segment in segments)
)
paths = st.one_of(
    st.builds(
        lambda prefix, tail, query: prefix.removesuffix("/") + tail + query,
        prefixes,
        st.sampled_from(["", "/", "//", "/x", "x", "/..", "%2F"]),
        st.sampled_from(["", "?", "?q=/a/", "?/a/?"]),
    ),
    prefixes.map(lambda prefix: f"http://{HOSTS[0]}{prefix}"),
    st.just("*"),
)
route_lists = st.lists(
    st.builds(
        route,
        prefixes,
        st.sampled_from(PathMatch),
        st.sampled_from([*HOSTS, None]),
    ),
    max_size=8,
    unique_by=lambda each: (each.host, each.path_match, each.path_prefix.rstrip("/")),
)


@settings(max_examples=1000, derandomize=True, deadline=None)
@given(route_lists, paths, st.sampled_from(HOSTS))
@example([route("/p/"), route("/p/renew/")], "/p/renew", HOSTS[0])
@example([route("/p/")], "/p", HOSTS[0])
@example([route("/")], "*", HOSTS[0])
def test_the_selected_route_has_the_longest_prefix_that_begins_the_path(
    routes, path, host
):
    """Guards against a route whose prefix does not begin the path of the request."""
    services = Services("hall", random.Random(1), lambda policy: None)
    services.install_rules(1, [], routes)
    selected = services.route(path, host)
    text = path.partition("?")[0]
    allowed = [
        each for each in routes if each.host in (host, None) and begins(each, text)
    ]
    if not allowed:
        assert selected is None
        return
    assert selected in allowed
    longest = max(len(each.path_prefix.rstrip("/")) for each in allowed)
    assert len(selected.path_prefix.rstrip("/")) == longest


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/p/renew", "/p/"),
        ("/p/renew/", "/p/renew/"),
        ("/p/renew/x", "/p/renew/"),
        ("/p/renew?next=/p/renew/", "/p/"),
        ("/p/renewal", "/p/"),
        ("/p/renew%2F", "/p/"),
        ("/p//renew/", "/p/"),
        ("/p", None),
        ("/p?x", None),
        ("//p/", None),
    ],
)
def test_text_prefixes_keep_their_final_slash(path, expected):
    """Guards against unsafe requests that a deeper safe route sends twice."""
    assert find([route("/p/"), route("/p/renew/")], path) == expected


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/p", "/p"),
        ("/p/", "/p"),
        ("/p/renew", "/p/renew/"),
        ("/p/renew/", "/p/renew/"),
        ("/p/renewal", "/p"),
        ("/pq", None),
    ],
)
def test_segment_prefixes_match_with_or_without_a_final_slash(path, expected):
    routes = [route("/p", PathMatch.SEGMENTS), route("/p/renew/", PathMatch.SEGMENTS)]
    assert find(routes, path) == expected


def test_a_route_of_the_host_counts_before_one_of_any_host():
    mine, any_host = route("/p/"), attrs.evolve(route("/p/"), name="any", host=None)
    services = Services("hall", random.Random(1), lambda policy: None)
    services.install_rules(1, [], [any_host, mine])
    assert services.route("/p/x", HOSTS[0]) is mine
    assert services.route("/p/x", HOSTS[1]) is any_host


@pytest.mark.parametrize(
    ("host", "sent"),
    [
        ("one.example", "One.Example:8080"),
        ("one.example", "one.example."),
        ("one.example", "one.example.:80"),
        ("one.example.", "one.example"),
        ("[::1]", "[::1]"),
        ("[::1]", "[::1]:8080"),
        ("[fe80::a]", "[FE80::A]:80"),
    ],
)
def test_hosts_are_compared_without_port_case_and_final_dot(host, sent):
    """Guards against 404 for a host that is named in another form."""
    assert find([route("/p/", host=host)], "/p/x", sent) == "/p/"


@pytest.mark.parametrize("sent", ["two.example", "xone.example", "[::2]", "one", ""])
def test_another_host_has_no_route(sent):
    routes = [route("/p/", host="one.example"), route("/p/", host="[::1]")]
    assert find(routes, "/p/x", sent) is None
