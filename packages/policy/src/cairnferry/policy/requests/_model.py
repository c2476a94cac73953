"""Data model of requests, attempts and decisions."""

import enum

import attrs

from cairnferry.policy.shared import RequestIdentity
from cairnferry.policy.targets import TargetState
from cairnferry.records import Priority, RefusalContract, RouteIdentity, Target


class Cause(enum.StrEnum):
    """Reason for giving up a request."""

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
    WORKSPACE_LIMIT = "workspace-limit"
    LIMIT_UNVERIFIED = "limit-unverified"
    BODIES_FULL = "bodies-full"
    MEMORY_FULL = "memory-full"
    KEY_UNKNOWN = "key-unknown"
    UNREACHABLE = "targets-unreachable"
    LEAVING = "leaving"


class AttemptKind(enum.StrEnum):
    """Reason for an attempt."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


@attrs.define(eq=False)
class Call:
    """One request of a caller.

    Attributes
    ----------
    arrived, deadline : float
        Times of arrival and of the deadline in seconds.
    idempotent : bool
        Whether the request may run more than once.
    priority : Priority
        Priority of the request.
    may_retry : bool
        False if a layer above already retries the request.
    attempts : list of Attempt
        Attempts started so far.
    possibly_run : bool
        Whether an attempt has ended that may have run.
    max_attempts : int or None
        Largest number of attempts that the route allows; None uses the settings.
    objective : float or None
        Time in seconds by which a response is useful to the caller; None if not set.
    rank : int
        Urgency; 0 is the most urgent.
    route : RouteIdentity or str
        What tells the route apart from others. Requests of one route take a similar
        amount of work.
    route_name : str
        Name of the route for people, which several routes may have.
    search : Search
        State of the search for the target of the next attempt.
    identity : RequestIdentity or None
        Identity for comparison with other requests; None if it is never compared.
    is_suspect : bool
        Whether a target crashed under an identical request. Such a request is never
        at two targets at the same time.
    is_isolated : bool
        Whether no identical request runs at this daemon at the same time.
    is_trial : bool
        Whether the request tests if targets no longer crash under requests like it.
    workspace : str
        Name of the caller's workspace; empty if it has none.
    spent : float
        Seconds that the caller has spent on earlier attempts; 0 if not known.
    is_unreached : bool
        Whether the connection for an attempt could not be opened.
    detours : list of str
        Peers that were asked to serve the request, each with its answer, for the log.
    received_from : str
        Name of the peer that passed the request on; empty if a caller sent it.
    is_late : bool
        Whether the request was read after the listener of a stopping daemon closed.
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
    route: RouteIdentity | str = ""
    route_name: str = ""
    search: "Search" = attrs.field(factory=lambda: Search())
    identity: RequestIdentity | None = None
    is_suspect: bool = False
    is_isolated: bool = False
    is_trial: bool = False
    workspace: str = ""
    spent: float = 0.0
    is_unreached: bool = False
    detours: list[str] = attrs.field(factory=list)
    received_from: str = ""
    is_late: bool = False

    def is_overdue(self, now: float) -> bool:
        """Return whether the objective, counted from the first attempt, has passed."""
        return self.objective is not None and now >= self.objective - self.spent

    def tried(self, target: TargetState) -> bool:
        """Return whether an attempt was sent to this run of a target."""
        return any(each.target.identity == target.identity for each in self.attempts)

    @property
    def open_attempts(self) -> int:
        """Number of attempts without a result."""
        return sum(not attempt.ended for attempt in self.attempts)


@attrs.define
class Search:
    """State of the search for a target.

    Attributes
    ----------
    kind : AttemptKind
        Reason for the attempt.
    rounds : int
        Number of rounds of status checks made.
    checked : set of str
        Identities of the targets that were checked.
    may_relay : bool
        Whether a response is available to relay if no target is found.
    pauses : int
        Number of pauses made to wait for a permit.
    """

    kind: AttemptKind = AttemptKind.FIRST
    rounds: int = 0
    checked: set[str] = attrs.field(factory=set)
    may_relay: bool = False
    pauses: int = 0


@attrs.define(eq=False)
class Attempt:
    """One transmission of a request to one target.

    Attributes
    ----------
    call : Call
        The request.
    target : TargetState
        The target.
    kind : AttemptKind
        Reason for the attempt.
    started : float
        Start time in seconds.
    trial : bool
        Whether the attempt tests an ejected target.
    cost : float
        Expected time as a multiple of the usual time.
    ended : bool
        Whether the attempt has a result.
    failure : str
        Description of an exchange without an answer, for the log; empty if there was
        an answer or none is due yet.
    """

    call: Call
    target: TargetState
    kind: AttemptKind
    started: float
    trial: bool = False
    cost: float = 1.0
    ended: bool = False
    failure: str = ""

    @property
    def target_name(self) -> str:
        """Name in the target's record."""
        return self.target.record.name

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port of the target."""
        return self.target.record.address

    @property
    def refusal(self) -> RefusalContract | None:
        """Contract by which the target signals that it did not run a request."""
        return self.target.record.refusal


@attrs.frozen
class Send:
    """Send the attempt now.

    Attributes
    ----------
    attempt : Attempt
        The attempt, which has already been counted as started.
    """

    attempt: Attempt


@attrs.frozen
class CheckStatus:
    """Check the status of these targets concurrently, then call `ServicePolicy.resume`.

    Attributes
    ----------
    targets : tuple of Target
        Records of the targets.
    """

    targets: tuple[Target, ...]


@attrs.frozen
class Wait:
    """Wait until `ServicePolicy.release` returns the next decision.

    Attributes
    ----------
    until : float
        Latest time in seconds of the next decision.
    """

    until: float


@attrs.frozen
class Pause:
    """Wait for a given time, then call `ServicePolicy.resume`.

    Attributes
    ----------
    seconds : float
        Time to wait.
    """

    seconds: float


@attrs.frozen
class Relay:
    """Relay the target's response to the caller."""


@attrs.frozen
class AwaitOthers:
    """Do nothing; the result of another attempt of the same request decides."""


@attrs.frozen
class Refuse:
    """Report to the caller immediately that the request did not run.

    Attributes
    ----------
    cause : Cause
        Reason for giving up the request.
    retry_after : float
        Retry-After in seconds.
    """

    cause: Cause
    retry_after: float


@attrs.frozen
class GiveUp:
    """Report to the caller immediately that it is unknown whether the request ran.

    Attributes
    ----------
    cause : Cause
        Reason for giving up the request.
    retry_after : float
        Retry-After in seconds.
    """

    cause: Cause
    retry_after: float


Decision = Send | CheckStatus | Wait | Pause | Relay | AwaitOthers | Refuse | GiveUp
