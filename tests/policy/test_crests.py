"""Replays of crests and bursts at targets with few slots and uneven zones."""

import attrs
import pytest

from bench.model import CREST_SITES, LOADS, SITES, Load, Outcome, play, play_crest
from cairnferry.policy import settings_for

SEEDS = (1, 2, 3)
# One wave, which has one crest. A third of the targets and daemons carries a third of
# the requests, so that each daemon decides as in the whole deployment.
LENGTH_S = 15.0
SIZE = 1 / 3
DEFAULTS = settings_for("ask-first")


def with_checks(spill_round=True, search_before_refusal=True):
    """Return settings with both switches on, which are off by default."""
    checks = attrs.evolve(
        DEFAULTS.status_checks,
        spill_round=spill_round,
        search_before_refusal=search_before_refusal,
    )
    return attrs.evolve(DEFAULTS, status_checks=checks)


SETTINGS = with_checks()


def replay(name, demand, settings):
    """Play a deployment at a multiple of its demand with all seeds."""
    deployment = CREST_SITES[name].scaled(demand, SIZE)
    return [play_crest(deployment, settings, seed, LENGTH_S) for seed in SEEDS]


def in_time_at(phase, results):
    shares = [result.by_phase[phase].share(Outcome.IN_TIME) for result in results]
    return sum(shares) / len(shares)


def in_time_of_zone(zone, results):
    shares = [result.by_zone[zone].share(Outcome.IN_TIME) for result in results]
    return sum(shares) / len(shares)


def test_zone_with_most_callers_uses_idle_targets_of_other_zones():
    """Guards against refusals and queues in one zone while others have free slots.

    The zone z0 has 0.38 of the callers and 0.31 of the targets. Its daemons checked
    only targets of their own zone, as these are more than all rounds check.
    """
    before = replay("reads", 1.5, with_checks(spill_round=False))
    now = replay("reads", 1.5, SETTINGS)
    assert in_time_of_zone("z0", now) > in_time_of_zone("z0", before) + 0.05
    assert in_time_at("crest", now) > in_time_at("crest", before) + 0.03
    for zone in ("z1", "z2"):
        assert in_time_of_zone(zone, now) > in_time_of_zone(zone, before) - 0.04


def test_callers_that_move_to_a_zone_with_few_targets_are_served_in_time():
    """Guards against a zone that queues after callers of another one have moved to it.

    The zone z0 has 0.54 of the callers then, and 0.31 of the targets.
    """
    before = replay("reads moved", 1.0, with_checks(spill_round=False))
    now = replay("reads moved", 1.0, SETTINGS)
    assert in_time_at("crest", before) < 0.92
    assert in_time_at("crest", now) > 0.94


def share(outcome, results):
    return sum(result.share(outcome) for result in results) / len(results)


def test_fewer_requests_are_refused_while_targets_have_free_slots():
    """Guards against refusals although a checked target could start the request.

    Of a slow target with a free slot and a fast one with a long queue, the fast one was
    chosen, and the request was then refused for its queue.
    """
    before, now = (
        [
            play(LOADS["burst"], settings, seed, site=SITES["two slots"])
            for seed in range(1, 9)
        ]
        for settings in (with_checks(search_before_refusal=False), SETTINGS)
    )
    assert share(Outcome.REFUSED, now) < share(Outcome.REFUSED, before) - 0.01
    assert share(Outcome.IN_TIME, now) > share(Outcome.IN_TIME, before) - 0.01


@pytest.mark.parametrize("load", ["steady", "wave", "burst"])
@pytest.mark.parametrize("site", SITES)
def test_zones_with_few_targets_are_served_as_without_the_spill_round(site, load):
    """Guards against a change of deployments that need none."""
    before = play(LOADS[load], with_checks(spill_round=False), 1, 6.0, SITES[site])
    assert play(LOADS[load], SETTINGS, 1, 6.0, SITES[site]).times == before.times


@pytest.mark.parametrize("site", SITES)
def test_search_before_refusal_changes_nothing_without_a_shortage(site):
    """Guards against a change of deployments that refuse no request."""
    calm = Load(rate=0.2, swing=0.0)
    old = with_checks(search_before_refusal=False)
    before = play(calm, old, 1, 6.0, SITES[site])
    assert not before.outcomes[Outcome.REFUSED]
    assert play(calm, SETTINGS, 1, 6.0, SITES[site]).times == before.times


def test_zones_are_not_left_at_usual_demand():
    """Guards against traffic between zones without a shortage."""
    for name in ("reads", "lookups"):
        for result in replay(name, 0.5, SETTINGS):
            assert result.far_attempts <= 0.01 * result.attempts


def test_full_targets_that_hang_are_sent_no_request():
    """Guards against requests that a target with a full queue never answers."""
    assert sum(result.hung for result in replay("reads", 1.5, SETTINGS)) == 0
