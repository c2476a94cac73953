"""Forwarding of requests to targets, or over a peer if no path to them works."""

import time
from collections.abc import Callable

import attrs

from cairnferry.entry.callers._forward import (
    UNREACHABLE_RETRY_S,
    Forwarded,
    relayed_answer,
)
from cairnferry.entry.callers._limited_forwarder import LimitedForwarder
from cairnferry.entry.detours import (
    Declined,
    DetourClient,
    DetourLost,
    DetourOutcome,
    DetourRequest,
    NoConnection,
    NotRunThere,
    Served,
    UnknownThere,
)
from cairnferry.entry.http import BadRequest, not_run_answer, unknown_answer
from cairnferry.entry.targets import OutboundRequest, ServiceRuntime, StatusChecks
from cairnferry.entry.telemetry import Metrics
from cairnferry.policy import Call, Cause, GiveUp, Refuse, Relay
from cairnferry.records import Workspace

# Maximum number of peers that are asked for one request; for one that found no room
# here; and of those to which no connection can be opened.
MAX_PEERS = 8
MAX_PEERS_FOR_ROOM = 2
MAX_UNCONNECTED = 2
# Causes of refusals that follow if a daemon reaches a part of the targets only.
CAUSES_OF_LOST_PATHS = frozenset(
    [Cause.OVERLOAD, Cause.RETRIES_EXHAUSTED, Cause.NO_TARGET]
)


def unreachable(retry_after: float = UNREACHABLE_RETRY_S) -> Forwarded:
    """Return the refusal of a request whose service is not reachable.

    Parameters
    ----------
    retry_after : float, optional
        Delay in seconds before a retry.
    """
    decision = Refuse(Cause.UNREACHABLE, retry_after)
    return Forwarded(not_run_answer(decision.cause, retry_after), decision)


def has_no_path(runtime: ServiceRuntime, checks: StatusChecks | None) -> bool:
    """Return whether no path to a service works; if so, look for one from now on.

    Parameters
    ----------
    runtime : ServiceRuntime
        Runtime of the service.
    checks : StatusChecks or None
        Finds out when a path works again.
    """
    if not runtime.policy.paths.are_broken(time.monotonic()):
        return False
    runtime.log_path_changes()
    if checks is not None:
        checks.watch_paths(runtime)
    return True


@attrs.define
class DetouringForwarder:
    """Forwards requests, and passes on those that cannot reach a target from here.

    Keys and limits of workspaces, blocks, permits and retry budgets are checked and
    counted where a request is sent to targets. A request that is passed on is counted
    by the peer alone; a token that it took here is given back before.

    Parameters
    ----------
    limited : LimitedForwarder
        Forwards requests to targets within the limits of workspaces.
    detours : DetourClient or None
        Passes requests on; None if they must not be passed on.
    checks : StatusChecks or None
        Finds out when a path works again.
    metrics : Metrics
        Counts requests that are passed on.
    """

    limited: LimitedForwarder
    detours: DetourClient | None
    checks: StatusChecks | None
    metrics: Metrics

    def forward(
        self,
        req: OutboundRequest,
        call: Call,
        runtime: ServiceRuntime,
        workspace: Workspace | None,
        build_detour: Callable[[], DetourRequest],
    ) -> Forwarded:
        """Forward a request to a target, over a peer if need be.

        Parameters
        ----------
        req : OutboundRequest
            Request to send to a target.
        call : Call
            State of the request for the policy.
        runtime : ServiceRuntime
            Runtime of the service.
        workspace : Workspace or None
            Workspace of the caller.
        build_detour : callable
            Returns the request to pass on to a peer.
        """
        if self.detours is None:
            return self.limited.forward(req, call, runtime, workspace)
        if has_no_path(runtime, self.checks):
            detoured = self._pass_on(req, call, runtime, build_detour)
            if detoured is not None:
                return detoured
        forwarded = self.limited.forward(req, call, runtime, workspace)
        if not self._needs_detour(forwarded.decision, call, runtime):
            return forwarded
        if forwarded.decision.cause is Cause.OVERLOAD:
            return self._look_for_room(req, call, runtime, build_detour, forwarded)
        return self._pass_on(req, call, runtime, build_detour) or forwarded

    def _look_for_room(self, req, call, runtime, build_detour, refused):
        """Pass on a request that found no room here; return its refusal if none has."""
        passed = self._pass_on(req, call, runtime, build_detour, MAX_PEERS_FOR_ROOM)
        match passed and passed.decision:
            case None | Refuse(cause=Cause.UNREACHABLE | Cause.OVERLOAD):
                service = runtime.policy.service.name
                self.detours.choice.note_full(service, time.monotonic())
                return refused
        return passed

    def _needs_detour(self, decision, call, runtime):
        match decision:
            case Refuse(cause=Cause.UNREACHABLE):
                return True
            case Refuse(cause=Cause.OVERLOAD):
                service, now = runtime.policy.service.name, time.monotonic()
                is_impaired = runtime.policy.paths.are_impaired()
                return is_impaired and self.detours.choice.may_have_room(service, now)
            case Refuse(cause=cause):
                return call.is_unreached and cause in CAUSES_OF_LOST_PATHS
            case GiveUp(cause=Cause.UNREACHABLE):
                return call.idempotent
        return False

    def _pass_on(self, req, call, runtime, build_detour, max_peers=MAX_PEERS):
        """Pass a request on; return None if there is no peer at all."""
        if not self.detours.has_peers():
            return None
        service = runtime.policy.service.name
        tried, unconnected = set(), 0
        while (
            len(tried) < max_peers
            and unconnected < MAX_UNCONNECTED
            and time.monotonic() < call.deadline
        ):
            peer = self.detours.next_peer(service, tried)
            if peer is None:
                break
            tried.add(peer.name)
            problem = req.find_problem()
            if problem is not None:
                raise BadRequest(problem, call.workspace)
            outcome = self.detours.send(peer, build_detour(), service)
            self._note(call, peer, outcome)
            unconnected += isinstance(outcome, NoConnection)
            forwarded = self._conclude(outcome, call, runtime)
            if forwarded is not None:
                return forwarded
        return self._give_up(call, service)

    def _note(self, call, peer, outcome):
        name = type(outcome).__name__
        self.metrics.detours["passed-on", name] += 1
        reason = getattr(outcome, "reason", getattr(outcome, "cause", ""))
        call.detours.append(f"{peer.name} {name} {reason}".rstrip())

    def _conclude(self, outcome: DetourOutcome, call, runtime):
        """Return what the caller gets; None to ask another peer."""
        match outcome:
            case Served(reply):
                return Forwarded(relayed_answer(reply), Relay())
            case NotRunThere(cause, retry_after):
                return _not_run(call, cause, retry_after)
            case UnknownThere(cause, retry_after):
                return _unknown(cause, retry_after)
            case Declined() | NoConnection():
                return None
            case DetourLost(timed_out):
                call.possibly_run = True
                now = time.monotonic()
                may_repeat = call.idempotent and now < call.deadline
                if may_repeat and runtime.policy.spend_retry(now):
                    return None
                cause = Cause.DEADLINE if timed_out else Cause.TARGET_LOST
                return _unknown(cause, UNREACHABLE_RETRY_S)

    def _give_up(self, call, service):
        now = time.monotonic()
        if now >= call.deadline:
            return _not_run(call, Cause.DEADLINE, UNREACHABLE_RETRY_S)
        wait = self.detours.choice.ask_again_s(service, now)
        return _not_run(call, Cause.UNREACHABLE, max(wait, UNREACHABLE_RETRY_S))


def _not_run(call, cause, retry_after):
    if call.possibly_run:
        # An attempt before the detour may have run.
        return _unknown(cause, retry_after)
    return Forwarded(not_run_answer(cause, retry_after), Refuse(cause, retry_after))


def _unknown(cause, retry_after):
    return Forwarded(unknown_answer(cause, retry_after), GiveUp(cause, retry_after))
