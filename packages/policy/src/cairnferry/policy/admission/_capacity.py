"""Concurrency limits of one daemon for a service."""

import attrs

from cairnferry.policy._settings import PolicySettings
from cairnferry.policy.admission._concurrency_window import ConcurrencyWindow
from cairnferry.records import Priority

# Share of all slots with which the window of a daemon starts.
START_SHARE = 0.5


@attrs.define
class Capacity:
    """Requests in flight and their limits, in total and for background requests.

    Parameters
    ----------
    settings : PolicySettings
        Constants of the policy.

    Attributes
    ----------
    in_flight, background_in_flight : int
        Number of requests in flight, of all priorities and of background requests.
    """

    settings: PolicySettings
    in_flight: int = 0
    background_in_flight: int = 0
    _window: ConcurrencyWindow = attrs.field(init=False)
    _background: ConcurrencyWindow = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._window = self._new_window(1.0)
        self._background = self._new_window(self.settings.background_growth)

    def _new_window(self, growth):
        minimum = self.settings.min_window
        return ConcurrencyWindow(
            minimum, minimum, minimum, self.settings.min_cut_factor, growth
        )

    @property
    def limit(self) -> float:
        """Largest number of requests in flight, of all priorities."""
        return self._window.limit

    def set_slots(self, slots: int, is_new: bool) -> None:
        """Set the number of slots of all targets.

        Parameters
        ----------
        slots : int
            Number of slots of all targets.
        is_new : bool
            Whether the service had no targets before; its window starts at a share of
            the slots.
        """
        self._window.set_maximum(slots)
        self._background.set_maximum(slots * self.settings.background_share)
        if is_new:
            self._window.limit = max(self._window.minimum, slots * START_SHARE)

    def has_capacity_for(self, priority: Priority) -> bool:
        """Return whether one more request of a priority may be sent."""
        if not self._window.has_capacity(self.in_flight):
            return False
        if priority is Priority.INTERACTIVE:
            return True
        return self._background.has_capacity(self.background_in_flight)

    def acquire(self, priority: Priority) -> None:
        """Count a request that starts."""
        self.in_flight += 1
        self.background_in_flight += priority is Priority.BACKGROUND

    def release(self, priority: Priority) -> None:
        """Stop counting a request that ended."""
        self.in_flight -= 1
        self.background_in_flight -= priority is Priority.BACKGROUND

    def adapt(self, reported_load: float, now: float, latency: float) -> None:
        """Adapt both limits to the mean load that targets report.

        Parameters
        ----------
        reported_load : float
            Mean number of requests at a target as a share of its slots.
        now, latency : float
            Time and usual response time of the service in seconds.
        """
        intended = self.settings.full_report_load
        _adapt_window(
            self._window, self.in_flight, reported_load / intended, now, latency
        )
        intended = self.settings.background_load
        excess = reported_load / intended
        _adapt_window(self._background, self.background_in_flight, excess, now, latency)


def _adapt_window(window, in_flight, excess, now, latency):
    if excess > 1:
        window.cut(excess, now, latency)
    else:
        window.grow_if_reached(in_flight)
