"""Versions of a document: what differs is told, and nothing else becomes of it."""

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
    difference,
    patched,
)
from cairnferry.coordination._documents import MAX_KEPT


def document(revision, count=2000, changed=()):
    rules = [
        {"name": f"r-{n:08x}", "match": {"prefix": f"/{n:x}/"}, "to": n % 7}
        for n in range(count)
    ]
    for place in changed:
        rules[place] = rules[place] | {"to": f"other-{revision}"}
    return json.dumps({"version": f"r{revision}", "rules": rules}).encode()


TEXTS = st.lists(st.sampled_from([b"{", b"}", b"a", b"\xff", b"},{", b"{b}"])).map(
    b"".join
)


@given(TEXTS, TEXTS)
def test_any_document_comes_out_of_any_other(old, new):
    assert patched(old, difference(old, new)) == new


def test_a_change_of_one_rule_costs_little_whatever_the_size():
    old, new = document(1), document(2, changed=[700])
    assert len(difference(old, new)) < 300
    assert len(zlib.compress(new)) > 10_000


def test_added_and_removed_rules_are_told_alone():
    old, new = document(1, 2000), document(2, 1990)
    assert len(difference(old, new)) < 300
    assert len(difference(new, old)) < 600


def test_one_that_holds_a_version_gets_the_difference_and_others_the_whole():
    history = DocumentHistory()
    for revision in (3, 5, 9):
        history.add(revision, document(revision, changed=[revision]))
    newest = document(9, changed=[9])
    for base, expected in ((0, 0), (4, 0), (3, 3), (5, 5)):
        news = history.news_since(base)
        assert (news.revision, news.base) == (9, expected)
        assert history.read(news) == newest
    assert history.news_since(9) == history.news_since(12) == NO_DOCUMENT_NEWS


def test_old_versions_are_dropped():
    history = DocumentHistory()
    for revision in range(1, 20):
        history.add(revision, document(revision, 10))
    assert len(history._packed) == MAX_KEPT
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
        difference(b"{x}{y}{z}", b"{z}{x}"),
    ],
)
def test_news_that_cannot_be_applied_are_a_fault(packed):
    """Guards against rules that no operator wrote."""
    history = DocumentHistory()
    history.add(1, b"{a}{b}")
    with pytest.raises(DocumentFault):
        history.read(DocumentNews(2, 1, packed))


def test_news_on_a_version_that_is_not_held_are_a_fault():
    with pytest.raises(DocumentFault, match="revision 7 is not held"):
        DocumentHistory().read(DocumentNews(8, 7, b""))
