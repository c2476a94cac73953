"""A small deployment: the store, one service's upstreams, and the daemons."""

import asyncio
import contextlib
import os
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

from ._daemons import Daemon, loopback_host, require_build
from ._manifest import manifest
from ._record import Record
from ._store import Store
from ._upstreams import Upstream

SERVICE = "booking"
ZONES = ("worcester-hall", "lowell-hall")
STORE_HOST, UPSTREAMS_HOST = 100, 101
HELD, BROKEN, NOT_RUN = 0, 1, 2


def is_in_trouble() -> bool:
    """Return whether the case is run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class NotReady(Exception):
    """A daemon did not become ready."""


@contextlib.asynccontextmanager
async def running_system(record, rules, daemons, upstreams, build=Upstream, **options):
    """Start a deployment; yield its store, its daemons and its upstreams.

    `build` is the class of the upstreams, and `options` are passed to it. The option
    `services` names the services, which get the upstreams in turn; `store` is a store
    to use, `first_host` the number of the first daemon's address, and `prefix` begins
    the names of the upstreams.
    """
    first_host = options.pop("first_host", 1)
    prefix = options.pop("prefix", "i")
    services = options.pop("services", (SERVICE,))
    store = options.pop("store", None) or Store()
    await store.start(loopback_host(STORE_HOST))
    running = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            started = []
            for number in range(upstreams):
                service = services[number % len(services)]
                zone = ZONES[number // len(services) % len(ZONES)]
                name = f"{prefix}-{number}"
                each = build(store, record, name, service, zone, **options)
                await each.start(loopback_host(UPSTREAMS_HOST))
                started.append(each)
            store.put("op", "config", manifest(1, rules, services))
            for number in range(daemons):
                zone = ZONES[number % len(ZONES)]
                seeds = [each.control for each in running]
                name = f"front-{first_host - 1 + number}"
                each = Daemon(
                    record, Path(folder), name, zone, first_host + number, store, seeds
                )
                running.append(each)
                each.start()
            for each in running:
                if not await each.wait_until_ready():
                    raise NotReady(each.name)
            yield store, running, started
        finally:
            for each in running:
                each.stop()


def run_case(play: Callable, folder: Path) -> None:
    """Run a case, write its record and end with its exit code."""
    require_build()
    record = Record(folder / "record.txt")
    code = NOT_RUN
    try:
        code = asyncio.run(play(record))
    except NotReady as exc:
        record.say(f"not ready: {exc}")
    finally:
        record.say(f"exit code {code}")
        record.write()
    sys.exit(code)
