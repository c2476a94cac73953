"""Supervision of the tables that this daemon follows in the platform's store."""

import logging
from collections.abc import Sequence

import attrs

from cairnferry.entry.following._following import Follower

# Age in seconds of a table from which it is reported as old: two calls that each wait
# as long as possible, with their timeouts.
OLD_TABLE_S = 20.0

log = logging.getLogger(__name__)


@attrs.define
class TableWatch:
    """Reports tables that this daemon follows without success.

    The daemon stays ready. If the store is away, the tables of all daemons are old, and
    no change can be made. If it is this daemon alone, what it knows still serves
    callers better than a refusal, and other daemons send it the updates.

    Parameters
    ----------
    followers : sequence of Follower
        Followers of all tables.
    """

    followers: Sequence[Follower]
    _old: set[str] = attrs.field(factory=set)

    def ages(self, now: float) -> dict[str, float]:
        """Return the seconds since each table was confirmed, by its name.

        Tables that other daemons watch for this one are left out.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        ages = {each.name: each.age(now) for each in self.followers}
        return {name: age for name, age in ages.items() if age is not None}

    def check(self, now: float) -> None:
        """Log each table that has become old, and each that is up to date again.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        ages = self.ages(now)
        old = {name for name, age in ages.items() if age >= OLD_TABLE_S}
        for name in sorted(old - self._old):
            extra = {"feed": name, "age_s": round(ages[name], 3)}
            log.error("table is old", extra=extra)
        for name in sorted(self._old - old):
            log.info("table is no longer old", extra={"feed": name})
        self._old = old
