"""Commands that evacuate and restore an availability zone."""

import sys

from cairnferry.ctl._api import Api
from cairnferry.ctl._commands import known_revisions, records_in_force, send_edits
from cairnferry.ctl._exits import ExitCode

KIND = "zone"


def evacuate(api: Api, zone: str, change_id, as_json) -> None:
    """Stop sending requests from all daemons to the targets of a zone."""
    _check_name(api, zone, as_json)
    revision = known_revisions(api, as_json).get((KIND, zone))
    record = {
        "schema": 2,
        "kind": KIND,
        "metadata": {"name": zone},
        "spec": {"evacuated": True},
    }
    if revision is None:
        edit = {"op": "submit", "record": record}
    else:
        edit = {"op": "replace", "record": record, "expected_revision": revision}
    send_edits(api, [edit], change_id, as_json)


def restore(api: Api, zone: str, change_id, as_json) -> None:
    """Resume sending requests to the targets of a zone."""
    revision = known_revisions(api, as_json).get((KIND, zone))
    if revision is None:
        print(f"cairnferry: zone {zone!r} is not evacuated", file=sys.stderr)
        sys.exit(ExitCode.CONFLICT)
    edit = {"op": "withdraw", "kind": KIND, "name": zone}
    send_edits(api, [{**edit, "expected_revision": revision}], change_id, as_json)


def _check_name(api, zone, as_json):
    """Exit if no target is in the zone, as its name is probably misspelt."""
    targets = records_in_force(api, "target", as_json)
    zones = {_zone_of(entry["record"]) for entry in targets}
    if zone in zones:
        return
    known = ", ".join(sorted(zones)) or "none"
    print(
        f"cairnferry: no target is in a zone {zone!r}; zones with targets: {known}",
        file=sys.stderr,
    )
    sys.exit(ExitCode.REFUSED)


def _zone_of(document):
    """Return the zone in a target's record of either schema version."""
    return document.get("spec", document)["zone"]
