"""Quarantine of requests that crash the targets that run them (queries of death).

One such request, retried by daemons and callers, crashes target after target. A single
crash proves little, as a target runs many requests at once. A request is blocked on
evidence that only a query of death produces: after a crash it runs again on a healthy
target, which crashes too, and then on a third one, and it never gets a response.

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
    sequential_runs,
    sequential_runs_of_callers,
)
from cairnferry.policy.shared._identity import RequestIdentity, head_digest

# Crashes that justify a block, where each run began after the previous crash. If a
# tenth of all targets crash in the seconds that a request runs, a harmless request is
# in flight at three such crashes once in a thousand times, at two once in a hundred.
CRASHES_TO_BLOCK = 3
# Crashes from which a request is isolated: each daemon runs at most one at a time and
# does not retry it. Below that, the crash of a target affects many harmless requests,
# which a retry serves.
CRASHES_TO_ISOLATE = 2
# Number of callers under which the same request crashes targets, from which the request
# is blocked for all callers. With one caller, that caller's data may be the cause.
CALLERS_TO_BLOCK_ALL = 2
# Seconds for which crashes and responses are kept as evidence. With a shorter time, a
# request that its caller sends every few minutes would never be blocked.
EVIDENCE_RETENTION_S = 600.0
# Maximum number of requests with evidence, and of crashes and responses kept for each.
# They bound the memory that a flood of requests that crash targets takes on an instance
# to 6.6 MB (tracemalloc, all of them full).
MAX_CASES = 1024
MAX_CRASHES = 24
MAX_ANSWERS = 24
# Retry delay in seconds for a request that is refused as an equal one is running.
ISOLATED_RETRY_S = 1.0
# Retry delay in seconds for a request that is refused as another one makes the trial.
TRIAL_RETRY_S = 5.0


@attrs.define
class _Case:
    """Evidence about one request, and its blocks by scope."""

    crashes: list[TargetCrash] = attrs.field(factory=list)
    answers: dict[str, float] = attrs.field(factory=dict)
    blocks: dict[str, Block] = attrs.field(factory=dict)
    running: int = 0

    def runs(self, scope):
        """Return the crashes of sequential runs that count for a scope."""
        if scope != ALL_CALLERS:
            return sequential_runs(
                crash for crash in self.crashes if crash.caller == scope
            )
        crashes = self._crashes_since_answers()
        if len({crash.caller for crash in crashes}) < CALLERS_TO_BLOCK_ALL:
            return []
        return sequential_runs(crashes)

    def proof(self, scope):
        """Return crashes that justify a block for a scope, or an empty list."""
        if scope == ALL_CALLERS:
            return sequential_runs_of_callers(self._crashes_since_answers())
        runs = self.runs(scope)[-CRASHES_TO_BLOCK:]
        return runs if len(runs) == CRASHES_TO_BLOCK else []

    def _crashes_since_answers(self):
        last = self.answered_at(ALL_CALLERS)
        return [crash for crash in self.crashes if crash.started >= last]

    def block_for(self, caller):
        """Return scope and block that apply to a caller; None if there is no block."""
        for scope in (ALL_CALLERS, caller):
            block = self.blocks.get(scope)
            if block is not None:
                return scope, block
        return None

    def answered_at(self, scope):
        """Return the time of the last response for a scope.

        A response to any caller counts for the scope `ALL_CALLERS`.
        """
        if scope == ALL_CALLERS:
            return max(self.answers.values(), default=-math.inf)
        return max(self.answers.get(who, -math.inf) for who in (ALL_CALLERS, scope))

    def drop_expired(self, now):
        self.crashes = [
            crash for crash in self.crashes if now - crash.ended < EVIDENCE_RETENTION_S
        ]
        self.blocks = {s: b for s, b in self.blocks.items() if b.is_in_effect(now)}


class Quarantine:
    """Blocks requests that crash targets.

    The evidence comes from this daemon and from the reports of other daemons. Each
    daemon decides on its own; daemons with the same evidence decide alike.
    """

    def __init__(self):
        self._cases: OrderedDict[str, _Case] = OrderedDict()
        self._heads: dict[str, int] = {}

    def __len__(self):
        return len(self._cases)

    # -- requests ----------------------------------------------------------------

    def check(self, identity: RequestIdentity, now: float) -> Verdict:
        """Return the verdict on a request that is about to be sent to a target."""
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
        return Suspect(runs >= CRASHES_TO_ISOLATE) if runs else UNRESTRICTED

    def begin(self, identity: RequestIdentity) -> bool:
        """Record that a suspect request runs; return whether no equal one does."""
        case = self._case_of(identity)
        if case is None:
            return True
        case.running += 1
        return case.running == 1

    def finish(self, identity: RequestIdentity) -> None:
        """Record that a suspect request no longer runs."""
        case = self._case_of(identity)
        if case is not None and case.running:
            case.running -= 1

    def _case_of(self, identity):
        # The body is hashed only if the digest of the head matches a known request.
        if not self._cases or identity.head not in self._heads:
            return None
        return self._cases.get(identity.content)

    # -- evidence and blocks -------------------------------------------------------

    def note_crash(self, content: str, crash: TargetCrash, now: float) -> bool:
        """Record a crash; return whether it is new evidence.

        Parameters
        ----------
        content : str
            Digest of the request.
        crash : TargetCrash
            The crash.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            False if the crash is known, or if its run began before a response that
            clears the caller.
        """
        case = self._cases.get(content) or self._open_case(content)
        if crash.started < case.answered_at(crash.caller):
            return False
        if any(crash.is_same(other) for other in case.crashes):
            return False
        case.crashes.append(crash)
        del case.crashes[:-MAX_CRASHES]
        case.drop_expired(now)
        self._cases.move_to_end(content)
        return True

    def block_if_proven(self, content: str, now: float) -> list[tuple[BlockRef, Block]]:
        """Set the blocks that the crashes of a request justify; return the new ones.

        All justified blocks are set at once. A block that was left for the next crash
        would be missing on a daemon that receives no further report.
        """
        case = self._cases.get(content)
        if case is None or ALL_CALLERS in case.blocks:
            return []
        case.drop_expired(now)
        callers = {crash.caller for crash in case.crashes} - case.blocks.keys()
        blocks_set = []
        for scope in (ALL_CALLERS, *sorted(callers)):
            runs = case.proof(scope)
            block = runs and Block(runs[-1].ended, runs[0].started)
            if block and self.apply_block(content, scope, block):
                blocks_set.append((BlockRef(content, scope), block))
            if ALL_CALLERS in case.blocks:
                break
        return blocks_set

    def is_suspected(self, identity: RequestIdentity) -> bool:
        """Return whether there is evidence against a request."""
        case = self._case_of(identity)
        return case is not None and bool(case.crashes or case.blocks)

    def clear(self, content: str, caller: str, at: float) -> list[BlockRef]:
        """Drop evidence from before a response; return the blocks that are lifted.

        A request that crashes every target that runs it gets no response, so earlier
        crashes have another cause. The remaining evidence may still justify a block:
        call `block_if_proven` afterwards.

        Parameters
        ----------
        content : str
            Digest of the request.
        caller : str
            Tag of the caller that got the response; `ALL_CALLERS` clears the request
            for all callers.
        at : float
            Time in seconds of the response.
        """
        # Reports arrive in any order, so a response is also recorded for a request
        # without known crashes.
        case = self._cases.get(content) or self._open_case(content)
        at = max(at, case.answers.pop(caller, at))
        case.answers[caller] = at
        while len(case.answers) > MAX_ANSWERS:
            del case.answers[next(iter(case.answers))]
        case.crashes = [
            crash
            for crash in case.crashes
            if crash.started >= at or caller not in (ALL_CALLERS, crash.caller)
        ]
        scopes = list(case.blocks) if caller == ALL_CALLERS else [ALL_CALLERS, caller]
        lifted = [s for s in scopes if s in case.blocks and case.blocks[s].since < at]
        for scope in lifted:
            del case.blocks[scope]
        return [BlockRef(content, scope) for scope in lifted]

    def apply_block(self, content: str, scope: str, block: Block) -> bool:
        """Apply a block set here or by another daemon; return whether it is new.

        A block with more trials replaces one with fewer, as the daemon that made the
        last trial has the latest evidence.
        """
        case = self._cases.get(content) or self._open_case(content)
        # A run that began at the time of the response counts as later, as in `runs`.
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
        """Return a block; None if it is not set."""
        case = self._cases.get(ref.content)
        return case and case.blocks.get(ref.scope)

    def is_block_over(self, ref: BlockRef, block: Block, now: float) -> bool:
        """Return whether a block has expired or a later response lifted it."""
        case = self._cases.get(ref.content)
        answered = case.answered_at(ref.scope) if case else -math.inf
        return answered > block.since or not block.is_in_effect(now)

    def blocks(self, now: float) -> dict[BlockRef, Block]:
        """Return all blocks in effect."""
        return {
            BlockRef(content, scope): block
            for content, case in self._cases.items()
            for scope, block in case.blocks.items()
            if block.is_in_effect(now)
        }

    # -- bounds --------------------------------------------------------------------

    def _open_case(self, content):
        while len(self._cases) >= MAX_CASES:
            self._drop(self._case_to_evict())
        self._cases[content] = case = _Case()
        head = head_digest(content)
        self._heads[head] = self._heads.get(head, 0) + 1
        return case

    def _case_to_evict(self):
        """Return the least recently changed request, preferably one without a block."""
        for content, case in self._cases.items():
            if not case.blocks:
                return content
        return next(iter(self._cases))

    def _drop(self, content):
        del self._cases[content]
        head = head_digest(content)
        self._heads[head] -= 1
        if not self._heads[head]:
            del self._heads[head]

    def drop_expired(self, now: float) -> None:
        """Drop expired evidence and blocks, and requests that have none left."""
        for content, case in list(self._cases.items()):
            case.drop_expired(now)
            case.answers = {
                c: t for c, t in case.answers.items() if now - t < EVIDENCE_RETENTION_S
            }
            if not (case.crashes or case.blocks or case.answers or case.running):
                self._drop(content)
