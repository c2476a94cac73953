"""Settings of a daemon on an instance that keeps nothing and may vanish at any time."""

from cairnferry.entry.callers import BodyLimits
from cairnferry.entry.core._core_settings import (
    CoreSettings,
    LeavingTimes,
    PeerSettings,
)
from cairnferry.entry.http import Limits
from cairnferry.policy import settings_for
from cairnferry.settings import Address

# Seconds for which callers keep a steering answer: as long as that a daemon that
# died goes on to be tried. Some keep an answer three times as long.
ANSWER_TTL_S = 1.0
STALE_ANSWERS = 3
# Seconds that are kept free before the process is killed.
STOP_MARGIN_S = 0.6
MIN_FINISH_S = 0.5
# Limits of callers until the rules tell other ones: seconds for a head and between
# requests, bytes of a body.
HEAD_S = 3.0
IDLE_S = 15.0
BODY_BYTES = 1 << 20
# Seconds for a request's body to arrive; longer than any caller waits for its answer.
BODY_S = 10.0
# Descriptors that are left for targets, peers and the platform, and least for callers.
OTHER_FILES = 1200
MIN_CALLERS = 64
# Connections to the pages for the platform, and to the directory.
PAGE_CONNECTIONS = 1000
# Seconds between two rounds of heartbeats, and peers called in each: with 2, each
# is called by two others in a round, on the mean, however many there are.
HEARTBEAT_S = 0.5
FANOUT = 2
# Seconds to open a connection to a target, which takes some milliseconds unless it is
# gone, and the longest body of its answers, which is held whole.
CONNECT_S = 1.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024


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
) -> CoreSettings:
    """Give the settings of a daemon from what its platform tells.

    Parameters
    ----------
    name, zone : str
        Name and availability zone of the instance.
    callers, peers : Address
        Where callers and other daemons connect.
    max_ttl_s : float
        Longest time in seconds for which callers may keep a steering answer.
    stop_s : float
        Seconds from the request to stop to the kill.
    max_files : int
        Descriptors of the process.
    checks_per_s : float
        Status checks a second and target, over all instances.
    link_bytes_per_s : float
        Rate of the instance's link; infinite if it is not known.
    """
    ttl = min(ANSWER_TTL_S, max_ttl_s)
    serve_s = STALE_ANSWERS * ttl
    callers_limit = max(MIN_CALLERS, max_files - OTHER_FILES)
    return CoreSettings(
        name=name,
        zone=zone,
        callers=callers,
        caller_limits=Limits(callers_limit, IDLE_S, HEAD_S),
        page_limits=Limits(PAGE_CONNECTIONS, IDLE_S, HEAD_S),
        bodies=BodyLimits(BODY_BYTES, BODY_S),
        answer_ttl_s=ttl,
        shard=0,
        peers=PeerSettings(
            peers,
            str(peers),
            HEARTBEAT_S,
            FANOUT,
            link_bytes_per_s=link_bytes_per_s,
        ),
        connect_s=CONNECT_S,
        max_answer_bytes=MAX_ANSWER_BYTES,
        policy=settings_for("ask-first"),
        checks_per_s=checks_per_s,
        leaving=LeavingTimes(
            serve_s, max(MIN_FINISH_S, stop_s - serve_s - STOP_MARGIN_S)
        ),
    )
