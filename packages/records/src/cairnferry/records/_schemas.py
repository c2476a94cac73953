"""JSON Schema (draft 7) of each record kind in each schema version.

Version 1 is flat, uses seconds and percent, and encodes lists and addresses as strings.
Version 2 is nested, uses milliseconds and ratios, and has a field for each part. Both
versions are supported at the same time.
"""

import functools
import re
from collections.abc import Callable

import fastjsonschema

from cairnferry.records._model import Kind

NAME_PATTERN = r"^[a-z0-9][a-z0-9.-]{0,62}\Z"
PATH_PATTERN = r"^/[!-~]*\Z"
IPV4_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}\Z"
HEADER_PATTERN = r"^[A-Za-z0-9-]{1,64}\Z"
METHOD_PATTERN = r"^[A-Z]{1,16}\Z"
DIGEST_PATTERN = r"[0-9a-f]{64}"
MAX_SLOTS = 10_000
MAX_DEADLINE_MS = 600_000
MAX_QUEUE_LIMIT = 100_000
MAX_RANK = 1000
MAX_RATE_PER_S = 10_000_000


def _string_schema(pattern, description):
    """Return the schema of a string; the description is its error message."""
    return {"type": "string", "pattern": pattern, "description": description}


_NAME = _string_schema(NAME_PATTERN, "must be a name of a-z, 0-9, '.' and '-'")
_PATH = _string_schema(PATH_PATTERN, "must be a path that begins with '/'")
_HEADER = _string_schema(HEADER_PATTERN, "must be the name of a header")
_STATUS = {"type": "integer", "minimum": 400, "maximum": 599}
_SLOTS = {"type": "integer", "minimum": 1, "maximum": MAX_SLOTS}
_QUEUE_LIMIT = {"type": "integer", "minimum": 0, "maximum": MAX_QUEUE_LIMIT}
_SECONDS = {
    "type": "number",
    "minimum": 0.001,
    "maximum": MAX_DEADLINE_MS / 1000,
}
_MILLISECONDS = {"type": "integer", "minimum": 1, "maximum": MAX_DEADLINE_MS}
_RANK = {"type": "integer", "minimum": 0, "maximum": MAX_RANK}
_RATE = {"type": "number", "minimum": 0, "maximum": MAX_RATE_PER_S}


def _object_schema(properties, optional=()):
    """Return the schema of an object without additional properties."""
    required = [name for name in properties if name not in optional]
    return {
        "type": "object",
        "properties": properties,
        "required": required,
        "additionalProperties": False,
    }


def _version_1(kind, properties, optional):
    common = {"schema": {"const": 1}, "kind": {"const": str(kind)}, "name": _NAME}
    return _object_schema({**common, **properties}, optional)


def _version_2(kind, spec, optional):
    return _object_schema(
        {
            "schema": {"const": 2},
            "kind": {"const": str(kind)},
            "metadata": _object_schema({"name": _NAME}),
            "spec": _object_schema(spec, optional),
        }
    )


_SCHEMAS = {
    (1, Kind.SERVICE): _version_1(
        Kind.SERVICE,
        {
            "timeout_s": _SECONDS,
            "retry_percent": {"type": "number", "minimum": 0, "maximum": 100},
            "hedge": {"enum": ["yes", "no"]},
            "queue": _QUEUE_LIMIT,
        },
        optional=("retry_percent", "hedge", "queue"),
    ),
    (1, Kind.TARGET): _version_1(
        Kind.TARGET,
        {
            "service": _NAME,
            "zone": _NAME,
            "address": _string_schema(
                r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}\Z",
                "must be an IPv4 address and a port",
            ),
            "slots": _SLOTS,
            "drain": {"type": "boolean"},
            "health": _PATH,
            "shed_status": _STATUS,
            "shed_header": _HEADER,
        },
        optional=("drain", "health", "shed_status", "shed_header"),
    ),
    (1, Kind.ROUTE): _version_1(
        Kind.ROUTE,
        {
            "service": _NAME,
            "path": _PATH,
            "safe_methods": _string_schema(
                r"^([A-Z]{1,16}(,[A-Z]{1,16})*)?\Z",
                "must be methods, separated by commas",
            ),
            "timeout_s": _SECONDS,
            "bulk": {"type": "boolean"},
            "anonymous": {"type": "boolean"},
        },
        optional=("safe_methods", "timeout_s", "bulk", "anonymous"),
    ),
    (1, Kind.ZONE): _version_1(
        Kind.ZONE, {"evacuated": {"type": "boolean"}}, optional=()
    ),
    (2, Kind.ZONE): _version_2(
        Kind.ZONE, {"evacuated": {"type": "boolean"}}, optional=()
    ),
    (2, Kind.SERVICE): _version_2(
        Kind.SERVICE,
        {
            "deadlineMillis": _MILLISECONDS,
            "retryBudget": {"type": "number", "minimum": 0, "maximum": 1},
            "hedging": _object_schema({"enabled": {"type": "boolean"}}),
            "queueLimit": _QUEUE_LIMIT,
        },
        optional=("retryBudget", "hedging", "queueLimit"),
    ),
    (2, Kind.TARGET): _version_2(
        Kind.TARGET,
        {
            "service": _NAME,
            "zone": _NAME,
            "endpoint": _object_schema(
                {
                    "host": _string_schema(IPV4_PATTERN, "must be an IPv4 address"),
                    "port": {"type": "integer", "minimum": 1, "maximum": 65535},
                }
            ),
            "slots": _SLOTS,
            "lifecycle": {"enum": ["active", "draining"]},
            "health": _object_schema({"path": _PATH}),
            "refusal": _object_schema({"status": _STATUS, "header": _HEADER}),
        },
        optional=("lifecycle", "health", "refusal"),
    ),
    (2, Kind.ROUTE): _version_2(
        Kind.ROUTE,
        {
            "service": _NAME,
            "match": _object_schema({"pathPrefix": _PATH}),
            "idempotentMethods": {
                "type": "array",
                "items": _string_schema(
                    METHOD_PATTERN, "must be a method in capital letters"
                ),
                "uniqueItems": True,
            },
            "deadlineMillis": _MILLISECONDS,
            "priority": {"enum": ["interactive", "background"]},
            "anonymous": {"type": "boolean"},
        },
        optional=("idempotentMethods", "deadlineMillis", "priority", "anonymous"),
    ),
    (1, Kind.WORKSPACE): _version_1(
        Kind.WORKSPACE,
        {
            "key_digests": _string_schema(
                rf"^({DIGEST_PATTERN}(,{DIGEST_PATTERN})*)?\Z",
                "must be digests (SHA-256, hexadecimal), separated by commas",
            ),
            "rank": _RANK,
            "rate_per_s": _RATE,
            "burst": _RATE,
        },
        optional=("rank", "rate_per_s", "burst"),
    ),
    (2, Kind.WORKSPACE): _version_2(
        Kind.WORKSPACE,
        {
            "keyDigests": {
                "type": "array",
                "items": _string_schema(
                    rf"^{DIGEST_PATTERN}\Z", "must be a digest (SHA-256, hexadecimal)"
                ),
                "uniqueItems": True,
            },
            "rank": _RANK,
            "limit": _object_schema({"ratePerSecond": _RATE, "burst": _RATE}),
        },
        optional=("rank", "limit"),
    ),
}


@functools.cache
def validator(version: int, kind: Kind) -> Callable[[object], object]:
    """Return the validator of documents of a schema version and kind.

    Validators are compiled at first use. Compiling all of them takes a considerable
    part of the start, during which an instance that lost power serves no requests. A
    daemon on a platform with its own format needs none of them.
    """
    return fastjsonschema.compile(_SCHEMAS[version, kind], use_default=False)


NAME_REGEX = re.compile(NAME_PATTERN)
