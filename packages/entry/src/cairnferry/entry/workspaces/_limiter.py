"""Admission of requests by the limits of their workspaces."""

import random
import time
from collections.abc import Callable

import attrs
import gevent

from cairnferry.entry.members import Cluster, PermitIssuers
from cairnferry.entry.workspaces._owner_search import OwnerSearch
from cairnferry.entry.workspaces._token_calls import PATIENCE_S, TokenCalls
from cairnferry.entry.workspaces._token_owner import TokenOwner
from cairnferry.entry.workspaces._usage import LimitUsage, owned_rows
from cairnferry.peers import TokenQuery, TokenReply
from cairnferry.policy import (
    OVERDUE_RANKS,
    Call,
    Cause,
    FallbackBucket,
    LimitTolerance,
    WorkspaceLimit,
)
from cairnferry.records import Workspace

# Share of the time to a request's objective for which it may wait for a token, and the
# maximum time in seconds.
WAIT_SHARE = 0.2
MAX_WAIT_S = 0.5
# Share of that time for which it may wait for the answer of an owner, and the minimum
# in seconds: 20 times what a call between zones takes.
PATIENCE_SHARE = 0.3
MIN_PATIENCE_S = 0.06
# Minimum and maximum Retry-After in seconds if no owner is reached. Another daemon, or
# this one after a change of owner, can serve the request.
UNVERIFIED_RETRY_S = (0.05, 0.2)
# Seconds until unused tokens are returned by a call of their own, if no query to the
# same owner takes them along.
RETURN_DELAY_S = 0.5
# Number of instances assumed while this daemon knows neither a list nor any member.
# With too low a number, daemons that all start at once would exceed the tolerance.
UNKNOWN_INSTANCES = 100


@attrs.frozen
class Admitted:
    """A request may run.

    Attributes
    ----------
    workspace : Workspace or None
        Workspace whose token the request holds; None if it holds none.
    at : float
        Monotonic time in seconds at which it was admitted.
    waited_s : float
        Seconds for which it waited.
    """

    workspace: Workspace | None = None
    at: float = 0.0
    waited_s: float = 0.0


@attrs.frozen
class OverLimit:
    """A request may not run.

    Attributes
    ----------
    cause : Cause
        `WORKSPACE_LIMIT` or `LIMIT_UNVERIFIED`.
    retry_after : float
        Retry-After in seconds.
    facts : dict
        Facts on which the decision is based, for the log.
    """

    cause: Cause
    retry_after: float
    facts: dict


@attrs.define
class _Replied:
    """Reply of the daemon that owns a workspace."""

    reply: TokenReply
    owner: str
    took_s: float


@attrs.define
class WorkspaceLimiter:
    """Admits requests whose workspaces have tokens left.

    Parameters
    ----------
    name : str
        Name of this daemon.
    cluster : Cluster
        Members and listed instances.
    issuers : PermitIssuers
        Determines the owner of a workspace.
    owner : TokenOwner
        Grants the tokens of the workspaces that this daemon owns.
    calls : TokenCalls
        Sends queries to other daemons.
    revision : callable
        Returns the revision of the rules in force.
    tolerance : LimitTolerance
        Tolerance of the limits.
    rng : random.Random
        Spreads the retries of refused requests.
    usage : LimitUsage, optional
        Records the use of the limits.
    """

    name: str
    cluster: Cluster
    issuers: PermitIssuers
    owner: TokenOwner
    calls: TokenCalls
    revision: Callable[[], int]
    tolerance: LimitTolerance
    rng: random.Random
    usage: LimitUsage = attrs.field(factory=LimitUsage)
    _fallbacks: dict[str, FallbackBucket] = attrs.field(factory=dict)
    _returning: dict[str, Workspace] = attrs.field(factory=dict)

    def admit(self, workspace: Workspace, call: Call) -> Admitted | OverLimit:
        """Decide on a request; waits for its token if that comes soon.

        Parameters
        ----------
        workspace : Workspace
            Workspace of the caller.
        call : Call
            The request.
        """
        if not workspace.rate_per_s:
            return Admitted()
        started = time.monotonic()
        max_wait_s = _max_wait(call, started)
        replied = self._ask(
            workspace, _rank(call, started), max_wait_s, _patience(call, started)
        )
        if replied is None:
            return self._fall_back(workspace, started)
        self.usage.note_reply(workspace.name, replied.owner, replied.reply.level)
        if not replied.reply.delays:
            self.usage.note(workspace.name, "over-limit")
            facts = self._facts(workspace, replied) | {"spent_s": round(call.spent, 3)}
            retry_after = max(UNVERIFIED_RETRY_S[0], replied.reply.retry_s)
            return OverLimit(Cause.WORKSPACE_LIMIT, retry_after, facts)
        return self._wait(workspace, replied.reply.delays[0], started)

    def _wait(self, workspace, delay, started):
        granted_at = time.monotonic()
        if delay > 0:
            try:
                gevent.sleep(delay)
            except BaseException:
                self.give_back(Admitted(workspace, granted_at))
                raise
        now = time.monotonic()
        self.usage.note(workspace.name, "admitted")
        self.usage.waits.record(now - started)
        return Admitted(workspace, now, now - started)

    def give_back(self, admitted: Admitted) -> None:
        """Return the token of a request that did not run.

        A token that is older than the window no longer counts at the owner.

        Parameters
        ----------
        admitted : Admitted
            The decision by which the request was admitted.
        """
        workspace = admitted.workspace
        max_age_s = self.tolerance.window_s - 2 * RETURN_DELAY_S
        if workspace is None or time.monotonic() - admitted.at > max_age_s:
            return
        self.calls.returned[workspace.name] += 1
        self.usage.note(workspace.name, "returned")
        if not self._returning:
            gevent.spawn_later(RETURN_DELAY_S, self._return_tokens)
        self._returning[workspace.name] = workspace

    def _return_tokens(self):
        returning, self._returning = self._returning, {}
        for workspace in returning.values():
            if not self.calls.returned[workspace.name]:
                continue
            owner = self.issuers.owner_of(workspace.name)
            query = self._query(workspace, rank=0, count=0, max_wait_s=0.0)
            if owner == self.name:
                self.owner.grant(self.name, [query])
            elif owner is not None and not self.issuers.is_unresponsive(owner):
                self.calls.post(self.issuers.find(owner), query)

    # -- owners ----------------------------------------------------------------------

    def _ask(self, workspace, rank, max_wait_s, patience_s):
        """Return the reply of the workspace's owner; None if none is reached."""
        search = OwnerSearch(self.issuers, self.name, workspace.name)
        name = search.next()
        while name is not None:
            query = self._query(workspace, rank, 1, max_wait_s)
            started = time.monotonic()
            reply = self._ask_one(name, query, patience_s)
            if reply is not None and reply.is_ready:
                return _Replied(reply, name, time.monotonic() - started)
            name = search.next(reply)
        return None

    def _ask_one(self, name, query, patience_s):
        if name == self.name:
            return self.owner.grant(self.name, [query])[0]
        peer = self.issuers.find(name)
        return None if peer is None else self.calls.ask(peer, query, patience_s)

    def _query(self, workspace, rank, count, max_wait_s):
        return TokenQuery(
            workspace.name,
            rank,
            count,
            self.calls.returned.pop(workspace.name, 0),
            max_wait_s,
            self.revision(),
            workspace.rate_per_s,
            workspace.burst,
        )

    # -- without an owner ------------------------------------------------------------

    def _fall_back(self, workspace, started):
        limit = WorkspaceLimit(self.revision(), workspace.rate_per_s, workspace.burst)
        bucket = self._fallbacks.get(workspace.name)
        if bucket is None:
            bucket = self._fallbacks[workspace.name] = FallbackBucket(self.tolerance)
        now = time.monotonic()
        instances, position = self._position()
        if bucket.admit(limit, instances, position, now, time.time()):
            self.usage.note(workspace.name, "admitted-unverified")
            return Admitted(None, now, now - started)
        self.usage.note(workspace.name, "unverified")
        earliest, latest = UNVERIFIED_RETRY_S
        retry_after = earliest + (latest - earliest) * self.rng.random()
        facts = self._facts(workspace, None)
        return OverLimit(Cause.LIMIT_UNVERIFIED, retry_after, facts)

    def _position(self):
        """Return the number of instances, and this daemon's position among them."""
        cluster = self.cluster
        names = sorted({*cluster.listed, self.name})
        count = max(len(names), cluster.count_instances())
        if self.issuers.is_alone() and count == 1:
            count = UNKNOWN_INSTANCES
        return count, names.index(self.name) / len(names)

    def _facts(self, workspace, replied):
        owner = replied.owner if replied else self.issuers.owner_of(workspace.name)
        return {
            "workspace": workspace.name,
            "rate": workspace.rate_per_s,
            "burst": workspace.burst,
            "tokens": round(replied.reply.level, 2) if replied else None,
            "owner": owner,
            "age_ms": round(replied.took_s * 1000, 1) if replied else None,
        }

    # -- state -----------------------------------------------------------------------

    def rows(self) -> list[dict]:
        """Return the limited workspaces and their use here, as plain values."""
        return self.usage.rows(self.owner.registry, self.issuers.owner_of)

    def snapshot(self) -> dict:
        """Return the state for a dump, as plain values."""
        return {
            "owned": owned_rows(self.owner),
            "requests": self.usage.counts(),
            "calls": dict(sorted(self.calls.outcomes.items())),
            "wait_s": self.usage.waits.buckets(),
        }


def _rank(call, now):
    """Return the rank of a request among those of its workspace.

    A request that is late in any case goes last. Otherwise, callers that return after
    a refusal take the tokens of others that can still be answered in time.
    """
    return call.rank + OVERDUE_RANKS * call.is_overdue(now)


def _max_wait(call, now):
    return max(0.0, min(MAX_WAIT_S, WAIT_SHARE * _time_left(call, now)))


def _patience(call, now):
    share = PATIENCE_SHARE * _time_left(call, now)
    return min(PATIENCE_S, max(MIN_PATIENCE_S, share))


def _time_left(call, now):
    until = call.deadline if call.objective is None else call.objective
    return until - now
