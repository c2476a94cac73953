"""Replicas of a table with versioned rows, and the updates that they exchange.

All versions come from one counter of the table's store and are stamped with the era of
the store (`stamp`). Replicas can therefore be compared by version, regardless of where
their rows came from. A replica never returns to an older state, and the newer of two
replicas can send exactly the rows that the older one lacks.
"""

import attrs

# Number of removals that a replica keeps for its updates: several times what a large
# change of targets removes at once. A replica that lacks older removals receives all
# rows.
MAX_REMOVALS = 4096


@attrs.frozen
class Row:
    """One row.

    Attributes
    ----------
    key : str
        Name of the row.
    value : bytes or None
        Content; None if the row was removed.
    version : int
        Version at which the row was written or removed.
    """

    key: str
    value: bytes | None
    version: int


@attrs.frozen
class Batch:
    """Rows and the version up to which they are complete."""

    items: tuple[Row, ...]
    version: int


@attrs.frozen
class TableUpdate:
    """Update that a replica sends to an older one.

    Attributes
    ----------
    whole : bool
        Whether the update holds all rows of the table rather than only the changes.
    rows : tuple of Row
        The rows.
    version : int
        Version of the older replica after it has applied the update.
    """

    whole: bool
    rows: tuple[Row, ...]
    version: int


@attrs.define
class TableReplica:
    """Replica of a table at one version.

    Attributes
    ----------
    rows : dict of str to Row
        Rows by key; the dict is replaced, never changed in place.
    version : int
        Version at which the table held exactly these rows; 0 before the first.
    """

    rows: dict[str, Row] = attrs.field(factory=dict)
    version: int = 0
    _removals: dict[str, Row] = attrs.field(factory=dict)
    # Version since which all removals are held.
    _removals_complete_since: int = 0

    def apply_listing(self, batch: Batch) -> bool:
        """Apply a listing of all rows; return whether it was newer than the replica.

        A listing that took long may be older than an update received from a peer in
        the meantime.
        """
        if batch.version <= self.version:
            return False
        self._replace({row.key: row for row in batch.items}, batch.version)
        return True

    def apply_changes(self, batch: Batch) -> bool:
        """Apply changes that follow this replica; return whether there were any.

        The version of a batch without changes is not adopted. Otherwise peers would
        see a newer version and request an update that has no rows.
        """
        changes = [row for row in batch.items if row.version > self.version]
        if not changes:
            return False
        rows = dict(self.rows)
        for row in changes:
            self._apply_row(rows, row)
        self.rows = rows
        self.version = max(row.version for row in changes)
        return True

    def _apply_row(self, rows, row):
        current = rows.get(row.key)
        if current is not None and row.version < current.version:
            return
        # Inserted again, so that removals stay in the order of their versions.
        self._removals.pop(row.key, None)
        if row.value is not None:
            rows[row.key] = row
            return
        rows.pop(row.key, None)
        self._removals[row.key] = row
        if len(self._removals) > MAX_REMOVALS:
            oldest = next(iter(self._removals))
            self._removals_complete_since = self._removals.pop(oldest).version

    @property
    def removed(self) -> frozenset[str]:
        """Keys of the removed rows whose removals are still held."""
        return frozenset(self._removals)

    def removed_version(self, key: str) -> int:
        """Return the version at which a missing row was removed.

        It is the version of the replica if the removal is not known by itself.
        """
        removal = self._removals.get(key)
        return self.version if removal is None else removal.version

    def news_since(self, version: int) -> TableUpdate:
        """Return the update for a replica of an older version."""
        if version < self._removals_complete_since or not version:
            return TableUpdate(True, tuple(self.rows.values()), self.version)
        changed = [row for row in self.rows.values() if row.version > version]
        removed = [row for row in self._removals.values() if row.version > version]
        return TableUpdate(False, (*changed, *removed), self.version)

    def apply_update(self, update: TableUpdate) -> bool:
        """Apply an update from a peer; return whether it was newer than the replica."""
        if update.version <= self.version:
            return False
        if update.whole:
            self._replace({row.key: row for row in update.rows}, update.version)
            return True
        rows = dict(self.rows)
        for row in sorted(update.rows, key=lambda row: row.version):
            self._apply_row(rows, row)
        self.rows = rows
        self.version = update.version
        return True

    def _replace(self, rows, version):
        self.rows = rows
        self.version = version
        self._removals = {}
        self._removals_complete_since = version
