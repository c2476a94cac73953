"""What makes a request the same as an earlier one."""

import hashlib

import attrs

# Bytes of the digests of a request's head and of its body. Two requests of a day with
# the same 16 bytes would share what is believed of one of them; with 8 and 8 that takes
# some 2**64 different requests.
HEAD_BYTES = 8
BODY_BYTES = 8
# Bytes of the digest of a caller: it tells apart the callers of one request alone.
CALLER_BYTES = 4


@attrs.define(eq=False)
class RequestIdentity:
    """Tells a request that comes again from all others, whatever its ID.

    Digests are made only when somebody asks for them: nearly all requests are never
    compared with any other.

    Parameters
    ----------
    method, host, path : str
        Request line and Host; the path with its query. The host stands for the
        workspace: equal paths of two of them are different requests.
    body : bytes
        Whole body.
    caller : str
        Who sends it: its credentials, or else its address without the port.
    """

    method: str
    host: str
    path: str
    body: bytes = b""
    caller: str = ""
    _head: str | None = None
    _content: str | None = None

    @property
    def head(self) -> str:
        """Digest of the request line, the host and the body's length."""
        if self._head is None:
            text = f"{self.method} {self.host.lower()} {self.path} {len(self.body)}"
            self._head = _digest(text.encode(), HEAD_BYTES)
        return self._head

    @property
    def content(self) -> str:
        """Digest of the whole request; begins with `head`."""
        if self._content is None:
            body = _digest(self.body, BODY_BYTES) if self.body else ""
            self._content = self.head + body
        return self._content

    def is_same(self, other: "RequestIdentity") -> bool:
        """Tell whether both are the same request, whoever sends it."""
        return self.head == other.head and self.content == other.content

    @property
    def caller_tag(self) -> str:
        """Digest of the caller; credentials must not stand in logs."""
        return _digest(self.caller.encode(), CALLER_BYTES)


def head_of(content: str) -> str:
    """Give the digest of the head from that of a whole request."""
    return content[: 2 * HEAD_BYTES]


def _digest(data, size):
    return hashlib.blake2b(data, digest_size=size).hexdigest()
