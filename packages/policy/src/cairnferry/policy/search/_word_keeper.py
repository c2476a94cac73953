"""What targets have asked of this daemon, brought to what is known of them."""

import math

import attrs

from cairnferry.policy.shared import TargetHolds
from cairnferry.policy.targets import (
    Belief,
    DrainSource,
    EventLog,
    TargetState,
    TargetWords,
)


@attrs.define
class WordKeeper:
    """Keeps the words of targets, and recalls them.

    Parameters
    ----------
    holds : TargetHolds
        What targets have asked, of all services of the daemon.
    events : EventLog
        Told what is new.
    """

    holds: TargetHolds
    events: EventLog

    def keep(
        self,
        identity: str,
        name: str,
        words: TargetWords,
        now: float,
        heard_by: str | None,
    ) -> None:
        """Take in what a target says of itself.

        Parameters
        ----------
        identity, name : str
            Names of the target's start, and of the target.
        words : TargetWords
            What it says.
        now : float
            Time in seconds.
        heard_by : str or None
            ID of the request in whose answer it said so.
        """
        rests, leaving = self.holds.rests, self.holds.leaving
        if words.rest_s:
            was_resting = rests.until(identity) > now
            if rests.note(identity, now + words.rest_s) and not was_resting:
                for_s = round(words.rest_s, 3)
                self.events.note(name, Belief.RESTING, for_s=for_s, heard_by=heard_by)
        if words.leaving_s:
            was_leaving = leaving.until(identity) > now
            if leaving.note(identity, now + words.leaving_s) and not was_leaving:
                self.events.note(name, Belief.LEAVING, heard_by=heard_by)

    def recall(self, state: TargetState) -> None:
        """Apply what a target has asked, also if its row was gone for a moment."""
        state.resting_until = self.holds.rests.until(state.identity)
        leaving_until = self.holds.leaving.until(state.identity)
        if leaving_until > -math.inf:
            state.draining_until[DrainSource.ANSWER] = leaving_until
