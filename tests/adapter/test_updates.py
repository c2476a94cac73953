"""Updates of rules and targets, from the store or from peers in a store outage."""

import json

import gevent
import pytest
from gevent.event import Event

from cairnferry.coordination import NO_DOCUMENT_NEWS
from cairnferry.entry import _restarting_task
from cairnferry.entry.following import _followed
from cairnferry.entry.following._handover import Handover
from cairnferry.entry.following._rules_exchange import MAX_BUSY_RETRIES
from cairnferry.standins import wait_for

from ._standins import configuration, rule, target_row


@pytest.fixture(autouse=True)
def short_coalescing(monkeypatch):
    """Shorten the pause between calls for targets; no test relies on it."""
    monkeypatch.setattr(_followed, "TARGETS_COALESCE_S", 0.001)


def wait_for_revision(daemon, revision):
    wait_for(lambda: daemon.core.services.revision == revision)


def test_newer_configuration_takes_effect(
    daemon, store, start_target, wait_for_targets
):
    start_target("i-2", service="two")
    rules = [rule(service="two")]
    store.put("op", "config", configuration(9, rules=rules, clusters=("two",)))
    wait_for_revision(daemon, 9)
    wait_for_targets(daemon, "i-2")
    assert daemon.call().body.startswith(b"i-2")


@pytest.mark.parametrize("failures", [1, 3])
def test_configuration_that_could_not_be_installed_takes_effect_later(
    failures, daemon, store, start_target, wait_for_targets, monkeypatch
):
    """Guards against rules that count as held and are not in force until the next."""
    start_target()
    wait_for_targets(daemon, "i-1")
    monkeypatch.setattr(_restarting_task, "RETRY_S", 0.01)
    install, errors = daemon.core.update_shares, [ValueError("x")] * failures

    def fail_at_first():
        if errors:
            raise errors.pop()
        install()

    monkeypatch.setattr(daemon.core, "update_shares", fail_at_first)
    store.put("op", "config", configuration(9, max_header_bytes=20_000))
    wait_for(lambda: daemon.core.cfg.caller_limits.head_bytes == 20_000)
    assert daemon.core.services.revision == 9
    assert daemon.call().status == 200


def test_older_configuration_is_ignored(daemon, store):
    store.put("op", "config", configuration(2, rules=[rule(prefix="/old/")]))
    store.put("op", "other", {"x": 1})
    store.put("op", "config", configuration(4))
    wait_for_revision(daemon, 4)
    assert daemon.call("/old/").status == 404


@pytest.mark.parametrize(
    "document", [b"{", b"[]", {"version": "r9"}, configuration(9, clusters=("other",))]
)
def test_unreadable_configuration_leaves_current_rules_in_force(
    document, daemon, store, start_target, wait_for_targets, caplog
):
    start_target()
    wait_for_targets(daemon, "i-1")
    store.put("op", "config", document)
    wait_for(lambda: daemon.core.cluster.configuration.behind)
    assert daemon.core.services.revision == 3
    assert daemon.call().status == 200
    assert "rules cannot be read" in caplog.text
    store.put("op", "config", configuration(10))
    wait_for_revision(daemon, 10)
    assert daemon.core.cluster.configuration.behind is None


def test_configuration_sets_limits(daemon, store):
    store.put("op", "config", configuration(5, max_body_bytes=10, idle_timeout="7s"))
    wait_for_revision(daemon, 5)
    assert daemon.call(method="POST", body=b"x" * 11).status == 413
    assert daemon.core.callers_server.limits.idle_s == 7.0


def test_draining_target_gets_no_new_requests(
    daemon, store, start_target, wait_for_targets
):
    first, second = start_target(), start_target("i-2", load="3,0,4,400")
    wait_for_targets(daemon, "i-1", "i-2")
    store.put("servers", "i-1", target_row(first.port, state="draining"))
    wait_for(
        lambda: any(
            target.lifecycle == "draining" for target in daemon.core.services.targets()
        )
    )
    for _ in range(5):
        assert daemon.call().body.startswith(b"i-2")
    assert (len(first.seen), len(second.seen)) == (0, 5)


def test_removed_target_gets_no_new_requests(
    daemon, store, start_target, wait_for_targets
):
    first = start_target()
    start_target("i-2")
    wait_for_targets(daemon, "i-1", "i-2")
    store.drop("servers", "i-1")
    wait_for_targets(daemon, "i-2")
    for _ in range(5):
        assert daemon.call().body.startswith(b"i-2")
    assert first.seen == []


def test_tables_are_listed_again_when_history_is_lost(
    daemon, store, start_target, wait_for_targets
):
    """Guards against use of a target that left while the history was dropped."""
    start_target()
    start_target("i-2")
    wait_for_targets(daemon, "i-1", "i-2")
    store.down = "cut"
    store.drop("servers", "i-1")
    store.put("op", "config", configuration(20))
    store.drop_history()
    store.down = None
    wait_for_revision(daemon, 20)
    wait_for_targets(daemon, "i-2")


@pytest.mark.parametrize("fault", [503, 429, "cut", "words"])
def test_requests_are_served_while_store_is_unavailable(
    fault, daemon, store, start_target, wait_for_targets
):
    start_target()
    wait_for_targets(daemon, "i-1")
    store.down = fault
    store.put("servers", "i-0", b"wakes those that wait")
    before = store.calls.total()
    wait_for(lambda: store.calls.total() > before + 3)
    assert daemon.call().status == 200
    store.down = None
    store.put("op", "config", configuration(8))
    wait_for_revision(daemon, 8)


def test_slow_answer_takes_effect_on_arrival(store, start_daemon):
    store.put("op", "config", configuration())
    store.faults["/api/rows-get"] = ["slow"] * 3
    daemon = start_daemon(wait=False)
    wait_for(lambda: store.calls["/api/rows-get"] >= 3)
    assert daemon.call().status == 503
    store.resume.set()
    wait_for_revision(daemon, 3)


def test_daemon_refused_by_store_gets_updates_from_a_peer(daemon, store, start_daemon):
    """Guards against a daemon that serves old rules while the store refuses it.

    Its peers have newer rules, so it must not depend on the store alone.
    """
    other = start_daemon("front-2")
    wait_for(lambda: len(daemon.core.cluster.membership.live()) == 2)
    document = json.dumps(configuration(30)).encode()
    store.down = 503
    other.core.cluster.configuration.apply(document)
    wait_for_revision(daemon, 30)


def test_daemon_can_start_while_store_is_unavailable(store, start_daemon):
    store.put("op", "config", configuration())
    store.down = 503
    daemon = start_daemon(wait=False)
    wait_for(lambda: store.calls["/api/rows-tx"] >= 2)
    assert daemon.call().status == 503
    store.down = None
    wait_for_revision(daemon, 3)
    wait_for(lambda: daemon.core.cluster.listed)


def test_request_in_progress_survives_a_change_of_rules(
    daemon, store, start_target, wait_for_targets
):
    """Guards against requests that fail when the configuration changes."""
    gate = Event()
    target = start_target(behave=lambda number: gate)
    wait_for_targets(daemon, "i-1")
    caller = gevent.spawn(daemon.call)
    target.arrived.wait()
    rules = [rule("r-9", "/z/", service="two")]
    store.put("op", "config", configuration(9, rules=rules, clusters=("two",)))
    wait_for_revision(daemon, 9)
    gate.set()
    assert caller.get().status == 200


def test_daemon_started_in_store_outage_gets_handover_from_others(
    daemon, store, start_daemon, start_target, wait_for_targets
):
    """Guards against a restarted daemon that refuses all requests in a store outage.

    It stores no state itself and depended on the store alone, while other daemons
    continued to serve.
    """
    start_target()
    wait_for_targets(daemon, "i-1")
    store.down = 503
    seeds = [daemon.cfg.handover]
    other = start_daemon("front-2", seeds=seeds)
    wait_for_targets(other, "i-1")
    assert other.call().status == 200
    store.down = None
    store.drop("servers", "i-1")
    wait_for_targets(other)


def test_handover_is_replaced_by_content_of_store(
    daemon, store, start_daemon, start_target, wait_for_targets
):
    start_target()
    wait_for_targets(daemon, "i-1")
    store.down = 503
    other = start_daemon("front-2", seeds=[daemon.cfg.handover])
    wait_for_targets(other, "i-1")
    start_target("i-2")
    store.drop("servers", "i-1")
    store.put("op", "config", configuration(40))
    store.down = None
    wait_for_revision(other, 40)
    wait_for_targets(other, "i-2")


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"rules": 1, "targets": []}', b'{"rules": "!!"}']
)
def test_malformed_handover_is_rejected(body):
    assert Handover.read(body).is_error()


def test_daemon_without_rules_offers_no_handover(store, start_daemon):
    first = start_daemon(wait=False)
    reply = first.get(first.cfg.handover, "/handover")
    assert reply.status == 503


def test_calls_to_peer_without_offered_rules_are_limited(daemon, monkeypatch):
    """Guards against endless calls to a peer that lost the rules that it offered."""
    requested = []

    class Link:
        address = "10.0.0.9:1"

        def document_since(self, revision):
            requested.append(revision)
            return NO_DOCUMENT_NEWS

    def call_at_once(pause, function, *args):
        function(*args)

    monkeypatch.setattr(_followed.gevent, "spawn_later", call_at_once)
    records = daemon.core.cluster.configuration
    records.pull_from(Link(), offered=records.revision + 1)
    assert len(requested) == 1 + MAX_BUSY_RETRIES
