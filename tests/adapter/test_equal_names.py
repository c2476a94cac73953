"""Names that occur more than once in a configuration."""

import collections
import itertools

import pytest

from cairnferry.standins import wait_for

from ._standins import configuration, rule

SHOP, DESK = "shop.example", "desk.example"
REQUESTS = 40
SERVICES = ("s1", "s2", "s3", "s4", "s5", "s6")


def shares(first, second):
    return [{"service": first, "weight": 9}, {"service": second, "weight": 1}]


@pytest.fixture
def daemon(store, start_target, start_daemon, wait_for_targets):
    """Return a daemon with a target for each service."""
    store.put("op", "config", document({SHOP: [rule(service="s1")]}, 3))
    daemon = start_daemon()
    for service in SERVICES:
        start_target(f"i-{service}", service=service)
    wait_for_targets(daemon, *(f"i-{service}" for service in SERVICES))
    return daemon


def document(rules_by_host, version):
    """Return a configuration with several hosts, also with equal ones."""
    found = configuration(version, clusters=SERVICES)
    pairs = rules_by_host.items() if hasattr(rules_by_host, "items") else rules_by_host
    found["listeners"] = [{"host": host, "rules": rules} for host, rules in pairs]
    return found


@pytest.fixture
def install(store, daemon):
    versions = itertools.count(4)

    def install(rules_by_host):
        version = next(versions)
        store.put("op", "config", document(rules_by_host, version))
        wait_for(lambda: daemon.core.services.revision == version)

    return install


def ran_at(daemon, host, path):
    """Return the services that run requests, with their numbers."""
    found = collections.Counter()
    for number in range(REQUESTS):
        reply = daemon.call(path, host=host, request_id=f"{host}{path}{number}")
        found[reply.body.decode().split(" ")[0].removeprefix("i-")] += 1
    return found


VARIANTS = {
    "other shares": {
        SHOP: [rule("r", backends=shares("s1", "s2"))],
        DESK: [rule("r", backends=shares("s3", "s4"))],
    },
    "shares and a service": {
        SHOP: [rule("r", backends=shares("s1", "s2"))],
        DESK: [rule("r", service="s3")],
    },
    "three at one host": {
        SHOP: [
            rule("r", "/a/", backends=shares("s1", "s2")),
            rule("r", "/b/", backends=shares("s3", "s4")),
            rule("r", "/a/b/", backends=shares("s5", "s6")),
        ]
    },
    "one host in two listeners": [
        (SHOP, [rule("r", "/a/", backends=shares("s1", "s2"))]),
        (SHOP, [rule("r", "/b/", backends=shares("s3", "s4"))]),
    ],
}


@pytest.mark.parametrize("variant", VARIANTS.values(), ids=VARIANTS)
def test_requests_of_routes_of_one_name_run_where_their_own_route_allows(
    daemon, install, variant
):
    """Guards against requests at services of another route of the same name."""
    install(variant)
    pairs = variant.items() if hasattr(variant, "items") else variant
    for host, rules in pairs:
        for each in rules:
            action, prefix = each["action"], each["match"]["prefix"]
            backends = action.get("backends", [action])
            found = ran_at(daemon, host, prefix + "x")
            assert set(found) == {backend["service"] for backend in backends}


def test_a_version_that_swaps_two_names_moves_no_request(daemon, install):
    """Guards against requests at the services of the route that had the name before."""
    for names in (("r", "q"), ("q", "r"), ("r", "q")):
        prefixes, services = ("/a/", "/b/"), (("s1", "s2"), ("s3", "s4"))
        rules = [
            rule(name, prefix, backends=shares(*pair))
            for name, prefix, pair in zip(names, prefixes, services, strict=True)
        ]
        install({SHOP: rules})
        assert set(ran_at(daemon, SHOP, "/a/x")) == {"s1", "s2"}
        assert set(ran_at(daemon, SHOP, "/b/x")) == {"s3", "s4"}


def test_learnt_times_belong_to_a_route_and_outlast_its_name(daemon, install):
    """Guards against the work time of another route, and its loss as a name changes."""
    install({SHOP: [rule("r", service="s1")], DESK: [rule("r", service="s1")]})
    for _ in range(3):
        assert daemon.call(host=SHOP).status == 200
    assert daemon.call(host=DESK).status == 200
    services = daemon.core.services
    work = services.runtime("s1").policy._work
    shop, desk = (services.route("/a/x", host).identity for host in (SHOP, DESK))
    before = work.seconds(shop), work.seconds(desk)
    assert 0.0 not in before
    assert before[0] != before[1]
    longest = daemon.core.departure.longest
    assert longest.seconds(shop) != longest.seconds(desk)
    install({DESK: [rule("q", service="s1")], SHOP: [rule("p", service="s1")]})
    shop, desk = (services.route("/a/x", host).identity for host in (SHOP, DESK))
    assert (work.seconds(shop), work.seconds(desk)) == before


def test_log_lines_tell_routes_of_one_name_apart(daemon, install, caplog):
    install({SHOP: [rule("r", service="s1")], DESK: [rule("r", service="s1")]})
    caplog.clear()
    for host in (SHOP, DESK):
        daemon.call(host=host, request_id=host)
    lines = {r.request_id: r for r in caplog.records if hasattr(r, "route_prefix")}
    assert lines[SHOP].route == lines[DESK].route == "r"
    assert lines[SHOP].route_prefix == "shop.example/a/"
    assert lines[DESK].route_prefix == "desk.example/a/"


def test_of_two_clusters_of_one_name_the_last_one_counts(store, daemon, install):
    """Guards against a service whose parts come from different definitions."""
    found = document({SHOP: [rule(service="s1")]}, 99)
    first = dict(found["clusters"][0], health_path="/other")
    found["clusters"].insert(0, first)
    store.put("op", "config", found)
    wait_for(lambda: daemon.core.services.revision == 99)
    assert daemon.core.services.runtime("s1").policy.service.health_path == "/health"
    targets = [t for t in daemon.core.services.targets() if t.service == "s1"]
    assert [target.health_path for target in targets] == ["/health"]
    assert set(ran_at(daemon, SHOP, "/a/x")) == {"s1"}


def test_of_two_workspaces_of_one_name_the_configuration_is_rejected(store, daemon):
    """Guards against a customer whose limit is that of another one."""
    tenants = [{"name": "acme", "api_keys": [key]} for key in ("k-1", "k-2")]
    found = document({SHOP: [rule(service="s1")]}, 98) | {"tenants": tenants}
    store.put("op", "config", found)
    wait_for(lambda: daemon.core.metrics.faulty_rows["rules"] == 1)
    assert daemon.core.services.revision == 3
