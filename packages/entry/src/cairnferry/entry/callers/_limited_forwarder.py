"""Forwarding of requests within the limits of their workspaces."""

import attrs

from cairnferry.entry.callers._forward import Forwarded, Forwarder
from cairnferry.entry.http import not_run_answer
from cairnferry.entry.targets import OutboundRequest, ServiceRuntime
from cairnferry.entry.workspaces import OverLimit, WorkspaceLimiter
from cairnferry.policy import Call, Refuse
from cairnferry.records import Workspace


@attrs.define
class LimitedForwarder:
    """Forwards a request if its workspace has a token for it.

    Parameters
    ----------
    forwarder : Forwarder
        Forwards requests to targets.
    limiter : WorkspaceLimiter or None
        Admits requests of workspaces; None admits all.
    """

    forwarder: Forwarder
    limiter: WorkspaceLimiter | None

    def forward(
        self,
        req: OutboundRequest,
        call: Call,
        runtime: ServiceRuntime,
        workspace: Workspace | None,
    ) -> Forwarded:
        """Forward a request, or refuse it without asking the policy.

        Parameters
        ----------
        req : OutboundRequest
            Request to send.
        call : Call
            State of the request for the policy.
        runtime : ServiceRuntime
            Runtime of the service.
        workspace : Workspace or None
            Workspace of the caller.
        """
        if workspace is None or not workspace.rate_per_s or self.limiter is None:
            return self.forwarder.forward(req, call, runtime)
        admitted = self.limiter.admit(workspace, call)
        if isinstance(admitted, OverLimit):
            cause, retry_after = admitted.cause, admitted.retry_after
            decision = runtime.policy.refuse_with_delay(cause, retry_after)
            answer = not_run_answer(cause, retry_after)
            return Forwarded(answer, decision, admitted.facts)
        try:
            forwarded = self.forwarder.forward(req, call, runtime)
        except BaseException:
            if not call.attempts:
                self.limiter.give_back(admitted)
            raise
        if isinstance(forwarded.decision, Refuse):
            self.limiter.give_back(admitted)
        return forwarded
