"""Workspaces on the users' platform, with daemons in processes of their own."""

import base64
import json
import signal

import pytest

from cairnferry.records import digest_key
from cairnferry.standins import unique_loopback_host, wait_for
from cairnferry.standins._relay import Relay
from cairnferry.wire import Client, Reply, connect

from ._processes import ALIVE_METRIC, METRICS_PORT, DaemonProcess
from ._standins import HOST, configuration, rule
from .conftest import settings_text

SECRET = "s3cret-"
KEY = SECRET + "acme"
OTHER_KEY = SECRET + "other"
RULES = [rule(), rule("r-2", "/open/") | {"anonymous": True}]
ZONES = ("hall", "hall", "yard")


def rules(version, *keys):
    tenants = [
        {"name": "acme", "api_keys": list(keys)},
        {"name": "other", "api_keys": [OTHER_KEY]},
    ]
    return configuration(version, rules=RULES, tenants=tenants)


def status(daemon, key=None, path="/a/x"):
    headers = [("Cairnferry-Request-Id", "r"), ("Cairnferry-Deadline-Ms", "4000")]
    if key is not None:
        headers.append(("Authorization", f"Bearer {key}"))
    client = Client(daemon.host, daemon.cfg.callers.port, host_name="shop.example")
    reply = client.call("GET", path, timeout=10, headers=headers)
    client.close()
    return reply.status if isinstance(reply, Reply) else None


class Fleet:
    """Daemons that reach the store through a relay each."""

    def __init__(self, store, folder):
        self.relays = []
        self.daemons = []
        seeds = []
        for number, zone in enumerate(ZONES):
            relay = Relay((HOST, store.port))
            self.relays.append(relay)
            port = int(relay.address.rpartition(":")[2])
            host = unique_loopback_host(number + 1)
            text = settings_text(port, f"front-{number}", seeds, host)
            text = text.replace("zone=hall", f"zone={zone}")
            daemon = DaemonProcess(folder, host, text)
            seeds.append(daemon.cfg.handover)
            self.daemons.append(daemon)
        # A daemon that restarts in an outage asks any other one for a handover.
        listed = ",".join(map(str, seeds))
        for daemon in self.daemons:
            lines = daemon.text.splitlines()
            lines = [f"seeds={listed}" if "seeds=" in each else each for each in lines]
            daemon.text = "\n".join(lines) + "\n"

    def await_status(self, expected, key=None):
        for daemon in self.daemons:
            wait_for(lambda each=daemon: status(each, key) == expected)

    def stop(self):
        for daemon in self.daemons:
            daemon.kill()
        for relay in self.relays:
            relay.stop()


@pytest.fixture
def fleet(store, tmp_path, start_target):
    """Return three daemons of two zones, with two workspaces in force."""
    store.put("op", "config", rules(3, KEY))
    start_target()
    fleet = Fleet(store, tmp_path)
    try:
        fleet.await_status(200, KEY)
        for daemon in fleet.daemons:
            wait_for(lambda each=daemon: each.metric(ALIVE_METRIC) == len(ZONES))
        yield fleet
    finally:
        fleet.stop()


def test_no_key_is_shown_logged_or_handed_over(fleet):
    """Guards against keys in what operators read and in what daemons send."""
    for daemon in fleet.daemons:
        for key in (KEY, SECRET + "unknown", SECRET + "x" * 600, SECRET + "\t"):
            status(daemon, key)
            status(daemon, key, "/open/x")
            status(daemon, key, "/nowhere")
        daemon.process.send_signal(signal.SIGUSR1)
    for daemon in fleet.daemons:
        wait_for(lambda each=daemon: each.logged("dump"))
        (dump,) = daemon.logged("dump")
        assert dump["dump"]["workspaces"] == {"count": 2, "required": True}
        assert daemon.logged("request answered")[0]["workspace"] == "acme"
        causes = {line["cause"] for line in daemon.logged("request rejected")}
        assert {"key-unknown", "key-malformed"} <= causes
        assert SECRET not in daemon.log.read_text()
        metrics = Client(daemon.host, METRICS_PORT).call("GET", "/metrics", timeout=10)
        assert b'cause="key-unknown"' in metrics.body
        assert SECRET.encode() not in metrics.body
        control = Client(daemon.host, daemon.cfg.handover.port)
        handover = control.call("GET", "/handover", timeout=10).body
        document = json.loads(handover)["rules"]
        assert SECRET not in str(handover)
        assert base64.b64decode(document).count(digest_key(KEY).encode()) == 1
        assert SECRET.encode() not in base64.b64decode(document)


def test_sender_of_only_a_head_gets_its_answer(fleet, read_until):
    """Guards against bodies that are read for requests that are refused anyway."""
    daemon = fleet.daemons[0]
    sock = connect((daemon.host, daemon.cfg.callers.port), 5).sock
    with sock:
        sock.sendall(
            b"POST /a/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer x\r\n"
            b"Cairnferry-Request-Id: r\r\nContent-Length: 50000\r\n\r\n"
        )
        assert read_until(sock, b"key-unknown").startswith(b"HTTP/1.1 401 ")


def test_daemon_without_rules_answers_503_not_401(store, tmp_path):
    """Guards against callers that give up a valid key because of a restart."""
    store.down = 503
    host = unique_loopback_host(1)
    daemon = DaemonProcess(tmp_path, host, settings_text(store.port, host=host))
    try:
        wait_for(lambda: status(daemon, KEY) == 503)
        assert status(daemon) == 503
    finally:
        daemon.kill()


def test_daemon_cut_off_from_the_store_hears_of_a_revocation(fleet, store):
    """Guards against a revoked key that a daemon without the store still serves."""
    first, second, _ = fleet.daemons
    for number in (0, 1):
        fleet.relays[number].cut()
    store.put("op", "config", rules(4))
    for daemon in (first, second):
        wait_for(lambda each=daemon: status(each, KEY) == 401)
        assert status(daemon, OTHER_KEY) == 200


def test_revoked_key_stays_revoked_over_restarts_in_an_outage(fleet, store):
    """Guards against a handover that brings a revoked key back."""
    store.put("op", "config", rules(4))
    fleet.await_status(401, KEY)
    store.down = 503
    for number in (0, 2):
        fleet.daemons[number].kill()
        fleet.daemons[number] = fleet.daemons[number].restart()
        wait_for(lambda n=number: status(fleet.daemons[n], OTHER_KEY) == 200)
        assert status(fleet.daemons[number], KEY) == 401
        assert status(fleet.daemons[number]) == 401
        assert status(fleet.daemons[number], path="/open/x") == 200


def test_key_is_revoked_in_a_rolling_restart(fleet, store):
    """Guards against a daemon that serves a revoked key after its restart."""
    for number, daemon in enumerate(fleet.daemons):
        daemon.process.send_signal(signal.SIGTERM)
        daemon.process.wait()
        if number == 1:
            store.put("op", "config", rules(4))
        fleet.daemons[number] = daemon.restart()
        wait_for(lambda n=number: status(fleet.daemons[n], OTHER_KEY) == 200)
    fleet.await_status(401, KEY)
