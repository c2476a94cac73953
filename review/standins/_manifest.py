"""Manifests as the operator writes them, and the route that the pages select."""


def rule(prefix: str, kind: str, service: str, **action) -> dict:
    """Return a rule of a manifest.

    Parameters
    ----------
    prefix : str
        Prefix of the path; begins and ends with a slash.
    kind : str
        "safe" or "unsafe".
    service : str
        Service that the requests go to; not used if `action` has `backends`.
    **action
        Further fields of the action, or other values of them.
    """
    fields = {"timeout": "3000ms", "max_attempts": 2, **action}
    if "backends" not in fields:
        fields["service"] = service
    return {
        "name": "r" + prefix.strip("/").replace("/", "-"),
        "route_type": kind,
        "target_latency": "1000ms",
        "priority": 1,
        "match": {"prefix": prefix},
        "action": fields,
    }


def manifest(version: int, listeners: dict[str, list[dict]], services) -> dict:
    """Return a manifest.

    Parameters
    ----------
    version : int
        Number of the version.
    listeners : dict of str to list of dict
        Rules by host.
    services : iterable of str
        Names of the services.
    """
    return {
        "version": f"r{version}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "listeners": [
            {"host": host, "rules": rules} for host, rules in listeners.items()
        ],
        "clusters": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 240,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
    }


def service_for(rules: list[dict], path: str) -> dict | None:
    """Return the rule that the pages select for a path; None if there is none.

    It is the rule with the longest prefix that begins the path.
    """
    matching = [each for each in rules if path.startswith(each["match"]["prefix"])]
    return max(matching, key=lambda each: len(each["match"]["prefix"]), default=None)
