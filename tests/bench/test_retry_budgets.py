"""Retry budgets of many instances under disruptions, in simulated time.

Arrivals are counted at the targets, requests at the callers.
"""

import random

import attrs
import pytest

from bench.model import SITES, DisruptedWorld, Load, excess_retries
from bench.model._world import RETRY_RATIO, RETRY_WINDOW_S
from cairnferry.policy import settings_for

LENGTH_S = 26.0
# Retries that all instances may send in a window beyond the ratio, by their number.
SLACK_OF = {13: 56.0, 18: 64.0, 105: 172.0}
LOADED = Load(rate=0.85, retries=2, retry_at_once=True)


def site_of(instances):
    """Return a site with a number of instances and one target for each."""
    return attrs.evolve(
        SITES["two slots"],
        instances=instances,
        targets=instances,
        rate=6.0 * instances if instances < 100 else 1.8 * instances,
        retry_slack=SLACK_OF[instances],
    )


def world_of(instances, seed, load=LOADED):
    settings = settings_for("ask-first")
    return DisruptedWorld(load, settings, seed, LENGTH_S, site_of(instances))


def excess(world):
    """Run a world; return by how many retries its worst window exceeds the budget."""
    result = world.run()
    return excess_retries(
        result.requests,
        result.extra_arrivals,
        RETRY_RATIO,
        world.site.retry_slack,
        RETRY_WINDOW_S,
    )


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("instances", SLACK_OF)
def test_repeated_kills_do_not_renew_the_retry_budget(instances, seed):
    """Guards against a restarted process that spends its predecessor's budget again."""
    world = world_of(instances, seed)
    world.after(9.0, world.shed_requests, 0.5, 8.0)
    for seconds in (11.0, 13.0, 15.0):
        world.after(seconds, world.kill, 0.7, 0.5)
    assert excess(world) <= 0


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("instances", SLACK_OF)
def test_a_kill_of_all_instances_does_not_renew_the_retry_budget(instances, seed):
    """Guards against a full budget of all instances after their restart."""
    world = world_of(instances, seed)
    world.after(9.0, world.shed_requests, 0.6, 9.0)
    world.after(12.0, world.kill, 1.0, 0.3)
    assert excess(world) <= 0


@pytest.mark.parametrize("seed", range(12))
def test_the_retry_budget_is_kept_under_overlapping_disruptions(seed):
    """Guards against retries beyond the budget under overlapping disruptions."""
    rng = random.Random(seed)
    world = world_of(rng.choice([13, 18]), seed)
    world.after(
        9.0 + rng.random(), world.shed_requests, rng.choice([0.3, 0.5, 0.9]), 7.0
    )
    world.after(9.0 + 4 * rng.random(), world.lose_responses, 0.2, 4.0)
    for _ in range(6):
        event, share = rng.choice(
            [
                (world.kill, (rng.choice([0.2, 0.7, 1.0]), 0.3 + rng.random())),
                (world.pause, (0.3, 0.5 + 2 * rng.random())),
                (world.add_instances, (0.5,)),
                (world.remove_instances, (0.3,)),
            ]
        )
        world.after(9.0 + 8 * rng.random(), event, *share)
    assert excess(world) <= 0
