"""The operator's manifest."""

import json

from ._callers import HOST

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}


def rule(prefix, service, kind, timeout_ms, **options):
    """Return a route to a service, or to several by weight if it is a dict."""
    aim_ms = options.get("aim_ms", timeout_ms // 3)
    to = {"service": service}
    if isinstance(service, dict):
        parts = [{"service": name, "weight": w} for name, w in service.items()]
        to = {"backends": parts}
    return {
        "name": options.get("name", "r-" + prefix.strip("/")),
        "route_type": kind,
        "target_latency": f"{aim_ms}ms",
        "priority": options.get("priority", 1),
        "match": {"prefix": prefix},
        "action": {
            **to,
            "timeout": f"{timeout_ms}ms",
            "max_attempts": options.get("attempts", 2),
        },
    }


def manifest(version, rules, services) -> bytes:
    """Return a manifest; `rules` are those of one host, or of several in a dict."""
    by_host = rules if isinstance(rules, dict) else {HOST: rules}
    clusters = [
        {
            "name": name,
            "health_path": "/health",
            "max_conns": 240,
            "protocol": "h1",
            "tls": False,
        }
        for name in services
    ]
    return json.dumps(
        {
            "version": f"r{version}",
            "limits": LIMITS,
            "listeners": [
                {"host": host, "rules": found} for host, found in by_host.items()
            ],
            "clusters": clusters,
        }
    ).encode()
