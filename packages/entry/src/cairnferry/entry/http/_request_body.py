"""Reading of request bodies, with a length or in chunks."""

import re
from collections.abc import Callable

from cairnferry.entry.http._answers import Problem

# Bytes of a line with the size of a chunk, which may have extensions.
MAX_CHUNK_LINE_BYTES = 8 * 1024
# Framing of a body in chunks that is accepted, in bytes for each byte of the body and
# besides: a chunk of one byte takes five.
MAX_FRAMING_SHARE = 8
MAX_FRAMING_BYTES = 64 * 1024
# Work of one slice: chunks or trailer lines, and bytes. The chunks take a fraction of
# a millisecond.
CHUNKS_IN_SLICE = 64
BYTES_IN_SLICE = 256 * 1024
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_CHUNK_SIZE = re.compile(rb"^([0-9A-Fa-f]{1,15})[ \t]*(?:;.*)?\r\n\Z")
_TRAILER = re.compile(rb"^[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*\r\n\Z")


class MalformedBody(OSError):
    """A body that ends too early, or whose framing is not valid.

    Attributes
    ----------
    problem : Problem
        Fault that is reported to the caller.
    """

    def __init__(self, problem: Problem = Problem.BODY_INCOMPLETE):
        super().__init__(problem.value[2])
        self.problem = problem


class RequestBody:
    """Body of one request, with the interface that gevent's WSGI server expects.

    Its cost grows linearly with what is read, and no task reads for long at a time.

    Parameters
    ----------
    rfile : io.BufferedReader
        Input of the connection.
    length : int or None
        Declared length in bytes.
    is_chunked : bool
        Whether the body is sent in chunks.
    end_slice : callable
        Called after a slice of work, to let the other connections go on.
    send_continue : callable or None
        Called before the first byte is read, if the caller waits for "100 Continue".
    """

    def __init__(
        self,
        rfile,
        length: int | None,
        is_chunked: bool = False,
        end_slice: Callable[[], None] = lambda: None,
        send_continue: Callable[[], None] | None = None,
    ):
        self._rfile = rfile
        self._is_chunked = is_chunked
        self._left = 0 if is_chunked else length or 0
        self._is_finished = not is_chunked and not self._left
        self._is_broken = False
        self._end_slice = end_slice
        self._send_continue = send_continue
        self._framing = self._received = 0
        self._chunks_in_slice = self._bytes_in_slice = 0

    @property
    def is_unread(self) -> bool:
        """Whether a part of the body has not been read."""
        return not self._is_finished

    def read(self, size: int) -> bytes:
        """Read up to a number of bytes, at least one; none at the end of the body.

        Raises
        ------
        MalformedBody
            If the input ends before the body, or its framing is not valid.
        """
        if self._is_finished or self._is_broken:
            return b""
        if self._send_continue is not None:
            send, self._send_continue = self._send_continue, None
            send()
        try:
            if self._is_chunked and not self._left and not self._next_chunk():
                return b""
            data = self._read_data(size)
        except OSError:
            self._is_broken = True
            raise
        return data

    def _read_data(self, size):
        data = self._rfile.read1(min(size, self._left))
        if not data:
            raise MalformedBody
        self._left -= len(data)
        self._received += len(data)
        if not self._left:
            if self._is_chunked:
                self._end_chunk()
            else:
                self._is_finished = True
        self._spend(0, len(data))
        return data

    def _next_chunk(self):
        """Read the size of the next chunk; return whether there is one."""
        line = self._rfile.readline(MAX_CHUNK_LINE_BYTES)
        found = _CHUNK_SIZE.match(line)
        if found is None:
            raise MalformedBody
        self._note_framing(len(line) + 2)
        self._left = int(found.group(1), 16)
        self._spend(1, len(line))
        if self._left:
            return True
        while (line := self._rfile.readline(MAX_CHUNK_LINE_BYTES)) != b"\r\n":
            if not _TRAILER.match(line):
                raise MalformedBody
            self._note_framing(len(line))
            self._spend(1, len(line))
        self._is_finished = True
        return False

    def _end_chunk(self):
        if self._rfile.read(2) != b"\r\n":
            raise MalformedBody

    def _note_framing(self, size):
        self._framing += size
        allowed = MAX_FRAMING_BYTES + MAX_FRAMING_SHARE * self._received
        if self._framing > allowed:
            raise MalformedBody(Problem.AMBIGUOUS_FRAMING)

    def _spend(self, chunks, size):
        self._chunks_in_slice += chunks
        self._bytes_in_slice += size
        is_over = self._chunks_in_slice >= CHUNKS_IN_SLICE
        if is_over or self._bytes_in_slice >= BYTES_IN_SLICE:
            self._chunks_in_slice = self._bytes_in_slice = 0
            self._end_slice()

    def _discard(self):
        """Leave the rest of the body unread; gevent calls this after an answer.

        The connection ends if there is a rest: reading it could take for ever.
        """
