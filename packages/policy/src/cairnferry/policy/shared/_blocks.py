"""Ends of targets under requests, blocks, and what is decided about a request.

All times are monotonic seconds of one clock.
"""

from collections.abc import Collection, Iterable

import attrs

# Seconds after a block was set, and after each failed trial, at which one request may
# try whether a target runs it by now; the pause grows by the factor up to the longest.
# A release may have mended the targets, but each trial may cost one of them.
FIRST_TRIAL_S = 20.0
TRIAL_FACTOR = 4.0
MAX_TRIAL_S = 3600.0
# Seconds after a trial is due at which a block that nobody asks for is forgotten.
FORGET_S = 24 * 3600.0
# Seconds within which ends of one target are the same end, seen by several daemons. A
# target takes longer to start, and may do so under the same name.
SAME_CRASH_S = 1.0
# Scope of a block that holds for all callers.
ALL_CALLERS = "*"


@attrs.frozen
class TargetCrash:
    """A target that ended with a request in hand.

    Attributes
    ----------
    target : str
        Name of the target's start.
    caller : str
        Tag of the request's caller.
    started, ended : float
        When the request was sent, and the target ended.
    """

    target: str
    caller: str
    started: float
    ended: float

    def is_same(self, other: "TargetCrash") -> bool:
        """Tell whether both are one end, under requests of one caller."""
        if (self.target, self.caller) != (other.target, other.caller):
            return False
        return abs(self.ended - other.ended) < SAME_CRASH_S


@attrs.frozen
class Block:
    """That a request is kept from targets.

    Attributes
    ----------
    at : float
        When the last of the targets that prove it ended.
    since : float
        When the first of the runs that prove it began: an answer after that disproves
        it, also one that is heard of later.
    trials : int
        Trials made.
    """

    at: float
    since: float
    trials: int = 0

    @property
    def next_trial(self) -> float:
        """Time from which the next trial may be made."""
        pauses = (FIRST_TRIAL_S * TRIAL_FACTOR**n for n in range(self.trials + 1))
        return self.at + sum(min(MAX_TRIAL_S, pause) for pause in pauses)

    def is_in_effect(self, now: float) -> bool:
        """Tell whether it is in force."""
        return now < self.next_trial + FORGET_S


@attrs.frozen
class BlockRef:
    """What a block is about.

    Attributes
    ----------
    content : str
        Digest of the request.
    scope : str
        Tag of the caller for which it holds, or `ALL_CALLERS`.
    """

    content: str
    scope: str


@attrs.frozen
class Unrestricted:
    """Nothing is held against the request."""


@attrs.frozen
class Suspect:
    """Targets ended under the request.

    Attributes
    ----------
    alone : bool
        Whether it is to be run by itself, and not sent on.
    """

    isolated: bool


@attrs.frozen
class Quarantined:
    """The request is kept from targets.

    Attributes
    ----------
    ref : BlockRef
        Which block it is.
    block : Block
        The block.
    retry_after : float
        Seconds until it may be tried again; 0 if it may be tried now.
    """

    ref: BlockRef
    block: Block
    retry_after: float


Verdict = Unrestricted | Suspect | Quarantined
UNRESTRICTED = Unrestricted()


def runs_in_turn(ends: Iterable[TargetCrash]) -> list[TargetCrash]:
    """Give the ends that prove something: each run began after the one before ended.

    A rack that is lost, and a request that several daemons run at the same moment, are
    one event, however many targets it takes.
    """
    runs = []
    for end in sorted(ends, key=lambda end: end.ended):
        if not runs or end.started >= runs[-1].ended:
            runs.append(end)
    return runs


def runs_of_several(ends: Collection[TargetCrash]) -> list[TargetCrash]:
    """Give three runs in turn, of two callers or more; none if there are none.

    Of all such the ones that begin last. Any three will do, not those in the chain of
    `runs_in_turn`: which ones these are depends on ends that are heard of later, and
    daemons that hear in another order would not come to the same end.
    """
    found = [_around(middle, ends) for middle in ends]
    proofs = [runs for runs in found if runs]
    return max(proofs, key=lambda runs: runs[0].started, default=[])


def _around(middle, ends):
    """Give a run before and one after a run, so that not all three are one caller's."""
    before = [end for end in ends if end.ended <= middle.started]
    after = [end for end in ends if end.started >= middle.ended]
    last = max(
        after, key=lambda end: (end.caller != middle.caller, end.ended), default=None
    )
    if last is None:
        return []
    if last.caller == middle.caller:
        before = [end for end in before if end.caller != middle.caller]
    first = max(before, key=lambda end: end.started, default=None)
    return [first, middle, last] if first is not None else []
