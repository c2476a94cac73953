"""Two separate copies of the rows of one table."""

from collections.abc import Callable

import attrs

from cairnferry.coordination import Batch, Hold, VersionSpan
from cairnferry.entry.following._table import FollowedTable


@attrs.frozen
class SplitTable:
    """Splits the rows of one feed into two copies, each with its own version.

    A table may hold a large document and small rows. With a single copy, each change
    of a small row would make all daemons fetch the document too.

    Parameters
    ----------
    main, secondary : FollowedTable
        The copies. The feed resumes from the version of the main copy.
    is_main : callable
        Returns whether a row belongs to the main copy, given its key.
    """

    main: FollowedTable
    secondary: FollowedTable
    is_main: Callable[[str], bool]

    @property
    def copy(self):
        """The main copy, from whose version the feed resumes."""
        return self.main.copy

    def apply_listing(self, batch: Batch) -> None:
        """Apply all rows as listed by the store."""
        main, secondary = self._split(batch)
        self.secondary.apply_listing(secondary)
        self.main.apply_listing(main)

    def apply_changes(self, batch: Batch) -> None:
        """Apply changes reported by the store."""
        main, secondary = self._split(batch)
        self.secondary.apply_changes(secondary)
        self.main.apply_changes(main)

    def extend(self, hold: Hold) -> None:
        """Retain removed rows for some time after an outage of the store."""
        self.main.extend(hold)
        self.secondary.extend(hold)

    def settle(self, span: VersionSpan) -> None:
        """Settle the removals in a span of versions of the feed."""
        self.main.settle(span)
        self.secondary.settle(span)

    def _split(self, batch):
        main = tuple(row for row in batch.items if self.is_main(row.key))
        secondary = tuple(row for row in batch.items if not self.is_main(row.key))
        return Batch(main, batch.version), Batch(secondary, batch.version)
