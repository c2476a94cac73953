"""Targets of the followed rows, put in force for the services of the rules."""

from collections.abc import Sequence

import attrs

from cairnferry.entry.core import Core
from cairnferry.entry.following._target_rows import TargetRows
from cairnferry.records import Service


@attrs.define
class TargetInstaller:
    """Puts targets in force.

    Parameters
    ----------
    core : Core
        Daemon in which the targets are put in force.
    rows : TargetRows
        Targets by the names of their rows.
    """

    core: Core
    rows: TargetRows

    def install(self, services: Sequence[Service]) -> None:
        """Put the targets of exactly these services in force."""
        by_name = {service.name: service for service in services}
        targets = [
            attrs.evolve(target, health_path=by_name[target.service].health_path)
            for target in self.rows.in_force.values()
            if target.service in by_name and by_name[target.service].health_path
        ]
        self.core.services.install_targets(targets)
        self._record_cold(by_name)
        self.core.upstreams.keep_only(targets)
        self.core.update_shares()

    def _record_cold(self, services):
        for key, warm_at in self.rows.warm_at.items():
            target = self.rows.in_force[key]
            service = services.get(target.service)
            if service is not None:
                self.core.limiter.cold.note_row(target, service, warm_at)
