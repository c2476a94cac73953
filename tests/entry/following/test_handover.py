"""What a daemon hands over to one that starts, and how fast."""

import json

import pytest

from cairnferry.coordination import Row, TableUpdate
from cairnferry.entry.following._handover import Handover, HandoverPages

RULES = json.dumps([{"name": f"r-{n}", "prefix": f"/{n}/"} for n in range(2000)])
ROWS = tuple(Row(f"i-{n}", b'{"zone": "\xc3\xa9"}', n + 1) for n in range(200))
EVACUATIONS = TableUpdate(True, (Row("evacuate/hall", b"{}", 7),), 9)
HANDOVER = Handover(RULES.encode(), TableUpdate(True, ROWS, 300), EVACUATIONS)


@pytest.mark.parametrize("write", [Handover.write, Handover.pack])
def test_what_is_written_is_read(write):
    assert Handover.read(write(HANDOVER)).ok == HANDOVER


def test_compressed_it_takes_a_small_part():
    """Guards against a start of all at once that fills the links for seconds."""
    assert len(HANDOVER.pack()) < len(HANDOVER.write()) / 5


def test_one_of_an_earlier_release_hands_over_no_evacuations():
    document = json.loads(HANDOVER.write())
    del document["evacuations"], document["evacuations_version"]
    read = Handover.read(json.dumps(document).encode()).ok
    assert read.evacuations.rows == ()


def test_one_that_comes_while_the_link_is_full_is_told_to_ask_again():
    rooms = [True, False]
    pages = HandoverPages(lambda: HANDOVER, lambda size, now: rooms.pop(0))
    first, second = pages.page("/handover?packed"), pages.page("/handover?packed")
    assert Handover.read(first.body).ok == HANDOVER
    assert second.status.startswith("503")


def test_a_daemon_of_an_earlier_release_gets_the_plain_form():
    pages = HandoverPages(lambda: HANDOVER, lambda size, now: True)
    assert pages.page("/handover").body == HANDOVER.write()


def test_without_rules_nothing_is_handed_over():
    empty = Handover(b"", TableUpdate(True, (), 0))
    pages = HandoverPages(lambda: empty, lambda size, now: True)
    assert pages.page("/handover?packed").status.startswith("503")
