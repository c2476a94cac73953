"""Messages on tokens of workspaces, and their conversion from and to Thrift types."""

import math

import attrs

from cairnferry.peers._generated.peer import ttypes
from cairnferry.peers._messages import MAX_AGE_MS, MS_PER_S


@attrs.frozen
class TokenQuery:
    """Request of a daemon for tokens for requests of one workspace.

    Attributes
    ----------
    workspace : str
        Name of the workspace.
    rank : int
        Urgency of the requests; 0 is the most urgent.
    count, returned : int
        Number of tokens requested, and number of tokens whose requests did not run.
    max_wait_s : float
        Seconds for which a request may wait for its token.
    revision : int
        Revision of the requester's rules.
    rate_per_s, burst : float
        Limit of the workspace by these rules.
    """

    workspace: str
    rank: int
    count: int
    returned: int
    max_wait_s: float
    revision: int
    rate_per_s: float
    burst: float


@attrs.frozen
class TokenReply:
    """Reply of a workspace's owner to a `TokenQuery`.

    Attributes
    ----------
    delays : tuple of float
        Seconds after which each request may run, for each token granted.
    retry_s : float
        Seconds until there is capacity for a request without a token.
    owner : str
        Name of the owner if the called daemon is not the owner, else empty.
    level, capacity : float
        Tokens in the bucket, and its size; the size is negative if the owner does not
        grant tokens yet.
    """

    delays: tuple[float, ...] = ()
    retry_s: float = 0.0
    owner: str = ""
    level: float = 0.0
    capacity: float = -1.0

    @property
    def is_ready(self) -> bool:
        """Whether the called daemon grants tokens."""
        return self.capacity >= 0


def token_query_to_wire(query: TokenQuery) -> ttypes.TokenQuery:
    """Convert a token query to the generated type."""
    return ttypes.TokenQuery(
        query.workspace,
        query.rank,
        query.count,
        query.returned,
        int(query.max_wait_s * MS_PER_S),
        query.revision,
        query.rate_per_s,
        query.burst,
    )


def token_query_from_wire(message: ttypes.TokenQuery) -> TokenQuery:
    """Convert a generated token query to the project's type.

    Raises
    ------
    ValueError
        If the limit is not a usable number, or a count is negative.
    """
    limit = (message.rate_per_s, message.burst)
    if not all(math.isfinite(number) and number >= 0 for number in limit):
        raise ValueError("limit of a workspace")
    if message.count < 0 or message.returned < 0:
        raise ValueError("count of tokens")
    return TokenQuery(
        message.workspace,
        message.rank,
        message.count,
        message.returned,
        message.max_wait_ms / MS_PER_S,
        message.revision,
        *limit,
    )


def token_reply_to_wire(reply: TokenReply) -> ttypes.TokenReply:
    """Convert a token reply to the generated type."""
    # Rounded up: a request must not run before its token is in the bucket.
    delays = [math.ceil(delay * MS_PER_S) for delay in reply.delays]
    retry_ms = min(MAX_AGE_MS, math.ceil(reply.retry_s * MS_PER_S))
    return ttypes.TokenReply(delays, retry_ms, reply.owner, reply.level, reply.capacity)


def token_reply_from_wire(message: ttypes.TokenReply) -> TokenReply:
    """Convert a generated token reply to the project's type."""
    delays = tuple(delay / MS_PER_S for delay in message.delays_ms)
    retry_s = message.retry_ms / MS_PER_S
    return TokenReply(delays, retry_s, message.owner, message.level, message.capacity)
