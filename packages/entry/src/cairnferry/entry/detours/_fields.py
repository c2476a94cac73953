"""Headers between two daemons on a request that one passes on to the other.

They have a meaning only on authenticated connections between daemons. A caller's own
headers of these names are dropped before a request is passed on.
"""

import enum

import attrs

PREFIX = "cairnferry-detour-"
FROM = PREFIX + "from"
CALLER = PREFIX + "caller"
REVISION = PREFIX + "revision"
SERVICE = PREFIX + "service"
KEY_DIGEST = PREFIX + "key-digest"
ATTEMPTS = PREFIX + "attempts"
DECISION = PREFIX + "decision"
CAUSE = PREFIX + "cause"
RETRY_MS = PREFIX + "retry-ms"

MS_PER_S = 1000


class DetourDecision(enum.StrEnum):
    """What the answer of the called daemon says of the request."""

    RELAYED = "relayed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    REJECTED = "rejected"
    DECLINED = "declined"


@attrs.frozen
class DetourHead:
    """What a daemon tells of a request that it passes on.

    Attributes
    ----------
    sender : str
        Name of the daemon.
    caller : str
        IP address of the caller.
    revision : int
        Revision of the rules in force at the daemon.
    service : str
        Service that was selected for the request, if its route has several.
    attempts : int
        Number of attempts made at targets already.
    key_digest : str
        Digest of the caller's key; empty if callers need none, or it sent none.
    """

    sender: str
    caller: str
    revision: int
    service: str
    attempts: int
    key_digest: str = attrs.field(default="", repr=False)

    def headers(self) -> list[tuple[str, str]]:
        """Return the headers for the called daemon."""
        return [
            (FROM, self.sender),
            (CALLER, self.caller),
            (REVISION, str(self.revision)),
            (SERVICE, self.service),
            (ATTEMPTS, str(self.attempts)),
            (KEY_DIGEST, self.key_digest),
        ]


def read_detour_head(pairs: list[tuple[str, str]]) -> DetourHead:
    """Read what the sending daemon tells of a request.

    Raises
    ------
    ValueError
        If a header is missing or malformed.
    """
    found = {name.lower(): value for name, value in pairs}
    try:
        return DetourHead(
            found[FROM],
            found[CALLER],
            int(found[REVISION]),
            found[SERVICE],
            int(found[ATTEMPTS]),
            found[KEY_DIGEST],
        )
    except KeyError as exc:
        raise ValueError(f"a request that is passed on lacks {exc}") from exc


def without_detour_fields(pairs: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return headers without those between daemons."""
    return [pair for pair in pairs if not pair[0].lower().startswith(PREFIX)]


def decision_headers(
    decision: DetourDecision, cause: str = "", retry_after: float = 0.0
) -> list[tuple[str, str]]:
    """Return the headers of an answer to a request that was passed on.

    Parameters
    ----------
    decision : DetourDecision
        What the answer says of the request.
    cause : str, optional
        Cause of a refusal or of an unknown outcome.
    retry_after : float, optional
        Delay in seconds before a retry.
    """
    headers = [(DECISION, str(decision))]
    if cause:
        headers.append((CAUSE, cause))
        headers.append((RETRY_MS, str(int(retry_after * MS_PER_S))))
    return headers
