"""What else depends on the route of a path that equals a prefix without its slash."""

import pytest

from cairnferry.policy import RequestIdentity

from ._standins import configuration, rule
from .conftest import POST

KEY = ("Authorization", "Bearer s3cret-one")
TENANTS = [{"name": "acme", "api_keys": ["s3cret-one"]}]


def test_anonymous_rule_does_not_open_the_path_without_its_slash(
    store, start_daemon, start_target, wait_for_targets
):
    """Guards against requests without a key on a path of a rule that needs one."""
    rules = [rule("r-1", "/a/"), rule("r-2", "/a/open/") | {"anonymous": True}]
    store.put("op", "config", configuration(rules=rules, tenants=TENANTS))
    daemon = start_daemon()
    start_target()
    wait_for_targets(daemon, "i-1")
    assert daemon.call("/a/open/").status == 200
    assert daemon.call("/a/open").status == 401
    assert daemon.call("/a/open", headers=[KEY]).status == 200


def test_pipelined_orders_on_a_path_without_the_slash_do_not_run_at_once(
    store, start_daemon
):
    """Guards against orders of one connection that run side by side."""
    rules = [rule("r-1", "/a/", kind="unsafe"), rule("r-2", "/a/read/")]
    store.put("op", "config", configuration(rules=rules))
    daemon = start_daemon()

    class Request:
        problem = None
        command = "POST"
        headers = {"host": "shop.example"}

        def __init__(self, path):
            self.path = path

    app = daemon.core.callers_app
    assert app.may_run_concurrently(Request("/a/read/x"))
    assert not app.may_run_concurrently(Request("/a/read"))
    assert not app.may_run_concurrently(Request("/a/read?x=/a/read/"))


@pytest.mark.parametrize("size", [5, 90_000])
def test_timeout_and_body_check_follow_the_rule_that_begins_the_path(
    store, start_daemon, start_target, wait_for_targets, size
):
    """Guards against the time limit of another rule, with small and large bodies."""
    rules = [
        rule("r-1", "/a/", kind="unsafe", timeout="300ms"),
        rule("r-2", "/a/slow/", service="two", timeout="9s"),
    ]
    store.put("op", "config", configuration(rules=rules, clusters=("svc", "two")))
    daemon = start_daemon()
    target = start_target()
    start_target("i-2", service="two")
    wait_for_targets(daemon, "i-1", "i-2")
    reply = daemon.call("/a/slow", **(POST | {"body": b"x" * size}))
    assert reply.body == b"i-1 /a/slow"
    assert int(target.seen[0][2]["cairnferry-deadline-ms"]) <= 300


def test_blocks_distinguish_a_path_from_the_same_with_a_slash():
    """Guards against a block of a request that also blocks one on another path."""
    paths = ("/a/x", "/a/x/", "/a/x?", "/a//x", "/a/%78")
    contents = {RequestIdentity("GET", "shop.example", path).content for path in paths}
    assert len(contents) == len(paths)


def test_directory_answers_for_any_form_of_a_host(daemon):
    """Guards against callers that get no addresses for another form of their host."""
    for name in ("shop.example", "Shop.Example", "shop.example.", "[::1]"):
        path = f"/api/resolve?name={name}&region=there&zone=hall"
        assert daemon.get(daemon.cfg.directory, path).status == 200
