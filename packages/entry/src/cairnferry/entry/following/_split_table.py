"""Two copies of what the store keeps in one table."""

from collections.abc import Callable

import attrs

from cairnferry.coordination import Batch
from cairnferry.entry.following._table import FollowedTable


@attrs.frozen
class SplitTable:
    """Sorts the rows of one feed into two copies, each with a version of its own.

    One change of a table that holds a large document and small rows would else bring
    all daemons to ask for both.

    Parameters
    ----------
    main, beside : FollowedTable
        The copies. The feed goes on from the version of the first one.
    is_main : callable
        Tells by its key whether a row belongs to the first copy.
    """

    main: FollowedTable
    beside: FollowedTable
    is_main: Callable[[str], bool]

    @property
    def copy(self):
        """The copy from which the feed goes on."""
        return self.main.copy

    def apply_listing(self, batch: Batch) -> None:
        """Take in all rows as the store listed them."""
        main, beside = self._sort(batch)
        self.beside.apply_listing(beside)
        self.main.apply_listing(main)

    def apply_changes(self, batch: Batch) -> None:
        """Take in changes that the store told."""
        main, beside = self._sort(batch)
        self.beside.apply_changes(beside)
        self.main.apply_changes(main)

    def hold_for(self, seconds: float) -> None:
        """Hold rows that vanish from now on, as the store was away until now."""
        self.main.hold_for(seconds)
        self.beside.hold_for(seconds)

    def _sort(self, batch):
        main = tuple(row for row in batch.items if self.is_main(row.key))
        beside = tuple(row for row in batch.items if not self.is_main(row.key))
        return Batch(main, batch.version), Batch(beside, batch.version)
