"""How long ago a revision was known to be the last one."""

import attrs

NEVER = float("inf")


@attrs.define
class HeadConfirmation:
    """Age of the last head that was read from the table, by anyone.

    A daemon that cannot reach the table learns from peers how old their
    knowledge is. Ages, not times, are sent: clocks of machines differ.
    """

    _confirmed_at: float = -NEVER

    def confirm(self, now: float, age: float = 0.0) -> None:
        """Note that the head was confirmed `age` seconds before `now`."""
        self._confirmed_at = max(self._confirmed_at, now - age)

    def age(self, now: float) -> float:
        """Give the age in seconds; infinite if there was none."""
        return now - self._confirmed_at
