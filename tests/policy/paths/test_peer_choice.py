"""Tests of the choice of the peer that serves a request in place of a daemon."""

import random
from collections import Counter

import pytest

from cairnferry.policy import Peer, PeerChoice

ZONES = ("hall", "yard", "dock")
SERVICE = "svc"


def peers_of(per_zone, **options):
    return [
        Peer(f"{zone}-{number}", zone, "10.0.0.1:1", **options)
        for zone in ZONES
        for number in range(per_zone)
    ]


def choose_many(choice, peers, count=3000, now=10.0):
    return Counter(choice.choose(SERVICE, peers, set(), now).name for _ in range(count))


def test_near_peers_come_first_and_share_the_load():
    choice = PeerChoice("hall", random.Random(1))
    counts = choose_many(choice, peers_of(6))
    near = [counts[f"hall-{number}"] for number in range(6)]
    assert sum(near) > 0.5 * 3000
    assert max(near) < 2 * min(near)


def test_peers_with_more_spare_capacity_get_more():
    choice = PeerChoice("far", random.Random(1))
    busy = Peer("busy", "hall", "10.0.0.1:1", spare=0.1)
    idle = Peer("idle", "hall", "10.0.0.2:1", spare=0.9)
    counts = choose_many(choice, [busy, idle])
    assert counts["idle"] > 5 * counts["busy"]


def test_peer_that_declined_is_asked_again_later():
    choice = PeerChoice("hall", random.Random(1))
    (peer,) = peers = [Peer("p", "hall", "10.0.0.1:1")]
    choice.note_declined(SERVICE, peer, 10.0)
    assert choice.choose(SERVICE, peers, set(), 10.1) is None
    assert choice.choose("other", peers, set(), 10.1) is peer
    assert choice.ask_again_s(SERVICE, 10.1) == pytest.approx(0.4)
    assert choice.choose(SERVICE, peers, set(), 10.6) is peer


def test_a_peer_is_asked_once_for_a_request():
    choice = PeerChoice("hall", random.Random(1))
    peers = peers_of(1)
    tried = set()
    while (peer := choice.choose(SERVICE, peers, tried, 10.0)) is not None:
        assert peer.name not in tried
        tried.add(peer.name)
    assert len(tried) == 3


def test_zone_whose_peers_declined_is_avoided():
    """Guards against a daemon that asks each peer of a zone that is all cut off."""
    choice = PeerChoice("hall", random.Random(1))
    peers = peers_of(40)
    for peer in peers[:6]:
        choice.note_declined(SERVICE, peer, 10.0)
    counts = choose_many(choice, peers, now=10.1)
    assert sum(counts[f"hall-{n}"] for n in range(40)) < 0.1 * 3000


def test_peer_that_asks_for_no_callers_comes_last():
    choice = PeerChoice("hall", random.Random(1))
    avoided = [Peer("avoided", "hall", "10.0.0.1:1", is_avoided=True)]
    counts = choose_many(choice, [*avoided, *peers_of(2)])
    assert counts["avoided"] < 0.05 * 3000


def test_no_room_at_a_peer_ends_detours_of_requests_without_room_for_a_while():
    """Guards against detours that add load while all targets are full."""
    choice = PeerChoice("hall", random.Random(1))
    assert choice.may_have_room(SERVICE, 10.0)
    choice.note_full(SERVICE, 10.0)
    assert not choice.may_have_room(SERVICE, 10.1)
    assert choice.may_have_room("other", 10.1)
    assert choice.may_have_room(SERVICE, 10.5)


def test_detours_for_room_become_rare_while_there_is_none():
    """Guards against peers that are asked at each refusal in a shortage for all."""
    choice = PeerChoice("hall", random.Random(1))
    asked, now = 0, 10.0
    while now < 40.0:
        if choice.may_have_room(SERVICE, now):
            asked += 1
            choice.note_full(SERVICE, now)
        now += 0.01
    assert asked <= 20
    choice.note_served(SERVICE, now)
    choice.note_full(SERVICE, now)
    assert choice.may_have_room(SERVICE, now + 0.4)


def test_peer_without_a_connection_is_left_out_for_all_services():
    choice = PeerChoice("hall", random.Random(1))
    (peer,) = peers = [Peer("p", "hall", "10.0.0.1:1")]
    choice.note_unconnected(peer, 10.0)
    assert choice.choose(SERVICE, peers, set(), 11.0) is None
    assert choice.choose("other", peers, set(), 11.0) is None
    assert choice.choose(SERVICE, peers, set(), 12.1) is peer


def replay(per_zone, cut, seed, requests=3000, per_s=400.0):
    """Replay the load of daemons of which some are cut off from all targets.

    Returns
    -------
    tuple of (Counter, list of int)
        Requests that each daemon serves, and peers asked for each request that is
        passed on, from the first request after the cut on.
    """
    rng = random.Random(seed)
    names = peers_of(per_zone)
    choices = {peer.name: PeerChoice(peer.zone, rng) for peer in names if peer in cut}
    served, asked = Counter(), []
    for number in range(requests):
        now = 10.0 + number / per_s
        daemon = rng.choice(names)
        if daemon not in cut:
            served[daemon.name] += 1
            continue
        tried = set()
        others = [peer for peer in names if peer is not daemon]
        while True:
            peer = choices[daemon.name].choose(SERVICE, others, tried, now)
            assert peer is not None, f"no peer left after {len(tried)}"
            tried.add(peer.name)
            if peer not in cut:
                break
            choices[daemon.name].note_declined(SERVICE, peer, now)
        served[peer.name] += 1
        asked.append(len(tried))
    return served, asked


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("per_zone", "count"), [(6, 6), (6, 9), (6, 12), (34, 34)])
def test_load_of_daemons_that_are_cut_off_is_spread_over_the_others(
    per_zone, count, seed
):
    """Guards against a peer that gets most of the load of a zone that is cut off."""
    everyone = peers_of(per_zone)
    served, asked = replay(per_zone, everyone[:count], seed)
    left = len(everyone) - count
    assert len(served) == left
    assert max(served.values()) <= 2.5 * 3000 / left
    assert sum(asked) <= 3 * len(asked)
    assert max(asked) <= 8
