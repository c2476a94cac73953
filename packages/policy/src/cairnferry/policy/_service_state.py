"""State of a service and its targets, as one daemon sees it."""

import random
from collections.abc import Container

from cairnferry.policy._settings import PolicySettings
from cairnferry.policy.admission import Capacity, DemandEstimate, create_budget
from cairnferry.policy.choice import WorkEstimates
from cairnferry.policy.paths import ServicePaths
from cairnferry.policy.search import TargetSet
from cairnferry.policy.shared import AdvisoryRegistry, PermitRequest, TargetLimits
from cairnferry.policy.targets import DrainSource, LoadReport, TargetAdvisory
from cairnferry.records import Service, Target


class ServiceState:
    """Records updates about a service, its targets and the other instances.

    Parameters
    ----------
    service : Service
        Record of the service.
    zone : str
        Availability zone of this daemon.
    rng : random.Random
        Source of randomness.
    settings : PolicySettings, optional
        Constants of the policy.
    limits : TargetLimits, optional
        Rate limits that targets set in limit headers, shared by all services of the
        daemon.
    advisories : AdvisoryRegistry, optional
        Back-offs and departures that targets announced, shared by all services of the
        daemon.

    Attributes
    ----------
    paths : ServicePaths
        Whether the paths from this daemon to the targets work.
    """

    def __init__(
        self,
        service: Service,
        zone: str,
        rng: random.Random,
        settings: PolicySettings | None = None,
        limits: TargetLimits | None = None,
        advisories: AdvisoryRegistry | None = None,
    ):
        self.settings = settings or PolicySettings()
        self.service = service
        self.limits = TargetLimits() if limits is None else limits
        self._rng = rng
        self.paths = ServicePaths()
        self._work = WorkEstimates()
        self._demand = DemandEstimate()
        self.advisories = AdvisoryRegistry() if advisories is None else advisories
        self._targets = TargetSet(
            zone, rng, self.settings, self.limits, self.advisories
        )
        self._capacity = Capacity(self.settings)
        self._instances = 1
        self._budget = create_budget(service, self.settings)

    def set_instances(self, instances: int, ring_position: float | None = None) -> None:
        """Set the number of instances, and the position of this one among them.

        Parameters
        ----------
        instances : int
            Number of instances that share the service's retry budget.
        ring_position : float, optional
            Position of this instance among those of its zone, 0 to 1. Each instance
            starts its choice at a different part of the ring of targets.
        """
        if ring_position is not None:
            self._targets.set_ring_position(ring_position)
        self._instances = max(1, instances)
        self._budget.update(self.service, self.settings, self._instances)

    def update(self, service: Service, targets: list[Target], now: float) -> None:
        """Apply the current records; observations of known targets are kept."""
        is_new = not self._targets
        self.service = service
        self._budget.update(service, self.settings, self._instances)
        self._targets.update(targets, now)
        self.paths.keep_only({target.identity for target in targets})
        self._capacity.set_slots(sum(target.slots for target in targets), is_new)

    def target_records(self) -> list[Target]:
        """Return the records of all targets."""
        return [target.record for target in self._targets]

    def evacuate(self, zones: frozenset[str]) -> None:
        """Set the evacuated availability zones; their targets get no requests."""
        self._targets.evacuate(zones)

    def note_draining(self, identity: str, source: DrainSource, until: float) -> None:
        """Record that a source reports a target as draining.

        Parameters
        ----------
        identity : str
            Identity of one run of the target's process.
        source : DrainSource
            Source of the report.
        until : float
            Time in seconds at which the report expires; 0 withdraws it.
        """
        self._targets.note_draining(identity, source, until)

    def note_advisory(
        self,
        identity: str,
        advisory: TargetAdvisory,
        now: float,
        request_id: str | None = None,
    ) -> None:
        """Record the advisory in the headers of a target's response.

        Parameters
        ----------
        identity : str
            Identity of one run of the target's process.
        advisory : TargetAdvisory
            The advisory.
        now : float
            Time in seconds.
        request_id : str or None, optional
            ID of the request whose response carried the advisory, for the log.
        """
        self._targets.note_advisory(identity, advisory, now, request_id)

    def note_probe(self, identity: str, healthy: bool, now: float) -> None:
        """Record the result of a health probe."""
        self._targets.note_probe(identity, healthy, now)

    def note_missed_check(self, identity: str, now: float) -> None:
        """Record that a target did not respond to a status check in time."""
        self._targets.note_missed_check(identity, now)

    def note_answer(self, identity: str, now: float) -> None:
        """Record that a target sent an answer of any kind.

        If it is the first one after the paths to all targets were broken, the others
        are checked again without delay.

        Parameters
        ----------
        identity : str
            Identity of one run of the target's process.
        now : float
            Time in seconds.
        """
        were_broken = self.paths.broken_since is not None
        self.paths.note_answer(identity, now)
        if were_broken:
            self._targets.resume_checks()

    def note_warmup(self, identity: str, warm_at: float) -> None:
        """Set the time in seconds up to which a cold target warms up and is slow."""
        self._targets.note_warmup(identity, warm_at)

    def note_check(
        self, identity: str, report: LoadReport | None, healthy: bool, now: float
    ) -> None:
        """Record the response to a status check.

        Parameters
        ----------
        identity : str
            Identity of one run of the target's process.
        report : LoadReport or None
            Load of the target; None if it did not respond.
        healthy : bool
            Whether the target reports itself as healthy.
        now : float
            Time in seconds.
        """
        self._targets.note_check(identity, report, healthy, now)

    def permits_to_request(
        self, excluded: Container[str], now: float
    ) -> list[PermitRequest]:
        """Return the permits for rate-limited targets that the next requests may use.

        Parameters
        ----------
        excluded : container of str
            Identities of targets for which no permit is to be requested now.
        now : float
            Time in seconds.

        Returns
        -------
        list of PermitRequest
            Number of permits to request, by target.
        """
        expected = self._demand.expected(now)
        return self._targets.permits_to_request(expected, excluded, now)
