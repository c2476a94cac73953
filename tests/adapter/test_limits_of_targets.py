"""Several daemons, each a process of its own, and a target that names a limit.

A target in need named 2.6 requests a second for all daemons together, and got 26 in 4 s
from daemons that had passed on its answers, where 21 are allowed: as much as before. No
daemon read the header, each went on to choose the target by its load, which is low just
because it is spared, and nobody counted what all of them send it.
"""

import signal
import time

import gevent
import pytest

from cairnferry.standins import wait_for

from ._limited import CONTACT_S, WINDOW_S, LimitedTarget, allowed, fullest_window
from ._processes import ALIVE, running_fleet
from ._standins import configuration, rule

DAEMONS = ("hall", "hall", "yard", "yard")
TARGETS = 4
CALLERS_EACH = 3
PAUSE_S = 0.05
LIMIT = 2.6


@pytest.fixture
def targets(store):
    targets = [LimitedTarget(store, f"i-{number}") for number in range(TARGETS)]
    yield targets
    for target in targets:
        target.stop()


@pytest.fixture
def fleet(store, targets, tmp_path):
    """Give daemons of two zones that know each other, and callers of all of them."""
    rules = [rule(attempts=2), rule("r-2", "/orders/", kind="unsafe")]
    store.put("op", "config", configuration(rules=rules))
    with running_fleet(store.port, DAEMONS, tmp_path) as started:
        callers = [
            gevent.spawn(call_for_ever, process)
            for process in started
            for _ in range(CALLERS_EACH)
        ]
        yield started
        gevent.killall(callers)


def call_for_ever(process):
    number = 0
    while True:
        number += 1
        path = "/orders/x" if number % 3 == 0 else "/a/x"
        process.call(path, request_id=f"r-{number}")
        gevent.sleep(PAUSE_S)


def wait_for_arrivals(target, count, since):
    wait_for(lambda: len(target.arrivals_since(since)) >= count, 60.0)


def test_a_limit_holds_over_all_daemons_and_ends_with_its_target_s_word(fleet, targets):
    """The limit is named, lowered and lifted while all daemons are called."""
    limited, other = targets[0], targets[1]
    wait_for_arrivals(limited, 20, 0.0)
    named = limited.name_limit(LIMIT)
    gevent.sleep(CONTACT_S + 1.5 * WINDOW_S)
    counted = limited.arrivals_since(named + CONTACT_S)
    assert fullest_window(counted) <= allowed(LIMIT)
    # It is not left out: that would keep the limit and serve nobody.
    assert counted
    assert other.arrivals_since(named + CONTACT_S)

    lowered = limited.name_limit(LIMIT / 4)
    gevent.sleep(CONTACT_S + WINDOW_S)
    counted = limited.arrivals_since(lowered + CONTACT_S)
    assert fullest_window(counted) <= allowed(LIMIT / 4)

    lifted = limited.name_limit(None)
    wait_for_arrivals(limited, 100, lifted)


def test_a_limit_holds_while_daemons_freeze_die_and_start_again(fleet, targets):
    """One of them gives the permits; whoever follows it must not give them twice."""
    limited = targets[0]
    wait_for_arrivals(limited, 20, 0.0)
    named = limited.name_limit(LIMIT)
    gevent.sleep(CONTACT_S)
    for process in list(fleet):
        process.process.send_signal(signal.SIGSTOP)
        gevent.sleep(1.0)
        process.process.send_signal(signal.SIGCONT)
    for number in (0, 1):
        fleet[number].end()
        gevent.sleep(1.0)
        fleet[number] = fleet[number].start_again()
        wait_for(lambda each=fleet[number]: each.answers("/a/again"))
    wait_for(lambda: fleet[0].metric(ALIVE) == len(DAEMONS))
    # One that has started sends as before until it has heard of the limit.
    since = time.monotonic()
    gevent.sleep(WINDOW_S)
    assert fullest_window(limited.arrivals_since(since)) <= allowed(LIMIT)
    frozen = limited.arrivals_since(named + CONTACT_S)
    first_start = named + CONTACT_S + len(DAEMONS) * 1.0 + 1.0
    before = [at for at in frozen if at < first_start]
    assert fullest_window(before) <= allowed(LIMIT)
