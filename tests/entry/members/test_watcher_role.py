"""Watchers of the store: few per zone, at least one soon, and without a lease."""

import math
import time

import pytest

from cairnferry.coordination import MemberState
from cairnferry.entry.members import _watcher_role
from cairnferry.entry.members._watcher_role import STORE_UNREACHABLE, WatcherRole

from ._clusters import cluster, member

NAMES = [f"e{index}" for index in range(60)]
FAR = [member("y1", "yard"), member("s1", "shed")]


@pytest.fixture
def zone():
    """Return the role of each member of a large zone; all members see each other."""
    return make_zone(NAMES, FAR)


def make_zone(names, far=()):
    roles = {}
    for name in names:
        others = [member(other) for other in names if other != name]
        role = WatcherRole(cluster(name, *others, *far))
        role.is_ready = True
        role.joined_at = time.monotonic() - 1000
        role.cluster.confirmation.confirm(time.monotonic())
        roles[name] = role
    return roles


def watching(roles, now=None):
    now = time.monotonic() if now is None else now
    return [name for name, role in roles.items() if role.is_active_at(now)]


def apply_to_all(roles, change):
    for role in roles.values():
        change(role)


def test_one_of_sixty_watches_if_other_zones_have_watchers(zone):
    assert len(watching(zone)) == 1


@pytest.mark.parametrize(("far", "count"), [((), 3), (FAR[:1], 2), (FAR, 1)])
def test_fewer_zones_have_more_watchers_each(far, count):
    assert len(watching(make_zone(NAMES, far))) == count


def test_another_daemon_watches_once_the_first_is_suspected(zone):
    """Guards against a zone without updates while its watcher is frozen."""
    (first,) = watching(zone)
    apply_to_all(zone, lambda role: role.cluster.membership.suspect(first, 1.0))
    del zone[first]
    (second,) = watching(zone)
    assert second != first


def test_a_leaving_daemon_does_not_watch(zone):
    (first,) = watching(zone)
    leaving = member(first, state=MemberState.LEAVING)
    apply_to_all(zone, lambda role: role.cluster.membership.merge(leaving, 1.0))
    zone[first].cluster.membership.leave()
    assert first not in watching(zone)
    assert len(watching(zone)) == 1


def test_a_daemon_refused_by_the_store_leaves_watching_to_others(zone):
    """Guards against late updates in a zone while the store refuses one instance.

    The refused instance is the watcher, and it alone continues to call the store.
    """
    (first,) = watching(zone)
    assert zone[first].report_store_failure()
    (note,) = zone[first].cluster.notes.active_notes(time.monotonic())
    apply_to_all(zone, lambda role: role.cluster.post(note))
    (second,) = watching(zone)
    assert second != first
    later = time.monotonic() + _watcher_role.STORE_FAILURE_S + 1
    apply_to_all(zone, lambda role: role.cluster.confirmation.confirm(later))
    assert watching(zone, later) == [first]


def test_few_daemons_call_an_unreachable_store(zone):
    """Guards against hundreds of daemons that call the store at the end of an outage.

    The store answers no daemon. One after the other detects and reports that, and no
    rules are confirmed for a minute.
    """
    for _ in range(len(NAMES)):
        for name in watching(zone):
            zone[name].report_store_failure()
            notes = zone[name].cluster.notes.active_notes(time.monotonic())
            for note in notes:
                apply_to_all(zone, lambda role, note=note: role.cluster.post(note))
    callers = {
        name
        for name in NAMES
        if zone[name].cluster.notes.is_in_effect(
            name, STORE_UNREACHABLE, time.monotonic()
        )
    }
    assert len(callers) <= _watcher_role.CANDIDATES
    in_a_minute = time.monotonic() + 60
    assert 1 <= len(watching(zone, in_a_minute)) <= _watcher_role.CANDIDATES


def test_more_daemons_watch_while_nothing_is_confirmed(zone):
    """Guards against a zone that stays behind because its watcher gets no answers.

    The watcher's connection to the store becomes silent, while the other daemons still
    consider the watcher alive.
    """
    later = time.monotonic() + _watcher_role.UNCONFIRMED_S + 0.5
    assert len(watching(zone, later)) == 2
    assert len(watching(zone, later + 2 * _watcher_role.ESCALATION_S)) == 4


def test_each_side_of_a_partition_has_watchers(zone):
    sides = NAMES[:20], NAMES[20:]
    for side, others in (sides, sides[::-1]):
        for name in side:
            for gone in others:
                zone[name].cluster.membership.suspect(gone, 1.0)
        assert len(watching({name: zone[name] for name in side})) == 1


def test_a_daemon_that_is_alone_watches():
    assert watching(make_zone(["e1"])) == ["e1"]


def test_a_daemon_that_has_just_joined_does_not_watch():
    """Guards against 312 daemons that each list all tables of the store at the start.

    None of them has received a heartbeat yet, so that each considers itself alone.
    """
    roles = make_zone(["e1"])
    role = roles["e1"]
    role.joined_at = now = time.monotonic()
    assert not role.is_active_at(now)
    assert role.is_active_at(now + _watcher_role.SETTLE_S)


def test_a_daemon_without_a_member_list_does_not_watch():
    roles = make_zone(["e1"])
    roles["e1"].is_ready = False
    assert watching(roles) == []


def test_a_first_daemon_watches_until_others_have_settled():
    """Guards against updates that are seconds late after a restart of all daemons.

    The daemons through which all others join start first and watch. They leave
    watching to daemons of a higher rank, which have just joined and do not watch yet.
    """
    roles = make_zone(NAMES[:5])
    last = next(name for name in NAMES[:5] if name not in watching(roles))
    roles[last].joined_at = -math.inf
    assert last in watching(roles)
    settled = (
        time.monotonic() + _watcher_role.FIRST_SETTLE_FACTOR * _watcher_role.SETTLE_S
    )
    assert last not in watching(roles, settled)
