"""Commands that change workspaces and their API keys."""

import json
import secrets
import sys
from typing import NoReturn

import attrs

from cairnferry.ctl._api import Api
from cairnferry.ctl._commands import (
    print_accepted,
    records_in_force,
    send_edits,
    submit_edits,
)
from cairnferry.ctl._exits import ExitCode
from cairnferry.ctl._tables import print_workspaces
from cairnferry.records import Workspace, digest_key, parse_record

KIND = "workspace"
# Random bytes of a generated key. It cannot be guessed from its digest.
KEY_BYTES = 32
# Characters of a digest that identify a key on the command line.
MIN_PREFIX = 8


def add(api: Api, name: str, rank, rate, burst, change_id, as_json) -> None:
    """Add a workspace without keys."""
    is_first = not records_in_force(api, KIND, as_json)
    workspace = Workspace(name, frozenset(), rank, rate, burst)
    edit = {"op": "submit", "record": _document(workspace)}
    send_edits(api, [edit], change_id, as_json)
    if is_first:
        print(
            "cairnferry: callers need a key from now on, except on anonymous routes",
            file=sys.stderr,
        )


def remove(api: Api, name: str, allow_open: bool, change_id, as_json) -> None:
    """Remove a workspace with all its keys."""
    entries = records_in_force(api, KIND, as_json)
    _, revision = _find(entries, name)
    if len(entries) == 1 and not allow_open:
        _exit(
            ExitCode.REFUSED,
            f"{name!r} is the last workspace, without which callers need no key; "
            "remove it with --allow-open",
        )
    edit = {"op": "withdraw", "kind": KIND, "name": name}
    edits = [{**edit, "expected_revision": revision}]
    send_edits(api, edits, change_id, as_json)


def list_all(api: Api, as_json) -> None:
    """Print all workspaces."""
    entries = records_in_force(api, KIND, as_json)
    if as_json:
        print(json.dumps(entries, indent=1))
    else:
        print_workspaces([_parse(entry) for entry in entries])


def show(api: Api, name: str, as_json) -> None:
    """Print a workspace with the digests of its keys."""
    entries = records_in_force(api, KIND, as_json)
    workspace, _ = _find(entries, name)
    if as_json:
        print(json.dumps(_document(workspace), indent=1))
        return
    print_workspaces([workspace])
    for digest in sorted(workspace.key_digests):
        print(f"key {digest}")


def add_key(api: Api, name: str, change_id, as_json) -> None:
    """Generate a key, submit its digest and print the key once."""
    workspace, revision = _find(records_in_force(api, KIND, as_json), name)
    key = secrets.token_urlsafe(KEY_BYTES)
    digest = digest_key(key)
    changed = attrs.evolve(workspace, key_digests=workspace.key_digests | {digest})
    edits = [_replace_edit(changed, revision)]
    outcome = submit_edits(api, edits, change_id, as_json)
    if as_json:
        print(json.dumps({**outcome, "key": key, "digest": digest}, indent=1))
        return
    print_accepted(outcome, as_json)
    print(f"digest {digest}")
    print(f"key {key}")
    print("cairnferry: the key is shown only now", file=sys.stderr)


def revoke_key(api: Api, name: str, digest: str, change_id, as_json) -> None:
    """Revoke the key with a digest, or with the only digest that begins so."""
    workspace, revision = _find(records_in_force(api, KIND, as_json), name)
    found = [each for each in workspace.key_digests if each.startswith(digest)]
    if len(digest) < MIN_PREFIX:
        _exit(ExitCode.USAGE, f"name at least {MIN_PREFIX} characters of the digest")
    if len(found) != 1:
        _exit(
            ExitCode.CONFLICT,
            f"{len(found)} keys of workspace {name!r} have a digest that begins so",
        )
    changed = attrs.evolve(workspace, key_digests=workspace.key_digests - {*found})
    send_edits(api, [_replace_edit(changed, revision)], change_id, as_json)


def change(api: Api, name: str, fields: dict, change_id, as_json) -> None:
    """Change fields of a workspace other than its keys."""
    workspace, revision = _find(records_in_force(api, KIND, as_json), name)
    changed = attrs.evolve(workspace, **fields)
    send_edits(api, [_replace_edit(changed, revision)], change_id, as_json)


def _find(entries, name) -> tuple[Workspace, int]:
    entry = next((each for each in entries if each["name"] == name), None)
    if entry is None:
        _exit(ExitCode.CONFLICT, f"workspace {name!r} does not exist")
    return _parse(entry), entry["revision"]


def _parse(entry):
    parsed = parse_record(entry["record"])
    if parsed.is_error():
        # The daemon is of a later release.
        _exit(ExitCode.REFUSED, str(parsed.error))
    return parsed.ok


def _replace_edit(workspace, revision):
    return {
        "op": "replace",
        "record": _document(workspace),
        "expected_revision": revision,
    }


def _document(workspace: Workspace):
    """Return the record of a workspace in schema version 2."""
    spec = {"keyDigests": sorted(workspace.key_digests)}
    if workspace.rank is not None:
        spec["rank"] = workspace.rank
    if workspace.rate_per_s:
        spec["limit"] = {
            "ratePerSecond": workspace.rate_per_s,
            "burst": workspace.burst,
        }
    return {
        "schema": 2,
        "kind": KIND,
        "metadata": {"name": workspace.name},
        "spec": spec,
    }


def _exit(code, message) -> NoReturn:
    print(f"cairnferry: {message}", file=sys.stderr)
    sys.exit(code)
