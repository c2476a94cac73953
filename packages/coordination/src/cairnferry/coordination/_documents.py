"""Delta encoding of the versions of one large document.

A change usually affects one or two of the thousands of rules in a document. A daemon
that holds the previous version receives only the difference; a daemon that holds no
version receives the complete document, compressed.
"""

import json
import re
import zlib

import attrs

from cairnferry.decoding import decode_object, decompress

# Number of versions kept as bases of deltas. Several changes can be made before a
# version has reached all daemons.
MAX_KEPT_VERSIONS = 4
# Pieces in which two versions are compared; a piece ends with closing braces.
_PIECE = re.compile(rb"[^}]*\}+|[^}]+\Z")


class DocumentFault(Exception):
    """An update of a document cannot be decoded or has a base that is not held."""


@attrs.frozen
class DocumentNews:
    """Update of a document that one daemon sends to another.

    Attributes
    ----------
    revision : int
        Revision of the document after the update; 0 if there is no update.
    base : int
        Revision to which the update applies; 0 if it holds the complete document.
    packed : bytes
        The complete document or the delta, compressed.
    """

    revision: int
    base: int
    packed: bytes


NO_DOCUMENT_NEWS = DocumentNews(0, 0, b"")


@attrs.define
class DocumentHistory:
    """The newest version of a document and some earlier ones.

    Attributes
    ----------
    revision : int
        Revision of the newest version; 0 if there is none.
    """

    revision: int = 0
    _packed: dict[int, bytes] = attrs.field(factory=dict)
    _deltas: dict[int, bytes] = attrs.field(factory=dict)

    def add(self, revision: int, document: bytes, packed: bytes | None = None) -> None:
        """Add a newer version.

        Parameters
        ----------
        revision : int
            Revision of the document.
        document : bytes
            The document.
        packed : bytes, optional
            The document, compressed by zlib; by default it is compressed here.
        """
        self.revision = revision
        self._packed[revision] = zlib.compress(document) if packed is None else packed
        self._deltas = {}
        while len(self._packed) > MAX_KEPT_VERSIONS:
            del self._packed[next(iter(self._packed))]

    def news_since(self, revision: int) -> DocumentNews:
        """Return the update for a daemon that holds `revision`; 0 if it holds none."""
        if revision >= self.revision:
            return NO_DOCUMENT_NEWS
        if revision in self._packed:
            return DocumentNews(self.revision, revision, self._delta_since(revision))
        return DocumentNews(self.revision, 0, self._packed[self.revision])

    def _delta_since(self, revision):
        delta = self._deltas.get(revision)
        if delta is None:
            old, new = self._get(revision), self._get(self.revision)
            delta = self._deltas[revision] = encode_delta(old, new)
        return delta

    def _get(self, revision):
        return zlib.decompress(self._packed[revision])

    def read(self, update: DocumentNews) -> bytes:
        """Return the document that results from an update.

        Raises
        ------
        DocumentFault
            If the base of the update is not held, or the update cannot be decoded.
        """
        try:
            if not update.base:
                return decompress(update.packed)
            return apply_delta(self._get(update.base), update.packed)
        except KeyError as exc:
            raise DocumentFault(f"revision {update.base} is not held") from exc
        except ValueError as exc:
            raise DocumentFault(f"revision {update.revision}: {exc}") from exc


def encode_delta(old: bytes, new: bytes) -> bytes:
    """Return the compressed delta that turns one document into another.

    Pieces that both documents contain are encoded by their position in the old one.
    """
    positions = {}
    pieces = _PIECE.findall(old)
    for position, piece in enumerate(pieces):
        positions.setdefault(piece, position)
    steps = []
    for piece in _PIECE.findall(new):
        _add_step(steps, piece, pieces, positions)
    document = {"crc": zlib.crc32(new), "steps": steps}
    return zlib.compress(json.dumps(document, separators=(",", ":")).encode())


def _add_step(steps, piece, pieces, positions):
    last = steps[-1] if steps else None
    if isinstance(last, list):
        following = last[0] + last[1]
        if following < len(pieces) and pieces[following] == piece:
            last[1] += 1
            return
    if piece in positions:
        steps.append([positions[piece], 1])
    elif isinstance(last, str):
        steps[-1] = last + piece.decode("latin-1")
    else:
        steps.append(piece.decode("latin-1"))


def apply_delta(old: bytes, packed: bytes) -> bytes:
    """Apply a delta of `encode_delta` to a document.

    Raises
    ------
    DocumentFault
        If the delta was made from another document, or cannot be decoded.
    ValueError
        If the delta is not compressed.
    """
    pieces = _PIECE.findall(old)

    def read(document):
        parts = [_decode_step(step, pieces) for step in document["steps"]]
        return b"".join(parts), document["crc"]

    decoded = decode_object(decompress(packed), read)
    if decoded.is_error():
        raise DocumentFault(f"malformed delta: {decoded.error}")
    new, expected = decoded.ok
    if zlib.crc32(new) != expected:
        raise DocumentFault("delta was made from another document")
    return new


def _decode_step(step, pieces):
    if isinstance(step, str):
        return step.encode("latin-1")
    first, count = step
    return b"".join(pieces[first : first + count])
