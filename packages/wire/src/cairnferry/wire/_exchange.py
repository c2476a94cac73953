"""One request, one answer, and what is known when there is none."""

import enum
import time
from collections.abc import Callable

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
    WITHDRAWN = "withdrawn"


def find_header(headers: list[tuple[str, str]], name: str) -> str | None:
    """Give the first value of a header; `name` in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


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
        return find_header(self.headers, name)


@attrs.frozen
class NotSent:
    """No byte of the request was written: it cannot have run."""

    failure: Failure


@attrs.frozen
class Incomplete:
    """Some of the request may have arrived, and no whole answer came back."""

    failure: Failure


Outcome = Reply | NotSent | Incomplete


@attrs.frozen
class ResponseRules:
    """What counts as the whole answer to a request.

    The defaults are the strictest ones. The others may be chosen only where
    something in the answer proves by itself that it is the request's own and whole.

    Attributes
    ----------
    is_foreign : callable or None
        Tells from the headers of an answer whether it belongs to another request.
        Such an answer, which came late, is passed over.
    close_ends_body : bool
        Whether an answer without a length is whole when the target closes in
        order. One that ends by a reset never is.
    ignore_overrun : bool
        Whether bytes behind a whole answer are dropped with the connection; if not,
        the answer is not taken either.
    """

    is_foreign: Callable[[list[tuple[str, str]]], bool] | None = None
    close_ends_body: bool = False
    ignore_overrun: bool = False


STRICT = ResponseRules()


def describe_outcome(outcome: Outcome) -> str:
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

    def __init__(self, method, rules):
        super().__init__(method)
        self.overrun = False
        self.passed_over = False
        self.received = []
        self.whole: Reply | None = None
        self._rules = rules

    def _on_message_begin(self):
        # Bytes behind a whole answer would start a second one, whose headers
        # replace those of the first while the body is appended to it: an answer
        # made of two. The library does so on purpose for interim answers.
        if self.whole is not None:
            self.overrun = True
        self.received = []
        super()._on_message_begin()

    def _on_message_complete(self):
        super()._on_message_complete()
        if self.whole is not None or self.get_code() < FIRST_FINAL_STATUS:
            return
        is_foreign = self._rules.is_foreign
        if is_foreign is not None and is_foreign(self.received):
            self.passed_over = True
            self._body_buffer.clear()
            return
        body = bytes(self._body_buffer)
        self.whole = Reply(self.get_code(), self.received, body)

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
    rules: ResponseRules = STRICT,
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
    rules : ResponseRules, optional
        What counts as a whole answer.

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
        outcome, keep = _receive(conn.sock, method, deadline, max_body, rules)
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


def _receive(sock, method, deadline, max_body, rules):
    """Read until the answer is whole; tell also if the connection may be kept."""
    parser = _StrictResponse(method, rules)
    head_bytes = 0
    while parser.whole is None:
        data = _recv(sock, deadline)
        if isinstance(data, Incomplete):
            return data, False
        try:
            parser.feed(data)
        except HTTPParseError:
            if parser.whole is not None and rules.ignore_overrun:
                parser.overrun = True
                break
            failure = Failure.BAD_FRAMING if data else Failure.CUT_SHORT
            return Incomplete(failure), False
        if not data and parser.whole is None:
            return Incomplete(Failure.CUT_SHORT), False
        if len(parser._body_buffer) > max_body:
            return Incomplete(Failure.TOO_LARGE), False
        if not parser.headers_complete:
            head_bytes += len(data)
            if head_bytes > MAX_HEAD:
                return Incomplete(Failure.TOO_LARGE), False
    return _finish(parser, rules)


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


def _finish(parser, rules):
    if parser.overrun:
        if rules.ignore_overrun:
            return parser.whole, False
        return Incomplete(Failure.BAD_FRAMING), False
    if not _has_explicit_length(parser):
        if rules.close_ends_body and parser.get("transfer-encoding") is None:
            return parser.whole, False
        return Incomplete(Failure.BAD_FRAMING), False
    return parser.whole, not (parser.passed_over or parser.should_close())


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
