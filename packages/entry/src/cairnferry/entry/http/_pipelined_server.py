"""Listener on whose connections requests may be sent ahead of answers."""

import contextlib
import copy
import time
from socket import SHUT_WR

import gevent
from gevent.pywsgi import MAX_REQUEST_LINE, Input

from cairnferry.entry.http._answers import Problem
from cairnferry.entry.http._head_fields import HeadFields
from cairnferry.entry.http._http_server import (
    HANDLER_KEY,
    BadRequest,
    Handler,
    HttpServer,
)
from cairnferry.entry.http._pipeline import (
    AnswerNotSent,
    CallerGone,
    ConnectionEnds,
    Exchange,
    Lookahead,
    Pipeline,
)

# Bytes read at once, and in all, of what a caller sends behind its last request.
DROPPED_BYTES = 16 * 1024
MAX_DROPPED_BYTES = 1024 * 1024
# Seconds for which input is dropped after the last answer, longer than the way there
# and back. A connection that is closed with input left unread is reset, and the reset
# may overtake the answer.
LINGER_S = 0.5


class PipelinedHandler(Handler):
    """Reads the requests of a connection, and runs each in a task of its own.

    The handler itself only reads; a copy of it is made for each request, which holds
    what was read and writes the answer.

    Attributes
    ----------
    problem : Problem or None
        Fault of the request, found while it was read.
    body : bytes
        Whole body.
    arrived : float
        Monotonic time in seconds at which the request began to arrive.
    """

    problem = None
    body = b""
    arrived = 0.0
    _exchange = None
    _is_reading = False

    def __init__(self, sock, address, server):
        super().__init__(sock, address, server)
        self._pipeline = Pipeline(server.lookahead)

    @property
    def busy(self) -> bool:
        """Whether a request is being read or is not answered yet."""
        return self._is_reading or not self._pipeline.is_idle

    # -- reading ------------------------------------------------------------------

    def handle(self):
        """Serve the connection to its end."""
        try:
            super().handle()
        finally:
            self._pipeline.close()

    def handle_one_request(self):
        """Read one request and hand it over; tell whether to go on."""
        try:
            self._pipeline.wait_for_room()
            if not self._next_bytes():
                return self._leave()
            self._is_reading = True
            try:
                self._read_request()
                self._hand_over()
            finally:
                self._is_reading = False
            return self._drop_rest() if self.close_connection else True
        except ConnectionEnds:
            return self._linger()
        except OSError:
            # The caller reset the connection, or is gone for good.
            return self._leave()

    def _leave(self):
        """End it: the caller is gone, or was idle for too long."""
        self._pipeline.cancel()
        self._pipeline.wait_until_idle()

    def _next_bytes(self):
        """Wait for the next request, up to the idle time; tell whether it comes.

        Reading goes on while requests are in progress: the end of the input is the
        sign that the caller left, and without it they would hold slots of targets to
        their end, just when slots are short.
        """
        while True:
            left = self._idle_left()
            if left <= 0:
                return False
            with gevent.Timeout(left, False):
                return bool(self.rfile.peek(1))

    def _idle_left(self):
        limit = self.server.limits.idle_s
        if self.busy:
            return limit
        return self._pipeline.idle_since + limit - time.monotonic()

    def _read_request(self):
        """Read head and body; a fault becomes the request's answer, in its turn."""
        self.arrived = time.monotonic()
        self.problem = None
        self.body = b""
        self.command = self.path = None
        self.headers = HeadFields([])
        try:
            self._read_head()
            if self.headers.get("expect") is not None:
                # The word to go on, written earlier, would be taken for an answer
                # to a request before it.
                self._pipeline.wait_until_idle()
            limits = self.server.application.limits
            self.body = self.read_body(limits.size, limits.seconds)
        except BadRequest as exc:
            self._reject(exc.problem)
        except (ValueError, LookupError):
            self._reject(Problem.MALFORMED)

    def _read_head(self):
        fault = BadRequest(Problem.SLOW_SENDER)
        with gevent.Timeout(self.server.limits.head_s, fault):
            line = self.rfile.readline(MAX_REQUEST_LINE).decode("latin-1")
            if len(line) >= MAX_REQUEST_LINE:
                raise BadRequest(Problem.HEAD_TOO_LARGE)
            self.read_request(line)
        self.open_body()

    def _reject(self, problem):
        self.problem = problem
        self.request_version = "HTTP/1.1"
        self.close_connection = True

    def _hand_over(self):
        request = copy.copy(self)
        # The body was read: what follows in the input is the next request.
        request.wsgi_input = Input(self.rfile, 0)
        request.environ = {HANDLER_KEY: request}
        request.application = self.server.application
        may_run_concurrently = self.server.application.may_run_concurrently(request)
        request._exchange = Exchange(request, may_run_concurrently, self._size())
        self._pipeline.add(request._exchange)

    def _size(self):
        head = sum(len(name) + len(value) for name, value in self.header_pairs())
        return head + len(self.path or "") + len(self.body)

    def _drop_rest(self):
        """Drop what comes behind the last request, until that is answered.

        Nothing behind an answer that ends the connection may be run: the caller
        takes it for not read.
        """
        dropped = 0
        while dropped < MAX_DROPPED_BYTES:
            data = self.rfile.read1(DROPPED_BYTES)
            if not data:
                return self._leave()
            dropped += len(data)
        return self._pipeline.wait_until_idle()

    def _linger(self):
        """Drop for a moment what the caller sent ahead and has to send anew."""
        if not self._pipeline.was_used:
            return
        with contextlib.suppress(OSError), gevent.Timeout(LINGER_S, False):
            self.socket.shutdown(SHUT_WR)
            while self.rfile.read1(DROPPED_BYTES):
                pass

    # -- answering ----------------------------------------------------------------

    @contextlib.contextmanager
    def cancellable(self):
        """Raise `CallerGone` in this context once the caller is gone."""
        if self._pipeline.has_left:
            raise CallerGone
        self._exchange.is_cancellable = True
        try:
            yield
        finally:
            self._exchange.is_cancellable = False

    def write(self, data):
        """Write a part of the answer, once all earlier answers are written."""
        self._pipeline.wait_for_turn(self._exchange)
        super().write(data)

    def is_last(self) -> bool:
        """Tell whether the connection is to end with this answer."""
        return super().is_last() and self._pipeline.is_last_started()

    def _sendall(self, data):
        # A caller that does not read would hold its requests' memory for ever.
        with gevent.Timeout(self.server.limits.idle_s, AnswerNotSent()):
            super()._sendall(data)


class PipelinedServer(HttpServer):
    """Listener for callers.

    Its application has `limits`, the limits of bodies, and a method
    `may_run_concurrently`, which is called with each request that was read and tells
    whether it may run while others of its connection do.
    """

    handler_class = PipelinedHandler

    def __init__(self, address, application, limits):
        super().__init__(address, application, limits)
        self.lookahead = Lookahead()
