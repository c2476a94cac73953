"""Budgets of retries over many instances that are disrupted, in simulated time.

Arrivals are counted at the targets, and requests where callers send them.
"""

import random

import attrs
import pytest

from bench.model import SITES, DisruptedWorld, Load, excess_of_repeats
from bench.model._world import RETRY_RATIO, RETRY_WINDOW_S
from cairnferry.policy import settings_for

LENGTH_S = 26.0
# Instances, and what all of them may send in a window beyond the ratio.
SLACK_OF = {13: 56.0, 18: 64.0, 105: 172.0}
LOADED = Load(rate=0.85, retries=2, at_once=True)


def site_of(instances):
    """Give a service that as many instances carry, with one target for each."""
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
    """Play a world; give by how many its fullest window exceeds the budget."""
    result = world.run()
    return excess_of_repeats(
        result.requests,
        result.further,
        RETRY_RATIO,
        world.site.retry_slack,
        RETRY_WINDOW_S,
    )


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("instances", SLACK_OF)
def test_instances_killed_in_series_spend_no_budget_twice(instances, seed):
    """Guards against a process that starts again with what the last one has spent."""
    world = world_of(instances, seed)
    world.after(9.0, world.shed, 0.5, 8.0)
    for seconds in (11.0, 13.0, 15.0):
        world.after(seconds, world.kill, 0.7, 0.5)
    assert excess(world) <= 0


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("instances", SLACK_OF)
def test_all_killed_at_once_spend_no_budget_twice(instances, seed):
    """Guards against the budget of a whole fleet being there anew after its loss."""
    world = world_of(instances, seed)
    world.after(9.0, world.shed, 0.6, 9.0)
    world.after(12.0, world.kill, 1.0, 0.3)
    assert excess(world) <= 0


@pytest.mark.parametrize("seed", range(12))
def test_disruptions_in_one_window_keep_the_budget(seed):
    """Guards against repeats beyond the budget under disruptions that overlap."""
    rng = random.Random(seed)
    world = world_of(rng.choice([13, 18]), seed)
    world.after(9.0 + rng.random(), world.shed, rng.choice([0.3, 0.5, 0.9]), 7.0)
    world.after(9.0 + 4 * rng.random(), world.lose_answers, 0.2, 4.0)
    for _ in range(6):
        event, share = rng.choice(
            [
                (world.kill, (rng.choice([0.2, 0.7, 1.0]), 0.3 + rng.random())),
                (world.hold, (0.3, 0.5 + 2 * rng.random())),
                (world.add, (0.5,)),
                (world.remove, (0.3,)),
            ]
        )
        world.after(9.0 + 8 * rng.random(), event, *share)
    assert excess(world) <= 0
