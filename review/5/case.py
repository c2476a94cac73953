"""Two routes of different hosts that have the same name get the same services."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2._callers import HOST, Requesters  # noqa: E402
from standins_2._manifest import manifest, rule  # noqa: E402
from standins_2._system import (  # noqa: E402
    BROKEN,
    HELD,
    is_in_trouble,
    run_case,
    running_system,
)

DAEMONS, UPSTREAMS, SLOTS, WORK_S = 3, 12, 4, 0.1
DESK_HOST = "desk.example"
SERVICES = ("booking", "booking-next", "members")
SHOP_SERVICES = {"booking": 90, "booking-next": 10}
DESK_SERVICE = "members"
PER_S, BEFORE_S, SECONDS = 20, 3.0, 15.0
# Seconds from the ack of a version until requests are sent by it: `config_apply`.
APPLY_S = 2.0
TIMEOUT_MS = 3000


def shop_rule():
    """Return the route of the first host, which has two services by weight."""
    return rule("/orders/", SHOP_SERVICES, "unsafe", TIMEOUT_MS, name="orders")


def desk_rule():
    """Return the route of the second host; another name if there is no trouble."""
    name = "orders" if is_in_trouble() else "desk-orders"
    return rule("/orders/", DESK_SERVICE, "unsafe", TIMEOUT_MS, name=name)


async def play(record):
    """Play the case; return the exit code."""
    options = {"slots": SLOTS, "work_s": WORK_S, "services": SERVICES}
    async with running_system(
        record, {HOST: [shop_rule()]}, DAEMONS, UPSTREAMS, **options
    ) as (store, daemons, upstreams):
        shop, desk = Requesters(record, daemons), Requesters(record, daemons)
        shop_traffic = asyncio.create_task(
            shop.run(
                BEFORE_S + APPLY_S + SECONDS,
                PER_S,
                "shop",
                "POST",
                "/orders/a",
                TIMEOUT_MS,
                b"{}",
            )
        )
        await asyncio.sleep(BEFORE_S)
        rules = {HOST: [shop_rule()], DESK_HOST: [desk_rule()]}
        store.put("op", "config", manifest(2, rules, SERVICES))
        record.note("manifest", version="r2")
        await asyncio.sleep(APPLY_S)
        more = {"Host": DESK_HOST}
        await desk.run(
            SECONDS, PER_S, "desk", "POST", "/orders/a", TIMEOUT_MS, b"{}", more
        )
        await shop_traffic
        await shop.finish()
        await desk.finish()
    return judge(record, shop, desk, upstreams)


def judge(record, shop, desk, upstreams):
    """Report what was seen; return the exit code."""
    service_of = {number: each.service for each in upstreams for number, _ in each.runs}
    ran = {}
    for name, requesters in (("shop", shop), ("desk", desk)):
        ran[name] = Counter(service_of.get(sent.id) for sent in requesters.sent)
        statuses = Counter(sent.status for sent in requesters.sent)
        record.say(f"{name}: answers {dict(statuses)}, run by {dict(ran[name])}")
    allowed = {"shop": set(SHOP_SERVICES), "desk": {DESK_SERVICE}}
    wrong = sum(
        count
        for name, counts in ran.items()
        for service, count in counts.items()
        if service is not None and service not in allowed[name]
    )
    record.say(f"ROUTE, run by a service that no manifest allows: {wrong}")
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    run_case(play, FOLDER)
