"""Evacuation of availability zones by rows in the table of the rules."""

from collections.abc import Callable

import attrs

from cairnferry.coordination import Row, version_of

# Name of the table of evacuations in messages between daemons.
EVACUATIONS = "evacuations"


@attrs.frozen
class Evacuations:
    """Puts the evacuation of zones in force.

    Parameters
    ----------
    zone_of : callable
        Returns the zone that a row evacuates, given the row's key; None for other rows.
    install : callable
        Called with all evacuated zones and the version of the newest of their rows.
    """

    zone_of: Callable[[str], str | None]
    install: Callable[[frozenset[str], int], None]

    def apply_rows(self, rows: dict[str, Row]) -> None:
        """Apply all rows, by key."""
        versions = {self.zone_of(key): row.version for key, row in rows.items()}
        versions.pop(None, None)
        newest = version_of(max(versions.values(), default=0))
        self.install(frozenset(versions), newest)
