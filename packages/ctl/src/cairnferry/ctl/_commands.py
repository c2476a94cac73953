"""Implementation of the commands."""

import json
import sys
import time
import urllib.parse
import uuid

from cairnferry.ctl import _charts, _explain, _report, _sentences
from cairnferry.ctl._api import Api
from cairnferry.ctl._exits import ExitCode, fail
from cairnferry.ctl._files import read_records
from cairnferry.ctl._tables import (
    print_blocked,
    print_records,
    print_status,
    print_workspace_use,
)

POLL_S = 0.2


def load_files(paths: list[str]):
    """Read record files; print all errors and exit if there are any."""
    records = read_records(paths)
    if records.is_error():
        for fault in records.error:
            print(f"cairnferry: {fault}", file=sys.stderr)
        sys.exit(ExitCode.REFUSED)
    return records.ok


def submit(api: Api, paths, change_id, or_replace, as_json) -> None:
    """Submit new records as one atomic change."""
    records = load_files(paths)
    revisions = known_revisions(api, as_json) if or_replace else {}
    edits = []
    for record in records:
        revision = revisions.get((record.kind, record.name))
        if revision is None:
            edits.append({"op": "submit", "record": record.document})
        else:
            edits.append(_replace_edit(record, record.revision or revision))
    send_edits(api, edits, change_id, as_json)


def replace(api: Api, paths, change_id, as_json) -> None:
    """Replace records as one atomic change."""
    records = load_files(paths)
    revisions = known_revisions(api, as_json)
    edits = []
    for record in records:
        revision = record.revision or revisions.get((record.kind, record.name))
        if revision is None:
            print(
                f"cairnferry: {record.path}: {record.kind}/{record.name} does not "
                "exist; submit it",
                file=sys.stderr,
            )
            sys.exit(ExitCode.CONFLICT)
        edits.append(_replace_edit(record, revision))
    send_edits(api, edits, change_id, as_json)


def withdraw(api: Api, names, change_id, as_json) -> None:
    """Withdraw records, named as kind/name, as one atomic change."""
    revisions = known_revisions(api, as_json)
    edits = []
    for text in names:
        kind, _, name = text.partition("/")
        revision = revisions.get((kind, name))
        if revision is None:
            print(f"cairnferry: {text} does not exist", file=sys.stderr)
            sys.exit(ExitCode.CONFLICT)
        edit = {"op": "withdraw", "kind": kind, "name": name}
        edits.append({**edit, "expected_revision": revision})
    send_edits(api, edits, change_id, as_json)


def list_records(api: Api, kind, as_json) -> None:
    """Print the records in force."""
    path = f"/v1/records?kind={kind}" if kind else "/v1/records"
    document = _get(api, path, as_json)
    if as_json:
        print(json.dumps(document, indent=1))
    else:
        print_records(document)


def show(api: Api, text, as_json) -> None:
    """Print one record in the format that `replace` reads."""
    kind, _, name = text.partition("/")
    print(json.dumps(_get(api, f"/v1/records/{kind}/{name}", as_json), indent=1))


def diff(api: Api, paths, as_json) -> None:
    """Compare record files with the records in force."""
    records = load_files(paths)
    document = _get(api, "/v1/records", as_json)
    in_force = {(r["kind"], r["name"]): r for r in document["records"]}
    differences = []
    for record in records:
        entry = in_force.get((record.kind, record.name))
        if entry is None:
            state = "new"
        elif entry["record"] == record.document:
            state = "same"
        else:
            state = "different"
        differences.append({"record": f"{record.kind}/{record.name}", "state": state})
    if as_json:
        print(json.dumps(differences, indent=1))
        return
    for difference in differences:
        print(f"{difference['state']:10} {difference['record']}")


def show_change(api: Api, change_id, as_json) -> None:
    """Print whether a change was accepted."""
    result = api.get(f"/v1/changes/{change_id}")
    if result.is_error():
        fail(result.error, change_id, as_json)
    document = result.ok
    if as_json:
        print(json.dumps(document, indent=1))
        return
    if document["revision"] is None:
        print(f"{change_id}: not accepted so far")
    else:
        print(f"{change_id}: accepted at revision {document['revision']}")


def status(api: Api, wait_for, timeout, as_json) -> None:
    """Print all instances; wait until a revision is in force at each live instance."""
    deadline = time.monotonic() + timeout
    while True:
        document = _get(api, "/v1/status", as_json)
        lagging = _lagging_instances(document, wait_for)
        if not lagging or time.monotonic() >= deadline:
            break
        if not as_json:
            names = ", ".join(lagging)
            print(f"revision {wait_for} is not yet in force at: {names}")
        time.sleep(POLL_S)
    if as_json:
        print(json.dumps(document, indent=1))
    else:
        print_status(document)
    if lagging:
        sys.exit(ExitCode.UNAVAILABLE)


def dump(api: Api) -> None:
    """Print the state of one daemon."""
    print(json.dumps(_get(api, "/v1/dump", True), indent=1))


def drain(api: Api, as_json) -> None:
    """Drain one daemon."""
    result = api.post("/v1/drain", {})
    if result.is_error():
        fail(result.error, None, as_json)
    print("leaving")


def list_blocked(api: Api, as_json) -> None:
    """Print the requests that are blocked."""
    document = _get(api, "/v1/blocked", as_json)
    if as_json:
        print(json.dumps(document, indent=1))
    else:
        print_blocked(document)


def unblock(api: Api, content: str, as_json) -> None:
    """Unblock a request at all daemons."""
    result = api.post(f"/v1/blocked/{urllib.parse.quote(content, safe='')}/lift", {})
    if result.is_error():
        fail(result.error, None, as_json)
    print(f"{content} is unblocked")


def _lagging_instances(document, revision):
    """Return the live instances at which a revision is not known to be in force."""
    if revision is None:
        return []
    lagging = []
    if document["revision"] < revision:
        lagging.append(document["instance"])
    for member in document["members"]:
        if member["state"] != "alive" or member["name"] == document["instance"]:
            continue
        if (member["revision"] or 0) < revision:
            lagging.append(member["name"])
    return lagging


def _replace_edit(record, revision):
    return {
        "op": "replace",
        "record": record.document,
        "expected_revision": revision,
    }


def known_revisions(api: Api, as_json) -> dict[tuple[str, str], int]:
    """Return the revisions of the records in force by kind and name."""
    document = _get(api, "/v1/records", as_json)
    return {(r["kind"], r["name"]): r["revision"] for r in document["records"]}


def _get(api, path, as_json):
    result = api.get(path)
    if result.is_error():
        fail(result.error, None, as_json)
    return result.ok


def records_in_force(api: Api, kind: str, as_json) -> list[dict]:
    """Return the records of a kind that are in force."""
    return _get(api, f"/v1/records?kind={kind}", as_json)["records"]


def submit_edits(api: Api, edits, change_id, as_json) -> dict:
    """Send edits as one atomic change; return the outcome if it was accepted."""
    change_id = change_id or uuid.uuid4().hex
    result = api.post("/v1/changes", {"change_id": change_id, "edits": edits})
    if result.is_error():
        fail(result.error, change_id, as_json)
    return result.ok


def print_accepted(outcome: dict, as_json) -> None:
    """Print the outcome of an accepted change."""
    if as_json:
        print(json.dumps(outcome, indent=1))
    else:
        revision, change_id = outcome["revision"], outcome["change_id"]
        print(f"accepted at revision {revision} (change {change_id})")


def send_edits(api: Api, edits, change_id, as_json) -> None:
    """Send edits as one atomic change, and print the accepted revision."""
    print_accepted(submit_edits(api, edits, change_id, as_json), as_json)


def list_workspaces(api: Api, as_json) -> None:
    """Print the limited workspaces and their use at one daemon."""
    document = _get(api, "/v1/workspaces", as_json)
    if as_json:
        print(json.dumps(document, indent=1))
    else:
        print_workspace_use(document)


def explain(request_id: str, paths: list[str], before_s: float) -> None:
    """Print the log lines that explain a request, from files or standard input."""
    log = _read_log(paths)
    lines = _explain.explain(log, request_id, before_s)
    if not lines:
        print(
            f"cairnferry: no line on {request_id}: only a sample of the successful "
            "requests is logged; check left_out of the lines around its time",
            file=sys.stderr,
        )
        sys.exit(ExitCode.REFUSED)
    sentences = [
        *_sentences.explain_refusals(lines),
        *_sentences.explain_cuts(lines),
        *_explain.sentences(lines),
    ]
    print("\n".join([*_explain.format_lines(lines), *sentences]))


def report(output: str, paths: list[str]) -> None:
    """Write a page of charts from log files or standard input."""
    timeline = _report.build_timeline(_read_log(paths))
    if timeline is None:
        print("cairnferry: the input has no log lines of an instance", file=sys.stderr)
        sys.exit(ExitCode.REFUSED)
    try:
        with open(output, "w", encoding="utf-8") as file:
            file.write(_charts.draw(timeline))
    except OSError as exc:
        print(f"cairnferry: {output}: {exc.strerror}", file=sys.stderr)
        sys.exit(ExitCode.USAGE)


def _read_log(paths):
    log = _explain.read_log(_lines_of(paths))
    if log.unreadable:
        print(f"cairnferry: {log.unreadable} unreadable lines ignored", file=sys.stderr)
    return log


def _lines_of(paths):
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as exc:
            print(f"cairnferry: {path}: {exc.strerror}", file=sys.stderr)
            sys.exit(ExitCode.USAGE)
