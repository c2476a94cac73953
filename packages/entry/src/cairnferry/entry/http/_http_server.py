"""HTTP listener on gevent's WSGI server, with limits and strict framing."""

import contextlib
import heapq
import logging
import math
import re
import time
from socket import SHUT_RDWR

import attrs
import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from cairnferry.entry.http._accounts import (
    CONNECTION_BYTES,
    FIELD_BYTES,
    GROWTH,
    PATIENCE_S,
    REQUEST_BYTES,
    Account,
    Hold,
    Kind,
)
from cairnferry.entry.http._answers import Problem, encode_raw
from cairnferry.entry.http._bodies import read_parts
from cairnferry.entry.http._head_fields import MalformedField, read_fields
from cairnferry.entry.http._lingering import linger
from cairnferry.entry.http._memory import SLOW_S, Closing, Memory
from cairnferry.entry.http._request_body import CONTINUE, MalformedBody, RequestBody
from cairnferry.entry.http._transfer import Transfer
from cairnferry.entry.http._turns import Turns
from cairnferry.wire import (
    is_quiet,
    limit_unsent,
    refuse_connections,
    set_no_delay,
    shut_down,
)

MAX_HEAD_BYTES = 32 * 1024
HANDLER_KEY = "cairnferry.handler"
# Seconds for which a closing listener accepts connections whose handshakes were in
# progress when it began to refuse new ones: many round trips between zones.
HANDSHAKE_S = 0.2
# Seconds for which a closing listener waits for the first request of a connection that
# it has just accepted.
FIRST_REQUEST_S = 0.5
# Refused connections that are kept until their callers have read the answer. Without a
# limit, a flood of connections would exhaust the file descriptors.
MAX_LINGERING = 64
# Share of the connections of a full listener that end at once, so that searches for
# them are rare.
ENDED_SHARE = 1 / 64
# Lines of a head, and requests of a connection that are already received, that are read
# in one turn of the event loop.
LINES_IN_SLICE = 64
REQUESTS_IN_SLICE = 8
# Seconds between two extensions of the time in which a body has to go on arriving.
EXTENSION_S = 1.0
_LENGTH = re.compile(r"^[0-9]{1,15}\Z")

log = logging.getLogger(__name__)


@attrs.define
class ListenerLimits:
    """Limits of a listener; they may be changed while it runs.

    Attributes
    ----------
    max_connections : int
        Maximum number of simultaneous connections.
    idle_s, head_s : float
        Maximum time in seconds between requests, and for a head to arrive.
    head_bytes : int
        Maximum size of a request's head in bytes.
    """

    max_connections: int
    idle_s: float
    head_s: float
    head_bytes: int = MAX_HEAD_BYTES


class BadRequest(ValueError):
    """A request that is rejected before a service is selected.

    Parameters
    ----------
    problem : Problem or Cause
        Fault that is reported to the caller, or cause for which it is refused.
    workspace : str, optional
        Name of the workspace as which the caller was authenticated before.
    """

    def __init__(self, problem, workspace=""):
        super().__init__(problem)
        self.problem = problem
        self.workspace = workspace


class _HeadReader:
    """Reader of header lines that limits their total size.

    Attributes
    ----------
    size, lines : int
        Bytes and lines that were read.
    """

    def __init__(self, rfile, limit, note, end_slice):
        self._rfile = rfile
        self._limit = limit
        self._note = note
        self._end_slice = end_slice
        self.size = 0
        self.lines = 0

    def readline(self):
        line = self._rfile.readline(self._limit - self.size + 1)
        self.size += len(line)
        if self.size > self._limit:
            raise BadRequest(Problem.HEAD_TOO_LARGE)
        self.lines += 1
        self._note(len(line))
        if self.lines % LINES_IN_SLICE == 0:
            self._end_slice()
        return line


class Handler(WSGIHandler):
    """Handler of one connection.

    Attributes
    ----------
    account : Account
        Memory that is held for the connection.
    """

    busy = False
    accepted_at = 0.0
    has_unread_body = False
    _requests_in_slice = 0
    _held = None

    def __init__(self, sock, address, server):
        super().__init__(sock, address, server)
        self.account: Account = server.memory.open(self.evict)
        self._transfer = Transfer()
        self._waits_since = time.monotonic()

    @property
    def waits_since(self) -> float | None:
        """Time since which the connection waits for the head of a request, or None.

        It is monotonic, in seconds.
        """
        return self._waits_since

    def evict(self, problem: Problem | None = None) -> None:
        """End the connection, so that others get its memory or its place.

        Parameters
        ----------
        problem : Problem, optional
            Told to the caller if it still sends its request; by default, that memory is
            used up.
        """
        self.shut_down()

    @property
    def is_lengthy(self) -> bool:
        """Whether a request is being read whose data takes many turns."""
        return self._transfer.is_paused

    def shut_down(self) -> None:
        """End the connection; its task closes the socket."""
        if (sock := self.__dict__.get("socket")) is not None:
            shut_down(sock)

    def MessageClass(self, *args):  # noqa: N802 - name set by gevent
        """Parse the header lines and reject ambiguous framing.

        Notes
        -----
        A target may interpret two lengths, or a length together with chunked coding,
        in another way than this listener. It would then take the rest of one request
        for the next request, of another caller (request smuggling).
        """
        try:
            message = self._read_fields()
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

    def _read_fields(self):
        """Read the header lines; memory is held for the longest head meanwhile."""
        limit = self.server.limits.head_bytes
        self._hold(Kind.HEAD, REQUEST_BYTES + limit)
        note = self._transfer.note
        reader = _HeadReader(self.rfile, limit, note, self._end_lines)
        message = read_fields(reader.readline)
        size = REQUEST_BYTES + reader.size + FIELD_BYTES * reader.lines
        self._hold(Kind.HEAD, max(0, size - self._held.size(Kind.HEAD)))
        self._held.reduce(Kind.HEAD, size)
        return message

    def _end_lines(self):
        self._hold(Kind.HEAD, LINES_IN_SLICE * FIELD_BYTES)
        self.wait_turn()

    def _hold(self, kind, size):
        if not self._held.add(kind, size, PATIENCE_S):
            raise BadRequest(Problem.MEMORY_FULL)

    def hold_answer(self, size: int) -> bool:
        """Hold memory for an answer; return False if there is none.

        Parameters
        ----------
        size : int
            Size of its body in bytes.
        """
        return self._held.add(Kind.ANSWER, size, PATIENCE_S)

    def wait_turn(self) -> None:
        """Let the other connections go on after a slice of lengthy work."""
        with self._transfer.paused():
            self.server.turns.wait()

    def handle_one_request(self):
        """Answer one request; return whether to continue, or an error to send."""
        self._held = Hold(self.account)
        try:
            result = super().handle_one_request()
        finally:
            self._held.release()
        if self.has_unread_body:
            linger(self.socket)
        return result

    def read_requestline(self):
        """Wait for the next request, for at most the idle time."""
        self.busy = False
        self.socket.settimeout(self.server.limits.idle_s)
        line = super().read_requestline()
        self.busy = True
        self._end_slice()
        return line

    def _end_slice(self):
        """Let other connections go on after some requests of this one."""
        self._requests_in_slice += 1
        if self._requests_in_slice >= REQUESTS_IN_SLICE:
            self._requests_in_slice = 0
            self.wait_turn()

    def read_request(self, raw_requestline):
        """Read the head within its time limit."""
        # No variable refers to the fault, whose traceback refers to the variables. What
        # they hold would be kept until the next full garbage collection.
        with (
            gevent.Timeout(self.server.limits.head_s, BadRequest(Problem.SLOW_SENDER)),
            self.account.transfer() as self._transfer,
        ):
            is_valid = super().read_request(raw_requestline)
        self._waits_since = None
        if self.request_version not in ("HTTP/1.1", "HTTP/1.0"):
            raise BadRequest(Problem.AMBIGUOUS_FRAMING)
        return is_valid

    def get_environ(self):
        """Return only the handler itself, as the applications use nothing else."""
        self.open_body()
        return {HANDLER_KEY: self}

    def handle_one_response(self):
        """Answer one request; a body that was not read ends the connection."""
        super().handle_one_response()
        self._waits_since = time.monotonic()
        if self.wsgi_input.is_unread:
            self._skip_body()

    def open_body(self):
        """Create the input stream of the request's body."""
        expects = self.headers.get("expect", "").lower() == "100-continue"
        self.wsgi_input = RequestBody(
            self.rfile,
            self.content_length,
            self.headers.get("transfer-encoding") is not None,
            self.wait_turn,
            self._send_continue if expects else None,
        )

    def _send_continue(self):
        self.socket.sendall(CONTINUE)

    def header_pairs(self):
        """Return the request's headers as received, in order."""
        return self.headers.items()

    @property
    def has_body(self) -> bool:
        """Whether a body follows the head."""
        return bool(self.content_length or self.headers.get("transfer-encoding"))

    def read_body(self, limit: int, seconds: float) -> bytes:
        """Read the whole request body.

        Raises
        ------
        BadRequest
            If the body is incomplete, is larger than `limit` bytes, or does not go on
            arriving for `seconds`, or is not complete at the time of `body_ends_at`.
        """
        if not self.has_body:
            return b""
        if self.content_length and self.content_length > limit:
            self._skip_body()
            raise BadRequest(Problem.BODY_TOO_LARGE)
        try:
            with self.account.transfer() as self._transfer:
                body = self._read_parts(limit, seconds)
        except BadRequest:
            self._skip_body()
            raise
        except MalformedBody as exc:
            self._skip_body()
            raise BadRequest(exc.problem) from exc
        except OSError as exc:
            self._skip_body()
            raise BadRequest(Problem.BODY_INCOMPLETE) from exc
        if len(body) > limit:
            self._skip_body()
            raise BadRequest(Problem.BODY_TOO_LARGE)
        return body

    def _read_parts(self, limit, seconds):
        extended_at = time.monotonic()
        latest = extended_at + seconds
        timer = _start_timer(seconds)

        def read(size):
            nonlocal timer, extended_at
            part = self.wsgi_input.read(size)
            now = time.monotonic()
            if now >= extended_at + EXTENSION_S:
                timer.close()
                left = max(0.0, self.body_ends_at(latest) - now)
                timer = _start_timer(min(seconds, left))
                extended_at = now
            return part

        try:
            return read_parts(read, self.content_length, limit, self.note_part)
        finally:
            timer.close()
            # Its fault refers to the body by its traceback; see `read_request`.
            timer = None

    def body_ends_at(self, latest: float) -> float:
        """Return the time at which a body has to be complete.

        Parameters
        ----------
        latest : float
            Monotonic time in seconds that holds for a body of which nothing is known.
        """
        return latest

    def note_part(self, size: int) -> None:
        """Hold memory for a part of a body; the size is in bytes."""
        self._transfer.note(size)
        self._hold(Kind.BODY, math.ceil(size * GROWTH))

    def _sendall(self, data):
        with self.account.transfer():
            super()._sendall(data)

    def _skip_body(self):
        """Close the connection after the answer instead of reading the body."""
        self.close_connection = True
        self.has_unread_body = True
        self.wsgi_input = RequestBody(self.rfile, 0)

    def is_last(self) -> bool:
        """Return whether the connection ends with this answer."""
        return self.server.closing or self.wsgi_input.is_unread

    def finalize_headers(self):
        """Add `Connection: close` if the connection ends with this answer."""
        if self.is_last():
            self.close_connection = True
        if self.command == "HEAD" and self.provided_content_length is None:
            # The length of the body that a GET would return is unknown here; gevent
            # would otherwise send a Content-Length of 0.
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
        """Log nothing, as decisions are logged where they are made."""


class HttpServer(WSGIServer):
    """Listener that counts, limits and gracefully closes its connections.

    Parameters
    ----------
    address : tuple of (str, int)
        Address on which to listen.
    application : callable
        WSGI application.
    limits : ListenerLimits
        Limits of connections.
    listener : gevent.socket.socket, optional
        Socket that listens on the address already.
    memory : Memory, optional
        Memory of the daemon for callers; there is no limit by default.
    """

    handler_class = Handler

    def __init__(self, address, application, limits, listener=None, memory=None):
        super().__init__(
            address if listener is None else listener,
            application,
            spawn=Pool(),
            log=None,
            error_log=log,
            environ={"SERVER_NAME": address[0]},
        )
        self.limits = limits
        self.memory = memory or Memory()
        self.turns = Turns()
        self.closing = False
        self.finishing = False
        self.refused_connections = 0
        self._handlers = set()
        self._ending = set()
        self._lingering = 0

    def handle(self, sock, address):
        """Serve one connection."""
        set_no_delay(sock)
        limit_unsent(sock)
        if self._is_full() and not self._end_waiting():
            self._refuse(sock)
            return
        handler = self.handler_class(sock, address, self)
        handler.accepted_at = time.monotonic()
        held = Hold(handler.account)
        if not held.add(Kind.CONNECTION, CONNECTION_BYTES, PATIENCE_S):
            self.memory.close(handler.account)
            self._refuse(sock)
            return
        self._handlers.add(handler)
        try:
            handler.handle()
        finally:
            self._handlers.discard(handler)
            self._ending.discard(handler)
            held.release()
            self.memory.close(handler.account)
            handler.environ = None

    def _is_full(self):
        open_connections = len(self._handlers) - len(self._ending)
        return open_connections >= self.limits.max_connections

    def _end_waiting(self):
        """End the connections that wait longest for a request; return whether any does.

        Callers that only hold connections would otherwise keep all others out. If none
        waits, those end whose callers move their data most slowly, and then the oldest
        ones that send data which is costly to read.
        """
        now = time.monotonic()
        count = math.ceil(ENDED_SHARE * self.limits.max_connections)
        ended = heapq.nsmallest(count, self._waiting(now), key=_waits_since)
        for handler in ended:
            handler.shut_down()
        if not ended:
            ended = heapq.nlargest(count, self._slow(now), key=_seconds_to_free(now))
            ended = ended or heapq.nsmallest(count, self._lengthy(), key=_accepted_at)
            for handler in ended:
                handler.evict(Problem.TOO_MANY_CONNECTIONS)
        self._ending.update(ended)
        for handler in ended:
            self.memory.note_closed(Closing.LISTENER_FULL, handler.account)
        return bool(ended)

    def _waiting(self, now):
        newest = now - FIRST_REQUEST_S
        for handler in self._handlers - self._ending:
            since, sock = handler.waits_since, handler.socket
            if since is not None and since <= newest and sock is not None:
                # A request that has arrived is read.
                if handler.busy or is_quiet(sock):
                    yield handler

    def _slow(self, now):
        for handler in self._handlers - self._ending:
            if handler.account.seconds_to_free(now) >= SLOW_S:
                yield handler

    def _lengthy(self):
        return [each for each in self._handlers - self._ending if each.is_lengthy]

    def _refuse(self, sock):
        # A caller that stays in the backlog would wait without an answer.
        self.refused_connections += 1
        self._lingering += 1
        try:
            sock.settimeout(self.limits.head_s)
            sock.sendall(encode_raw(Problem.TOO_MANY_CONNECTIONS))
            if self._lingering <= MAX_LINGERING:
                linger(sock)
        except OSError:
            # The caller is gone.
            pass
        finally:
            self._lingering -= 1
            sock.close()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._handlers)

    @property
    def busy(self) -> int:
        """Number of connections with a request in progress."""
        return sum(handler.busy for handler in self._handlers)

    def start_closing(self) -> None:
        """Continue to serve, and end each connection with its next answer.

        If a caller has sent requests ahead, that is the answer to the last one that was
        read. Otherwise all connections would be closed at once at the end. Some of them
        would then carry a request that is not read yet, and the caller would have to
        resend it.
        """
        self.closing = True

    def start_finishing(self) -> None:
        """Refuse requests behind unanswered ones of their connection."""
        self.start_closing()
        self.finishing = True

    def finish(self, seconds: float, keep_idle_s: float = 0.0) -> bool:
        """Accept no new connections, close idle ones and wait for the others.

        Parameters
        ----------
        seconds : float
            Maximum time to wait.
        keep_idle_s : float, optional
            Seconds for which idle connections are kept, as callers may use them.

        Returns
        -------
        bool
            Whether every request in progress was answered.
        """
        self.start_finishing()
        began_at = time.monotonic()
        ends_at = began_at + seconds
        self._close_listener(min(HANDSHAKE_S, seconds))
        close_idle_at = began_at + min(keep_idle_s, seconds)
        gevent.sleep(max(0.0, close_idle_at - time.monotonic()))
        with gevent.Timeout(max(0.0, ends_at - time.monotonic()), False):
            while self._close_idle():
                gevent.sleep(0.01)
        unanswered = self.busy
        self.stop(timeout=0)
        return unanswered == 0

    def _close_listener(self, handshake_s):
        """Close the listener without resetting connections in its queue."""
        if self.closed:
            # A fatal error of `accept` closes the listener.
            return
        if not refuse_connections(self.socket):
            log.warning(
                "the listener cannot refuse connections before it closes",
                extra={"address": str(self.address)},
            )
        gevent.sleep(handshake_s)
        # A stalled process may find the wait over before it has accepted anything. No
        # other task runs between the last accept and the close.
        try:
            while (accepted := self.do_read()) is not None:
                self.do_handle(*accepted)
        except OSError as exc:
            log.warning("queued connections are lost", extra={"why": str(exc)})
        self.close()

    def _close_idle(self):
        """Close idle connections; return the number of connections left.

        Tasks are counted instead of handlers: a task that was just started for a
        connection has no handler yet, and would be killed in the middle of its request.
        """
        newest = time.monotonic() - FIRST_REQUEST_S
        for handler in list(self._handlers):
            sock = handler.socket
            # A connection on which a request is arriving or due stays open.
            if handler.accepted_at > newest:
                continue
            if not handler.busy and sock is not None and is_quiet(sock):
                # `close` has no effect while the reader still uses the socket, and the
                # daemon would wait for the connection until the time limit.
                with contextlib.suppress(OSError):
                    sock.shutdown(SHUT_RDWR)
        return len(self.pool)


def _start_timer(seconds):
    """Start the timer after which the sender of a body is given up."""
    return gevent.Timeout.start_new(seconds, BadRequest(Problem.SLOW_SENDER))


def _waits_since(handler):
    return handler.waits_since


def _accepted_at(handler):
    return handler.accepted_at


def _seconds_to_free(now):
    return lambda handler: handler.account.seconds_to_free(now)
