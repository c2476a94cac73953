"""Instances that have lost their paths to the targets, as callers see them."""

import socket

import gevent
import pytest

from cairnferry.standins import wait_for
from cairnferry.wire import ConnectionPool, Reply

from ._standins import HOST, configuration, rule

RULES = [
    rule("r-1", "/a/", attempts=2),
    rule("r-2", "/o/", kind="unsafe", attempts=2),
]
TARGETS = 6


class LostPaths(dict):
    """Connection pools of a daemon whose path to each target leads elsewhere.

    Parameters
    ----------
    address : tuple of (str, int)
        Where connections to targets lead.
    """

    def __init__(self, address):
        super().__init__()
        self.address = address

    def get(self, key, default=None):
        if key not in self:
            self[key] = ConnectionPool(self.address)
        return self[key]


@pytest.fixture(autouse=True)
def long_answer_wait():
    """Wait for status checks as long as in operation; here they get no answers."""


@pytest.fixture
def silent_address():
    """Return an address that accepts connections and never answers."""
    listener = socket.create_server((HOST, 0), backlog=1024)
    yield listener.getsockname()
    listener.close()


@pytest.fixture
def refusing_address():
    """Return an address that refuses connections."""
    with socket.create_server((HOST, 0)) as listener:
        return listener.getsockname()


@pytest.fixture
def cut():
    """Return a function that cuts a daemon off from all targets."""

    def cut_off(daemon, address):
        upstreams = daemon.core.upstreams
        pools = dict(upstreams._pools)
        upstreams._pools = LostPaths(address)
        return pools

    return cut_off


def mend(daemon, pools):
    daemon.core.upstreams._pools = pools


@pytest.fixture
def targets(start_target):
    return [start_target(f"i-{number}") for number in range(TARGETS)]


@pytest.fixture
def daemons(store, start_daemon, targets):
    """Return three daemons that know each other and all targets."""
    store.put("op", "config", configuration(rules=RULES))
    started = [start_daemon(f"front-{number}") for number in range(3)]
    for daemon in started:
        wait_for(lambda d=daemon: len(d.core.cluster.membership.live()) == 3)
        wait_for(lambda d=daemon: len(d.core.services.targets()) == TARGETS)
        daemon.call()
    return started


def served(replies):
    return sum(isinstance(each, Reply) and each.status == 200 for each in replies)


def call_often(daemon, count=20, **options):
    """Send requests one after the other; return how they ended."""
    replies = []
    for number in range(count):
        gevent.sleep(0.02)
        replies.append(daemon.call(request_id=f"{daemon.cfg.name}-{number}", **options))
    return replies


@pytest.mark.parametrize("how", ["silent", "refusing"])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_callers_of_an_instance_without_paths_to_targets_are_served(
    daemons, cut, request, how, method
):
    """Guards against requests given up at an instance that is cut off from targets."""
    cut_off = daemons[0]
    cut(cut_off, request.getfixturevalue(f"{how}_address"))
    # The state is known after the first requests.
    options = {"path": "/o/x", "method": "POST", "body": b"order"}
    if method == "GET":
        options = {}
    call_often(cut_off, 3, deadline_ms=1_000, **options)
    replies = call_often(cut_off, deadline_ms=1_000, **options)
    others = call_often(daemons[1], deadline_ms=1_000, **options)
    assert served(others) == 20
    assert served(replies) >= 0.9 * served(others)
