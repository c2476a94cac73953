"""Minimal gevent forwarder without any policy: the baseline of `make overhead`."""

# gevent must patch the standard library before any module that uses sockets loads.
from gevent import monkey

monkey.patch_all()

import itertools  # noqa: E402
import sys  # noqa: E402

from gevent.pywsgi import WSGIServer  # noqa: E402

from cairnferry.settings import parse_address  # noqa: E402
from cairnferry.wire import Client, Reply, set_no_delay  # noqa: E402

TIMEOUT_S = 5.0
# Response headers that are not copied: the length is set anew, and the other one
# applies to a single connection.
DROPPED_HEADERS = ("content-length", "connection")


class NoDelayServer(WSGIServer):
    """WSGI server that sends small segments at once (TCP_NODELAY)."""

    def handle(self, sock, address):
        """Serve one connection."""
        set_no_delay(sock)
        super().handle(sock, address)


def main() -> None:
    """Forward requests to the targets in turn; the arguments are LISTEN TARGET..."""
    listen, *targets = [parse_address(text) for text in sys.argv[1:]]
    clients = itertools.cycle([Client(t.host, t.port) for t in targets])

    def forward(environ, start_response):
        headers = [("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", ""))]
        outcome = next(clients).call(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            timeout=TIMEOUT_S,
            headers=headers,
            body=environ["wsgi.input"].read(),
            idempotent=True,
        )
        if not isinstance(outcome, Reply):
            start_response("502 Bad Gateway", [("Content-Length", "0")])
            return []
        response_headers = [
            (k, v) for k, v in outcome.headers if k.lower() not in DROPPED_HEADERS
        ]
        response_headers.append(("Content-Length", str(len(outcome.body))))
        start_response(f"{outcome.status} Status", response_headers)
        return [outcome.body]

    NoDelayServer(listen.as_tuple(), forward, log=None).serve_forever()


if __name__ == "__main__":
    main()
