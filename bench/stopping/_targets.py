"""Process of the store and the targets: `python -m bench.stopping._targets`.

It reads the setup as JSON from its first line of input, writes the port of the store,
and writes what the targets ran at the end of its input.
"""

# gevent must patch the standard library before any module that uses sockets loads.
from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent.socket  # noqa: E402
from gevent.server import StreamServer  # noqa: E402

from tests.adapter._standins import (  # noqa: E402
    StoreStandin,
    configuration,
    rule,
    target_row,
)

SERVICE = "svc"
# Far more than all ways send at once: targets must not turn requests away.
SLOTS = 96


class WorkingTarget:
    """A target whose paths say how long it works, and which records its runs.

    The path is /ROUTE/MILLISECONDS/ID.
    """

    def __init__(self, host, name, runs):
        self.name = name
        self._runs = runs
        self._running = 0
        self._server = StreamServer((host, 0), self._serve)
        self._server.start()

    @property
    def address(self):
        return f"{self._server.server_host}:{self._server.server_port}"

    def _serve(self, sock, address):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        file = sock.makefile("rb")
        try:
            while self._serve_request(sock, file):
                pass
        except OSError:
            # The daemon is gone.
            pass
        finally:
            file.close()
            sock.close()

    def _serve_request(self, sock, file):
        line = file.readline()
        if not line:
            return False
        _, path, _ = line.decode().split()
        headers = {}
        while (line := file.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        if len(file.read(length)) < length:
            return False
        if path == "/health":
            sock.sendall(self._answer("200 OK"))
            return True
        if headers.get("cairnferry-target-instance", self.name) != self.name:
            sock.sendall(self._answer("421 Misdirected"))
            return True
        return self._run(sock, path, headers["cairnferry-request-id"])

    def _run(self, sock, path, request_id):
        run = {"id": request_id, "target": self.name, "begun": time.monotonic()}
        self._runs.append(run)
        self._running += 1
        try:
            is_abandoned = self._work(sock, int(path.split("/")[2]) / 1000)
        finally:
            self._running -= 1
        run["ended"] = time.monotonic()
        run["end"] = "abandoned" if is_abandoned else "done"
        if is_abandoned:
            return False
        sock.sendall(
            self._answer(
                "200 OK",
                f"Cairnferry-Request-Id: {request_id}",
                f"Cairnferry-Response-Signature: {self.name}.{request_id}",
                body=f"{self.name} {path}".encode(),
            )
        )
        return True

    def _work(self, sock, seconds):
        """Work; return whether the connection closed before the end."""
        if not seconds:
            return False
        try:
            gevent.socket.wait_read(
                sock.fileno(), timeout=seconds, timeout_exc=TimeoutError()
            )
        except TimeoutError:
            return False
        return True

    def _answer(self, status, *extra, body=b""):
        lines = [
            f"HTTP/1.1 {status}",
            f"Content-Length: {len(body)}",
            f"Cairnferry-Instance-Id: {self.name}",
            f"Cairnferry-Server-Load: {self._running},0,{SLOTS},100",
            *extra,
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def main() -> None:
    """Serve until the end of the input, then write the runs."""
    setup = json.loads(sys.stdin.readline())
    store = StoreStandin()
    runs = []
    timeout = f"{round(setup['timeout_s'] * 1000)}ms"
    rules = [
        rule("r-s", "/s/", kind="safe", timeout=timeout) | {"target_latency": "1s"},
        rule("r-u", "/u/", kind="unsafe", timeout=timeout) | {"target_latency": "1s"},
    ]
    store.put("op", "config", configuration(rules=rules, clusters=(SERVICE,)))
    for number in range(setup["targets"]):
        target = WorkingTarget(setup["host"], f"i-{number}", runs)
        row = {**target_row(0), "address": target.address, "max_concurrency": SLOTS}
        store.put("servers", target.name, row)
    print(json.dumps({"store": store.port}), flush=True)
    gevent.get_hub().threadpool.apply(sys.stdin.read)
    print(json.dumps(runs), flush=True)


if __name__ == "__main__":
    main()
