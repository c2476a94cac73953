"""Authentication of one request, from its head until it is sent."""

import attrs

from cairnferry.entry.http import AUTHORIZATION, PipelinedHandler, Problem
from cairnferry.entry.targets import Services
from cairnferry.entry.workspaces import KeyFault, WorkspaceRegistry, authenticate
from cairnferry.records import Workspace

_PROBLEMS = {
    KeyFault.MISSING: Problem.KEY_MISSING,
    KeyFault.MALFORMED: Problem.KEY_MALFORMED,
    KeyFault.REPEATED: Problem.KEY_REPEATED,
    KeyFault.UNKNOWN: Problem.KEY_UNKNOWN,
}


@attrs.define
class KeyCheck:
    """Checks the key of one request against the rules in force.

    A request can wait for its turn on the connection, for capacity or for a retry, and
    its key may be revoked meanwhile. The result is kept as long as no other rules come
    into force.

    Parameters
    ----------
    workspaces : WorkspaceRegistry
        Workspaces in force.
    services : Services
        Routes in force.
    handler : PipelinedHandler
        The request.
    key_digest : str, optional
        Digest of the caller's key, if a peer has read the key.

    Attributes
    ----------
    workspace : Workspace or None
        Workspace of the last check without a problem; None if the request has none.
    """

    workspaces: WorkspaceRegistry
    services: Services
    handler: PipelinedHandler
    key_digest: str = ""
    workspace: Workspace | None = None
    _anonymous: bool = False
    _generation: int | None = None
    _problem: Problem | None = None

    def find_problem(self) -> Problem | None:
        """Return the problem for which the request must not be sent, or None."""
        generation = self.workspaces.generation
        if generation != self._generation:
            self._problem = self._check()
            self._generation = generation
        return self._problem

    def _check(self):
        if not self.workspaces.is_required:
            self.workspace = None
            return None
        handler = self.handler
        route = self.services.route(handler.path, handler.headers.get("host"))
        if route is not None:
            # A request whose route was withdrawn is answered by the former route.
            self._anonymous = route.anonymous
        found = self._find_workspace()
        if found.is_error():
            return _PROBLEMS[found.error]
        self.workspace = found.ok
        return None

    def _find_workspace(self):
        if self.key_digest:
            return self.workspaces.find_digest(self.key_digest)
        values = self.handler.headers.get_all(AUTHORIZATION)
        return authenticate(values, self._anonymous, self.workspaces)
