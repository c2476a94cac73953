"""Deployments with uneven zones, waves and bursts; see docs/HARD-LOAD.md."""

import math

import attrs

from bench.model._loads import Kind, Site
from bench.model._target import Noise


@attrs.frozen
class CrestSite:
    """A deployment of one service, with zones of uneven demand.

    Attributes
    ----------
    site : Site
        Machines and requests. Its rate is the mean number of requests per second.
    target_shares, caller_shares : tuple of float
        Shares of the targets and of the callers by zone.
    hangs : bool
        Whether a full target never answers; else it refuses.
    swing, period : float
        Relative amplitude and period in seconds of the waves.
    zone_lag : float
        Seconds between the crests of two zones.
    burst : tuple of float
        Factor and seconds of one burst, which begins at half of the run.
    impatient : float
        Share of the callers that retry at once.
    """

    site: Site
    target_shares: tuple[float, ...]
    caller_shares: tuple[float, ...]
    hangs: bool = False
    swing: float = 0.0
    period: float = 15.0
    zone_lag: float = 0.0
    burst: tuple[float, float] = (1.0, 0.0)
    impatient: float = 0.1

    def rate_at(self, zone: int, now: float, length: float) -> float:
        """Return the requests per second of the callers of a zone."""
        rate = self.site.rate * self.caller_shares[zone]
        rate *= 1 + self.swing * self.phase(now - zone * self.zone_lag)
        factor, seconds = self.burst
        return rate * factor if 0 <= now - length / 2 < seconds else rate

    def phase(self, now: float) -> float:
        """Return the state of the wave, -1 in the trough to 1 at the crest."""
        return math.sin(2 * math.pi * now / self.period)

    def scaled(self, demand: float = 1.0, size: float = 1.0) -> "CrestSite":
        """Return the deployment with another demand, or another size.

        Parameters
        ----------
        demand : float, optional
            Factor of the requests per second.
        size : float, optional
            Factor of the targets, the daemons and the requests per second.
        """
        site = attrs.evolve(
            self.site,
            targets=round(self.site.targets * size),
            instances=round(self.site.instances * size),
            rate=self.site.rate * size * demand,
        )
        return attrs.evolve(self, site=site)


NOISE = Noise(0.3, 4.0, 0.3)
READS = CrestSite(
    Site(
        targets=156,
        slots=2,
        queue=4,
        rate=348.0,
        kinds=(
            Kind("read", 0.77, 0.150, 0.579, 5.8, True, 2),
            Kind("order", 0.23, 0.200, 0.682, 6.8, False, 1),
        ),
        noise=NOISE,
        instances=210,
        zones=3,
        far_s=0.0009,
    ),
    target_shares=(98 / 312, 107 / 312, 107 / 312),
    caller_shares=(309 / 813, 252 / 813, 252 / 813),
    hangs=True,
    swing=0.55,
    zone_lag=1.2,
)
# Half of the callers of the second zone have moved to the zone with the fewest targets.
READS_MOVED = attrs.evolve(READS, caller_shares=(435 / 813, 126 / 813, 252 / 813))
REFUNDS = attrs.evolve(
    READS,
    site=attrs.evolve(
        READS.site,
        targets=26,
        rate=59.0,
        kinds=(
            Kind("upload", 0.56, 0.194, 1.748, 11.5, False, 1),
            Kind("refund", 0.44, 0.122, 0.488, 4.8, False, 2),
        ),
    ),
)
LOOKUPS = CrestSite(
    Site(
        targets=152,
        slots=6,
        queue=12,
        rate=427.0,
        kinds=(
            Kind("lookup", 0.76, 0.370, 1.086, 8.7, True, 0),
            Kind("confirmation", 0.24, 0.490, 1.278, 12.8, False, 1),
        ),
        noise=NOISE,
        instances=120,
        zones=3,
        far_s=0.0014,
    ),
    target_shares=(1 / 3, 1 / 3, 1 / 3),
    caller_shares=(1 / 3, 1 / 3, 1 / 3),
    swing=0.15,
    period=11.0,
    burst=(1.8, 3.0),
)
UPLOADS = attrs.evolve(
    LOOKUPS,
    site=attrs.evolve(
        LOOKUPS.site,
        targets=14,
        rate=34.0,
        kinds=(Kind("upload", 1.0, 0.467, 3.275, 12.9, False, 2),),
    ),
    burst=(2.3, 6.0),
)
CREST_SITES = {
    "reads": READS,
    "reads moved": READS_MOVED,
    "refunds": REFUNDS,
    "lookups": LOOKUPS,
    "uploads": UPLOADS,
}
