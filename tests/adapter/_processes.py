"""Daemons of the adapter, each in a process of its own, and clients for them."""

import contextlib
import json
import os
import subprocess
import sys

from cairnferry.standins import start_child, unique_loopback_host, wait_for
from cairnferry.wire import Client, Reply
from hosting._settings import read_host_settings

from ._started import STARTED
from .conftest import settings_text
from .test_process import ROOT

METRICS_PORT = 9464
STATUS_FILE = "/proc/{pid}/status"
ROUNDS_METRIC = "cairnferry_peer_rounds_total"
ALIVE_METRIC = 'cairnferry_members{state="alive"}'


class DaemonProcess:
    """A daemon in a process, with a client for it."""

    def __init__(self, folder, host, text):
        self.folder = folder
        self.host = host
        self.text = text
        self.cfg = read_host_settings(text).ok
        settings = folder / f"{self.cfg.name}.conf"
        settings.write_text(text)
        self.log = folder / f"{self.cfg.name}.log"
        with open(self.log, "w") as output:
            self.process = start_child(
                [sys.executable, "-m", "hosting"],
                cwd=folder,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    "PYTHONPATH": str(ROOT / "platform"),
                    "CAIRNFERRY_CONFIG": str(settings),
                },
            )
        STARTED.add(self.process, self.log)

    def call(self, path, method="GET", body=b"", request_id="r"):
        headers = [
            ("Cairnferry-Request-Id", request_id),
            ("Cairnferry-Deadline-Ms", "4000"),
        ]
        client = Client(self.host, self.cfg.callers.port, host_name="shop.example")
        try:
            return client.call(method, path, timeout=10, headers=headers, body=body)
        finally:
            client.close()

    def serves(self, path):
        reply = self.call(path)
        return isinstance(reply, Reply) and reply.status == 200

    def metric(self, name):
        reply = Client(self.host, METRICS_PORT).call("GET", "/metrics", timeout=10)
        if not isinstance(reply, Reply):
            return None
        for line in reply.body.decode().splitlines():
            if line.split(" ")[0] == name:
                return float(line.split(" ")[1])
        return None

    def logged(self, message):
        lines = self.log.read_text().splitlines()
        found = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in found if line["message"] == message]

    def is_alive(self):
        return self.process.poll() is None

    def peak_memory(self):
        """Return the largest resident memory so far in bytes."""
        with open(STATUS_FILE.format(pid=self.process.pid)) as file:
            values = dict(line.split(":", 1) for line in file)
        return int(values["VmHWM"].split()[0]) * 1024

    def kill(self):
        self.process.kill()
        self.process.wait()

    def restart(self):
        """Start the daemon again as after a power failure: no state is kept."""
        return DaemonProcess(self.folder, self.host, self.text)


@contextlib.contextmanager
def running_fleet(store_port, zones, folder, changes=()):
    """Start a daemon per zone; wait until all serve and see each other as members.

    `changes` are pairs of settings lines: the default line and its replacement.
    """
    started = []
    seeds = []
    try:
        for number, zone in enumerate(zones):
            host = unique_loopback_host(number + 1)
            text = settings_text(store_port, f"front-{number}", seeds, host)
            for line, changed in [("zone=hall", f"zone={zone}"), *changes]:
                text = text.replace(line, changed)
            process = DaemonProcess(folder, host, text)
            seeds = seeds or [process.cfg.handover]
            started.append(process)
        for process in started:
            wait_for(lambda each=process: each.serves("/a/first"))
        for process in started:
            wait_for(lambda each=process: each.metric(ALIVE_METRIC) == len(zones))
        yield started
    finally:
        for process in started:
            process.kill()
