"""Advisories of targets, recorded and applied to the state of these targets."""

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
class AdvisoryKeeper:
    """Records the advisories of targets and restores them.

    Parameters
    ----------
    advisories : AdvisoryRegistry
        Back-offs and departures that targets announced, shared by all services of the
        daemon.
    events : EventLog
        Receives the state changes of targets.
    """

    advisories: AdvisoryRegistry
    events: EventLog

    def record(
        self,
        identity: str,
        name: str,
        advisory: TargetAdvisory,
        now: float,
        request_id: str | None,
    ) -> None:
        """Record an advisory.

        Parameters
        ----------
        identity : str
            Identity of one run of the target's process.
        name : str
            Name of the target.
        advisory : TargetAdvisory
            The advisory.
        now : float
            Time in seconds.
        request_id : str or None
            ID of the request whose response carried the advisory.
        """
        back_offs, leaving = self.advisories.back_offs, self.advisories.leaving
        if advisory.back_off_s:
            was_backing_off = back_offs.until(identity) > now
            if (
                back_offs.note(identity, now + advisory.back_off_s)
                and not was_backing_off
            ):
                for_s = round(advisory.back_off_s, 3)
                self.events.note(
                    name, TargetCondition.BACKING_OFF, for_s=for_s, heard_by=request_id
                )
        if advisory.leaving_s:
            was_leaving = leaving.until(identity) > now
            if leaving.note(identity, now + advisory.leaving_s) and not was_leaving:
                self.events.note(name, TargetCondition.LEAVING, heard_by=request_id)

    def restore(self, state: TargetState) -> None:
        """Apply the recorded advisories to the state of a target.

        They are also in effect for a target whose record was removed and restored.
        """
        state.back_off_until = self.advisories.back_offs.until(state.identity)
        leaving_until = self.advisories.leaving.until(state.identity)
        if leaving_until > -math.inf:
            state.draining_until[DrainSource.ANSWER] = leaving_until
