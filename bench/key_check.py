"""Measure the processor time of a caller's request without targets: `make key-check`.

A request passes `CallersApp` with a forwarder that answers at once, with and without
workspaces in turn. Unlike a daemon's processor time, this is not hidden by other load.
"""

# gevent must patch the standard library before any module that uses sockets loads.
from gevent import monkey

monkey.patch_all()

import contextlib  # noqa: E402
import random  # noqa: E402
import statistics  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import attrs  # noqa: E402

from cairnferry.entry.callers import BodyLimits, CallersApp  # noqa: E402
from cairnferry.entry.callers._forward import Forwarded  # noqa: E402
from cairnferry.entry.http import Answer  # noqa: E402
from cairnferry.entry.http._head_fields import HeadFields  # noqa: E402
from cairnferry.entry.targets import Services  # noqa: E402
from cairnferry.entry.telemetry import Metrics  # noqa: E402
from cairnferry.entry.workspaces import WorkspaceRegistry  # noqa: E402
from cairnferry.policy import Relay  # noqa: E402
from cairnferry.records import (  # noqa: E402
    Change,
    Put,
    RecordSet,
    Workspace,
    digest_key,
)
from cairnferry.standins import route_v2, service_v2  # noqa: E402

KEY = "k" * 43
ROUNDS = 30
REQUESTS = 1000
# Checks of the key on the way of one attempt: before it, and on its connection.
CHECKS = 2


@attrs.frozen
class InstantForwarder:
    """Forwarder that checks the key as an attempt does, and answers at once."""

    forwarded: Forwarded = attrs.field(
        factory=lambda: Forwarded(Answer("200 OK", [], b""), Relay())
    )

    def forward(self, req, call, runtime):
        """Return the answer."""
        for _ in range(CHECKS):
            req.find_problem()
        return self.forwarded


@attrs.define
class Request:
    """The parts of a handler that the application uses."""

    headers: HeadFields
    path: str = "/s/x"
    command: str = "GET"
    body: bytes = b""
    problem: None = None
    arrived: float = 0.0
    client_address: tuple = ("127.0.0.1", 1)

    def header_pairs(self):
        """Return the headers."""
        return self.headers.items()

    def cancellable(self):
        """Return a context without effect."""
        return contextlib.nullcontext()


def main() -> int:
    """Measure and print the figures."""
    services = Services("z", random.Random(1), lambda policy: None)
    edits = (Put(service_v2("s"), 0), Put(route_v2("r", "/s", "s"), 0))
    services.install(RecordSet().apply(1, (Change("c", edits),)).ok)
    registry = WorkspaceRegistry()
    app = CallersApp(
        services,
        InstantForwarder(),
        None,
        Metrics(),
        BodyLimits(1000, 5),
        workspaces=registry,
    )
    workspace = Workspace("acme", frozenset([digest_key(KEY)]))
    indexes = {
        "without": registry.prepare(None),
        "with": registry.prepare([workspace]),
    }
    headers = [
        ("Host", "127.0.0.1:1"),
        ("User-Agent", "bench"),
        ("X-Request-Id", "7"),
        ("Cairnferry-Timeout", "1000"),
        ("Authorization", f"Bearer {KEY}"),
    ]
    request = Request(HeadFields(headers))
    found = {name: [] for name in indexes}
    for _ in range(ROUNDS):
        for name, index in indexes.items():
            registry.install(index)
            started = time.process_time()
            for _ in range(REQUESTS):
                app._answer(request)
            found[name].append((time.process_time() - started) / REQUESTS * 1e6)
    for name, each in found.items():
        median = statistics.median(each)
        print(f"{name} keys: least {min(each):.1f} us, median {median:.1f} us")
    return 0


if __name__ == "__main__":
    sys.exit(main())
