"""Steps of operators: changes, alone and racing."""

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
SORT_WIDTH = 20


def records(run, service, targets="", version="2", daemon=None, **settings):
    """Submit a service, its route "/SERVICE" and targets as one change."""
    documents = make_records(run.system, service, targets, version, settings)
    edits = [{"op": "submit", "record": document} for document in documents]
    run.revision = accepted(run, edits, daemon)


def drain(run, name, daemon=None):
    """Replace a target's record by one that drains."""
    entry = run.daemon_named(daemon).read("operators", f"/v1/records/target/{name}")
    document = entry["record"]
    if document["schema"] == 1:
        document["drain"] = True
    else:
        document["spec"]["lifecycle"] = "draining"
    run.revision = accepted(run, [_replacement(document, entry["revision"])], daemon)


def service(run, name, version="2", deadline_ms="2000", daemon=None):
    """Replace a service's record, in either schema version."""
    entry = run.daemon_named(daemon).read("operators", f"/v1/records/service/{name}")
    document = _service(name, version, int(deadline_ms))
    run.revision = accepted(run, [_replacement(document, entry["revision"])], daemon)


def refused(run, name, daemon, status):
    """Replace a service's record and expect an HTTP status instead of acceptance.

    The status 200 stands for any answer but acceptance.
    """
    entry = run.daemon_named(daemon).read("operators", f"/v1/records/service/{name}")
    edits = [_replacement(_service(name, "2", 777), entry["revision"])]
    outcome = send(run.daemon_named(daemon), edits)
    if not isinstance(outcome, Reply) or outcome.status != int(status):
        raise ScenarioFault(f"answered {outcome}")


def release(run, name, targets="500", operators="4"):
    """Release a frozen batch at once, from several operators at all daemons.

    Each operator submits its part of the targets, half of them in each schema
    version, and replaces the service's record at the revision that all had read.
    All parts must be accepted, and exactly one of the replacements.
    """
    daemons = [d for d in run.system.daemons.values() if d.alive]
    entry = daemons[0].read("operators", f"/v1/records/service/{name}")
    count = int(operators)
    jobs = []
    for index in range(count):
        process = daemons[index % len(daemons)]
        part = range(index, int(targets), count)
        edits = [_submission(_idle_target(name, number)) for number in part]
        jobs.append(gevent.spawn(send, process, edits))
        document = _service(name, "1" if index % 2 else "2", 1000 + index)
        replacement = [_replacement(document, entry["revision"])]
        jobs.append(gevent.spawn(send, process, replacement))
    outcomes = [job.get() for job in jobs]
    _judge_release(outcomes[0::2], outcomes[1::2])
    revisions = [json.loads(o.body).get("revision") or 0 for o in outcomes]
    run.revision = max(revisions)


def _judge_release(parts, replacements):
    statuses = [getattr(outcome, "status", None) for outcome in parts]
    if set(statuses) != {CREATED}:
        raise ScenarioFault(f"parts of the batch were answered {statuses}")
    statuses = collections.Counter(getattr(o, "status", None) for o in replacements)
    if statuses != {CREATED: 1, CONFLICT: len(replacements) - 1}:
        raise ScenarioFault(f"racing replacements were answered {dict(statuses)}")


def strange(run):
    """Write a change of a newer release into the log: schema version 3."""
    revision = run.revision + 1
    document = {"schema": UNKNOWN_SCHEMA, "kind": "service", "name": "strange"}
    change = {"change_id": "strange", "edits": [_submission(document)]}
    sort_key = str(revision).zfill(SORT_WIDTH)
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


def accepted(run, edits, daemon=None) -> int:
    """Send a change that must be accepted; give its revision."""
    outcome = send(run.daemon_named(daemon), edits)
    if getattr(outcome, "status", None) != CREATED:
        raise ScenarioFault(f"not accepted: {outcome}")
    return json.loads(outcome.body)["revision"]


def send(process, edits):
    """Send a change to a daemon; give the outcome of the exchange."""
    change = {"change_id": uuid.uuid4().hex, "edits": edits}
    return process.call("operators", "POST", "/v1/changes", change)


def make_records(system, service, targets, version, settings) -> list[dict]:
    """Make a service, its route and its targets in one schema version.

    Settings are `hedging=yes`, `idempotent=GET,PUT` and `deadline_ms=N`.
    """
    hedging = settings.get("hedging") == "yes"
    deadline_ms = int(settings.get("deadline_ms", 2000))
    idempotent = settings.get("idempotent", "GET").split(",")
    names = [name for name in targets.split(",") if name]
    chosen = [system.targets[name] for name in names]
    make = _records_v1 if version == "1" else _records_v2
    return make(service, chosen, hedging, deadline_ms, idempotent)


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
    """Make a target that drains, so that no request goes to it."""
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
    "records": records,
    "drain": drain,
    "service": service,
    "refused": refused,
    "release": release,
    "strange": strange,
}
