"""Instances that have lost their paths to the targets, as callers see them."""

import gevent
import pytest

from cairnferry.wire import Reply


def served(replies):
    return sum(isinstance(each, Reply) and each.status == 200 for each in replies)


def call_often(daemon, count=20, **options):
    """Send requests one after the other; return how they ended."""
    replies = []
    for number in range(count):
        gevent.sleep(0.02)
        replies.append(daemon.call(request_id=f"{daemon.cfg.name}-{number}", **options))
    return replies


@pytest.mark.parametrize("how", ["silent", "refusing"])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_callers_of_an_instance_without_paths_to_targets_are_served(
    daemons, cut, request, how, method
):
    """Guards against requests given up at an instance that is cut off from targets."""
    cut_off = daemons[0]
    cut(cut_off, request.getfixturevalue(f"{how}_address"))
    # The state is known after the first requests.
    options = {"path": "/o/x", "method": "POST", "body": b"order"}
    if method == "GET":
        options = {}
    call_often(cut_off, 3, deadline_ms=1_000, **options)
    replies = call_often(cut_off, deadline_ms=1_000, **options)
    others = call_often(daemons[1], deadline_ms=1_000, **options)
    assert served(others) == 20
    assert served(replies) >= 0.9 * served(others)
