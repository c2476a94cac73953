"""What a daemon shows of itself: status, dump and metrics."""

import json
import logging
import time
import typing

import attrs

from cairnferry.entry import _exposition
from cairnferry.entry._logs import dropped_lines
from cairnferry.entry._small_apps import TEXT, Page

if typing.TYPE_CHECKING:
    from cairnferry.entry._core import Core

log = logging.getLogger(__name__)


@attrs.frozen
class StateView:
    """The state of a core as plain values, without secrets."""

    core: "Core"

    def status(self) -> dict:
        """Give this daemon's view of all daemons."""
        cluster = self.core.cluster
        me = cluster.membership.me
        behind = cluster.configuration.behind
        return {
            "instance": me.name,
            "zone": me.zone,
            "state": me.state.name.lower(),
            "revision": cluster.configuration.revision,
            "behind": str(getattr(behind, "fault", behind)) if behind else None,
            **cluster.snapshot(),
        }

    def dump(self) -> dict:
        """Give this daemon's whole state."""
        core = self.core
        now = time.monotonic()
        meter = core.peer_meter
        return {
            **self.status(),
            "connections": {
                "callers": core.callers_server.connections,
                "callers_busy": core.callers_server.busy,
                "callers_refused": core.callers_server.refused_connections,
                "requests_ahead": core.callers_server.lookahead.total,
                "targets": core.upstreams.counts(),
            },
            "peers": {
                "sent_bytes": meter.sent,
                "received_bytes": meter.received,
                "messages": meter.messages,
                "rounds": core.gossip.rounds,
            },
            "services": {
                name: runtime.policy.snapshot(now)
                for name, runtime in core.services.active().items()
            },
            "log_lines_dropped": dropped_lines(),
            "metrics": core.metrics.snapshot(),
        }

    def metrics_page(self, url: str) -> Page:
        """Give the metrics as text."""
        text = _exposition.render(self.dump())
        return Page("200 OK", text.encode(), TEXT)

    def log_dump(self) -> None:
        """Write the state into the log."""
        log.info("dump", extra={"dump": json.loads(json.dumps(self.dump()))})
