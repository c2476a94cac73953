"""Instances that are killed, frozen, told to leave, or started with another clock."""

import signal
import time

import gevent
import pytest
from gevent.event import Event

from cairnferry.standins import own_host, wait_for
from cairnferry.wire import Client, NotSent, Reply
from hosting._settings import read_host_settings

from ._standins import configuration, rule
from .conftest import settings_text
from .test_process import Program

ORDERS = [rule(prefix="/o/", kind="unsafe", attempts=2), rule("r-2")]


class Instance(Program):
    """A program with an address of its own."""

    def __init__(self, folder, store_port, number):
        self.host = own_host(number + 2)
        text = settings_text(store_port, name=f"front-{number}", host=self.host)
        self.cfg = read_host_settings(text).ok
        folder.mkdir(exist_ok=True)
        super().__init__(folder, text)

    def call(self, method="GET", path="/a/x", request_id="r", **options):
        headers = [
            ("Cairnferry-Request-Id", request_id),
            ("Cairnferry-Deadline-Ms", "20000"),
        ]
        client = Client(self.host, self.cfg.callers.port, host_name="shop.example")
        return client.call(method, path, timeout=30, headers=headers, **options)

    def is_serving(self):
        reply = self.call()
        return isinstance(reply, Reply) and reply.status == 200

    def named(self):
        """Give the addresses that this instance tells callers; None if it is down."""
        path = "/api/resolve?name=shop.example&zone=hall"
        client = Client(self.host, self.cfg.directory.port)
        reply = client.call("GET", path, timeout=10)
        return reply.body.decode() if isinstance(reply, Reply) else None

    def names(self, *others):
        named = self.named() or ""
        return all(str(other.cfg.callers) in named for other in others)

    def names_none(self, *others):
        named = self.named()
        return named and not any(str(other.cfg.callers) in named for other in others)


@pytest.fixture
def start(tmp_path, store):
    store.put("op", "config", configuration(rules=ORDERS))
    instances = []

    def start(number):
        instance = Instance(tmp_path / f"{number}", store.port, number)
        instances.append(instance)
        return instance

    yield start
    for instance in instances:
        instance.end()


@pytest.fixture
def three(start, start_target):
    """Give three instances that know each other and a target."""
    start_target()
    instances = [start(number) for number in range(3)]
    for instance in instances:
        wait_for(lambda i=instance: i.is_serving() and i.names(*instances))
    return instances


def kill(instance):
    instance.process.send_signal(signal.SIGKILL)
    instance.process.wait()


def test_most_instances_are_killed_and_come_back(three, start, store):
    """Symptom: callers are sent to instances that are gone, or none serves again.

    Events: two of three are killed at once and start again with the same names.
    """
    first, *others = three
    for instance in others:
        kill(instance)
    wait_for(lambda: first.names_none(*others))
    assert first.is_serving()
    back = [start(number) for number in (1, 2)]
    for instance in back:
        wait_for(lambda i=instance: i.is_serving() and i.names(first, *back))
    wait_for(lambda: first.names(*back))
    keys = [key for key in store.rows["cairnferry-entries"] if key == " key"]
    assert len(keys) == 1


def test_all_instances_are_killed_and_come_back(three, start):
    """Symptom: after a loss of power nobody serves.

    Cause would be anything that is kept by instances alone: they keep nothing.
    """
    for instance in three:
        kill(instance)
    back = [start(number) for number in range(3)]
    for instance in back:
        wait_for(lambda i=instance: i.is_serving() and i.names(*back))


def test_an_order_in_flight_at_a_killed_instance_runs_once(three, start_target, store):
    """Symptom: an order is placed twice. Cause: an instance repeats another's order."""
    first, other, _ = three
    store.drop("servers", "i-1")
    target = start_target("i-2", behave=lambda number: Event())
    wait_for(lambda: "i-2" in first.text() and "i-2" in other.text())
    caller = gevent.spawn(first.call, "POST", "/o/x", "order-1", body=b"order")
    target.arrived.wait()
    kill(first)
    assert not isinstance(caller.get(), Reply)
    target.behave = lambda number: None
    reply = other.call("POST", "/o/x", "order-2", body=b"order")
    assert reply.status == 200
    ran = [seen for seen in target.seen if "order-1" in str(seen)]
    assert len(ran) == 1


def test_an_instance_that_was_frozen_is_named_again(three):
    """Symptom: an instance that stood still for seconds gets no callers any more.

    Events: it is stopped until the others call it gone, and goes on. Cause would be
    that it does not hear of that, or cannot refute it.
    """
    first, second, frozen = three
    frozen.process.send_signal(signal.SIGSTOP)
    wait_for(lambda: first.names_none(frozen))
    frozen.process.send_signal(signal.SIGCONT)
    wait_for(lambda: first.names(frozen) and second.names(frozen))
    assert frozen.is_serving()


def test_callers_that_keep_an_old_answer_are_served_while_their_instance_leaves(three):
    """Symptom: callers with an old answer are cut when instances are restarted.

    Events: an instance is told to stop; callers that still know its address go on to
    connect to it until it is gone. Each of them is served or finds nobody there.
    """
    first, leaving, _ = three
    leaving.process.send_signal(signal.SIGTERM)
    wait_for(lambda: leaving.logged("leaving"))
    served = 0
    while True:
        reply = leaving.call()
        if not isinstance(reply, Reply):
            break
        assert reply.status == 200, leaving.text()[-3000:]
        assert reply.header("connection") == "close"
        served += 1
    assert served
    assert isinstance(reply, NotSent)
    assert first.names_none(leaving)
    leaving.process.wait()
    assert leaving.process.returncode == 0
    assert leaving.logged("left")[0]["every_request_answered"] is True


def test_an_instance_serves_on_for_three_times_the_life_of_an_answer(daemon):
    """Some callers keep an answer three times as long as they are told."""
    cfg = daemon.core.cfg
    assert cfg.leaving.serve_s >= 3 * cfg.answer_ttl_s
    assert cfg.leaving.serve_s + cfg.leaving.limit_s < daemon.cfg.stop_s


def test_an_instance_whose_clock_was_set_back_is_named_after_its_restart(
    start_daemon, store, monkeypatch
):
    """Symptom: an instance gets no callers after its time of day was corrected.

    Events: it starts again under its name while its clock is an hour behind. Cause
    would be that the others take its incarnation for an older one.
    """
    store.put("op", "config", configuration())
    first, second = start_daemon("front-1"), start_daemon("front-2")
    membership = first.core.cluster.membership
    wait_for(lambda: second.cfg.name in {m.name for m in membership.live()})
    before = membership.get("front-2").incarnation
    second.stop()
    wait_for(lambda: len(membership.live()) == 1)
    now = time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: now() - 3_600_000_000_000)
    start_daemon("front-2")
    wait_for(lambda: len(membership.live()) == 2)
    assert membership.get("front-2").incarnation > before
