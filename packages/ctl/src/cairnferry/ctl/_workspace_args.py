"""Arguments of the commands on workspaces."""

import typing

import attrs
import cappa

from cairnferry.ctl import _workspaces
from cairnferry.ctl._api import Api

_Name = typing.Annotated[str, cappa.Arg(help="name of the workspace")]
_Json = typing.Annotated[bool, cappa.Arg(long="--json", help="print JSON")]
_ChangeId = typing.Annotated[
    str | None,
    cappa.Arg(long="--change-id", help="ID of the change; generated if omitted"),
]
_NO_RANK = "none"


@cappa.command(name="add", help="Add a workspace without keys.")
@attrs.define
class Add:
    """Arguments of `workspace add`."""

    name: _Name
    rank: typing.Annotated[
        int | None, cappa.Arg(long="--rank", help="rank of its requests; 0 goes first")
    ] = None
    rate: typing.Annotated[
        float | None,
        cappa.Arg(long="--rate", help="requests per second; 0 is unlimited"),
    ] = None
    burst: typing.Annotated[
        float | None,
        cappa.Arg(long="--burst", help="requests that may exceed the rate"),
    ] = None
    change_id: _ChangeId = None
    json: _Json = False


@cappa.command(name="remove", help="Remove a workspace with all its keys.")
@attrs.define
class Remove:
    """Arguments of `workspace remove`."""

    name: _Name
    allow_open: typing.Annotated[
        bool,
        cappa.Arg(
            long="--allow-open",
            help="remove the last workspace too; callers then need no key",
        ),
    ] = False
    change_id: _ChangeId = None
    json: _Json = False


@cappa.command(name="list", help="List the workspaces in force.")
@attrs.define
class ListAll:
    """Arguments of `workspace list`."""

    json: _Json = False


@cappa.command(name="show", help="Show a workspace and the digests of its keys.")
@attrs.define
class Show:
    """Arguments of `workspace show`."""

    name: _Name
    json: _Json = False


@cappa.command(name="add-key", help="Generate a key; it is shown once.")
@attrs.define
class AddKey:
    """Arguments of `workspace add-key`."""

    name: _Name
    change_id: _ChangeId = None
    json: _Json = False


@cappa.command(name="revoke-key", help="Revoke a key.")
@attrs.define
class RevokeKey:
    """Arguments of `workspace revoke-key`."""

    name: _Name
    digest: typing.Annotated[
        str, cappa.Arg(help="digest of the key, or its first characters")
    ]
    change_id: _ChangeId = None
    json: _Json = False


@cappa.command(name="set-limit", help="Set the limit of a workspace.")
@attrs.define
class SetLimit:
    """Arguments of `workspace set-limit`."""

    name: _Name
    rate: typing.Annotated[float, cappa.Arg(help="requests per second; 0 is unlimited")]
    burst: typing.Annotated[
        float | None, cappa.Arg(help="requests that may exceed the rate")
    ] = None
    change_id: _ChangeId = None
    json: _Json = False


@cappa.command(name="set-rank", help="Set the rank of a workspace.")
@attrs.define
class SetRank:
    """Arguments of `workspace set-rank`."""

    name: _Name
    rank: typing.Annotated[
        str, cappa.Arg(help="0 goes first; none leaves the rank of the route")
    ]
    change_id: _ChangeId = None
    json: _Json = False


_Subcommand = Add | Remove | ListAll | Show | AddKey | RevokeKey | SetLimit | SetRank


@cappa.command(name="workspace", help="Change workspaces and their keys.")
@attrs.define
class Workspace:
    """Commands of `workspace`."""

    command: cappa.Subcommands[_Subcommand]


def run(command: _Subcommand, api: Api) -> None:
    """Run a command on workspaces.

    Raises
    ------
    ValueError
        If an argument is malformed.
    """
    match command:
        case Add(name, rank, rate, burst, change_id, as_json):
            limit = (rate or 0.0, burst or 0.0)
            _workspaces.add(api, name, rank, *limit, change_id, as_json)
        case Remove(name, allow_open, change_id, as_json):
            _workspaces.remove(api, name, allow_open, change_id, as_json)
        case ListAll(as_json):
            _workspaces.list_all(api, as_json)
        case Show(name, as_json):
            _workspaces.show(api, name, as_json)
        case AddKey(name, change_id, as_json):
            _workspaces.add_key(api, name, change_id, as_json)
        case RevokeKey(name, digest, change_id, as_json):
            _workspaces.revoke_key(api, name, digest, change_id, as_json)
        case SetLimit(name, rate, burst, change_id, as_json):
            fields = {"rate_per_s": rate, "burst": burst or 0.0}
            _workspaces.change(api, name, fields, change_id, as_json)
        case SetRank(name, rank, change_id, as_json):
            fields = {"rank": _read_rank(rank)}
            _workspaces.change(api, name, fields, change_id, as_json)


def _read_rank(text):
    if text == _NO_RANK:
        return None
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"the rank must be a number or {_NO_RANK}, not {text!r}")
    return int(text)
