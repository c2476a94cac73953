"""Copies of a table whose rows carry versions, and what one copy tells another.

All versions come from one counter of the table's store, stamped with the store's era
(`stamp`). So copies can be compared by a number, wherever each got its rows from: no
copy goes back to an older state, and the newer of two can tell the other just what it
lacks.
"""

import attrs

# Removals that a copy keeps in mind, to tell others of them. A copy that lacks more
# gets all rows: several times what a large change of targets removes at once.
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
        Version at which it was written or removed.
    """

    key: str
    value: bytes | None
    version: int


@attrs.frozen
class Batch:
    """Rows, and the version up to which they are complete."""

    items: tuple[Row, ...]
    version: int


@attrs.frozen
class TableUpdate:
    """What one copy tells an older one.

    Attributes
    ----------
    whole : bool
        Whether these are all rows that there are, and not changes alone.
    rows : tuple of Row
        The rows.
    version : int
        Version that the older copy has once it has taken them in.
    """

    whole: bool
    rows: tuple[Row, ...]
    version: int


@attrs.define
class TableReplica:
    """Rows of a table as they were at one version.

    Attributes
    ----------
    rows : dict of str to Row
        By key; to be replaced, never changed in place.
    version : int
        A version at which the table held exactly these rows; 0 before the first.
    """

    rows: dict[str, Row] = attrs.field(factory=dict)
    version: int = 0
    _removals: dict[str, Row] = attrs.field(factory=dict)
    # Removals up to this version are not all in mind.
    _told_from: int = 0

    def apply_listing(self, batch: Batch) -> bool:
        """Take in all rows as the store listed them; tell whether that was newer.

        A listing that took long may be older than what a peer told meanwhile.
        """
        if batch.version <= self.version:
            return False
        self._replace({row.key: row for row in batch.items}, batch.version)
        return True

    def apply_changes(self, batch: Batch) -> bool:
        """Take in changes that follow the copy; tell whether there were any.

        A version that moved on without a change of this table is not taken over:
        others would have to ask what is new, and there is nothing.
        """
        changes = [row for row in batch.items if row.version > self.version]
        if not changes:
            return False
        rows = dict(self.rows)
        for row in changes:
            self._change(rows, row)
        self.rows = rows
        self.version = max(row.version for row in changes)
        return True

    def _change(self, rows, row):
        known = rows.get(row.key)
        if known is not None and row.version < known.version:
            return
        # Put in anew, so that removals stay in the order of their versions.
        self._removals.pop(row.key, None)
        if row.value is not None:
            rows[row.key] = row
            return
        rows.pop(row.key, None)
        self._removals[row.key] = row
        if len(self._removals) > MAX_REMOVALS:
            oldest = next(iter(self._removals))
            self._told_from = self._removals.pop(oldest).version

    @property
    def removed(self) -> frozenset[str]:
        """Names of rows that were removed and are kept in mind."""
        return frozenset(self._removals)

    def news_since(self, version: int) -> TableUpdate:
        """Give what a copy of an older version lacks."""
        if version < self._told_from or not version:
            return TableUpdate(True, tuple(self.rows.values()), self.version)
        changed = [row for row in self.rows.values() if row.version > version]
        removed = [row for row in self._removals.values() if row.version > version]
        return TableUpdate(False, (*changed, *removed), self.version)

    def apply_update(self, news: TableUpdate) -> bool:
        """Take in what a peer's copy told; tell whether that was newer."""
        if news.version <= self.version:
            return False
        if news.whole:
            self._replace({row.key: row for row in news.rows}, news.version)
            return True
        rows = dict(self.rows)
        for row in sorted(news.rows, key=lambda row: row.version):
            self._change(rows, row)
        self.rows = rows
        self.version = news.version
        return True

    def _replace(self, rows, version):
        self.rows = rows
        self.version = version
        self._removals = {}
        self._told_from = version
