"""Crashes of targets that run a request, blocks, and verdicts on requests.

All times are monotonic seconds of one clock.
"""

from collections.abc import Collection, Iterable

import attrs

# Seconds after a block is set, and after each failed trial, until one request may test
# whether a target can run it. The delay grows by the factor, up to the maximum. A new
# release may have fixed the targets, but each failed trial crashes one of them.
FIRST_TRIAL_S = 20.0
TRIAL_FACTOR = 4.0
MAX_TRIAL_S = 3600.0
# Seconds for which a block remains in effect after its next trial is due, if no caller
# sends the request.
TRIAL_WAIT_S = 24 * 3600.0
# Seconds within which several reports of a target's crash, by several daemons, count as
# one crash. A target takes longer than this to restart, which it may do under the same
# name.
SAME_CRASH_S = 1.0
# Scope of a block that applies to all callers.
ALL_CALLERS = "*"


@attrs.frozen
class TargetCrash:
    """A crash of a target while it ran a request.

    Attributes
    ----------
    target : str
        Identity of the target.
    caller : str
        Tag of the request's caller.
    started, ended : float
        Times in seconds at which the request was sent and the target crashed.
    """

    target: str
    caller: str
    started: float
    ended: float

    def is_same(self, other: "TargetCrash") -> bool:
        """Return whether both are reports of one crash, under one caller's requests."""
        if (self.target, self.caller) != (other.target, other.caller):
            return False
        return abs(self.ended - other.ended) < SAME_CRASH_S


@attrs.frozen
class Block:
    """A block, which keeps a request from being sent to targets.

    Attributes
    ----------
    at : float
        Time in seconds of the last crash that justifies the block.
    since : float
        Time in seconds at which the first run that justifies the block began. A
        response after that time lifts the block, even if it is reported later.
    trials : int
        Number of trials made.
    """

    at: float
    since: float
    trials: int = 0

    @property
    def next_trial(self) -> float:
        """Time in seconds from which the next trial may be made."""
        delays = (FIRST_TRIAL_S * TRIAL_FACTOR**n for n in range(self.trials + 1))
        return self.at + sum(min(MAX_TRIAL_S, delay) for delay in delays)

    def is_in_effect(self, now: float) -> bool:
        """Return whether the block is in effect."""
        return now < self.next_trial + TRIAL_WAIT_S


@attrs.frozen
class BlockRef:
    """The request and the scope that a block applies to.

    Attributes
    ----------
    content : str
        Digest of the request.
    scope : str
        Tag of the caller that it applies to, or `ALL_CALLERS`.
    """

    content: str
    scope: str


@attrs.frozen
class Unrestricted:
    """Verdict: there is no evidence against the request."""


@attrs.frozen
class Suspect:
    """Verdict: targets crashed while they ran the request.

    Attributes
    ----------
    isolated : bool
        Whether the request runs one at a time and is not retried.
    """

    isolated: bool


@attrs.frozen
class Quarantined:
    """Verdict: the request is blocked.

    Attributes
    ----------
    ref : BlockRef
        Request and scope of the block.
    block : Block
        The block.
    retry_after : float
        Seconds until the next trial may be made; 0 if it may be made now.
    """

    ref: BlockRef
    block: Block
    retry_after: float


Verdict = Unrestricted | Suspect | Quarantined
UNRESTRICTED = Unrestricted()


def sequential_runs(crashes: Iterable[TargetCrash]) -> list[TargetCrash]:
    """Return the crashes of sequential runs: each run began after the previous crash.

    A rack failure, or a request that several daemons run at the same time, counts as
    one event, however many targets crash.
    """
    runs = []
    for crash in sorted(crashes, key=lambda crash: crash.ended):
        if not runs or crash.started >= runs[-1].ended:
            runs.append(crash)
    return runs


def sequential_runs_of_callers(crashes: Collection[TargetCrash]) -> list[TargetCrash]:
    """Return three sequential runs by at least two callers, or an empty list.

    Among several such sets, the one that begins last is returned. The runs need not be
    in the chain of `sequential_runs`: that chain depends on crashes that are reported
    later, so daemons that receive reports in another order would decide differently.
    """
    found = [_runs_around(middle, crashes) for middle in crashes]
    complete = [runs for runs in found if runs]
    return max(complete, key=lambda runs: runs[0].started, default=[])


def _runs_around(middle, crashes):
    """Return a run, one before it and one after it, not all by the same caller."""
    before = [crash for crash in crashes if crash.ended <= middle.started]
    after = [crash for crash in crashes if crash.started >= middle.ended]
    last = max(
        after,
        key=lambda crash: (crash.caller != middle.caller, crash.ended),
        default=None,
    )
    if last is None:
        return []
    if last.caller == middle.caller:
        before = [crash for crash in before if crash.caller != middle.caller]
    first = max(before, key=lambda crash: crash.started, default=None)
    return [first, middle, last] if first is not None else []
