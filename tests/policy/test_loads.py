"""Replays of load patterns against the policy, in simulated time."""

import attrs
import pytest

from bench.model import LOADS, Outcome, play
from cairnferry.policy import settings_for

SEEDS = (1, 2)
ASKING = settings_for("ask-first")


def in_time(load, settings):
    results = [play(LOADS[load], settings, seed) for seed in SEEDS]
    return sum(result.share(Outcome.IN_TIME) for result in results) / len(SEEDS)


def asking(**changes):
    return attrs.evolve(ASKING, seek=attrs.evolve(ASKING.seek, **changes))


@pytest.mark.parametrize("load", LOADS)
def test_asking_serves_more_in_time_than_choosing_by_what_is_known(load):
    """Symptom: a third of the lookups come late on a calm day.

    Cause: neighbours on the targets' machines change their pace several times a
    second, and what an earlier answer said of it is no longer true.
    """
    ours = in_time(load, ASKING)
    assert ours > in_time(load, settings_for("two-choices")) + 0.05
    assert ours > in_time(load, settings_for("random")) + 0.05


@pytest.mark.parametrize("load", ["wave", "burst", "retry storm", "scale-in"])
def test_leaving_a_slot_free_serves_more_in_time_under_pressure(load):
    """Symptom: the more requests come, the fewer are answered in time.

    Cause: full targets slow down; see `calm_share`.
    """
    filled = asking(calm_share=1.0, objective_margin=0.8, less_urgent_share=0.6)
    assert in_time(load, ASKING) > in_time(load, filled) + 0.02


def test_asking_in_rounds_asks_little_while_load_is_low():
    result = play(LOADS["steady"], ASKING, 1)
    assert result.checks / result.callers < 5


def test_a_storm_of_retries_is_not_made_worse():
    """Symptom: a service stays down after a burst, since all repeat at once."""
    result = play(LOADS["retry storm"], ASKING, 1)
    assert result.repeats <= 0.2 * result.attempts
