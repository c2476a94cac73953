"""Unsafe requests run twice where a safe route lies one path segment deeper.

The manifest has an unsafe route `/passes/` and a safe route `/passes/renew/`. The
prefix `/passes/renew/` does not begin the path `/passes/renew`, so that requests for
that path belong to the unsafe route. One of the upstreams loses answers
(`answer_lost`).
"""

import asyncio
from collections import Counter
from pathlib import Path

from standins import (
    Fleet,
    Store,
    Upstream,
    loopback_host,
    manifest,
    rule,
    run_case,
    send,
    service_for,
)

HOST = "tickets.example"
RULES = [
    rule("/passes/", "unsafe", "booking"),
    rule("/passes/renew/", "safe", "booking"),
]
PATH = "/passes/renew"
ZONES = ["spring-hill", "fortitude"]
# Reads that go before, as retry budgets grow with requests.
READS = 100
ORDERS = 80
# Every third answer of one of the two upstreams is lost: a share of 0.5 of the
# upstreams, and of 0.34 of their answers.
LOST_EVERY = 3


def lose_answers(upstream):
    """Return a function that selects the runs whose answers are lost."""

    def loses_answer(run):
        orders = [each for each in upstream.runs if each.path == PATH]
        return run.path == PATH and len(orders) % LOST_EVERY == 0

    return loses_answer


async def case(record, trouble):
    """Send orders; return whether each ran at most once."""
    store = Store()
    await store.start(loopback_host(250))
    upstreams = [
        Upstream(f"i-{number}", "booking", zone) for number, zone in enumerate(ZONES)
    ]
    for number, upstream in enumerate(upstreams):
        await upstream.start(loopback_host(100 + number))
        upstream.register(store)
    if trouble:
        upstreams[0].loses_answer = lose_answers(upstreams[0])
    store.put("op", "config", manifest(1, {HOST: RULES}, ["booking"]))
    kind = service_for(RULES, PATH)["route_type"]
    record.add(f"the pages select the {kind} route for {PATH}")
    fleet = Fleet(ZONES)
    try:
        await fleet.start(lambda number: store.address)
        sent = await send_all(fleet)
    finally:
        fleet.stop()
    return check(record, sent, upstreams)


async def send_all(fleet):
    """Send reads, then orders; return the orders with their answers."""
    fronts = [daemon.front for daemon in fleet.daemons]
    for number in range(READS):
        await send(fronts[number % len(fronts)], "GET", HOST, "/passes/renew/options")
    sent = []
    for number in range(ORDERS):
        front = fronts[number % len(fronts)]
        sent.append(await send(front, "POST", HOST, PATH, b"order"))
        await asyncio.sleep(0.02)
    return sent


def check(record, sent, upstreams):
    """Record the orders and their runs; return whether each ran at most once."""
    runs = [run for upstream in upstreams for run in upstream.runs if run.path == PATH]
    for run in runs:
        record.add(
            f"{run.upstream} runs {run.method} {run.path} {run.request_id}: {run.end}",
            run.at,
        )
    times = Counter(run.request_id for run in runs)
    for each in sent:
        record.add(
            f"answer to {each.method} {each.path} {each.request_id}: {each.status}, "
            f"ran {times[each.request_id]} times"
        )
    twice = sum(count > 1 for count in times.values())
    record.add(f"{len(sent)} orders, {twice} of them ran more than once")
    if not times:
        raise RuntimeError("no order ran")
    return not twice


run_case(Path(__file__).parent, case)
