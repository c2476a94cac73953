"""Sharing the requests of a route among services by weight."""

import random

import attrs

from cairnferry.records import Backend


@attrs.define
class WeightedTurns:
    """Smooth weighted turns: after few requests each part is near its weight.

    Drawing at random would be off by a fifth after some hundred requests, and an
    instance sees no more than that in the time for which the parts are looked at.

    Parameters
    ----------
    backends : tuple of Backend
        Services and weights.
    """

    backends: tuple[Backend, ...]
    _due: list[float] = attrs.field(factory=list)

    @classmethod
    def start(cls, backends: tuple[Backend, ...], rng: random.Random):
        """Start at a random point, so that instances do not go in step."""
        total = sum(backend.weight for backend in backends)
        turns = cls(backends, [rng.random() * total for _ in backends])
        # The debts add up to nothing, so that no part gets more than its weight.
        mean = sum(turns._due) / len(backends)
        turns._due = [due - mean for due in turns._due]
        return turns

    def take(self) -> str:
        """Give the service of the next request."""
        total = 0
        for index, backend in enumerate(self.backends):
            self._due[index] += backend.weight
            total += backend.weight
        chosen = max(range(len(self._due)), key=self._due.__getitem__)
        self._due[chosen] -= total
        return self.backends[chosen].service
