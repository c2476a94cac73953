"""Decisions about requests: where each goes, when it waits, what follows.

The library opens no socket, reads no clock and holds no global state. A driver
tells it what happens, with the time, and does what the decisions say:

- a request arrives: `ServicePolicy.arrive`;
- an attempt ended: `ServicePolicy.finished`;
- the caller went away: `ServicePolicy.abandon`;
- time passed or room came up: `ServicePolicy.release`;
- something else was learnt of a target: `ServicePolicy.note_draining`,
  `ServicePolicy.note_probe`.

All times are monotonic seconds of one clock.
"""

from cairnferry.policy._blocks import (
    EVERYBODY,
    SAME_END_S,
    Barred,
    Block,
    BlockRef,
    End,
    Free,
    Suspect,
)
from cairnferry.policy._choice import (
    LeastInFlight,
    LoadAware,
    RandomChoice,
    RoundRobin,
    Strategy,
    TwoChoices,
)
from cairnferry.policy._cold import Cold, ColdBook
from cairnferry.policy._events import Belief, TargetEvent
from cairnferry.policy._evidence import (
    Answered,
    AttemptResult,
    Lost,
    NotRun,
    TargetRefused,
)
from cairnferry.policy._identity import RequestIdentity
from cairnferry.policy._limits import NO_LIMIT, LimitBook, NamedLimit
from cairnferry.policy._model import (
    Abandoned,
    Ask,
    Attempt,
    AttemptKind,
    Call,
    Cause,
    Decision,
    GiveUp,
    LoadReport,
    Pause,
    Refuse,
    Relay,
    Send,
    Wait,
)
from cairnferry.policy._permits import HOLD_S, Grant, PermitSchedule
from cairnferry.policy._probes import ProbePlan, ProbeShare, probe_share
from cairnferry.policy._quarantine import (
    ALONE_RETRY_S,
    MEMORY_S,
    TRIAL_RETRY_S,
    Quarantine,
)
from cairnferry.policy._seeking import SeekSettings
from cairnferry.policy._service import ServicePolicy
from cairnferry.policy._settings import STRATEGY_NAMES, PolicySettings, settings_for
from cairnferry.policy._target import DrainSource
from cairnferry.policy._target_limits import Permit, TargetLimits, Wanted

__all__ = [
    "ALONE_RETRY_S",
    "EVERYBODY",
    "HOLD_S",
    "MEMORY_S",
    "NO_LIMIT",
    "SAME_END_S",
    "STRATEGY_NAMES",
    "TRIAL_RETRY_S",
    "Abandoned",
    "Answered",
    "Ask",
    "Attempt",
    "AttemptKind",
    "AttemptResult",
    "Barred",
    "Belief",
    "Block",
    "BlockRef",
    "Call",
    "Cause",
    "Cold",
    "ColdBook",
    "Decision",
    "DrainSource",
    "End",
    "Free",
    "GiveUp",
    "Grant",
    "LeastInFlight",
    "LimitBook",
    "LoadAware",
    "LoadReport",
    "Lost",
    "NamedLimit",
    "NotRun",
    "Pause",
    "Permit",
    "PermitSchedule",
    "PolicySettings",
    "ProbePlan",
    "ProbeShare",
    "Quarantine",
    "RandomChoice",
    "Refuse",
    "Relay",
    "RequestIdentity",
    "RoundRobin",
    "Send",
    "SeekSettings",
    "ServicePolicy",
    "Suspect",
    "Strategy",
    "TargetEvent",
    "TargetLimits",
    "TargetRefused",
    "TwoChoices",
    "Wait",
    "Wanted",
    "probe_share",
    "settings_for",
]
