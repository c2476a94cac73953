"""Upstreams whose entries were removed get requests long after their drain time.

One machine is partitioned from the store for 0.2 s, again and again (`core_cut`). When
its feed is back, it keeps removed entries in use for 1.9 s, and by gossip it makes all
other machines do so as well, although their own connections to the store are sound.
Meanwhile the upstreams of a service are replaced one after the other (`release`), and
leave without reporting `draining`.
"""

import asyncio
import time
from pathlib import Path

from standins import (
    CuttingProxy,
    Fleet,
    Store,
    Upstream,
    loopback_host,
    manifest,
    rule,
    run_case,
    send,
)

HOST = "tickets.example"
RULES = [rule("/passes/", "safe", "booking")]
# The first machine is the only one of its zone.
ZONES = ["spring-hill", "fortitude", "fortitude"]
UPSTREAMS = 10
LEAVING = 8
DRAIN_S = 2.0
# Seconds before the first cut, in which all machines get in touch.
CALM_S = 5.0
CUTS = 20
CUT_S = 0.2
CUT_EVERY_S = 1.4
# Seconds from the first cut to the first removal, and between two removals.
LEAVES_AFTER_S = 4.3
LEAVES_EVERY_S = 2.8
# Seconds of traffic after the last removal. The upstreams serve for all of that time.
WATCHED_S = 4.0
REQUEST_EVERY_S = 0.015


async def case(record, trouble):
    """Replace upstreams; return whether none gets requests after its drain time."""
    store = Store()
    await store.start(loopback_host(250))
    proxy = CuttingProxy(store.address)
    await proxy.start(loopback_host(249))
    upstreams = [
        Upstream(f"i-{number}", "booking", ZONES[1]) for number in range(UPSTREAMS)
    ]
    for number, upstream in enumerate(upstreams):
        await upstream.start(loopback_host(100 + number))
    for upstream in upstreams[:LEAVING]:
        upstream.register(store)
    store.put("op", "config", manifest(1, {HOST: RULES}, ["booking"]))
    fleet = Fleet(ZONES)
    try:
        # Only the first machine reaches the store through the proxy.
        await fleet.start(lambda number: store.address if number else proxy.address)
        sent, removed_at = await play(fleet, store, proxy, upstreams, trouble)
    finally:
        fleet.stop()
    for begin, end in proxy.cuts:
        record.add(f"front-1 is partitioned from the store, {end - begin:.1f} s", begin)
    return check(record, sent, upstreams[:LEAVING], removed_at)


async def play(fleet, store, proxy, upstreams, trouble):
    """Send requests at the sound machines; return them and the times of removals."""
    sent = []
    removed_at = {}
    traffic = asyncio.create_task(send_forever(fleet.daemons[1:], sent))
    await asyncio.sleep(CALM_S)
    cuts = asyncio.create_task(cut_repeatedly(proxy)) if trouble else None
    await asyncio.sleep(LEAVES_AFTER_S)
    for upstream in upstreams[LEAVING:]:
        upstream.register(store)
    for upstream in upstreams[:LEAVING]:
        removed_at[upstream.name] = store.remove("servers", upstream.name)
        await asyncio.sleep(LEAVES_EVERY_S)
    await asyncio.sleep(WATCHED_S)
    traffic.cancel()
    if cuts is not None:
        await cuts
    return sent, removed_at


async def cut_repeatedly(proxy):
    """Partition the first machine from the store for a moment, several times."""
    for _ in range(CUTS):
        await proxy.cut(CUT_S)
        await asyncio.sleep(CUT_EVERY_S - CUT_S)


async def send_forever(daemons, sent):
    """Send requests to the machines in turn."""
    pending = set()
    number = 0
    while True:
        front = daemons[number % len(daemons)].front
        task = asyncio.create_task(send(front, "GET", HOST, f"/passes/{number}"))
        task.add_done_callback(lambda done: sent.append(done.result()))
        pending.add(task)
        task.add_done_callback(pending.discard)
        number += 1
        await asyncio.sleep(REQUEST_EVERY_S)


def check(record, sent, leaving, removed_at):
    """Record what reached the upstreams; return whether none came after its drain."""
    by_id = {each.request_id: each for each in sent}
    late = 0
    for upstream in leaving:
        removed = removed_at[upstream.name]
        record.add(f"the store acknowledges the removal of {upstream.name}", removed)
        late += record_runs(record, upstream, removed, by_id)
    record.add(
        f"{len(sent)} requests were sent at front-2 and front-3; {late} reached an "
        f"upstream later than {DRAIN_S} s after the ack of its removal",
        time.monotonic(),
    )
    if not all(
        each.runs and each.runs[0].at < removed_at[each.name] for each in leaving
    ):
        raise RuntimeError("an upstream got no request before its removal")
    return not late


def record_runs(record, upstream, removed, by_id):
    """Record the runs of an upstream; return the number of those after its drain."""
    late = 0
    for run in upstream.runs:
        after = run.at - removed
        is_late = after > DRAIN_S
        late += is_late
        answer = by_id.get(run.request_id)
        text = f"{upstream.name} runs {run.method} {run.path} {run.request_id}, "
        text += f"answer {answer and answer.status}"
        if after > 0:
            text += f", {after:.3f} s after the ack" + (", late" if is_late else "")
        record.add(text, run.at)
    return late


run_case(Path(__file__).parent, case)
