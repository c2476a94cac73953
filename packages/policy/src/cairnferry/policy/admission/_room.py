"""How many requests one daemon may have in flight to a service."""

import attrs

from cairnferry.policy._settings import PolicySettings
from cairnferry.policy.admission._window import Window
from cairnferry.records import Priority

# Part of all slots that one daemon starts with.
START_SHARE = 0.5


@attrs.define
class Room:
    """Requests in flight, of all classes and of background work, and their limits.

    Parameters
    ----------
    settings : PolicySettings
        Constants.
    """

    settings: PolicySettings
    in_flight: int = 0
    background_in_flight: int = 0
    _window: Window = attrs.field(init=False)
    _background: Window = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._window = self._new_window(1.0)
        self._background = self._new_window(self.settings.background_growth)

    def _new_window(self, growth):
        least = self.settings.min_window
        return Window(least, least, least, self.settings.deepest_cut, growth)

    @property
    def limit(self) -> float:
        """Limit of the requests in flight."""
        return self._window.limit

    def set_slots(self, slots: int, is_new: bool) -> None:
        """Take in how many slots all targets have."""
        self._window.set_maximum(slots)
        self._background.set_maximum(slots * self.settings.background_share)
        if is_new:
            self._window.limit = max(self._window.minimum, slots * START_SHARE)

    def has(self, priority: Priority) -> bool:
        """Tell whether one more request of a class may be sent."""
        if not self._window.has_room(self.in_flight):
            return False
        if priority is Priority.INTERACTIVE:
            return True
        return self._background.has_room(self.background_in_flight)

    def take(self, priority: Priority) -> None:
        """Count a request that is sent."""
        self.in_flight += 1
        self.background_in_flight += priority is Priority.BACKGROUND

    def give_back(self, priority: Priority) -> None:
        """Count a request that ended."""
        self.in_flight -= 1
        self.background_in_flight -= priority is Priority.BACKGROUND

    def adapt(self, reported_load: float, now: float, latency: float) -> None:
        """Move both limits by the mean load that targets report.

        Parameters
        ----------
        reported_load : float
            Requests at a target as a share of its slots.
        now, latency : float
            Time and usual answer time, in seconds.
        """
        wanted = self.settings.full_report_load
        _move(self._window, self.in_flight, reported_load / wanted, now, latency)
        wanted = self.settings.background_load
        excess = reported_load / wanted
        _move(self._background, self.background_in_flight, excess, now, latency)


def _move(window, in_flight, excess, now, latency):
    if excess > 1:
        window.note_full(excess, now, latency)
    else:
        window.note_free(in_flight)
