"""Routes and services in force at this daemon."""

import random
import time
from collections.abc import Callable

import attrs

from cairnferry.entry.targets._runtime import ServiceRuntime
from cairnferry.entry.targets._weights import WeightedTurns
from cairnferry.policy import (
    AdvisoryRegistry,
    PolicySettings,
    ServicePolicy,
    TargetLimits,
)
from cairnferry.records import Kind, RecordSet, Route, Service, Target


@attrs.define
class Services:
    """Finds the route and the policy for a path.

    The policy of a service is made at its first request: a daemon to which a
    service is not steered holds nothing for it but its records.

    Parameters
    ----------
    zone : str
        Availability zone of this daemon.
    rng : random.Random
        Source of randomness.
    on_start : callable
        Called with each policy that is made, to tell it what is known already.
    settings : PolicySettings, optional
        Constants of the policies.
    limits : TargetLimits, optional
        Limits that targets name.
    holds : AdvisoryRegistry, optional
        What targets have asked of this daemon.

    Attributes
    ----------
    evacuated : frozenset of str
        Availability zones whose targets are sent nothing.
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
    _routes: dict[tuple[str | None, str], Route] = attrs.field(factory=dict)
    _shares: dict[str, WeightedTurns] = attrs.field(factory=dict)
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
        """Put services and routes in force, where targets come from elsewhere."""
        self._set_rules(revision, services, routes)
        self._update_all()

    def _set_rules(self, revision, services, routes):
        self.revision = revision
        self._services = {service.name: service for service in services}
        self._routes = {
            (route.host, route.path_prefix.rstrip("/")): route for route in routes
        }
        self._shares = {
            route.name: self._turns(route) for route in routes if route.backends
        }

    def _turns(self, route):
        """Go on with the turns of a route whose weights are the same as before.

        Beginning anew at each change would give the first backend more than its
        part where changes come in quick succession.
        """
        known = self._shares.get(route.name)
        if known is not None and known.backends == route.backends:
            return known
        return WeightedTurns.start(route.backends, self.rng)

    def install_targets(self, targets: list[Target]) -> None:
        """Put the targets of all services in force."""
        self._targets = {}
        for target in targets:
            self._targets.setdefault(target.service, []).append(target)
        self._update_all()

    def evacuate(self, zones: frozenset[str]) -> None:
        """Send nothing to the targets of these availability zones, and of no others."""
        self.evacuated = zones
        for runtime in self._runtimes.values():
            runtime.policy.evacuate(zones)
            runtime.settle_waiting()

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
        runtime.settle_waiting()

    def route(self, path: str, host: str | None = None) -> Route | None:
        """Give the route with the longest prefix of whole path segments.

        Parameters
        ----------
        path : str
            As in the request line, with its query.
        host : str or None
            Host that the caller named; a route without one takes any.
        """
        name = host and _host_name(host)
        prefix = path.partition("?")[0].rstrip("/")
        while True:
            route = self._routes.get((name, prefix)) or self._routes.get((None, prefix))
            if route is not None or not prefix:
                return route
            prefix = prefix.rpartition("/")[0]

    def service_for(self, route: Route) -> str:
        """Give the service for the next request of a route."""
        turns = self._shares.get(route.name)
        return turns.take() if turns else route.service

    def runtime(self, name: str) -> ServiceRuntime | None:
        """Give what runs a service here; None if there is no such service."""
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
        """Give the services that have had a request here."""
        return self._runtimes

    def targets(self) -> list:
        """List the targets of all services."""
        return [target for targets in self._targets.values() for target in targets]


def _host_name(host):
    """Drop the port; names compare without regard to case."""
    return host.partition(":")[0].lower()
