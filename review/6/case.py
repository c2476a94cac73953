"""After short outages of the store, no daemon learns of changes any more."""

import asyncio
import json
import random
import signal
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2._callers import Requesters  # noqa: E402
from standins_2._manifest import manifest, rule  # noqa: E402
from standins_2._store import Store  # noqa: E402
from standins_2._system import (  # noqa: E402
    BROKEN,
    HELD,
    is_in_trouble,
    run_case,
    running_system,
)
from standins_2._upstreams import Upstream  # noqa: E402

DAEMONS, UPSTREAMS, SLOTS, WORK_S = 2, 8, 6, 0.1
# Deployments that are played side by side, each with a store of its own.
DEPLOYMENTS = 4
PER_S, TIMEOUT_MS = 50, 3000
# Outages as in the site file: `platform_down`, silent, for 8 s. They leave the store
# calm for longer than `contact` (3 s) in between and before the change.
OUTAGES, OUTAGE_S, CALM_S = 5, 8.0, 6.5
# Requests count that are sent this long after the ack of the change: `config_apply`
# (2 s) and `max_stretch` (5 s), although the store is calm.
APPLY_S = 7.0
PROBE_S, PROBES_PER_S = 6.0, 10
# `drain` and `max_stretch`.
DRAIN_S = 7.0
SERVICE = "booking"
KEPT, DROPPED, ADDED = "/kept/", "/dropped/", "/added/"


class SilentStore(Store):
    """Store that sends no answer while it is silent, and then all that have waited."""

    def __init__(self):
        super().__init__()
        self._is_silent = False
        self._held = []

    def begin_silence(self):
        """Begin an outage."""
        self._is_silent = True

    def end_silence(self):
        """End an outage; the answers are sent in any order, as by several threads."""
        self._is_silent = False
        held, self._held = self._held, []
        random.shuffle(held)
        for writer, data, sent in held:
            if not writer.is_closing():
                writer.write(data)
            sent.set()

    async def _send(self, writer, data):
        if not self._is_silent:
            await super()._send(writer, data)
            return
        sent = asyncio.Event()
        self._held.append((writer, data, sent))
        await sent.wait()


class QuietUpstream(Upstream):
    """Upstream whose check-ins leave its row as it is, as only `sequence` changes."""

    async def _beat_forever(self):
        row = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "max_concurrency": self.slots,
            "state": "ready",
            "warmup_left": "0ms",
            "sequence": 1,
        }
        self._store.put("servers", self.name, json.dumps(row).encode())


def rules(path):
    """Return the routes of a version: one that stays, and another one."""
    return [rule(each, SERVICE, "safe", TIMEOUT_MS) for each in (KEPT, path)]


async def play(record):
    """Play the case in each deployment; return the exit code."""
    codes = await asyncio.gather(
        *(play_one(record, 1 + number * DAEMONS) for number in range(DEPLOYMENTS))
    )
    return BROKEN if BROKEN in codes else HELD


async def play_one(record, first_host):
    """Play the case in one deployment; return its code."""
    options = {"slots": SLOTS, "work_s": WORK_S, "store": SilentStore()}
    options |= {"first_host": first_host, "prefix": f"i-{first_host}"}
    async with running_system(
        record, rules(DROPPED), DAEMONS, UPSTREAMS, QuietUpstream, **options
    ) as (store, daemons, upstreams):
        usual = Requesters(record, daemons)
        seconds = OUTAGES * (OUTAGE_S + CALM_S) + CALM_S + APPLY_S + PROBE_S
        traffic = asyncio.create_task(
            usual.run(seconds, PER_S, "safe", "GET", KEPT + "a", TIMEOUT_MS)
        )
        for _ in range(OUTAGES):
            await asyncio.sleep(CALM_S)
            if is_in_trouble():
                store.begin_silence()
            record.note("store", silent=is_in_trouble())
            await asyncio.sleep(OUTAGE_S)
            store.end_silence()
            record.note("store", silent=False)
        # A machine leaves for good. What it knows, it can tell no more.
        usual.drop(daemons[0])
        daemons[0].signal(signal.SIGTERM)
        await asyncio.sleep(CALM_S)
        store.put("op", "config", manifest(2, rules(ADDED), [SERVICE]))
        # The upstream has lost its path to the store, and serves on.
        gone = upstreams[0]
        store.drop("servers", gone.name)
        acked = record.note("ack", version="r2", removed=gone.name)
        await asyncio.sleep(APPLY_S)
        probes = Requesters(record, daemons[1:])
        await asyncio.gather(
            *(
                probes.run(PROBE_S, PROBES_PER_S, path, "GET", path + "a", TIMEOUT_MS)
                for path in (DROPPED, ADDED)
            )
        )
        await traffic
        await usual.finish()
        await probes.finish()
    return judge(record, usual, probes, gone, acked)


def judge(record, usual, probes, gone, acked):
    """Report what was seen in a deployment; return its code."""
    statuses = Counter((each.kind, each.status) for each in probes.sent)
    record.say(f"usual requests: {dict(Counter(each.status for each in usual.sent))}")
    record.say(f"requests on the added and the dropped route: {dict(statuses)}")
    older = statuses[ADDED, 404] + statuses[DROPPED, 200]
    record.say(f"CONFIG, handled as only the older version allows: {older}")
    sent_at = {each.id: each.at for each in (*usual.sent, *probes.sent)}
    late = sum(sent_at[number] > acked + DRAIN_S for number, _ in gone.runs)
    record.say(f"DRAIN, sent to {gone.name} {DRAIN_S} s after its removal: {late}")
    return BROKEN if older or late else HELD


if __name__ == "__main__":
    run_case(play, FOLDER)
