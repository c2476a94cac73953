"""Applications for the requests of callers, and of peers' callers."""

import time

from cairnferry.entry.callers import CallersApp, DetourApp, Forwarder, StartupRetry
from cairnferry.entry.http import AdoptedServer
from cairnferry.entry.members import Steering


def callers_app(core, steering: Steering | None) -> CallersApp:
    """Return the application for callers.

    Parameters
    ----------
    core : Core
        The daemon.
    steering : Steering or None
        Determines which entry instances a caller uses; None if not served here.
    """
    return _app(CallersApp, core, core.detours.has_peers, steering, core.detours)


def detour_server(core) -> AdoptedServer:
    """Return the server of requests that peers pass on.

    It does not pass them on once more: a request whose service is not reachable from
    here either goes back to the peer.

    Parameters
    ----------
    core : Core
        The daemon.
    """
    return AdoptedServer(
        core.cfg.peers.listen.as_tuple(),
        _app(DetourApp, core, lambda: True),
        core.cfg.caller_limits,
        core.link,
        core.memory,
    )


def _app(app_class, core, can_detour, steering=None, detours=None):
    forwarder = Forwarder(
        core.upstreams,
        core.checks,
        core.crash_detector,
        core.guard,
        core.limiter,
        core.advisory_recorder,
        can_detour,
        core.departure,
    )
    return app_class(
        core.services,
        forwarder,
        steering,
        core.metrics,
        core.cfg.bodies,
        core.conventions.callers,
        StartupRetry(time.monotonic(), core.cluster.any_peer_has_rules),
        core.workspaces,
        core.startup_hold,
        core.workspace_limits.limiter,
        detours,
        core.cfg.name,
        core.departure,
        core.cluster.has_usable_peer,
    )
