"""State of a caller's request for the policy, and the request for a peer."""

import time

from cairnferry.entry.detours import DetourHead, DetourRequest
from cairnferry.entry.http import PipelinedHandler, RequestHead
from cairnferry.entry.targets import CallerConvention, OutboundRequest
from cairnferry.policy import Call, RequestIdentity
from cairnferry.records import Priority, Route, Service, Workspace

MS_PER_S = 1000


def build_call(
    handler: PipelinedHandler,
    route: Route,
    head: RequestHead,
    service: Service,
    workspace: Workspace | None,
    address: str,
) -> Call:
    """Return the state of a request for the policy.

    Parameters
    ----------
    handler : PipelinedHandler
        Request that was read.
    route : Route
        Its route.
    head : RequestHead
        Its parsed headers.
    service : Service
        Service that receives it.
    workspace : Workspace or None
        Workspace of its caller.
    address : str
        IP address of its caller.
    """
    arrived = handler.arrived
    timeout_ms = head.timeout_ms or route.deadline_ms or service.deadline_ms
    if route.max_deadline_ms is not None:
        timeout_ms = min(timeout_ms, route.max_deadline_ms)
    objective = route.objective_ms and arrived + route.objective_ms / MS_PER_S
    priority = route.priority
    if head.priority is Priority.BACKGROUND:
        priority = Priority.BACKGROUND
    return Call(
        arrived=arrived,
        deadline=arrived + timeout_ms / MS_PER_S,
        idempotent=route.may_resend(handler.command),
        priority=priority,
        may_retry=not head.is_retry,
        max_attempts=route.max_attempts,
        objective=objective,
        rank=_rank(route, workspace),
        route=route.identity,
        route_name=route.name,
        identity=_identity(handler, route, head, workspace, address),
        workspace=workspace.name if workspace else "",
    )


def build_detour(
    handler: PipelinedHandler,
    req: OutboundRequest,
    call: Call,
    head: DetourHead,
    pairs: list[tuple[str, str]],
    convention: CallerConvention,
) -> DetourRequest:
    """Return the request to pass on to a peer, with the time that is left.

    Parameters
    ----------
    handler : PipelinedHandler
        Request that was read.
    req : OutboundRequest
        The request as it is sent to targets.
    call : Call
        Its state for the policy.
    head : DetourHead
        What the peer is told of it.
    pairs : list of (str, str)
        Headers of the caller to pass on.
    convention : CallerConvention
        Names of the callers' headers.
    """
    left_ms = int((call.deadline - time.monotonic()) * MS_PER_S)
    return DetourRequest(
        handler.command,
        handler.path,
        req.head.host or "",
        convention.passed_on(pairs, left_ms),
        handler.body,
        head,
        call.deadline,
        call.idempotent,
        handler.answer_room,
    )


def _rank(route, workspace):
    if workspace is None or workspace.rank is None:
        return route.rank
    return workspace.rank


def _identity(handler, route: Route, head: RequestHead, workspace, address):
    # Uses the host of the route. For a route that matches any host, callers put the
    # daemon's address into Host, and the same request would have a different identity
    # at each daemon.
    caller = head.credentials or address
    if workspace is not None:
        caller = workspace.name
    return RequestIdentity(
        handler.command, route.host or "", handler.path, handler.body, caller
    )
