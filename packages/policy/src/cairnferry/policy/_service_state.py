"""What one daemon knows of a service and its targets."""

import random
from collections.abc import Container

from cairnferry.policy._settings import PolicySettings
from cairnferry.policy.admission import Demand, Room, budget_of
from cairnferry.policy.choice import WorkEstimates
from cairnferry.policy.search import TargetSet
from cairnferry.policy.shared import AdvisoryRegistry, PermitRequest, TargetLimits
from cairnferry.policy.targets import DrainSource, LoadReport, TargetAdvisory
from cairnferry.records import Service, Target


class ServiceState:
    """Takes in what happens to a service, to the other instances and to targets.

    Parameters
    ----------
    service : Service
        The service's record.
    zone : str
        Availability zone of this daemon.
    rng : random.Random
        Source of randomness.
    settings : PolicySettings, optional
        Constants.
    limits : TargetLimits, optional
        Limits that targets name, of all services of the daemon.
    holds : AdvisoryRegistry, optional
        What targets have asked of the daemon, of all its services.
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
        self._work = WorkEstimates()
        self._demand = Demand()
        self.advisories = AdvisoryRegistry() if advisories is None else advisories
        self._targets = TargetSet(
            zone, rng, self.settings, self.limits, self.advisories
        )
        self._room = Room(self.settings)
        self._instances = 1
        self._budget = budget_of(service, self.settings)

    def set_instances(self, instances: int, place: float | None = None) -> None:
        """Take in the other instances.

        Parameters
        ----------
        instances : int
            How many share the service's retry budget.
        place : float, optional
            Where among those of the zone this one stands, 0 to 1: it begins at another
            part of the targets than these.
        """
        if place is not None:
            self._targets.begin_at(place)
        self._instances = max(1, instances)
        self._budget.follow(self.service, self.settings, self._instances)

    def update(self, service: Service, targets: list[Target], now: float) -> None:
        """Take in the records in force; what was learnt of targets is kept."""
        is_new = not self._targets
        self.service = service
        self._budget.follow(service, self.settings, self._instances)
        self._targets.update(targets, now)
        self._room.set_slots(sum(target.slots for target in targets), is_new)

    def evacuate(self, zones: frozenset[str]) -> None:
        """Send nothing to the targets of these availability zones, and of no others."""
        self._targets.evacuate(zones)

    def note_draining(self, identity: str, source: DrainSource, until: float) -> None:
        """Take in that a source calls a target leaving.

        Parameters
        ----------
        identity : str
            Name of the target's start.
        source : DrainSource
            Who says so.
        until : float
            Time in seconds to which it holds; 0 takes it back.
        """
        self._targets.note_draining(identity, source, until)

    def note_advisory(
        self,
        identity: str,
        words: TargetAdvisory,
        now: float,
        heard_by: str | None = None,
    ) -> None:
        """Take in what a target says of itself.

        Parameters
        ----------
        identity : str
            Name of the target's start.
        words : TargetAdvisory
            What it says.
        now : float
            Time in seconds.
        heard_by : str or None, optional
            ID of the request in whose answer it said so, for the log.
        """
        self._targets.note_advisory(identity, words, now, heard_by)

    def note_probe(self, identity: str, healthy: bool, now: float) -> None:
        """Take in the result of a probe."""
        self._targets.note_probe(identity, healthy, now)

    def note_missed_check(self, identity: str, now: float) -> None:
        """Take in that a target has not answered a check in time."""
        self._targets.note_missed_check(identity, now)

    def note_warmup(self, identity: str, warm_at: float) -> None:
        """Take in the time in seconds to which a target is slow, as it is cold."""
        self._targets.note_warmup(identity, warm_at)

    def note_check(
        self, identity: str, report: LoadReport | None, well: bool, now: float
    ) -> None:
        """Take in what a target said when it was asked for its load.

        Parameters
        ----------
        identity : str
            Name of the target's start.
        report : LoadReport or None
            Its load; None if it gave no answer.
        well : bool
            Whether it calls itself well.
        now : float
            Time in seconds.
        """
        self._targets.note_check(identity, report, well, now)

    def permits_to_request(
        self, barred: Container[str], now: float
    ) -> list[PermitRequest]:
        """Give the permits for limited targets that the next requests may use.

        Parameters
        ----------
        barred : container of str
            Targets that are not to be asked about now.
        now : float
            Time in seconds.
        """
        expected = self._demand.expected(now)
        return self._targets.permits_to_request(expected, barred, now)
