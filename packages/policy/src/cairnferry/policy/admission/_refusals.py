"""Requests that are given up: with which promise, and when they may come back."""

import math
import random

import attrs

from cairnferry.policy._settings import PolicySettings
from cairnferry.policy.choice import WorkEstimates
from cairnferry.policy.requests import Call, Cause, GiveUp, Refuse


def _none_given_up():
    return dict.fromkeys(Cause, 0)


@attrs.define
class Refusals:
    """Gives requests up, and counts them.

    Parameters
    ----------
    settings : PolicySettings
        Constants.
    work : WorkEstimates
        What requests of each route take.
    rng : random.Random
        Spreads those that come back.

    Attributes
    ----------
    given_up : dict of Cause to int
        Requests given up so far.
    """

    settings: PolicySettings
    work: WorkEstimates
    rng: random.Random
    given_up: dict[Cause, int] = attrs.field(factory=_none_given_up)

    def refuse_with_delay(self, cause: Cause, retry_after: float) -> Refuse:
        """Refuse a request for a cause that lies outside of the service."""
        self.given_up[cause] += 1
        return Refuse(cause, retry_after)

    def refuse(self, cause: Cause) -> Refuse:
        """Refuse a request that has not been sent anywhere."""
        return self.refuse_with_delay(cause, self.settings.retry_after_s)

    def settle(
        self, call: Call, cause: Cause, now: float, room_at: float = math.inf
    ) -> Refuse | GiveUp:
        """Give a request up, with what the evidence of all attempts allows.

        Parameters
        ----------
        call : Call
            The request.
        cause : Cause
            Why.
        now : float
            Time in seconds.
        room_at : float, optional
            Time in seconds at which there will be room again; infinite if unknown.
        """
        self.given_up[cause] += 1
        if cause is Cause.BACKING_OFF:
            room_at += self.settings.rest_spread * self.rng.random() * (room_at - now)
        retry_after = self._return_after(call, now, room_at)
        if call.possibly_run:
            return GiveUp(cause, retry_after)
        return Refuse(cause, retry_after)

    def _return_after(self, call, now, room_at):
        """Give the seconds after which a request that found no room may come back.

        Early enough to make its objective if room is found then, and spread, so that
        those that were refused together do not come back together.
        """
        if room_at < math.inf:
            return max(self.settings.min_retry_after_s, room_at - now)
        if call.objective is None:
            return self.settings.retry_after_s
        earliest, latest = self.settings.return_shares
        share = earliest + (latest - earliest) * self.rng.random()
        slack = call.objective - now - self.work.seconds(call.route)
        return max(self.settings.min_retry_after_s, slack * share)
