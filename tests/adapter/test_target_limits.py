"""Several daemon processes, and a target that advertises a request limit.

An overloaded target advertised a limit of 2.6 requests per second over all daemons. It
got 26 requests in 4 s, as many as before, from daemons that had relayed its answers; 21
are allowed. The daemons did not read the limit header and did not count the requests of
all daemons together. The daemons kept choosing the target by its load, which is low
when it gets few requests.
"""

import signal
import time

import gevent
import pytest

from cairnferry.standins import wait_for

from ._limited import (
    LIMIT_DELAY_S,
    WINDOW_S,
    LimitedTarget,
    max_allowed,
    max_per_window,
)
from ._processes import ALIVE_METRIC, running_fleet
from ._standins import configuration, rule

DAEMONS = ("hall", "hall", "yard", "yard")
TARGETS = 4
CALLERS_PER_DAEMON = 3
PAUSE_S = 0.05
# Requests per second.
LIMIT = 2.6


@pytest.fixture
def targets(store):
    targets = [LimitedTarget(store, f"i-{number}") for number in range(TARGETS)]
    yield targets
    for target in targets:
        target.stop()


@pytest.fixture
def fleet(store, targets, tmp_path):
    """Yield daemons of two zones that see each other, with callers for each daemon."""
    rules = [rule(attempts=2), rule("r-2", "/orders/", kind="unsafe")]
    store.put("op", "config", configuration(rules=rules))
    with running_fleet(store.port, DAEMONS, tmp_path) as started:
        callers = [
            gevent.spawn(call_repeatedly, process)
            for process in started
            for _ in range(CALLERS_PER_DAEMON)
        ]
        yield started
        gevent.killall(callers)


def call_repeatedly(process):
    number = 0
    while True:
        number += 1
        path = "/orders/x" if number % 3 == 0 else "/a/x"
        process.call(path, request_id=f"r-{number}")
        gevent.sleep(PAUSE_S)


def wait_for_arrivals(target, count, since):
    wait_for(lambda: len(target.arrivals_since(since)) >= count, 60.0)


def test_limit_is_kept_over_all_daemons_until_lifted(fleet, targets):
    """The target sets, lowers and lifts its limit while all daemons get requests."""
    limited, other = targets[0], targets[1]
    wait_for_arrivals(limited, 20, 0.0)
    advertised_at = limited.set_limit(LIMIT)
    gevent.sleep(LIMIT_DELAY_S + 1.5 * WINDOW_S)
    counted = limited.arrivals_since(advertised_at + LIMIT_DELAY_S)
    assert max_per_window(counted) <= max_allowed(LIMIT)
    # The target still gets requests: sending none would keep the limit too.
    assert counted
    assert other.arrivals_since(advertised_at + LIMIT_DELAY_S)

    lowered_at = limited.set_limit(LIMIT / 4)
    gevent.sleep(LIMIT_DELAY_S + WINDOW_S)
    counted = limited.arrivals_since(lowered_at + LIMIT_DELAY_S)
    assert max_per_window(counted) <= max_allowed(LIMIT / 4)

    lifted_at = limited.set_limit(None)
    wait_for_arrivals(limited, 100, lifted_at)


def test_limit_is_kept_while_daemons_freeze_and_restart(fleet, targets):
    """Guards against permits that are issued twice when the permit issuer changes."""
    limited = targets[0]
    wait_for_arrivals(limited, 20, 0.0)
    advertised_at = limited.set_limit(LIMIT)
    gevent.sleep(LIMIT_DELAY_S)
    for process in list(fleet):
        process.process.send_signal(signal.SIGSTOP)
        gevent.sleep(1.0)
        process.process.send_signal(signal.SIGCONT)
    for number in (0, 1):
        fleet[number].kill()
        gevent.sleep(1.0)
        fleet[number] = fleet[number].restart()
        wait_for(lambda each=fleet[number]: each.serves("/a/again"))
    wait_for(lambda: fleet[0].metric(ALIVE_METRIC) == len(DAEMONS))
    # A daemon that just started sends as before until it has received the limit.
    since = time.monotonic()
    gevent.sleep(WINDOW_S)
    assert max_per_window(limited.arrivals_since(since)) <= max_allowed(LIMIT)
    frozen = limited.arrivals_since(advertised_at + LIMIT_DELAY_S)
    first_start = advertised_at + LIMIT_DELAY_S + len(DAEMONS) * 1.0 + 1.0
    before = [at for at in frozen if at < first_start]
    assert max_per_window(before) <= max_allowed(LIMIT)
