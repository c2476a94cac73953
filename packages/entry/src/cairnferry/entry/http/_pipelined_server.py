"""Listener that supports HTTP/1.1 pipelining."""

import contextlib
import copy
import math
import time
from collections.abc import Callable, Iterator

import gevent
from gevent.pywsgi import MAX_REQUEST_LINE

from cairnferry.entry.http._accounts import GROWTH, PATIENCE_S, AnswerRoom, Hold, Kind
from cairnferry.entry.http._answers import Problem
from cairnferry.entry.http._bodies import LARGE_BYTES
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
from cairnferry.entry.http._memory import Closing
from cairnferry.entry.http._pipeline import (
    AnswerNotSent,
    CallerGone,
    ConnectionEnds,
    Exchange,
    Lookahead,
    Pipeline,
)
from cairnferry.entry.http._progress import Progress
from cairnferry.entry.http._request_body import RequestBody
from cairnferry.wire import Link

# Bytes of an answer that are handed to the socket, and recorded on the link, at once.
ANSWER_PIECE_BYTES = 64 * 1024

# Size in bytes up to which the body of a rejected request is discarded, so that the
# connection stays open for other requests. A larger one would delay them.
MAX_REFUSED_BODY_BYTES = 64 * 1024


class PipelinedHandler(Handler):
    """Reads the requests of a connection, and runs each in a separate task.

    The handler itself only reads. Each request gets a copy of the handler, which holds
    the head and body that were read and writes the answer.

    Attributes
    ----------
    problem : Problem, Cause or None
        Fault of the request that was found while it was read, or the cause for which
        it is refused.
    body : bytes
        The whole body.
    arrived : float
        Monotonic time in seconds at which the request began to arrive.
    is_first : bool
        Whether it is the first request of its connection.
    selected : tuple of (Route, str) or None
        Route of the request, and the name of the service that was selected for it; set
        by the application.
    work : Work or None
        What the application knows of the request while it is at work.
    """

    problem = None
    body = b""
    arrived = 0.0
    is_first = True
    selected = None
    work = None
    _exchange = None
    _refused_body = None
    _is_reading = False
    _is_refusable = False
    _has_head = False

    def __init__(self, sock, address, server):
        super().__init__(sock, address, server)
        self._pipeline = Pipeline(server.lookahead)

    @property
    def busy(self) -> bool:
        """Whether a request is being read or is not yet answered."""
        return self._is_reading or not self._pipeline.is_idle

    @property
    def waits_since(self) -> float | None:
        """See `Handler`."""
        if not self._pipeline.is_idle or (self._is_reading and self._has_head):
            return None
        return self._pipeline.idle_since

    def unanswered(self) -> Iterator[tuple["PipelinedHandler", Progress]]:
        """Yield the requests that are read or not answered, and how far each is."""
        for exchange in self._pipeline.unanswered():
            yield exchange.handler, exchange.progress
        # A request that is queued no longer holds its memory here.
        if self._is_reading and self._held is not None:
            yield self, Progress.READING

    @property
    def has_begun(self) -> bool:
        """Whether a target or a peer may be at work on the request."""
        return self.work is not None and self.work.progress() is not Progress.WAITING

    @property
    def has_turn(self) -> bool:
        """Whether all earlier requests of the connection are finished."""
        return self._exchange is None or self._exchange.turn.is_set()

    def may_run_early(self) -> bool:
        """Return whether there is memory for an answer that waits for earlier ones.

        Otherwise callers that pipeline requests and read no answers would use up the
        memory, and the slots of targets whose answers wait for it.
        """
        return not self.server.memory.is_short

    def give_up(self) -> None:
        """Answer the requests that were read and are not answered."""
        self._pipeline.give_up()

    def cut(self) -> None:
        """Discard or kill the requests that are not answered."""
        self._pipeline.close()

    # -- reading ------------------------------------------------------------------

    def handle(self):
        """Serve the connection until it ends."""
        try:
            super().handle()
        except ConnectionEnds:
            # The reader has found the end of the input by itself.
            pass
        finally:
            self._pipeline.close()

    def handle_one_request(self):
        """Read one request and enqueue it; return whether to continue."""
        try:
            self._wait_for_capacity()
            if not self._wait_for_input():
                return self._cancel_and_wait()
            if not self._pipeline.is_idle:
                self._end_slice()
            self._is_reading, self._has_head = True, False
            self._held = Hold(self.account)
            try:
                self._read_request()
                if self._pipeline.is_ending:
                    return self._discard_rest()
                self._refuse_if_finishing()
                self._enqueue_request()
                if self._refused_body and not self._discard_refused_body():
                    return self._discard_rest()
            finally:
                self._is_reading = False
                self._forget_request()
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

    def _wait_for_capacity(self):
        """Wait until one more request may be read.

        Only refusals may be unanswered when a listener finishes. Nothing is read behind
        them, because a caller that always sends another request would keep its
        connection open for ever.
        """
        self._pipeline.wait_for_capacity()
        if self.server.finishing and not self._pipeline.has_accepted:
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
        self.selected = None
        self.body = b""
        self.command = self.path = None
        self.headers = HeadFields([])
        self._is_refusable = True
        try:
            self._read_head()
            self._has_head = True
            if self.has_body and self._is_rejected_by_head():
                return
            self._admit_body()
            if self.headers.get("expect") is not None:
                # "100 Continue" is only sent after all earlier answers. The caller
                # would otherwise take it for the answer to an earlier request.
                self._pipeline.wait_until_writable()
            limits = self.server.application.limits
            self.body = self.read_body(limits.size, limits.seconds)
        except BadRequest as exc:
            self._reject(exc.problem)
        except (ValueError, LookupError):
            self._reject(Problem.MALFORMED)
        finally:
            self._is_refusable = False

    def evict(self, problem=None):
        """End the connection; a request that is read alone is refused."""
        if self._is_refusable and self._pipeline.is_idle:
            if problem is None:
                has_body = self._held.size(Kind.BODY) > 0
                problem = Problem.BODIES_FULL if has_body else Problem.MEMORY_FULL
            gevent.get_hub().loop.run_callback(self._refuse_reading, problem)
        else:
            super().evict()

    def _refuse_reading(self, problem):
        # Checked again, because the reader may have continued in the meantime.
        if self._is_refusable:
            self._pipeline.reader.throw(BadRequest(problem))

    def _read_head(self):
        with gevent.Timeout(self.server.limits.head_s, BadRequest(Problem.SLOW_SENDER)):
            line = self.rfile.readline(MAX_REQUEST_LINE).decode("latin-1")
            if len(line) >= MAX_REQUEST_LINE:
                raise BadRequest(Problem.HEAD_TOO_LARGE)
            self.read_request(line)
        self.open_body()

    def _is_rejected_by_head(self):
        """Return whether a request is rejected before its body is read.

        A request without a body is checked when its turn comes, by the rules that are
        in force then.
        """
        problem = self.server.application.check_head(self)
        if problem is None:
            return False
        is_small = (self.content_length or 0) <= MAX_REFUSED_BODY_BYTES
        if self.headers.get("expect") is not None or not is_small:
            # A sender that waits for "100 Continue" may send the body or not.
            self._skip_body()
            raise BadRequest(problem)
        self.problem = problem
        self._refused_body = self.wsgi_input
        return True

    def _discard_refused_body(self):
        """Discard the body of a rejected request; return whether the next one follows.

        The request is answered meanwhile.
        """
        body, self._refused_body = self._refused_body, None
        seconds = self.server.application.limits.seconds
        discarded = 0
        with contextlib.suppress(OSError), gevent.Timeout(seconds, False):
            while discarded <= MAX_REFUSED_BODY_BYTES:
                data = body.read(DISCARD_READ_BYTES)
                if not data:
                    return True
                self.server.link.note_received(len(data))
                discarded += len(data)
        return False

    def _admit_body(self):
        """Refuse a request before its body is read, if that is known by its head."""
        if not self.has_body:
            return
        length = self.content_length or 0
        if length >= LARGE_BYTES or self.headers.get("expect") is not None:
            problem = self.server.application.check_body(self)
            if problem is not None:
                self._skip_body()
                raise BadRequest(problem)
        # A longer body is rejected as too large, and is not read either.
        is_allowed = length <= self.server.application.limits.size
        patience_s = PATIENCE_S if length < LARGE_BYTES else 0.0
        if is_allowed and not self._held.add(Kind.BODY, length, patience_s):
            self._skip_body()
            raise BadRequest(Problem.BODIES_FULL)

    def body_ends_at(self, latest):
        """Return the deadline of the request; see `Handler`."""
        return self.server.application.body_ends_at(self, latest)

    def note_part(self, size):
        """Record a part of a body; a body without a length is counted by its parts."""
        self.server.link.note_received(size)
        self._transfer.note(size)
        if self.content_length is not None:
            return
        if not self._held.add(Kind.BODY, math.ceil(size * GROWTH)):
            raise BadRequest(Problem.BODIES_FULL)

    def _forget_request(self):
        """Forget the request that was read; only its exchange holds it from now on."""
        self.body = b""
        if self._held is not None:
            self._held.release()

    def _reject(self, problem):
        self.problem = problem
        self.request_version = "HTTP/1.1"
        self.close_connection = True

    def _refuse_if_finishing(self):
        """Refuse a request behind unanswered ones if the listener finishes.

        It is read nevertheless: callers do not send an unsafe request again that gets
        no answer, unless it was not read.
        """
        if self.server.finishing and not self._pipeline.is_idle:
            self.problem = self.problem or Problem.LEAVING

    def _enqueue_request(self):
        request = copy.copy(self)
        # The body has been read, so the next input is the next request.
        request.wsgi_input = RequestBody(self.rfile, 0)
        request.environ = {HANDLER_KEY: request}
        request.application = self.server.application
        may_run_concurrently = self.server.application.may_run_concurrently(request)
        exchange = Exchange(request, may_run_concurrently, self._size())
        request._exchange = exchange
        exchange.held, self._held = self._held, None
        request._held = None
        self._pipeline.add(exchange)
        self.is_first = False

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

    def forget(self) -> None:
        """Forget the request once it is finished."""
        self.body = b""
        if self.work is not None:
            self.work.release()
        self.work = self.environ = self.result = self._exchange = None

    def answer_room(self) -> AnswerRoom:
        """Return the memory for the answer of one more attempt."""
        return AnswerRoom(self._exchange.held)

    def write(self, data):
        """Write a part of the answer after all earlier answers."""
        self._pipeline.wait_for_turn(self._exchange)
        super().write(data)

    def is_last(self) -> bool:
        """Return whether the connection ends with this answer.

        A closing listener answers every request that it has read, because the caller
        cannot know whether one without an answer has run. Requests may also be left in
        the input buffer while the reader waits.
        """
        if not super().is_last() or not self._pipeline.is_last_read():
            return False
        return self.server.finishing or not self._pipeline.is_reader_waiting

    def finalize_headers(self):
        """Complete the headers; let nothing run behind an answer that is the last."""
        super().finalize_headers()
        if self.close_connection:
            self._pipeline.is_ending = True

    def _sendall(self, data):
        # Without a timeout, a caller that does not read its answers would occupy the
        # memory of its requests forever.
        link = self.server.link
        with self.account.transfer() as transfer:
            for start in range(0, len(data), ANSWER_PIECE_BYTES):
                # A caller that reads slowly does not occupy the link with the rest.
                piece = data[start : start + ANSWER_PIECE_BYTES]
                link.note_sent(len(piece), time.monotonic())
                self._send_piece(piece, transfer)

    def _send_piece(self, piece, transfer):
        """Send a piece; a caller that takes nothing for the idle time is given up."""
        unsent = memoryview(piece)
        while unsent:
            size = None
            with gevent.Timeout(self.server.limits.idle_s, False):
                size = self.socket.send(unsent)
            if size is None:
                self.server.memory.note_closed(Closing.UNREAD, self.account)
                raise AnswerNotSent
            transfer.note(size)
            unsent = unsent[size:]


class PipelinedServer(HttpServer):
    """Listener for callers.

    Parameters
    ----------
    address : tuple of (str, int)
        Address on which to listen.
    application : callable
        WSGI application.
    limits : ListenerLimits
        Limits of connections.
    link : Link, optional
        Link of this instance, on which bodies and answers are recorded.
    memory : Memory, optional
        Memory of the daemon for callers; there is no limit by default.

    Notes
    -----
    The application has `limits`, the limits of request bodies, and four methods.
    `check_head` is called when the head of a request with a body was read; it returns
    the problem for which the request is rejected before its body is read, or None.
    `check_body` is called then for a large body; it returns a problem or the cause of a
    refusal, or None. `body_ends_at` is called for a body that takes long, with the time
    that holds if nothing is known of it; it returns the deadline of the request.
    `may_run_concurrently` is called with each request that was read; it returns whether
    the request may run while others of its connection do.

    Attributes
    ----------
    on_cut : callable
        Called with each request that the end of the listener cuts, and how far it is.
    """

    handler_class = PipelinedHandler

    def __init__(
        self, address, application, limits, link=None, memory=None, listener=None
    ):
        super().__init__(address, application, limits, listener, memory)
        self.lookahead = Lookahead()
        self.link = link or Link()
        self.on_cut: Callable[[PipelinedHandler, Progress], None] = _ignore

    def stop(self, timeout: float | None = None) -> None:
        """Stop listening, and cut what is left after a time in seconds."""
        self.close()
        seconds = self.stop_timeout if timeout is None else timeout
        if seconds:
            self.pool.join(timeout=seconds)
        self.cut()
        super().stop(timeout=0)

    def give_up(self) -> None:
        """Report each request that is at work, and answer all that were read.

        A caller that gets an answer knows at once whether to send its request again.
        """
        for handler in list(self._handlers):
            for req, progress in handler.unanswered():
                if progress is Progress.WAITING and req.has_begun:
                    self.on_cut(req, progress)
            handler.give_up()

    def cut(self) -> None:
        """Report each request that is not answered, and end it.

        No other task runs in between, so that none is reported and answered too.
        """
        for handler in list(self._handlers):
            for req, progress in handler.unanswered():
                self.on_cut(req, progress)
            handler.cut()


class AdoptedServer(PipelinedServer):
    """Serves connections that another listener has accepted and authenticated.

    Its parameters are those of `PipelinedServer`; it does not listen on the address.
    """

    def finish(self, seconds: float, keep_idle_s: float = 0.0) -> bool:
        """Wait until no request is in progress; see `HttpServer.finish`."""
        self.start_finishing()
        with gevent.Timeout(max(0.0, seconds), False):
            while self.busy:
                gevent.sleep(0.01)
        return not self.busy


def _ignore(req, progress):
    """Report nothing."""
