"""Several daemons, each a process of its own, and a target that names a limit.

A target in need named 2.6 requests a second for all daemons together, and got 26 in 4 s
from daemons that had passed on its answers, where 21 are allowed: as much as before. No
daemon read the header, each went on to choose the target by its load, which is low just
because it is spared, and nobody counted what all of them send it.
"""

import gevent
import pytest

from cairnferry.standins import own_host, wait_for

from ._limited import CONTACT_S, WINDOW_S, LimitedTarget, allowed, fullest_window
from ._standins import configuration, rule
from .conftest import settings_text
from .test_requests_that_end_targets import ALIVE, Process

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
    started = []
    seeds = []
    for number, zone in enumerate(DAEMONS):
        host = own_host(number + 1)
        text = settings_text(store.port, f"front-{number}", seeds, host)
        process = Process(tmp_path, host, text.replace("zone=hall", f"zone={zone}"))
        seeds = seeds or [process.cfg.handover]
        started.append(process)
    for process in started:
        wait_for(lambda each=process: each.answers("/a/first"))
    for process in started:
        wait_for(lambda each=process: each.metric(ALIVE) == len(DAEMONS))
    callers = [
        gevent.spawn(call_for_ever, process)
        for process in started
        for _ in range(CALLERS_EACH)
    ]
    yield started
    gevent.killall(callers)
    for process in started:
        process.end()


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
