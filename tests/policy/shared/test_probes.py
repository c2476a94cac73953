"""The budget of probes is kept in any partition of the daemons."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from cairnferry.policy import ProbePlan, ProbeShare, probe_share
from cairnferry.records import Lifecycle, Target

NAMES = [f"d{i}" for i in range(18)]
TARGETS = [
    Target(f"t{i}", "s", "z", "10.0.0.1", 80, 4, Lifecycle.ACTIVE, "/h", None)
    for i in range(3)
]


def total_rate(sides):
    """Return the probes per second of one target, summed over sides of a partition."""
    rate = 0.0
    for side in sides:
        for name in side:
            interval = probe_share(NAMES, set(side), name).interval(1.0)
            rate += 1 / interval if interval else 0
    return rate


def test_one_daemon_probes_while_all_see_each_other():
    assert total_rate([NAMES]) == 1


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 4), min_size=18, max_size=18))
def test_a_partition_spends_less_than_twice_the_budget(side_of):
    """Guards against targets that are probed many times as often during a partition.

    Each side of the partition regards its own daemons as the only ones.
    """
    sides = [
        [n for n, s in zip(NAMES, side_of, strict=True) if s == i] for i in range(5)
    ]
    assert total_rate(sides) < 2


def test_isolated_daemons_spend_less_than_twice_the_budget():
    assert total_rate([[name] for name in NAMES]) < 2


def test_probes_are_made_at_their_interval():
    plan = ProbePlan(1.0)
    for target in TARGETS:
        plan.set_share(target.name, ProbeShare(0))
    times = [step * 0.01 for step in range(1000)]
    probes = list(itertools.chain(*[plan.due(TARGETS, now) for now in times]))
    assert len(probes) == 10 * len(TARGETS)


def test_a_daemon_without_a_share_makes_no_probes():
    plan = ProbePlan(1.0)
    plan.set_share("t0", ProbeShare(-1))
    assert plan.due(TARGETS, 0.0) == []
