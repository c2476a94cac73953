"""What daemons make of limits that targets name here and elsewhere."""

import itertools

import attrs
import pytest

from cairnferry.coordination import Note
from cairnferry.entry.targets import Limiter, LimitFault, limit_board
from cairnferry.entry.targets._limit_notes import LIMIT_NOTE_S, note_of, read_note
from cairnferry.entry.telemetry import Metrics
from cairnferry.policy import NO_LIMIT, AdvertisedLimit, TargetLimits


@attrs.define
class Teller:
    notes: list[Note] = attrs.field(factory=list)

    def tell(self, note, again):
        self.notes.append(note)


@pytest.fixture
def clock(monkeypatch):
    """Give a clock that stands until it is set."""

    class Clock:
        now = 100.0

    monkeypatch.setattr("time.monotonic", lambda: Clock.now)
    return Clock


def make():
    teller = Teller()
    return Limiter(TargetLimits(), Metrics(), teller.tell), teller


def test_a_limit_is_told_when_it_is_named_changed_and_lifted_and_not_else(clock):
    limiter, teller = make()
    for number, word in enumerate([2.6, 2.6, 2.6, 4.0, NO_LIMIT, NO_LIMIT]):
        clock.now = 101.0 + number
        limiter.note_check("i-1", word, clock.now - 0.1)
    sources = [note.source for note in teller.notes]
    assert sources == ["limit 2.6", "limit 4.0", "no limit"]
    assert limiter.metrics.limits == {"named": 1, "changed": 1, "lifted": 1}
    assert not limiter.is_needed.is_set()


def test_what_cannot_be_read_is_counted_and_changes_nothing(clock):
    limiter, teller = make()
    limiter.note_check("i-1", 2.6, 99.0)
    clock.now = 102.0
    limiter.note_check("i-1", LimitFault("many"), 101.0)
    limiter.note_check("i-1", None, 101.0)
    assert limiter.limits.advertised.rate("i-1") == 2.6
    assert limiter.metrics.limits["faulty"] == 1
    assert len(teller.notes) == 1


def test_permits_of_a_higher_limit_are_void(clock):
    limiter, _ = make()
    limiter.note_check("i-1", 100.0, 99.0)
    limiter.limits.add_permits("i-1", [100.0] * 50)
    clock.now = 101.0
    limiter.note_check("i-1", 1.0, 100.5)
    assert limiter.limits.held("i-1") == 0


def test_a_note_brings_the_limit_and_its_age(clock):
    limit = AdvertisedLimit(2.6, 97.0)
    note = note_of("i-1", limit, 100.0)
    assert read_note(note.source, 100.0 + note.remaining) == limit
    lifted = note_of("i-1", AdvertisedLimit(NO_LIMIT, 97.0), 100.0)
    assert read_note(lifted.source, 100.0 + lifted.remaining).per_s == NO_LIMIT


@pytest.mark.parametrize("source", ["limit x", "limit nan", "limit -1", "pace 2", ""])
def test_a_note_of_another_release_changes_nothing(source, clock):
    limiter, _ = make()
    limiter.receive("i-1", source, 100.0 + LIMIT_NOTE_S)
    assert not limiter.limits


def test_daemons_that_hear_the_same_in_any_order_come_to_the_same_end(clock):
    words = [
        AdvertisedLimit(2.6, 90.0),
        AdvertisedLimit(NO_LIMIT, 93.0),
        AdvertisedLimit(0.5, 95.0),
        AdvertisedLimit(8.0, 97.0),
    ]
    ends = set()
    for order in itertools.permutations(words):
        limiter, _ = make()
        board = limit_board(limiter.receive)
        for word in order:
            board.post(note_of("i-1", word, clock.now), clock.now, 18)
        ends.add(limiter.limits.advertised.rate("i-1"))
    assert ends == {8.0}


def test_targets_that_are_gone_take_their_limits_with_them(clock):
    limiter, _ = make()
    limiter.note_check("i-1", 2.6, 99.0)
    clock.now = 300.0
    limiter.forget_unlisted(set())
    assert not limiter.limits
    assert not limiter.is_needed.is_set()
    assert limiter.metrics.limits["forgotten"] == 1
