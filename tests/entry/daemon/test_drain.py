"""Drain of a daemon by the operators' tool."""

import gevent
import pytest

from cairnferry.entry.http import TIMEOUT_HEADER
from cairnferry.standins import wait_for
from cairnferry.wire import Reply


@pytest.fixture
def draining(install):
    """Return a system whose daemon e2, with little time to finish, drains.

    Its callers' listener is open, and a lookup that was sent before is in progress.
    """
    system = install(["t1"], {"e1": "zone-a"}, service_ms=1500)
    daemon = system.start_daemon("e2", "zone-a", drain__limit_s="2")
    system.publish_instances()
    wait_for(lambda: is_served(call(daemon, "GET")))
    before = runs(system)
    lookup = gevent.spawn(call, daemon, "GET")
    wait_for(lambda: runs(system) > before)
    assert system.run_ctl("drain", daemon=daemon).returncode == 0
    return system, daemon, lookup


def call(daemon, method):
    headers = [(TIMEOUT_HEADER, "20000")]
    return daemon.call("callers", method, "/s/x", headers=headers)


def is_served(reply):
    return isinstance(reply, Reply) and reply.status == 200


def runs(system):
    return len(system.target_events("t1")["seen"])


def test_drain_answers_what_is_in_progress_and_refuses_what_it_may_cut(draining):
    """Guards against an order that a draining daemon takes and cuts."""
    system, daemon, lookup = draining
    before = runs(system)
    reply = call(daemon, "POST")
    assert (reply.status, b"leaving" in reply.body) == (503, True)
    assert runs(system) == before
    assert lookup.get().status == 200
    assert daemon.popen.wait() == 0
