"""Routes whose names are equal, or change from one revision to the next."""

import collections
import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnferry.entry.targets import Services
from cairnferry.records import Backend, PathMatch, Priority, Route

SHOP, DESK = "shop.example", "desk.example"
REQUESTS = 120


def route(host, prefix, *services, name="orders", match=PathMatch.TEXT):
    """Return a route; of two services, the first one gets nine of ten requests."""
    weights = (9, 1)
    backends = tuple(map(Backend, services, weights)) if len(services) > 1 else ()
    return Route(
        name,
        prefix,
        services[0],
        frozenset(),
        None,
        Priority.INTERACTIVE,
        host,
        backends=backends,
        path_match=match,
    )


CASES = {
    "shares at two hosts": [
        route(SHOP, "/a/", "s1", "s2"),
        route(DESK, "/a/", "s3", "s4"),
    ],
    "shares at one of two hosts": [
        route(SHOP, "/a/", "s1", "s2"),
        route(DESK, "/a/", "s3"),
    ],
    "three at one host": [
        route(SHOP, "/a/", "s1", "s2"),
        route(SHOP, "/b/", "s3", "s4"),
        route(SHOP, "/a/b/", "s5", "s6"),
    ],
    "any host": [route(SHOP, "/a/", "s1", "s2"), route(None, "/a/", "s3", "s4")],
    "text and segments": [
        route(SHOP, "/a", "s1", "s2"),
        route(SHOP, "/a", "s3", "s4", match=PathMatch.SEGMENTS),
    ],
    "names that hold a path": [
        route("a", "/b/", "s1", "s2", name="a/b/"),
        route("a/b", "/", "s3", "s4", name="a/b/"),
    ],
}


@pytest.fixture
def services():
    return Services("hall", random.Random(1), lambda policy: None)


def taken(services, used, requests=REQUESTS):
    """Return the requests that each service gets for a route."""
    return collections.Counter(services.service_for(used) for _ in range(requests))


@pytest.mark.parametrize("order", [1, -1])
@pytest.mark.parametrize("routes", CASES.values(), ids=CASES)
def test_routes_of_equal_names_keep_to_their_own_services(services, routes, order):
    """Guards against requests at services that no route allows for them.

    The shares of one route were used for another one of the same name.
    """
    services.install_rules(1, [], routes[::order])
    for used in routes:
        counts = taken(services, used)
        assert set(counts) == set(used.service_names())
        if used.backends:
            assert abs(counts[used.service] - REQUESTS * 0.9) <= 2


def swapped(routes):
    names = [each.name for each in reversed(routes)]
    return [attrs.evolve(r, name=n) for r, n in zip(routes, names, strict=True)]


CHANGES = {
    "renamed": lambda routes: [attrs.evolve(r, name="x") for r in routes],
    "swapped": swapped,
    "reordered": lambda routes: routes[::-1],
    "other services added": lambda routes: [*routes, route(DESK, "/c/", "s9", "s8")],
    "time-out changed": lambda routes: [attrs.evolve(r, deadline_ms=9) for r in routes],
}


@pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
def test_shares_survive_changes_of_the_names(services, change):
    """Guards against shares that begin anew at each change of the configuration.

    With a change after each request, the second service got none.
    """
    routes = [
        route(SHOP, "/a/", "s1", "s2", name="one"),
        route(DESK, "/a/", "s1", "s2", name="two"),
    ]
    counts = {each.identity: collections.Counter() for each in routes}
    for revision in range(1, REQUESTS):
        services.install_rules(revision, [], routes)
        for used in routes:
            if used.identity in counts:
                counts[used.identity] += taken(services, used, requests=1)
        changed = change(routes)
        routes = changed if len(changed) == 2 or revision == 1 else routes
    for each in counts.values():
        assert abs(each["s2"] - REQUESTS * 0.1) <= 2


def test_shares_that_change_begin_anew(services):
    first = [route(SHOP, "/a/", "s1", "s2")]
    services.install_rules(1, [], first)
    assert set(taken(services, first[0])) == {"s1", "s2"}
    second = [route(SHOP, "/a/", "s3", "s4")]
    services.install_rules(2, [], second)
    assert set(taken(services, second[0])) == {"s3", "s4"}


def test_identity_is_what_selects_a_route():
    plain = route(SHOP, "/a/", "s1")
    same = [
        route(SHOP, "/a/", "s2", name="other"),
        route(f"{SHOP}.", "/a/", "s1"),
        attrs.evolve(plain, deadline_ms=5),
    ]
    other = [
        route(DESK, "/a/", "s1"),
        route(None, "/a/", "s1"),
        route(SHOP, "/a", "s1"),
        route(SHOP, "/a/", "s1", match=PathMatch.SEGMENTS),
    ]
    assert {each.identity for each in same} == {plain.identity}
    assert plain.identity not in {each.identity for each in other}
    assert str(plain.identity) == "shop.example/a/"
    assert str(other[1].identity) == "*/a/"


SERVICES = ("s1", "s2", "s3", "s4")
drawn_routes = st.builds(
    lambda host, prefix, used, name, match: route(
        host, prefix, *used, name=name, match=match
    ),
    st.sampled_from([SHOP, DESK, None]),
    st.sampled_from(["/", "/a/", "/a/b/"]),
    st.lists(st.sampled_from(SERVICES), min_size=1, max_size=2, unique=True),
    st.sampled_from(["orders", "reads"]),
    st.sampled_from(PathMatch),
)


@settings(deadline=None, max_examples=200)
@given(st.lists(st.lists(drawn_routes, max_size=6), max_size=6))
def test_whatever_their_names_routes_keep_to_their_services(revisions):
    """Guards against requests at services that the route in force does not allow."""
    services = Services("hall", random.Random(1), lambda policy: None)
    for revision, routes in enumerate(revisions, 1):
        services.install_rules(revision, [], routes)
        for host in (SHOP, DESK, "other.example"):
            for path in ("/x", "/a/x", "/a/b/x"):
                found = services.route(path, host)
                if found is not None:
                    assert services.service_for(found) in found.service_names()
