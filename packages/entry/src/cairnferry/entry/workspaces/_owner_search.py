"""Selection of the daemons to ask for a token, one after the other."""

import attrs

from cairnferry.entry.members import PermitIssuers
from cairnferry.peers import TokenReply

# Calls to other daemons for one request: the first candidate, and the owner that it
# names or the next candidate.
MAX_CALLS = 2
# Number of calls into a zone that fail in a row until the zone is considered
# unreachable, and seconds until another call into it is tried.
FAILURES_TO_CUT = 2
CUT_RETRY_S = 2.0


@attrs.define
class _ZoneState:
    """Failed calls into an availability zone since the last answer."""

    failures: int = 0
    cut_until: float = 0.0


@attrs.define
class Reachability:
    """Availability zones that calls do not reach.

    Without it, a daemon that is cut off would let each request wait for an answer.
    """

    _zones: dict[str, _ZoneState] = attrs.field(factory=dict)

    def may_call(self, zone: str, now: float) -> bool:
        """Return whether to call a zone; counts a trial of an unreachable one."""
        state = self._zones.get(zone)
        if state is None or state.failures < FAILURES_TO_CUT:
            return True
        if now < state.cut_until:
            return False
        state.cut_until = now + CUT_RETRY_S
        return True

    def note_answer(self, zone: str) -> None:
        """Record that a daemon of a zone answered."""
        self._zones.pop(zone, None)

    def note_failure(self, zone: str, now: float) -> None:
        """Record that a daemon of a zone did not answer."""
        state = self._zones.setdefault(zone, _ZoneState())
        state.failures += 1
        if state.failures >= FAILURES_TO_CUT:
            state.cut_until = now + CUT_RETRY_S


@attrs.define
class OwnerSearch:
    """Search for the owner of a workspace for one request.

    Parameters
    ----------
    issuers : PermitIssuers
        Knows the candidates and which of them did not answer.
    own_name : str
        Name of this daemon, which is asked without a call.
    workspace : str
        Name of the workspace.
    """

    issuers: PermitIssuers
    own_name: str
    workspace: str
    _calls: int = 0
    _asked: set[str] = attrs.field(factory=set)

    def next(self, reply: TokenReply | None = None) -> str | None:
        """Return the name of the next daemon to ask; None to give up.

        Parameters
        ----------
        reply : TokenReply, optional
            Reply of the previous daemon, which grants no tokens; None if there was no
            reply.
        """
        if self._calls >= MAX_CALLS:
            return None
        name = self._named_owner(reply) or self._candidate()
        if name is not None:
            self._asked.add(name)
            self._calls += name != self.own_name
        return name

    def _named_owner(self, reply):
        """Return the owner that a reply names, unless it did not answer before."""
        owner = reply.owner if reply is not None else ""
        if not owner or owner in self._asked or self.issuers.is_unresponsive(owner):
            return None
        return owner if self.issuers.find(owner) is not None else None

    def _candidate(self):
        candidates = self.issuers.owner_candidates(self.workspace)
        return next((name for name in candidates if name not in self._asked), None)
