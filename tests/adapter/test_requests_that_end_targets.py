"""Several daemons, each a process of its own, and a request that ends targets.

One lookup ended each target that began to run it. The daemon that had it sent it to a
second target, its caller came back to another daemon, and each of 18 daemons met it as
a request like any other: 17 further sendings after three targets had ended under it, 43
ends in 16 s, and five of 20 targets left for everybody else. What settled it were
chains in the log, in which each target ends right after it was tried:

    request given up  attempts=first 04da at 1.2 ms, retry bbbe at 52.5 ms
    request given up  attempts=first bbbe at 1.1 ms, retry 5c7a at 99.4 ms
"""

import json

import pytest

from cairnferry.standins import wait_for

from ._fragile import FragileTarget
from ._processes import ROUNDS, running_fleet
from ._standins import configuration, rule

DAEMONS = ("hall", "hall", "yard", "yard")
TARGETS = 6
# Targets that may end under one request: it is known for sure with the third, and
# three further tries are granted for as long as it takes to tell every daemon.
GRANTED_ENDS = 3 + 3
TURNS = 9


@pytest.fixture
def targets(store):
    targets = [FragileTarget(store, f"i-{number}") for number in range(TARGETS)]
    yield targets
    for target in targets:
        target.stop()


@pytest.fixture
def fleet(store, targets, tmp_path):
    """Give daemons of two zones that know each other, and serve."""
    rules = [rule(attempts=2), rule("r-2", "/orders/", kind="unsafe")]
    store.put("op", "config", configuration(rules=rules))
    with running_fleet(store.port, DAEMONS, tmp_path) as started:
        yield started


def let_news_go_round(fleet):
    """Wait until each daemon has begun two rounds of heartbeats more."""
    before = [process.metric(ROUNDS) for process in fleet]
    for process, rounds in zip(fleet, before, strict=True):
        wait_for(lambda each=process, n=rounds: each.metric(ROUNDS) >= n + 2)


REQUESTS = {
    "a lookup": {"path": "/a/poison?page=2"},
    "an order with a large body": {
        "path": "/orders/x",
        "method": "POST",
        "body": b"poison" + b"-" * 80_000,
    },
}


@pytest.mark.parametrize("req", REQUESTS.values(), ids=REQUESTS)
def test_a_request_that_ends_targets_is_soon_kept_from_them_by_all(req, fleet, targets):
    """The request comes again, with a new ID each time, at one daemon after the other.

    Each daemon forgot it once it was answered, and heard nothing of it from others.
    """
    for turn in range(TURNS):
        reply = fleet[turn % len(fleet)].call(**req, request_id=f"r-{turn}")
        let_news_go_round(fleet)
    assert sum(target.ends for target in targets) <= GRANTED_ENDS
    assert reply.status == 503
    document = json.loads(reply.body)
    assert document["outcome"] == "not-run"
    assert document["cause"] == "ends-targets"
    # All others go on to be served, those of the same route and length among them.
    like_it = req["path"].replace("poison", "sounds")
    for process in fleet:
        wait_for(lambda each=process: each.answers("/a/other"))
        if "method" not in req:
            wait_for(lambda each=process: each.answers(like_it))


def test_what_is_known_of_such_a_request_outlives_the_loss_of_all_daemons(
    fleet, targets, store
):
    """Symptom: after a loss of power it ends three targets once more, and so each time.

    What the daemons knew of it they had told each other alone.
    """
    req = REQUESTS["an order with a large body"]
    for turn in range(4):
        fleet[turn].call(**req, request_id=f"r-{turn}")
        let_news_go_round(fleet)
    before = sum(target.ends for target in targets)
    wait_for(lambda: [k for k in store.rows["cairnferry-entries"] if " blocked " in k])
    for process in fleet:
        process.end()
    fleet[:] = [process.start_again() for process in fleet]
    for process in fleet:
        wait_for(lambda each=process: each.answers("/a/first"))
        # The table of instances, which is told from daemon to daemon, holds the block.
        wait_for(lambda each=process: each.metric("cairnferry_blocked_requests") == 1)
    replies = [process.call(**req) for process in fleet]
    assert [reply.status for reply in replies] == [503] * len(fleet)
    assert sum(target.ends for target in targets) == before


def test_a_block_and_a_change_outlive_a_store_that_comes_back_from_a_copy(
    fleet, targets, store
):
    """Symptom: right after a drill the request ends targets once more.

    The store comes back without the block's row and without the operator's last change,
    which takes effect nowhere any more, or at some daemons alone.
    """
    copy = store.copy()
    req = REQUESTS["an order with a large body"]
    for turn in range(4):
        fleet[turn].call(**req, request_id=f"r-{turn}")
        let_news_go_round(fleet)
    ends = sum(target.ends for target in targets)

    def stored():
        rows = store.rows["cairnferry-entries"].items()
        return [k for k, row in rows if " blocked " in k and row.value is not None]

    wait_for(stored)
    rules = [rule(attempts=2), rule("r-3", "/new/"), rule("r-2", "/orders/", "unsafe")]
    store.put("op", "config", configuration(version=8, rules=rules))
    for process in fleet:
        wait_for(lambda each=process: each.answers("/new/first"))
    store.come_back(copy)
    for target in targets:
        target.announce()
    for process in fleet:
        wait_for(lambda each=process: each.metric("cairnferry_store_era") == 1)
        wait_for(lambda each=process: each.answers("/new/second"))
        assert process.call(**req).status == 503
    wait_for(stored)
    store.put("op", "config", configuration(version=8, rules=rules))
    store.put("op", "config", configuration(version=9, rules=rules[:1]))
    for process in fleet:
        wait_for(lambda each=process: each.metric("cairnferry_revision") == 9)
        assert process.call(**req).status in (404, 503)
    assert sum(target.ends for target in targets) == ends
