"""Requests, attempts and decisions."""

import enum

import attrs

from cairnferry.policy.shared import RequestIdentity
from cairnferry.policy.targets import TargetState
from cairnferry.records import Priority, RefusalContract, Target


class Cause(enum.StrEnum):
    """Why a request is given up."""

    DEADLINE = "deadline"
    OVERLOAD = "overload"
    NO_TARGET = "no-target"
    RETRIES_EXHAUSTED = "retries-exhausted"
    TARGET_LOST = "target-lost"
    CALLER_GONE = "caller-gone"
    CRASHES_TARGETS = "ends-targets"
    TARGET_LIMIT = "target-limit"
    EVACUATED = "zones-evacuated"
    BACKING_OFF = "targets-resting"


class AttemptKind(enum.StrEnum):
    """Why an attempt is made."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


@attrs.define(eq=False)
class Call:
    """One request of a caller.

    Attributes
    ----------
    arrived, deadline : float
        Times in seconds.
    idempotent : bool
        Whether it may run more than once.
    priority : Priority
        Class of the request.
    may_retry : bool
        False if a layer above already repeats it.
    attempts : list of Attempt
        Attempts made so far.
    possibly_run : bool
        Whether an attempt ended that may have run.
    max_attempts : int or None
        Most attempts that its route allows; None leaves it to the settings.
    objective : float or None
        Time in seconds up to which an answer is of full use.
    rank : int
        Order among waiting requests; 0 goes first.
    route : str
        Name of its route: requests of one route are alike.
    search : Search
        Targets asked for the attempt that is being prepared.
    identity : RequestIdentity or None
        Tells it from others; None where it is never compared.
    is_suspect : bool
        Whether a target ended under a request like it: then it is never at two targets
        at the same moment.
    is_isolated : bool
        Whether no other one like it runs at this daemon meanwhile.
    is_trial : bool
        Whether it tries if a target runs by now what ended others.
    """

    arrived: float
    deadline: float
    idempotent: bool
    priority: Priority = Priority.INTERACTIVE
    may_retry: bool = True
    attempts: list["Attempt"] = attrs.field(factory=list)
    possibly_run: bool = False
    max_attempts: int | None = None
    objective: float | None = None
    rank: int = 0
    route: str = ""
    search: "Search" = attrs.field(factory=lambda: Search())
    identity: RequestIdentity | None = None
    is_suspect: bool = False
    is_isolated: bool = False
    is_trial: bool = False

    def tried(self, target: TargetState) -> bool:
        """Tell whether an attempt went to this start of a target."""
        return any(each.target.identity == target.identity for each in self.attempts)

    @property
    def open_attempts(self) -> int:
        """Attempts without result so far."""
        return sum(not attempt.ended for attempt in self.attempts)


@attrs.define
class Search:
    """How far the search for a target has come.

    Attributes
    ----------
    kind : AttemptKind
        Why an attempt is to be made.
    rounds : int
        Rounds of status checks made.
    asked : set of str
        Names of the targets that were asked.
    may_relay : bool
        Whether an answer is there already, to be relayed if no target is found.
    pauses : int
        How often it was let wait for a permit.
    """

    kind: AttemptKind = AttemptKind.FIRST
    rounds: int = 0
    checked: set[str] = attrs.field(factory=set)
    may_relay: bool = False
    pauses: int = 0


@attrs.define(eq=False)
class Attempt:
    """One sending of a request to one target.

    Attributes
    ----------
    call : Call
        The request.
    target : TargetState
        Where it goes.
    kind : AttemptKind
        Why it is made.
    started : float
        Time in seconds.
    trial : bool
        Whether it tests an ejected target.
    cost : float
        How many times longer than usual it is expected to take.
    ended : bool
        Whether its result is known.
    """

    call: Call
    target: TargetState
    kind: AttemptKind
    started: float
    trial: bool = False
    cost: float = 1.0
    ended: bool = False

    @property
    def target_name(self) -> str:
        """Name of the target's record."""
        return self.target.record.name

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port of the target."""
        return self.target.record.address

    @property
    def refusal(self) -> RefusalContract | None:
        """How the target says that it did not run a request."""
        return self.target.record.refusal


@attrs.frozen
class Send:
    """Send the attempt now."""

    attempt: Attempt


@attrs.frozen
class CheckStatus:
    """Ask these targets for their load, all at once, then call `checked`.

    Attributes
    ----------
    targets : tuple of Target
        Records of the targets.
    """

    targets: tuple[Target, ...]


@attrs.frozen
class Wait:
    """Wait; `ServicePolicy.release` decides later.

    Attributes
    ----------
    until : float
        Latest time in seconds by which it will be decided.
    """

    until: float


@attrs.frozen
class Pause:
    """Wait so long, then call `checked`.

    Attributes
    ----------
    seconds : float
        Time to wait.
    """

    seconds: float


@attrs.frozen
class Relay:
    """Pass the target's answer on to the caller."""


@attrs.frozen
class AwaitOthers:
    """Do nothing: another attempt of the same request decides."""


@attrs.frozen
class Refuse:
    """Tell the caller at once that the request was not run.

    Attributes
    ----------
    cause : Cause
        Why.
    retry_after : float
        When to come back, in seconds.
    """

    cause: Cause
    retry_after: float


@attrs.frozen
class GiveUp:
    """Tell the caller at once that it is unknown whether the request ran."""

    cause: Cause
    retry_after: float


Decision = Send | CheckStatus | Wait | Pause | Relay | AwaitOthers | Refuse | GiveUp
