"""Rules and targets as the store tells them, and as peers do when it does not."""

import json

import gevent
import pytest
from gevent.event import Event

from cairnferry.coordination import NO_DOCUMENT_NEWS
from cairnferry.entry.following import _followed
from cairnferry.entry.following._handover import Handover
from cairnferry.entry.following._rules_exchange import MAX_BUSY_RETRIES
from cairnferry.standins import wait_for

from ._standins import configuration, rule, target_row


@pytest.fixture(autouse=True)
def prompt_news(monkeypatch):
    """Ask for targets again at once; the pause is a price, not a promise."""
    monkeypatch.setattr(_followed, "TARGETS_COALESCE_S", 0.001)


def in_force(daemon, revision):
    wait_for(lambda: daemon.core.services.revision == revision)


def test_a_newer_configuration_is_in_force(daemon, store, start_target, knows):
    start_target("i-2", service="two")
    rules = [rule(service="two")]
    store.put("op", "config", configuration(9, rules=rules, clusters=("two",)))
    in_force(daemon, 9)
    knows(daemon, "i-2")
    assert daemon.call().body.startswith(b"i-2")


def test_an_older_configuration_changes_nothing(daemon, store):
    store.put("op", "config", configuration(2, rules=[rule(prefix="/old/")]))
    store.put("op", "other", {"x": 1})
    store.put("op", "config", configuration(4))
    in_force(daemon, 4)
    assert daemon.call("/old/").status == 404


@pytest.mark.parametrize(
    "document", [b"{", b"[]", {"version": "r9"}, configuration(9, clusters=("other",))]
)
def test_a_configuration_that_cannot_be_read_leaves_what_is_in_force(
    document, daemon, store, start_target, knows, caplog
):
    start_target()
    knows(daemon, "i-1")
    store.put("op", "config", document)
    wait_for(lambda: daemon.core.cluster.configuration.behind)
    assert daemon.core.services.revision == 3
    assert daemon.call().status == 200
    assert "rules cannot be read" in caplog.text
    store.put("op", "config", configuration(10))
    in_force(daemon, 10)
    assert daemon.core.cluster.configuration.behind is None


def test_limits_come_with_the_configuration(daemon, store):
    store.put("op", "config", configuration(5, max_body_bytes=10, idle_timeout="7s"))
    in_force(daemon, 5)
    assert daemon.call(method="POST", body=b"x" * 11).status == 413
    assert daemon.core.callers_server.limits.idle_s == 7.0


def test_a_target_that_drains_gets_no_new_request(daemon, store, start_target, knows):
    first, second = start_target(), start_target("i-2", load="3,0,4,400")
    knows(daemon, "i-1", "i-2")
    store.put("servers", "i-1", target_row(first.port, state="draining"))
    wait_for(
        lambda: any(
            target.lifecycle == "draining" for target in daemon.core.services.targets()
        )
    )
    for _ in range(5):
        assert daemon.call().body.startswith(b"i-2")
    assert (len(first.seen), len(second.seen)) == (0, 5)


def test_a_target_that_is_removed_gets_no_new_request(
    daemon, store, start_target, knows
):
    first = start_target()
    start_target("i-2")
    knows(daemon, "i-1", "i-2")
    store.drop("servers", "i-1")
    knows(daemon, "i-2")
    for _ in range(5):
        assert daemon.call().body.startswith(b"i-2")
    assert first.seen == []


def test_lost_history_is_listed_again(daemon, store, start_target, knows):
    """Symptom: a target that left while history was dropped is used for ever."""
    start_target()
    start_target("i-2")
    knows(daemon, "i-1", "i-2")
    store.down = "cut"
    store.drop("servers", "i-1")
    store.put("op", "config", configuration(20))
    store.forget_history()
    store.down = None
    in_force(daemon, 20)
    knows(daemon, "i-2")


@pytest.mark.parametrize("fault", [503, 429, "cut", "words"])
def test_what_is_in_force_serves_while_the_store_is_away(
    fault, daemon, store, start_target, knows
):
    start_target()
    knows(daemon, "i-1")
    store.down = fault
    store.put("servers", "i-0", b"wakes those that wait")
    before = store.calls.total()
    wait_for(lambda: store.calls.total() > before + 3)
    assert daemon.call().status == 200
    store.down = None
    store.put("op", "config", configuration(8))
    in_force(daemon, 8)


def test_a_slow_answer_comes_in_force_when_it_is_there(store, start_daemon):
    store.put("op", "config", configuration())
    store.faults["/api/rows-get"] = ["slow"] * 3
    daemon = start_daemon(wait=False)
    wait_for(lambda: store.calls["/api/rows-get"] >= 3)
    assert daemon.call().status == 503
    store.resume.set()
    in_force(daemon, 3)


def test_a_daemon_that_the_store_refuses_hears_of_news_from_a_peer(
    daemon, store, start_daemon
):
    """Symptom: a daemon serves old rules for as long as it is cut from the store.

    Cause: it had only its own way to the store, although its peers knew better.
    """
    other = start_daemon("front-2")
    wait_for(lambda: len(daemon.core.cluster.membership.live()) == 2)
    document = json.dumps(configuration(30)).encode()
    store.down = 503
    other.core.cluster.configuration.apply(document)
    in_force(daemon, 30)


def test_daemons_start_while_the_store_is_away(store, start_daemon):
    store.put("op", "config", configuration())
    store.down = 503
    daemon = start_daemon(wait=False)
    wait_for(lambda: store.calls["/api/rows-tx"] >= 2)
    assert daemon.call().status == 503
    store.down = None
    in_force(daemon, 3)
    wait_for(lambda: daemon.core.cluster.listed)


def test_a_request_in_progress_outlives_a_change_of_rules(
    daemon, store, start_target, knows
):
    """Symptom: requests are cut whenever the configuration changes."""
    hold = Event()
    target = start_target(behave=lambda number: hold)
    knows(daemon, "i-1")
    caller = gevent.spawn(daemon.call)
    target.arrived.wait()
    rules = [rule("r-9", "/z/", service="two")]
    store.put("op", "config", configuration(9, rules=rules, clusters=("two",)))
    in_force(daemon, 9)
    hold.set()
    assert caller.get().status == 200


def test_a_daemon_that_starts_in_an_outage_takes_over_what_others_hold(
    daemon, store, start_daemon, start_target, knows
):
    """Symptom: a daemon that was restarted refuses every request to the end of an
    outage of the store, although the others serve.

    Cause: it keeps nothing, and had nobody to ask but the store.
    """
    start_target()
    knows(daemon, "i-1")
    store.down = 503
    seeds = [daemon.cfg.handover]
    other = start_daemon("front-2", seeds=seeds)
    knows(other, "i-1")
    assert other.call().status == 200
    store.down = None
    store.drop("servers", "i-1")
    knows(other)


def test_what_is_taken_over_is_replaced_by_what_the_store_says(
    daemon, store, start_daemon, start_target, knows
):
    start_target()
    knows(daemon, "i-1")
    store.down = 503
    other = start_daemon("front-2", seeds=[daemon.cfg.handover])
    knows(other, "i-1")
    start_target("i-2")
    store.drop("servers", "i-1")
    store.put("op", "config", configuration(40))
    store.down = None
    in_force(other, 40)
    knows(other, "i-2")


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"rules": 1, "targets": []}', b'{"rules": "!!"}']
)
def test_a_handover_that_cannot_be_read_changes_nothing(body):
    assert Handover.read(body).is_error()


def test_a_daemon_without_rules_hands_nothing_over(store, start_daemon):
    first = start_daemon(wait=False)
    reply = first.get(first.cfg.handover, "/handover")
    assert reply.status == 503


def test_a_peer_that_has_nothing_to_give_is_not_asked_for_ever(daemon, monkeypatch):
    """Guards against calls without end to a peer that lost the rules it offered."""
    asked = []

    class Link:
        address = "10.0.0.9:1"

        def document_since(self, revision):
            asked.append(revision)
            return NO_DOCUMENT_NEWS

    def at_once(pause, function, *args):
        function(*args)

    monkeypatch.setattr(_followed.gevent, "spawn_later", at_once)
    records = daemon.core.cluster.configuration
    records.pull_from(Link(), offered=records.revision + 1)
    assert len(asked) == 1 + MAX_BUSY_RETRIES
