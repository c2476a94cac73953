"""Handover of records to a daemon that starts, and its rate limit."""

import json

import pytest

from cairnferry.coordination import Row, TableUpdate
from cairnferry.entry.following._handover import Handover, HandoverPages

RULES = json.dumps([{"name": f"r-{n}", "prefix": f"/{n}/"} for n in range(2000)])
ROWS = tuple(Row(f"i-{n}", b'{"zone": "\xc3\xa9"}', n + 1) for n in range(200))
EVACUATIONS = TableUpdate(True, (Row("evacuate/hall", b"{}", 7),), 9)
HANDOVER = Handover(RULES.encode(), TableUpdate(True, ROWS, 300), EVACUATIONS)


@pytest.mark.parametrize("write", [Handover.write, Handover.compress])
def test_an_encoded_handover_is_decoded(write):
    assert Handover.read(write(HANDOVER)).ok == HANDOVER


def test_a_compressed_handover_is_small():
    """Guards against links that are full for seconds when all daemons start."""
    assert len(HANDOVER.compress()) < len(HANDOVER.write()) / 5


def test_a_handover_of_an_earlier_release_has_no_evacuations():
    document = json.loads(HANDOVER.write())
    del document["evacuations"], document["evacuations_version"]
    read = Handover.read(json.dumps(document).encode()).ok
    assert read.evacuations.rows == ()


def test_a_request_above_the_rate_limit_is_rejected():
    admitted = [True, False]
    pages = HandoverPages(lambda: HANDOVER, lambda size, now: admitted.pop(0))
    first, second = pages.page("/handover?packed"), pages.page("/handover?packed")
    assert Handover.read(first.body).ok == HANDOVER
    assert second.status.startswith("503")


def test_a_daemon_of_an_earlier_release_gets_the_uncompressed_form():
    pages = HandoverPages(lambda: HANDOVER, lambda size, now: True)
    assert pages.page("/handover").body == HANDOVER.write()


def test_without_rules_a_request_is_rejected():
    empty = Handover(b"", TableUpdate(True, (), 0))
    pages = HandoverPages(lambda: empty, lambda size, now: True)
    assert pages.page("/handover?packed").status.startswith("503")
