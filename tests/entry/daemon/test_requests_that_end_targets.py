"""Daemons on the own interface, as processes, and a request that ends targets."""

import json

import pytest

from cairnferry.standins import wait_for

DAEMONS = {"e1": "zone-a", "e2": "zone-b", "e3": "zone-b"}
TARGETS = ("a", "b", "c", "d", "e")
POISON = "/s/poison"
TURNS = 6
# Three that prove it, and three while it is told to all daemons.
GRANTED_ENDS = 3 + 3
ROUNDS = "cairnferry_peer_rounds_total"


@pytest.fixture
def installed(install):
    """Give a system with one service, whose targets end on a marked path."""
    system = install(TARGETS, DAEMONS, service_ms=1)
    for name in TARGETS:
        system.set_target(name, ends_on="poison")
    return system


def rounds_of(daemon):
    reply = daemon.call("operators", "GET", "/metrics")
    for line in reply.body.decode().splitlines():
        if line.startswith(ROUNDS):
            return float(line.split(" ")[1])
    return 0.0


def let_news_go_round(system):
    before = {name: rounds_of(each) for name, each in system.daemons.items()}
    for name, each in system.daemons.items():
        wait_for(lambda d=each, n=before[name]: rounds_of(d) >= n + 2)


def count_ends(system):
    """Count ends once all targets are back."""
    states = [
        wait_for(lambda t=target: t.read("http", "/_control"))
        for target in system.targets.values()
    ]
    return sum(state["ends"] for state in states)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_that_ends_targets_is_soon_kept_from_them_by_all(installed, method):
    """Each of the daemons met it as new, and sent a lookup to three targets."""
    daemons = list(installed.daemons.values())
    for turn in range(TURNS):
        daemon = daemons[turn % len(daemons)]
        reply = daemon.call("callers", method, POISON)
        let_news_go_round(installed)
    assert count_ends(installed) <= GRANTED_ENDS
    assert reply.status == 503
    assert json.loads(reply.body)["cause"] == "ends-targets"
    for daemon in daemons:
        wait_for(lambda d=daemon: d.call("callers", "GET", "/s/other").status == 200)
    listed = installed.tool("blocked", "--json")
    (block,) = json.loads(listed.stdout)["blocked"]
    assert block["content"] in installed.tool("blocked").stdout
    # Targets that a release has mended: the operator need not wait for the next trial.
    for name in TARGETS:
        installed.set_target(name, ends_on="")
    assert installed.tool("unblock", block["content"]).returncode == 0
    assert installed.tool("unblock", "none-such").returncode != 0
    for daemon in daemons:
        wait_for(lambda d=daemon: d.call("callers", method, POISON).status == 200)


def test_what_is_known_of_such_a_request_outlives_the_loss_of_all_daemons(installed):
    """Symptom: after a loss of power it ends three targets once more."""
    daemons = list(installed.daemons.values())
    for turn in range(4):
        daemons[turn % len(daemons)].call("callers", "POST", POISON)
        let_news_go_round(installed)
    before = count_ends(installed)
    assert before == 3
    wait_for(lambda: installed.tool("blocked").stdout.count("s ago") == 1)
    for daemon in daemons:
        daemon.popen.kill()
        daemon.popen.wait()
    for name, zone in DAEMONS.items():
        installed.start_daemon(name, zone)
    installed.await_serving()
    installed.await_revision(1)
    for daemon in installed.daemons.values():
        wait_for(lambda d=daemon: d.read("operators", "/v1/blocked")["blocked"])
        reply = daemon.call("callers", "POST", POISON)
        assert json.loads(reply.body)["cause"] == "ends-targets"
    assert count_ends(installed) == before
