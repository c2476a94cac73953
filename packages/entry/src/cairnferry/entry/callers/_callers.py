"""WSGI application for callers: forwarded requests and steering answers."""

import json
import math
import random
import time
import urllib.parse
from collections.abc import Callable

import attrs
from gevent.event import Event

from cairnferry.entry.callers._calls import build_call, build_detour
from cairnferry.entry.callers._cut_log import Work
from cairnferry.entry.callers._detouring_forwarder import DetouringForwarder
from cairnferry.entry.callers._forward import Forwarded, Forwarder
from cairnferry.entry.callers._key_check import KeyCheck
from cairnferry.entry.callers._limited_forwarder import LimitedForwarder
from cairnferry.entry.callers._request_log import RequestLog
from cairnferry.entry.callers._startup_hold import StartupHold
from cairnferry.entry.callers._startup_retry import StartupRetry
from cairnferry.entry.detours import (
    DetourClient,
    DetourHead,
    without_detour_fields,
)
from cairnferry.entry.http import (
    AUTHORIZATION,
    HANDLER_KEY,
    Answer,
    BadDeadline,
    BadRequest,
    CallerGone,
    PipelinedHandler,
    Problem,
    RequestHead,
    StopReached,
    not_run_answer,
    problem_answer,
    unknown_answer,
)
from cairnferry.entry.members import Steering
from cairnferry.entry.targets import (
    CallerConvention,
    DefaultCallerConvention,
    OutboundRequest,
    ServiceRuntime,
    Services,
)
from cairnferry.entry.telemetry import Metrics
from cairnferry.entry.workspaces import (
    WorkspaceLimiter,
    WorkspaceRegistry,
    digest_of,
)
from cairnferry.policy import (
    Call,
    Cause,
    DeclaredTimeouts,
    Departure,
    GiveUp,
    Refuse,
    Relay,
)
from cairnferry.records import Route, Workspace
from cairnferry.wire import HeaderInvalid

STEERING_PATH = "/.well-known/cairnferry/entries"
MS_PER_S = 1000
CALLER_GONE_STATUS = "499 Caller Gone"
# Bounds in seconds of Retry-After if there is no memory. A large body takes about this
# time on its way to a target.
MEMORY_RETRY_S = (0.2, 0.6)
# Retry-After in seconds of a daemon that stops while no other one is known to serve:
# about the time of a restart.
LEAVING_RETRY_S = 0.5


_MEMORY_PROBLEMS = frozenset([Problem.BODIES_FULL, Problem.MEMORY_FULL])


@attrs.define
class BodyLimits:
    """Limits of request bodies, which may change while requests are served.

    Attributes
    ----------
    size : int
        Maximum size in bytes.
    seconds : float
        Maximum time in seconds for a body to arrive.
    """

    size: int
    seconds: float


def _startup_without_peers():
    return StartupRetry(time.monotonic(), lambda: False)


def _no_startup_hold():
    return StartupHold(Event(), -math.inf)


@attrs.define
class CallersApp:
    """WSGI application that serves callers.

    Parameters
    ----------
    services : Services
        Routes and policies.
    forwarder : Forwarder
        Forwards requests to targets.
    steering : Steering or None
        Determines which entry instances a caller uses; None if not served here.
    metrics : Metrics
        Counts requests.
    limits : BodyLimits
        Limits of request bodies.
    convention : CallerConvention, optional
        Header conventions of callers.
    startup_retry : StartupRetry, optional
        Determines Retry-After while this daemon has no rules.
    workspaces : WorkspaceRegistry, optional
        Workspaces by whose keys callers authenticate.
    startup_hold : StartupHold, optional
        Lets requests wait for the first rules; by default they are refused at once.
    workspace_limiter : WorkspaceLimiter, optional
        Limits the requests of workspaces.
    detours : DetourClient, optional
        Passes requests on to peers while no path to their service works.
    name : str, optional
        Name of this daemon.
    departure : Departure, optional
        Decides which requests are taken while the daemon stops.
    has_usable_peer : callable, optional
        Returns whether another daemon may serve a request that is refused.
    """

    services: Services
    forwarder: Forwarder
    steering: Steering | None
    metrics: Metrics
    limits: BodyLimits
    convention: CallerConvention = attrs.field(factory=DefaultCallerConvention)
    startup_retry: StartupRetry = attrs.field(factory=_startup_without_peers)
    workspaces: WorkspaceRegistry = attrs.field(factory=WorkspaceRegistry)
    startup_hold: StartupHold = attrs.field(factory=_no_startup_hold)
    workspace_limiter: WorkspaceLimiter | None = None
    detours: DetourClient | None = None
    name: str = ""
    departure: Departure | None = None
    has_usable_peer: Callable[[], bool] = lambda: False
    _request_log: RequestLog = attrs.field(init=False)
    _limited_forwarder: LimitedForwarder = attrs.field(init=False)
    _detouring_forwarder: DetouringForwarder = attrs.field(init=False)
    _timeouts: DeclaredTimeouts = attrs.field(factory=DeclaredTimeouts, init=False)

    def __attrs_post_init__(self):
        self._request_log = RequestLog(self.metrics, self.services)
        self._limited_forwarder = LimitedForwarder(
            self.forwarder, self.workspace_limiter
        )
        self._detouring_forwarder = DetouringForwarder(
            self._limited_forwarder, self.detours, self.checks, self.metrics
        )

    @property
    def checks(self):
        """Status checks of targets; None if there are none."""
        return self.forwarder.checks

    def __call__(self, environ, start_response):
        """Answer one request."""
        handler = environ[HANDLER_KEY]
        try:
            answer = self._answer(handler)
        except BadRequest as exc:
            answer = self._problem(exc.problem, handler, exc.workspace)
        except StopReached:
            answer = self._problem(Problem.LEAVING, handler)
        except CallerGone:
            handler.close_connection = True
            start_response(CALLER_GONE_STATUS, [])
            return []
        return self._write(handler, answer, start_response)

    def check_head(self, handler: PipelinedHandler) -> Problem | Cause | None:
        """Return why a request is rejected before its body is read.

        Parameters
        ----------
        handler : PipelinedHandler
            Request whose head was read.
        """
        is_leaving = self.departure is not None and self.departure.has_begun
        if not self.workspaces.is_required and not is_leaving:
            return None
        if not self.services.revision or self._is_steering(handler.path):
            return None
        if self.services.route(handler.path, handler.headers.get("host")) is None:
            return None
        key_check = self._key_check(handler)
        problem = key_check.find_problem()
        if problem is None and is_leaving:
            return self._departure_cause_by_head(handler, key_check)
        return problem

    def _departure_cause_by_head(self, handler, key_check):
        route, runtime = self.find_route(handler)
        try:
            head = self.convention.read_head(self.header_pairs(handler))
        except BadDeadline:
            # Reported once the body is read, as for a daemon that does not stop.
            return None
        call = self._call(handler, route, runtime, head, key_check)
        return self._departure_cause(handler, call)

    def check_body(self, handler: PipelinedHandler) -> Problem | Cause | None:
        """Return why a request is refused before its large body is read.

        Parameters
        ----------
        handler : PipelinedHandler
            Request whose head was read.
        """
        path = handler.path
        if self._is_steering(path):
            return None
        if not path.startswith("/"):
            return Problem.MALFORMED
        if self.services.revision == 0 and not self.startup_hold.wait(0):
            return Problem.NOT_READY
        route, runtime = self.find_route(handler)
        if runtime is None:
            return Problem.NO_ROUTE
        key_check = self._key_check(handler)
        problem = key_check.find_problem()
        if problem is not None:
            return problem
        try:
            head = self.convention.read_head(self.header_pairs(handler))
        except BadDeadline:
            return Problem.BAD_DEADLINE
        call = self._call(handler, route, runtime, head, key_check)
        return runtime.policy.refusal_cause(call, time.monotonic())

    def body_ends_at(self, handler: PipelinedHandler, latest: float) -> float:
        """Return the time at which the body of a request has to be complete.

        Parameters
        ----------
        handler : PipelinedHandler
            Request whose body is being read.
        latest : float
            Monotonic time in seconds if the deadline of the request is not known.

        Returns
        -------
        float
            The deadline: a body that arrives steadily may take as long as its caller
            waits, and no longer.
        """
        route, runtime = self.find_route(handler)
        if runtime is None:
            return latest
        try:
            head = self.convention.read_head(self.header_pairs(handler))
        except BadDeadline:
            return latest
        return self._call(
            handler, route, runtime, head, self._key_check(handler)
        ).deadline

    def _key_check(self, handler):
        return KeyCheck(self.workspaces, self.services, handler)

    def _is_steering(self, path):
        # A steering answer names entry instances. A caller needs it before it knows
        # where to send a key.
        return self.steering is not None and path.startswith(STEERING_PATH)

    def may_run_concurrently(self, handler: PipelinedHandler) -> bool:
        """Return whether a request may run concurrently with others of its connection.

        Parameters
        ----------
        handler : PipelinedHandler
            Parsed request.
        """
        if handler.problem is not None:
            return True
        if not self.services.revision:
            # Requests that wait for the first rules are not known to be safe to mix.
            return not self.startup_hold.is_active
        route = self.services.route(handler.path, handler.headers.get("host"))
        return route is None or route.may_resend(handler.command)

    def _write(self, handler, answer, start_response):
        headers = list(answer.headers)
        if answer.retry_after is not None:
            value = self.convention.retry_after(answer.retry_after)
            headers.append(("Retry-After", value))
        if answer.length is not None:
            headers.append(("Content-Length", str(answer.length)))
        start_response(answer.status, headers)
        return [answer.body] if handler.command != "HEAD" and answer.body else []

    def _answer(self, handler):
        if isinstance(handler.problem, Problem):
            raise BadRequest(handler.problem)
        path = handler.path
        if self._is_steering(path):
            return self.steering_answer(path)
        if not path.startswith("/"):
            raise BadRequest(Problem.MALFORMED)
        if self.services.revision == 0 and not self._wait_for_rules(handler):
            raise BadRequest(Problem.NOT_READY)
        route, runtime = self.find_route(handler)
        if runtime is None:
            raise BadRequest(Problem.NO_ROUTE)
        key_check = self._key_check(handler)
        problem = key_check.find_problem()
        if problem is not None:
            raise BadRequest(problem)
        return self._forward(handler, route, runtime, key_check)

    def _wait_for_rules(self, handler):
        with handler.cancellable():
            return self.startup_hold.wait(len(handler.body))

    def _forward(self, handler: PipelinedHandler, route: Route, runtime, key_check):
        pairs = self.header_pairs(handler)
        if self.workspaces.is_required:
            pairs = self.convention.without_identity(pairs)
        try:
            head = self.convention.read_head(pairs)
        except BadDeadline as exc:
            raise BadRequest(Problem.BAD_DEADLINE) from exc
        call = self._call(handler, route, runtime, head, key_check)
        if key_check.workspace is not None and head.timeout_ms is not None:
            call.spent = self._timeouts.note(route.identity, head.timeout_ms)
        req = self._outbound(handler, head, call, key_check)
        handler.work = Work(runtime.policy, call, head.request_id)
        try:
            with handler.cancellable():
                forwarded = self.forward_call(
                    handler, req, call, runtime, key_check.workspace
                )
        except HeaderInvalid as exc:
            raise BadRequest(Problem.MALFORMED) from exc
        except CallerGone:
            self._request_log.note_caller_gone(runtime.policy, call, head.request_id)
            raise
        except StopReached:
            forwarded = self._give_up(handler, call)
        self._note_time(call)
        self._request_log.note_answered(
            runtime.policy, call, forwarded, head.request_id
        )
        return self.finish_answer(forwarded, head, runtime)

    def _give_up(self, handler, call):
        """Return the answer to a request that is not answered at the end of a stop."""
        retry_after = self._retry_elsewhere_s()
        if call.attempts or handler.work.peers_asked:
            decision = GiveUp(Cause.LEAVING, retry_after)
            return Forwarded(unknown_answer(Cause.LEAVING, retry_after), decision)
        decision = Refuse(Cause.LEAVING, retry_after)
        return Forwarded(not_run_answer(Cause.LEAVING, retry_after), decision)

    def _retry_elsewhere_s(self):
        """Return Retry-After in seconds for callers of a daemon that stops."""
        return 0.0 if self.has_usable_peer() else LEAVING_RETRY_S

    def _note_time(self, call):
        if self.departure is not None and call.attempts:
            now = time.monotonic()
            self.departure.longest.note(call.route, now - call.arrived, now)

    def finish_answer(
        self, forwarded: Forwarded, head: RequestHead, runtime: ServiceRuntime
    ) -> Answer:
        """Return the answer to write.

        Parameters
        ----------
        forwarded : Forwarded
            Result of the request.
        head : RequestHead
            Head of the request.
        runtime : ServiceRuntime
            Runtime of its service.
        """
        if isinstance(forwarded.decision, Relay):
            return forwarded.answer
        local_headers = self.convention.local_answer_headers(head)
        return attrs.evolve(
            forwarded.answer, headers=[*forwarded.answer.headers, *local_headers]
        )

    def find_route(
        self, handler: PipelinedHandler
    ) -> tuple[Route | None, ServiceRuntime | None]:
        """Return the route of a request, and the runtime of its service.

        The service is selected once for each request: a second selection by weights
        would change the shares of the services.
        """
        route = self.services.route(handler.path, handler.headers.get("host"))
        if route is None:
            return None, None
        if handler.selected is None or handler.selected[0] is not route:
            handler.selected = (route, self.services.service_for(route))
        return route, self.services.runtime(handler.selected[1])

    def _call(self, handler, route, runtime, head, key_check):
        call = build_call(
            handler,
            route,
            head,
            runtime.policy.service,
            key_check.workspace,
            self.caller_address(handler),
        )
        self.complete_call(call, handler)
        return call

    def header_pairs(self, handler: PipelinedHandler) -> list[tuple[str, str]]:
        """Return the headers of a request."""
        return handler.header_pairs()

    def caller_address(self, handler: PipelinedHandler) -> str:
        """Return the IP address of the caller of a request."""
        return handler.client_address[0]

    def complete_call(self, call: Call, handler: PipelinedHandler) -> None:
        """Add what is known of a request beside its head and its route."""

    def _outbound(self, handler, head, call, key_check):
        headers = [*head.forwarded, ("Via", head.via)]

        admitted = self.workspaces.generation

        def find_problem():
            if self.workspaces.generation == admitted:
                return None
            problem = key_check.find_problem()
            if problem is None and self.workspaces.is_required:
                # Workspaces may have been configured, or the key assigned to another
                # workspace, while the request waited.
                headers[:] = self.convention.without_identity(headers)
                workspace = key_check.workspace
                call.workspace = workspace.name if workspace else ""
            return problem

        return OutboundRequest(
            handler.command,
            handler.path,
            headers,
            handler.body,
            head,
            find_problem,
            handler.answer_room,
        )

    def forward_call(
        self,
        handler: PipelinedHandler,
        req: OutboundRequest,
        call: Call,
        runtime: ServiceRuntime,
        workspace: Workspace | None,
    ) -> Forwarded:
        """Forward a request, or refuse it for a cause that was found at its head."""
        cause = handler.problem or self._departure_cause(handler, call)
        if cause is None:
            return self._detouring_forwarder.forward(
                req,
                call,
                runtime,
                workspace,
                lambda: self._detour(handler, req, call, runtime.policy.service.name),
            )
        if cause is Cause.LEAVING:
            refused = runtime.policy.refuse_with_delay(cause, self._retry_elsewhere_s())
        else:
            refused = runtime.policy.refuse(cause)
        return Forwarded(not_run_answer(refused.cause, refused.retry_after), refused)

    def _departure_cause(self, handler, call):
        if self.departure is None:
            return None
        now = time.monotonic()
        call.is_late = self.departure.is_late(handler.is_first, now)
        return None if self.departure.takes(call, now) else Cause.LEAVING

    def _detour(self, handler, req, call, service):
        handler.work.peers_asked += 1
        head = DetourHead(
            self.name,
            self.caller_address(handler),
            self.services.revision,
            service,
            len(call.attempts),
        )
        pairs = without_detour_fields(handler.header_pairs())
        if self.workspaces.is_required:
            # No key is sent to another daemon, but its digest.
            digest = digest_of(handler.headers.get_all(AUTHORIZATION))
            head = attrs.evolve(head, key_digest=digest)
            pairs = self.convention.without_identity(pairs)
        return build_detour(handler, req, call, head, pairs, self.convention)

    def steering_answer(self, path: str) -> Answer:
        """Return the entry instances to use for a service.

        Parameters
        ----------
        path : str
            Path of the request, whose query names the service and the zone.
        """
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(path).query)
        service = query.get("service", [""])[0]
        zone = query.get("zone", [None])[0]
        document = self.steering.answer(service, zone)
        headers = [
            ("Content-Type", "application/json"),
            ("Cache-Control", f"max-age={int(document['ttl_ms'] // MS_PER_S)}"),
        ]
        return Answer("200 OK", headers, json.dumps(document).encode())

    def _problem(self, problem, handler, workspace=""):
        self._request_log.note_rejected(
            problem.value[2], self.request_id(handler), workspace
        )
        if problem is Problem.NOT_READY:
            now = time.monotonic()
            return problem_answer(problem, self.startup_retry.retry_after(now))
        if problem in _MEMORY_PROBLEMS:
            return problem_answer(problem, random.uniform(*MEMORY_RETRY_S))
        return problem_answer(problem)

    def request_id(self, handler: PipelinedHandler) -> str | None:
        """Return the ID that the caller assigned to a request, if its head has one."""
        try:
            return self.convention.read_head(handler.header_pairs()).request_id
        except BadDeadline:
            # The malformed header makes the parser fail, so that the ID is unknown.
            return None
