"""Callers of workspaces, and what they and a target observe."""

import time
from collections import Counter

import gevent

from cairnferry.wire import Client, Reply

from ._standins import configuration

WINDOW_S = 5.0
OVER = 0.1
SLACK = 20


def bound(rate, burst, seconds=WINDOW_S):
    """Return the maximum number of requests in a window by the contract."""
    return (rate * seconds + burst) * (1 + OVER) + SLACK


def tenant(name, rate, burst, **more):
    """Return a workspace with the key `key-NAME` as operators write it."""
    return {
        "name": name,
        "api_keys": [f"key-{name}"],
        "rate_per_s": rate,
        "burst": burst,
        **more,
    }


def rules_with(tenants, version=3, **more):
    """Return a configuration document with workspaces."""
    return configuration(version, **more) | {"tenants": tenants}


class WorkspaceCallers:
    """Callers of one workspace, which send requests to daemons and count answers.

    Parameters
    ----------
    processes : list of DaemonProcess
        Daemons; each request goes to the next of them.
    name : str
        Name of the workspace.
    per_s : float
        Requests per second.
    """

    def __init__(self, processes, name, per_s):
        self.processes = processes
        self.name = name
        self.per_s = per_s
        self.answers = []
        self._requests = []
        self._task = gevent.spawn(self._run)

    def stop(self):
        """Send no more requests, and wait for the answers to those under way."""
        self._task.kill()
        gevent.joinall(self._requests)

    def _run(self):
        number = 0
        while True:
            number += 1
            process = self.processes[number % len(self.processes)]
            self._requests.append(gevent.spawn(self._send, process, number))
            gevent.sleep(1 / self.per_s)

    def _send(self, process, number):
        sent = time.monotonic()
        reply = call_as(process, self.name, request_id=f"r-{number}")
        status = reply.status if isinstance(reply, Reply) else "lost"
        retry_after = reply.header("retry-after") if isinstance(reply, Reply) else None
        self.answers.append((sent, status, retry_after, time.monotonic() - sent))

    def statuses(self, since=0.0):
        return Counter(status for sent, status, _, _ in self.answers if sent >= since)


def call_as(process, name, path="/a/x", request_id="r"):
    """Send a request with the key of a workspace; return the reply or the failure."""
    headers = [
        ("Cairnferry-Request-Id", request_id),
        ("Cairnferry-Deadline-Ms", "4000"),
        ("Authorization", f"Bearer key-{name}"),
    ]
    client = Client(process.host, process.cfg.callers.port, host_name="shop.example")
    try:
        return client.call("GET", path, timeout=10, headers=headers)
    finally:
        client.close()
