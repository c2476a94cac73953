"""Schema version 2: nested, milliseconds, ratios, a field for each part."""

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


def _service(doc):
    spec = doc["spec"]
    return Service(
        name=doc["metadata"]["name"],
        deadline_ms=spec["deadlineMillis"],
        retry_ratio=spec.get("retryBudget", defaults.RETRY_RATIO),
        hedging=spec.get("hedging", {}).get("enabled", False),
        queue_limit=spec.get("queueLimit", defaults.QUEUE_LIMIT),
    )


def _target(doc):
    spec = doc["spec"]
    refusal = spec.get("refusal")
    return Target(
        name=doc["metadata"]["name"],
        service=spec["service"],
        zone=spec["zone"],
        host=spec["endpoint"]["host"],
        port=spec["endpoint"]["port"],
        slots=spec["slots"],
        lifecycle=Lifecycle(spec.get("lifecycle", Lifecycle.ACTIVE)),
        health_path=spec.get("health", {}).get("path", defaults.HEALTH_PATH),
        refusal=refusal
        and RefusalContract(refusal["status"], refusal["header"].lower()),
    )


def _route(doc):
    spec = doc["spec"]
    methods = spec.get("idempotentMethods", defaults.IDEMPOTENT_METHODS)
    return Route(
        name=doc["metadata"]["name"],
        path_prefix=spec["match"]["pathPrefix"],
        service=spec["service"],
        idempotent_methods=frozenset(methods),
        deadline_ms=spec.get("deadlineMillis"),
        priority=Priority(spec.get("priority", Priority.INTERACTIVE)),
        anonymous=spec.get("anonymous", False),
    )


def _zone(doc):
    return Zone(doc["metadata"]["name"], doc["spec"]["evacuated"])


def _workspace(doc):
    spec = doc["spec"]
    limit = spec.get("limit", {})
    return Workspace(
        name=doc["metadata"]["name"],
        key_digests=frozenset(spec["keyDigests"]),
        rank=spec.get("rank"),
        rate_per_s=limit.get("ratePerSecond", defaults.UNLIMITED),
        burst=limit.get("burst", defaults.UNLIMITED),
    )


CONVERTERS = {
    Kind.SERVICE: _service,
    Kind.TARGET: _target,
    Kind.ROUTE: _route,
    Kind.ZONE: _zone,
    Kind.WORKSPACE: _workspace,
}
