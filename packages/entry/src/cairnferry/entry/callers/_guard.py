"""Block requests that crash targets, at all daemons."""

import logging
import math
import time
from collections.abc import Callable

import attrs
import gevent

from cairnferry.coordination import Note, Row, TokenBucket
from cairnferry.entry.callers._block_table import BlockTable
from cairnferry.entry.callers._quarantine_notes import (
    AnswerMessage,
    BlockMessage,
    CrashMessage,
    quarantine_note,
    read_quarantine_note,
)
from cairnferry.entry.targets import InterruptedRequest
from cairnferry.entry.telemetry import Metrics, RateLimit
from cairnferry.policy import (
    ALL_CALLERS,
    ISOLATED_RETRY_S,
    TRIAL_RETRY_S,
    BlockRef,
    Call,
    Cause,
    Decision,
    GiveUp,
    Quarantine,
    Quarantined,
    Refuse,
    Suspect,
    TargetCrash,
    Unrestricted,
)

# Crashes that a daemon reports to the others, per second and in one burst. A target has
# about ten requests in flight, and a flood of crashes must not increase the traffic
# between daemons.
CRASH_NOTES_PER_S = 8.0
CRASH_NOTES_BURST = 64.0
# Part of the burst that is reserved for requests in flight at earlier crashes.
CRASH_NOTES_RESERVE = 16.0
# Seconds between two maintenance runs over the rows of blocks.
ROW_SYNC_S = 5.0
# Seconds after which the responsible daemon of a zone, if it still refuses a request,
# announces the block again, because a daemon that was cut off may have missed it.
ANNOUNCE_INTERVAL_S = 15.0

log = logging.getLogger(__name__)


@attrs.define
class CrashGuard:
    """Detects requests that crash targets, and blocks them together with other daemons.

    Without the guard each daemon treats every arrival of such a request as new. One
    request crashed 43 targets in 16 s at 18 daemons
    (docs/incidents/requests-that-end-targets.md).

    Parameters
    ----------
    metrics : Metrics
        Counts requests that are blocked, refused, tried and unblocked, and crashes that
        are not reported.
    broadcast : callable
        Sends a note to all daemons. The second argument says whether the note was sent
        before and is to be sent again.
    is_responsible : callable
        Returns whether this daemon acts for its availability zone on a request, given
        the request's digest.
    table : BlockTable, optional
        Stored blocks, which survive a restart of all daemons.
    """

    metrics: Metrics
    broadcast: Callable[[Note, bool], None] = lambda note, again: None
    is_responsible: Callable[[str], bool] = lambda content: True
    table: BlockTable = attrs.field(factory=BlockTable)
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    _announced: dict[BlockRef, float] = attrs.field(factory=dict)
    _trial_claims: dict[BlockRef, float] = attrs.field(factory=dict)
    _note_budget: TokenBucket = attrs.field(
        factory=lambda: TokenBucket(
            CRASH_NOTES_PER_S,
            CRASH_NOTES_BURST,
            time.monotonic(),
            tokens=CRASH_NOTES_BURST,
        )
    )
    _log_limit: RateLimit = attrs.field(factory=RateLimit)

    # -- requests ----------------------------------------------------------------

    def admit(self, call: Call) -> Refuse | None:
        """Return the refusal of a blocked request; None if the request is admitted.

        An admitted request must be passed to `finish` in the end.

        Parameters
        ----------
        call : Call
            Request that arrived.
        """
        if not len(self.quarantine) or call.identity is None:
            return None
        match self._verdict(call):
            case Unrestricted():
                return None
            case Quarantined() as quarantined:
                call.is_suspect = True
                if not quarantined.retry_after and self._claim_trial(quarantined):
                    self._begin_trial(call)
                    return None
                return self._refusal(quarantined)
            case Suspect(isolated):
                call.is_suspect = True
                return self._run_isolated(call) if isolated else None

    def _run_isolated(self, call):
        if not self.quarantine.begin(call.identity):
            self.quarantine.finish(call.identity)
            self.metrics.quarantine["refused"] += 1
            return Refuse(Cause.CRASHES_TARGETS, ISOLATED_RETRY_S)
        call.is_isolated = True
        return None

    def _begin_trial(self, call):
        self.quarantine.begin(call.identity)
        call.is_isolated = call.is_trial = True

    def is_blocked(self, call: Call) -> bool:
        """Return whether an admitted request must not be sent any more."""
        if not len(self.quarantine) or call.identity is None or call.is_trial:
            return False
        return isinstance(self._verdict(call), Quarantined)

    def refuse(self, call: Call) -> Refuse:
        """Return the refusal of a request for which `is_blocked` returned True."""
        match self._verdict(call):
            case Quarantined() as quarantined:
                return self._refusal(quarantined)
            case _:
                return Refuse(Cause.CRASHES_TARGETS, ISOLATED_RETRY_S)

    def _verdict(self, call):
        return self.quarantine.check(call.identity, time.monotonic())

    def _refusal(self, quarantined):
        self.metrics.quarantine["refused"] += 1
        self._announce_again(quarantined)
        return Refuse(Cause.CRASHES_TARGETS, quarantined.retry_after or TRIAL_RETRY_S)

    def _announce_again(self, quarantined):
        now = time.monotonic()
        if (
            now - self._announced.get(quarantined.ref, quarantined.block.at)
            < ANNOUNCE_INTERVAL_S
        ):
            return
        if not self.is_responsible(quarantined.ref.content):
            return
        self._announced[quarantined.ref] = now
        self._spread(BlockMessage(quarantined.ref, quarantined.block), again=True)

    def finish(self, call: Call) -> None:
        """Record that a request is finished."""
        if call.is_isolated:
            call.is_isolated = False
            self.quarantine.finish(call.identity)

    def recheck(self, call: Call) -> None:
        """Check a request again after a crash: prevent retries, or mark it as suspect.

        Parameters
        ----------
        call : Call
            Request that was in flight at the crash.
        """
        match self._verdict(call):
            case Quarantined() | Suspect(isolated=True):
                call.may_retry = False
            case Suspect():
                call.is_suspect = True

    def final_decision(self, call: Call, decision: Decision) -> Decision:
        """Return the decision, with the cause and delay of a block if there is one.

        Parameters
        ----------
        call : Call
            Request that the decision is about.
        decision : Decision
            Decision of the policy.
        """
        if not isinstance(decision, GiveUp) or not len(self.quarantine):
            return decision
        if call.identity is None:
            return decision
        match self._verdict(call):
            case Quarantined(retry_after=retry_after):
                return GiveUp(Cause.CRASHES_TARGETS, retry_after or TRIAL_RETRY_S)
            case _:
                return decision

    # -- observations of this daemon -------------------------------------------------

    def note_crash(self, interrupted: InterruptedRequest) -> None:
        """Record that a target crashed while a request was in flight."""
        now = time.monotonic()
        content = interrupted.identity.content
        crash = TargetCrash(
            interrupted.target,
            interrupted.identity.caller_tag,
            interrupted.started,
            interrupted.ended,
        )
        was_suspect = self.quarantine.is_suspected(interrupted.identity)
        if not self.quarantine.note_crash(content, crash, now):
            return
        if was_suspect and self._log_limit.allows():
            self._log(
                "request suspected", content, crash.caller, target=interrupted.target
            )
        # Before the broadcast: the daemon that saw the last crash writes the row.
        self._block_if_proven(content, is_own=True)
        self._spread_crash(CrashMessage(content, crash), was_suspect)

    def _spread_crash(self, message, was_suspect):
        """Report a crash to other daemons, with priority for suspect requests."""
        now = time.monotonic()
        bucket = self._note_budget
        has_reserve = bucket.tokens > CRASH_NOTES_RESERVE
        if (was_suspect or has_reserve) and bucket.take(now):
            self._spread(message)
        else:
            self.metrics.quarantine["not-told"] += 1

    def _block_if_proven(self, content, is_own):
        by = "ends" if is_own else "ends told by others"
        for ref, block in self.quarantine.block_if_proven(content, time.monotonic()):
            self._note_block(ref, block, by)
            self._spread(BlockMessage(ref, block))
            if is_own:
                gevent.spawn(self.table.add, ref, block)

    def note_answer(self, call: Call) -> None:
        """Record that a target ran a request and answered."""
        identity = call.identity
        if not len(self.quarantine) or identity is None:
            return
        if not self.quarantine.is_suspected(identity):
            return
        now = time.monotonic()
        message = AnswerMessage(identity.content, identity.caller_tag, now)
        self._clear(message, by="answer", removes_row=True)
        self._spread(message)

    # -- reports of other daemons ----------------------------------------------------

    def receive(self, subject: str, source: str, until: float) -> None:
        """Apply a note of another daemon or of this daemon.

        Parameters
        ----------
        subject : str
            Digest of the request.
        source : str
            Source field of the note, which contains the message.
        until : float
            Monotonic time in seconds at which the note expires.
        """
        match read_quarantine_note(subject, source, until):
            case CrashMessage(content, crash):
                if self.quarantine.note_crash(content, crash, time.monotonic()):
                    self._block_if_proven(content, is_own=False)
            case AnswerMessage() as message:
                self._clear(message, by="answer told by others")
            case BlockMessage(ref, block):
                if self.quarantine.apply_block(ref.content, ref.scope, block):
                    self._note_block(ref, block, by="others")
            case None:
                log.info(
                    "ignored quarantine note in unknown format",
                    extra={"source": source},
                )

    def _spread(self, message, again=False):
        self.broadcast(quarantine_note(message, time.monotonic()), again)

    # -- trials --------------------------------------------------------------------

    def _claim_trial(self, quarantined):
        """Return whether this request may test if targets now survive it.

        The daemon that overwrites the row of the block gets the trial. This allows one
        trial for all daemons, even if they cannot reach each other. Without a store,
        the responsible daemon gets the trial.
        """
        ref = quarantined.ref
        now = time.monotonic()
        if now - self._trial_claims.get(ref, -math.inf) < TRIAL_RETRY_S:
            # The request may arrive hundreds of times per second, and the store limits
            # the rate of calls.
            return False
        self._trial_claims[ref] = now
        block = attrs.evolve(quarantined.block, trials=quarantined.block.trials + 1)
        if self.table.rows is not None:
            if not self.table.replace(ref, block):
                return False
        elif not self.is_responsible(ref.content):
            return False
        if not self.quarantine.apply_block(ref.content, ref.scope, block):
            return False
        self.metrics.quarantine["tried"] += 1
        self._log("request tried again", ref.content, ref.scope, trials=block.trials)
        self._spread(BlockMessage(ref, block))
        return True

    # -- rows of blocks --------------------------------------------------------------

    def apply_rows(self, rows: dict[str, Row], era: int = 0) -> None:
        """Apply a listing of all rows of blocks.

        Parameters
        ----------
        rows : dict of str to Row
            All rows by name.
        era : int, optional
            Era of the store from which the rows were listed.
        """
        now = time.monotonic()
        updates = self.table.apply_rows(rows, era)
        for ref, block in updates.written.items():
            is_in_effect = block.is_in_effect(now)
            if is_in_effect and self.quarantine.apply_block(
                ref.content, ref.scope, block
            ):
                self._note_block(ref, block, by="store")
        for ref in updates.removed:
            self._clear(AnswerMessage(ref.content, ref.scope, now), by="row removed")

    def maintain(self) -> None:
        """Periodically write missing rows and remove outdated rows."""
        while True:
            gevent.sleep(ROW_SYNC_S)
            self.maintain_once()

    def maintain_once(self) -> None:
        """Write missing rows and remove outdated rows once."""
        now = time.monotonic()
        self.quarantine.drop_expired(now)
        blocks = self.quarantine.blocks(now)
        self._announced = {r: t for r, t in self._announced.items() if r in blocks}
        self._trial_claims = {
            r: t for r, t in self._trial_claims.items() if r in blocks
        }
        if self.table.rows is None:
            return
        for ref, block in blocks.items():
            if self.table.lacks(ref) and self.is_responsible(ref.content):
                self.table.add(ref, block)
        for ref, block in self.table.read_all().items():
            is_over = block is None or self.quarantine.is_block_over(ref, block, now)
            if is_over and self.is_responsible(ref.content):
                self.table.remove(ref)

    # -- interface for operators -----------------------------------------------------

    def lift(self, content: str) -> bool:
        """Unblock a request at all daemons; return whether it was blocked.

        Parameters
        ----------
        content : str
            Digest of the request.
        """
        message = AnswerMessage(content, ALL_CALLERS, time.monotonic())
        lifted = self._clear(message, by="operator", removes_row=True)
        self._spread(message)
        return lifted

    def snapshot(self) -> list[dict]:
        """Return the blocks in effect, as plain values."""
        now = time.monotonic()
        return [
            {
                "content": ref.content,
                "scope": ref.scope,
                "since_s": round(now - block.at, 1),
                "trials": block.trials,
                "next_trial_s": round(max(0.0, block.next_trial - now), 1),
            }
            for ref, block in self.quarantine.blocks(now).items()
        ]

    def block_notes(self) -> list[Note]:
        """Return a note for each block in effect, for daemons that start."""
        now = time.monotonic()
        return [
            quarantine_note(BlockMessage(ref, block), now)
            for ref, block in self.quarantine.blocks(now).items()
        ]

    def _note_block(self, ref, block, by):
        self.metrics.quarantine["blocked"] += 1
        self._log("request blocked", ref.content, ref.scope, by=by, trials=block.trials)

    def _clear(self, message, by, removes_row=False):
        """Drop evidence that an answer refutes; return whether a block is lifted."""
        lifted = self.quarantine.clear(message.content, message.caller, message.at)
        for ref in lifted:
            self.metrics.quarantine["lifted"] += 1
            self._log("request let through again", ref.content, ref.scope, by=by)
            if removes_row:
                gevent.spawn(self.table.remove, ref)
        self._block_if_proven(message.content, is_own=False)
        return bool(lifted)

    def _log(self, message, content, caller, **facts):
        extra = {"content": content, "caller": caller, **facts}
        log.warning(message, extra=extra)
