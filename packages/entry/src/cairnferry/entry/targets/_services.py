"""Routes and services in force at this daemon."""

import random
import time
from collections.abc import Callable

import attrs

from cairnferry.entry.targets._route_table import RouteTable
from cairnferry.entry.targets._runtime import ServiceRuntime
from cairnferry.entry.targets._weights import WeightedRoundRobin
from cairnferry.policy import (
    AdvisoryRegistry,
    PolicySettings,
    ServicePolicy,
    TargetLimits,
)
from cairnferry.records import (
    Kind,
    RecordSet,
    Route,
    RouteIdentity,
    Service,
    Target,
)


@attrs.define
class Services:
    """Finds the route and the policy for a path.

    The policy of a service is created at its first request. A daemon that gets no
    requests for a service holds only its records.

    Parameters
    ----------
    zone : str
        Availability zone of this daemon.
    rng : random.Random
        Source of randomness.
    on_start : callable
        Called with each new policy, to initialize it with the daemon's current state.
    settings : PolicySettings, optional
        Constants of the policies.
    limits : TargetLimits, optional
        Limits that targets advertise.
    advisories : AdvisoryRegistry, optional
        Advisories of targets that are in effect.

    Attributes
    ----------
    revision : int
        Revision of the records in force; 0 before the first one.
    evacuated : frozenset of str
        Availability zones whose targets get no requests.
    """

    zone: str
    rng: random.Random
    on_start: Callable[[ServicePolicy], None]
    settings: PolicySettings = PolicySettings()
    limits: TargetLimits = attrs.field(factory=TargetLimits)
    advisories: AdvisoryRegistry = attrs.field(factory=AdvisoryRegistry)
    revision: int = 0
    evacuated: frozenset[str] = frozenset()
    _services: dict[str, Service] = attrs.field(factory=dict)
    _routes: RouteTable = attrs.field(factory=RouteTable)
    _rotations: dict[RouteIdentity, WeightedRoundRobin] = attrs.field(factory=dict)
    _targets: dict[str, list[Target]] = attrs.field(factory=dict)
    _runtimes: dict[str, ServiceRuntime] = attrs.field(factory=dict)

    def install(self, records: RecordSet) -> None:
        """Put a set of records in force."""
        services = records.of_kind(Kind.SERVICE)
        routes = records.of_kind(Kind.ROUTE)
        self._set_rules(records.revision, services, routes)
        self.install_targets(records.of_kind(Kind.TARGET))

    def install_rules(
        self, revision: int, services: list[Service], routes: list[Route]
    ) -> None:
        """Put services and routes in force if targets have another source."""
        self._set_rules(revision, services, routes)
        self._update_all()

    def _set_rules(self, revision, services, routes):
        self.revision = revision
        self._services = {service.name: service for service in services}
        self._routes = RouteTable.build(routes)
        self._rotations = {
            route.identity: self._rotation_for(route)
            for route in routes
            if route.backends
        }

    def _rotation_for(self, route):
        """Return the rotation of a route, and keep it if the weights are unchanged.

        A restart at each change would give the first backend more than its share if
        changes follow each other quickly.
        """
        existing = self._rotations.get(route.identity)
        if existing is not None and existing.backends == route.backends:
            return existing
        return WeightedRoundRobin.start(route.backends, self.rng)

    def install_targets(self, targets: list[Target]) -> None:
        """Put the targets of all services in force."""
        self._targets = {}
        for target in targets:
            self._targets.setdefault(target.service, []).append(target)
        self._update_all()

    def evacuate(self, zones: frozenset[str]) -> None:
        """Exclude the targets of exactly these availability zones from requests."""
        self.evacuated = zones
        for runtime in self._runtimes.values():
            runtime.policy.evacuate(zones)
            runtime.release_waiting()

    def _update_all(self):
        for name in list(self._runtimes):
            self._update(name)

    def _update(self, name):
        service = self._services.get(name)
        if service is None:
            del self._runtimes[name]
            return
        runtime = self._runtimes[name]
        targets = self._targets.get(name, [])
        runtime.policy.update(service, targets, time.monotonic())
        runtime.release_waiting()

    def route(self, path: str, host: str | None = None) -> Route | None:
        """Return the route with the longest prefix that begins a path.

        Parameters
        ----------
        path : str
            Path of the request line, with its query.
        host : str or None
            Host in the caller's request. A route without a host matches any host.
        """
        return self._routes.find(path.partition("?")[0], host)

    def service_for(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if not route.backends:
            return route.service
        return self._rotations[route.identity].next_service()

    def runtime(self, name: str) -> ServiceRuntime | None:
        """Return the runtime of a service; None if there is no such service."""
        runtime = self._runtimes.get(name)
        if runtime is None:
            service = self._services.get(name)
            if service is None:
                return None
            policy = ServicePolicy(
                service,
                self.zone,
                self.rng,
                self.settings,
                self.limits,
                self.advisories,
            )
            policy.evacuate(self.evacuated)
            runtime = ServiceRuntime(policy)
            self._runtimes[name] = runtime
            self._update(name)
            self.on_start(policy)
        return runtime

    def active(self) -> dict[str, ServiceRuntime]:
        """Return the services that have had a request at this daemon."""
        return self._runtimes

    def targets(self) -> list:
        """Return the targets of all services."""
        return [target for targets in self._targets.values() for target in targets]
