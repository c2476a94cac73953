"""Exchange of one request and one response, with evidence on failures."""

import enum
import time
import typing
from collections.abc import Callable

import attrs
import gevent
from geventhttpclient.response import HTTPParseError, HTTPResponse

from cairnferry.wire._connection import Connection
from cairnferry.wire._link import Link

# Bytes that are read at once: at first, when the size of a response is not known and no
# memory is held for its body, and then.
FIRST_RECV_BYTES = 16384
RECV_SIZE_BYTES = 65536
MAX_HEAD_BYTES = 65536
# Framing of a body that is accepted, in bytes for each byte of the body: a chunk of one
# byte takes six.
MAX_FRAMING_SHARE = 8
# Size in bytes from which a body is not copied once it is complete.
LARGE_BODY_BYTES = 64 * 1024
# What a status may be (RFC 9110, section 15), and the versions that are spoken.
VALID_STATUSES = range(100, 600)
VERSIONS = ("HTTP/1.1", "HTTP/1.0")
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = (204, 304)


class Failure(enum.StrEnum):
    """Reason why an exchange returned no complete response."""

    TIMEOUT = "timeout"
    RESET = "reset"
    CUT_SHORT = "cut-short"
    BAD_FRAMING = "bad-framing"
    TOO_LARGE = "too-large"
    CONNECT = "connect"
    WITHDRAWN = "withdrawn"
    NO_MEMORY = "no-memory"


def find_header(headers: list[tuple[str, str]], name: str) -> str | None:
    """Return the first value of a header, or None; `name` is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


@attrs.frozen
class Reply:
    """Complete response: the request ran, unless the response says otherwise.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Names and values as received, in order.
    body : bytes or bytearray
        Complete body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes | bytearray

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None; `name` is in lower case."""
        return find_header(self.headers, name)


@attrs.frozen
class NotSent:
    """No byte of the request was written, so it cannot have run."""

    failure: Failure


@attrs.frozen
class Incomplete:
    """The request may have arrived, but no complete response was received."""

    failure: Failure


Outcome = Reply | NotSent | Incomplete


class Room(typing.Protocol):
    """Memory for the body of one response."""

    def add(self, size: int) -> bool:
        """Hold memory for further bytes; return False if there is none."""

    def release(self) -> None:
        """Release the memory, because the response is not used."""


@attrs.frozen
class ResponseRules:
    """Conditions under which a response is accepted as complete.

    The defaults are the strictest conditions. Weaker ones are safe only if the content
    of a response proves that it belongs to the request and is complete.

    Attributes
    ----------
    is_foreign : callable or None
        Called with the headers of a response; returns whether the response belongs to
        another request. Such a late response is skipped.
    close_ends_body : bool
        Whether a response without a length is complete when the target closes the
        connection in order. A response that ends with a reset is never complete.
    ignore_overrun : bool
        Whether to accept a response that is followed by further bytes, and to drop
        these bytes and the connection. Otherwise the response is rejected.
    """

    is_foreign: Callable[[list[tuple[str, str]]], bool] | None = None
    close_ends_body: bool = False
    ignore_overrun: bool = False


STRICT_RULES = ResponseRules()
_UNKNOWN_LINK = Link()


def describe_outcome(outcome: Outcome) -> str:
    """Return a short description of an outcome for messages and logs."""
    match outcome:
        case Reply(status=status):
            return f"status {status}"
        case NotSent(failure):
            return f"not sent ({failure})"
        case Incomplete(failure):
            return f"no whole answer ({failure})"


class _StrictResponse(HTTPResponse):
    """Parser that accepts one final response without trailing bytes."""

    def __init__(self, method, rules):
        super().__init__(method)
        self.overrun = False
        self.skipped_foreign = False
        self.is_invalid = False
        self.received_headers = []
        self.reply: Reply | None = None
        self._rules = rules
        self._allocated: bytearray | None = None
        self._position = 0

    def allocate(self, size: int) -> None:
        """Allocate the memory of a body at once; one that grows leaves gaps behind."""
        if self._allocated is not None:
            return
        self._allocated = bytearray(size)
        received, self._body_buffer = self._body_buffer, bytearray()
        self._on_body(received)

    def _on_body(self, buf):
        if self._allocated is None:
            super()._on_body(buf)
            return
        end = self._position + len(buf)
        self._allocated[self._position : end] = buf
        self._position = end

    def _on_message_begin(self):
        # Bytes after a complete response start a second one. The library would then
        # replace the headers of the first response and append the second body to the
        # first, which mixes two responses. It does so on purpose for interim responses.
        if self.reply is not None:
            self.overrun = True
        self.received_headers = []
        super()._on_message_begin()

    def _on_headers_complete(self):
        is_status = self.get_code() in VALID_STATUSES
        if not is_status or self.get_http_version() not in VERSIONS:
            # Not an answer. It must not pass for an interim one before the next.
            self.is_invalid = True
        return super()._on_headers_complete()

    def _on_message_complete(self):
        super()._on_message_complete()
        if self.reply is not None or self.is_invalid:
            return
        if self.get_code() < FIRST_FINAL_STATUS:
            return
        is_foreign = self._rules.is_foreign
        if is_foreign is not None and is_foreign(self.received_headers):
            self.skipped_foreign = True
            self._take_body()
            return
        body = self._take_body()
        if len(body) < LARGE_BODY_BYTES:
            body = bytes(body)
        self.reply = Reply(self.get_code(), self.received_headers, body)

    def _take_body(self):
        """Return the body; further bytes do not belong to it."""
        body = self._body_buffer if self._allocated is None else self._allocated
        self._body_buffer = bytearray()
        self._allocated, self._position = None, 0
        return body

    @property
    def received_bytes(self):
        """Bytes of the body that were received."""
        if self.reply is not None:
            return len(self.reply.body)
        return self._position or len(self._body_buffer)

    @property
    def body_bytes(self):
        """Size of the body in bytes as far as it is known: received or announced."""
        is_arriving = self.headers_complete and not self.message_complete
        if not is_arriving or not self._has_body():
            return self.received_bytes
        return max(self.received_bytes, self.content_length or 0)

    def _has_body(self):
        return self.method != "HEAD" and self.get_code() not in BODILESS_STATUSES

    def _flush_header(self):
        # The library joins repeated headers; a proxy has to keep them separate.
        if self._current_header_field is not None:
            value = self._current_header_value or ""
            self.received_headers.append((self._current_header_field, value))
        super()._flush_header()


def exchange(
    conn: Connection,
    method: str,
    payload: bytes | tuple[bytes | bytearray, ...],
    deadline: float,
    max_body: int,
    rules: ResponseRules = STRICT_RULES,
    link: Link = _UNKNOWN_LINK,
    room: Room | None = None,
) -> Outcome:
    """Send a request and read the complete response.

    Parameters
    ----------
    conn : Connection
        Connection without another exchange. It is closed unless it is reusable.
    method : str
        Method of the request; determines whether a response has a body.
    payload : bytes or tuple of bytes or bytearray
        Encoded request, or its parts.
    deadline : float
        Monotonic time in seconds.
    max_body : int
        Maximum length of the response body in bytes.
    rules : ResponseRules, optional
        Conditions under which a response is accepted as complete.
    link : Link, optional
        Link of this instance. A large request is sent at its rate, in pieces, and the
        bytes of the exchange are recorded there.
    room : Room, optional
        Memory for the body of the response; there is no limit by default. It is
        released if the outcome is no Reply.

    Returns
    -------
    Reply, NotSent or Incomplete
        Outcome of the exchange. After any outcome but a Reply the connection is closed.

    Notes
    -----
    The deadline is checked right before the first byte is sent. Otherwise a process
    that resumes after a pause would send a request whose caller no longer waits.
    """
    is_reusable = False
    outcome = None
    try:
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            return NotSent(Failure.TIMEOUT)
        conn.sock.settimeout(remaining)
        outcome, is_complete = _send(conn, payload, deadline, link)
        if outcome is not None:
            return outcome
        outcome, is_reusable = _receive(
            conn.sock, method, deadline, max_body, rules, link, room
        )
        # The rest of a request that was not sent completely would be missing at the
        # start of the next one.
        is_reusable = is_reusable and is_complete
        return outcome
    finally:
        if is_reusable:
            conn.idle_since = time.monotonic()
        else:
            conn.close()
        if room is not None and not isinstance(outcome, Reply):
            room.release()


def _send(conn, payload, deadline, link):
    """Send a request; return the outcome of a failure, and whether all was sent.

    A large request would otherwise occupy the link for up to some hundred milliseconds,
    and the status checks and answers of all other requests would wait behind it.
    """
    parts = (payload,) if isinstance(payload, bytes) else payload
    try:
        for index, piece in enumerate(_pieces(parts, link.piece_bytes)):
            if index and not _wait_for_link(conn, deadline, link):
                return None, False
            link.note_sent(len(piece), time.monotonic())
            conn.sock.sendall(piece)
    except TimeoutError:
        return Incomplete(Failure.TIMEOUT), False
    except OSError:
        return Incomplete(Failure.RESET), False
    return None, True


def _pieces(parts, size):
    """Yield the parts of a request, each cut into pieces of a size in bytes."""
    for part in parts:
        step = int(min(len(part), size)) or 1
        for start in range(0, len(part), step):
            yield memoryview(part)[start : start + step]


def _wait_for_link(conn, deadline, link):
    """Wait until the next piece may be sent; return False if a response has arrived.

    A target may refuse a request by its head and close the connection. If the daemon
    went on sending, the connection would be reset and the refusal would be lost.
    """
    while (remaining := deadline - time.monotonic()) > 0:
        delay = link.delay(time.monotonic())
        if delay <= 0:
            break
        gevent.sleep(min(delay, remaining))
    else:
        raise TimeoutError
    conn.sock.settimeout(remaining)
    return conn.is_quiet()


def _receive(sock, method, deadline, max_body, rules, link, room):
    """Return the outcome and whether the connection is reusable."""
    parser = _StrictResponse(method, rules)
    received_bytes = head_bytes = held_bytes = 0
    while parser.reply is None:
        size = RECV_SIZE_BYTES if received_bytes else FIRST_RECV_BYTES
        data = _recv(sock, size, deadline)
        if isinstance(data, Incomplete):
            return data, False
        link.note_received(len(data))
        received_bytes += len(data)
        try:
            parser.feed(data)
        except HTTPParseError:
            if parser.reply is not None and rules.ignore_overrun:
                parser.overrun = True
                break
            failure = Failure.BAD_FRAMING if data else Failure.CUT_SHORT
            return Incomplete(failure), False
        if parser.is_invalid and parser.reply is None:
            return Incomplete(Failure.BAD_FRAMING), False
        if not data and parser.reply is None:
            return Incomplete(Failure.CUT_SHORT), False
        body_bytes = parser.body_bytes
        if body_bytes > max_body:
            return Incomplete(Failure.TOO_LARGE), False
        if room is not None and body_bytes > held_bytes:
            if not room.add(body_bytes - held_bytes):
                return Incomplete(Failure.NO_MEMORY), False
            held_bytes = body_bytes
        if body_bytes >= parser.received_bytes + LARGE_BODY_BYTES:
            parser.allocate(body_bytes)
        if not parser.headers_complete:
            head_bytes += len(data)
            if head_bytes > MAX_HEAD_BYTES:
                return Incomplete(Failure.TOO_LARGE), False
        if _exceeds_framing(received_bytes, parser.received_bytes):
            return Incomplete(Failure.TOO_LARGE), False
    return _check_framing(parser, rules)


def _exceeds_framing(received_bytes, body_bytes):
    """Return whether an answer has too many bytes besides its body.

    Extensions of a chunk, and trailers, belong neither to the head nor to the body.
    """
    framing_bytes = received_bytes - body_bytes
    allowed = 2 * MAX_HEAD_BYTES + MAX_FRAMING_SHARE * body_bytes
    return framing_bytes > allowed


def _recv(sock, size, deadline):
    remaining = deadline - time.monotonic()
    if remaining <= 0:
        return Incomplete(Failure.TIMEOUT)
    sock.settimeout(remaining)
    try:
        return sock.recv(size)
    except TimeoutError:
        return Incomplete(Failure.TIMEOUT)
    except OSError:
        return Incomplete(Failure.RESET)


def _check_framing(parser, rules):
    if parser.overrun:
        if rules.ignore_overrun:
            return parser.reply, False
        return Incomplete(Failure.BAD_FRAMING), False
    if not _has_explicit_length(parser):
        if rules.close_ends_body and parser.get("transfer-encoding") is None:
            return parser.reply, False
        return Incomplete(Failure.BAD_FRAMING), False
    return parser.reply, not (parser.skipped_foreign or parser.should_close())


def _has_explicit_length(parser):
    """Return whether the response defines the length of its body in exactly one way.

    A response that ends with the connection cannot be distinguished from a truncated
    one, so that a part would be accepted as the complete body.
    """
    if parser.method == "HEAD" or parser.get_code() in BODILESS_STATUSES:
        return True
    content_length = parser.get("content-length")
    transfer_encoding = parser.get("transfer-encoding")
    if transfer_encoding is not None:
        return content_length is None and transfer_encoding.lower() == "chunked"
    return isinstance(content_length, str)
