"""Keeping requests that end targets from further ones, at all daemons."""

import logging
import math
import time
from collections.abc import Callable

import attrs
import gevent

from cairnferry.coordination import Note, Row, TokenBucket
from cairnferry.entry.callers._block_table import BlockTable
from cairnferry.entry.callers._quarantine_notes import (
    AnswerTold,
    BlockTold,
    EndTold,
    note_of,
    read_note,
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

# Ends that a daemon tells the others, a second and at once. A target has some ten
# requests in hand, and a flood of ends must not grow what daemons tell each other.
TOLD_RATE = 8.0
TOLD_BURST = 64.0
# Of these, kept for requests under which targets ended before.
TOLD_RESERVE = 16.0
# Seconds between two looks at the rows of blocks.
ROW_SYNC_S = 5.0
# Seconds after which the first daemon of a zone that still refuses a request tells the
# others again: one that was cut off may have missed it.
REMIND_S = 15.0

log = logging.getLogger(__name__)


@attrs.define
class CrashGuard:
    """Brings what is seen and told of requests to the decisions, and these to others.

    Without it each daemon meets such a request as new, each time it comes: it ended 43
    targets in 16 s at 18 daemons (docs/incidents/requests-that-end-targets.md).

    Parameters
    ----------
    metrics : Metrics
        Counts what is blocked, refused, tried, lifted and not told.
    tell : callable
        Spreads a note to all daemons; the second argument says whether it was told
        before and is to go round once more.
    is_first : callable
        Tells whether this daemon is the one of its availability zone that acts on a
        request, by the request's digest.
    table : BlockTable, optional
        Where blocks outlive all daemons.
    """

    metrics: Metrics
    tell: Callable[[Note, bool], None] = lambda note, again: None
    is_first: Callable[[str], bool] = lambda content: True
    table: BlockTable = attrs.field(factory=BlockTable)
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    _reminded: dict[BlockRef, float] = attrs.field(factory=dict)
    _asked: dict[BlockRef, float] = attrs.field(factory=dict)
    _to_tell: TokenBucket = attrs.field(
        factory=lambda: TokenBucket(
            TOLD_RATE, TOLD_BURST, time.monotonic(), tokens=TOLD_BURST
        )
    )
    _log_limit: RateLimit = attrs.field(factory=RateLimit)

    # -- requests ----------------------------------------------------------------

    def admit(self, call: Call) -> Refuse | None:
        """Refuse a request that must not reach a target; None lets it pass.

        One that is let pass is to be given to `finish` in the end.
        """
        if not len(self.quarantine) or call.identity is None:
            return None
        match self._judge(call):
            case Unrestricted():
                return None
            case Quarantined() as barred:
                call.is_suspect = True
                if not barred.retry_after and self._may_try(barred):
                    self._begin_trial(call)
                    return None
                return self._refusal(barred)
            case Suspect(isolated):
                call.is_suspect = True
                return self._run_alone(call) if isolated else None

    def _run_alone(self, call):
        if not self.quarantine.begin(call.identity):
            self.quarantine.finish(call.identity)
            self.metrics.quarantine["refused"] += 1
            return Refuse(Cause.CRASHES_TARGETS, ISOLATED_RETRY_S)
        call.is_isolated = True
        return None

    def _begin_trial(self, call):
        self.quarantine.begin(call.identity)
        call.is_isolated = call.is_trial = True

    def stops(self, call: Call) -> bool:
        """Tell whether a request that was let pass must not be sent any more."""
        if not len(self.quarantine) or call.identity is None or call.is_trial:
            return False
        return isinstance(self._judge(call), Quarantined)

    def refuse(self, call: Call) -> Refuse:
        """Refuse a request that `stops` has stopped."""
        match self._judge(call):
            case Quarantined() as barred:
                return self._refusal(barred)
            case _:
                return Refuse(Cause.CRASHES_TARGETS, ISOLATED_RETRY_S)

    def _judge(self, call):
        return self.quarantine.check(call.identity, time.monotonic())

    def _refusal(self, barred):
        self.metrics.quarantine["refused"] += 1
        self._remind(barred)
        return Refuse(Cause.CRASHES_TARGETS, barred.retry_after or TRIAL_RETRY_S)

    def _remind(self, barred):
        now = time.monotonic()
        if now - self._reminded.get(barred.ref, barred.block.at) < REMIND_S:
            return
        if not self.is_first(barred.ref.content):
            return
        self._reminded[barred.ref] = now
        self._spread(BlockTold(barred.ref, barred.block), again=True)

    def finish(self, call: Call) -> None:
        """Take in that a request is over."""
        if call.is_isolated:
            call.is_isolated = False
            self.quarantine.finish(call.identity)

    def recheck(self, call: Call) -> None:
        """Keep a request that has just ended a target from another one, if it must."""
        match self._judge(call):
            case Quarantined() | Suspect(isolated=True):
                call.may_retry = False
            case Suspect():
                call.is_suspect = True

    def settle(self, call: Call, decision: Decision) -> Decision:
        """Say why a request is given up, and when to come back, if it is kept back."""
        if not isinstance(decision, GiveUp) or not len(self.quarantine):
            return decision
        if call.identity is None:
            return decision
        match self._judge(call):
            case Quarantined(retry_after=retry_after):
                return GiveUp(Cause.CRASHES_TARGETS, retry_after or TRIAL_RETRY_S)
            case _:
                return decision

    # -- what is seen here ---------------------------------------------------------

    def note_crash(self, run: InterruptedRequest) -> None:
        """Take in that a target ended with a request in hand."""
        now = time.monotonic()
        content = run.identity.content
        end = TargetCrash(run.target, run.identity.caller_tag, run.started, run.ended)
        was_held = self.quarantine.is_suspected(run.identity)
        if not self.quarantine.note_crash(content, end, now):
            return
        if was_held and self._log_limit.allows():
            self._log("request suspected", content, end.caller, target=run.target)
        # Before others hear of it: who saw the last end writes the row.
        self._blame(content, is_own=True)
        self._tell_end(EndTold(content, end), was_held)

    def _tell_end(self, told, was_held):
        """Tell others of an end, those that count more first if there are many."""
        now = time.monotonic()
        bucket = self._to_tell
        has_reserve = bucket.tokens > TOLD_RESERVE
        if (was_held or has_reserve) and bucket.take(now):
            self._spread(told)
        else:
            self.metrics.quarantine["not-told"] += 1

    def _blame(self, content, is_own):
        by = "ends" if is_own else "ends told by others"
        for ref, block in self.quarantine.block_if_proven(content, time.monotonic()):
            self._note_block(ref, block, by)
            self._spread(BlockTold(ref, block))
            if is_own:
                gevent.spawn(self.table.add, ref, block)

    def note_answer(self, call: Call) -> None:
        """Take in that a target ran a request and answered."""
        identity = call.identity
        if not len(self.quarantine) or identity is None:
            return
        if not self.quarantine.is_suspected(identity):
            return
        now = time.monotonic()
        told = AnswerTold(identity.content, identity.caller_tag, now)
        self._clear(told, by="answer", removes_row=True)
        self._spread(told)

    # -- what others tell ----------------------------------------------------------

    def receive(self, subject: str, source: str, until: float) -> None:
        """Take in a note of another daemon, or one of this daemon's own."""
        match read_note(subject, source, until):
            case EndTold(content, end):
                if self.quarantine.note_crash(content, end, time.monotonic()):
                    self._blame(content, is_own=False)
            case AnswerTold() as told:
                self._clear(told, by="answer told by others")
            case BlockTold(ref, block):
                if self.quarantine.apply_block(ref.content, ref.scope, block):
                    self._note_block(ref, block, by="others")
            case None:
                log.info("suspicion of another release", extra={"source": source})

    def _spread(self, told, again=False):
        self.tell(note_of(told, time.monotonic()), again)

    # -- trials --------------------------------------------------------------------

    def _may_try(self, barred):
        """Tell whether this request may test if a target runs it by now.

        Whoever writes the row of the block has the trial: one for all daemons, also
        where they do not hear each other. Without a store the first by rank has it.
        """
        ref = barred.ref
        now = time.monotonic()
        if now - self._asked.get(ref, -math.inf) < TRIAL_RETRY_S:
            # It may come hundreds of times a second, and the store has its rates.
            return False
        self._asked[ref] = now
        block = attrs.evolve(barred.block, trials=barred.block.trials + 1)
        if self.table.rows is not None:
            if not self.table.replace(ref, block):
                return False
        elif not self.is_first(ref.content):
            return False
        if not self.quarantine.apply_block(ref.content, ref.scope, block):
            return False
        self.metrics.quarantine["tried"] += 1
        self._log("request tried again", ref.content, ref.scope, trials=block.trials)
        self._spread(BlockTold(ref, block))
        return True

    # -- rows of blocks --------------------------------------------------------------

    def apply_rows(self, rows: dict[str, Row], era: int = 0) -> None:
        """Take in all rows of blocks by name, of an era of the store."""
        now = time.monotonic()
        news = self.table.take(rows, era)
        for ref, block in news.written.items():
            held = block.is_in_effect(now)
            if held and self.quarantine.apply_block(ref.content, ref.scope, block):
                self._note_block(ref, block, by="store")
        for ref in news.removed:
            self._clear(AnswerTold(ref.content, ref.scope, now), by="row removed")

    def maintain(self) -> None:
        """Write rows that are missing and remove those that are out of date."""
        while True:
            gevent.sleep(ROW_SYNC_S)
            self.keep_once()

    def keep_once(self) -> None:
        """Look once at what is to be written and removed."""
        now = time.monotonic()
        self.quarantine.drop_expired(now)
        blocks = self.quarantine.blocks(now)
        self._reminded = {r: t for r, t in self._reminded.items() if r in blocks}
        self._asked = {r: t for r, t in self._asked.items() if r in blocks}
        if self.table.rows is None:
            return
        for ref, block in blocks.items():
            if self.table.lacks(ref) and self.is_first(ref.content):
                self.table.add(ref, block)
        for ref, block in self.table.read_all().items():
            is_over = block is None or self.quarantine.is_block_over(ref, block, now)
            if is_over and self.is_first(ref.content):
                self.table.remove(ref)

    # -- what operators see ----------------------------------------------------------

    def lift(self, content: str) -> bool:
        """Let a request through again, at all daemons; tell if it was kept back."""
        told = AnswerTold(content, ALL_CALLERS, time.monotonic())
        lifted = self._clear(told, by="operator", removes_row=True)
        self._spread(told)
        return lifted

    def snapshot(self) -> list[dict]:
        """Give the blocks in force, as plain values."""
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

    def _note_block(self, ref, block, by):
        self.metrics.quarantine["blocked"] += 1
        self._log("request blocked", ref.content, ref.scope, by=by, trials=block.trials)

    def _clear(self, told, by, removes_row=False):
        """Drop what an answer disproves; tell whether a block was lifted."""
        lifted = self.quarantine.clear(told.content, told.caller, told.at)
        for ref in lifted:
            self.metrics.quarantine["lifted"] += 1
            self._log("request let through again", ref.content, ref.scope, by=by)
            if removes_row:
                gevent.spawn(self.table.remove, ref)
        self._blame(told.content, is_own=False)
        return bool(lifted)

    def _log(self, message, content, caller, **facts):
        extra = {"content": content, "caller": caller, **facts}
        log.warning(message, extra=extra)
