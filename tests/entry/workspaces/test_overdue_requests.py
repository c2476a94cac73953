"""Requests of a workspace over its limit, some of which are late in any case."""

import pytest

from cairnferry.entry.workspaces._limiter import _rank
from cairnferry.policy import Call, LimitTolerance, WorkspaceBucket, WorkspaceLimit

OBJECTIVE_S = 1.0


def call(arrived, spent, rank=0):
    return Call(
        arrived=arrived,
        deadline=arrived + 8.0,
        idempotent=True,
        objective=arrived + OBJECTIVE_S,
        rank=rank,
        spent=spent,
    )


@pytest.mark.parametrize(
    ("spent", "is_last"), [(0.0, False), (0.5, False), (1.0, True), (3.0, True)]
)
def test_request_is_overdue_from_its_objective_on(spent, is_last):
    """The objective counts from the first attempt, so that some return in time."""
    most_urgent = call(0.0, spent)
    less_urgent = call(0.0, 0.0, rank=9)
    assert (_rank(most_urgent, 0.0) > _rank(less_urgent, 0.0)) == is_last


def test_returning_callers_do_not_take_the_tokens_of_requests_in_time():
    """Guards against answers that are all late while a workspace is over its limit.

    Load: a workspace sends three times its limit for 10 s, and each refused caller
    returns after its objective.
    """
    limit = WorkspaceLimit(1, rate_per_s=10.0, burst=10.0)
    bucket = WorkspaceBucket.begin(LimitTolerance(), limit, since=-60.0, now=0.0)
    served = {False: 0, True: 0}
    returning = []
    for step in range(300):
        now = step / 30
        due = [each for each in returning if each <= now]
        returning = [each for each in returning if each > now]
        for request in [call(now, 0.0), *(call(now, 1.5) for _ in due)]:
            grant = bucket.grant(_rank(request, now), 1, 0.2, now)
            if grant.delays:
                served[request.is_overdue(now)] += 1
            elif not request.spent:
                returning.append(now + 1.5)
    assert served[False] > 9 * served[True]
    assert sum(served.values()) >= 0.95 * 10.0 * 10
