"""Schema version 1: flat, seconds, percent, lists and addresses as strings."""

from cairnferry.records import _defaults as defaults
from cairnferry.records._model import (
    Kind,
    Lifecycle,
    Priority,
    RefusalContract,
    Route,
    Service,
    Target,
    Workspace,
    Zone,
)

MS_PER_S = 1000
PERCENT = 100


def _service(doc):
    return Service(
        name=doc["name"],
        deadline_ms=_milliseconds(doc["timeout_s"]),
        retry_ratio=doc.get("retry_percent", defaults.RETRY_RATIO * PERCENT) / PERCENT,
        hedging=doc.get("hedge", "no") == "yes",
        queue_limit=doc.get("queue", defaults.QUEUE_LIMIT),
    )


def _target(doc):
    host, _, port = doc["address"].partition(":")
    draining = doc.get("drain", False)
    return Target(
        name=doc["name"],
        service=doc["service"],
        zone=doc["zone"],
        host=host,
        port=int(port),
        slots=doc["slots"],
        lifecycle=Lifecycle.DRAINING if draining else Lifecycle.ACTIVE,
        health_path=doc.get("health", defaults.HEALTH_PATH),
        refusal=_refusal(doc),
    )


def _refusal(doc):
    if "shed_header" not in doc:
        return None
    status = doc.get("shed_status", defaults.REFUSAL_STATUS)
    return RefusalContract(status, doc["shed_header"].lower())


def _route(doc):
    methods = doc.get("safe_methods")
    idempotent = defaults.IDEMPOTENT_METHODS
    if methods is not None:
        idempotent = frozenset(methods.split(",")) - {""}
    timeout = doc.get("timeout_s")
    return Route(
        name=doc["name"],
        path_prefix=doc["path"],
        service=doc["service"],
        idempotent_methods=idempotent,
        deadline_ms=None if timeout is None else _milliseconds(timeout),
        priority=Priority.BACKGROUND if doc.get("bulk") else Priority.INTERACTIVE,
        anonymous=doc.get("anonymous", False),
    )


def _zone(doc):
    return Zone(doc["name"], doc["evacuated"])


def _workspace(doc):
    return Workspace(
        name=doc["name"],
        key_digests=frozenset(doc["key_digests"].split(",")) - {""},
        rank=doc.get("rank"),
        rate_per_s=doc.get("rate_per_s", defaults.UNLIMITED),
        burst=doc.get("burst", defaults.UNLIMITED),
    )


def _milliseconds(seconds):
    return max(1, round(seconds * MS_PER_S))


CONVERTERS = {
    Kind.SERVICE: _service,
    Kind.TARGET: _target,
    Kind.ROUTE: _route,
    Kind.ZONE: _zone,
    Kind.WORKSPACE: _workspace,
}
