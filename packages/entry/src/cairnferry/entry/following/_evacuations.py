"""Availability zones that operators evacuate, by rows beside the rules."""

from collections.abc import Callable

import attrs

from cairnferry.coordination import Row, version_of

# What the table of such rows is called among daemons.
EVACUATIONS = "evacuations"


@attrs.frozen
class Evacuations:
    """Brings the evacuated zones into force.

    Parameters
    ----------
    zone_of : callable
        Gives the zone that a row evacuates, by its key; None if it is none of these.
    install : callable
        Called with all evacuated zones, and the version of the newest of their rows.
    """

    zone_of: Callable[[str], str | None]
    install: Callable[[frozenset[str], int], None]

    def apply_rows(self, rows: dict[str, Row]) -> None:
        """Take in all rows, by key."""
        versions = {self.zone_of(key): row.version for key, row in rows.items()}
        versions.pop(None, None)
        newest = version_of(max(versions.values(), default=0))
        self.install(frozenset(versions), newest)
