"""Command-line interface of the tool."""

import sys
import typing

import attrs
import cappa

from cairnferry.ctl import _commands, _workspace_args, _zones
from cairnferry.ctl._api import Api
from cairnferry.ctl._exits import ExitCode
from cairnferry.settings import parse_address
from cairnferry.wire import Client

SERVER_VARIABLE = "CAIRNFERRY_SERVER"
TOKEN_VARIABLE = "CAIRNFERRY_TOKEN_FILE"
DEFAULT_TIMEOUT_S = 30.0
# More than 1.2 s, the longest time for which an unresponsive target is avoided.
DEFAULT_BEFORE_S = 2.0

_Json = typing.Annotated[bool, cappa.Arg(long="--json", help="print JSON")]
_ChangeId = typing.Annotated[
    str | None,
    cappa.Arg(long="--change-id", help="ID of the change; generated if omitted"),
]
_Paths = typing.Annotated[
    list[str],
    cappa.Arg(help="record files, or folders of record files", required=True),
]


@cappa.command(name="submit", help="Submit new records as one atomic change.")
@attrs.define
class Submit:
    """Arguments of `submit`."""

    paths: _Paths
    or_replace: typing.Annotated[
        bool, cappa.Arg(long="--or-replace", help="replace records that exist")
    ] = False
    change_id: _ChangeId = None
    json: _Json = False


@cappa.command(name="replace", help="Replace records as one atomic change.")
@attrs.define
class Replace:
    """Arguments of `replace`."""

    paths: _Paths
    change_id: _ChangeId = None
    json: _Json = False


@cappa.command(name="withdraw", help="Withdraw records as one atomic change.")
@attrs.define
class Withdraw:
    """Arguments of `withdraw`."""

    names: typing.Annotated[list[str], cappa.Arg(help="kind/name", required=True)]
    change_id: _ChangeId = None
    json: _Json = False


@cappa.command(name="list", help="List the records in force.")
@attrs.define
class ListRecords:
    """Arguments of `list`."""

    kind: typing.Annotated[
        str | None,
        cappa.Arg(long="--kind", help="service, target, route, zone or workspace"),
    ] = None
    json: _Json = False


@cappa.command(name="show", help="Show one record.")
@attrs.define
class Show:
    """Arguments of `show`."""

    name: typing.Annotated[str, cappa.Arg(help="kind/name")]
    json: _Json = False


@cappa.command(name="diff", help="Compare record files with the records in force.")
@attrs.define
class Diff:
    """Arguments of `diff`."""

    paths: _Paths
    json: _Json = False


@cappa.command(name="check", help="Check record files without a daemon.")
@attrs.define
class Check:
    """Arguments of `check`."""

    paths: _Paths


@cappa.command(name="show", help="Show whether a change was accepted.")
@attrs.define
class ChangeShow:
    """Arguments of `change show`."""

    change_id: typing.Annotated[str, cappa.Arg(help="ID of the change")]
    json: _Json = False


@cappa.command(name="change", help="Show changes.")
@attrs.define
class Change:
    """Commands of `change`."""

    command: cappa.Subcommands[ChangeShow]


@cappa.command(name="status", help="Show all instances.")
@attrs.define
class Status:
    """Arguments of `status`."""

    wait: typing.Annotated[
        int | None,
        cappa.Arg(long="--wait", help="wait until this revision is in force"),
    ] = None
    timeout: typing.Annotated[
        float, cappa.Arg(long="--timeout", help="longest time to wait in seconds")
    ] = DEFAULT_TIMEOUT_S
    json: _Json = False


@cappa.command(name="dump", help="Print the state of one daemon as JSON.")
@attrs.define
class Dump:
    """Arguments of `dump`."""


@cappa.command(name="drain", help="Drain one daemon.")
@attrs.define
class Drain:
    """Arguments of `drain`."""

    json: _Json = False


@cappa.command(name="blocked", help="List requests that are blocked.")
@attrs.define
class Blocked:
    """Arguments of `blocked`."""

    as_json: _Json = False


@cappa.command(name="unblock", help="Unblock a request.")
@attrs.define
class Unblock:
    """Arguments of `unblock`."""

    content: typing.Annotated[
        str, cappa.Arg(help="digest of the request, as listed by `blocked`")
    ]
    as_json: _Json = False


@cappa.command(name="workspaces", help="Show the limits of workspaces at one daemon.")
@attrs.define
class Workspaces:
    """Arguments of `workspaces`."""

    json: _Json = False


@cappa.command(name="evacuate", help="Stop sending requests to the targets of a zone.")
@attrs.define
class Evacuate:
    """Arguments of `evacuate`."""

    zone: typing.Annotated[str, cappa.Arg(help="availability zone")]
    change_id: _ChangeId = None
    json: _Json = False


@cappa.command(name="restore", help="Resume sending requests to the targets of a zone.")
@attrs.define
class Restore:
    """Arguments of `restore`."""

    zone: typing.Annotated[str, cappa.Arg(help="availability zone")]
    change_id: _ChangeId = None
    json: _Json = False


@cappa.command(name="explain", help="Explain the outcome of a request from log lines.")
@attrs.define
class Explain:
    """Arguments of `explain`."""

    request_id: typing.Annotated[str, cappa.Arg(help="ID of the request")]
    files: typing.Annotated[
        list[str],
        cappa.Arg(help="log files of all instances; standard input by default"),
    ] = attrs.field(factory=list)
    before: typing.Annotated[
        float,
        cappa.Arg(
            long="--before",
            help="seconds of state changes to include before the request",
        ),
    ] = DEFAULT_BEFORE_S


@cappa.command(name="report", help="Draw charts from log lines as SVG.")
@attrs.define
class Report:
    """Arguments of `report`."""

    output: typing.Annotated[str, cappa.Arg(help="file to write")]
    files: typing.Annotated[
        list[str],
        cappa.Arg(help="log files of all instances; standard input by default"),
    ] = attrs.field(factory=list)


_Subcommand = (
    Submit
    | Replace
    | Withdraw
    | ListRecords
    | Show
    | Diff
    | Check
    | Change
    | Status
    | Dump
    | Drain
    | Blocked
    | Unblock
    | Workspaces
    | Evacuate
    | Restore
    | _workspace_args.Workspace
    | Explain
    | Report
)


@cappa.command(name="cairnferry", help="Command-line tool for operators.")
@attrs.define
class Cairnferry:
    """Global options and the command."""

    command: cappa.Subcommands[_Subcommand]
    server: typing.Annotated[
        str,
        cappa.Arg(
            long="--server",
            default=cappa.Env(SERVER_VARIABLE, default=""),
            help=f"IP:port of a daemon's operators' listener ({SERVER_VARIABLE})",
        ),
    ] = ""
    token_file: typing.Annotated[
        str,
        cappa.Arg(
            long="--token-file",
            default=cappa.Env(TOKEN_VARIABLE, default=""),
            help=f"file with the token of the operator ({TOKEN_VARIABLE})",
        ),
    ] = ""


def main() -> None:
    """Run the command line."""
    args = cappa.parse(Cairnferry)
    match args.command:
        case Check(paths):
            records = _commands.load_files(paths)
            print(f"{len(records)} records are good")
        case Explain(request_id, files, before):
            _commands.explain(request_id, files, before)
        case Report(output, files):
            _commands.report(output, files)
        case command:
            _run_command(command, _make_api(args))


def _run_command(command, api):
    match command:
        case Submit(paths, or_replace, change_id, as_json):
            _commands.submit(api, paths, change_id, or_replace, as_json)
        case Replace(paths, change_id, as_json):
            _commands.replace(api, paths, change_id, as_json)
        case Withdraw(names, change_id, as_json):
            _commands.withdraw(api, names, change_id, as_json)
        case ListRecords(kind, as_json):
            _commands.list_records(api, kind, as_json)
        case Show(name, as_json):
            _commands.show(api, name, as_json)
        case Diff(paths, as_json):
            _commands.diff(api, paths, as_json)
        case Change(ChangeShow(change_id, as_json)):
            _commands.show_change(api, change_id, as_json)
        case Status(wait, timeout, as_json):
            _commands.status(api, wait, timeout, as_json)
        case Dump():
            _commands.dump(api)
        case Drain(as_json):
            _commands.drain(api, as_json)
        case Blocked(as_json):
            _commands.list_blocked(api, as_json)
        case Unblock(content, as_json):
            _commands.unblock(api, content, as_json)
        case Workspaces(as_json):
            _commands.list_workspaces(api, as_json)
        case Evacuate(zone, change_id, as_json):
            _zones.evacuate(api, zone, change_id, as_json)
        case Restore(zone, change_id, as_json):
            _zones.restore(api, zone, change_id, as_json)
        case _workspace_args.Workspace(command):
            _run_workspace_command(command, api)


def _run_workspace_command(command, api):
    try:
        _workspace_args.run(command, api)
    except ValueError as exc:
        _exit_with_usage_error(str(exc))


def _make_api(args):
    try:
        address = parse_address(args.server)
    except ValueError:
        _exit_with_usage_error(f"--server: expected IP:port, not {args.server!r}")
    return Api(Client(address.host, address.port), _read_token(args.token_file))


def _read_token(path):
    if not path:
        return None
    try:
        with open(path, encoding="ascii") as file:
            return file.readline().strip()
    except (OSError, UnicodeDecodeError) as exc:
        _exit_with_usage_error(f"--token-file: {path}: {type(exc).__name__}")


def _exit_with_usage_error(message):
    print(f"cairnferry: {message}", file=sys.stderr)
    sys.exit(ExitCode.USAGE)


if __name__ == "__main__":
    main()
