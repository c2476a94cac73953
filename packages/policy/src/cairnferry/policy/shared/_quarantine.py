"""Requests that end the targets that run them: who is blamed, and until when.

One such request, sent on and asked for again, takes target after target from all
others. An end proves little by itself, as a target has many requests in hand when it
ends. So a request is blamed by what only it does: it is run again after an end, on a
target that is well, and that one ends as well, and so a third time, while it never gets
an answer.

All times are monotonic seconds of one clock.
"""

import math
from collections import OrderedDict

import attrs

from cairnferry.policy.shared._blocks import (
    ALL_CALLERS,
    UNRESTRICTED,
    Block,
    BlockRef,
    Quarantined,
    Suspect,
    TargetCrash,
    Verdict,
    runs_in_turn,
    runs_of_several,
)
from cairnferry.policy.shared._identity import RequestIdentity, head_of

# Runs, each begun after the target of the one before had ended, that are proof enough.
# With a tenth of all targets ending in the seconds in which a request is run, one that
# is well is in hand at three such ends once in a thousand times; with two, once in a
# hundred.
ENDS_TO_BLOCK = 3
# Runs from which a request is run by itself: at most one at a time at each daemon, and
# not sent on. Below it one end is what any crash of a target brings to many requests,
# and sending them on is what serves them.
ENDS_TO_ISOLATE = 2
# Callers under which the same request ends targets from which it is kept from all of
# them. With one alone it may be that caller's data.
CALLERS_TO_BLOCK_ALL = 2
# Seconds for which ends are kept in mind. A request that its caller sends every few
# minutes would else never be blamed.
EVIDENCE_RETENTION_S = 600.0
# Requests that are kept in mind, with ends and answers of each. A flood of requests
# that each end a target would else fill an instance's memory; with these it takes
# 6.6 MB (tracemalloc, all of them full).
MAX_CASES = 1024
MAX_ENDS = 24
MAX_ANSWERS = 24
# Seconds after which one that found another of its kind running may come back.
ISOLATED_RETRY_S = 1.0
# Seconds after which one that found another one trying may come back.
TRIAL_RETRY_S = 5.0


@attrs.define
class _Case:
    """What is held against one request."""

    ends: list[TargetCrash] = attrs.field(factory=list)
    answers: dict[str, float] = attrs.field(factory=dict)
    blocks: dict[str, Block] = attrs.field(factory=dict)
    running: int = 0

    def runs(self, scope):
        """Give the runs, one after the other, that speak against a scope."""
        if scope != ALL_CALLERS:
            return runs_in_turn(end for end in self.ends if end.caller == scope)
        ends = self._ends_of_all()
        if len({end.caller for end in ends}) < CALLERS_TO_BLOCK_ALL:
            return []
        return runs_in_turn(ends)

    def proof(self, scope):
        """Give the runs that prove enough against a scope; none if there are none."""
        if scope == ALL_CALLERS:
            return runs_of_several(self._ends_of_all())
        runs = self.runs(scope)[-ENDS_TO_BLOCK:]
        return runs if len(runs) == ENDS_TO_BLOCK else []

    def _ends_of_all(self):
        last = self.answered_at(ALL_CALLERS)
        return [end for end in self.ends if end.started >= last]

    def block_for(self, caller):
        """Give the scope and the block that holds for a caller, if there is one."""
        for scope in (ALL_CALLERS, caller):
            block = self.blocks.get(scope)
            if block is not None:
                return scope, block
        return None

    def answered_at(self, scope):
        """Give when an answer last cleared a scope; any answer clears all callers."""
        if scope == ALL_CALLERS:
            return max(self.answers.values(), default=-math.inf)
        return max(self.answers.get(who, -math.inf) for who in (ALL_CALLERS, scope))

    def drop_expired(self, now):
        self.ends = [end for end in self.ends if now - end.ended < EVIDENCE_RETENTION_S]
        self.blocks = {s: b for s, b in self.blocks.items() if b.is_in_effect(now)}


class Quarantine:
    """Keeps requests that end targets from further ones.

    It holds what this daemon saw and what others tell; each decides by itself, and all
    come to the same end as they hear the same.
    """

    def __init__(self):
        self._cases: OrderedDict[str, _Case] = OrderedDict()
        self._heads: dict[str, int] = {}

    def __len__(self):
        return len(self._cases)

    # -- requests ----------------------------------------------------------------

    def check(self, identity: RequestIdentity, now: float) -> Verdict:
        """Decide whether a request may be sent to a target."""
        case = self._case_of(identity)
        if case is None:
            return UNRESTRICTED
        case.drop_expired(now)
        caller = identity.caller_tag
        found = case.block_for(caller)
        if found is not None:
            scope, block = found
            left = max(0.0, block.next_trial - now)
            return Quarantined(BlockRef(identity.content, scope), block, left)
        runs = max(len(case.runs(scope)) for scope in (ALL_CALLERS, caller))
        return Suspect(runs >= ENDS_TO_ISOLATE) if runs else UNRESTRICTED

    def begin(self, identity: RequestIdentity) -> bool:
        """Take in that a suspect is run; tell whether no other one of its kind is."""
        case = self._case_of(identity)
        if case is None:
            return True
        case.running += 1
        return case.running == 1

    def finish(self, identity: RequestIdentity) -> None:
        """Take in that a suspect is no longer run."""
        case = self._case_of(identity)
        if case is not None and case.running:
            case.running -= 1

    def _case_of(self, identity):
        # The digest of a body is made only for a request whose head is known.
        if not self._cases or identity.head not in self._heads:
            return None
        return self._cases.get(identity.content)

    # -- what happens --------------------------------------------------------------

    def note_crash(self, content: str, end: TargetCrash, now: float) -> bool:
        """Take in an end; tell whether it was news that counts.

        Parameters
        ----------
        content : str
            Digest of the request.
        end : TargetCrash
            The end.
        now : float
            Time in seconds.
        """
        case = self._cases.get(content) or self._open(content)
        if end.started < case.answered_at(end.caller):
            return False
        if any(end.is_same(other) for other in case.ends):
            return False
        case.ends.append(end)
        del case.ends[:-MAX_ENDS]
        case.drop_expired(now)
        self._cases.move_to_end(content)
        return True

    def block_if_proven(self, content: str, now: float) -> list[tuple[BlockRef, Block]]:
        """Set the blocks that the ends of a request prove; give those that are new.

        All of them at once: one that waited for the next end would be missing at a
        daemon that hears of no further one.
        """
        case = self._cases.get(content)
        if case is None or ALL_CALLERS in case.blocks:
            return []
        case.drop_expired(now)
        callers = {end.caller for end in case.ends} - case.blocks.keys()
        found = []
        for scope in (ALL_CALLERS, *sorted(callers)):
            runs = case.proof(scope)
            block = runs and Block(runs[-1].ended, runs[0].started)
            if block and self.apply_block(content, scope, block):
                found.append((BlockRef(content, scope), block))
            if ALL_CALLERS in case.blocks:
                break
        return found

    def is_suspected(self, identity: RequestIdentity) -> bool:
        """Tell whether anything is held against a request."""
        case = self._case_of(identity)
        return case is not None and bool(case.ends or case.blocks)

    def clear(self, content: str, caller: str, at: float) -> list[BlockRef]:
        """Drop what was held against a request before it was answered; give the blocks.

        One that ends each target that runs it gets no answer: whatever ended those
        that it was in hand at, it was not this request.

        What is left may still blame it: `block_if_proven` is to be called after it.

        Parameters
        ----------
        content : str
            Digest of the request.
        caller : str
            Tag of the caller that got the answer; `ALL_CALLERS` clears it for all.
        at : float
            Time in seconds of the answer.
        """
        # One of which no end is known yet as well: what comes first may come last here.
        case = self._cases.get(content) or self._open(content)
        at = max(at, case.answers.pop(caller, at))
        case.answers[caller] = at
        while len(case.answers) > MAX_ANSWERS:
            del case.answers[next(iter(case.answers))]
        case.ends = [
            end
            for end in case.ends
            if end.started >= at or caller not in (ALL_CALLERS, end.caller)
        ]
        scopes = list(case.blocks) if caller == ALL_CALLERS else [ALL_CALLERS, caller]
        lifted = [s for s in scopes if s in case.blocks and case.blocks[s].since < at]
        for scope in lifted:
            del case.blocks[scope]
        return [BlockRef(content, scope) for scope in lifted]

    def apply_block(self, content: str, scope: str, block: Block) -> bool:
        """Take in a block, set here or by another daemon; tell whether it is news.

        Of two the one with more trials goes: who made the last trial knows best.
        """
        case = self._cases.get(content) or self._open(content)
        # A run that began as the answer came is later than it, here as in `runs`.
        if case.answered_at(scope) > block.since:
            return False
        known = case.blocks.get(scope)
        if known is not None and known.trials >= block.trials:
            return False
        if scope == ALL_CALLERS:
            case.blocks.clear()
        case.blocks[scope] = block
        self._cases.move_to_end(content)
        return True

    def block(self, ref: BlockRef) -> Block | None:
        """Give a block, if it is set."""
        case = self._cases.get(ref.content)
        return case and case.blocks.get(ref.scope)

    def is_block_over(self, ref: BlockRef, block: Block, now: float) -> bool:
        """Tell whether a block has run out, or was lifted."""
        case = self._cases.get(ref.content)
        answered = case.answered_at(ref.scope) if case else -math.inf
        return answered > block.since or not block.is_in_effect(now)

    def blocks(self, now: float) -> dict[BlockRef, Block]:
        """Give all blocks that are in force."""
        return {
            BlockRef(content, scope): block
            for content, case in self._cases.items()
            for scope, block in case.blocks.items()
            if block.is_in_effect(now)
        }

    # -- bounds --------------------------------------------------------------------

    def _open(self, content):
        while len(self._cases) >= MAX_CASES:
            self._drop(self._least_wanted())
        self._cases[content] = case = _Case()
        head = head_of(content)
        self._heads[head] = self._heads.get(head, 0) + 1
        return case

    def _least_wanted(self):
        """Give the request that was changed longest ago, best one without a block."""
        for content, case in self._cases.items():
            if not case.blocks:
                return content
        return next(iter(self._cases))

    def _drop(self, content):
        del self._cases[content]
        head = head_of(content)
        self._heads[head] -= 1
        if not self._heads[head]:
            del self._heads[head]

    def drop_expired(self, now: float) -> None:
        """Forget requests against which nothing is held any more."""
        for content, case in list(self._cases.items()):
            case.drop_expired(now)
            case.answers = {
                c: t for c, t in case.answers.items() if now - t < EVIDENCE_RETENTION_S
            }
            if not (case.ends or case.blocks or case.answers or case.running):
                self._drop(content)
