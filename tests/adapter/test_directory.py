"""Where callers are told to connect, and readiness."""

import json

import gevent

from cairnferry.standins import wait_for
from hosting._registry import TABLE


def test_callers_are_told_where_to_connect(daemon, start_daemon):
    other = start_daemon("front-2")
    path = "/api/resolve?name=shop.example&region=there&zone=hall"

    def both_named():
        reply = daemon.get(daemon.cfg.directory, path)
        document = json.loads(reply.body)
        assert document["ttl"] == "1s"
        wanted = {str(daemon.cfg.callers), str(other.cfg.callers)}
        return set(document["addresses"]) == wanted

    wait_for(both_named)
    assert daemon.get(daemon.cfg.ready, "/api/ready").status == 200
    assert daemon.get(daemon.cfg.directory, "/api/other").status == 404


def test_a_daemon_that_leaves_is_not_ready_and_not_named_but_serves(
    daemon, start_daemon, start_target, knows
):
    other = start_daemon("front-2")
    start_target()
    knows(other, "i-1")
    path = "/api/resolve?name=shop.example&zone=hall"
    wait_for(lambda: len(_addresses(daemon, path)) == 2)
    gevent.spawn(other.core.run_to_end)
    other.core.leave()
    wait_for(lambda: _addresses(daemon, path) == [str(daemon.cfg.callers)])
    assert other.get(other.cfg.ready, "/api/ready").status == 503
    # Callers that hold an old answer are still served.
    assert other.call().status == 200


def test_a_daemon_that_leaves_takes_its_row_away(daemon, start_daemon, store):
    other = start_daemon("front-2")
    rows = store.rows[TABLE]
    wait_for(lambda: "front-2" in rows and rows["front-2"].value is not None)
    gevent.spawn(other.core.run_to_end)
    other.core.leave()
    wait_for(lambda: rows["front-2"].value is None)
    assert rows["front-1"].value is not None


def _addresses(daemon, path):
    return json.loads(daemon.get(daemon.cfg.directory, path).body)["addresses"]
