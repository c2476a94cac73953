"""Orders that start at every moment of a planned stop, with work of every length."""

import signal
import time

import gevent
import pytest
from gevent.event import Event

from cairnferry.standins import unique_loopback_host, wait_for
from cairnferry.wire import connect, encode_request

from ._processes import DaemonProcess
from ._standins import configuration, rule, target_row
from .conftest import settings_text

GRACE_S = 4.0
# Seconds between two orders, and before the signal from which they are sent.
GAP_S = 0.04
BEFORE_S = 0.3
ORDERS = int((BEFORE_S + GRACE_S + 0.5) / GAP_S)
SLOTS = 500


def send(sock, request_id, timeout_ms):
    headers = [
        ("Cairnferry-Request-Id", request_id),
        ("Cairnferry-Deadline-Ms", str(timeout_ms)),
    ]
    method = "GET" if request_id == "first" else "POST"
    sock.sendall(encode_request(method, "/b/x", "shop.example", headers, b""))


def read_status(sock):
    """Return the status of an answer, or None if there is none."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = sock.recv(4096)
        if not data:
            return None
        received += data
    return int(received.split(b" ")[1])


@pytest.mark.parametrize("timeout_s", [1.0, 5.0])
@pytest.mark.parametrize("work_s", [0.02, 0.3, 0.9, 1.5, 2.5, 3.5])
def test_an_order_that_ran_in_a_stop_is_answered(
    work_s, timeout_s, store, start_target, tmp_path
):
    """Guards against orders that are taken late in a stop, run, and are then cut."""

    def work(number):
        done = Event()
        gevent.spawn_later(work_s if number > 1 else 0.0, done.set)
        return done

    target = start_target(behave=work, load=f"1,0,{SLOTS},100")
    store.put("servers", "i-1", target_row(target.port, max_concurrency=SLOTS))
    rules = [rule("r-1", "/b/", kind="unsafe", timeout=f"{timeout_s:g}s")]
    store.put("op", "config", configuration(rules=rules))
    host = unique_loopback_host(1)
    text = settings_text(store.port, host=host)
    text = text.replace("bounds.grace=6s", f"bounds.grace={GRACE_S:g}s")
    daemon = DaemonProcess(tmp_path, host, text)
    try:
        answers = _play(daemon, timeout_s)
        assert daemon.process.wait() == 0
    finally:
        daemon.kill()
    ran = [headers["cairnferry-request-id"] for *_, headers, _ in target.seen]
    assert len(ran) == len(set(ran))
    orders = [name for name in ran if name != "first"]
    assert orders
    assert {name: answers[name] for name in orders if answers[name] is None} == {}
    not_run = {name for name, status in answers.items() if status == 503}
    assert not not_run & set(ran)


def _play(daemon, timeout_s):
    """Send orders before, during and after the stop; return the answers by order."""
    address = (daemon.host, daemon.cfg.callers.port)
    wait_for(lambda: daemon.logged("targets"))
    socks = [connect(address, 10).sock for _ in range(ORDERS)]
    for sock in socks:
        sock.settimeout(30)
    first = connect(address, 10).sock
    send(first, "first", 5000)
    assert read_status(first) == 200
    first.close()
    answers = {}
    started = time.monotonic()

    def order(number, sock):
        gevent.sleep(max(0.0, started + number * GAP_S - time.monotonic()))
        name = f"o-{number}"
        answers[name] = None
        try:
            send(sock, name, int(timeout_s * 1000))
            answers[name] = read_status(sock)
        except OSError:
            return

    tasks = [gevent.spawn(order, *pair) for pair in enumerate(socks)]
    gevent.sleep(BEFORE_S)
    daemon.process.send_signal(signal.SIGTERM)
    gevent.joinall(tasks, raise_error=True)
    return answers
