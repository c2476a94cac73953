"""JSON Schema (draft 7) of each record kind in each schema version.

Version 1 is flat, counts in seconds and percent and writes lists and addresses
as text. Version 2 is nested, counts in milliseconds and shares of one and names
its parts. Both are in force side by side.
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
MAX_SLOTS = 10_000
MAX_DEADLINE_MS = 600_000
MAX_QUEUE = 100_000


def _text(pattern, description):
    """Make the schema of a text; the description is what a fault in it says."""
    return {"type": "string", "pattern": pattern, "description": description}


_NAME = _text(NAME_PATTERN, "must be a name of a-z, 0-9, '.' and '-'")
_PATH = _text(PATH_PATTERN, "must be a path that begins with '/'")
_HEADER = _text(HEADER_PATTERN, "must be the name of a header")
_STATUS = {"type": "integer", "minimum": 400, "maximum": 599}
_SLOTS = {"type": "integer", "minimum": 1, "maximum": MAX_SLOTS}
_QUEUE = {"type": "integer", "minimum": 0, "maximum": MAX_QUEUE}
_SECONDS = {
    "type": "number",
    "minimum": 0.001,
    "maximum": MAX_DEADLINE_MS / 1000,
}
_MILLISECONDS = {"type": "integer", "minimum": 1, "maximum": MAX_DEADLINE_MS}


def _closed(properties, optional=()):
    """Object schema that allows no other property."""
    required = [name for name in properties if name not in optional]
    return {
        "type": "object",
        "properties": properties,
        "required": required,
        "additionalProperties": False,
    }


def _version_1(kind, properties, optional):
    head = {"schema": {"const": 1}, "kind": {"const": str(kind)}, "name": _NAME}
    return _closed({**head, **properties}, optional)


def _version_2(kind, spec, optional):
    return _closed(
        {
            "schema": {"const": 2},
            "kind": {"const": str(kind)},
            "metadata": _closed({"name": _NAME}),
            "spec": _closed(spec, optional),
        }
    )


_SCHEMAS = {
    (1, Kind.SERVICE): _version_1(
        Kind.SERVICE,
        {
            "timeout_s": _SECONDS,
            "retry_percent": {"type": "number", "minimum": 0, "maximum": 100},
            "hedge": {"enum": ["yes", "no"]},
            "queue": _QUEUE,
        },
        optional=("retry_percent", "hedge", "queue"),
    ),
    (1, Kind.TARGET): _version_1(
        Kind.TARGET,
        {
            "service": _NAME,
            "zone": _NAME,
            "address": _text(
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
            "safe_methods": _text(
                r"^([A-Z]{1,16}(,[A-Z]{1,16})*)?\Z",
                "must be methods, separated by commas",
            ),
            "timeout_s": _SECONDS,
            "bulk": {"type": "boolean"},
        },
        optional=("safe_methods", "timeout_s", "bulk"),
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
            "hedging": _closed({"enabled": {"type": "boolean"}}),
            "queueLimit": _QUEUE,
        },
        optional=("retryBudget", "hedging", "queueLimit"),
    ),
    (2, Kind.TARGET): _version_2(
        Kind.TARGET,
        {
            "service": _NAME,
            "zone": _NAME,
            "endpoint": _closed(
                {
                    "host": _text(IPV4_PATTERN, "must be an IPv4 address"),
                    "port": {"type": "integer", "minimum": 1, "maximum": 65535},
                }
            ),
            "slots": _SLOTS,
            "lifecycle": {"enum": ["active", "draining"]},
            "health": _closed({"path": _PATH}),
            "refusal": _closed({"status": _STATUS, "header": _HEADER}),
        },
        optional=("lifecycle", "health", "refusal"),
    ),
    (2, Kind.ROUTE): _version_2(
        Kind.ROUTE,
        {
            "service": _NAME,
            "match": _closed({"pathPrefix": _PATH}),
            "idempotentMethods": {
                "type": "array",
                "items": _text(METHOD_PATTERN, "must be a method in capital letters"),
                "uniqueItems": True,
            },
            "deadlineMillis": _MILLISECONDS,
            "priority": {"enum": ["interactive", "background"]},
        },
        optional=("idempotentMethods", "deadlineMillis", "priority"),
    ),
}


@functools.cache
def validator(version: int, kind: Kind) -> Callable[[object], object]:
    """Give the function that checks a document of a schema version and kind.

    They are made when they are first needed: making all of them is a good part of a
    start, in which an instance that lost power serves nobody, and a daemon whose
    platform has its own format needs none.
    """
    return fastjsonschema.compile(_SCHEMAS[version, kind], use_default=False)


NAME_REGEX = re.compile(NAME_PATTERN)
