"""Sample records in both schema versions."""

import hashlib

from cairnferry.standins._target import REFUSAL_HEADER

REFUSAL_STATUS = 503


def service_v1(name, timeout_s=1.0, **fields) -> dict:
    """Return the record of a service in schema version 1."""
    document = {"schema": 1, "kind": "service", "name": name, "timeout_s": timeout_s}
    return document | fields


def service_v2(name, deadline_ms=1000, **spec) -> dict:
    """Return the record of a service in schema version 2."""
    return {
        "schema": 2,
        "kind": "service",
        "metadata": {"name": name},
        "spec": {"deadlineMillis": deadline_ms} | spec,
    }


def target_v1(name, service, zone, address, slots=6, **fields) -> dict:
    """Return the record of a target in schema version 1, with a refusal contract."""
    document = {
        "schema": 1,
        "kind": "target",
        "name": name,
        "service": service,
        "zone": zone,
        "address": address,
        "slots": slots,
        "shed_status": REFUSAL_STATUS,
        "shed_header": REFUSAL_HEADER,
    }
    return document | fields


def target_v2(name, service, zone, address, slots=4, **spec) -> dict:
    """Return the record of a target in schema version 2, with a refusal contract."""
    host, _, port = address.partition(":")
    return {
        "schema": 2,
        "kind": "target",
        "metadata": {"name": name},
        "spec": {
            "service": service,
            "zone": zone,
            "endpoint": {"host": host, "port": int(port)},
            "slots": slots,
            "refusal": {"status": REFUSAL_STATUS, "header": REFUSAL_HEADER},
        }
        | spec,
    }


def route_v1(name, path, service, **fields) -> dict:
    """Return the record of a route in schema version 1."""
    document = {
        "schema": 1,
        "kind": "route",
        "name": name,
        "path": path,
        "service": service,
    }
    return document | fields


def route_v2(name, path, service, **spec) -> dict:
    """Return the record of a route in schema version 2."""
    return {
        "schema": 2,
        "kind": "route",
        "metadata": {"name": name},
        "spec": {"match": {"pathPrefix": path}, "service": service} | spec,
    }


def workspace_v1(name, *keys, **fields) -> dict:
    """Return the record of a workspace with API keys in schema version 1."""
    document = {
        "schema": 1,
        "kind": "workspace",
        "name": name,
        "key_digests": ",".join(map(_digest, keys)),
    }
    return document | fields


def workspace_v2(name, *keys, **spec) -> dict:
    """Return the record of a workspace with API keys in schema version 2."""
    return {
        "schema": 2,
        "kind": "workspace",
        "metadata": {"name": name},
        "spec": {"keyDigests": [_digest(key) for key in keys]} | spec,
    }


def _digest(key):
    return hashlib.sha256(key.encode()).hexdigest()
