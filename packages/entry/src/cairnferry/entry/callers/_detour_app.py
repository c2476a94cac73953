"""Application for requests that peers pass on, as their own paths do not work."""

import attrs

from cairnferry.entry.callers._callers import CallersApp
from cairnferry.entry.callers._detouring_forwarder import (
    CAUSES_OF_LOST_PATHS,
    has_no_path,
    unreachable,
)
from cairnferry.entry.callers._key_check import KeyCheck
from cairnferry.entry.detours import (
    DetourDecision,
    decision_headers,
    read_detour_head,
    without_detour_fields,
)
from cairnferry.entry.http import BadRequest, Problem
from cairnferry.policy import Cause, GiveUp, Relay

# Problems of this daemon rather than of the request; another peer may serve it.
_OWN_PROBLEMS = frozenset(
    [
        Problem.NOT_READY,
        Problem.BODIES_FULL,
        Problem.MEMORY_FULL,
        Problem.LEAVING,
        Problem.TOO_MANY_CONNECTIONS,
    ]
)


@attrs.define
class DetourApp(CallersApp):
    """WSGI application that serves the requests of peers' callers.

    It serves them as if their callers had sent them here, and never passes them on to a
    further daemon. Its parameters are those of `CallersApp`.
    """

    def header_pairs(self, handler):
        """Return the caller's headers."""
        return without_detour_fields(handler.header_pairs())

    def complete_call(self, call, handler):
        """Add what the peer tells of the request."""
        head = read_detour_head(handler.header_pairs())
        call.received_from = head.sender
        if call.max_attempts:
            call.max_attempts = max(1, call.max_attempts - head.attempts)

    def caller_address(self, handler):
        """Return the IP address of the caller of the peer."""
        return read_detour_head(handler.header_pairs()).caller

    def _answer(self, handler):
        if isinstance(handler.problem, Problem):
            raise BadRequest(handler.problem)
        try:
            head = read_detour_head(handler.header_pairs())
        except ValueError as exc:
            raise BadRequest(Problem.MALFORMED) from exc
        if head.revision > self.services.revision:
            # By older rules the request might go where it must not go any more.
            raise BadRequest(Problem.NOT_READY)
        return super()._answer(handler)

    def find_route(self, handler):
        """Return the route of a request, and the runtime of the service it is for.

        A second selection by weights would change the shares of the services.
        """
        route = self.services.route(handler.path, handler.headers.get("host"))
        service = read_detour_head(handler.header_pairs()).service
        if route is None or service not in route.service_names():
            return super().find_route(handler)
        return route, self.services.runtime(service)

    def _key_check(self, handler):
        digest = read_detour_head(handler.header_pairs()).key_digest
        return KeyCheck(self.workspaces, self.services, handler, digest)

    def check_body(self, handler):
        """Return why a request is refused before its large body is read."""
        try:
            _, runtime = self.find_route(handler)
        except ValueError:
            return Problem.MALFORMED
        if runtime is not None and has_no_path(runtime, self.checks):
            return Cause.UNREACHABLE
        return super().check_body(handler)

    def forward_call(self, handler, req, call, runtime, workspace):
        """Forward a request; decline it if no path works from here either."""
        if has_no_path(runtime, self.checks):
            return unreachable()
        return super().forward_call(handler, req, call, runtime, workspace)

    def _may_fit_elsewhere(self, cause, runtime):
        """Return whether another peer may serve a request that is refused here."""
        if cause in CAUSES_OF_LOST_PATHS:
            return runtime.policy.paths.are_impaired()
        return cause in (Cause.UNREACHABLE, Cause.LEAVING)

    def finish_answer(self, forwarded, head, runtime):
        """Add the decision, for the peer."""
        answer = super().finish_answer(forwarded, head, runtime)
        match forwarded.decision:
            case Relay():
                headers = decision_headers(DetourDecision.RELAYED)
            case decision:
                kind = DetourDecision.NOT_RUN
                if isinstance(decision, GiveUp):
                    kind = DetourDecision.UNKNOWN
                elif self._may_fit_elsewhere(decision.cause, runtime):
                    kind = DetourDecision.DECLINED
                headers = decision_headers(kind, decision.cause, decision.retry_after)
        self.metrics.detours["received", headers[0][1]] += 1
        return attrs.evolve(answer, headers=[*answer.headers, *headers])

    def _problem(self, problem, handler, workspace=""):
        answer = super()._problem(problem, handler, workspace)
        is_own = problem in _OWN_PROBLEMS
        kind = DetourDecision.DECLINED if is_own else DetourDecision.REJECTED
        self.metrics.detours["received", str(kind)] += 1
        headers = decision_headers(kind, problem.value[2])
        return attrs.evolve(answer, headers=[*answer.headers, *headers])
