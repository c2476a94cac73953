"""Command line of the stand-ins, `cairnferry-standin`."""

# The patches must be applied before any module that uses sockets is imported.
from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import typing  # noqa: E402

import attrs  # noqa: E402
import cappa  # noqa: E402
import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402
from gevent.pool import Group  # noqa: E402

from cairnferry.settings import Key, ValueType, format_key_table, read_settings  # noqa: E402
from cairnferry.standins._load import LoadPlan, parse_operations, run_load  # noqa: E402
from cairnferry.standins._platform import PlatformStandin  # noqa: E402
from cairnferry.standins._target import TargetBehaviour, TargetStandin  # noqa: E402

EXIT_SETTINGS = 2
DRAIN_TIMEOUT_S = 10.0
US_PER_MS = 1000

PLATFORM_KEYS = (Key("platform", "listen", ValueType.ADDRESS, "listen address"),)

TARGET_KEYS = (
    Key("target", "listen", ValueType.ADDRESSES, "listen addresses, one target each"),
    Key("target", "name", ValueType.NAME, "name in responses", default="target"),
    Key("target", "slots", ValueType.INTEGER, "concurrent requests", 6, "-", 1, 10000),
    Key("target", "service_ms", ValueType.NUMBER, "service time", 5.0, "ms", 0, 60000),
    Key("target", "max_queue", ValueType.INTEGER, "queued requests", 1000, "-", 0, 1e6),
    Key("target", "cold_s", ValueType.NUMBER, "cold start", 0.0, "s", 0, 600),
    Key(
        "target",
        "cold_factor",
        ValueType.NUMBER,
        "factor on the service time during the cold start",
        1.0,
        "-",
        1,
        1000,
    ),
    Key(
        "target",
        "notice_s",
        ValueType.NUMBER,
        "time to continue serving after SIGTERM",
        3.0,
        "s",
    ),
    Key(
        "target",
        "journal",
        ValueType.PATH,
        "file for a line per request",
        optional=True,
    ),
    Key("target", "seed", ValueType.INTEGER, "seed", 1, "-", 0, 2**31),
)

LOAD_KEYS = (
    Key("load", "entries", ValueType.ADDRESSES, "addresses of daemons"),
    Key("load", "service", ValueType.NAME, "service to request addresses for"),
    Key("load", "operations", ValueType.PATH, "such as 'GET /a 9, POST /b 1'"),
    Key("load", "rate", ValueType.NUMBER, "requests", 100.0, "1/s", 0.1, 100000),
    Key("load", "seconds", ValueType.NUMBER, "length", 10.0, "s", 0.1, 3600),
    Key("load", "timeout_ms", ValueType.INTEGER, "deadline", 1000, "ms", 1, 600000),
    Key("load", "zone", ValueType.NAME, "zone of the callers", optional=True),
    Key("load", "seed", ValueType.INTEGER, "seed", 1, "-", 0, 2**31),
    Key("load", "prefix", ValueType.NAME, "prefix of request IDs", default="r"),
    Key(
        "load",
        "steer",
        ValueType.BOOLEAN,
        "whether to use the steering endpoint",
        default=True,
    ),
    Key(
        "load",
        "ahead",
        ValueType.INTEGER,
        "GETs pipelined on one connection",
        1,
        "requests",
        1,
        100,
    ),
    Key(
        "load",
        "outcomes",
        ValueType.PATH,
        "file for the outcome of each request",
        optional=True,
    ),
    Key(
        "load",
        "report",
        ValueType.PATH,
        "file for the latency histogram",
        optional=True,
    ),
    Key(
        "load",
        "timeline",
        ValueType.PATH,
        "file for the latency of each request",
        optional=True,
    ),
)

_Config = typing.Annotated[
    str | None, cappa.Arg(short="-c", long="--config", help="INI file")
]
_Set = typing.Annotated[
    list[str], cappa.Arg(long="--set", help="section.key=value; overrides the file")
]


@cappa.command(name="platform", help="table, object store and instance list")
@attrs.define
class Platform:
    """Stand-in for the platform."""

    config: _Config = None
    set: _Set = attrs.field(factory=list)


@cappa.command(name="target", help="targets of a service")
@attrs.define
class Target:
    """Stand-in for targets."""

    config: _Config = None
    set: _Set = attrs.field(factory=list)


@cappa.command(name="load", help="callers")
@attrs.define
class Load:
    """Stand-in for callers."""

    config: _Config = None
    set: _Set = attrs.field(factory=list)


@cappa.command(name="cairnferry-standin")
@attrs.define
class Standin:
    """Stand-ins for tests and benchmarks."""

    command: cappa.Subcommands[Platform | Target | Load]


def main() -> None:
    """Run the command line."""
    args = cappa.parse(Standin).command
    match args:
        case Platform():
            _run_platform(_read_settings(PLATFORM_KEYS, args))
        case Target():
            _run_targets(_read_settings(TARGET_KEYS, args))
        case Load():
            _run_load(_read_settings(LOAD_KEYS, args))


def _read_settings(keys, args):
    overrides = dict(text.partition("=")[::2] for text in args.set)
    cfg = read_settings(keys, args.config, overrides)
    if cfg.is_error():
        for fault in cfg.error:
            print(f"cairnferry-standin: {fault}", file=sys.stderr)
        print(format_key_table(keys), file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    return cfg.ok


def _wait_for_signal():
    stop_requested = Event()
    gevent.signal_handler(signal.SIGTERM, stop_requested.set)
    gevent.signal_handler(signal.SIGINT, stop_requested.set)
    print("ready", flush=True)
    stop_requested.wait()


def _run_platform(cfg):
    standin = PlatformStandin(cfg.get("platform", "listen").as_tuple())
    standin.start()
    _wait_for_signal()


def _run_targets(cfg):
    standins = []
    path = cfg.get("target", "journal")
    journal = open(path, "a", encoding="utf-8") if path else None
    for index, address in enumerate(cfg.get("target", "listen")):
        behaviour = TargetBehaviour(
            slots=cfg.get("target", "slots"),
            service_ms=cfg.get("target", "service_ms"),
            max_queue=cfg.get("target", "max_queue"),
            cold_s=cfg.get("target", "cold_s"),
            cold_factor=cfg.get("target", "cold_factor"),
        )
        name = f"{cfg.get('target', 'name')}-{index}"
        seed = cfg.get("target", "seed") + index
        standins.append(
            TargetStandin(address.as_tuple(), name, behaviour, seed, journal)
        )
    for standin in standins:
        standin.start()
    _wait_for_signal()
    group = Group()
    for standin in standins:
        group.spawn(standin.leave, cfg.get("target", "notice_s"), DRAIN_TIMEOUT_S)
    group.join()


def _run_load(cfg):
    plan = LoadPlan(
        entries=tuple(str(address) for address in cfg.get("load", "entries")),
        service=cfg.get("load", "service"),
        operations=parse_operations(cfg.get("load", "operations")),
        rate=cfg.get("load", "rate"),
        seconds=cfg.get("load", "seconds"),
        timeout_ms=cfg.get("load", "timeout_ms"),
        zone=cfg.get("load", "zone") or "",
        seed=cfg.get("load", "seed"),
        prefix=cfg.get("load", "prefix"),
        steer=cfg.get("load", "steer"),
        pipeline_depth=cfg.get("load", "ahead"),
    )
    report = run_load(plan)
    path = cfg.get("load", "outcomes")
    if path:
        with open(path, "w", encoding="utf-8") as file:
            json.dump(report.outcomes, file)
    path = cfg.get("load", "report")
    if path:
        with open(path, "wb") as file:
            report.histogram.output_percentile_distribution(file, US_PER_MS)
    path = cfg.get("load", "timeline")
    if path:
        with open(path, "w", encoding="utf-8") as file:
            json.dump(report.timeline, file)
    print(json.dumps(report.summary(), indent=1))


if __name__ == "__main__":
    main()
