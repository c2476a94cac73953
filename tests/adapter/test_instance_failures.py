"""Instances that are killed, frozen, stopped, or restarted with another clock."""

import signal
import time

import gevent
import pytest
from gevent.event import Event

from cairnferry.standins import unique_loopback_host, wait_for
from cairnferry.wire import Client, Incomplete, NotSent, Reply
from hosting._settings import read_host_settings

from ._standins import configuration, rule
from .conftest import settings_text
from .test_process import Program

ORDERS = [rule(prefix="/o/", kind="unsafe", attempts=2), rule("r-2")]


class Instance(Program):
    """A program with its own IP address, and a client for it."""

    def __init__(self, folder, store_port, number):
        self.host = unique_loopback_host(number + 2)
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

    def resolve(self):
        """Return this instance's steering answer to callers; None if it is down."""
        path = "/api/resolve?name=shop.example&zone=hall"
        client = Client(self.host, self.cfg.directory.port)
        reply = client.call("GET", path, timeout=10)
        return reply.body.decode() if isinstance(reply, Reply) else None

    def lists(self, *others):
        addresses = self.resolve() or ""
        return all(str(other.cfg.callers) in addresses for other in others)

    def lists_none(self, *others):
        addresses = self.resolve()
        return addresses and not any(
            str(other.cfg.callers) in addresses for other in others
        )


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
        instance.stop()


@pytest.fixture
def three(start, start_target):
    """Return three instances that list each other and use one target."""
    start_target()
    instances = [start(number) for number in range(3)]
    for instance in instances:
        wait_for(lambda i=instance: i.is_serving() and i.lists(*instances))
    return instances


def kill(instance):
    instance.process.send_signal(signal.SIGKILL)
    instance.process.wait()


def test_service_recovers_after_most_instances_are_killed(three, start, store):
    """Guards against steering callers to instances that are gone.

    Two of three instances are killed at once, and restart under the same names.
    """
    first, *others = three
    for instance in others:
        kill(instance)
    wait_for(lambda: first.lists_none(*others))
    assert first.is_serving()
    back = [start(number) for number in (1, 2)]
    for instance in back:
        wait_for(lambda i=instance: i.is_serving() and i.lists(first, *back))
    wait_for(lambda: first.lists(*back))
    keys = [key for key in store.rows["cairnferry-entries"] if key == " key"]
    assert len(keys) == 1


def test_service_recovers_after_all_instances_are_killed(three, start):
    """Guards against a power failure after which no instance serves.

    Instances must not depend on state that only they hold, as they store none.
    """
    for instance in three:
        kill(instance)
    back = [start(number) for number in range(3)]
    for instance in back:
        wait_for(lambda i=instance: i.is_serving() and i.lists(*back))


def test_order_in_flight_at_killed_instance_runs_once(three, start_target, store):
    """Guards against an order that runs twice as another instance retries it."""
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


def test_frozen_instance_is_listed_again_when_it_resumes(three):
    """Guards against an instance that gets no callers after a pause of some seconds.

    It is frozen until the others consider it gone, and then resumes. It must receive
    that update and refute it.
    """
    first, second, frozen = three
    frozen.process.send_signal(signal.SIGSTOP)
    wait_for(lambda: first.lists_none(frozen))
    frozen.process.send_signal(signal.SIGCONT)
    wait_for(lambda: first.lists(frozen) and second.lists(frozen))
    assert frozen.is_serving()


def test_callers_with_old_steering_answer_are_served_by_leaving_instance(three):
    """Guards against errors for callers with an old steering answer at a restart.

    An instance gets SIGTERM, and callers that still use its address connect to it until
    it has exited. Each connection is served or refused.
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
    assert first.lists_none(leaving)
    leaving.process.wait()
    assert leaving.process.returncode == 0
    assert leaving.logged("left")[0]["every_request_answered"] is True


def test_many_callers_of_a_leaving_instance_are_served_or_refused(three):
    """Guards against connections that a closing listener resets.

    Thirty callers connect to an instance from its SIGTERM until it has exited.
    """
    _, leaving, _ = three
    leaving.process.send_signal(signal.SIGTERM)
    wait_for(lambda: leaving.logged("leaving"))

    def call_until_refused():
        while True:
            outcome = leaving.call()
            if not isinstance(outcome, Reply) or outcome.status != 200:
                return outcome

    callers = [gevent.spawn(call_until_refused) for _ in range(30)]
    outcomes = [caller.get() for caller in callers]
    assert not [each for each in outcomes if isinstance(each, Incomplete)]
    assert all(each.status == 503 for each in outcomes if isinstance(each, Reply))
    leaving.process.wait()
    assert leaving.logged("left")[0]["every_request_answered"] is True


def test_leaving_instance_serves_for_three_steering_answer_lifetimes(daemon):
    """Guards against callers that keep a steering answer three times its lifetime."""
    cfg = daemon.core.cfg
    assert cfg.leaving.serve_s >= 3 * cfg.answer_ttl_s
    assert cfg.leaving.serve_s + cfg.leaving.limit_s < daemon.cfg.stop_s


def test_restarted_instance_whose_clock_was_set_back_is_listed(
    start_daemon, store, monkeypatch
):
    """Guards against an instance that gets no callers after its clock was set back.

    It restarts under its name with its clock an hour behind. The others must not take
    its incarnation for an older one.
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
