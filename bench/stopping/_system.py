"""Daemons of the platform's adapter, and the process of their store and targets."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import gevent
from gevent.event import Event

from cairnferry.standins import free_port, start_child, wait_for
from cairnferry.wire import Client, Reply

ROOT = pathlib.Path(__file__).parents[2]
METRICS_PORT = 9464
ALIVE_METRIC = 'cairnferry_members{state="alive"}'
HOST_NAME = "shop.example"
TARGETS = 6
SETTINGS = """\
node_name={name}
zone=hall
region=there
listen.front={host}:{front}
listen.ready={host}:{ready}
listen.directory={host}:{directory}
listen.control={host}:{control}
seeds={seeds}
port_range={peer},{peer}
limits.max_fds=4100
bounds.drain=2000ms
bounds.grace={grace_ms}ms
bounds.config_apply=2000ms
bounds.ttl_max={ttl_max_ms}ms
bounds.retry_budget_ratio=0.2
bounds.retry_budget_slack=64
bounds.retry_window=10s
bounds.probes_per_s=60
platform.address=127.0.0.1:{store}
"""
PORTS = ("front", "ready", "directory", "control", "peer")


class TargetsProcess:
    """The process of the store and the targets."""

    def __init__(self, setup, host):
        self._process = start_child(
            [sys.executable, "-m", "bench.stopping._targets"],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        wanted = {
            "host": host,
            "targets": TARGETS,
            "timeout_s": setup.route_timeout_s,
        }
        self._process.stdin.write(json.dumps(wanted) + "\n")
        self._process.stdin.flush()
        self.store_port = json.loads(self._process.stdout.readline())["store"]

    def end(self):
        """End the process; return what the targets ran."""
        runs, _ = self._process.communicate()
        return json.loads(runs)

    def kill(self):
        if self._process.poll() is None:
            self._process.kill()
            self._process.wait()


class Daemon:
    """A daemon in a process of its own.

    Attributes
    ----------
    told_at, gone_at : float or None
        Monotonic times in seconds at which SIGTERM was sent and the process had ended.
    gone : Event
        Set when the process has ended.
    """

    def __init__(self, folder, host, text):
        values = dict(line.split("=", 1) for line in text.splitlines())
        self.name = values["node_name"]
        self.host = host
        self.address = (host, int(values["listen.front"].rpartition(":")[2]))
        self.handover = values["listen.control"]
        self.told_at = self.gone_at = None
        self.gone = Event()
        self._settings = folder / f"{self.name}.conf"
        self._settings.write_text(text)
        self.log = folder / f"{self.name}.log"
        with open(self.log, "w") as output:
            self.process = start_child(
                [sys.executable, "-m", "hosting"],
                cwd=folder,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    "PYTHONPATH": str(ROOT / "platform"),
                    "CAIRNFERRY_CONFIG": str(self._settings),
                },
            )

    def stop(self, grace_s):
        """Send SIGTERM, and SIGKILL after the grace as the platform does."""
        self.told_at = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        gevent.spawn(self._watch, grace_s)

    def _watch(self, grace_s):
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.process.wait(timeout=grace_s)
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.gone_at = time.monotonic()
        self.gone.set()

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def change_settings(self):
        text = self._settings.read_text()
        self._settings.write_text(text.replace("probes_per_s=60", "probes_per_s=30"))
        self.signal(signal.SIGHUP)

    def serves(self):
        headers = [
            ("Cairnferry-Request-Id", f"first-{time.monotonic_ns()}"),
            ("Cairnferry-Deadline-Ms", "2000"),
        ]
        client = Client(*self.address, host_name=HOST_NAME)
        reply = client.call("GET", "/s/0/first", timeout=5, headers=headers)
        client.close()
        return isinstance(reply, Reply) and reply.status == 200

    def alive(self):
        """Return how many daemons this one sees alive."""
        reply = Client(self.host, METRICS_PORT).call("GET", "/metrics", timeout=5)
        if isinstance(reply, Reply):
            for line in reply.body.decode().splitlines():
                name, _, value = line.rpartition(" ")
                if name == ALIVE_METRIC:
                    return float(value)
        return None

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


@contextlib.contextmanager
def running_system(setup, folder, hosts, daemons):
    """Start the targets and the daemons; wait until all serve.

    Parameters
    ----------
    setup : Setup
        Settings.
    folder : pathlib.Path
        Folder for settings and logs.
    hosts : list of str
        Loopback addresses of the targets and of each daemon, which nobody else uses.
    daemons : int
        Number of daemons.
    """
    started = []
    targets = TargetsProcess(setup, hosts[0])
    try:
        for number in range(daemons):
            text = SETTINGS.format(
                name=f"front-{number + 1}",
                host=hosts[number + 1],
                store=targets.store_port,
                seeds=",".join(each.handover for each in started[:1]),
                grace_ms=round(setup.grace_s * 1000),
                ttl_max_ms=round(setup.ttl_max_s * 1000),
                **{part: free_port() for part in PORTS},
            )
            started.append(Daemon(folder, hosts[number + 1], text))
        for each in started:
            wait_for(each.serves)
        for each in started:
            wait_for(lambda daemon=each: daemon.alive() == daemons)
        yield targets, started
    finally:
        for each in started:
            each.kill()
        targets.kill()
