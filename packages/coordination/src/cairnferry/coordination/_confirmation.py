"""Age of the last confirmed head of the log."""

import attrs

NEVER = float("inf")


@attrs.define
class HeadConfirmation:
    """Age of the last head of the log that any daemon has read from the table.

    A daemon that cannot reach the table receives this age from its peers. Daemons
    exchange ages instead of times because the clocks of machines differ.
    """

    _confirmed_at: float = -NEVER

    def confirm(self, now: float, age: float = 0.0) -> None:
        """Record that the head was confirmed `age` seconds before `now`."""
        self._confirmed_at = max(self._confirmed_at, now - age)

    def age(self, now: float) -> float:
        """Return the age in seconds; infinite if no head was ever confirmed."""
        return now - self._confirmed_at
