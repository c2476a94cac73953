"""Documents from outside, whatever their bytes."""

import json
import re
import zlib
from collections.abc import Callable

import attrs
from expression import Error, Ok, Result

# Maximum size in bytes of a document: the largest answer that the client of the store
# reads.
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
# Characters of a reason that are kept, as it may quote the document.
MAX_REASON_CHARS = 300
# Code points that no encoding of Unicode has. JSON can hold one as an escape sequence.
_SURROGATE = re.compile("[\ud800-\udfff]")
_SURROGATE_ESCAPE = re.compile(r"\\u[dD][89a-fA-F]")
# The code point behind the surrogates.
_AFTER_SURROGATES = "\ue000"


@attrs.frozen
class Malformed:
    """Error: a document, or a part of it, that cannot be decoded.

    Attributes
    ----------
    reason : str
        Description of the fault, with the name of the Python exception.
    """

    reason: str

    def __str__(self):
        return self.reason


def decode(read: Callable[[], object]) -> Result[object, Malformed]:
    """Return what a function reads from a document, or why it can't be read.

    The function may take any field for granted. What it raises on a document of another
    form depends on the bytes, so that a list of exceptions would be incomplete.

    Parameters
    ----------
    read : callable
        Parses the document and returns its content.

    Returns
    -------
    Result
        The content, or `Malformed`.
    """
    try:
        return Ok(read())
    except Exception as exc:
        reason = f"{type(exc).__name__}: {exc}"
        return Error(Malformed(reason[:MAX_REASON_CHARS]))


def decode_object(
    data: bytes | str, read: Callable[[dict], object]
) -> Result[object, Malformed]:
    """Return what a function reads from a JSON object, or why it can't be read.

    Parameters
    ----------
    data : bytes or str
        The document, as for `load_json`.
    read : callable
        Returns the content of the object; see `decode`.
    """
    return decode(lambda: read(_as_object(load_json(data))))


def _as_object(document):
    if not isinstance(document, dict):
        raise TypeError("the document is not a JSON object")
    return document


def load_json(data: bytes | str) -> object:
    """Return a JSON document all of whose text can be encoded.

    Parameters
    ----------
    data : bytes or str
        The document, in an encoding that JSON allows.

    Raises
    ------
    ValueError, RecursionError
        If the data is not JSON, has text with lone surrogates, or is nested too deeply.
    """
    text = data if isinstance(data, str) else decode_text(data)
    document = json.loads(text)
    if _SURROGATE_ESCAPE.search(text):
        # Most of these escape sequences are pairs, which are valid.
        json.dumps(document, ensure_ascii=False).encode()
    return document


def decompress(data: bytes, max_bytes: int = MAX_DOCUMENT_BYTES) -> bytes:
    """Return data that zlib has compressed.

    Parameters
    ----------
    data : bytes
        The compressed data.
    max_bytes : int, optional
        Maximum size of the data in bytes.

    Raises
    ------
    ValueError
        If the data is not complete, not compressed, or larger.
    """
    decompressor = zlib.decompressobj()
    try:
        found = decompressor.decompress(data, max_bytes)
    except zlib.error as exc:
        raise ValueError(str(exc)) from exc
    if not decompressor.eof:
        raise ValueError("the data is cut short or too large")
    return found


def decode_text(data: bytes) -> str:
    """Return the text of a JSON document, whose encoding its first bytes tell.

    Raises
    ------
    ValueError
        If the bytes are not in that encoding.
    """
    return data.decode(json.detect_encoding(data))


def load_lenient_json(data: bytes) -> object:
    """Return a JSON document in UTF-8, some of whose text may not be encodable.

    A single faulty text does not make the rest of a long document unreadable. Whoever
    uses a text checks it by `is_text`.

    Parameters
    ----------
    data : bytes
        The document. Bytes that are not UTF-8 become lone surrogates.

    Raises
    ------
    ValueError, RecursionError
        If the data is not JSON, or is nested too deeply.
    """
    return json.loads(data.decode(errors="surrogateescape"))


def is_text(value: object) -> bool:
    """Return whether a value is a string that can be encoded.

    Parameters
    ----------
    value : object
        Value from a document.
    """
    return isinstance(value, str) and (
        value.isascii() or _SURROGATE.search(value) is None
    )


def start_after(key: str) -> str:
    """Return a text that follows a key in the order of code points, and can be encoded.

    No key that can be encoded lies between the two.

    Parameters
    ----------
    key : str
        The key; it may have lone surrogates.
    """
    found = _SURROGATE.search(key)
    return key + "\0" if found is None else key[: found.start()] + _AFTER_SURROGATES
