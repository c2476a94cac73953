"""Listener that supports HTTP/1.1 pipelining."""

import contextlib
import copy
import time

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
from cairnferry.entry.http._lingering import (
    DISCARD_READ_BYTES,
    MAX_DISCARDED_BYTES,
    linger,
)
from cairnferry.entry.http._pipeline import (
    AnswerNotSent,
    CallerGone,
    ConnectionEnds,
    Exchange,
    Lookahead,
    Pipeline,
)


class PipelinedHandler(Handler):
    """Reads the requests of a connection, and runs each in a separate task.

    The handler itself only reads. Each request gets a copy of the handler, which holds
    the head and body that were read and writes the answer.

    Attributes
    ----------
    problem : Problem or None
        Fault of the request that was found while it was read.
    body : bytes
        The whole body.
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
        """Whether a request is being read or is not yet answered."""
        return self._is_reading or not self._pipeline.is_idle

    # -- reading ------------------------------------------------------------------

    def handle(self):
        """Serve the connection until it ends."""
        try:
            super().handle()
        finally:
            self._pipeline.close()

    def handle_one_request(self):
        """Read one request and enqueue it; return whether to continue."""
        try:
            self._pipeline.wait_for_capacity()
            if not self._wait_for_input():
                return self._cancel_and_wait()
            self._is_reading = True
            try:
                self._read_request()
                self._enqueue_request()
            finally:
                self._is_reading = False
            return self._discard_rest() if self.close_connection else True
        except ConnectionEnds:
            return self._linger()
        except OSError:
            # The caller reset the connection or is unreachable.
            return self._cancel_and_wait()

    def _cancel_and_wait(self):
        """End the connection: the caller is gone, or was idle for too long."""
        self._pipeline.cancel()
        self._pipeline.wait_until_idle()

    def _wait_for_input(self):
        """Wait for the next request, up to the idle time; return whether it came.

        Reading continues while requests are in progress, because only the end of the
        input shows that the caller is gone. Otherwise its requests would occupy slots
        of targets until they finish, at a time when slots are scarce.
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
        """Read head and body; a fault is answered in the order of the requests."""
        self.arrived = time.monotonic()
        self.problem = None
        self.body = b""
        self.command = self.path = None
        self.headers = HeadFields([])
        try:
            self._read_head()
            problem = self.server.application.check_head(self)
            if problem is not None:
                self._reject_by_head(problem)
                return
            if self.headers.get("expect") is not None:
                # "100 Continue" is only sent after all earlier answers. The caller
                # would otherwise take it for the answer to an earlier request.
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

    def _reject_by_head(self, problem):
        """Reject a request without reading its body, if it has one."""
        if self.content_length or self.headers.get("transfer-encoding") is not None:
            self._skip_body()
            self._reject(problem)
        else:
            self.problem = problem

    def _reject(self, problem):
        self.problem = problem
        self.request_version = "HTTP/1.1"
        self.close_connection = True

    def _enqueue_request(self):
        request = copy.copy(self)
        # The body has been read, so the next input is the next request.
        request.wsgi_input = Input(self.rfile, 0)
        request.environ = {HANDLER_KEY: request}
        request.application = self.server.application
        may_run_concurrently = self.server.application.may_run_concurrently(request)
        request._exchange = Exchange(request, may_run_concurrently, self._size())
        self._pipeline.add(request._exchange)

    def _size(self):
        head = sum(len(name) + len(value) for name, value in self.header_pairs())
        return head + len(self.path or "") + len(self.body)

    def _discard_rest(self):
        """Discard the input after the last request, until that request is answered.

        Requests after an answer that ends the connection must not run, because the
        caller assumes that they were not read.
        """
        discarded = 0
        while discarded < MAX_DISCARDED_BYTES:
            data = self.rfile.read1(DISCARD_READ_BYTES)
            if not data:
                return self._cancel_and_wait()
            discarded += len(data)
        return self._pipeline.wait_until_idle()

    def _linger(self):
        """Discard, for a short time, input that may follow the last answer."""
        if self._pipeline.was_pipelined or self.problem is not None:
            linger(self.socket)

    # -- answering ----------------------------------------------------------------

    @contextlib.contextmanager
    def cancellable(self):
        """Raise `CallerGone` in this context once the caller is gone."""
        if self._pipeline.is_caller_gone:
            raise CallerGone
        self._exchange.is_cancellable = True
        try:
            yield
        finally:
            self._exchange.is_cancellable = False

    def write(self, data):
        """Write a part of the answer after all earlier answers."""
        self._pipeline.wait_for_turn(self._exchange)
        super().write(data)

    def is_last(self) -> bool:
        """Return whether the connection ends with this answer."""
        return super().is_last() and self._pipeline.is_last_started()

    def _sendall(self, data):
        # Without a timeout, a caller that does not read its answers would occupy the
        # memory of its requests forever.
        with gevent.Timeout(self.server.limits.idle_s, AnswerNotSent()):
            super()._sendall(data)


class PipelinedServer(HttpServer):
    """Listener for callers.

    Its application has `limits`, the limits of request bodies, and two methods.
    `check_head` is called when a head was read; it returns the problem for which the
    request is rejected before its body is read, or None. `may_run_concurrently` is
    called with each request that was read; it returns whether the request may run while
    others of its connection do.
    """

    handler_class = PipelinedHandler

    def __init__(self, address, application, limits, listener=None):
        super().__init__(address, application, limits, listener)
        self.lookahead = Lookahead()
