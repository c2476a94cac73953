"""Requests that daemons admit while they reach no owner."""

import random

import pytest

from cairnferry.policy import FallbackBucket, LimitTolerance, WorkspaceLimit

TOLERANCE = LimitTolerance(5.0, 0.1, 20.0)


@pytest.mark.parametrize("count", [1, 3, 13, 120, 1000])
@pytest.mark.parametrize(("rate", "burst"), [(0.5, 1.0), (8.0, 16.0), (200.0, 100.0)])
def test_all_daemons_together_use_a_part_of_the_tolerance(count, rate, burst):
    """All daemons are cut off at the same moment, after a long calm."""
    limit = WorkspaceLimit(1, rate, burst)
    rng = random.Random(count)
    buckets = [FallbackBucket(TOLERANCE) for _ in range(count)]
    ran = []
    for step in range(400):
        now = 5000.0 + step * 0.1
        for number, bucket in enumerate(buckets):
            if rng.random() < 0.7 and bucket.admit(
                limit, count, number / count, now, now
            ):
                ran.append(now)
    most = max(sum(at - 5.0 < t <= at for t in ran) for at in set(ran))
    # One request more: the positions are spread evenly, their turns begin apart.
    assert most <= 3 / 8 * TOLERANCE.spare(limit) + 1
    assert ran


def test_daemon_uses_its_turn_once():
    bucket = FallbackBucket(TOLERANCE)
    limit = WorkspaceLimit(1, 8.0, 16.0)
    times = [1000.0 + step * 0.01 for step in range(20_000)]
    admitted = [at for at in times if bucket.admit(limit, 120, 0.3, at, at)]
    gaps = [b - a for a, b in zip(admitted, admitted[1:], strict=False)]
    assert len(admitted) >= 3
    assert min(gaps) > 40.0
