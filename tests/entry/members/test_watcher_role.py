"""Who of a zone watches the store: few, never none for long, and no lease."""

import math
import time

import pytest

from cairnferry.coordination import MemberState
from cairnferry.entry.members import _watcher_role
from cairnferry.entry.members._watcher_role import NO_STORE, WatcherRole

from ._clusters import cluster, member

NAMES = [f"e{index}" for index in range(60)]
FAR = [member("y1", "yard"), member("s1", "shed")]


@pytest.fixture
def zone():
    """Give the duty of each member of a large zone, all of whom see all."""
    return make_zone(NAMES, FAR)


def make_zone(names, far=()):
    duties = {}
    for name in names:
        others = [member(other) for other in names if other != name]
        duty = WatcherRole(cluster(name, *others, *far))
        duty.is_ready = True
        duty.joined_at = time.monotonic() - 1000
        duty.cluster.confirmation.confirm(time.monotonic())
        duties[name] = duty
    return duties


def watching(duties, now=None):
    now = time.monotonic() if now is None else now
    return [name for name, duty in duties.items() if duty.is_active_at(now)]


def tell(duties, fact):
    for duty in duties.values():
        fact(duty)


def test_one_of_sixty_watches_where_other_zones_have_watchers(zone):
    assert len(watching(zone)) == 1


@pytest.mark.parametrize(("far", "count"), [((), 3), (FAR[:1], 2), (FAR, 1)])
def test_the_fewer_zones_the_more_of_each_watch(far, count):
    assert len(watching(make_zone(NAMES, far))) == count


def test_another_one_watches_once_the_first_is_suspected(zone):
    """Symptom: a zone hears of no change for as long as its watcher is frozen."""
    (first,) = watching(zone)
    tell(zone, lambda duty: duty.cluster.membership.suspect(first, 1.0))
    del zone[first]
    (second,) = watching(zone)
    assert second != first


def test_one_that_leaves_watches_no_more(zone):
    (first,) = watching(zone)
    leaving = member(first, state=MemberState.LEAVING)
    tell(zone, lambda duty: duty.cluster.membership.merge(leaving, 1.0))
    zone[first].cluster.membership.leave()
    assert first not in watching(zone)
    assert len(watching(zone)) == 1


def test_one_that_the_store_refuses_leaves_it_to_others(zone):
    """Symptom: a zone hears of changes late while the store refuses one instance.

    Cause: the one refused is the one that watches, and it goes on trying alone.
    """
    (first,) = watching(zone)
    assert zone[first].report_store_failure()
    (note,) = zone[first].cluster.notes.active_notes(time.monotonic())
    tell(zone, lambda duty: duty.cluster.post(note))
    (second,) = watching(zone)
    assert second != first
    later = time.monotonic() + _watcher_role.REFUSED_S + 1
    tell(zone, lambda duty: duty.cluster.confirmation.confirm(later))
    assert watching(zone, later) == [first]


def test_a_store_that_is_away_is_asked_by_few_however_many_there_are(zone):
    """Symptom: at the end of an outage hundreds of daemons call the store at once.

    Events: the store answers nobody; one after the other finds that and tells it; no
    rules are confirmed for a minute.
    """
    for _ in range(len(NAMES)):
        for name in watching(zone):
            zone[name].report_store_failure()
            notes = zone[name].cluster.notes.active_notes(time.monotonic())
            for note in notes:
                tell(zone, lambda duty, note=note: duty.cluster.post(note))
    asking = {
        name
        for name in NAMES
        if zone[name].cluster.notes.is_in_effect(name, NO_STORE, time.monotonic())
    }
    assert len(asking) <= _watcher_role.CANDIDATES
    in_a_minute = time.monotonic() + 60
    assert 1 <= len(watching(zone, in_a_minute)) <= _watcher_role.CANDIDATES


def test_more_watch_while_nothing_is_confirmed(zone):
    """Symptom: a zone stays behind whose watcher hears nothing and does not know it.

    Events: the watcher's connection to the store falls silent; it lives for the others.
    """
    later = time.monotonic() + _watcher_role.LATE_S + 0.5
    assert len(watching(zone, later)) == 2
    assert len(watching(zone, later + 2 * _watcher_role.LATER_S)) == 4


def test_each_side_of_a_partition_has_watchers(zone):
    sides = NAMES[:20], NAMES[20:]
    for side, others in (sides, sides[::-1]):
        for name in side:
            for gone in others:
                zone[name].cluster.membership.suspect(gone, 1.0)
        assert len(watching({name: zone[name] for name in side})) == 1


def test_one_that_is_alone_watches_for_itself():
    assert watching(make_zone(["e1"])) == ["e1"]


def test_one_that_was_told_of_others_leaves_it_to_them_until_it_has_met_them():
    """Symptom: 312 daemons that start list all tables of the store, each for itself.

    Cause: none has heard another one yet, so that each takes itself for alone.
    """
    duties = make_zone(["e1"])
    duty = duties["e1"]
    duty.joined_at = now = time.monotonic()
    assert not duty.is_active_at(now)
    assert duty.is_active_at(now + _watcher_role.SETTLE_S)


def test_one_that_knows_nobody_yet_does_not_watch():
    duties = make_zone(["e1"])
    duties["e1"].is_ready = False
    assert watching(duties) == []


def test_one_that_asked_the_store_itself_watches_until_others_can():
    """Symptom: after a restart of all, changes are heard of only seconds later.

    Events: those that all others ask start first and watch; they hear of others that
    rank before them and leave it to these, which have just been told of others.
    """
    duties = make_zone(NAMES[:5])
    last = next(name for name in NAMES[:5] if name not in watching(duties))
    duties[last].joined_at = -math.inf
    assert last in watching(duties)
    settled = time.monotonic() + _watcher_role.STAY * _watcher_role.SETTLE_S
    assert last not in watching(duties, settled)
