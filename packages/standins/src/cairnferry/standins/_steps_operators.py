"""Scenario steps of operators: single changes and concurrent changes."""

import collections
import json
import uuid

import gevent

from cairnferry.standins import _samples as samples
from cairnferry.standins._scenario_fault import ScenarioFault
from cairnferry.wire import Reply

CREATED = 201
CONFLICT = 409
UNKNOWN_SCHEMA = 3
SORT_KEY_DIGITS = 20


def submit_records(run, service, targets="", version="2", daemon=None, **settings):
    """Submit a service, its route "/SERVICE" and targets as one change."""
    documents = make_records(run.system, service, targets, version, settings)
    edits = [{"op": "submit", "record": document} for document in documents]
    run.revision = submit_accepted(run, edits, daemon)


def drain_target(run, name, daemon=None):
    """Replace a target's record by one that marks the target as draining."""
    entry = run.find_daemon(daemon).read("operators", f"/v1/records/target/{name}")
    document = entry["record"]
    if document["schema"] == 1:
        document["drain"] = True
    else:
        document["spec"]["lifecycle"] = "draining"
    run.revision = submit_accepted(
        run, [_replacement(document, entry["revision"])], daemon
    )


def replace_service(run, name, version="2", deadline_ms="2000", daemon=None):
    """Replace a service's record, in the given schema version."""
    entry = run.find_daemon(daemon).read("operators", f"/v1/records/service/{name}")
    document = _service(name, version, int(deadline_ms))
    run.revision = submit_accepted(
        run, [_replacement(document, entry["revision"])], daemon
    )


def expect_refusal(run, name, daemon, status):
    """Submit a replacement of a service's record and expect it to be refused.

    Raises
    ------
    ScenarioFault
        If the daemon does not respond, or responds with another HTTP status.
    """
    entry = run.find_daemon(daemon).read("operators", f"/v1/records/service/{name}")
    edits = [_replacement(_service(name, "2", 777), entry["revision"])]
    outcome = send_change(run.find_daemon(daemon), edits)
    if not isinstance(outcome, Reply) or outcome.status != int(status):
        raise ScenarioFault(f"change was not refused as expected: {outcome}")


def release_batch(run, name, targets="500", operators="4"):
    """Submit a batch of targets concurrently, by several operators at all daemons.

    Each operator submits its part of the targets, with the two schema versions
    alternating, and replaces the service's record at a revision that all operators
    read before. All parts must be accepted, and exactly one of the replacements; the
    others must get a conflict.

    Raises
    ------
    ScenarioFault
        If the responses differ from that.
    """
    daemons = [d for d in run.system.daemons.values() if d.alive]
    entry = daemons[0].read("operators", f"/v1/records/service/{name}")
    count = int(operators)
    tasks = []
    for index in range(count):
        process = daemons[index % len(daemons)]
        part = range(index, int(targets), count)
        edits = [_submission(_idle_target(name, number)) for number in part]
        tasks.append(gevent.spawn(send_change, process, edits))
        document = _service(name, "1" if index % 2 else "2", 1000 + index)
        replacement = [_replacement(document, entry["revision"])]
        tasks.append(gevent.spawn(send_change, process, replacement))
    outcomes = [task.get() for task in tasks]
    _check_release(outcomes[0::2], outcomes[1::2])
    revisions = [json.loads(o.body).get("revision") or 0 for o in outcomes]
    run.revision = max(revisions)


def _check_release(parts, replacements):
    statuses = [getattr(outcome, "status", None) for outcome in parts]
    if set(statuses) != {CREATED}:
        raise ScenarioFault(f"parts of the batch got the statuses {statuses}")
    statuses = collections.Counter(getattr(o, "status", None) for o in replacements)
    if statuses != {CREATED: 1, CONFLICT: len(replacements) - 1}:
        raise ScenarioFault(f"concurrent replacements got {dict(statuses)}")


def write_unknown_schema(run):
    """Append a change in schema version 3, of a newer release, to the change log."""
    revision = run.revision + 1
    document = {"schema": UNKNOWN_SCHEMA, "kind": "service", "name": "strange"}
    change = {"change_id": "strange", "edits": [_submission(document)]}
    sort_key = str(revision).zfill(SORT_KEY_DIGITS)
    rows = [
        _row("head", "-", revision, ""),
        _row("log", sort_key, revision, json.dumps([change])),
        _row("id/strange", "-", revision, ""),
    ]
    run.system.platform.read("http", "/_control", {"rows": rows})


def _row(pk, sk, version, body):
    return {
        "pk": {"S": pk},
        "sk": {"S": sk},
        "version": {"N": str(version)},
        "body": {"S": body},
    }


def submit_accepted(run, edits, daemon=None) -> int:
    """Submit a change that must be accepted, and return its revision.

    Raises
    ------
    ScenarioFault
        If it is not accepted.
    """
    outcome = send_change(run.find_daemon(daemon), edits)
    if getattr(outcome, "status", None) != CREATED:
        raise ScenarioFault(f"change was not accepted: {outcome}")
    return json.loads(outcome.body)["revision"]


def send_change(process, edits):
    """Submit a change to a daemon and return the outcome of the exchange."""
    change = {"change_id": uuid.uuid4().hex, "edits": edits}
    return process.call("operators", "POST", "/v1/changes", change)


def make_records(system, service, targets, version, settings) -> list[dict]:
    """Return records of a service, its route and its targets in one schema version.

    Parameters
    ----------
    system : LocalSystem
        System that runs the targets.
    service : str
        Name of the service; the route's path prefix is "/SERVICE".
    targets : str
        Names of targets, separated by commas.
    version : str
        "1", or any other text for schema version 2.
    settings : dict of str to str
        `hedging` (yes or no), `idempotent` (methods, separated by commas) and
        `deadline_ms` (milliseconds).
    """
    hedging = settings.get("hedging") == "yes"
    deadline_ms = int(settings.get("deadline_ms", 2000))
    idempotent = settings.get("idempotent", "GET").split(",")
    names = [name for name in targets.split(",") if name]
    selected = [system.targets[name] for name in names]
    make = _records_v1 if version == "1" else _records_v2
    return make(service, selected, hedging, deadline_ms, idempotent)


def _records_v1(service, targets, hedging, deadline_ms, idempotent):
    hedge = "yes" if hedging else "no"
    methods = ",".join(idempotent)
    documents = [
        samples.service_v1(service, deadline_ms / 1000, hedge=hedge),
        samples.route_v1(service, f"/{service}", service, safe_methods=methods),
    ]
    for target in targets:
        address = target.addresses["http"]
        documents.append(samples.target_v1(target.name, service, target.zone, address))
    return documents


def _records_v2(service, targets, hedging, deadline_ms, idempotent):
    documents = [
        samples.service_v2(service, deadline_ms, hedging={"enabled": hedging}),
        samples.route_v2(service, f"/{service}", service, idempotentMethods=idempotent),
    ]
    for target in targets:
        address = target.addresses["http"]
        documents.append(
            samples.target_v2(target.name, service, target.zone, address, slots=6)
        )
    return documents


def _service(name, version, deadline_ms):
    if version == "1":
        return samples.service_v1(name, deadline_ms / 1000)
    return samples.service_v2(name, deadline_ms)


def _idle_target(service, number):
    """Return the record of a draining target, which gets no requests."""
    name = f"idle-{number}"
    address = f"127.0.0.1:{1 + number}"
    if number % 2:
        return samples.target_v1(name, service, "z", address, drain=True)
    return samples.target_v2(name, service, "z", address, lifecycle="draining")


def _submission(document):
    return {"op": "submit", "record": document}


def _replacement(document, revision):
    return {"op": "replace", "record": document, "expected_revision": revision}


STEPS = {
    "records": submit_records,
    "drain": drain_target,
    "service": replace_service,
    "refused": expect_refusal,
    "release": release_batch,
    "strange": write_unknown_schema,
}
