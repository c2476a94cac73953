"""Quarantine of a request that crashes targets, with daemons as separate processes."""

import json

import pytest

from cairnferry.standins import wait_for

DAEMONS = {"e1": "zone-a", "e2": "zone-b", "e3": "zone-b"}
TARGETS = ("a", "b", "c", "d", "e")
POISON = "/s/poison"
TURNS = 6
# Three crashes until the request is blocked, and three more while the daemons report
# that to each other.
MAX_CRASHES = 3 + 3
ROUNDS = "cairnferry_peer_rounds_total"


@pytest.fixture
def installed(install):
    """Return a system with one service, whose targets crash on a marked path."""
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


def await_gossip(system):
    before = {name: rounds_of(each) for name, each in system.daemons.items()}
    for name, each in system.daemons.items():
        wait_for(lambda d=each, n=before[name]: rounds_of(d) >= n + 2)


def count_crashes(system):
    """Return the number of crashes, once all targets are restarted."""
    states = [
        wait_for(lambda t=target: t.read("http", "/_control"))
        for target in system.targets.values()
    ]
    return sum(state["ends"] for state in states)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_that_crashes_targets_is_blocked_by_all_daemons(installed, method):
    """Guards against daemons that each send the request to three targets.

    Every daemon treated the request as unknown.
    """
    daemons = list(installed.daemons.values())
    for turn in range(TURNS):
        daemon = daemons[turn % len(daemons)]
        reply = daemon.call("callers", method, POISON)
        await_gossip(installed)
    assert count_crashes(installed) <= MAX_CRASHES
    assert reply.status == 503
    assert json.loads(reply.body)["cause"] == "ends-targets"
    for daemon in daemons:
        wait_for(lambda d=daemon: d.call("callers", "GET", "/s/other").status == 200)
    listed = installed.run_ctl("blocked", "--json")
    (block,) = json.loads(listed.stdout)["blocked"]
    assert block["content"] in installed.run_ctl("blocked").stdout
    # After a fixed release of the targets, the operator need not wait for a trial.
    for name in TARGETS:
        installed.set_target(name, ends_on="")
    assert installed.run_ctl("unblock", block["content"]).returncode == 0
    assert installed.run_ctl("unblock", "none-such").returncode != 0
    for daemon in daemons:
        wait_for(lambda d=daemon: d.call("callers", method, POISON).status == 200)


def test_a_block_outlives_the_loss_of_all_daemons(installed):
    """Guards against a request that crashes three targets again after a power loss."""
    daemons = list(installed.daemons.values())
    for turn in range(4):
        daemons[turn % len(daemons)].call("callers", "POST", POISON)
        await_gossip(installed)
    before = count_crashes(installed)
    assert before == 3
    wait_for(lambda: installed.run_ctl("blocked").stdout.count("s ago") == 1)
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
    assert count_crashes(installed) == before
