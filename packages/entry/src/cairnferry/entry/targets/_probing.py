"""Health probes of targets, within a budget that does not grow with the load."""

import logging
import time
from collections.abc import Callable

import attrs
from expression import Ok
from gevent.pool import Pool

from cairnferry.coordination import Note, rank
from cairnferry.decoding import decode_object
from cairnferry.entry.members import Cluster
from cairnferry.entry.targets._exchange_result import DRAINING_VALUE
from cairnferry.entry.targets._services import Services
from cairnferry.entry.telemetry import Metrics
from cairnferry.policy import DrainSource, PolicySettings, ProbePlan, probe_share
from cairnferry.records import Target
from cairnferry.wire import Client, Reply

PROBE_TIMEOUT_S = 0.5
# Maximum number of concurrent probes.
MAX_PROBES = 64
# Seconds for which a note about a draining target is valid.
HEALTH_NOTE_S = 8.0
HTTP_OK = 200

log = logging.getLogger(__name__)


@attrs.define
class HealthProber:
    """Probes the targets that are assigned to this daemon and reports the results.

    Parameters
    ----------
    cluster : Cluster
        Daemons that share the probes and receive notes about draining targets.
    services : Services
        Targets, and the policies that use the results.
    metrics : Metrics
        Counts probes.
    trigger_round : callable
        Starts the next round of gossip at once.
    """

    cluster: Cluster
    services: Services
    metrics: Metrics
    trigger_round: Callable[[], None]
    _plan: ProbePlan = attrs.field(
        factory=lambda: ProbePlan(PolicySettings().probe_interval_s)
    )
    _assignment_basis: tuple = ()
    _tasks: Pool = attrs.field(factory=lambda: Pool(MAX_PROBES))

    def assign_targets(self) -> None:
        """Update which targets are assigned to this daemon, if that may have changed.

        Daemons that the platform lists count even if no peer receives heartbeats from
        them. Otherwise each side of a partition would spend the whole budget.
        """
        membership = self.cluster.membership
        zones = {member.name: member.zone for member in membership.live()}
        alive = set(zones)
        for name, listed in self.cluster.listed.items():
            zones.setdefault(name, listed.zone)
        basis = (zones, alive, self.services.revision)
        if basis == self._assignment_basis:
            return
        self._assignment_basis = basis
        targets = self.services.targets()
        for target in targets:
            share = self._share_of(target, zones, alive)
            self._plan.set_share(target.name, share)
        self._plan.keep_only({target.name for target in targets})

    def _share_of(self, target, zones, alive):
        """Return this daemon's share of the probes of a target.

        The daemons of the target's zone are ranked, or all daemons if that zone has
        none.
        """
        same_zone = [name for name, zone in zones.items() if zone == target.zone]
        names = same_zone or list(zones)
        ranked = sorted(names, key=lambda name: rank(target.name, name))
        return probe_share(ranked, alive, self.cluster.membership.me.name)

    def one_round(self) -> None:
        """Start the probes that are due."""
        for target in self._plan.due(self.services.targets(), time.monotonic()):
            if not self._tasks.full():
                self._tasks.spawn(self._probe, target)

    def _probe(self, target: Target):
        client = Client(target.host, target.port)
        try:
            outcome = client.call("GET", target.health_path, timeout=PROBE_TIMEOUT_S)
        finally:
            client.close()
        draining = isinstance(outcome, Reply) and _reports_draining(outcome)
        healthy = isinstance(outcome, Reply) and outcome.status == HTTP_OK
        self.metrics.probes["healthy" if healthy else "unhealthy"] += 1
        if draining:
            note = Note(target.identity, str(DrainSource.HEALTH), HEALTH_NOTE_S)
            if self.cluster.post(note):
                self.trigger_round()
        runtime = self.services.active().get(target.service)
        if runtime is not None:
            runtime.policy.note_probe(target.identity, healthy, time.monotonic())


def _reports_draining(reply):
    """Return whether a health answer in JSON (draft health+json) reports draining."""
    status = decode_object(reply.body, lambda document: document.get("status"))
    return status == Ok(DRAINING_VALUE)
