"""Identity of a request, by which equal requests are recognized."""

import hashlib

import attrs

# Bytes of the digests of a request's head and of its body. Two requests of one day with
# the same 16 bytes would share the evidence about one of them. With 8 and 8 bytes, such
# a collision takes about 2**64 different requests.
HEAD_BYTES = 8
BODY_BYTES = 8
# Bytes of the digest of a caller, which only has to distinguish the callers of one
# request.
CALLER_BYTES = 4


@attrs.define(eq=False)
class RequestIdentity:
    """Content of a request that identifies it when it is repeated, under any ID.

    Digests are computed on first use, as nearly all requests are never compared with
    another one.

    Parameters
    ----------
    method, host, path : str
        Request line and Host; the path includes the query. The host identifies the
        workspace: equal paths of two workspaces are different requests.
    body : bytes
        Complete body.
    caller : str
        Credentials of the caller, or else its address without the port.
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
        """Digest of the complete request; begins with `head`."""
        if self._content is None:
            body = _digest(self.body, BODY_BYTES) if self.body else ""
            self._content = self.head + body
        return self._content

    def is_same(self, other: "RequestIdentity") -> bool:
        """Return whether both are the same request, by any caller."""
        return self.head == other.head and self.content == other.content

    @property
    def caller_tag(self) -> str:
        """Digest of the caller, as credentials must not be logged."""
        return _digest(self.caller.encode(), CALLER_BYTES)


def head_digest(content: str) -> str:
    """Return the digest of the head, given the digest of the complete request."""
    return content[: 2 * HEAD_BYTES]


def _digest(data, size):
    return hashlib.blake2b(data, digest_size=size).hexdigest()
