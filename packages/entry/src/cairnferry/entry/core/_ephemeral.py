"""Settings of a daemon on an ephemeral instance, without persistent state."""

import math

from cairnferry.entry.callers import BodyLimits
from cairnferry.entry.core._core_settings import (
    CoreSettings,
    PeerSettings,
    default_memory_bytes,
)
from cairnferry.entry.http import ListenerLimits
from cairnferry.policy import LeavingTimes, LimitTolerance, settings_for
from cairnferry.settings import Address

# Seconds for which callers cache a steering answer. Callers continue to try a lost
# daemon for this time.
ANSWER_TTL_S = 0.9
# Multiple of that time for which some callers use an answer.
STALE_ANSWER_FACTOR = 3
# Seconds between the end of the drain and the time at which the process is killed, and
# their largest share of the time to stop.
STOP_MARGIN_S = 0.6
MAX_MARGIN_SHARE = 0.1
# Share of the time to stop in which new connections are accepted at most. A daemon with
# little time would else be killed while it serves.
SERVE_SHARE = 0.5
# Limits of callers until the rules set others: seconds for a request's head to arrive,
# seconds between two requests, and bytes of a body.
HEAD_S = 3.0
IDLE_S = 15.0
BODY_BYTES = 1 << 20
# Seconds for a request's body to arrive; longer than any caller waits for its response.
BODY_S = 10.0
# File descriptors reserved for targets, peers and the platform.
RESERVED_FILES = 1200
# Minimum limit of callers' connections, if there are few file descriptors.
MIN_CALLER_CONNECTIONS = 64
# Maximum connections to each listener of pages (readiness, directory, handover and
# metrics) and from other daemons, as shares of the file descriptors.
PAGE_CONNECTIONS_SHARE = 1 / 40
PEER_CONNECTIONS_SHARE = 1 / 16
# Seconds between two rounds of heartbeats, and peers called in each. With 2, each
# daemon is called by two others per round on average, regardless of their number.
HEARTBEAT_S = 0.5
FANOUT = 2
# Timeout in seconds to open a connection to a target; it takes some milliseconds unless
# the target is lost.
CONNECT_S = 1.0
# Seconds after the start in which requests wait for the first rules: several times what
# a start takes unless the store is unreachable.
HOLD_S = 3.0
# Maximum size in bytes of a target's response body, which is held in memory.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


def answer_ttl_s(max_ttl_s: float, stop_s: float) -> float:
    """Return the time in seconds for which callers cache a steering answer.

    Parameters
    ----------
    max_ttl_s : float
        Longest time in seconds that the platform allows.
    stop_s : float
        Seconds from the request to stop until the process is killed. A daemon serves
        for a multiple of the result after that request.
    """
    longest = SERVE_SHARE * _usable_s(stop_s) / STALE_ANSWER_FACTOR
    return min(ANSWER_TTL_S, max_ttl_s, longest)


def leaving_times(ttl_s: float, stop_s: float) -> LeavingTimes:
    """Return the phases of a departure.

    Parameters
    ----------
    ttl_s : float
        Time in seconds for which callers cache a steering answer.
    stop_s : float
        Seconds from the request to stop until the process is killed.
    """
    usable_s = _usable_s(stop_s)
    serve_s = min(STALE_ANSWER_FACTOR * ttl_s, SERVE_SHARE * usable_s)
    return LeavingTimes(serve_s, usable_s - serve_s)


def _usable_s(stop_s):
    return stop_s - min(STOP_MARGIN_S, MAX_MARGIN_SHARE * stop_s)


def ephemeral_instance_settings(
    *,
    name: str,
    zone: str,
    callers: Address,
    peers: Address,
    max_ttl_s: float,
    stop_s: float,
    max_files: int,
    checks_per_s: float,
    link_bytes_per_s: float,
    workspace_limits: LimitTolerance,
    memory_bytes: float | None = None,
) -> CoreSettings:
    """Return the settings of a daemon, derived from those of its platform.

    Parameters
    ----------
    name, zone : str
        Name and availability zone of the instance.
    callers, peers : Address
        Addresses on which the daemon listens for callers and for other daemons.
    max_ttl_s : float
        Longest time in seconds for which callers may cache a steering answer.
    stop_s : float
        Seconds from the request to stop until the process is killed.
    max_files : int
        Maximum number of file descriptors of the process.
    checks_per_s : float
        Status checks per second and target, over all instances.
    link_bytes_per_s : float
        Rate of the instance's link in bytes per second; infinite if unknown.
    workspace_limits : LimitTolerance
        Tolerance of the limits of workspaces.
    memory_bytes : float or None, optional
        Memory of the instance in bytes; None for all that the machine has.
    """
    ttl = answer_ttl_s(max_ttl_s, stop_s)
    callers_limit = max(MIN_CALLER_CONNECTIONS, max_files - RESERVED_FILES)
    return CoreSettings(
        name=name,
        zone=zone,
        callers=callers,
        caller_limits=ListenerLimits(callers_limit, IDLE_S, HEAD_S),
        page_limits=ListenerLimits(
            math.ceil(PAGE_CONNECTIONS_SHARE * max_files), IDLE_S, HEAD_S
        ),
        bodies=BodyLimits(BODY_BYTES, BODY_S),
        answer_ttl_s=ttl,
        shard=0,
        peers=PeerSettings(
            peers,
            str(peers),
            HEARTBEAT_S,
            FANOUT,
            link_bytes_per_s=link_bytes_per_s,
            max_connections=math.ceil(PEER_CONNECTIONS_SHARE * max_files),
        ),
        connect_s=CONNECT_S,
        max_answer_bytes=MAX_ANSWER_BYTES,
        policy=settings_for("ask-first"),
        checks_per_s=checks_per_s,
        workspace_limits=workspace_limits,
        leaving=leaving_times(ttl, stop_s),
        hold_s=HOLD_S,
        memory_bytes=default_memory_bytes(memory_bytes),
    )
