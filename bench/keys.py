"""Measure what API keys cost: `make keys`.

Processor time of one daemon for each request with and without workspaces, and the time,
stalls and memory of 100,000 keys that come into force on the users' platform.
"""

# gevent must patch the standard library before any module that uses sockets loads.
from gevent import monkey

monkey.patch_all()

import gc  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import secrets  # noqa: E402
import statistics  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402

from bench.cases import Size  # noqa: E402
from bench.runner import SERVICE, Bench  # noqa: E402
from cairnferry.entry.following._rules_exchange import (  # noqa: E402
    compress_in_steps,
)
from cairnferry.entry.workspaces import WorkspaceRegistry  # noqa: E402
from cairnferry.standins import LocalSystem, wait_for, workspace_v2  # noqa: E402
from cairnferry.wire import Client  # noqa: E402
from hosting._configuration import ConfigurationDecoder  # noqa: E402
from hosting._workspaces import redact_keys  # noqa: E402

KEY = "k" * 43
WORKSPACES = 10_000
KEYS_EACH = 10
# Requests of one round, and rounds with and without workspaces.
REQUESTS = 500
ROUNDS = 40
TICK_S = 0.001
MS_PER_S = 1000


def main() -> int:
    """Measure both and print the figures."""
    _measure_install()
    if "install" in sys.argv:
        return 0
    with tempfile.TemporaryDirectory() as folder:
        with LocalSystem(pathlib.Path(folder)) as system:
            _measure_requests(system)
    return 0


# -- requests -----------------------------------------------------------------------


def _measure_requests(system):
    bench = Bench(system, Size("small", targets=4, slots=8, service_ms=0.0))
    bench.start_targets()
    bench.start_group("load-aware", 1)
    bench.configure()
    daemon = system.daemons["load-aware-0"]
    record = pathlib.Path(system.folder) / "workspace.json"
    record.write_text(json.dumps(workspace_v2("acme", KEY)))
    costs = {"without": [], "with": []}
    _run_round(daemon)
    for _ in range(ROUNDS):
        costs["without"].append(_run_round(daemon))
        system.run_ctl("submit", str(record), daemon=daemon)
        wait_for(lambda: _count(daemon) == 1)
        costs["with"].append(_run_round(daemon))
        system.run_ctl("withdraw", "workspace/acme", daemon=daemon)
        wait_for(lambda: _count(daemon) == 0)
    for name, found in costs.items():
        rounds = ", ".join(f"{each:.1f}" for each in found)
        print(f"{name} keys: {statistics.median(found):.1f} us a request ({rounds})")


def _count(daemon):
    return daemon.read("operators", "/v1/dump")["workspaces"]["count"]


def _run_round(daemon):
    """Return the daemon's processor time for a request, in microseconds."""
    host, _, port = daemon.addresses["callers"].partition(":")
    client = Client(host, int(port))
    headers = [("Authorization", f"Bearer {KEY}")]
    before = _cpu_s(daemon)
    for _ in range(REQUESTS):
        reply = client.call("GET", f"/{SERVICE}/x", timeout=5, headers=headers)
        if reply.status != 200:
            sys.exit(f"a request was answered with {reply.status}")
    client.close()
    return (_cpu_s(daemon) - before) / REQUESTS * 1e6


def _cpu_s(daemon):
    return daemon.read("operators", "/v1/dump")["metrics"]["cpu_s"]


# -- installation -------------------------------------------------------------------


@attrs.define
class Stalls:
    """Longest time for which no other task ran."""

    longest: float = 0.0
    _last: float = attrs.field(factory=time.perf_counter)

    def run(self):
        """Note the time between two turns of this task, for ever."""
        while True:
            gevent.sleep(TICK_S)
            now = time.perf_counter()
            self.longest = max(self.longest, now - self._last - TICK_S)
            self._last = now

    def measure(self, name, function):
        """Run a function, print its time and stalls, and return its result."""
        gevent.sleep(0.05)
        self.longest = 0.0
        started, cpu_started = time.perf_counter(), time.process_time()
        result = function()
        seconds = time.perf_counter() - started
        cpu_s = time.process_time() - cpu_started
        gevent.sleep(0.01)
        print(
            f"{name}: {seconds * MS_PER_S:.0f} ms ({cpu_s * MS_PER_S:.0f} ms of "
            f"processor time), longest stall "
            f"{self.longest * MS_PER_S:.1f} ms, memory {_rss_mb():.1f} MB"
        )
        return result


def _document(revision):
    return json.dumps(
        {
            "version": f"r{revision}",
            "clusters": [],
            "listeners": [],
            "limits": {
                "max_header_bytes": 1,
                "max_body_bytes": 1,
                "header_timeout": "1s",
                "idle_timeout": "1s",
            },
            "tenants": [
                {
                    "name": f"workspace-{number}",
                    "api_keys": [secrets.token_urlsafe(32) for _ in range(KEYS_EACH)],
                    "rate_per_s": 5,
                    "burst": 10,
                }
                for number in range(WORKSPACES)
            ],
        }
    ).encode()


def _measure_install():
    stalls = Stalls()
    gevent.spawn(stalls.run)
    decoder = ConfigurationDecoder(None)
    registry = WorkspaceRegistry()
    source = pathlib.Path(tempfile.mkdtemp()) / "document"
    source.write_bytes(_document(1))
    gc.collect()
    before = _rss_mb()
    print(f"memory before: {before:.1f} MB")
    document = stalls.measure(
        "redact (where the store is read)", lambda: redact_keys(source.read_bytes())
    )
    rules = stalls.measure("decode", lambda: decoder.decode(document).ok)
    index = stalls.measure("index", lambda: registry.prepare(rules.workspaces))
    stalls.measure("install", lambda: registry.install(index))
    packed = stalls.measure("compress for peers", lambda: compress_in_steps(document))
    gc.collect()
    held = (len(document) + len(packed)) / 1e6
    print(
        f"{len(registry)} workspaces: {_rss_mb() - before:.1f} MB in all, of which "
        f"{held:.1f} MB are the document and its compressed form"
    )
    source.unlink()
    source.parent.rmdir()


def _rss_mb():
    for line in pathlib.Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


if __name__ == "__main__":
    sys.exit(main())
