"""Human-readable tables."""

from rich.console import Console
from rich.table import Table

from cairnferry.records import Workspace

WIDTH = 110


def print_records(document: dict) -> None:
    """Print the records in force."""
    table = _table("kind", "name", "revision", "schema")
    for record in document["records"]:
        table.add_row(
            record["kind"],
            record["name"],
            str(record["revision"]),
            str(record["schema"]),
        )
    _print(table)
    print(f"revision {document['revision']}")


def print_status(document: dict) -> None:
    """Print all instances as known to one of them."""
    table = _table("instance", "zone", "state", "revision", "callers")
    for member in document["members"]:
        revision = member["revision"]
        if member["name"] == document["instance"]:
            revision = document["revision"]
        table.add_row(
            member["name"],
            member["zone"],
            member["state"],
            "?" if revision is None else str(revision),
            member["callers"],
        )
    _print(table)
    age = document["confirmed_head_age_s"]
    shown = "never" if age is None else f"{age:.1f} s ago"
    print(f"seen by {document['instance']}; head confirmed {shown}")
    if document.get("evacuated"):
        print(f"evacuated zones: {', '.join(document['evacuated'])}")
    if document["behind"]:
        print(f"this instance is behind: {document['behind']}")


def print_blocked(document: dict) -> None:
    """Print the requests that are blocked."""
    table = _table("content", "caller", "since", "trials", "next trial")
    for block in document["blocked"]:
        table.add_row(
            block["content"],
            block["scope"],
            f"{block['since_s']:.0f} s ago",
            str(block["trials"]),
            f"in {block['next_trial_s']:.0f} s",
        )
    _print(table)


def print_workspaces(workspaces: list[Workspace]) -> None:
    """Print workspaces without the digests of their keys."""
    table = _table("workspace", "keys", "rank", "requests/s", "burst")
    for each in workspaces:
        is_limited = each.rate_per_s > 0
        table.add_row(
            each.name,
            str(len(each.key_digests)),
            "of the route" if each.rank is None else str(each.rank),
            f"{each.rate_per_s:g}" if is_limited else "unlimited",
            f"{each.burst:g}" if is_limited else "-",
        )
    _print(table)


def print_workspace_use(document: dict) -> None:
    """Print the limited workspaces and their use at one daemon."""
    table = _table("workspace", "limit", "burst", "run", "refused", "owner", "age")
    for row in document["workspaces"]:
        requests = row["requests"]
        run = requests.get("admitted", 0) + requests.get("admitted-unverified", 0)
        refused = requests.get("over-limit", 0) + requests.get("unverified", 0)
        age = row["age_s"]
        table.add_row(
            row["workspace"],
            f"{row['rate_per_s']:g}/s",
            f"{row['burst']:g}",
            str(run),
            str(refused),
            row["owner"] or "none",
            "-" if age is None else f"{age:.1f} s",
        )
    _print(table)


def _table(*columns):
    table = Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(column)
    return table


def _print(table):
    Console(width=WIDTH, highlight=False).print(table)
