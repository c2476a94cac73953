"""Distribute the requests of a route among services by weight."""

import random

import attrs

from cairnferry.records import Backend


@attrs.define
class WeightedRoundRobin:
    """Smooth weighted round-robin: shares match the weights after a few requests.

    Random selection would deviate by a fifth after some hundred requests, which is all
    that an instance gets in the time over which the shares are measured.

    Parameters
    ----------
    backends : tuple of Backend
        Services and weights.
    """

    backends: tuple[Backend, ...]
    _credits: list[float] = attrs.field(factory=list)

    @classmethod
    def start(cls, backends: tuple[Backend, ...], rng: random.Random):
        """Return a rotation with a random start, so that instances do not synchronize.

        Parameters
        ----------
        backends : tuple of Backend
            Services and weights.
        rng : random.Random
            Source of randomness.
        """
        total = sum(backend.weight for backend in backends)
        rotation = cls(backends, [rng.random() * total for _ in backends])
        # The credits add up to zero, so that no service gets more than its weight.
        mean = sum(rotation._credits) / len(backends)
        rotation._credits = [credit - mean for credit in rotation._credits]
        return rotation

    def next_service(self) -> str:
        """Return the service for the next request."""
        total = 0
        for index, backend in enumerate(self.backends):
            self._credits[index] += backend.weight
            total += backend.weight
        chosen = max(range(len(self._credits)), key=self._credits.__getitem__)
        self._credits[chosen] -= total
        return self.backends[chosen].service
