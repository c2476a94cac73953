"""Status, dump and metrics of a daemon."""

import json
import logging
import time
from collections.abc import Callable

import attrs

from cairnferry.entry.callers import CrashGuard
from cairnferry.entry.http import TEXT, Memory, Page, PipelinedServer
from cairnferry.entry.members import Cluster, Gossip
from cairnferry.entry.targets import AdvisoryRecorder, Limiter, Services, Upstreams
from cairnferry.entry.telemetry import Metrics, dropped_lines, render_metrics
from cairnferry.entry.workspaces import WorkspaceLimiter, WorkspaceRegistry
from cairnferry.peers import ByteMeter

log = logging.getLogger(__name__)


@attrs.frozen
class StateView:
    """The state of a daemon as plain values, without secrets.

    Parameters
    ----------
    cluster, gossip : Cluster, Gossip
        View of the other daemons, and exchange with them.
    callers : PipelinedServer
        The callers' listener.
    upstreams, services : Upstreams, Services
        The targets.
    peer_meter : ByteMeter
        Bytes exchanged with other daemons.
    metrics : Metrics
        Counters and histograms.
    guard : CrashGuard
        Requests that are blocked because they crash targets.
    limiter : Limiter
        Limits that targets advertise.
    advisory_recorder : AdvisoryRecorder
        Advisories of targets.
    workspaces : WorkspaceRegistry
        Workspaces in force.
    workspace_limiter : WorkspaceLimiter
        Limits of workspaces.
    memory : Memory
        Memory that is held for callers.
    table_ages : callable
        Returns the seconds since each table that this daemon follows in the platform's
        store was confirmed, by its name.
    """

    cluster: Cluster
    gossip: Gossip
    callers: PipelinedServer
    upstreams: Upstreams
    services: Services
    peer_meter: ByteMeter
    metrics: Metrics
    guard: CrashGuard
    limiter: Limiter
    advisory_recorder: AdvisoryRecorder
    workspaces: WorkspaceRegistry
    workspace_limiter: WorkspaceLimiter
    memory: Memory
    table_ages: Callable[[], dict[str, float]]

    def status(self) -> dict:
        """Return this daemon's view of all daemons."""
        cluster = self.cluster
        me = cluster.membership.me
        behind = cluster.configuration.behind
        return {
            "instance": me.name,
            "zone": me.zone,
            "state": me.state.name.lower(),
            "revision": cluster.configuration.revision,
            "evacuated": sorted(self.services.evacuated),
            "behind": str(getattr(behind, "fault", behind)) if behind else None,
            **cluster.snapshot(),
        }

    def dump(self) -> dict:
        """Return the complete state of this daemon."""
        now = time.monotonic()
        meter = self.peer_meter
        return {
            **self.status(),
            "connections": {
                "callers": self.callers.connections,
                "callers_busy": self.callers.busy,
                "callers_refused": self.callers.refused_connections,
                "requests_ahead": self.callers.lookahead.total,
                "targets": self.upstreams.counts(),
            },
            "memory": self.memory.snapshot(),
            "table_ages_s": {
                name: round(age, 3) for name, age in self.table_ages().items()
            },
            "peers": {
                "sent_bytes": meter.sent,
                "received_bytes": meter.received,
                "messages": meter.messages,
                "rounds": self.gossip.rounds,
            },
            "called_bytes": {
                " ".join(key): count for key, count in sorted(meter.call_bytes.items())
            },
            "services": {
                name: runtime.policy.snapshot(now)
                for name, runtime in self.services.active().items()
            },
            "blocked_requests": self.guard.snapshot(),
            "limits": self.limiter.snapshot(),
            "workspaces": self.workspaces.snapshot(),
            "workspace_limits": self.workspace_limiter.snapshot(),
            "target_words": self.advisory_recorder.snapshot(),
            "log_lines_dropped": dropped_lines(),
            "metrics": self.metrics.snapshot(),
        }

    def metrics_page(self, url: str) -> Page:
        """Return the page of metrics as text."""
        text = render_metrics(self.dump())
        return Page("200 OK", text.encode(), TEXT)

    def log_dump(self) -> None:
        """Write the state to the log."""
        log.info("dump", extra={"dump": json.loads(json.dumps(self.dump()))})
