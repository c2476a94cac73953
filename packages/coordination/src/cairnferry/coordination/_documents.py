"""Versions of one large document, told as what differs from an earlier one.

A document of thousands of rules changes in one or two of them. Daemons that hold the
version before need no more than these; one that holds none gets the whole, packed.
"""

import json
import re
import zlib

import attrs

# Versions that are kept, to tell others what has changed since: several changes in the
# time in which a version reaches all.
MAX_KEPT = 4
# Pieces in which two versions are compared: up to the end of a brace.
_PIECE = re.compile(rb"[^}]*\}+|[^}]+\Z")


class DocumentFault(Exception):
    """News of a document that does not fit what is held, or cannot be read."""


@attrs.frozen
class DocumentNews:
    """What one holder of a document tells another.

    Attributes
    ----------
    revision : int
        Revision that this makes; 0 if there is nothing to tell now.
    base : int
        Revision that it builds on; 0 if it is the whole document.
    packed : bytes
        The whole document or the difference, compressed.
    """

    revision: int
    base: int
    packed: bytes


NO_DOCUMENT_NEWS = DocumentNews(0, 0, b"")


@attrs.define
class DocumentHistory:
    """The newest version of a document, and some before it."""

    revision: int = 0
    _packed: dict[int, bytes] = attrs.field(factory=dict)
    _differences: dict[int, bytes] = attrs.field(factory=dict)

    def add(self, revision: int, document: bytes) -> None:
        """Take in a newer version."""
        self.revision = revision
        self._packed[revision] = zlib.compress(document)
        self._differences = {}
        while len(self._packed) > MAX_KEPT:
            del self._packed[next(iter(self._packed))]

    def news_since(self, revision: int) -> DocumentNews:
        """Give what one lacks that holds a revision; 0 if it holds none."""
        if revision >= self.revision:
            return NO_DOCUMENT_NEWS
        if revision in self._packed:
            return DocumentNews(self.revision, revision, self._since(revision))
        return DocumentNews(self.revision, 0, self._packed[self.revision])

    def _since(self, revision):
        known = self._differences.get(revision)
        if known is None:
            old, new = self._get(revision), self._get(self.revision)
            known = self._differences[revision] = difference(old, new)
        return known

    def _get(self, revision):
        return zlib.decompress(self._packed[revision])

    def read(self, news: DocumentNews) -> bytes:
        """Give the document that another one told of.

        Raises
        ------
        DocumentFault
            If it builds on a version that is not held, or cannot be read.
        """
        try:
            if not news.base:
                return zlib.decompress(news.packed)
            return patched(self._get(news.base), news.packed)
        except KeyError as exc:
            raise DocumentFault(f"revision {news.base} is not held") from exc
        except zlib.error as exc:
            raise DocumentFault(f"revision {news.revision}: {exc}") from exc


def difference(old: bytes, new: bytes) -> bytes:
    """Give what turns one document into another, compressed.

    Parts that both have are told by their place in the old one.
    """
    places = {}
    pieces = _PIECE.findall(old)
    for place, piece in enumerate(pieces):
        places.setdefault(piece, place)
    steps = []
    for piece in _PIECE.findall(new):
        _add_step(steps, piece, pieces, places)
    document = {"crc": zlib.crc32(new), "steps": steps}
    return zlib.compress(json.dumps(document, separators=(",", ":")).encode())


def _add_step(steps, piece, pieces, places):
    last = steps[-1] if steps else None
    if isinstance(last, list):
        following = last[0] + last[1]
        if following < len(pieces) and pieces[following] == piece:
            last[1] += 1
            return
    if piece in places:
        steps.append([places[piece], 1])
    elif isinstance(last, str):
        steps[-1] = last + piece.decode("latin-1")
    else:
        steps.append(piece.decode("latin-1"))


def patched(old: bytes, packed: bytes) -> bytes:
    """Apply what `difference` gave.

    Raises
    ------
    DocumentFault
        If it was made from another document, or cannot be read.
    zlib.error
        If it is not compressed.
    """
    pieces = _PIECE.findall(old)
    try:
        document = json.loads(zlib.decompress(packed))
        parts = [_part_of(step, pieces) for step in document["steps"]]
        expected = document["crc"]
    except (ValueError, TypeError, LookupError) as exc:
        raise DocumentFault(f"difference: {type(exc).__name__}: {exc}") from exc
    new = b"".join(parts)
    if zlib.crc32(new) != expected:
        raise DocumentFault("difference: made from another document")
    return new


def _part_of(step, pieces):
    if isinstance(step, str):
        return step.encode("latin-1")
    first, count = step
    return b"".join(pieces[first : first + count])
