"""Three daemons and six targets, and ways to break the paths between them."""

import socket

import pytest

from cairnferry.standins import wait_for
from cairnferry.wire import ConnectionPool
from tests.adapter._standins import HOST, configuration, rule

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
    """Return a function that cuts a daemon off from all targets.

    It returns a function that ends the cut.
    """

    def cut_off(daemon, address):
        upstreams = daemon.core.upstreams
        pools = upstreams._pools
        upstreams._pools = LostPaths(address)

        def mend():
            upstreams._pools = pools

        return mend

    return cut_off


@pytest.fixture
def targets(start_target):
    return [start_target(f"i-{number}") for number in range(TARGETS)]


@pytest.fixture
def start_daemons(store, start_daemon, targets):
    """Return a function that starts daemons that know each other and all targets."""

    def start(document, count=3, targets=TARGETS, **options):
        store.put("op", "config", document)
        started = [start_daemon(f"front-{number}") for number in range(count)]
        for daemon in started:
            wait_for(lambda d=daemon: len(d.core.cluster.membership.live()) == count)
            wait_for(lambda d=daemon: len(d.core.services.targets()) == targets)
            daemon.call(**options)
        return started

    return start


@pytest.fixture
def daemons(start_daemons):
    return start_daemons(configuration(rules=RULES))
