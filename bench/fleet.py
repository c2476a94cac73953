"""Load of many daemons on each other and on the store (`make model`).

The daemons run in simulated time.
"""

import logging
import random
import statistics
import sys
import time

from bench.model import Fleet, QueryOfDeath

# Numbers of daemons.
SIZES = (13, 30, 100, 300, 1000)
SEED = 1
ROW_BYTES = 230
TARGETS = 300
# Simulated seconds of the start, and of the idle time after it.
START_S = 10.0
IDLE_S = 20.0
# Changes of a row whose spread is timed.
CHANGES = 5
# A request that crashes targets: arrivals per second, duration in seconds, and number
# of other requests in flight at a target.
QUERY_PER_S = 3
QUERY_S = 5.0
OTHERS_IN_FLIGHT = 8
COLUMNS = (
    "daemons",
    "zones",
    "store calls at the start",
    "store calls in 20 s idle",
    "calls a second and daemon",
    "bytes a second and daemon, own zone",
    "other zones",
    "members known",
    "seconds to reach all, mean",
    "longest",
    "crashes by a query of death",
    "seconds from the third crash to the last",
    "seconds to reach all after 55 % were killed",
    "run time in s",
)


def main() -> None:
    """Print a row for each size."""
    # Each daemon of the model would otherwise log each blocked request.
    logging.disable(logging.WARNING)
    sizes = [int(text) for text in sys.argv[1:]] or SIZES
    print("| " + " | ".join(COLUMNS) + " |")
    print("| " + " | ".join("---" for _ in COLUMNS) + " |")
    for size in sizes:
        print("| " + " | ".join(_row(size)) + " |", flush=True)


def _row(size):
    started_at = time.monotonic()
    zones = 3 if size < 30 else 5 if size < 1000 else 14
    fleet = Fleet(size, zones, SEED)
    for number in range(TARGETS):
        fleet.store.change(f"i-{number}", b"x" * ROW_BYTES)
    fleet.run(START_S)
    during_start = fleet.store.calls
    fleet.bytes.clear()
    fleet.messages = fleet.store.calls = 0
    fleet.run(IDLE_S)
    while_idle = fleet.store.calls
    rates = [n / IDLE_S / size for n in (fleet.messages, *_near_and_far(fleet))]
    known_members = [len(d.cluster.membership.others()) for d in fleet.up()]
    spread_s = [_time_to_spread(fleet) for _ in range(CHANGES)]
    query = QueryOfDeath.start(fleet, QUERY_PER_S, QUERY_S, others=OTHERS_IN_FLIGHT)
    fleet.run(QUERY_S + 1.0)
    crashes = sorted(query.crashes)
    for daemon in random.Random(SEED).sample(fleet.up(), int(0.55 * size)):
        daemon.is_up = False
    after = _time_to_spread(fleet)
    return [
        str(size),
        str(zones),
        str(during_start),
        str(while_idle),
        f"{rates[0]:.1f}",
        f"{rates[1]:.0f}",
        f"{rates[2]:.0f}",
        f"{min(known_members)} to {max(known_members)}",
        f"{statistics.mean(spread_s):.2f}",
        f"{max(spread_s):.2f}",
        str(len(crashes)),
        f"{crashes[-1] - crashes[2]:.2f}",
        f"{after:.2f}",
        f"{time.monotonic() - started_at:.0f}",
    ]


def _near_and_far(fleet):
    counts = {"near": 0, "far": 0}
    for (_, where), number in fleet.bytes.items():
        counts[where] += number
    return counts["near"], counts["far"]


def _time_to_spread(fleet):
    fleet.store.change("i-0", b"y")
    version = fleet.store.version
    return fleet.run(30.0, lambda: fleet.all_have(version))


if __name__ == "__main__":
    main()
