"""The owner's bucket of a workspace, by its times and counts alone."""

import random

import pytest

from cairnferry.policy import LimitTolerance, WorkspaceBucket, WorkspaceLimit

TOLERANCE = LimitTolerance(5.0, 0.1, 20.0)
START = 1000.0


def started(rate=10.0, burst=5.0, since=START - 60.0):
    limit = WorkspaceLimit(1, rate, burst)
    return WorkspaceBucket.begin(TOLERANCE, limit, since, START)


def drain(bucket, now=START, rank=0):
    """Take all tokens that are available at once; return their number."""
    count = 0
    while bucket.grant(rank, 1, 0.0, now).delays:
        count += 1
    return count


def most_in_window(times, seconds=TOLERANCE.window_s):
    times = sorted(times)
    return max(sum(at - seconds < t <= at for t in times) for at in times)


def test_new_owner_grants_no_full_burst():
    """The previous owner may have granted a full burst just before."""
    spare = TOLERANCE.spare(WorkspaceLimit(1, 10.0, 200.0))
    assert drain(started(burst=200.0, since=START)) <= spare / 8


def test_tokens_accrue_since_the_daemon_became_the_owner():
    bucket = started(burst=200.0, since=START - 5.0)
    assert drain(bucket) == pytest.approx(50 + TOLERANCE.spare(bucket.limit) / 8, abs=1)


def test_restart_empties_the_bucket():
    """A process that stood still may have had a successor, which granted tokens."""
    bucket = started(burst=200.0)
    bucket.restart(START)
    assert drain(bucket) <= TOLERANCE.spare(bucket.limit) / 8
    bucket.restart(START)
    assert drain(bucket) == 0


def test_token_is_granted_ahead_of_time():
    bucket = started()
    drain(bucket)
    missing_s = (1 - bucket.level) / 10.0
    assert not bucket.grant(0, 1, 0.9 * missing_s, START).delays
    (delay,) = bucket.grant(0, 1, 1.1 * missing_s, START).delays
    assert delay == pytest.approx(missing_s)


def test_moments_given_to_refused_requests_are_apart():
    bucket = started()
    drain(bucket)
    moments = [bucket.grant(0, 1, 0.0, START).retry_s for _ in range(50)]
    gaps = [b - a for a, b in zip(moments, moments[1:], strict=False)]
    assert min(gaps) >= 0.1 - 1e-9


def test_less_urgent_requests_leave_a_part():
    bucket = started(burst=100.0)
    bucket.grant(0, 1, 0.0, START)
    drain(bucket, rank=2)
    assert drain(bucket, rank=0) >= 20


def test_burst_is_not_reserved_for_a_rank_that_is_not_in_use():
    bucket = started(burst=100.0)
    drain(bucket, rank=2)
    assert drain(bucket, rank=2) == 0
    assert bucket.level < 1


def test_lower_limit_holds_at_once_for_the_level():
    bucket = started(rate=100.0, burst=50.0)
    bucket.set_limit(WorkspaceLimit(2, 1.0, 1.0), START)
    assert drain(bucket) <= bucket.capacity


@pytest.mark.parametrize("seed", range(20))
def test_requests_that_run_keep_the_limit(seed):
    """Tokens are granted, returned after a while, and granted again, at random."""
    rng = random.Random(seed)
    rate, burst = rng.choice([(1.0, 1.0), (10.0, 5.0), (40.0, 60.0)])
    bucket = started(rate, burst)
    now = START
    ran, unrun = [], []
    while now < START + 20.0:
        now += rng.expovariate(rate * 6)
        while unrun and unrun[0] <= now:
            unrun.pop(0)
            bucket.take_back(1, now)
        for delay in bucket.grant(rng.choice((0, 2)), 1, 0.3, now).delays:
            if now % 8.0 < 4.0:
                unrun.append(now + delay + 0.7)
            else:
                ran.append(now + delay)
    # The rest of the tolerance belongs to new owners and to daemons without an owner.
    allowed = rate * TOLERANCE.window_s + burst + TOLERANCE.spare(bucket.limit) / 2
    assert most_in_window(ran) <= allowed
