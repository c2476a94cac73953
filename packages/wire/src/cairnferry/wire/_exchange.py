"""One request, one answer, and what is known when there is none."""

import enum
import time

import attrs
from geventhttpclient.response import HTTPParseError, HTTPResponse

from cairnferry.wire._connection import Connection

RECV_SIZE = 65536
MAX_HEAD = 65536
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = (204, 304)


class Failure(enum.StrEnum):
    """Why an exchange gave no whole answer."""

    TIMEOUT = "timeout"
    RESET = "reset"
    CUT_SHORT = "cut-short"
    BAD_FRAMING = "bad-framing"
    TOO_LARGE = "too-large"
    CONNECT = "connect"


@attrs.frozen
class Reply:
    """A whole answer: the request ran, or the target says otherwise in it.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        As received, in order.
    body : bytes
        Whole body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str | None:
        """Give the first value of a header; `name` in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@attrs.frozen
class NotSent:
    """No byte of the request was written: it cannot have run."""

    failure: Failure


@attrs.frozen
class Incomplete:
    """Some of the request may have arrived, and no whole answer came back."""

    failure: Failure


Outcome = Reply | NotSent | Incomplete


def describe(outcome: Outcome) -> str:
    """Say in a few words how an exchange ended, for messages and logs."""
    match outcome:
        case Reply(status=status):
            return f"status {status}"
        case NotSent(failure):
            return f"not sent ({failure})"
        case Incomplete(failure):
            return f"no whole answer ({failure})"


class _StrictResponse(HTTPResponse):
    """Parser that takes one final answer and nothing behind it."""

    def __init__(self, method):
        super().__init__(method)
        self.overrun = False
        self.received = []

    def _on_message_begin(self):
        # Bytes behind a whole answer would start a second one, whose headers
        # replace those of the first while the body is appended to it: an answer
        # made of two. The library does so on purpose for interim answers.
        if self.message_complete and self.get_code() >= FIRST_FINAL_STATUS:
            self.overrun = True
        super()._on_message_begin()

    def _flush_header(self):
        # The library's index joins repeated headers; a relay keeps them apart.
        if self._current_header_field is not None:
            value = self._current_header_value or ""
            self.received.append((self._current_header_field, value))
        super()._flush_header()


def exchange(
    conn: Connection,
    method: str,
    payload: bytes,
    deadline: float,
    max_body: int,
) -> Outcome:
    """Send a request and read its whole answer.

    Parameters
    ----------
    conn : Connection
        Carries no other exchange. Closed here unless it may be used again.
    method : str
        Method of the request; decides whether an answer has a body.
    payload : bytes
        Encoded request.
    deadline : float
        Monotonic time in seconds.
    max_body : int
        Longest body taken, in bytes.

    Returns
    -------
    Reply, NotSent or Incomplete
        The evidence. After anything but a Reply the connection is closed.

    Notes
    -----
    The deadline is looked at right before the first byte: a process that was
    paused wakes late and would otherwise send work that nobody waits for.
    """
    keep = False
    try:
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            return NotSent(Failure.TIMEOUT)
        conn.sock.settimeout(remaining)
        outcome = _send(conn.sock, payload)
        if outcome is not None:
            return outcome
        outcome, keep = _receive(conn.sock, method, deadline, max_body)
        return outcome
    finally:
        if keep:
            conn.idle_since = time.monotonic()
        else:
            conn.close()


def _send(sock, payload):
    try:
        sock.sendall(payload)
    except TimeoutError:
        return Incomplete(Failure.TIMEOUT)
    except OSError:
        return Incomplete(Failure.RESET)
    return None


def _receive(sock, method, deadline, max_body):
    """Read until the answer is whole; tell also if the connection may be kept."""
    parser = _StrictResponse(method)
    head_bytes = 0
    while not _is_final(parser):
        data = _recv(sock, deadline)
        if isinstance(data, Incomplete):
            return data, False
        try:
            parser.feed(data)
        except HTTPParseError:
            failure = Failure.BAD_FRAMING if data else Failure.CUT_SHORT
            return Incomplete(failure), False
        if not data and not _is_final(parser):
            return Incomplete(Failure.CUT_SHORT), False
        if len(parser._body_buffer) > max_body:
            return Incomplete(Failure.TOO_LARGE), False
        if not parser.headers_complete:
            head_bytes += len(data)
            if head_bytes > MAX_HEAD:
                return Incomplete(Failure.TOO_LARGE), False
    return _finish(parser)


def _is_final(parser):
    return parser.message_complete and parser.get_code() >= FIRST_FINAL_STATUS


def _recv(sock, deadline):
    remaining = deadline - time.monotonic()
    if remaining <= 0:
        return Incomplete(Failure.TIMEOUT)
    sock.settimeout(remaining)
    try:
        return sock.recv(RECV_SIZE)
    except TimeoutError:
        return Incomplete(Failure.TIMEOUT)
    except OSError:
        return Incomplete(Failure.RESET)


def _finish(parser):
    if parser.overrun or not _has_explicit_length(parser):
        return Incomplete(Failure.BAD_FRAMING), False
    reply = Reply(parser.get_code(), parser.received, bytes(parser._body_buffer))
    return reply, not parser.should_close()


def _has_explicit_length(parser):
    """Tell whether the end of the body was marked, in one way only.

    An answer that ends with its connection can't be told from one that was cut
    short: a part would pass for the whole.
    """
    if parser.method == "HEAD" or parser.get_code() in BODILESS_STATUSES:
        return True
    lengths = parser.get("content-length")
    coded = parser.get("transfer-encoding")
    if coded is not None:
        return lengths is None and coded.lower() == "chunked"
    return isinstance(lengths, str)
