"""Limits that targets advertise to this daemon and to other daemons."""

import itertools

import attrs
import pytest

from cairnferry.coordination import Note
from cairnferry.entry.targets import Limiter, LimitFault, limit_note_registry
from cairnferry.entry.targets._limit_notes import (
    LIMIT_NOTE_S,
    limit_note,
    read_limit_note,
)
from cairnferry.entry.telemetry import Metrics
from cairnferry.policy import NO_LIMIT, AdvertisedLimit, TargetLimits


@attrs.define
class Broadcaster:
    notes: list[Note] = attrs.field(factory=list)

    def broadcast(self, note, again):
        self.notes.append(note)


@pytest.fixture
def clock(monkeypatch):
    """Return a clock that stands still until it is set."""

    class Clock:
        now = 100.0

    monkeypatch.setattr("time.monotonic", lambda: Clock.now)
    return Clock


def make_limiter():
    broadcaster = Broadcaster()
    return Limiter(TargetLimits(), Metrics(), broadcaster.broadcast), broadcaster


def test_a_limit_is_broadcast_only_when_it_is_advertised_changed_or_lifted(clock):
    limiter, broadcaster = make_limiter()
    for number, limit in enumerate([2.6, 2.6, 2.6, 4.0, NO_LIMIT, NO_LIMIT]):
        clock.now = 101.0 + number
        limiter.note_check("i-1", limit, clock.now - 0.1)
    sources = [note.source for note in broadcaster.notes]
    assert sources == ["limit 2.6", "limit 4.0", "no limit"]
    assert limiter.metrics.limits == {"named": 1, "changed": 1, "lifted": 1}
    assert not limiter.is_needed.is_set()


def test_malformed_limits_are_counted_and_ignored(clock):
    limiter, broadcaster = make_limiter()
    limiter.note_check("i-1", 2.6, 99.0)
    clock.now = 102.0
    limiter.note_check("i-1", LimitFault("many"), 101.0)
    limiter.note_check("i-1", None, 101.0)
    assert limiter.limits.advertised.rate("i-1") == 2.6
    assert limiter.metrics.limits["faulty"] == 1
    assert len(broadcaster.notes) == 1


def test_a_lower_limit_discards_earlier_permits(clock):
    limiter, _ = make_limiter()
    limiter.note_check("i-1", 100.0, 99.0)
    limiter.limits.add_permits("i-1", [100.0] * 50)
    clock.now = 101.0
    limiter.note_check("i-1", 1.0, 100.5)
    assert limiter.limits.held("i-1") == 0


def test_a_note_conveys_the_limit_and_its_age(clock):
    limit = AdvertisedLimit(2.6, 97.0)
    note = limit_note("i-1", limit, 100.0)
    assert read_limit_note(note.source, 100.0 + note.remaining) == limit
    lifted = limit_note("i-1", AdvertisedLimit(NO_LIMIT, 97.0), 100.0)
    assert read_limit_note(lifted.source, 100.0 + lifted.remaining).per_s == NO_LIMIT


@pytest.mark.parametrize("source", ["limit x", "limit nan", "limit -1", "pace 2", ""])
def test_a_note_in_an_unknown_format_is_ignored(source, clock):
    limiter, _ = make_limiter()
    limiter.receive("i-1", source, 100.0 + LIMIT_NOTE_S)
    assert not limiter.limits


def test_the_order_of_notes_does_not_affect_the_limit(clock):
    limits = [
        AdvertisedLimit(2.6, 90.0),
        AdvertisedLimit(NO_LIMIT, 93.0),
        AdvertisedLimit(0.5, 95.0),
        AdvertisedLimit(8.0, 97.0),
    ]
    rates = set()
    for order in itertools.permutations(limits):
        limiter, _ = make_limiter()
        registry = limit_note_registry(limiter.receive)
        for limit in order:
            registry.post(limit_note("i-1", limit, clock.now), clock.now, 18)
        rates.add(limiter.limits.advertised.rate("i-1"))
    assert rates == {8.0}


def test_limits_of_targets_that_are_gone_are_dropped(clock):
    limiter, _ = make_limiter()
    limiter.note_check("i-1", 2.6, 99.0)
    clock.now = 300.0
    limiter.forget_unlisted(set())
    assert not limiter.limits
    assert not limiter.is_needed.is_set()
    assert limiter.metrics.limits["forgotten"] == 1
