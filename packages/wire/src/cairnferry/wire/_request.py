"""Encoding of an HTTP/1.1 request as one byte string."""

import re

import attrs

# Size in bytes from which a body is not copied to be sent together with the head.
LARGE_BODY_BYTES = 64 * 1024
_TOKEN = re.compile(r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
_INVALID_IN_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_INVALID_IN_PATH = re.compile(r"[^!-~]")


@attrs.frozen
class HeaderInvalid(Exception):
    """The request line or a header contains characters that break the framing.

    A line break in a value would let a caller inject headers or a second request.

    Attributes
    ----------
    field : str
        "method", "path" or the name of the header.
    """

    field: str


def encode_request(method, path, host, headers, body) -> bytes:
    """Return an encoded request with an explicit length.

    Parameters
    ----------
    method, path, host : str
        Parts of the request line, and value of the Host header.
    headers : iterable of (str, str)
        Headers other than Host, Content-Length and connection headers.
    body : bytes
        Request body; may be empty.

    Returns
    -------
    bytes
        Head and body together, so that they can be sent in one segment.

    Raises
    ------
    HeaderInvalid
        If a part contains characters that break the framing.
    """
    return _encode_head(method, path, host, headers, body) + body


def encode_parts(method, path, host, headers, body) -> tuple[bytes | bytearray, ...]:
    """Return an encoded request as parts that are to be sent one after the other.

    A large body is a part of its own. Joined with the head, it would take its memory
    once more for each attempt.

    Parameters and exceptions are those of `encode_request`.
    """
    head = _encode_head(method, path, host, headers, body)
    return (head + body,) if len(body) < LARGE_BODY_BYTES else (head, body)


def _encode_head(method, path, host, headers, body):
    if not _TOKEN.match(method):
        raise HeaderInvalid("method")
    if not path or _INVALID_IN_PATH.search(path):
        raise HeaderInvalid("path")
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    for name, value in headers:
        if not _TOKEN.match(name) or _INVALID_IN_VALUE.search(value):
            raise HeaderInvalid(name)
        lines.append(f"{name}: {value}")
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS", "TRACE"):
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1")
