"""Several daemon processes that keep the limit of a workspace together."""

import signal
import time

import gevent
import pytest

from cairnferry.coordination import lowest_ranked
from cairnferry.standins import wait_for

from ._limited import LimitedTarget, max_per_window
from ._processes import ALIVE_METRIC, running_fleet
from ._workspaces import WINDOW_S, WorkspaceCallers, bound, call_as, rules_with, tenant

DAEMONS = ("hall", "hall", "hall", "yard", "yard")
NAMES = [f"front-{number}" for number in range(len(DAEMONS))]
RATE, BURST = 16.0, 8.0
# Requests per second that callers send.
DEMAND = 80.0


@pytest.fixture
def targets(store):
    targets = [LimitedTarget(store, f"i-{number}") for number in range(4)]
    yield targets
    for target in targets:
        target.stop()


@pytest.fixture
def fleet(store, targets, tmp_path):
    tenants = [tenant("red", RATE, BURST), tenant("free", 0, 0)]
    anonymous = rules_with(tenants)
    for each in anonymous["listeners"][0]["rules"]:
        each["anonymous"] = True
    store.put("op", "config", anonymous)
    with running_fleet(store.port, DAEMONS, tmp_path) as started:
        # Daemons that have just started count listed instances as live.
        gevent.sleep(6.0)
        yield started


def arrivals(targets, since):
    return sorted(at for target in targets for at in target.arrivals_since(since))


def owner_of(workspace):
    """Return the number of the daemon that owns a workspace."""
    zone = lowest_ranked(workspace, set(DAEMONS), 1)[0]
    names = [name for name, each in zip(NAMES, DAEMONS, strict=True) if each == zone]
    return NAMES.index(lowest_ranked(workspace, names, 1)[0])


def test_limit_is_kept_over_all_daemons(fleet, targets):
    """Each daemon alone would accept five times the limit, all together much more."""
    since = time.monotonic()
    callers = WorkspaceCallers(fleet, "red", DEMAND)
    gevent.sleep(2 * WINDOW_S)
    callers.stop()
    ran = arrivals(targets, since)
    assert max_per_window(ran, WINDOW_S) <= bound(RATE, BURST)
    assert len(ran) >= 0.9 * RATE * 2 * WINDOW_S
    statuses = callers.statuses()
    assert statuses[429] > statuses[200]
    assert set(statuses) == {200, 429}
    name = 'cairnferry_workspace_requests_total{workspace="red",outcome="over-limit"}'
    assert sum(each.metric(name) for each in fleet) == statuses[429]
    refused = [retry for _, status, retry, _ in callers.answers if status == 429]
    assert all(float(retry) > 0 for retry in refused)
    lines = [line for each in fleet for line in each.logged("request given up")]
    assert lines[0]["cause"] == "workspace-limit"
    assert lines[0]["workspace"] == "red"
    assert lines[0]["owner"] == NAMES[owner_of("red")]


def test_owner_killed_under_load(fleet, targets):
    """Another daemon grants tokens soon, and no full burst on top."""
    owner = owner_of("red")
    others = [each for number, each in enumerate(fleet) if number != owner]
    since = time.monotonic()
    callers = WorkspaceCallers(others, "red", DEMAND)
    gevent.sleep(WINDOW_S)
    fleet[owner].kill()
    killed_at = time.monotonic()
    gevent.sleep(2 * WINDOW_S)
    callers.stop()
    assert max_per_window(arrivals(targets, since), WINDOW_S) <= bound(RATE, BURST)
    # The part of the killed daemon is unused while it is still listed.
    ran = arrivals(targets, killed_at + WINDOW_S)
    assert len(ran) >= 0.9 * 0.8 * RATE * WINDOW_S


def test_owner_frozen_and_resumed(fleet, targets):
    """The owner wakes with a bucket that was filled while its successor granted."""
    owner = owner_of("red")
    others = [each for number, each in enumerate(fleet) if number != owner]
    since = time.monotonic()
    callers = WorkspaceCallers(others, "red", DEMAND)
    gevent.sleep(WINDOW_S)
    fleet[owner].process.send_signal(signal.SIGSTOP)
    gevent.sleep(3.0)
    fleet[owner].process.send_signal(signal.SIGCONT)
    gevent.sleep(2 * WINDOW_S)
    callers.stop()
    assert max_per_window(arrivals(targets, since), WINDOW_S) <= bound(RATE, BURST)
    assert callers.statuses(since + 3.0 + 2 * WINDOW_S)[200] >= 0.8 * RATE * WINDOW_S


def test_cut_off_daemon_refuses_at_once_what_it_cannot_verify(fleet, targets):
    """All other daemons are frozen, so that calls to them get no answer."""
    cut_off = fleet[(owner_of("red") + 1) % len(fleet)]
    others = [each for each in fleet if each is not cut_off]
    for each in others:
        each.process.send_signal(signal.SIGSTOP)
    since = time.monotonic()
    callers = WorkspaceCallers([cut_off], "red", 10.0)
    try:
        gevent.sleep(4 * WINDOW_S)
    finally:
        for each in others:
            each.process.send_signal(signal.SIGCONT)
        callers.stop()
    assert max_per_window(arrivals(targets, since), WINDOW_S) <= bound(RATE, BURST) / 4
    refused = [each for each in callers.answers if each[1] == 503]
    assert len(refused) > 100
    assert all(0.05 <= float(retry) <= 0.2 for _, _, retry, _ in refused)
    # Only some trials wait for an answer of another daemon.
    waited = [took for sent, _, _, took in refused if took > 0.1]
    assert len(waited) < 0.2 * len(refused)
    lines = cut_off.logged("request given up")
    assert {line["cause"] for line in lines} == {"limit-unverified"}


def test_lowered_limit_is_kept_after_a_window(fleet, targets, store):
    callers = WorkspaceCallers(fleet, "red", DEMAND)
    gevent.sleep(WINDOW_S)
    lowered = rules_with([tenant("red", RATE / 10, 1), tenant("free", 0, 0)], 4)
    store.put("op", "config", lowered)
    for each in fleet:
        wait_for(lambda each=each: each.metric("cairnferry_revision") == 4)
    lowered_at = time.monotonic()
    gevent.sleep(3 * WINDOW_S)
    callers.stop()
    ran = arrivals(targets, lowered_at + WINDOW_S)
    assert max_per_window(ran, WINDOW_S) <= bound(RATE / 10, 1)
    assert ran


def test_workspace_without_limit_makes_no_call(fleet, targets):
    """A deployment without limits does not pay for them."""
    for each in fleet:
        assert call_as(each, "free").status == 200
        assert each.metric(ALIVE_METRIC) == len(DAEMONS)
        name = 'cairnferry_peer_called_bytes_total{kind="tokens",zone="near"}'
        assert each.metric(name) is None
