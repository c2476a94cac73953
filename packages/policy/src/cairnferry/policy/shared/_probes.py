"""Who probes a target, and how often.

Probes cost the target, so their number is fixed for each target over all
daemons, whatever the load. The daemons are ranked for each target; the first
one probes at the full rate, the next at half of it, and so on, each only while
it sees none before it alive. All together they spend less than twice the
budget, even if every daemon is cut off from every other.
"""

import attrs

from cairnferry.records import Target


@attrs.frozen
class ProbeShare:
    """Part of one daemon in probing one target.

    Attributes
    ----------
    position : int
        Daemons ranked before this one, all of which seem dead; -1 if one of
        them is alive.
    """

    position: int

    def interval(self, full_interval: float) -> float | None:
        """Give the seconds between two probes; None for no probes."""
        if self.position < 0:
            return None
        return full_interval * 2**self.position


def probe_share(ranked: list[str], alive: set[str], me: str) -> ProbeShare:
    """Work out the part of one daemon.

    Parameters
    ----------
    ranked : list of str
        Names of all daemons, listed by the platform or known as peers, by rank.
    alive : set of str
        Names of those that this daemon sees alive.
    me : str
        This daemon's name.
    """
    for position, name in enumerate(ranked):
        if name == me:
            return ProbeShare(position)
        if name in alive:
            return ProbeShare(-1)
    return ProbeShare(-1)


@attrs.define
class ProbePlan:
    """Times of the next probes.

    Parameters
    ----------
    full_interval : float
        Seconds between two probes of one target over all daemons.
    """

    full_interval: float
    _shares: dict[str, ProbeShare] = attrs.field(factory=dict)
    _last: dict[str, float] = attrs.field(factory=dict)

    def set_share(self, target_name: str, share: ProbeShare) -> None:
        """Set this daemon's part for a target."""
        self._shares[target_name] = share

    def keep_only(self, names: set[str]) -> None:
        """Forget targets that are no longer there."""
        self._shares = {n: s for n, s in self._shares.items() if n in names}
        self._last = {n: t for n, t in self._last.items() if n in names}

    def due(self, targets: list[Target], now: float) -> list[Target]:
        """Give the targets to probe now, and count them as probed."""
        chosen = []
        for target in targets:
            share = self._shares.get(target.name)
            interval = share.interval(self.full_interval) if share else None
            if interval is None:
                continue
            if now - self._last.get(target.name, -interval) >= interval:
                self._last[target.name] = now
                chosen.append(target)
        return chosen
