"""Shares of the daemons in probing a target.

Probes load the target, so each target has a fixed budget of probes over all daemons,
at any load. The daemons are ranked for each target. The first one probes at the full
rate, the second one at half of it, and so on; a daemon probes only while it sees no
daemon of a better rank alive. In total they spend less than twice the budget, even if
every daemon is cut off from every other.
"""

import attrs

from cairnferry.records import Target


@attrs.frozen
class ProbeShare:
    """Share of one daemon in probing one target.

    Attributes
    ----------
    position : int
        Number of daemons ranked before this one, if all of them seem dead; -1 if one
        of them is alive.
    """

    position: int

    def interval(self, full_interval: float) -> float | None:
        """Return the seconds between two probes; None for no probes."""
        if self.position < 0:
            return None
        return full_interval * 2**self.position


def probe_share(ranked: list[str], alive: set[str], me: str) -> ProbeShare:
    """Return the share of one daemon in probing one target.

    Parameters
    ----------
    ranked : list of str
        Names of all daemons, listed by the platform or known as peers, by rank.
    alive : set of str
        Names of the daemons that this daemon sees alive.
    me : str
        Name of this daemon.
    """
    for position, name in enumerate(ranked):
        if name == me:
            return ProbeShare(position)
        if name in alive:
            return ProbeShare(-1)
    return ProbeShare(-1)


@attrs.define
class ProbePlan:
    """Schedule of the probes that this daemon makes.

    Parameters
    ----------
    full_interval : float
        Seconds between two probes of one target over all daemons.
    """

    full_interval: float
    _shares: dict[str, ProbeShare] = attrs.field(factory=dict)
    _last_probe: dict[str, float] = attrs.field(factory=dict)

    def set_share(self, target_name: str, share: ProbeShare) -> None:
        """Set this daemon's share for a target."""
        self._shares[target_name] = share

    def keep_only(self, names: set[str]) -> None:
        """Drop all targets except the given ones."""
        self._shares = {n: s for n, s in self._shares.items() if n in names}
        self._last_probe = {n: t for n, t in self._last_probe.items() if n in names}

    def due(self, targets: list[Target], now: float) -> list[Target]:
        """Return the targets to probe now, and record them as probed."""
        chosen = []
        for target in targets:
            share = self._shares.get(target.name)
            interval = share.interval(self.full_interval) if share else None
            if interval is None:
                continue
            if now - self._last_probe.get(target.name, -interval) >= interval:
                self._last_probe[target.name] = now
                chosen.append(target)
        return chosen
