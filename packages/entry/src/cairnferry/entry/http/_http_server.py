"""HTTP listener on gevent's WSGI server, with limits and strict framing."""

import contextlib
import logging
import re
from socket import SHUT_RDWR

import attrs
import gevent
from gevent.pool import Pool
from gevent.pywsgi import Input, WSGIHandler, WSGIServer

from cairnferry.entry.http._answers import Problem, encode_raw
from cairnferry.entry.http._head_fields import MalformedField, read_fields
from cairnferry.wire import is_quiet, set_no_delay

MAX_HEAD_BYTES = 32 * 1024
HANDLER_KEY = "cairnferry.handler"
_LENGTH = re.compile(r"^[0-9]{1,15}\Z")

log = logging.getLogger(__name__)


@attrs.define
class Limits:
    """Limits of a listener; they may be changed while it runs.

    Attributes
    ----------
    max_connections : int
        Connections at the same time.
    idle_s, head_s : float
        Seconds between requests, and for a head to arrive.
    head_bytes : int
        Longest head of a request.
    """

    max_connections: int
    idle_s: float
    head_s: float
    head_bytes: int = MAX_HEAD_BYTES


class BadRequest(ValueError):
    """A request whose framing is ambiguous, or whose head is too large.

    Parameters
    ----------
    problem : Problem
        What to tell the caller.
    """

    def __init__(self, problem):
        super().__init__(problem)
        self.problem = problem


class _HeadReader:
    """Reader of header lines that stops at a total size."""

    def __init__(self, rfile, limit):
        self._rfile = rfile
        self._left = limit

    def readline(self):
        line = self._rfile.readline(self._left + 1)
        self._left -= len(line)
        if self._left < 0:
            raise BadRequest(Problem.HEAD_TOO_LARGE)
        return line


class Handler(WSGIHandler):
    """Handler of one connection."""

    busy = False

    def MessageClass(self, *args):  # noqa: N802 - the library's name
        """Parse the header lines and refuse ambiguous framing.

        Notes
        -----
        Two lengths, or a length beside chunks, are read in one way here and
        perhaps in another at the target. The rest of one request would be taken
        for the next one, of another caller.
        """
        try:
            message = read_fields(
                _HeadReader(self.rfile, self.server.limits.head_bytes).readline
            )
        except MalformedField as exc:
            raise BadRequest(Problem.AMBIGUOUS_FRAMING) from exc
        lengths = message.get_all("content-length")
        codings = message.get_all("transfer-encoding")
        if len(lengths) > 1 or (lengths and codings):
            raise BadRequest(Problem.AMBIGUOUS_FRAMING)
        if lengths and not _LENGTH.match(lengths[0]):
            raise BadRequest(Problem.AMBIGUOUS_FRAMING)
        if codings and [coding.lower() for coding in codings] != ["chunked"]:
            raise BadRequest(Problem.AMBIGUOUS_FRAMING)
        return message

    def read_requestline(self):
        """Wait for the next request, at most for the idle time."""
        self.busy = False
        self.socket.settimeout(self.server.limits.idle_s)
        line = super().read_requestline()
        self.busy = True
        return line

    def read_request(self, raw_requestline):
        """Read the head, within its time."""
        with gevent.Timeout(self.server.limits.head_s, BadRequest(Problem.SLOW_SENDER)):
            good = super().read_request(raw_requestline)
        if self.request_version not in ("HTTP/1.1", "HTTP/1.0"):
            raise BadRequest(Problem.AMBIGUOUS_FRAMING)
        return good

    def get_environ(self):
        """Give the handler itself; the applications here read it alone."""
        self.open_body()
        return {HANDLER_KEY: self}

    def open_body(self):
        """Make the input from which the request's body is read."""
        expects = self.headers.get("expect", "").lower() == "100-continue"
        self.wsgi_input = Input(
            self.rfile,
            self.content_length,
            socket=self.socket if expects else None,
            chunked_input=self.headers.get("transfer-encoding") is not None,
        )

    def header_pairs(self):
        """Give the request's headers as received, in order."""
        return self.headers.items()

    def read_body(self, limit: int, seconds: float) -> bytes:
        """Read the whole request body.

        Raises
        ------
        BadRequest
            If it is longer than `limit` bytes or takes longer than `seconds`.
        """
        if not self.content_length and not self.headers.get("transfer-encoding"):
            return b""
        if self.content_length and self.content_length > limit:
            self._leave_body()
            raise BadRequest(Problem.BODY_TOO_LARGE)
        try:
            with gevent.Timeout(seconds, BadRequest(Problem.SLOW_SENDER)):
                body = self.wsgi_input.read(limit + 1)
        except BadRequest:
            self._leave_body()
            raise
        except OSError as exc:
            self._leave_body()
            raise BadRequest(Problem.BODY_INCOMPLETE) from exc
        if len(body) > limit:
            self._leave_body()
            raise BadRequest(Problem.BODY_TOO_LARGE)
        return body

    def _leave_body(self):
        """Close after the answer instead of reading a body that is not wanted."""
        self.close_connection = True
        self.wsgi_input = Input(self.rfile, 0)

    def is_last(self) -> bool:
        """Tell whether the connection is to end with this answer."""
        return self.server.closing

    def finalize_headers(self):
        """Tell the caller when the connection ends with this answer."""
        if self.is_last():
            self.close_connection = True
        if self.command == "HEAD" and self.provided_content_length is None:
            # The length of a body that is not sent is not known; without this
            # it would be told as 0.
            self.provided_content_length = ""
        super().finalize_headers()
        if self.close_connection and self.request_version == "HTTP/1.1":
            self.response_headers.append((b"Connection", b"close"))

    def _handle_client_error(self, ex):
        problem = Problem.MALFORMED
        if isinstance(ex, BadRequest):
            problem = ex.problem
        return problem.status_line, encode_raw(problem)

    def log_request(self):
        """Leave it out: decisions are logged where they are made."""


class HttpServer(WSGIServer):
    """Listener whose connections are counted, bounded and closed in order.

    Parameters
    ----------
    address : tuple of (str, int)
        Where to listen.
    application : callable
        WSGI application.
    limits : Limits
        Limits of connections.
    """

    handler_class = Handler

    def __init__(self, address, application, limits):
        super().__init__(
            address,
            application,
            spawn=Pool(),
            log=None,
            error_log=log,
            environ={"SERVER_NAME": address[0]},
        )
        self.limits = limits
        self.closing = False
        self.refused_connections = 0
        self._handlers = set()

    def handle(self, sock, address):
        """Serve one connection."""
        set_no_delay(sock)
        if len(self._handlers) >= self.limits.max_connections:
            self._refuse(sock)
            return
        handler = self.handler_class(sock, address, self)
        self._handlers.add(handler)
        try:
            handler.handle()
        finally:
            self._handlers.discard(handler)

    def _refuse(self, sock):
        # Left in the backlog the caller would wait and learn nothing.
        self.refused_connections += 1
        try:
            sock.settimeout(self.limits.head_s)
            sock.sendall(encode_raw(Problem.TOO_MANY_CONNECTIONS))
        except OSError:
            pass
        finally:
            sock.close()

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._handlers)

    @property
    def busy(self) -> int:
        """Connections with a request in progress."""
        return sum(handler.busy for handler in self._handlers)

    def announce_end(self) -> None:
        """Serve on, and end each connection with its next answer.

        Left open, connections would be closed all at once at the end, when some of
        them carry a request that has not been read yet and has to be sent anew.
        """
        self.closing = True

    def finish(self, seconds: float) -> bool:
        """Take no new connections, end idle ones and wait for the others.

        Parameters
        ----------
        seconds : float
            Longest time to wait.

        Returns
        -------
        bool
            Whether every request in progress was answered.
        """
        self.announce_end()
        # Connections that the kernel has taken are served. One that it took
        # later would wait for an answer that nobody gives, so that the listener
        # is closed, not just left alone: callers are refused and go elsewhere.
        gevent.sleep(0)
        self.close()
        with gevent.Timeout(seconds, False):
            while self._close_idle():
                gevent.sleep(0.01)
        unanswered = self.busy
        self.stop(timeout=0)
        return unanswered == 0

    def _close_idle(self):
        """Close idle connections; give back how many are left.

        Tasks are counted and not handlers: one that has just been started for a
        connection has no handler yet, and would be killed as soon as it has.
        """
        for handler in list(self._handlers):
            sock = handler.socket
            # A request that is just arriving is answered, not cut.
            if not handler.busy and sock is not None and is_quiet(sock):
                # A plain close would do nothing while the reader holds it open,
                # and the daemon would wait for it to the limit.
                with contextlib.suppress(OSError):
                    sock.shutdown(SHUT_RDWR)
        return len(self.pool)
