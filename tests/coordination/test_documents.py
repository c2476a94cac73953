"""Tests of the delta encoding of document versions."""

import json
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cairnferry.coordination import (
    NO_DOCUMENT_NEWS,
    DocumentFault,
    DocumentHistory,
    DocumentNews,
    apply_delta,
    encode_delta,
)
from cairnferry.coordination._documents import MAX_KEPT_VERSIONS


def document(revision, count=2000, changed=()):
    rules = [
        {"name": f"r-{n:08x}", "match": {"prefix": f"/{n:x}/"}, "to": n % 7}
        for n in range(count)
    ]
    for place in changed:
        rules[place] = rules[place] | {"to": f"other-{revision}"}
    return json.dumps({"version": f"r{revision}", "rules": rules}).encode()


DOCUMENTS = st.lists(st.sampled_from([b"{", b"}", b"a", b"\xff", b"},{", b"{b}"])).map(
    b"".join
)


@given(DOCUMENTS, DOCUMENTS)
def test_delta_turns_any_document_into_any_other(old, new):
    assert apply_delta(old, encode_delta(old, new)) == new


def test_delta_of_one_changed_rule_is_small():
    old, new = document(1), document(2, changed=[700])
    assert len(encode_delta(old, new)) < 300
    assert len(zlib.compress(new)) > 10_000


def test_delta_holds_only_added_and_removed_rules():
    old, new = document(1, 2000), document(2, 1990)
    assert len(encode_delta(old, new)) < 300
    assert len(encode_delta(new, old)) < 600


def test_update_is_a_delta_for_kept_versions_and_complete_for_others():
    history = DocumentHistory()
    for revision in (3, 5, 9):
        history.add(revision, document(revision, changed=[revision]))
    newest = document(9, changed=[9])
    for base, expected in ((0, 0), (4, 0), (3, 3), (5, 5)):
        update = history.news_since(base)
        assert (update.revision, update.base) == (9, expected)
        assert history.read(update) == newest
    assert history.news_since(9) == history.news_since(12) == NO_DOCUMENT_NEWS


def test_old_versions_are_dropped():
    history = DocumentHistory()
    for revision in range(1, 20):
        history.add(revision, document(revision, 10))
    assert len(history._packed) == MAX_KEPT_VERSIONS
    assert history.news_since(1).base == 0


@pytest.mark.parametrize(
    "packed",
    [
        b"",
        b"words",
        zlib.compress(b"words"),
        zlib.compress(b'{"crc": 1}'),
        zlib.compress(b'{"crc": 1, "steps": [7]}'),
        zlib.compress(b'{"crc": 1, "steps": [["a", "b"]]}'),
        zlib.compress(b'{"crc": 1, "steps": ["x"]}'),
        encode_delta(b"{x}{y}{z}", b"{z}{x}"),
    ],
)
def test_update_that_cannot_be_applied_is_an_error(packed):
    """Guards against using rules that no operator wrote."""
    history = DocumentHistory()
    history.add(1, b"{a}{b}")
    with pytest.raises(DocumentFault):
        history.read(DocumentNews(2, 1, packed))


def test_update_of_a_version_that_is_not_held_is_an_error():
    with pytest.raises(DocumentFault, match="revision 7 is not held"):
        DocumentHistory().read(DocumentNews(8, 7, b""))
