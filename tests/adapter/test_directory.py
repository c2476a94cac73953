"""Steering answers to callers, and readiness."""

import json

import gevent

from cairnferry.standins import wait_for
from hosting._registry import TABLE


def test_directory_lists_caller_addresses_of_daemons(daemon, start_daemon):
    other = start_daemon("front-2")
    path = "/api/resolve?name=shop.example&region=there&zone=hall"

    def lists_both():
        reply = daemon.get(daemon.cfg.directory, path)
        document = json.loads(reply.body)
        assert document["ttl"] == "0.9s"
        expected = {str(daemon.cfg.callers), str(other.cfg.callers)}
        return set(document["addresses"]) == expected

    wait_for(lists_both)
    assert daemon.get(daemon.cfg.ready, "/api/ready").status == 200
    assert daemon.get(daemon.cfg.directory, "/api/other").status == 404


def test_leaving_daemon_is_not_ready_nor_listed_but_serves(
    daemon, start_daemon, start_target, wait_for_targets
):
    other = start_daemon("front-2")
    start_target()
    wait_for_targets(other, "i-1")
    path = "/api/resolve?name=shop.example&zone=hall"
    wait_for(lambda: len(_addresses(daemon, path)) == 2)
    gevent.spawn(other.core.run_to_end)
    other.core.leave()
    wait_for(lambda: _addresses(daemon, path) == [str(daemon.cfg.callers)])
    assert other.get(other.cfg.ready, "/api/ready").status == 503
    # Callers with an old steering answer are still served.
    assert other.call().status == 200


def test_leaving_daemon_removes_its_row(daemon, start_daemon, store):
    other = start_daemon("front-2")
    rows = store.rows[TABLE]
    wait_for(lambda: "front-2" in rows and rows["front-2"].value is not None)
    gevent.spawn(other.core.run_to_end)
    other.core.leave()
    wait_for(lambda: rows["front-2"].value is None)
    assert rows["front-1"].value is not None


def _addresses(daemon, path):
    return json.loads(daemon.get(daemon.cfg.directory, path).body)["addresses"]
