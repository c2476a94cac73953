"""Retention of removed rows after an outage of the store.

Rows expire while their writers cannot reach the store, and live writers write them
again soon after its return. Until then the removed rows stay in use. A removal that a
daemon received while its calls had succeeded for some time is settled: it has another
cause than an outage, and takes effect at once at all daemons.
"""

import math
from collections.abc import Iterable

import attrs

from cairnferry.coordination._table_replica import Row


@attrs.frozen
class VersionSpan:
    """Versions of a table after `after`, up to and including `until`."""

    after: int = 0
    until: int = 0

    def __bool__(self):
        return self.until > self.after

    def __contains__(self, version: int) -> bool:
        return self.after < version <= self.until

    def merge(self, other: "VersionSpan") -> "VersionSpan":
        """Return the union if the spans overlap or meet, else the later one."""
        if self.after <= other.until and other.after <= self.until:
            return VersionSpan(
                min(self.after, other.after), max(self.until, other.until)
            )
        return max(self, other, key=lambda span: span.until)


@attrs.frozen
class Hold:
    """Time for which removed rows are retained after an outage.

    Attributes
    ----------
    began_at : float
        Local time in seconds at which the outage began.
    until : float
        Local time in seconds at which the retention ends.
    """

    began_at: float = -math.inf
    until: float = -math.inf


@attrs.define
class _RetainedRow:
    row: Row
    # Version at which it was removed, or the first later one that is known.
    removed_version: int
    known_at: float
    until: float


@attrs.define
class RowRetention:
    """Removed rows of a table that stay in use.

    Attributes
    ----------
    hold : Hold
        The hold that ends last.
    settled : VersionSpan
        Versions whose removals are settled.
    """

    hold: Hold = Hold()
    settled: VersionSpan = VersionSpan()
    _retained: dict[str, _RetainedRow] = attrs.field(factory=dict)

    @property
    def rows(self) -> dict[str, Row]:
        """Retained rows by key."""
        return {key: each.row for key, each in self._retained.items()}

    @property
    def ends_at(self) -> float:
        """Local time in seconds at which the next row is dropped; may be infinite."""
        return min((each.until for each in self._retained.values()), default=math.inf)

    def extend(self, hold: Hold) -> None:
        """Apply a hold.

        It applies to all removals that become known before its end. A row that is
        retained already stays longer only if the outage began before its removal was
        known, as a later outage has not caused the removal. Otherwise short outages of
        single daemons in turn could retain a row forever.
        """
        if hold.until > self.hold.until:
            self.hold = hold
        for each in self._retained.values():
            if hold.began_at <= each.known_at:
                each.until = max(each.until, hold.until)

    def retain(self, row: Row, removed_version: int, now: float) -> None:
        """Retain a row that was removed, unless its removal is settled.

        Parameters
        ----------
        row : Row
            The row before its removal.
        removed_version : int
            Version at which it was removed, or the first later one that is known.
        now : float
            Local time in seconds.
        """
        is_held = now < self.hold.until and removed_version not in self.settled
        if is_held and row.key not in self._retained:
            self._retained[row.key] = _RetainedRow(
                row, removed_version, now, self.hold.until
            )

    def settle(self, span: VersionSpan) -> list[str]:
        """Settle the removals in a span; return the keys that are dropped."""
        self.settled = self.settled.merge(span)
        return self._drop(
            key
            for key, each in self._retained.items()
            if each.removed_version in self.settled
        )

    def discard(self, keys: Iterable[str]) -> None:
        """Stop retaining rows that were written again."""
        self._drop(key for key in keys if key in self._retained)

    def expire(self, now: float) -> list[str]:
        """Drop the rows whose time has passed; return their keys."""
        return self._drop(
            key for key, each in self._retained.items() if each.until <= now
        )

    def _drop(self, keys):
        dropped = sorted(keys)
        for key in dropped:
            del self._retained[key]
        return dropped
