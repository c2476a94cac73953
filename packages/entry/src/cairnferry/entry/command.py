"""Command line of the daemon."""

# Patch before any module that uses sockets is imported.
from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
import typing  # noqa: E402

import attrs  # noqa: E402
import cappa  # noqa: E402

from cairnferry.cloudapi import CredentialsFault  # noqa: E402
from cairnferry.entry._keys import KEYS  # noqa: E402
from cairnferry.entry.daemon import Daemon  # noqa: E402
from cairnferry.entry.telemetry import configure_logs  # noqa: E402
from cairnferry.peers import KeyFileFault  # noqa: E402
from cairnferry.settings import format_key_table, read_settings  # noqa: E402

EXIT_SETTINGS = 2


@cappa.command(name="cairnferryd", help="Daemon of an entry instance.")
@attrs.define
class Cairnferryd:
    """Options of the daemon; `help` describes each."""

    config: typing.Annotated[
        str | None, cappa.Arg(short="-c", long="--config", help="INI file")
    ] = None
    set: typing.Annotated[
        list[str],
        cappa.Arg(long="--set", help="section.key=value; overrides the file"),
    ] = attrs.field(factory=list)
    check: typing.Annotated[
        bool, cappa.Arg(long="--check", help="check the settings and exit")
    ] = False
    keys: typing.Annotated[
        bool, cappa.Arg(long="--keys", help="print the table of keys and exit")
    ] = False


def main() -> None:
    """Run the command line."""
    args = cappa.parse(Cairnferryd)
    if args.keys:
        print(format_key_table(KEYS))
        return
    overrides = dict(text.partition("=")[::2] for text in args.set)
    cfg = read_settings(KEYS, args.config, overrides)
    if cfg.is_error():
        for fault in cfg.error:
            print(f"cairnferryd: {fault}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if args.check:
        print("settings are good")
        return
    sys.exit(_serve(cfg.ok))


def _serve(cfg):
    configure_logs(cfg.get("instance", "name"), cfg.get("log", "debug"))
    try:
        daemon = Daemon(cfg)
    except (KeyFileFault, CredentialsFault) as exc:
        print(f"cairnferryd: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    try:
        return daemon.run()
    except OSError as exc:
        # The address is in use or does not belong to this machine.
        print(f"cairnferryd: cannot listen: {exc}", file=sys.stderr)
        return EXIT_SETTINGS


if __name__ == "__main__":
    main()
