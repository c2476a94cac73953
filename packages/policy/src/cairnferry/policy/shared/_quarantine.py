"""Quarantine of requests that crash the targets that run them (queries of death).

One such request, retried by daemons and callers, crashes target after target. A single
crash proves little, as a target runs many requests concurrently. A request is blocked
on evidence that only a query of death produces: after a crash it runs again on a
healthy target, which crashes too, and then on a third one, and it never gets a
response.

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
MAX_REQUESTS = 1024
MAX_CRASHES = 24
MAX_ANSWERS = 24
# Retry delay in seconds for a request that is refused as an equal one is running.
ISOLATED_RETRY_S = 1.0
# Retry delay in seconds for a request that is refused as another one makes the trial.
TRIAL_RETRY_S = 5.0


@attrs.define
class _RequestEvidence:
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

    def blocking_runs(self, scope):
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
        return max(
            self.answers.get(caller, -math.inf) for caller in (ALL_CALLERS, scope)
        )

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
        self._evidence: OrderedDict[str, _RequestEvidence] = OrderedDict()
        self._heads: dict[str, int] = {}

    def __len__(self):
        return len(self._evidence)

    # -- requests ----------------------------------------------------------------

    def check(self, identity: RequestIdentity, now: float) -> Verdict:
        """Return the verdict on a request that is about to be sent to a target."""
        evidence = self._evidence_on(identity)
        if evidence is None:
            return UNRESTRICTED
        evidence.drop_expired(now)
        caller = identity.caller_tag
        found = evidence.block_for(caller)
        if found is not None:
            scope, block = found
            retry_after = max(0.0, block.next_trial - now)
            return Quarantined(BlockRef(identity.content, scope), block, retry_after)
        runs = max(len(evidence.runs(scope)) for scope in (ALL_CALLERS, caller))
        return Suspect(runs >= CRASHES_TO_ISOLATE) if runs else UNRESTRICTED

    def begin(self, identity: RequestIdentity) -> bool:
        """Record that a suspect request runs; return whether no equal one does."""
        evidence = self._evidence_on(identity)
        if evidence is None:
            return True
        evidence.running += 1
        return evidence.running == 1

    def finish(self, identity: RequestIdentity) -> None:
        """Record that a suspect request no longer runs."""
        evidence = self._evidence_on(identity)
        if evidence is not None and evidence.running:
            evidence.running -= 1

    def _evidence_on(self, identity):
        # The body is hashed only if the digest of the head matches a known request.
        if not self._evidence or identity.head not in self._heads:
            return None
        return self._evidence.get(identity.content)

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
        evidence = self._evidence.get(content) or self._add_evidence(content)
        if crash.started < evidence.answered_at(crash.caller):
            return False
        if any(crash.is_same(other) for other in evidence.crashes):
            return False
        evidence.crashes.append(crash)
        del evidence.crashes[:-MAX_CRASHES]
        evidence.drop_expired(now)
        self._evidence.move_to_end(content)
        return True

    def block_if_proven(self, content: str, now: float) -> list[tuple[BlockRef, Block]]:
        """Set the blocks that the crashes of a request justify; return the new ones.

        All justified blocks are set together. A block that was deferred to the next
        crash would be missing on a daemon that receives no further report.
        """
        evidence = self._evidence.get(content)
        if evidence is None or ALL_CALLERS in evidence.blocks:
            return []
        evidence.drop_expired(now)
        callers = {crash.caller for crash in evidence.crashes} - evidence.blocks.keys()
        blocks_set = []
        for scope in (ALL_CALLERS, *sorted(callers)):
            runs = evidence.blocking_runs(scope)
            block = runs and Block(runs[-1].ended, runs[0].started)
            if block and self.apply_block(content, scope, block):
                blocks_set.append((BlockRef(content, scope), block))
            if ALL_CALLERS in evidence.blocks:
                break
        return blocks_set

    def is_suspected(self, identity: RequestIdentity) -> bool:
        """Return whether there is evidence against a request."""
        evidence = self._evidence_on(identity)
        return evidence is not None and bool(evidence.crashes or evidence.blocks)

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
        evidence = self._evidence.get(content) or self._add_evidence(content)
        at = max(at, evidence.answers.pop(caller, at))
        evidence.answers[caller] = at
        while len(evidence.answers) > MAX_ANSWERS:
            del evidence.answers[next(iter(evidence.answers))]
        evidence.crashes = [
            crash
            for crash in evidence.crashes
            if crash.started >= at or caller not in (ALL_CALLERS, crash.caller)
        ]
        scopes = (
            list(evidence.blocks) if caller == ALL_CALLERS else [ALL_CALLERS, caller]
        )
        lifted = [
            s for s in scopes if s in evidence.blocks and evidence.blocks[s].since < at
        ]
        for scope in lifted:
            del evidence.blocks[scope]
        return [BlockRef(content, scope) for scope in lifted]

    def apply_block(self, content: str, scope: str, block: Block) -> bool:
        """Apply a block set here or by another daemon; return whether it is new.

        A block with more trials replaces one with fewer, as the daemon that made the
        last trial has the latest evidence.
        """
        evidence = self._evidence.get(content) or self._add_evidence(content)
        # A run that began at the time of the response counts as later, as in `runs`.
        if evidence.answered_at(scope) > block.since:
            return False
        known = evidence.blocks.get(scope)
        if known is not None and known.trials >= block.trials:
            return False
        if scope == ALL_CALLERS:
            evidence.blocks.clear()
        evidence.blocks[scope] = block
        self._evidence.move_to_end(content)
        return True

    def block(self, ref: BlockRef) -> Block | None:
        """Return a block; None if it is not set."""
        evidence = self._evidence.get(ref.content)
        return evidence and evidence.blocks.get(ref.scope)

    def is_block_over(self, ref: BlockRef, block: Block, now: float) -> bool:
        """Return whether a block has expired or a later response lifted it."""
        evidence = self._evidence.get(ref.content)
        answered_at = evidence.answered_at(ref.scope) if evidence else -math.inf
        return answered_at > block.since or not block.is_in_effect(now)

    def blocks(self, now: float) -> dict[BlockRef, Block]:
        """Return all blocks in effect."""
        return {
            BlockRef(content, scope): block
            for content, evidence in self._evidence.items()
            for scope, block in evidence.blocks.items()
            if block.is_in_effect(now)
        }

    # -- bounds --------------------------------------------------------------------

    def _add_evidence(self, content):
        while len(self._evidence) >= MAX_REQUESTS:
            self._drop(self._content_to_evict())
        self._evidence[content] = evidence = _RequestEvidence()
        head = head_digest(content)
        self._heads[head] = self._heads.get(head, 0) + 1
        return evidence

    def _content_to_evict(self):
        """Return the least recently changed request, preferably one without a block."""
        for content, evidence in self._evidence.items():
            if not evidence.blocks:
                return content
        return next(iter(self._evidence))

    def _drop(self, content):
        del self._evidence[content]
        head = head_digest(content)
        self._heads[head] -= 1
        if not self._heads[head]:
            del self._heads[head]

    def drop_expired(self, now: float) -> None:
        """Drop expired evidence and blocks, and requests that have none left."""
        for content, evidence in list(self._evidence.items()):
            evidence.drop_expired(now)
            evidence.answers = {
                c: t
                for c, t in evidence.answers.items()
                if now - t < EVIDENCE_RETENTION_S
            }
            if not (
                evidence.crashes
                or evidence.blocks
                or evidence.answers
                or evidence.running
            ):
                self._drop(content)
