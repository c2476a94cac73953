"""Routes and services in force at this daemon."""

import random
import time
from collections.abc import Callable

import attrs

from cairnferry.entry._runtime import ServiceRuntime
from cairnferry.policy import PolicySettings, ServicePolicy
from cairnferry.records import Kind, RecordKey, RecordSet, Route


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
    """

    zone: str
    rng: random.Random
    on_start: Callable[[ServicePolicy], None]
    settings: PolicySettings = PolicySettings()
    records: RecordSet = attrs.field(factory=RecordSet)
    _routes: dict[str, Route] = attrs.field(factory=dict)
    _targets: dict[str, list] = attrs.field(factory=dict)
    _runtimes: dict[str, ServiceRuntime] = attrs.field(factory=dict)

    def install(self, records: RecordSet) -> None:
        """Put a set of records in force."""
        self.records = records
        self._routes = {
            route.path_prefix.rstrip("/"): route
            for route in records.of_kind(Kind.ROUTE)
        }
        self._targets = {}
        for target in records.of_kind(Kind.TARGET):
            self._targets.setdefault(target.service, []).append(target)
        for name in list(self._runtimes):
            self._update(name)

    def _update(self, name):
        entry = self.records.entries.get(RecordKey(Kind.SERVICE, name))
        if entry is None:
            del self._runtimes[name]
            return
        targets = self._targets.get(name, [])
        runtime = self._runtimes[name]
        runtime.policy.update(entry.record, targets, time.monotonic())
        runtime.settle_waiting()

    def route(self, path: str) -> Route | None:
        """Give the route with the longest prefix of whole path segments."""
        prefix = path.partition("?")[0].rstrip("/")
        while True:
            route = self._routes.get(prefix)
            if route is not None or not prefix:
                return route
            prefix = prefix.rpartition("/")[0]

    def runtime(self, name: str) -> ServiceRuntime | None:
        """Give what runs a service here; None if there is no such service."""
        runtime = self._runtimes.get(name)
        if runtime is None:
            entry = self.records.entries.get(RecordKey(Kind.SERVICE, name))
            if entry is None:
                return None
            policy = ServicePolicy(entry.record, self.zone, self.rng, self.settings)
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
