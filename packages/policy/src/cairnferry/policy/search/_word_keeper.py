"""What targets have asked of this daemon, brought to what is known of them."""

import math

import attrs

from cairnferry.policy.shared import AdvisoryRegistry
from cairnferry.policy.targets import (
    DrainSource,
    EventLog,
    TargetAdvisory,
    TargetCondition,
    TargetState,
)


@attrs.define
class WordKeeper:
    """Keeps the words of targets, and recalls them.

    Parameters
    ----------
    holds : AdvisoryRegistry
        What targets have asked, of all services of the daemon.
    events : EventLog
        Told what is new.
    """

    advisories: AdvisoryRegistry
    events: EventLog

    def keep(
        self,
        identity: str,
        name: str,
        words: TargetAdvisory,
        now: float,
        heard_by: str | None,
    ) -> None:
        """Take in what a target says of itself.

        Parameters
        ----------
        identity, name : str
            Names of the target's start, and of the target.
        words : TargetAdvisory
            What it says.
        now : float
            Time in seconds.
        heard_by : str or None
            ID of the request in whose answer it said so.
        """
        back_offs, leaving = self.advisories.back_offs, self.advisories.leaving
        if words.back_off_s:
            was_resting = back_offs.until(identity) > now
            if back_offs.note(identity, now + words.back_off_s) and not was_resting:
                for_s = round(words.back_off_s, 3)
                self.events.note(
                    name, TargetCondition.BACKING_OFF, for_s=for_s, heard_by=heard_by
                )
        if words.leaving_s:
            was_leaving = leaving.until(identity) > now
            if leaving.note(identity, now + words.leaving_s) and not was_leaving:
                self.events.note(name, TargetCondition.LEAVING, heard_by=heard_by)

    def recall(self, state: TargetState) -> None:
        """Apply what a target has asked, also if its row was gone for a moment."""
        state.back_off_until = self.advisories.back_offs.until(state.identity)
        leaving_until = self.advisories.leaving.until(state.identity)
        if leaving_until > -math.inf:
            state.draining_until[DrainSource.ANSWER] = leaving_until
