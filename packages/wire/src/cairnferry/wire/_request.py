"""Encoding of an HTTP/1.1 request as one byte string."""

import re

import attrs

_TOKEN = re.compile(r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
_FORBIDDEN_IN_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_FORBIDDEN_IN_PATH = re.compile(r"[^!-~]")


@attrs.frozen
class HeaderInvalid(Exception):
    """A request line or header could not be sent without changing its meaning.

    A line break in a value would let a caller write headers, or a second
    request, of its own making.
    """

    field: str


def encode_request(method, path, host, headers, body) -> bytes:
    """Encode a request with an explicit length.

    Parameters
    ----------
    method, path, host : str
        Request line and Host header.
    headers : iterable of (str, str)
        Without Host, Content-Length and connection headers.
    body : bytes
        May be empty.

    Returns
    -------
    bytes
        Head and body together, so that they can leave in one segment.

    Raises
    ------
    HeaderInvalid
        If a part has characters that would break the framing.
    """
    if not _TOKEN.match(method):
        raise HeaderInvalid("method")
    if not path or _FORBIDDEN_IN_PATH.search(path):
        raise HeaderInvalid("path")
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    for name, value in headers:
        if not _TOKEN.match(name) or _FORBIDDEN_IN_VALUE.search(value):
            raise HeaderInvalid(name)
        lines.append(f"{name}: {value}")
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS", "TRACE"):
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + body
