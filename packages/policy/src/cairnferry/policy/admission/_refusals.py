"""Responses to requests that are given up, and their Retry-After."""

import collections
import math
import random

import attrs

from cairnferry.policy._settings import PolicySettings
from cairnferry.policy.choice import WorkEstimates
from cairnferry.policy.requests import Call, Cause, GiveUp, Refuse


def _zero_counts():
    return dict.fromkeys(Cause, 0)


@attrs.define
class Refusals:
    """Gives up requests and counts them by cause.

    Parameters
    ----------
    settings : PolicySettings
        Constants of the policy.
    work : WorkEstimates
        Estimated work of the requests of each route.
    rng : random.Random
        Source of the jitter in Retry-After.

    Attributes
    ----------
    given_up : dict of Cause to int
        Number of requests given up so far, by cause.
    overload_by_rank : Counter
        Number of requests refused so far for overload, by rank.
    """

    settings: PolicySettings
    work: WorkEstimates
    rng: random.Random
    given_up: dict[Cause, int] = attrs.field(factory=_zero_counts)
    overload_by_rank: collections.Counter = attrs.field(factory=collections.Counter)

    def refuse_with_delay(self, cause: Cause, retry_after: float) -> Refuse:
        """Refuse a request for a cause outside of the service."""
        self.given_up[cause] += 1
        return Refuse(cause, retry_after)

    def refuse(self, cause: Cause) -> Refuse:
        """Refuse a request that was not sent to any target."""
        return self.refuse_with_delay(cause, self.settings.retry_after_s)

    def give_up(
        self, call: Call, cause: Cause, now: float, capacity_at: float = math.inf
    ) -> Refuse | GiveUp:
        """Give up a request; the response follows from the evidence of its attempts.

        Parameters
        ----------
        call : Call
            The request.
        cause : Cause
            Reason for giving up the request.
        now : float
            Time in seconds.
        capacity_at : float, optional
            Time in seconds at which capacity becomes free; infinite if unknown.

        Returns
        -------
        Refuse or GiveUp
            `GiveUp` if an attempt may have run, else `Refuse`.
        """
        self.given_up[cause] += 1
        if cause is Cause.OVERLOAD:
            self.overload_by_rank[call.rank] += 1
        if cause is Cause.BACKING_OFF:
            capacity_at += (
                self.settings.back_off_spread * self.rng.random() * (capacity_at - now)
            )
        retry_after = self._retry_after(call, now, capacity_at)
        if call.possibly_run:
            return GiveUp(cause, retry_after)
        return Refuse(cause, retry_after)

    def _retry_after(self, call, now, capacity_at):
        """Return the Retry-After in seconds of a request that found no capacity.

        A retry after that time can still meet the objective. Jitter prevents requests
        that were refused together from being retried together.
        """
        if capacity_at < math.inf:
            return max(self.settings.min_retry_after_s, capacity_at - now)
        if call.objective is None:
            return self.settings.retry_after_s
        earliest, latest = self.settings.retry_after_shares
        share = earliest + (latest - earliest) * self.rng.random()
        slack = call.objective - now - self.work.seconds(call.route)
        return max(self.settings.min_retry_after_s, slack * share)
